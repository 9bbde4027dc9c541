#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibPlacement/Decision.h>

#include <cstdint>

namespace Chicorytally::Placement {

/// Properties of a caller's packet that the token placer decides by.
struct TokenPacket {
    Core::FlowKey flow;
    PacketKind kind { PacketKind::Data };
    Directory::RoutingToken token { 0 };
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 };
    /// Payload length in bytes.
    std::uint16_t length { 0 };
    /// Id of the request that starts in the payload, for logs; 0 if the payload doesn't show one.
    std::uint64_t requestId { 0 };
};

}
