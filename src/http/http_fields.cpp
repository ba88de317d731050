#include "http_fields.hpp"

#include "http_grammar.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace flaxtiller::shell
{

bool same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](unsigned char x, unsigned char y)
                                              {
                                                  return std::tolower(x) == std::tolower(y);
                                              });
}

namespace
{

/// @return whether the comma-separated @a list contains @a name
bool list_contains(std::string_view list, std::string_view name)
{
    while (!list.empty())
    {
        const auto comma = list.find(',');
        if (same_name(without_blanks(list.substr(0, comma)), name))
        {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

constexpr std::array<std::string_view, 10> hop_by_hop_fields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect", "Proxy-Authenticate"};

} // namespace

const std::string* http_fields::find(std::string_view name) const
{
    for (const auto& [key, value] : m_items)
    {
        if (same_name(key, name))
        {
            return &value;
        }
    }
    return nullptr;
}

std::size_t http_fields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(),
                                                  [&](const auto& item)
                                                  {
                                                      return same_name(item.first, name);
                                                  }));
}

std::string http_fields::value(std::string_view name) const
{
    const std::string* found = find(name);
    return found == nullptr ? std::string() : *found;
}

void http_fields::add(std::string name, std::string value)
{
    m_items.emplace_back(std::move(name), std::move(value));
}

void http_fields::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void http_fields::remove(std::string_view name)
{
    std::erase_if(m_items,
                  [&](const auto& item)
                  {
                      return same_name(item.first, name);
                  });
}

header_list http_fields::end_to_end() const
{
    const std::string connection = value("Connection");
    header_list kept;
    for (const auto& [name, value] : m_items)
    {
        const bool is_hop_by_hop = std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
                                               [&](std::string_view known)
                                               {
                                                   return same_name(known, name);
                                               });
        if (!is_hop_by_hop && !list_contains(connection, name))
        {
            kept.emplace_back(name, value);
        }
    }
    return kept;
}

} // namespace flaxtiller::shell
