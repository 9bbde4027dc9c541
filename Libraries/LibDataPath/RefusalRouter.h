#pragma once

#include <LibDataPath/FilterChain.h>
#include <LibDataPath/PublishedValue.h>

#include <optional>

namespace Chicorytally::DataPath {

/// Endpoint of the fabric that last delivered a packet to any worker. If no endpoint is configured, a refusal is sent
/// to it when the refused packet came from another balancer. Thread-safe.
using FabricEndpoint = PublishedValue<Core::Endpoint>;

/// Chooses the destination of one worker's refusals and limits their rate. Not thread-safe.
class RefusalRouter {
public:
    /// The rate limit is a token bucket with a capacity of one second's refusals.
    RefusalRouter(FabricEndpoint&, std::optional<Core::Endpoint> configured, std::uint32_t maxPerSecond);

    void startBatch(Core::TimePoint now);
    /// Learns the fabric's endpoint from a packet that was received directly from it.
    void learnFabricEndpoint(PacketContext const&);
    /// Returns the destination for the refusal of the packet. Returns nothing if the rate limit is exceeded, with the
    /// drop reason set in the context, or if the fabric's endpoint is not known.
    std::optional<Core::Endpoint> route(PacketContext&);

private:
    FabricEndpoint& m_fabric;
    FabricEndpoint::Reader m_reader;
    std::optional<Core::Endpoint> m_configured;
    double m_maxPerSecond;
    double m_tokens;
    std::optional<Core::TimePoint> m_lastRefill;
    bool m_hasLearnedInBatch { false };
};

}
