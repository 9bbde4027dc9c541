#include <LibDataPath/Filters.h>

#include <algorithm>

namespace Chicorytally::DataPath {

static bool isRefused(PacketContext const& context)
{
    auto verdict = context.decision.verdict;
    return verdict == Placement::Verdict::Refuse || verdict == Placement::Verdict::Reset;
}

Filter makeRefusalFilter(RefusalRouteHook route)
{
    return [route = std::move(route)](PacketContext& context) {
        if (!isRefused(context))
            return FilterResult::Continue;
        auto size = Packet::writeRefusal(context.packet, context.refusalBuffer);
        if (!size)
            return dropPacket(context, DropReason::Unanswerable);
        auto destination = route(context);
        if (!destination)
            return dropPacket(
                context, context.dropReason == DropReason::None ? DropReason::NoFabric : context.dropReason);
        context.body = context.refusalBuffer.first(size);
        context.destination = *destination;
        auto header = Packet::buildGueHeader(context.body);
        std::ranges::copy(*header, context.header.begin());
        context.headerSize = header->size();
        return FilterResult::Continue;
    };
}

}
