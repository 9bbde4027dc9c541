#pragma once

#include <LibMembership/Member.h>
#include <LibMembership/Options.h>
#include <LibMessages/Messages.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <vector>

namespace Chicorytally::Membership {

class Detector;

/// A message that is due.
struct OutgoingMessage {
    Core::Endpoint receiverEndpoint;
    /// Not valid for a seed whose id is unknown.
    Core::VmId receiver;
    Messages::MembershipMessage message;
};

/// Failure detector and member list of this process, after SWIM (Das, Gupta, Motivala 2002). Thread-safe.
class Controller {
public:
    Controller(Core::Clock const&, Options, Hooks);
    ~Controller();

    /// Takes a message of an authenticated envelope. Answers are returned by the next tick().
    void receive(Core::VmId sender, Core::Incarnation, Messages::MembershipMessage const&, Core::Endpoint const& from);
    /// Messages that are due; to be called every 100 ms, and may be called at once after receive().
    std::vector<OutgoingMessage> tick();

    /// All known members, this process included, sorted by VM id.
    std::vector<Member> members() const;
    std::optional<Core::Endpoint> endpointOf(Core::VmId) const;
    std::optional<Core::Endpoint> dataEndpointOf(Core::VmId) const;

    /// The configuration revision in force in this process.
    void setRevision(Core::Revision);
    /// The platform's list: gives seeds and confirms that an unreachable VM is gone. Never adds or revives a member.
    void applyVmList(std::vector<PlatformVm> const&);
    /// Tells the members that this process is about to stop.
    void announceLeave();

    /// The present incarnation of this process.
    Core::Incarnation incarnation() const;
    /// False after a start or a pause until a member has confirmed the incarnation of this process, or until no member
    /// can be reached. An unconfirmed process must act as a starting one.
    bool isConfirmed() const;

private:
    Hooks m_hooks;
    mutable absl::Mutex m_lock;
    std::unique_ptr<Detector> m_detector ABSL_PT_GUARDED_BY(m_lock);
};

}
