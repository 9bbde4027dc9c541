#pragma once

#include <LibConfig/RevisionGate.h>
#include <LibConfig/Source.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Config {

enum class RevisionRule : std::uint8_t {
    /// The offered revision counts; a `revision` key in the files is ignored. For the platform.
    Offered,
    /// The `revision` key of the files counts, and without one the offered revision. For a local folder.
    DeclaredOrOffered,
};

/// What became of an offer; neither when it changes nothing.
struct OfferOutcome {
    std::optional<Update> update {};
    std::optional<SourceError> error {};
};

/// Turns file sets that a source reads into updates and errors. A repeated offer is neither parsed nor reported again.
/// A file set with faults does not move the revision in force, so its correction may carry the same revision. Not
/// thread-safe.
class OfferFilter {
public:
    /// The source name appears in errors.
    OfferFilter(std::string sourceName, RevisionRule);

    OfferOutcome offer(std::vector<SourceFile> files, Core::Revision);
    /// See RevisionGate::raise().
    void raise(Core::Revision revision) { m_gate.raise(revision); }
    /// Greatest revision in force or offered: a blocking query that asks for a later one doesn't return with an offer
    /// that was refused before.
    Core::Revision newestSeen() const { return std::max(m_gate.newest(), m_newestOffered); }

private:
    struct Offer {
        Core::Revision revision;
        Core::Hash128 digest;

        friend bool operator==(Offer const&, Offer const&) = default;
    };

    SourceError makeError(SourceErrorKind, std::string cause, std::vector<Fault> faults) const;
    std::optional<SourceError> checkRevision(Offer const&, bool& isNewer) const;

    std::string m_sourceName;
    RevisionRule m_rule;
    RevisionGate m_gate;
    Core::Revision m_newestOffered;
    std::optional<Offer> m_lastOffer;
};

}
