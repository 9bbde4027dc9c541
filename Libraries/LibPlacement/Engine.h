#pragma once

#include <LibCore/Core.h>
#include <LibMessages/Messages.h>
#include <LibModel/Model.h>
#include <LibPlacement/Decision.h>
#include <LibPlacement/MemberView.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace Chicorytally::Placement {

/// Asks which upstream a new flow gets.
struct SelectionRequest {
    Model::Service const& service;
    /// Upstreams that may take the flow, the bucket's target first, then in the bucket's order of preference.
    std::span<Model::Upstream const* const> candidates;
};

/// Answer to a SelectionRequest: an index into the candidates, or a refusal.
struct Selection {
    std::optional<std::size_t> index;
    Reason refusal { Reason::NoUpstream };
};

struct EngineHooks {
    /// Without a hook the first candidate is chosen.
    std::function<Selection(SelectionRequest const&)> select;
    std::function<void(Core::ServiceId, Core::UpstreamId)> flowOpened;
    std::function<void(Core::ServiceId, Core::UpstreamId)> flowClosed;
};

struct EngineOptions {
    Core::VmId self;
    /// Key of the flow hash; the same on all balancers of a fleet.
    std::uint64_t hashKey { 0 };
    /// Greatest number of flow records held.
    std::size_t maxRecords { 1'000'000 };
};

/// A control message to send to a member.
struct OutgoingMessage {
    Core::VmId receiver;
    Messages::PlacementMessage message;
};

/// Decides every packet of this balancer. Thread-safe.
class Engine {
public:
    Engine(Core::Clock const&, EngineOptions, EngineHooks);

    Decision decide(PacketInfo const&);
    void applyConfiguration(std::shared_ptr<Model::Configuration const>);
    void applyMembers(MemberView const&);
    void receive(Core::VmId sender, Messages::PlacementMessage const&);
    /// Control messages that are due; to be called every 100 ms.
    std::vector<OutgoingMessage> tick();
    /// Starts to hand all buckets over.
    void prepareShutdown();
    /// All buckets are handed over and acknowledged.
    bool isDrained() const;

private:
    std::shared_ptr<Model::Configuration const> configuration() const;

    [[maybe_unused]] Core::Clock const& m_clock;
    EngineOptions m_options;
    EngineHooks m_hooks;
    mutable absl::Mutex m_configurationLock;
    std::shared_ptr<Model::Configuration const> m_configuration ABSL_GUARDED_BY(m_configurationLock);
};

}
