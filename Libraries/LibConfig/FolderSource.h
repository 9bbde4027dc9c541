#pragma once

#include <LibConfig/OfferFilter.h>
#include <LibConfig/SnapshotSettler.h>

#include <atomic>
#include <filesystem>
#include <thread>

namespace Chicorytally::Config {

struct FolderSourceOptions {
    std::filesystem::path folder;
    /// How long the folder must stay the same before a change is taken over.
    std::chrono::milliseconds quietTime { 200 };
    /// The folder is read this often without an event too, because inotify misses changes on some file systems.
    std::chrono::milliseconds pollInterval { 5'000 };
};

/// Watches a local folder (inotify(7), with a poll as a fallback). Errors are reported once, until they change.
class FolderSource {
public:
    explicit FolderSource(FolderSourceOptions);
    FolderSource(FolderSource const&) = delete;
    FolderSource& operator=(FolderSource const&) = delete;
    ~FolderSource();

    /// To be called once.
    void start(UpdateHook onUpdate, ErrorHook onError);
    void stop();
    /// Reads the folder now, for example on SIGHUP. Thread-safe.
    void wake();
    /// The hooks of this source, which must outlive them.
    Source asSource();

private:
    void run();
    void readFolder();
    void deliver(OfferOutcome const&);
    void watch();
    /// Until an event, a wake-up, or the time of the next read.
    void waitForChange();
    std::chrono::milliseconds timeToNextRead() const;

    FolderSourceOptions m_options;
    Core::SystemClock m_clock;
    UpdateHook m_onUpdate;
    ErrorHook m_onError;
    OfferFilter m_filter;
    SnapshotSettler m_settler;
    std::atomic<bool> m_isStopping { false };
    int m_inotify { -1 };
    int m_wakeEvent { -1 };
    std::thread m_thread;
};

}
