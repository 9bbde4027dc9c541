#include <LibDataPath/Filters.h>

namespace Chicorytally::DataPath {

Filter makeAdmissionFilter(AdmissionControl& admission)
{
    return [&admission](PacketContext& context) {
        if (context.info.kind == Placement::PacketKind::Open && !admission.admitOpen())
            return dropPacket(context, DropReason::Overloaded);
        return FilterResult::Continue;
    };
}

}
