/// libFuzzer target for the parsers of GUE, IP, TCP, UDP and ICMP and the builders of refusals.

#include <LibPacket/Packet.h>

#include <cstdlib>
#include <vector>

using namespace Chicorytally;

static void require(bool condition)
{
    if (!condition)
        std::abort();
}

static bool isInside(Packet::Bytes part, Packet::Bytes whole)
{
    return part.empty() || (part.data() >= whole.data() && part.data() + part.size() <= whole.data() + whole.size());
}

static void checkRefusal(Packet::ParsedPacket const& packet)
{
    Packet::RefusalBuffer buffer;
    auto size = Packet::writeRefusal(packet, buffer);
    require(size <= buffer.size());
    if (!size)
        return;
    auto error = Packet::ParseError::None;
    auto refusal = Packet::parse({ buffer.data(), size }, error);
    require(refusal.has_value());
    // A refusal is never answered, so that no two hosts refuse each other without end.
    Packet::RefusalBuffer again;
    require(Packet::writeRefusal(*refusal, again) == 0);
}

static void checkInner(Packet::Bytes inner)
{
    auto error = Packet::ParseError::None;
    auto packet = Packet::parse(inner, error);
    require(packet.has_value() == (error == Packet::ParseError::None));
    if (!packet)
        return;
    require(isInside(packet->ip, inner) && isInside(packet->payload, inner));
    require(packet->flow.source.address != packet->flow.destination.address || packet->isIcmpError);
    checkRefusal(*packet);
    std::vector<std::uint8_t> copy { packet->ip.begin(), packet->ip.end() };
    Packet::decrementHopLimit(copy);
}

// libFuzzer calls the target by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    Packet::Bytes datagram { data, size };
    // The bytes as a datagram and as an inner packet, so that the fuzzer need not find the GUE header first.
    checkInner(datagram);
    auto encapsulated = Packet::parseGue(datagram);
    if (!encapsulated)
        return 0;
    require(isInside(encapsulated->inner, datagram));
    Packet::isAuthentic(*encapsulated, {});
    checkInner(encapsulated->inner);
    return 0;
}
