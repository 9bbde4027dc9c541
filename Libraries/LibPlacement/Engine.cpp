#include <LibPlacement/Engine.h>

namespace Chicorytally::Placement {

Engine::Engine(Core::Clock const& clock, EngineOptions options, EngineHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

std::shared_ptr<Model::Configuration const> Engine::configuration() const
{
    absl::MutexLock lock { &m_configurationLock };
    return m_configuration;
}

// FIXME: Stateless rendezvous hashing over the present view breaks flows when upstreams change; bucket states and flow
// records replace it.
Decision Engine::decide(PacketInfo const& packet)
{
    auto present = configuration();
    auto const* service = present ? present->findService(packet.service) : nullptr;
    if (!service)
        return { .verdict = Verdict::Drop, .reason = Reason::UnknownService };

    auto flowHash = packet.flow.hash(m_options.hashKey).low;
    Model::Upstream const* best = nullptr;
    std::uint64_t bestScore = 0;
    for (auto const& upstream : service->upstreams) {
        if (!present->isZoneIn(upstream.zone))
            continue;
        auto score = Core::hashPair(flowHash, upstream.id.value());
        if (best && score <= bestScore)
            continue;
        best = &upstream;
        bestScore = score;
    }
    if (!best)
        return { .verdict = Verdict::Refuse, .reason = Reason::NoUpstream };
    return {
        .verdict = Verdict::Forward, .reason = Reason::Steady, .upstream = best->id, .destination = best->address
    };
}

void Engine::applyConfiguration(std::shared_ptr<Model::Configuration const> configuration)
{
    absl::MutexLock lock { &m_configurationLock };
    m_configuration = std::move(configuration);
}

void Engine::applyMembers(MemberView const&) { }

void Engine::receive(Core::VmId, Messages::PlacementMessage const&) { }

std::vector<OutgoingMessage> Engine::tick() { return {}; }

void Engine::prepareShutdown() { }

bool Engine::isDrained() const { return true; }

}
