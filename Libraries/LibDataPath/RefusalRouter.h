#pragma once

#include <LibDataPath/FilterChain.h>
#include <LibDataPath/PublishedValue.h>

#include <optional>

namespace Chicorytally::DataPath {

/// Endpoint of the fabric that refusals go to when the refused packet came from another balancer. Without a configured
/// endpoint it is the one that last delivered a packet to any worker. Thread-safe.
using FabricEndpoint = PublishedValue<Core::Endpoint>;

/// Says where one worker sends a refusal, and bounds how many it sends. Not thread-safe.
class RefusalRouter {
public:
    /// The limit is a token bucket that holds the refusals of one second.
    RefusalRouter(FabricEndpoint&, std::optional<Core::Endpoint> configured, std::uint32_t maxPerSecond);

    void startBatch(Core::TimePoint now);
    /// Notes where the fabric is, from a packet that came from it directly.
    void learnFabricEndpoint(PacketContext const&);
    /// Where to send the refusal of the packet; nothing and the drop reason in the context when it must not be sent.
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
