#include "registration_file.hpp"

#include "process/log.hpp"
#include "process/replace_file.hpp"

#include <nlohmann/json.hpp>

#include <sstream>
#include <utility>

namespace flaxtiller::shell
{

registration_file::registration_file(std::string path) : m_path(std::move(path))
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

std::vector<registration> registration_file::load()
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
            auto loaded = item.get<registration>();
            m_valid.insert_or_assign(loaded.id, loaded);
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
    // Makes the first append replace the file.
    m_lines = max_lines;
    std::vector<registration> items;
    for (const auto& [id, loaded] : m_valid)
    {
        items.push_back(loaded);
    }
    return items;
}

void registration_file::append(const std::vector<registration>& changes)
{
    if (changes.empty())
    {
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_queued.insert(m_queued.end(), changes.begin(), changes.end());
        if (!m_thread.joinable())
        {
            m_thread = std::thread(
                [this]
                {
                    run();
                });
        }
    }
    m_work_available.notify_one();
}

void registration_file::flush()
{
    std::unique_lock lock(m_mutex);
    m_write_finished.wait(lock,
                          [this]
                          {
                              return m_queued.empty() && !m_writing;
                          });
}

std::string registration_file::line_of(const registration& item)
{
    return nlohmann::json(item).dump() + '\n';
}

void registration_file::run()
{
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_work_available.wait(lock,
                              [this]
                              {
                                  return m_stopping || !m_queued.empty();
                              });
        if (m_queued.empty())
        {
            return;
        }
        const std::vector<registration> changes = std::exchange(m_queued, {});
        m_writing = true;
        lock.unlock();
        std::string lines;
        for (const registration& item : changes)
        {
            lines += line_of(item);
            if (item.is_present())
            {
                m_valid.insert_or_assign(item.id, item);
            }
            else
            {
                m_valid.erase(item.id);
            }
        }
        m_lines += changes.size();
        const bool replace = m_lines > max_lines || m_failed;
        if (replace)
        {
            lines.clear();
            for (const auto& [id, item] : m_valid)
            {
                lines += line_of(item);
            }
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
        m_writing = false;
        m_write_finished.notify_all();
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
