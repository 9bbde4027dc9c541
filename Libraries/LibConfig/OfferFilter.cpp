#include <LibConfig/OfferFilter.h>

#include <absl/strings/str_cat.h>

namespace Chicorytally::Config {

std::string_view toString(SourceErrorKind kind)
{
    switch (kind) {
    case SourceErrorKind::Unreachable:
        return "unreachable";
    case SourceErrorKind::Faulty:
        return "faulty";
    case SourceErrorKind::Stale:
        return "stale";
    case SourceErrorKind::RevisionNotGreater:
        return "revision_not_greater";
    }
    return "unknown";
}

OfferFilter::OfferFilter(std::string sourceName, RevisionRule rule)
    : m_sourceName(std::move(sourceName))
    , m_rule(rule)
{
}

SourceError OfferFilter::makeError(SourceErrorKind kind, std::string cause, std::vector<Fault> faults) const
{
    return { kind, m_sourceName, std::move(cause), std::move(faults) };
}

std::optional<SourceError> OfferFilter::checkRevision(Offer const& offer, bool& isNewer) const
{
    auto verdict = m_gate.judge(offer.revision, offer.digest);
    isNewer = verdict == RevisionVerdict::Newer;
    if (isNewer || verdict == RevisionVerdict::Unchanged)
        return std::nullopt;
    auto cause = absl::StrCat("the content changed, but revision ", offer.revision.value(),
        " is not greater than revision ", m_gate.newest().value(), ", which is in force");
    // An old copy is what a lagging replica of the platform offers. A folder has no replicas, so there it is a mistake.
    if (verdict == RevisionVerdict::Older && m_rule == RevisionRule::Offered)
        return makeError(SourceErrorKind::Stale, std::move(cause), {});
    Fault fault { m_sourceName, 0, 0, cause, "raise the revision, or put the former content back" };
    return makeError(SourceErrorKind::RevisionNotGreater, std::move(cause), { std::move(fault) });
}

OfferOutcome OfferFilter::offer(std::vector<SourceFile> files, Core::Revision revision)
{
    Offer offer { revision, digestOf(files) };
    if (m_lastOffer == offer)
        return {};
    m_lastOffer = offer;
    m_newestOffered = std::max(m_newestOffered, revision);

    bool isNewer = true;
    if (m_rule == RevisionRule::Offered) {
        if (auto error = checkRevision(offer, isNewer); error || !isNewer)
            return { .error = std::move(error) };
    }
    Parser parser;
    auto configuration = parser.parse(files, m_rule == RevisionRule::Offered ? revision : Core::Revision {});
    if (!configuration) {
        auto cause = absl::StrCat("revision ", revision.value(), " has ", parser.faults().size(), " faults");
        return { .error = makeError(SourceErrorKind::Faulty, std::move(cause), parser.faults()) };
    }
    if (m_rule == RevisionRule::DeclaredOrOffered) {
        if (!configuration->revision.isValid())
            configuration->revision = revision;
        offer.revision = configuration->revision;
        if (auto error = checkRevision(offer, isNewer); error || !isNewer)
            return { .error = std::move(error) };
    }
    m_gate.accept(configuration->revision, offer.digest);
    auto shared = std::make_shared<Model::Configuration const>(std::move(*configuration));
    return { .update = Update { std::move(shared), std::move(files) } };
}

}
