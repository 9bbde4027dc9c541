#include <LibDataPath/Filters.h>

#include <algorithm>

namespace Chicorytally::DataPath {

std::string_view toString(DropReason reason)
{
    switch (reason) {
    case DropReason::None:
        return "none";
    case DropReason::Truncated:
        return "truncated";
    case DropReason::BadEncapsulation:
        return "bad_encapsulation";
    case DropReason::UnauthenticHop:
        return "unauthentic_hop";
    case DropReason::BadPacket:
        return "bad_packet";
    case DropReason::UnknownService:
        return "unknown_service";
    case DropReason::Placement:
        return "placement";
    case DropReason::UnknownPeer:
        return "unknown_peer";
    }
    return "unknown";
}

static FilterResult stop(PacketContext& context, DropReason reason)
{
    context.dropReason = reason;
    return FilterResult::Stop;
}

static Placement::PacketKind kindOf(Packet::ParsedPacket const& packet)
{
    if (packet.isOpening())
        return Placement::PacketKind::Open;
    if (packet.isClosing())
        return Placement::PacketKind::Close;
    return Placement::PacketKind::Data;
}

Filter makeParseFilter(Packet::HopKey const& key)
{
    return [key](PacketContext& context) {
        if (context.isTruncated)
            return stop(context, DropReason::Truncated);
        auto encapsulated = Packet::parseGue(context.datagram);
        if (!encapsulated)
            return stop(context, DropReason::BadEncapsulation);
        if (encapsulated->hop && !Packet::isAuthentic(*encapsulated, key))
            return stop(context, DropReason::UnauthenticHop);
        auto packet = Packet::parse(encapsulated->inner, context.parseError);
        if (!packet)
            return stop(context, DropReason::BadPacket);
        context.encapsulated = *encapsulated;
        context.packet = *packet;
        context.info.flow = packet->flow;
        context.info.kind = kindOf(*packet);
        if (encapsulated->hop) {
            context.info.hopCount = encapsulated->hop->hopCount;
            context.info.sender = encapsulated->hop->sender;
        }
        return FilterResult::Continue;
    };
}

Filter makeServiceFilter(ConfigurationSource source)
{
    return [source = std::move(source)](PacketContext& context) {
        auto configuration = source();
        if (!configuration)
            return stop(context, DropReason::UnknownService);
        auto const* service = configuration->findService(context.packet.flow.destination, context.packet.flow.protocol);
        if (!service)
            return stop(context, DropReason::UnknownService);
        context.info.service = service->id;
        return FilterResult::Continue;
    };
}

Filter makePlacementFilter(Placement::Engine& engine)
{
    return [&engine](PacketContext& context) {
        context.decision = engine.decide(context.info);
        // FIXME: Refuse and Reset are dropped silently until packets to the caller are built.
        auto verdict = context.decision.verdict;
        if (verdict == Placement::Verdict::Forward || verdict == Placement::Verdict::ForwardToPeer)
            return FilterResult::Continue;
        return stop(context, DropReason::Placement);
    };
}

template <typename Header> static FilterResult setHeader(PacketContext& context, Header const& header)
{
    if (!header)
        return stop(context, DropReason::BadPacket);
    std::ranges::copy(*header, context.header.begin());
    context.headerSize = header->size();
    return FilterResult::Continue;
}

Filter makeEncapsulationFilter(Packet::HopKey const& key, Core::VmId self, PeerAddressSource peers)
{
    return [key, self, peers = std::move(peers)](PacketContext& context) {
        auto inner = context.encapsulated.inner;
        if (context.decision.verdict == Placement::Verdict::Forward) {
            context.destination = context.decision.destination;
            return setHeader(context, Packet::gueHeader(inner));
        }
        auto address = peers(context.decision.peer);
        if (!address)
            return stop(context, DropReason::UnknownPeer);
        context.destination = *address;
        auto hopCount = static_cast<std::uint8_t>(context.info.hopCount + 1);
        return setHeader(context, Packet::gueHopHeader(inner, { self, hopCount }, key));
    };
}

}
