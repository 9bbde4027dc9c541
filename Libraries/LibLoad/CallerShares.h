#pragma once

#include <LibCore/Core.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Chicorytally::Load {

/// Divides capacity equally among the callers of a group: each active caller gets credit at the same rate, and what a
/// caller can't use goes to the others (max-min fairness, as deficit round robin gives it to queues; SIGCOMM 1995).
/// Memory is allocated once. Not thread-safe.
class CallerShares {
public:
    /// Callers with the same capacity to divide: a priority of a service.
    using Group = std::uint32_t;

    struct Caller {
        /// Hash of the group and the address; 0 if the entry is unused.
        std::uint64_t key { 0 };
        /// Requests that the caller may start now.
        float credit { 0 };
        /// Requests charged since capacity was last divided.
        float used { 0 };
        Core::TimePoint lastOpen;
        Core::TimePoint lastRefusal;
        /// Refusals that the caller may still answer with a retry.
        std::uint32_t pendingRetries { 0 };
    };

    CallerShares(Core::Clock const&, std::size_t maximumCallers);

    /// The entry of the caller, for use until the next call. A new caller gets a part of the cost of an open as credit,
    /// by a hash, so that callers with few opens get equal shares on average. Replaces the entry that was unused for
    /// the longest time if there is no free one.
    Caller& find(Group, Core::IpAddress const&, double openCost);
    /// Divides capacity, in requests, among the active callers of the group. Returns what they could not use.
    double grant(Group, double requests, double openCost);
    static void charge(Caller&, double requests, double maximumDebt);
    std::uint64_t evictions() const { return m_evictions; }

private:
    bool isActive(Caller const&) const;
    static float maximumCredit(Caller const&, double openCost);
    Caller& slotFor(std::uint64_t key);
    void collectMembers(Group);

    Core::Clock const& m_clock;
    std::vector<Caller> m_callers;
    /// Group of each entry, apart from it, so that the members of a group are found fast.
    std::vector<Group> m_groups;
    /// Active members of the group whose capacity is divided.
    std::vector<Caller*> m_members;
    std::uint64_t m_evictions { 0 };
};

}
