#pragma once

#include <LibMembership/Membership.h>
#include <LibPlacement/Placement.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <vector>

namespace Chicorytally::Daemon {

/// Decides packets while this process doesn't know enough to place flows itself: it hands each packet to a member that
/// does. A packet that another balancer handed over is dropped, so that two starting balancers form no loop.
/// Thread-safe.
class StartupRelay {
public:
    explicit StartupRelay(Core::VmId self)
        : m_self(self)
    {
    }

    void applyMembers(std::vector<Membership::Member> const&);
    Placement::Decision decide(Placement::PacketInfo const&) const;

private:
    Core::VmId m_self;
    mutable absl::Mutex m_lock;
    std::vector<Core::VmId> m_peers ABSL_GUARDED_BY(m_lock);
};

}
