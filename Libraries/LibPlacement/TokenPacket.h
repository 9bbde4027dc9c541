#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibPlacement/Decision.h>

#include <cstdint>

namespace Chicorytally::Placement {

/// What the token placer needs to know of one packet of a caller.
struct TokenPacket {
    Core::FlowKey flow;
    PacketKind kind { PacketKind::Data };
    Directory::RoutingToken token { 0 };
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 };
    /// Bytes of data.
    std::uint16_t length { 0 };
    /// Id of the request that begins in the data, for logs; 0 where the bytes don't show one.
    std::uint64_t requestId { 0 };
};

}
