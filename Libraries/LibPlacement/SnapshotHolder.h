#pragma once

#include <LibPlacement/ServiceState.h>

#include <absl/base/thread_annotations.h>

namespace Chicorytally::Placement {

/// Holds the current snapshot. Each thread keeps a reference to the snapshot that it used last, so that readers share
/// no lock and no reference count while the snapshot doesn't change.
class SnapshotHolder {
public:
    SnapshotHolder();

    void set(std::shared_ptr<Snapshot const>);
    /// Valid until the same thread calls it again, for this or another holder.
    Snapshot const* current();
    std::shared_ptr<Snapshot const> shared() const;

private:
    mutable absl::Mutex m_lock;
    std::shared_ptr<Snapshot const> m_snapshot ABSL_GUARDED_BY(m_lock);
    /// Unique among all holders in the process.
    std::atomic<std::uint64_t> m_version;
};

}
