#include <LibPlacement/SnapshotHolder.h>

#include <array>

namespace Chicorytally::Placement {

static std::uint64_t newVersion()
{
    static std::atomic<std::uint64_t> s_last { 0 };
    return ++s_last;
}

SnapshotHolder::SnapshotHolder()
    : m_snapshot(std::make_shared<Snapshot const>())
    , m_version(newVersion())
{
}

void SnapshotHolder::set(std::shared_ptr<Snapshot const> snapshot)
{
    absl::MutexLock lock { &m_lock };
    m_snapshot = std::move(snapshot);
    m_version.store(newVersion(), std::memory_order_release);
}

std::shared_ptr<Snapshot const> SnapshotHolder::shared() const
{
    absl::MutexLock lock { &m_lock };
    return m_snapshot;
}

Snapshot const* SnapshotHolder::current()
{
    struct Cached {
        SnapshotHolder const* holder { nullptr };
        std::uint64_t version { 0 };
        std::shared_ptr<Snapshot const> snapshot;
    };
    // Several engines on one thread, as in tests and benchmarks, use different slots.
    static thread_local std::array<Cached, 32> s_cache;
    auto slot = (reinterpret_cast<std::uintptr_t>(this) / alignof(std::max_align_t) * 0x9e3779b97f4a7c15ull) >> 59;
    auto& cached = s_cache[slot];
    auto version = m_version.load(std::memory_order_acquire);
    if (cached.holder != this || cached.version != version) {
        absl::MutexLock lock { &m_lock };
        cached = { this, m_version.load(std::memory_order_relaxed), m_snapshot };
    }
    return cached.snapshot.get();
}

}
