#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief A name whose type differs from the types of other kinds of names, so that the compiler rejects a
/// mix-up.
/// @tparam Tag a type that identifies the kind of name
template <typename Tag>
class identifier
{
  public:
    identifier() = default;

    explicit identifier(std::string name) : m_name(std::move(name))
    {
    }

    /// @return the name as a string
    const std::string& str() const noexcept
    {
        return m_name;
    }

    /// @return whether the name is empty
    bool empty() const noexcept
    {
        return m_name.empty();
    }

    auto operator<=>(const identifier&) const = default;

  private:
    std::string m_name;
};

/// @brief Conversion for every `nlohmann::basic_json` type, found by argument-dependent lookup.
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
/// The key that the caller chooses for a request that may not be repeated.
using request_key = identifier<struct request_key_tag>;
/// The version of an index, as reported by the backend servers.
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
