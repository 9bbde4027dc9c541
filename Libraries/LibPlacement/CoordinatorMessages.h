#pragma once

#include <LibPlacement/Outbox.h>

#include <cstddef>

namespace Chicorytally::Placement {

// Limits that keep a message with its envelope within the 1,200 bytes of a datagram.
inline constexpr std::size_t EntriesPerMessage = 60;
inline constexpr std::size_t RecordsPerMessage = 40;
inline constexpr std::size_t GroupsPerOrder = 200;
inline constexpr std::size_t GroupsPerClaim = 6;
inline constexpr std::size_t SequencesPerAcknowledgement = 80;

/// Copies per second that one balancer sends. Spreads a handover over several seconds to limit control traffic.
inline constexpr double CopiesPerSecond = 1000;

/// Time until a claim without a reply is repeated. Claims have replies of their own; the outbox only resends messages
/// that are acknowledged, such as orders.
inline constexpr std::chrono::milliseconds ClaimInterval { 300 };
inline constexpr std::chrono::seconds StateRequestInterval { 2 };
inline constexpr std::chrono::seconds SweepInterval { 1 };

}
