#include <LibDirectory/RoutingToken.h>

namespace Chicorytally::Directory {

// Any constant: it keeps tokens apart from other hashes of the same ids.
static constexpr std::uint64_t TokenSalt = 0x746f6b656e;

RoutingToken routingToken(Core::UpstreamId upstream)
{
    auto token = static_cast<RoutingToken>(Core::hashPair(upstream.value(), TokenSalt));
    return token ? token : 1;
}

}
