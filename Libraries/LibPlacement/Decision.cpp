#include <LibPlacement/Decision.h>

namespace Chicorytally::Placement {

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Forward:
        return "forward";
    case Verdict::ForwardToPeer:
        return "forward_to_peer";
    case Verdict::Refuse:
        return "refuse";
    case Verdict::Reset:
        return "reset";
    case Verdict::Drop:
        return "drop";
    }
    return "unknown";
}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::Steady:
        return "steady";
    case Reason::Record:
        return "record";
    case Reason::Baseline:
        return "baseline";
    case Reason::NewFlow:
        return "new_flow";
    case Reason::NotOwner:
        return "not_owner";
    case Reason::NotSynchronised:
        return "not_synchronised";
    case Reason::UnknownService:
        return "unknown_service";
    case Reason::NoUpstream:
        return "no_upstream";
    case Reason::LimitReached:
        return "limit_reached";
    case Reason::Overloaded:
        return "overloaded";
    case Reason::Partitioned:
        return "partitioned";
    case Reason::AwaitingAcknowledgement:
        return "awaiting_acknowledgement";
    case Reason::AvailabilityZoneOut:
        return "availability_zone_out";
    case Reason::UpstreamGone:
        return "upstream_gone";
    case Reason::HopLimit:
        return "hop_limit";
    case Reason::Token:
        return "token";
    case Reason::RepeatedOpen:
        return "repeated_open";
    case Reason::UnknownToken:
        return "unknown_token";
    }
    return "unknown";
}

}
