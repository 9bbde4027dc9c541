#include <LibLoad/ShareRule.h>

#include <algorithm>

namespace Chicorytally::Load {

OpenerId openerId(Core::VmId vm, Core::Incarnation incarnation)
{
    return OpenerId { std::max<std::uint64_t>(1, Core::hashPair(vm.value(), incarnation.value())) };
}

ShareRank shareRank(std::span<OpenerId const> openers, OpenerId self, Core::UpstreamId upstream)
{
    ShareRank result { .openers = static_cast<std::uint32_t>(std::max<std::size_t>(1, openers.size())), .rank = 0 };
    auto ownScore = Core::hashPair(self.value(), upstream.value());
    for (auto opener : openers) {
        auto score = Core::hashPair(opener.value(), upstream.value());
        // Ties are broken by id, so that two openers never get the same rank.
        if (score > ownScore || (score == ownScore && opener > self))
            ++result.rank;
    }
    return result;
}

std::uint32_t shareOf(std::uint32_t limit, ShareRank rank)
{
    return limit / rank.openers + (rank.rank < limit % rank.openers ? 1 : 0);
}

}
