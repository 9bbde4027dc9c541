#include <LibConfig/PlatformSource.h>

namespace Chicorytally::Config {

static std::string urlOf(Core::Endpoint const& platform) { return "http://" + platform.toString() + "/v1/config"; }

PlatformSource::PlatformSource(PlatformSourceOptions options)
    : m_options(options)
    , m_url(urlOf(options.platform))
    , m_filter(m_url, RevisionRule::Offered)
    , m_reader(options.platform, options.timeouts, options.schedule, options.seed)
{
}

void PlatformSource::start(UpdateHook onUpdate, ErrorHook onError)
{
    m_onUpdate = std::move(onUpdate);
    m_onError = std::move(onError);
    m_reader.start([this](PlatformClient& client) { return read(client); });
}

void PlatformSource::raiseRevision(Core::Revision revision)
{
    absl::MutexLock lock { &m_filterLock };
    m_filter.raise(revision);
}

Source PlatformSource::asSource()
{
    return {
        .start = [this](UpdateHook onUpdate, ErrorHook onError) { start(std::move(onUpdate), std::move(onError)); },
        .stop = [this] { stop(); },
        .setActive = [this](bool isActive) { setActive(isActive); },
    };
}

bool PlatformSource::read(PlatformClient& client)
{
    Core::Revision index;
    {
        absl::MutexLock lock { &m_filterLock };
        index = m_filter.newestSeen();
    }
    std::string error;
    auto answer = client.readConfiguration(index, m_options.wait, error);
    if (!answer) {
        reportFailure(error);
        return false;
    }
    m_lastFailure.clear();
    OfferOutcome outcome;
    {
        absl::MutexLock lock { &m_filterLock };
        outcome = m_filter.offer(std::move(answer->files), answer->revision);
    }
    report(outcome);
    return true;
}

void PlatformSource::reportFailure(std::string const& cause)
{
    if (cause == m_lastFailure || !m_reader.isWanted())
        return;
    m_lastFailure = cause;
    m_onError({ SourceErrorKind::Unreachable, m_url, cause, {} });
}

void PlatformSource::report(OfferOutcome const& outcome)
{
    if (outcome.update)
        m_onUpdate(*outcome.update);
    if (outcome.error)
        m_onError(*outcome.error);
}

}
