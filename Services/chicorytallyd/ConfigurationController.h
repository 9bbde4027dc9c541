#pragma once

#include <LibConfig/Config.h>
#include <LibDistribution/Distribution.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Chicorytally::Daemon {

/// Keeps the configuration in force, and validates file sets before they get there. Thread-safe.
class ConfigurationController {
public:
    /// Called for each accepted configuration, in the order of their revisions.
    using Listener = std::function<void(std::shared_ptr<Model::Configuration const>)>;

    explicit ConfigurationController(Listener);

    /// Parses and applies a complete file set; false with the reason when it is refused as a whole.
    bool accept(Core::Revision, Distribution::FileSet const&, std::string& reason);
    /// Nothing before the first accepted configuration.
    std::shared_ptr<Model::Configuration const> configuration() const;
    /// Grows with each accepted configuration, so that a reader can keep its copy until it changes.
    std::uint64_t version() const { return m_version.load(std::memory_order_acquire); }
    /// Keeps faults that a source found before the file set got here.
    void noteFaults(std::vector<Config::Fault> const&);
    /// Faults of the newest file set that was refused; empty after one was accepted.
    std::vector<Config::Fault> faults() const;

private:
    void refuse(Core::Revision, std::vector<Config::Fault> const&);

    Listener m_listener;
    mutable absl::Mutex m_lock;
    std::shared_ptr<Model::Configuration const> m_configuration ABSL_GUARDED_BY(m_lock);
    std::vector<Config::Fault> m_faults ABSL_GUARDED_BY(m_lock);
    std::atomic<std::uint64_t> m_version { 0 };
};

/// Conversions between the file sets of LibConfig and LibDistribution.
Distribution::FileSet toFileSet(std::vector<Config::SourceFile> const&);
std::vector<Config::SourceFile> toSourceFiles(Distribution::FileSet const&);

/// Writes one event per fault.
void logFaults(std::string const& source, std::vector<Config::Fault> const&);

}
