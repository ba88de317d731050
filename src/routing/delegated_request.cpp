#include <flaxtiller/routing/delegated_request.hpp>

namespace flaxtiller
{

routed_request delegated_request(const delegate_shards& delegation)
{
    routed_request delegated = *delegation.sent;
    delegated.patience = delegation.patience;
    delegated.delegated_list = delegation.list;
    delegated.delegated_shards = delegation.shards;
    delegated.designated = delegation.designated;
    delegated.answer_within = delegation.answer_within;
    delegated.progress_within = delegation.progress_within;
    delegated.is_repeated_delegation = delegation.again;
    delegated.delegated_regions = delegation.regions;
    delegated.delegated_rules = delegation.rules;
    return delegated;
}

} // namespace flaxtiller
