#pragma once

#include <LibCore/Core.h>

#include <cstdint>
#include <optional>

namespace Chicorytally::Config {

enum class RevisionVerdict : std::uint8_t {
    /// Greater than every revision accepted so far.
    Newer,
    /// What is in force already.
    Unchanged,
    /// Older than the one in force, with other content.
    Older,
    /// The revision in force, with other content.
    Conflicting,
};

/// Decides by the revision alone whether an offered configuration may replace the one in force. The digest only tells
/// whether two offers are equal. Not thread-safe.
class RevisionGate {
public:
    RevisionVerdict judge(Core::Revision, Core::Hash128 digest) const;
    /// The offer is in force from now on. Must have been judged Newer.
    void accept(Core::Revision, Core::Hash128 digest);
    /// A revision came into force that was learnt elsewhere, for example from a peer. A smaller one changes nothing.
    void raise(Core::Revision);
    /// Greatest revision that is or was in force; invalid before the first one.
    Core::Revision newest() const { return m_newest; }

private:
    Core::Revision m_newest;
    /// Nothing when the newest revision was learnt elsewhere.
    std::optional<Core::Hash128> m_digest;
};

}
