// Requests whose key was withdrawn from its team while they waited.

#include <flaxtiller/routing/router.hpp>

#include <utility>

namespace flaxtiller
{

bool router::withdraw(request_number number)
{
    const auto found = m_open.find(number);
    if (found == m_open.end() || found->second.attempts > 0 || !found->second.groups.empty())
    {
        // Another entry may have started attempts for a delegated group.
        return false;
    }
    routed_outcome result;
    result.end = routed_end::unauthorized;
    finish(number, found->second, std::move(result), std::nullopt);
    return true;
}

} // namespace flaxtiller
