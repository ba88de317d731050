#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/catalog/placement_builder.hpp>

namespace flaxtiller
{

placement place(std::int64_t revision, const configuration& value)
{
    placement_builder builder(revision, value);
    for (const auto& [name, server] : value.backend_servers)
    {
        builder.put(server);
    }
    return builder.current();
}

} // namespace flaxtiller
