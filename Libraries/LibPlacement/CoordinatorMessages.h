#pragma once

#include <LibPlacement/Outbox.h>

#include <cstddef>

namespace Chicorytally::Placement {

// A message with its envelope stays within the 1,200 bytes of a datagram.
inline constexpr std::size_t EntriesPerMessage = 60;
inline constexpr std::size_t RecordsPerMessage = 40;
inline constexpr std::size_t GroupsPerOrder = 200;
inline constexpr std::size_t GroupsPerClaim = 6;
inline constexpr std::size_t SequencesPerAcknowledgement = 80;

/// Copies per second that one balancer sends; it spreads a handover over seconds, so that control traffic stays small.
inline constexpr double CopiesPerSecond = 1000;

/// An order that isn't acknowledged is repeated by the outbox; a claim has replies of its own.
inline constexpr std::chrono::milliseconds ClaimInterval { 300 };
inline constexpr std::chrono::seconds StateRequestInterval { 2 };
inline constexpr std::chrono::seconds SweepInterval { 1 };

}
