#pragma once

#include <HarnessLoad/FakeUpstream.h>

#include <functional>
#include <random>
#include <span>

namespace Chicorytally::Benchmarks {

/// A candidate with the truth about it, for the reference methods.
struct Candidate {
    Model::Upstream const* model;
    FakeUpstream const* truth;
    bool isOut;
};

enum class PolicyKind : std::uint8_t {
    /// The load controllers.
    Controllers,
    /// Reference: round robin by one instance that knows at once who is dead, out, draining or at its limit.
    PerfectRoundRobin,
    /// Reference: random choice among the upstreams of the configuration.
    BlindRandom,
};

char const* nameOf(PolicyKind);

/// The two reference methods.
class ReferencePolicy {
public:
    explicit ReferencePolicy(PolicyKind kind, std::uint64_t seed)
        : m_kind(kind)
        , m_random(seed)
    {
    }

    /// An index into all upstreams of the service, in a fixed order; nothing: refused.
    std::optional<std::size_t> choose(std::span<Candidate const> upstreams);

private:
    PolicyKind m_kind;
    std::mt19937_64 m_random;
    std::size_t m_next { 0 };
};

}
