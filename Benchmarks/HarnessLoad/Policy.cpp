#include <HarnessLoad/Policy.h>

namespace Chicorytally::Benchmarks {

char const* nameOf(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::Controllers:
        return "load";
    case PolicyKind::PerfectRoundRobin:
        return "perfect_round_robin";
    case PolicyKind::BlindRandom:
        return "blind_random";
    }
    return "unknown";
}

std::optional<std::size_t> ReferencePolicy::choose(std::span<Candidate const> upstreams)
{
    if (m_kind == PolicyKind::BlindRandom)
        return std::uniform_int_distribution<std::size_t> { 0, upstreams.size() - 1 }(m_random);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        auto index = m_next++ % upstreams.size();
        auto const& candidate = upstreams[index];
        bool isFull = candidate.truth->connections >= candidate.model->maxConnections;
        if (!candidate.truth->isDead() && !candidate.isOut && !candidate.model->isDraining() && !isFull)
            return index;
    }
    return std::nullopt;
}

}
