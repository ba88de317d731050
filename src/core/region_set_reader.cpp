#include <flaxtiller/core/region_set_reader.hpp>

namespace flaxtiller
{

void read_allowed_regions(json_reader& reader, region_set& into)
{
    constexpr const char* key = "allowed_regions";
    const nlohmann::json* list = reader.names(key);
    if (list == nullptr)
    {
        return;
    }
    if (list->empty())
    {
        reader.found().error(errc::out_of_range, reader.at(key),
                             "must name a region; leave it out for any region");
        return;
    }
    into = list->get<region_set>();
}

} // namespace flaxtiller
