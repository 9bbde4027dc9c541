#include <LibPlacement/Ownership.h>

namespace Chicorytally::Placement {

static bool mayOwn(Member const& member, Core::VmId self, bool isSelfLeaving)
{
    if (member.vm == self && isSelfLeaving)
        return false;
    return member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect;
}

Ownership Ownership::of(
    MemberView const& view, Core::VmId self, bool isSelfLeaving, Core::ServiceId service, std::size_t group)
{
    Ownership best;
    std::uint64_t ownerScore = 0;
    std::uint64_t backupScore = 0;
    auto groupHash = Core::hashPair(service.value(), group);
    for (auto const& member : view.members) {
        if (!mayOwn(member, self, isSelfLeaving))
            continue;
        auto score = Core::hashPair(groupHash, member.vm.value());
        if (!best.owner.isValid() || score > ownerScore) {
            best.backup = best.owner;
            backupScore = ownerScore;
            best.owner = member.vm;
            ownerScore = score;
        } else if (!best.backup.isValid() || score > backupScore) {
            best.backup = member.vm;
            backupScore = score;
        }
    }
    if (!best.owner.isValid())
        best.owner = self;
    return best;
}

}
