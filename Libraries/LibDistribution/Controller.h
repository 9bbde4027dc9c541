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

/// A message that is due.
struct OutgoingMessage {
    Core::VmId receiver;
    Messages::DistributionMessage message;
};

/// Keeps the greatest revision seen and spreads it. Thread-safe.
class Controller {
public:
    Controller(Core::Clock const&, Options, Hooks);
    ~Controller();

    /// A copy that the platform or the local folder gave. An older revision is ignored and counted.
    void offerPlatformCopy(Core::Revision, FileSet files);
    /// The platform answered that nothing changed, or a waiting watch ended without a change.
    void platformUnchanged();
    /// A read of the platform failed or timed out; the next one waits for a backoff with jitter.
    void platformFailed();
    /// This process is a reader of its zone, its backoff has passed and no read is under way. A call that returns true
    /// starts a read, which ends by one of the three calls above or after 10 s. A watch waits for 3 s at most.
    bool tryStartPlatformRead();

    void receive(Core::VmId sender, Messages::DistributionMessage const&);
    /// Messages that are due; to be called every 100 ms, and may be called at once after receive().
    std::vector<OutgoingMessage> tick();
    /// The members that can be reached; this process may be among them.
    void applyMembers(std::vector<Peer> const&);

    /// The revision in force; not valid without a configuration.
    Core::Revision revision() const;
    /// The revision that the platform gave last, also when it was refused or older. A watch waits for another one;
    /// otherwise a refused revision would end each watch at once.
    Core::Revision platformRevision() const;
    std::uint64_t digest() const;
    FileSet files() const;
    Counters counters() const;
    /// Why the accept hook refused a file set most recently; empty when it never did.
    std::string lastRefusal() const;

private:
    void settle();

    Hooks m_hooks;
    /// Held during the accept hook, so that revisions are accepted in order.
    absl::Mutex m_acceptLock;
    mutable absl::Mutex m_lock;
    std::unique_ptr<Distributor> m_distributor ABSL_PT_GUARDED_BY(m_lock);
};

}
