#pragma once

#include <LibDataPath/AdmissionControl.h>
#include <LibDataPath/FilterChain.h>
#include <LibDataPath/PeerTable.h>
#include <LibDataPath/PublishedValue.h>
#include <LibDataPath/ServiceTable.h>

#include <memory>

namespace Chicorytally::DataPath {

/// Greatest number of peer hops of a packet.
constexpr std::uint8_t MaxHopCount = 2;

/// Gives the data endpoint of a member.
using PeerEndpointLookup = std::function<std::optional<Core::Endpoint>(Core::VmId)>;

/// Decides a packet; Placement::Engine::decide() or a fake of it.
using DecideHook = std::function<Placement::Decision(Placement::PacketInfo const&)>;

/// The same inside the pipeline, which adds what it knows of the flow.
using DecideFilterHook = std::function<Placement::Decision(Placement::PacketInfo&)>;

/// Gives the endpoint that a refusal of this packet goes to; nothing when it can't be sent now.
using RefusalRouteHook = std::function<std::optional<Core::Endpoint>(PacketContext&)>;

/// Unwraps GUE, checks a peer hop and parses the inner packet.
Filter makeParseFilter(Packet::HopKeyRing const&, Core::VmId self = {});

/// Finds the service that the packet is for, in the table of the reader's last refresh.
Filter makeServiceFilter(PublishedValue<ServiceTable>::Reader const&);

/// Drops new flows while this balancer is overloaded.
Filter makeAdmissionFilter(AdmissionControl&);

/// Asks for a decision; a drop stops here.
Filter makePlacementFilter(DecideFilterHook);

/// For a packet that is refused or reset, builds the answer to the caller and sends it by the route. Other packets
/// pass.
Filter makeRefusalFilter(RefusalRouteHook);

/// Writes the outer header and sets the destination of a packet that is forwarded.
Filter makeEncapsulationFilter(Packet::HopKey const&, Core::VmId self, PeerEndpointLookup);

/// Marks the packet as dropped.
inline FilterResult dropPacket(PacketContext& context, DropReason reason)
{
    context.dropReason = reason;
    return FilterResult::Stop;
}

}
