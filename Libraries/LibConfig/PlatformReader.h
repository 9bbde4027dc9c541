#pragma once

#include <LibConfig/PlatformClient.h>
#include <LibConfig/ReadSchedule.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <thread>

namespace Chicorytally::Config {

/// Thread that reads the platform whenever its schedule allows it. Starts idle. Thread-safe.
class PlatformReader {
public:
    /// One read; false when it failed.
    using Read = std::function<bool(PlatformClient&)>;

    PlatformReader(Core::Endpoint const&, PlatformTimeouts, ReadScheduleOptions, std::uint64_t seed);
    PlatformReader(PlatformReader const&) = delete;
    PlatformReader& operator=(PlatformReader const&) = delete;
    ~PlatformReader();

    /// To be called once.
    void start(Read);
    /// Cancels a waiting read and joins the thread.
    void stop();
    /// While idle, nothing is read; a waiting read is cancelled.
    void setActive(bool);
    /// A read that fails now was cancelled, or is not wanted any more.
    bool isWanted() const;

private:
    void run(Read const&);
    /// False when the reader stops.
    bool waitForTurn();
    bool isStoppingOrActive() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    Core::SystemClock m_clock;
    PlatformClient m_client;
    mutable absl::Mutex m_lock;
    ReadSchedule m_schedule ABSL_GUARDED_BY(m_lock);
    bool m_isStopping ABSL_GUARDED_BY(m_lock) { false };
    bool m_isFinished ABSL_GUARDED_BY(m_lock) { true };
    std::thread m_thread;
};

}
