#include <LibDataPath/Filters.h>

namespace Chicorytally::DataPath {

Filter makePlacementFilter(DecideFilterHook decide)
{
    return [decide = std::move(decide)](PacketContext& context) {
        context.decision = decide(context.info);
        context.isDecided = true;
        if (context.decision.verdict == Placement::Verdict::Drop)
            return dropPacket(context, DropReason::Placement);
        return FilterResult::Continue;
    };
}

}
