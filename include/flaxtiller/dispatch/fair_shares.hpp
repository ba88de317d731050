#pragma once

#include <algorithm>
#include <set>

namespace flaxtiller::dispatch
{

/// @brief Divides service among members by start-time fair queueing.
///
/// The member with the least service received is next. A member that begins to wait is placed at most
/// @a credit behind the virtual time, so that it gets little for the time in which it did not wait. A member
/// that stops waiting keeps its service until it lies that far behind; otherwise, a member with never more
/// than one entry would always be first.
///
/// @tparam Member has a member `served` of type double, and a member `key` that orders members with equal
/// service. The caller owns the members and keeps their addresses.
template <typename Member>
class fair_shares
{
  public:
    struct by_service
    {
        bool operator()(const Member* a, const Member* b) const
        {
            return a->served != b->served ? a->served < b->served : a->key < b->key;
        }
    };

    using members = std::set<Member*, by_service>;

    /// @param credit the service that a member that did not wait may receive ahead of the others
    explicit fair_shares(double credit = 0.0) : m_credit(credit)
    {
    }

    /// @brief Adds a member that begins to wait.
    void activate(Member& member)
    {
        m_idle.erase(&member);
        member.served = std::max(member.served, m_virtual_time - m_credit);
        m_active.insert(&member);
    }

    /// @brief Marks that a member no longer waits.
    void deactivate(Member& member)
    {
        m_active.erase(&member);
        m_idle.insert(&member);
    }

    /// @brief Adds @a amount to the service of a member, whether it waits or not.
    void charge(Member& member, double amount)
    {
        if (!m_active.empty())
        {
            m_virtual_time = std::max(m_virtual_time, (*m_active.begin())->served);
        }
        members& holder = m_active.count(&member) > 0 ? m_active : m_idle;
        holder.erase(&member);
        member.served = std::max(member.served, m_virtual_time - m_credit) + amount;
        holder.insert(&member);
    }

    /// @brief Removes an idle member whose service no longer differs from that of a new member.
    /// @return the member, or null if there is none
    Member* take_expired()
    {
        if (m_idle.empty() || (*m_idle.begin())->served > m_virtual_time - m_credit)
        {
            return nullptr;
        }
        return m_idle.extract(m_idle.begin()).value();
    }

    /// @return the waiting members, the next one first
    const members& active() const noexcept
    {
        return m_active;
    }

    void clear()
    {
        m_active.clear();
        m_idle.clear();
        m_virtual_time = 0.0;
    }

  private:
    members m_active;
    members m_idle;
    double m_credit;
    double m_virtual_time = 0.0;
};

} // namespace flaxtiller::dispatch
