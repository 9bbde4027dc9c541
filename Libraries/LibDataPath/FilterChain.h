#pragma once

#include <LibModel/Model.h>
#include <LibPacket/Packet.h>
#include <LibPlacement/Placement.h>

#include <array>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Chicorytally::DataPath {

/// Why the data path dropped a packet. The placement engine has its own reasons for the drops that it decides.
enum class DropReason : std::uint8_t {
    None,
    /// Longer than the receive buffer.
    Oversized,
    BadEncapsulation,
    /// The authentication tag of a peer hop does not verify with any accepted key.
    UnauthenticHop,
    /// The hop count is out of range, or the packet returned to the balancer that sent it.
    BadHop,
    /// The parse error has the details.
    BadPacket,
    UnknownService,
    /// The source address belongs to a service.
    SpoofedSource,
    /// A new flow arrived while this balancer is overloaded or accepts no new flows.
    Overloaded,
    /// The placement engine decided to drop; the decision's reason has the details.
    Placement,
    UnknownPeer,
    /// A refusal is due, but the packet must not be answered (RFC 9293, section 3.10.7; RFC 1122, section 3.2.2).
    Unanswerable,
    /// The rate limit for refusals is exceeded.
    RefusalLimit,
    /// A refusal is due, but the fabric's endpoint is not known yet.
    NoFabric,
};

constexpr std::size_t DropReasonCount = static_cast<std::size_t>(DropReason::NoFabric) + 1;

std::string_view toString(DropReason);

/// State of one packet while it passes through the filters. Points into the receive buffer.
struct PacketContext {
    std::span<std::uint8_t> datagram;
    Core::Endpoint from;
    /// The datagram was longer than the receive buffer.
    bool isTruncated { false };

    Packet::GuePacket encapsulated;
    Packet::ParsedPacket packet;
    Packet::ParseError parseError { Packet::ParseError::None };
    Placement::PacketInfo info;
    /// Valid when isDecided.
    Placement::Decision decision;
    bool isDecided { false };
    DropReason dropReason { DropReason::None };

    /// Outer header of the datagram to send. Like body and destination, set by the refusal filter or the encapsulation
    /// filter.
    std::array<std::uint8_t, Packet::GueHopHeaderSize> header;
    std::size_t headerSize { 0 };
    Packet::Bytes body;
    Core::Endpoint destination;
    /// Buffer for a refusal, owned by the worker.
    std::span<std::uint8_t> refusalBuffer;
};

enum class FilterResult : std::uint8_t {
    Continue,
    /// The packet is dropped; the context's dropReason gives the cause.
    Stop,
};

using Filter = std::function<FilterResult(PacketContext&)>;

/// Runs filters in order until one returns Stop. Immutable after construction; thread-safe if its filters are.
class FilterChain {
public:
    explicit FilterChain(std::vector<Filter> filters)
        : m_filters(std::move(filters))
    {
    }

    FilterResult run(PacketContext& context) const
    {
        for (auto const& filter : m_filters) {
            if (filter(context) == FilterResult::Stop)
                return FilterResult::Stop;
        }
        return FilterResult::Continue;
    }

private:
    std::vector<Filter> m_filters;
};

}
