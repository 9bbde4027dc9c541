#pragma once

#include <LibConfig/Config.h>
#include <LibDistribution/Distribution.h>

#include <atomic>
#include <string>
#include <thread>

namespace Chicorytally::Daemon {

/// Thread that reads the platform's configuration whenever the distribution controller wants a read, which only the
/// readers of an availability zone do.
class PlatformWatcher {
public:
    PlatformWatcher(Core::Endpoint const& platform, Distribution::Controller&);
    PlatformWatcher(PlatformWatcher const&) = delete;
    PlatformWatcher& operator=(PlatformWatcher const&) = delete;
    ~PlatformWatcher();

    void start();
    void stop();

private:
    void run();
    void read();

    std::string m_platform;
    Config::PlatformClient m_client;
    Distribution::Controller& m_distribution;
    bool m_isFailing { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

}
