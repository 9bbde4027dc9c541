#include <LibDataPath/Filters.h>

namespace Chicorytally::DataPath {

Filter makeServiceFilter(PublishedValue<ServiceTable>::Reader const& reader)
{
    return [&reader](PacketContext& context) {
        auto const* table = reader.get();
        auto const& flow = context.packet.flow;
        if (table)
            context.info.service = table->find(flow.destination, flow.protocol);
        if (!context.info.service.isValid())
            return dropPacket(context, DropReason::UnknownService);
        if (table->isServiceAddress(flow.source.address))
            return dropPacket(context, DropReason::SpoofedSource);
        return FilterResult::Continue;
    };
}

}
