#include "crash_record_file.hpp"

#include "process/log.hpp"
#include "process/replace_file.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

constexpr const char* saved_at_key = "saved_at_unix_ms";
constexpr const char* records_key = "records";

} // namespace

crash_record_file::crash_record_file(std::string path) : m_path(std::move(path))
{
}

crash_record_file::~crash_record_file()
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

std::vector<crash_record> crash_record_file::load(std::int64_t unix_ms)
{
    std::string bytes;
    if (m_files.read(m_path, bytes))
    {
        // No record was saved before.
        return {};
    }
    try
    {
        const auto saved = nlohmann::json::parse(bytes);
        // The time of day may have been set back since the save.
        const std::int64_t elapsed_ms =
            std::max<std::int64_t>(0, unix_ms - saved.at(saved_at_key).get<std::int64_t>());
        auto records = saved.at(records_key).get<std::vector<crash_record>>();
        for (crash_record& item : records)
        {
            item.age = item.age + duration::from_ms(static_cast<double>(elapsed_ms));
        }
        return records;
    }
    catch (const nlohmann::json::exception& failed)
    {
        log(log_level::warning, "crash_records_unreadable", {{"path", m_path}, {"error", failed.what()}});
        return {};
    }
}

void crash_record_file::save(const std::vector<crash_record>& records, std::int64_t unix_ms)
{
    const nlohmann::json document = {{saved_at_key, unix_ms}, {records_key, records}};
    {
        const std::scoped_lock lock(m_mutex);
        m_queued = document.dump();
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

void crash_record_file::flush()
{
    std::unique_lock lock(m_mutex);
    m_write_finished.wait(lock,
                          [this]
                          {
                              return !m_queued && !m_writing;
                          });
}

void crash_record_file::run()
{
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_work_available.wait(lock,
                              [this]
                              {
                                  return m_stopping || m_queued;
                              });
        if (!m_queued)
        {
            return;
        }
        const std::string bytes = *std::exchange(m_queued, std::nullopt);
        m_writing = true;
        lock.unlock();
        if (const std::error_code failed = replace_file(m_files, m_path, bytes))
        {
            log(log_level::warning, "crash_records_not_written",
                {{"path", m_path}, {"error", failed.message()}});
        }
        lock.lock();
        m_writing = false;
        m_write_finished.notify_all();
    }
}

} // namespace flaxtiller::shell
