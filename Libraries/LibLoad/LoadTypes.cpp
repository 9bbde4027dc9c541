#include <LibLoad/LoadTypes.h>

namespace Chicorytally::Load {

std::string_view toString(UpstreamCondition condition)
{
    switch (condition) {
    case UpstreamCondition::Active:
        return "active";
    case UpstreamCondition::Starting:
        return "starting";
    case UpstreamCondition::Unhealthy:
        return "unhealthy";
    case UpstreamCondition::Draining:
        return "draining";
    case UpstreamCondition::Ended:
        return "ended";
    case UpstreamCondition::ZoneOut:
        return "zone_out";
    }
    return "unknown";
}

}
