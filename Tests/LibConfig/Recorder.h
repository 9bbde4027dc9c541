#pragma once

#include <LibConfig/Source.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>

namespace Chicorytally::Tests {

/// Collects what a source reports. Waiting has a limit only so that a broken source doesn't hang the test.
class Recorder {
public:
    Config::UpdateHook updateHook()
    {
        return [this](Config::Update const& update) {
            absl::MutexLock lock { &m_lock };
            m_updates.push_back(update);
        };
    }

    Config::ErrorHook errorHook()
    {
        return [this](Config::SourceError const& error) {
            absl::MutexLock lock { &m_lock };
            m_errors.push_back(error);
        };
    }

    std::vector<Config::Update> awaitUpdates(std::size_t count) { return await(m_updates, count); }
    std::vector<Config::SourceError> awaitErrors(std::size_t count) { return await(m_errors, count); }

private:
    template <typename Items> Items await(Items const& items, std::size_t count)
    {
        auto isReached = [&items, count] { return items.size() >= count; };
        absl::MutexLock lock { &m_lock };
        m_lock.AwaitWithTimeout(absl::Condition { &isReached }, absl::Seconds(20));
        return items;
    }

    absl::Mutex m_lock;
    std::vector<Config::Update> m_updates;
    std::vector<Config::SourceError> m_errors;
};

}
