#include <LibPlacement/NoticeTracker.h>

#include <algorithm>

namespace Chicorytally::Placement {

NoticeTracker::Progress const* NoticeTracker::find(Core::VmId member, Core::ServiceId service) const
{
    auto services = m_progress.find(member);
    if (services == m_progress.end())
        return nullptr;
    auto progress = services->second.find(service);
    return progress != services->second.end() ? &progress->second : nullptr;
}

bool NoticeTracker::isSent(Core::VmId member, Core::ServiceId service, std::size_t bucket, Epoch epoch) const
{
    auto const* progress = find(member, service);
    return progress && bucket < progress->sent.size() && progress->sent[bucket] >= epoch;
}

bool NoticeTracker::isAcknowledged(Core::VmId member, Core::ServiceId service, std::size_t bucket, Epoch epoch) const
{
    auto const* progress = find(member, service);
    return progress && bucket < progress->acknowledged.size() && progress->acknowledged[bucket] >= epoch;
}

static void raiseEpoch(std::vector<Epoch>& epochs, std::size_t bucket, Epoch epoch)
{
    if (bucket >= epochs.size())
        epochs.resize(bucket + 1, 0);
    epochs[bucket] = std::max(epochs[bucket], epoch);
}

void NoticeTracker::markSent(Core::VmId member, Core::ServiceId service, std::size_t bucket, Epoch epoch)
{
    raiseEpoch(m_progress[member][service].sent, bucket, epoch);
}

void NoticeTracker::acknowledge(Core::VmId member, Core::ServiceId service, std::size_t bucket, Epoch epoch)
{
    raiseEpoch(m_progress[member][service].acknowledged, bucket, epoch);
}

void NoticeTracker::reset(Core::VmId member) { m_progress.erase(member); }

}
