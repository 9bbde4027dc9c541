#include <LibDirectory/RoutingToken.h>

namespace Chicorytally::Directory {

// Makes tokens differ from other hashes of the same IDs; the value is arbitrary.
static constexpr std::uint64_t TokenSalt = 0x746f6b656e;

RoutingToken routingToken(Core::UpstreamId upstream)
{
    auto token = static_cast<RoutingToken>(Core::hashPair(upstream.value(), TokenSalt));
    return token ? token : 1;
}

}
