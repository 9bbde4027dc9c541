#pragma once

#include <LibModel/Model.h>
#include <LibPacket/Packet.h>
#include <LibPlacement/Placement.h>

#include <array>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Chicorytally::DataPath {

/// Why the data path dropped a packet, beside the reasons of the placement engine.
enum class DropReason : std::uint8_t {
    None,
    Truncated,
    BadEncapsulation,
    UnauthenticHop,
    BadPacket,
    UnknownService,
    Placement,
    UnknownPeer,
};

std::string_view toString(DropReason);

/// One packet on its way through the filters. Points into the receive buffer.
struct PacketContext {
    Packet::Bytes datagram;
    Core::Endpoint from;
    bool isTruncated { false };

    Packet::GuePacket encapsulated;
    Packet::ParsedPacket packet;
    Packet::ParseError parseError { Packet::ParseError::None };
    Placement::PacketInfo info;
    Placement::Decision decision;
    DropReason dropReason { DropReason::None };

    /// What to send; filled in by the last filter.
    std::array<std::uint8_t, Packet::GueHopHeaderSize> header;
    std::size_t headerSize { 0 };
    Core::Endpoint destination;
};

enum class FilterResult : std::uint8_t {
    Continue,
    /// The packet is dropped; the context's dropReason says why.
    Stop,
};

using Filter = std::function<FilterResult(PacketContext&)>;

/// Runs filters in order until one stops. Immutable after construction; thread-safe if its filters are.
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
