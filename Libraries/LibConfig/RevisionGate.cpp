#include <LibConfig/RevisionGate.h>

namespace Chicorytally::Config {

RevisionVerdict RevisionGate::judge(Core::Revision revision, Core::Hash128 digest) const
{
    if (revision > m_newest)
        return RevisionVerdict::Newer;
    if (m_digest == digest)
        return RevisionVerdict::Unchanged;
    if (revision < m_newest)
        return RevisionVerdict::Older;
    return m_digest ? RevisionVerdict::Conflicting : RevisionVerdict::Unchanged;
}

void RevisionGate::accept(Core::Revision revision, Core::Hash128 digest)
{
    m_newest = revision;
    m_digest = digest;
}

void RevisionGate::raise(Core::Revision revision)
{
    if (revision <= m_newest)
        return;
    m_newest = revision;
    m_digest.reset();
}

}
