#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief A name that can't be mixed up with names of another kind.
/// @tparam Tag tells the kinds apart
template <typename Tag>
class identifier
{
  public:
    identifier() = default;

    explicit identifier(std::string name) : m_name(std::move(name))
    {
    }

    /// @return the name as text
    const std::string& str() const noexcept
    {
        return m_name;
    }

    /// @return whether no name was given
    bool empty() const noexcept
    {
        return m_name.empty();
    }

    auto operator<=>(const identifier&) const = default;

  private:
    std::string m_name;
};

/// @brief Found by ADL; any JSON type of nlohmann's.
template <typename Json, typename Tag>
void to_json(Json& j, const identifier<Tag>& value)
{
    j = value.str();
}

template <typename Json, typename Tag>
void from_json(const Json& j, identifier<Tag>& value)
{
    value = identifier<Tag>(j.template get<std::string>());
}

using service_name = identifier<struct service_tag>;
using backend_server_name = identifier<struct backend_server_tag>;
using instance_name = identifier<struct instance_tag>;
using team_name = identifier<struct team_tag>;
using change_id = identifier<struct change_tag>;
/// Chosen by the caller for a request that may not be repeated.
using request_key = identifier<struct request_key_tag>;
/// The version of an index, as the backend servers name it.
using index_version = identifier<struct index_version_tag>;

} // namespace flaxtiller

template <typename Tag>
struct std::hash<flaxtiller::identifier<Tag>>
{
    std::size_t operator()(const flaxtiller::identifier<Tag>& value) const noexcept
    {
        return std::hash<std::string>()(value.str());
    }
};
