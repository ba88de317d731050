#include "registration_file.hpp"

#include "process/log.hpp"
#include "process/replace_file.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

constexpr const char* saved_at_key = "saved_at_unix_ms";

} // namespace

registration_file::registration_file(std::string path, saved_function on_saved)
    : m_path(std::move(path)), m_on_saved(std::move(on_saved))
{
}

registration_file::~registration_file()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_work_available.notify_one();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

std::vector<registration> registration_file::load(std::int64_t unix_ms)
{
    std::string bytes;
    if (m_files.read(m_path, bytes))
    {
        // At the first start there is no file.
        return {};
    }
    std::istringstream lines(bytes);
    std::string line;
    std::size_t unreadable = 0;
    while (std::getline(lines, line))
    {
        const auto item = nlohmann::json::parse(line, nullptr, false);
        try
        {
            // Earlier versions saved no time.
            saved_registration loaded{item.get<registration>(), item.value(saved_at_key, unix_ms)};
            m_valid.insert_or_assign(loaded.item.id, std::move(loaded));
        }
        catch (const nlohmann::json::exception&)
        {
            ++unreadable;
        }
    }
    if (unreadable > 0)
    {
        log(log_level::warning, "registrations_unreadable", {{"path", m_path}, {"lines", unreadable}});
    }
    std::erase_if(m_valid,
                  [&](const auto& entry)
                  {
                      const saved_registration& saved = entry.second;
                      return !saved.item.is_present() && unix_ms - saved.unix_ms > max_gone_age_ms;
                  });
    // Makes the first append replace the file.
    m_last_write_failed = true;
    // What was read may never have been synced. It counts as one change that is not on disk yet.
    m_queued_count = m_valid.empty() ? 0 : 1;
    std::vector<registration> items;
    for (const auto& [id, loaded] : m_valid)
    {
        items.push_back(loaded.item);
    }
    return items;
}

std::uint64_t registration_file::append(const std::vector<registration>& changes, std::int64_t unix_ms)
{
    std::uint64_t queued_count = 0;
    {
        const std::scoped_lock lock(m_mutex);
        for (const registration& item : changes)
        {
            m_queued.push_back({item, item.is_present() ? 0 : unix_ms});
        }
        m_queued_count += changes.size();
        queued_count = m_queued_count;
        m_retries = m_last_write_failed && m_saved_count < m_queued_count;
        const bool has_work = !m_queued.empty() || m_retries;
        if (has_work && !m_thread.joinable())
        {
            m_thread = std::thread(
                [this]
                {
                    run();
                });
        }
    }
    m_work_available.notify_one();
    return queued_count;
}

std::uint64_t registration_file::saved() const
{
    const std::scoped_lock lock(m_mutex);
    return m_saved_count;
}

void registration_file::forget(const std::vector<backend_server_name>& ids)
{
    const std::scoped_lock lock(m_mutex);
    m_forgotten.insert(m_forgotten.end(), ids.begin(), ids.end());
}

void registration_file::flush()
{
    std::unique_lock lock(m_mutex);
    m_write_finished.wait(lock,
                          [this]
                          {
                              return m_queued.empty() && !m_retries && !m_writing;
                          });
}

std::string registration_file::line_of(const saved_registration& saved)
{
    nlohmann::json line = saved.item;
    if (!saved.item.is_present())
    {
        line[saved_at_key] = saved.unix_ms;
    }
    return line.dump() + '\n';
}

/// Takes changes over into the valid lines.
/// @return the lines of the changes
std::string registration_file::take_over(const std::vector<saved_registration>& changes,
                                         const std::vector<backend_server_name>& forgotten)
{
    for (const backend_server_name& id : forgotten)
    {
        const auto known = m_valid.find(id);
        if (known != m_valid.end() && !known->second.item.is_present())
        {
            m_valid.erase(known);
        }
    }
    std::string lines;
    for (const saved_registration& changed : changes)
    {
        if (changed.item.state == registration_state::lost)
        {
            m_valid.erase(changed.item.id);
        }
        else
        {
            m_valid.insert_or_assign(changed.item.id, changed);
        }
        lines += line_of(changed);
    }
    m_lines += changes.size();
    return lines;
}

bool registration_file::must_be_replaced() const
{
    constexpr std::size_t most_lines_by_valid_line = 2;
    return m_lines > std::max(max_lines, most_lines_by_valid_line * m_valid.size());
}

std::string registration_file::valid_lines() const
{
    std::string lines;
    for (const auto& [id, saved] : m_valid)
    {
        lines += line_of(saved);
    }
    return lines;
}

void registration_file::run()
{
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_work_available.wait(lock,
                              [this]
                              {
                                  return m_stopping || !m_queued.empty() || m_retries;
                              });
        if (m_queued.empty() && !m_retries)
        {
            return;
        }
        const std::vector<saved_registration> changes = std::exchange(m_queued, {});
        const std::vector<backend_server_name> forgotten = std::exchange(m_forgotten, {});
        const std::uint64_t count = m_queued_count;
        const bool failed_before = m_last_write_failed;
        m_retries = false;
        m_writing = true;
        lock.unlock();
        std::string lines = take_over(changes, forgotten);
        const bool replace = must_be_replaced() || failed_before;
        if (replace)
        {
            lines = valid_lines();
        }
        const std::error_code failed = write(lines, replace);
        if (failed && !m_failed)
        {
            log(log_level::warning, "registrations_not_written",
                {{"path", m_path}, {"error", failed.message()}});
        }
        m_failed = failed;
        m_lines = replace && !failed ? m_valid.size() : m_lines;
        lock.lock();
        m_last_write_failed = static_cast<bool>(failed);
        m_saved_count = failed ? m_saved_count : count;
        m_writing = false;
        m_write_finished.notify_all();
        if (!failed && m_on_saved)
        {
            lock.unlock();
            m_on_saved();
            lock.lock();
        }
    }
}

std::error_code registration_file::write(const std::string& lines, bool replace)
{
    if (replace)
    {
        return replace_file(m_files, m_path, lines);
    }
    std::error_code failed;
    auto file = m_files.open(m_path, failed);
    if (!failed)
    {
        failed = file.write(lines);
    }
    if (!failed)
    {
        failed = file.sync();
    }
    return failed;
}

} // namespace flaxtiller::shell
