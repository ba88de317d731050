#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/catalog/placer.hpp>

namespace flaxtiller
{

placement place(std::int64_t revision, const configuration& value)
{
    placer placed(revision, value);
    for (const auto& [name, server] : value.backend_servers)
    {
        placed.put(server);
    }
    return placed.current();
}

} // namespace flaxtiller
