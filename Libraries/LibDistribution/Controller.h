#pragma once

#include <LibDistribution/FileSet.h>
#include <LibDistribution/Options.h>
#include <LibMessages/Messages.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <vector>

namespace Chicorytally::Distribution {

class Distributor;

/// A message to send to a peer.
struct OutgoingMessage {
    Core::VmId receiver;
    Messages::DistributionMessage message;
};

/// Keeps the configuration with the greatest revision in force and distributes it to the peers. Thread-safe.
class Controller {
public:
    Controller(Core::Clock const&, Options, Hooks);
    ~Controller();

    /// Offers a copy read from the platform or the local folder. A copy older than the revision in force is ignored and
    /// counted.
    void offerPlatformCopy(Core::Revision, FileSet files);
    /// Reports that the platform answered without a change, or that a watch ended without one.
    void platformUnchanged();
    /// Reports that a read of the platform failed or timed out. The next read is delayed by a backoff with jitter.
    void platformFailed();
    /// Returns true if this process is a reader of its zone, its backoff has passed and no read is in progress. The
    /// caller must then start a read, which ends with one of the three calls above or times out after 10 s. A watch
    /// must wait for at most 3 s.
    bool tryStartPlatformRead();

    void receive(Core::VmId sender, Messages::DistributionMessage const&);
    /// Returns the messages to send. To be called every 100 ms; may also be called immediately after receive().
    std::vector<OutgoingMessage> tick();
    /// Sets the members that can be reached. They may include this process.
    void applyMembers(std::vector<Peer> const&);

    /// The revision in force, not valid if there is no configuration.
    Core::Revision revision() const;
    /// The revision that the platform returned last, even if it was refused or ignored as older. A watch must wait for
    /// a change from this revision, since a refused revision would otherwise end each watch immediately.
    Core::Revision platformRevision() const;
    std::uint64_t digest() const;
    FileSet files() const;
    Counters counters() const;
    /// The reason for the most recent refusal of a file set, empty if there was none.
    std::string lastRefusal() const;

private:
    void processCandidates();

    Hooks m_hooks;
    /// Held while the accept hook runs, so that revisions are accepted in order.
    absl::Mutex m_acceptLock;
    mutable absl::Mutex m_lock;
    std::unique_ptr<Distributor> m_distributor ABSL_PT_GUARDED_BY(m_lock);
};

}
