#include <LibDataPath/Filters.h>

namespace Chicorytally::DataPath {

Filter makeAdmissionFilter(Admission& admission)
{
    return [&admission](PacketContext& context) {
        if (context.info.kind == Placement::PacketKind::Open && !admission.admitOpen())
            return stop(context, DropReason::Overloaded);
        return FilterResult::Continue;
    };
}

}
