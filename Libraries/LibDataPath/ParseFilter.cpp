#include <LibDataPath/Filters.h>

namespace Chicorytally::DataPath {

static Placement::PacketKind kindOf(Packet::ParsedPacket const& packet)
{
    if (packet.isOpening())
        return Placement::PacketKind::Open;
    if (packet.isClosing())
        return Placement::PacketKind::Close;
    return Placement::PacketKind::Data;
}

static DropReason checkHop(Packet::GuePacket const& packet, Packet::HopKeyRing const& keys, Core::VmId self)
{
    if (!packet.hop)
        return DropReason::None;
    if (!keys.accepts(packet))
        return DropReason::UnauthenticHop;
    auto isPossible = packet.hop->hopCount >= 1 && packet.hop->hopCount <= MaxHopCount;
    if (!isPossible || packet.hop->sender == self)
        return DropReason::BadHop;
    return DropReason::None;
}

Filter makeParseFilter(Packet::HopKeyRing const& keys, Core::VmId self)
{
    return [keys, self](PacketContext& context) {
        if (context.isTruncated)
            return dropPacket(context, DropReason::Oversized);
        auto encapsulated = Packet::parseGue(context.datagram);
        if (!encapsulated)
            return dropPacket(context, DropReason::BadEncapsulation);
        auto hopError = checkHop(*encapsulated, keys, self);
        if (hopError != DropReason::None)
            return dropPacket(context, hopError);
        auto packet = Packet::parse(encapsulated->inner, context.parseError);
        if (!packet)
            return dropPacket(context, DropReason::BadPacket);
        context.encapsulated = *encapsulated;
        context.packet = *packet;
        context.info.flow = packet->flow;
        context.info.kind = kindOf(*packet);
        if (encapsulated->hop) {
            context.info.hopCount = encapsulated->hop->hopCount;
            context.info.sender = encapsulated->hop->sender;
            context.info.isKnownToSender = encapsulated->hop->isKnownFlow;
        }
        return FilterResult::Continue;
    };
}

}
