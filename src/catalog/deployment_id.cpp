#include <flaxtiller/catalog/deployment_id.hpp>

#include <flaxtiller/teams/key_digest.hpp>

namespace flaxtiller
{

deployment_id deployment_id::of_secret(std::string_view secret)
{
    // The text distinguishes this digest from those of callers' keys, which are made with the same secret.
    return secret.empty() ? deployment_id() : deployment_id(key_digest(secret, "deployment id").str());
}

} // namespace flaxtiller
