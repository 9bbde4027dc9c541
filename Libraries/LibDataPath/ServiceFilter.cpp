#include <LibDataPath/Filters.h>

namespace Chicorytally::DataPath {

Filter makeServiceFilter(Published<ServiceTable>::Reader const& reader)
{
    return [&reader](PacketContext& context) {
        auto const* table = reader.get();
        auto const& flow = context.packet.flow;
        if (table)
            context.info.service = table->find(flow.destination, flow.protocol);
        if (!context.info.service.isValid())
            return stop(context, DropReason::UnknownService);
        if (table->isServiceAddress(flow.source.address))
            return stop(context, DropReason::SpoofedSource);
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

}
