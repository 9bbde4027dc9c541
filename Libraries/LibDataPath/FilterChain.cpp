#include <LibDataPath/FilterChain.h>

namespace Chicorytally::DataPath {

std::string_view toString(DropReason reason)
{
    switch (reason) {
    case DropReason::None:
        return "none";
    case DropReason::Oversized:
        return "oversized";
    case DropReason::BadEncapsulation:
        return "bad_encapsulation";
    case DropReason::UnauthenticHop:
        return "unauthentic_hop";
    case DropReason::BadHop:
        return "bad_hop";
    case DropReason::BadPacket:
        return "bad_packet";
    case DropReason::UnknownService:
        return "unknown_service";
    case DropReason::SpoofedSource:
        return "spoofed_source";
    case DropReason::Overloaded:
        return "overloaded";
    case DropReason::Placement:
        return "placement";
    case DropReason::UnknownPeer:
        return "unknown_peer";
    case DropReason::Unanswerable:
        return "unanswerable";
    case DropReason::RefusalLimit:
        return "refusal_limit";
    case DropReason::NoFabric:
        return "no_fabric";
    }
    return "unknown";
}

}
