#include <LibCore/FlowKey.h>

#include <array>
#include <cstring>

namespace Chicorytally::Core {

Hash128 FlowKey::hash(std::uint64_t key) const
{
    std::array<std::uint8_t, 37> bytes;
    std::memcpy(bytes.data(), source.address.bytes().data(), 16);
    std::memcpy(bytes.data() + 16, destination.address.bytes().data(), 16);
    std::memcpy(bytes.data() + 32, &source.port, 2);
    std::memcpy(bytes.data() + 34, &destination.port, 2);
    bytes[36] = static_cast<std::uint8_t>(protocol);
    return hash128(bytes, key);
}

}
