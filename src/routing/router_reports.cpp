// The part of the class router that shows the load reports of backend servers to operators.

#include <flaxtiller/routing/router.hpp>

namespace flaxtiller
{

std::map<service_name, dispatch::report_ages> router::ages_of_load_reports(time_point now) const
{
    std::map<service_name, dispatch::report_ages> ages;
    if (!m_options.load.reads_server_load)
    {
        return ages;
    }
    for (const auto& [at, item] : m_service_schedulers)
    {
        ages.emplace(item.service, item.scheduler.ages_of_reports(now));
    }
    return ages;
}

} // namespace flaxtiller
