#include "Daemon.h"

#include <absl/flags/usage.h>
#include <absl/synchronization/mutex.h>

#include <csignal>
#include <iostream>
#include <pthread.h>
#include <sodium.h>

using namespace Chicorytally;

static constexpr int ExitBadSetting = 2;

// All threads inherit the blocked signals, so that only sigwait() below takes them.
static sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

static void waitForStop(Daemon::Daemon& daemon, sigset_t const& signals)
{
    while (true) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal != SIGHUP)
            return;
        daemon.reload();
    }
}

int main(int argc, char** argv)
{
    auto signals = blockSignals();
    // Debian builds Abseil with a search for lock cycles, which costs more than the packet path itself.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    // A closed HTTP connection is an error of that connection only.
    std::signal(SIGPIPE, SIG_IGN);
    std::string error;
    if (sodium_init() < 0) {
        std::cerr << "chicorytallyd: libsodium can't be initialised\n";
        return EXIT_FAILURE;
    }
    absl::SetProgramUsageMessage(
        "Layer-4 load balancer. Every flag can also be set by the environment variable CHICORYTALLY_FLAGNAME.");
    auto settings = Daemon::parseSettings(argc, argv, error);
    if (!settings) {
        std::cerr << "chicorytallyd: " << error << "\n";
        return ExitBadSetting;
    }
    Telemetry::initializeLog(settings->logLevel);
    auto daemon = Daemon::Daemon::create(std::move(*settings), error);
    if (!daemon) {
        std::cerr << "chicorytallyd: " << error << "\n";
        return EXIT_FAILURE;
    }
    daemon->start();
    waitForStop(*daemon, signals);
    daemon->stop();
    return EXIT_SUCCESS;
}
