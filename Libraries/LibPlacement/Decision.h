#pragma once

#include <LibCore/Core.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Chicorytally::Placement {

enum class PacketKind : std::uint8_t {
    /// TCP SYN: asks for a new flow.
    Open,
    /// Any other packet of a flow, also every UDP packet.
    Data,
    /// TCP FIN or RST.
    Close,
};

/// Properties of a packet that the engine decides by.
struct PacketInfo {
    Core::FlowKey flow;
    Core::ServiceId service;
    PacketKind kind { PacketKind::Data };
    /// Number of peer hops so far.
    std::uint8_t hopCount { 0 };
    /// The balancer that forwarded the packet; invalid when it came from the fabric.
    Core::VmId sender;
    /// The sender has seen earlier packets of the flow.
    bool isKnownToSender { false };
};

enum class Verdict : std::uint8_t {
    /// Encapsulate and send to the upstream.
    Forward,
    /// Forward to another balancer.
    ForwardToPeer,
    /// Tell the caller that its open was not forwarded to any upstream.
    Refuse,
    /// Tell the caller that its established flow is terminated.
    Reset,
    /// Discard silently; the caller's own retransmission is the retry.
    Drop,
};

enum class Reason : std::uint8_t {
    Steady,
    Record,
    Baseline,
    NewFlow,
    NotOwner,
    NotSynchronised,
    UnknownService,
    NoUpstream,
    LimitReached,
    Overloaded,
    Partitioned,
    AwaitingAcknowledgement,
    AvailabilityZoneOut,
    UpstreamGone,
    HopLimit,
    Token,
    RepeatedOpen,
    UnknownToken,
};

inline constexpr std::size_t VerdictCount = static_cast<std::size_t>(Verdict::Drop) + 1;
inline constexpr std::size_t ReasonCount = static_cast<std::size_t>(Reason::UnknownToken) + 1;

std::string_view toString(Verdict);
std::string_view toString(Reason);

struct Decision {
    Verdict verdict { Verdict::Drop };
    Reason reason { Reason::UnknownService };
    /// Valid for Forward.
    Core::UpstreamId upstream;
    /// Destination of the upstream's GUE packets; valid for Forward.
    Core::Endpoint destination;
    /// Valid for ForwardToPeer.
    Core::VmId peer;
};

}
