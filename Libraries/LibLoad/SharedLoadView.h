#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibLoad/UpstreamSpeed.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>

namespace Chicorytally::Load {

struct SharedLoadViewOptions {
    /// Without it, all upstreams count as equally fast, and reports are ignored.
    bool isEnabled { true };
    /// While the fastest upstream of a service is at most this much faster than the slowest one, their speeds have no
    /// influence: smaller differences arise from the requests that they happen to get.
    double evenSpeedRatio { 1.5 };
};

/// What this balancer knows about the speed and load of upstreams. Not thread-safe.
class SharedLoadView {
public:
    SharedLoadView(SharedLoadViewOptions, Directory::UpstreamDirectory const&, UpstreamSpeed const&);

    /// Updates the speeds that the accessors return. Must be called every 50 ms.
    void tick();
    /// Rate of work relative to the usual one; 1 if unknown.
    double speedOf(Core::UpstreamId) const;
    /// Whether the upstreams of the service don't differ enough in speed for it to matter.
    bool hasEvenSpeeds(Core::ServiceId service) const
    {
        return m_unevenServices.empty() || !m_unevenServices.contains(service);
    }
    /// Whether the upstream is known to take so long that requests without a response for the given time are no sign of
    /// a failure.
    bool explainsSilence(Core::UpstreamId, std::chrono::milliseconds) const;

private:
    struct SpeedRange {
        double slowest { 1 };
        double fastest { 1 };
    };

    SharedLoadViewOptions m_options;
    Directory::UpstreamDirectory const& m_directory;
    UpstreamSpeed const& m_ownSpeeds;
    /// Upstreams whose speed differs from 1.
    absl::flat_hash_map<Core::UpstreamId, double> m_speeds;
    absl::flat_hash_map<Core::ServiceId, SpeedRange> m_unevenServices;
};

}
