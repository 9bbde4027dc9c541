#pragma once

#include <LibPlacement/Placement.h>

#include <functional>
#include <memory>

namespace Chicorytally::Harness {

/// One balancer's method of placing flows: the engine, or one of the methods it is compared with.
class PlacementMethod {
public:
    PlacementMethod() = default;
    PlacementMethod(PlacementMethod const&) = delete;
    PlacementMethod& operator=(PlacementMethod const&) = delete;
    virtual ~PlacementMethod() = default;

    virtual Placement::Decision decide(Placement::PacketInfo const&) = 0;
    virtual void applyConfiguration(std::shared_ptr<Model::Configuration const>) = 0;
    virtual void applyMembers(Placement::MemberView const&) { }
    virtual void receive(Core::VmId, Messages::PlacementMessage const&) { }
    virtual std::vector<Placement::OutgoingMessage> tick() { return {}; }
    virtual bool hasUrgentMessages() const { return false; }
    virtual void prepareShutdown() { }
    virtual bool isDrained() const { return true; }
    /// Nothing for methods other than the engine.
    virtual Placement::Engine* engine() { return nullptr; }
};

using MethodFactory = std::function<std::unique_ptr<PlacementMethod>(
    Core::Clock const&, Placement::EngineOptions, Placement::EngineHooks)>;

MethodFactory engineMethod();
/// Rendezvous hashing of the flow over the upstreams of the present view.
MethodFactory statelessMethod();
/// A look-up table of 65,537 entries filled by permutations (Maglev, Eisenbud and others 2016).
MethodFactory maglevMethod();
/// An owner per flow that records each flow, with a copy of each record at a backup.
MethodFactory ownerPerFlowMethod();

}
