#pragma once

#include <LibCore/Core.h>

#include <cstdint>
#include <span>

namespace Chicorytally::Load {

/// One lifetime of a process that opens flows. A restarted process is another opener, because it doesn't know the flows
/// of the earlier one.
using OpenerId = Core::Id<struct OpenerTag>;

OpenerId openerId(Core::VmId, Core::Incarnation);

/// Rank of an opener among all openers of an upstream.
struct ShareRank {
    std::uint32_t openers { 1 };
    /// Rendezvous rank, 0 first.
    std::uint32_t rank { 0 };
};

/// The rank of an opener within a set that contains it.
ShareRank shareRank(std::span<OpenerId const> openers, OpenerId, Core::UpstreamId);

/// The share of a limit that an opener may use: floor(limit / openers), with the remainder distributed by rank. The
/// shares of all openers add up to the limit. A share never shrinks when another opener leaves the set, so openers with
/// different sets stay within the limit as long as each set contains all actual openers.
std::uint32_t shareOf(std::uint32_t limit, ShareRank);

}
