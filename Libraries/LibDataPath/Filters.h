#pragma once

#include <LibDataPath/AdmissionControl.h>
#include <LibDataPath/FilterChain.h>
#include <LibDataPath/PeerTable.h>
#include <LibDataPath/PublishedValue.h>
#include <LibDataPath/ServiceTable.h>

#include <memory>

namespace Chicorytally::DataPath {

/// Maximum number of times that a packet is forwarded between balancers.
constexpr std::uint8_t MaxHopCount = 2;

/// Returns the data endpoint of a member, if known.
using PeerEndpointLookup = std::function<std::optional<Core::Endpoint>(Core::VmId)>;

/// Decides what happens to a packet; Placement::Engine::decide() or a test double.
using DecideHook = std::function<Placement::Decision(Placement::PacketInfo const&)>;

/// Like DecideHook, for use inside the pipeline, which sets PacketInfo::isKnownToSender of UDP packets from the fabric.
using DecideFilterHook = std::function<Placement::Decision(Placement::PacketInfo&)>;

/// Returns the endpoint to which a refusal of this packet is sent, or nothing if it can't be sent now.
using RefusalRouteHook = std::function<std::optional<Core::Endpoint>(PacketContext&)>;

/// Removes the GUE encapsulation, verifies the peer hop, if any, and parses the inner packet.
Filter makeParseFilter(Packet::HopKeyRing const&, Core::VmId self = {});

/// Looks up the service that the packet is addressed to, in the table of the reader's last refresh. Drops packets for
/// no service and packets with a service address as their source.
Filter makeServiceFilter(PublishedValue<ServiceTable>::Reader const&);

/// Drops the new flows that admission control rejects.
Filter makeAdmissionFilter(AdmissionControl&);

/// Obtains the placement decision; stops the chain if it is a drop.
Filter makePlacementFilter(DecideFilterHook);

/// For a packet that is refused or reset, builds the answer to the caller and sets the destination that the hook
/// returns. Leaves other packets unchanged.
Filter makeRefusalFilter(RefusalRouteHook);

/// Writes the outer header and sets the destination of a forwarded packet.
Filter makeEncapsulationFilter(Packet::HopKey const&, Core::VmId self, PeerEndpointLookup);

/// Records the reason for the drop and stops the chain.
inline FilterResult dropPacket(PacketContext& context, DropReason reason)
{
    context.dropReason = reason;
    return FilterResult::Stop;
}

}
