#include <LibLoad/SharedLoadView.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace Chicorytally::Load {

// Responses that one report counts for at most, so that no single balancer determines an estimate.
static constexpr double MaxReportWeight = 4;

// An estimate counts as at most this far from the median of all: e^0.7 is a factor of 2.
static constexpr double MaxLogDeviation = 0.7;

// Requests in flight for each slot that one report counts for at most. More would not be accepted by most upstreams.
static constexpr double MaxRequestsPerSlot = 8;

// 1 uses all upstreams equally, 2 makes the fast ones queue at 95% load; between them the fewest requests miss their
// goal.
static constexpr double SpeedExponent = 1.5;

SharedLoadView::SharedLoadView(Core::Clock const& clock, Core::VmId self, SharedLoadViewOptions options,
    Directory::UpstreamDirectory const& directory, UpstreamSpeed const& ownSpeeds, UpstreamLoadCounter const& ownLoads)
    : m_clock(clock)
    , m_self(self)
    , m_options(options)
    , m_directory(directory)
    , m_ownSpeeds(ownSpeeds)
    , m_ownLoads(ownLoads)
{
}

void SharedLoadView::handleReport(LoadReport const& report)
{
    if (!m_options.isEnabled || report.reporter == m_self)
        return;
    for (auto const& upstream : report.upstreams)
        ++(record(report.reporter, upstream) ? m_counters.accepted : m_counters.rejected);
}

bool SharedLoadView::record(Core::VmId reporter, UpstreamLoadReport const& report)
{
    auto const* known = m_directory.find(report.upstream);
    bool isTimely = report.age >= std::chrono::milliseconds::zero() && report.age < m_options.maximumReportAge;
    bool isValid = std::isfinite(report.relativeResponseTime) && report.relativeResponseTime >= 0
        && std::isfinite(report.responseWeight) && report.responseWeight >= 0;
    if (!known || known->entry.incarnation != report.incarnation || !isTimely || !isValid)
        return false;
    if (!m_observations.contains(report.upstream) && m_observations.size() >= m_options.maximumUpstreams)
        return false;
    auto& observations = m_observations[report.upstream];
    auto observedAt = m_clock.now() - report.age;
    auto previous = std::ranges::find(observations, reporter, &Observation::reporter);
    if (previous != observations.end() && previous->incarnation == report.incarnation
        && observedAt < previous->observedAt)
        return false;
    if (previous == observations.end()) {
        if (observations.size() >= m_options.maximumReporters)
            observations.erase(std::ranges::min_element(observations, {}, &Observation::observedAt));
        previous = observations.emplace(observations.end());
    }
    SpeedEstimate estimate;
    if (report.relativeResponseTime > 0)
        estimate = { std::log(report.relativeResponseTime), std::min(report.responseWeight, MaxReportWeight) };
    auto maximumRequests = MaxRequestsPerSlot * std::max(known->entry.upstream.slots, 1U);
    auto requests = std::min(static_cast<double>(report.requestsInFlight), maximumRequests);
    *previous = { reporter, report.incarnation, requests, estimate, observedAt };
    m_newestObservation = std::max(m_newestObservation, observedAt);
    return true;
}

LoadReport SharedLoadView::report(std::size_t maximumUpstreams) const
{
    struct Ranked {
        double importance { 0 };
        UpstreamLoadReport report;
    };
    std::vector<Ranked> ranked;
    if (!m_options.isEnabled)
        return { m_self, {} };
    m_ownLoads.forEach([&](Core::UpstreamId id, UpstreamLoad const& load) {
        auto const* record = m_directory.find(id);
        auto estimate = m_ownSpeeds.estimateOf(id);
        if (!record || (load.requestsInFlight == 0 && estimate.weight == 0))
            return;
        auto slots = std::max(record->entry.upstream.slots, 1U);
        auto importance = std::abs(estimate.logTime) * std::min(estimate.weight, MaxReportWeight)
            + static_cast<double>(load.requestsInFlight) / slots;
        ranked.push_back({ importance,
            { id, record->entry.incarnation, load.requestsInFlight,
                estimate.weight > 0 ? std::exp(estimate.logTime) : 0, estimate.weight, {} } });
    });
    auto count = std::min(maximumUpstreams, ranked.size());
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), [](auto const& left, auto const& right) {
            return std::tie(right.importance, left.report.upstream) < std::tie(left.importance, right.report.upstream);
        });
    LoadReport result { m_self, {} };
    for (std::size_t i = 0; i < count; ++i)
        result.upstreams.push_back(ranked[i].report);
    return result;
}

void SharedLoadView::tick()
{
    if (!m_options.isEnabled || m_clock.now() - m_refreshedAt < m_options.refreshInterval)
        return;
    m_refreshedAt = m_clock.now();
    removeExpired();
    m_views.clear();
    m_unevenServices.clear();
    m_speedRange = {};
    absl::flat_hash_map<Core::ServiceId, std::vector<View*>> services;
    auto add = [&](Core::UpstreamId id) {
        auto const* record = m_directory.find(id);
        if (!record || m_views.contains(id))
            return;
        auto& view = m_views[id];
        view = merge(*record);
        services[record->entry.service].push_back(&view);
    };
    m_ownSpeeds.forEach([&](Core::UpstreamId id, auto const&) { add(id); });
    for (auto const& [id, observations] : m_observations)
        add(id);
    for (auto const& [service, views] : services)
        updateSpeeds(service, views);
}

void SharedLoadView::updateSpeeds(Core::ServiceId service, std::vector<View*> const& views)
{
    std::vector<SpeedEstimate> estimates;
    estimates.reserve(views.size());
    for (auto const* view : views)
        estimates.push_back(view->estimate);
    SpeedDistribution distribution { estimates, m_options.evenSpeedRatio };
    for (auto* view : views) {
        view->speed = distribution.speedOf(view->estimate);
        m_speedRange.slowest = std::min(m_speedRange.slowest, view->speed);
        m_speedRange.fastest = std::max(m_speedRange.fastest, view->speed);
    }
    if (!distribution.isEven())
        m_unevenServices[service] = flowLoadsOf(service);
}

std::vector<SharedLoadView::FlowLoad> SharedLoadView::flowLoadsOf(Core::ServiceId service) const
{
    auto const& records = m_directory.upstreamsOf(service);
    std::vector<FlowLoad> loads;
    loads.reserve(records.size());
    for (auto const* record : records) {
        auto id = record->entry.upstream.id;
        auto slots = std::max(record->entry.upstream.slots, 1U);
        loads.push_back({ id, 1 / (slots * std::pow(speedOf(id), SpeedExponent)) });
    }
    return loads;
}

void SharedLoadView::removeExpired()
{
    absl::erase_if(m_observations, [this](auto& entry) {
        auto const* record = m_directory.find(entry.first);
        std::erase_if(entry.second, [&](Observation const& observation) {
            return !record || observation.incarnation != record->entry.incarnation
                || m_clock.now() - observation.observedAt >= m_options.maximumReportAge;
        });
        return entry.second.empty();
    });
}

SharedLoadView::View SharedLoadView::merge(Directory::UpstreamRecord const& record)
{
    View view;
    auto id = record.entry.upstream.id;
    m_estimates.clear();
    if (auto observations = m_observations.find(id); observations != m_observations.end()) {
        for (auto const& observation : observations->second) {
            view.reportedLoad += observation.requestsInFlight;
            auto age = std::chrono::duration<double>(m_clock.now() - observation.observedAt);
            auto estimate = observation.estimate;
            estimate.weight *= std::exp(-age / std::chrono::duration<double>(m_options.smoothing));
            if (estimate.weight > 0)
                m_estimates.push_back(estimate);
        }
    }
    mergeEstimates(view, m_ownSpeeds.estimateOf(id));
    return view;
}

static double totalWeight(std::vector<SpeedEstimate> const& estimates)
{
    return std::accumulate(estimates.begin(), estimates.end(), 0.0,
        [](double sum, SpeedEstimate const& estimate) { return sum + estimate.weight; });
}

// The estimates must be sorted.
static double weightedMedian(std::vector<SpeedEstimate> const& estimates, double total)
{
    auto sum = 0.0;
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        sum += estimates[i].weight;
        if (2 * sum == total && i + 1 < estimates.size())
            return (estimates[i].logTime + estimates[i + 1].logTime) / 2;
        if (2 * sum >= total)
            return estimates[i].logTime;
    }
    return estimates.back().logTime;
}

// A balancer whose reports are wrong moves the result by a bounded amount: it counts no more than all others together,
// and its estimate is clipped to a range around the weighted median.
void SharedLoadView::mergeEstimates(View& view, SpeedEstimate const& own)
{
    auto total = totalWeight(m_estimates);
    auto heaviest = std::ranges::max_element(m_estimates, {}, &SpeedEstimate::weight);
    if (heaviest != m_estimates.end()) {
        auto excess = std::max(2 * heaviest->weight - total - own.weight, 0.0);
        heaviest->weight -= excess;
        total -= excess;
    }
    if (own.weight > 0)
        m_estimates.push_back(own);
    total += own.weight;
    if (total <= 0)
        return;
    std::ranges::sort(m_estimates, {}, &SpeedEstimate::logTime);
    auto median = weightedMedian(m_estimates, total);
    auto sum = 0.0;
    for (auto const& estimate : m_estimates)
        sum += estimate.weight * std::clamp(estimate.logTime, median - MaxLogDeviation, median + MaxLogDeviation);
    view.estimate = { sum / total, total };
}

double SharedLoadView::speedOf(Core::UpstreamId id) const
{
    auto view = m_views.find(id);
    return view == m_views.end() ? 1 : view->second.speed;
}

double SharedLoadView::loadOf(Core::UpstreamId id) const
{
    auto view = m_views.find(id);
    return m_ownLoads.loadOf(id).requestsInFlight + (view == m_views.end() ? 0 : view->second.reportedLoad);
}

std::optional<std::chrono::milliseconds> SharedLoadView::age() const
{
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_newestObservation);
    return age < m_options.maximumReportAge ? std::optional { age } : std::nullopt;
}

bool SharedLoadView::explainsSilence(Core::UpstreamId id, std::chrono::milliseconds silence) const
{
    // Few responses take more than twice the mean time.
    constexpr double LongResponseFactor = 2;
    // About a response within the last second. An upstream that answers nothing is not slow but stalled.
    constexpr double MinWeight = 1;
    auto usual = m_ownSpeeds.usualTimeOf(id);
    auto view = m_views.find(id);
    return usual && view != m_views.end() && view->second.estimate.weight >= MinWeight
        && LongResponseFactor * std::exp(view->second.estimate.logTime) * *usual > silence;
}

}
