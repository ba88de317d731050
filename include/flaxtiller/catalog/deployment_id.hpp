#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace flaxtiller
{

/// @brief Identifies the deployment that a process belongs to: a one-way digest of
/// configuration::key_secret, which the processes of one deployment share.
///
/// A process doesn't know its deployment before it has a configuration with a secret.
class deployment_id
{
  public:
    /// An unknown deployment.
    deployment_id() = default;

    /// @param text the output of @ref str, also of another process
    explicit deployment_id(std::string text) : m_text(std::move(text))
    {
    }

    /// @return the deployment with this secret; unknown for an empty secret
    static deployment_id of_secret(std::string_view secret);

    bool is_known() const noexcept
    {
        return !m_text.empty();
    }

    /// @return whether both are known and differ
    bool is_foreign_to(const deployment_id& other) const noexcept
    {
        return is_known() && other.is_known() && !(*this == other);
    }

    /// @return the digest in hexadecimal; empty if the deployment is unknown
    const std::string& str() const noexcept
    {
        return m_text;
    }

    bool operator==(const deployment_id&) const = default;

  private:
    std::string m_text;
};

} // namespace flaxtiller
