#include <LibPlacement/TargetTable.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Chicorytally::Placement {

std::size_t TargetTable::bucketCount(Model::Service const& service)
{
    return std::bit_ceil(std::max(MinimumBucketCount, BucketsPerUpstream * service.upstreams.size()));
}

bool TargetTable::takesNewFlows(Model::Configuration const& configuration, Model::Upstream const& upstream)
{
    return !upstream.isDraining() && upstream.weight > 0 && configuration.isZoneInService(upstream.zone);
}

TargetTable::TargetTable(Model::Configuration const& configuration, Model::Service const& service)
    : m_targets(bucketCount(service), nullptr)
    , m_seed(service.id.value())
{
    for (auto const& upstream : service.upstreams) {
        if (takesNewFlows(configuration, upstream))
            m_upstreams.push_back(&upstream);
    }
    if (!m_upstreams.empty())
        assignTargets();
}

std::vector<TargetTable::Ranked> TargetTable::rank(std::size_t bucket) const
{
    std::vector<Ranked> ranked;
    ranked.reserve(m_upstreams.size());
    auto bucketHash = Core::hashPair(m_seed, bucket);
    for (std::uint32_t i = 0; i < m_upstreams.size(); ++i) {
        auto hash = Core::hashPair(bucketHash, m_upstreams[i]->id.value());
        auto uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
        ranked.push_back({ -static_cast<double>(m_upstreams[i]->weight) / std::log(uniform), i });
    }
    std::ranges::sort(ranked, [](Ranked const& a, Ranked const& b) {
        return a.score != b.score ? a.score > b.score : a.upstream < b.upstream;
    });
    return ranked;
}

void TargetTable::assignTargets()
{
    struct Assignment {
        double score;
        std::size_t bucket;
    };
    auto isBetter = [](Assignment const& a, Assignment const& b) {
        return a.score != b.score ? a.score > b.score : a.bucket < b.bucket;
    };
    double totalWeight = 0;
    for (auto const* upstream : m_upstreams)
        totalWeight += upstream->weight;
    auto count = static_cast<double>(m_targets.size());
    std::vector<std::size_t> capacity;
    for (auto const* upstream : m_upstreams)
        capacity.push_back(static_cast<std::size_t>(std::ceil(ShareCap * count * upstream->weight / totalWeight)));

    std::vector<std::vector<Ranked>> ranks;
    ranks.reserve(m_targets.size());
    for (std::size_t bucket = 0; bucket < m_targets.size(); ++bucket)
        ranks.push_back(rank(bucket));

    // Each upstream's buckets are a heap with the lowest-ranked bucket at the front.
    std::vector<std::vector<Assignment>> assigned { m_upstreams.size() };
    std::vector<std::size_t> nextChoice(m_targets.size(), 0);
    for (std::size_t first = 0; first < m_targets.size(); ++first) {
        auto bucket = first;
        while (nextChoice[bucket] < m_upstreams.size()) {
            auto const& choice = ranks[bucket][nextChoice[bucket]++];
            auto& heap = assigned[choice.upstream];
            heap.push_back({ choice.score, bucket });
            std::ranges::push_heap(heap, isBetter);
            if (heap.size() <= capacity[choice.upstream])
                break;
            std::ranges::pop_heap(heap, isBetter);
            bucket = heap.back().bucket;
            heap.pop_back();
        }
    }
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        for (auto const& entry : assigned[i])
            m_targets[entry.bucket] = m_upstreams[i];
    }
}

std::vector<Model::Upstream const*> TargetTable::preferences(std::size_t bucket) const
{
    std::vector<Model::Upstream const*> result;
    if (!m_targets[bucket])
        return result;
    result.push_back(m_targets[bucket]);
    for (auto const& choice : rank(bucket)) {
        if (m_upstreams[choice.upstream] != m_targets[bucket])
            result.push_back(m_upstreams[choice.upstream]);
    }
    return result;
}

}
