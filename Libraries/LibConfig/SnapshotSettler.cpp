#include <LibConfig/SnapshotSettler.h>

namespace Chicorytally::Config {

bool SnapshotSettler::offer(Core::Hash128 digest, Core::Revision revision, Core::TimePoint now)
{
    Snapshot snapshot { digest, revision };
    if (m_settled == snapshot) {
        m_candidate.reset();
        return false;
    }
    if (m_candidate != snapshot) {
        m_candidate = snapshot;
        m_candidateSince = now;
        return false;
    }
    if (now - m_candidateSince < m_quietTime)
        return false;
    m_settled = snapshot;
    m_candidate.reset();
    return true;
}

std::optional<Core::TimePoint> SnapshotSettler::nextRead() const
{
    return m_candidate ? std::optional<Core::TimePoint> { m_candidateSince + m_quietTime } : std::nullopt;
}

}
