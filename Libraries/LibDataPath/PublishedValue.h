#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace Chicorytally::DataPath {

/// Passes immutable values from the control thread to the workers. Thread-safe.
template <typename Value> class PublishedValue {
public:
    void publish(std::shared_ptr<Value const> value)
    {
        absl::MutexLock lock { &m_lock };
        m_value.swap(value);
        m_version.fetch_add(1, std::memory_order_release);
    }

    /// One thread's reference to the latest value. While the value is unchanged, a refresh costs one atomic load; get()
    /// takes no lock and touches no shared reference count. Not thread-safe.
    class Reader {
    public:
        explicit Reader(PublishedValue const& source)
            : m_source(source)
        {
        }

        /// Fetches the latest value; called once per batch.
        void refresh()
        {
            auto version = m_source.m_version.load(std::memory_order_acquire);
            if (version == m_version)
                return;
            m_version = version;
            absl::MutexLock lock { &m_source.m_lock };
            m_value = m_source.m_value;
        }

        /// The value of the last refresh; null before the first publish.
        Value const* get() const { return m_value.get(); }

    private:
        PublishedValue const& m_source;
        std::uint64_t m_version { 0 };
        std::shared_ptr<Value const> m_value;
    };

private:
    mutable absl::Mutex m_lock;
    std::shared_ptr<Value const> m_value ABSL_GUARDED_BY(m_lock);
    std::atomic<std::uint64_t> m_version { 0 };
};

}
