#include <LibDataPath/Filters.h>

#include <algorithm>

namespace Chicorytally::DataPath {

// Returns the inner packet without padding, as a mutable part of the receive buffer.
static std::span<std::uint8_t> mutableInner(PacketContext& context)
{
    auto offset = static_cast<std::size_t>(context.packet.ip.data() - context.datagram.data());
    return context.datagram.subspan(offset, context.packet.ip.size());
}

template <typename Header> static FilterResult setHeader(PacketContext& context, Header const& header)
{
    if (!header)
        return dropPacket(context, DropReason::BadPacket);
    std::ranges::copy(*header, context.header.begin());
    context.headerSize = header->size();
    return FilterResult::Continue;
}

static FilterResult sendToUpstream(PacketContext& context)
{
    auto inner = mutableInner(context);
    // Terminates a loop through an upstream address that routes back to a balancer. Not needed on a peer hop, where the
    // hop count limits loops.
    Packet::decrementHopLimit(inner);
    context.body = inner;
    context.destination = context.decision.destination;
    return setHeader(context, Packet::buildGueHeader(inner));
}

Filter makeEncapsulationFilter(Packet::HopKey const& key, Core::VmId self, PeerEndpointLookup peers)
{
    return [key, self, peers = std::move(peers)](PacketContext& context) {
        if (context.headerSize)
            return FilterResult::Continue;
        if (context.decision.verdict == Placement::Verdict::Forward)
            return sendToUpstream(context);
        if (context.decision.verdict != Placement::Verdict::ForwardToPeer)
            return dropPacket(context, DropReason::Placement);
        auto hopCount = static_cast<std::uint8_t>(context.info.hopCount + 1);
        if (hopCount > MaxHopCount)
            return dropPacket(context, DropReason::BadHop);
        auto address = peers(context.decision.peer);
        if (!address)
            return dropPacket(context, DropReason::UnknownPeer);
        context.body = context.packet.ip;
        context.destination = *address;
        return setHeader(
            context, Packet::buildGueHopHeader(context.body, { self, hopCount, context.info.isKnownToSender }, key));
    };
}

}
