#include <LibModel/Text.h>

namespace Chicorytally::Model {

std::string_view toString(PartitionPolicy policy) { return policy == PartitionPolicy::Refuse ? "refuse" : "risk"; }

std::string_view toString(UpstreamState state) { return state == UpstreamState::Draining ? "draining" : "active"; }

std::string_view toString(ZoneState state) { return state == ZoneState::Out ? "out" : "in"; }

std::string_view toString(Core::Protocol protocol) { return protocol == Core::Protocol::Udp ? "udp" : "tcp"; }

}
