#pragma once

#include <LibCore/Core.h>

#include <vector>

namespace Chicorytally::Membership {

/// Members whose updates are still to be piggybacked. An update is sent a bounded number of times, the least sent ones
/// first (SWIM, section 4.1), so that neither a message nor the traffic grows with the number of changes.
class UpdateQueue {
public:
    /// Adds the member, or starts again when it is queued.
    void add(Core::VmId);
    /// Up to `count` members, each of which has been taken less than `limit` times.
    std::vector<Core::VmId> take(std::size_t count, unsigned limit);
    std::size_t size() const { return m_items.size(); }

private:
    struct Item {
        Core::VmId vm;
        unsigned sent { 0 };
    };

    std::vector<Item> m_items;
};

}
