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

/// A message to be sent now.
struct OutgoingMessage {
    Core::Endpoint receiverEndpoint;
    /// Not valid for a seed, whose VM id is unknown.
    Core::VmId receiver;
    Messages::MembershipMessage message;
};

/// Failure detector and member list of this process, based on SWIM (Das, Gupta, Motivala 2002). Thread-safe.
class Controller {
public:
    Controller(Core::Clock const&, Options, Hooks);
    ~Controller();

    /// Handles a message from an authenticated envelope. Replies are returned by the next tick().
    void receive(Core::VmId sender, Core::Incarnation, Messages::MembershipMessage const&, Core::Endpoint const& from);
    /// Returns the messages to be sent now. Must be called every 100 ms, and may be called directly after receive().
    std::vector<OutgoingMessage> tick();

    /// All known members, this process included, sorted by VM id.
    std::vector<Member> members() const;
    std::optional<Core::Endpoint> endpointOf(Core::VmId) const;
    std::optional<Core::Endpoint> dataEndpointOf(Core::VmId) const;

    /// Sets the configuration revision in force in this process.
    void setRevision(Core::Revision);
    /// Applies the platform's list, which provides seeds and confirms the death of unreachable members whose VM is no
    /// longer listed. It never adds or revives a member.
    void applyVmList(std::vector<PlatformVm> const&);
    /// Tells the members that this process is about to stop.
    void announceLeave();

    Core::Incarnation incarnation() const;
    /// False after a start or a pause until a member confirms the incarnation of this process, or until the process has
    /// reached no member for a while. An unconfirmed process must behave like one that is starting.
    bool isConfirmed() const;

private:
    Hooks m_hooks;
    mutable absl::Mutex m_lock;
    std::unique_ptr<Detector> m_detector ABSL_PT_GUARDED_BY(m_lock);
};

}
