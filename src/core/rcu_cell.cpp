#include <flaxtiller/core/rcu_cell.hpp>

// The "bulletproof" flavor of liburcu registers reader threads automatically, so that every thread may read.
#include <urcu-bp.h>

namespace flaxtiller::detail
{

rcu_read_section::rcu_read_section() noexcept
{
    urcu_bp_read_lock();
}

rcu_read_section::~rcu_read_section()
{
    urcu_bp_read_unlock();
}

void* rcu_load(void* const* slot) noexcept
{
    return rcu_dereference(*slot);
}

void* rcu_replace(void** slot, void* next) noexcept
{
    void* previous = rcu_xchg_pointer(slot, next);
    urcu_bp_synchronize_rcu();
    return previous;
}

} // namespace flaxtiller::detail
