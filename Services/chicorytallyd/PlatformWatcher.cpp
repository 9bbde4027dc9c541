#include "PlatformWatcher.h"

#include "ConfigurationController.h"

#include <LibTelemetry/Telemetry.h>

namespace Chicorytally::Daemon {

using Telemetry::Level;
using Telemetry::logEvent;

// Not longer than the distribution controller allows for a watch.
static constexpr std::chrono::seconds WatchTime { 3 };
static constexpr std::chrono::milliseconds IdleInterval { 100 };

PlatformWatcher::PlatformWatcher(Core::Endpoint const& platform, Distribution::Controller& distribution)
    : m_platform(platform.toString())
    , m_client(platform, {})
    , m_distribution(distribution)
{
}

PlatformWatcher::~PlatformWatcher() { stop(); }

void PlatformWatcher::start()
{
    m_thread = std::thread { [this] { run(); } };
}

void PlatformWatcher::stop()
{
    m_isStopping = true;
    m_client.cancel();
    if (m_thread.joinable())
        m_thread.join();
}

void PlatformWatcher::run()
{
    while (!m_isStopping) {
        if (m_distribution.tryStartPlatformRead())
            read();
        else
            std::this_thread::sleep_for(IdleInterval);
    }
}

void PlatformWatcher::read()
{
    std::string error;
    auto known = m_distribution.platformRevision();
    auto configuration = m_client.readConfiguration(known, WatchTime, error);
    if (!configuration) {
        m_distribution.platformFailed();
        if (!m_isFailing && !m_isStopping)
            logEvent(Level::Warn, "platform_unreachable", { { "platform", m_platform }, { "cause", error } });
        m_isFailing = true;
        return;
    }
    if (m_isFailing)
        logEvent(Level::Info, "platform_reachable", { { "platform", m_platform } });
    m_isFailing = false;
    if (configuration->revision == known)
        m_distribution.platformUnchanged();
    else
        m_distribution.offerPlatformCopy(configuration->revision, toFileSet(configuration->files));
}

}
