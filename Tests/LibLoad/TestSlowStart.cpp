#include <HarnessLoad/Site.h>
#include <LibLoad/Load.h>
#include <LibLoad/SlowStart.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

/// One balancer and one service. Opens arrive at a constant rate, with the upstreams as targets in turn.
class Service {
public:
    explicit Service(std::size_t upstreams)
        : m_controller(m_clock, { .self = Core::VmId { 1 }, .incarnation = Core::Incarnation { 1 } })
    {
        Benchmarks::ServiceShape shape { .name = "register", .upstreams = upstreams, .slowStart = 30s };
        m_configuration = std::make_shared<Model::Configuration const>(
            Benchmarks::makeConfiguration({ .name = "site", .zones = 1, .services = { shape } }));
        m_controller.applyConfiguration(m_configuration);
        m_controller.applyMembers({});
        report(1);
        m_clock.advance(60s);
    }

    Model::Service const& service() const { return m_configuration->services.front(); }

    void report(std::int64_t generation, std::size_t first = 0, std::size_t count = 1000)
    {
        for (std::size_t i = first; i < std::min(first + count, service().upstreams.size()); ++i)
            m_controller.recordReport(service().upstreams[i].id, { .generation = generation });
    }

    /// Opens flows at the given rate for the given time. Returns the number of opens that each upstream got.
    std::vector<std::uint32_t> open(double perSecond, std::chrono::milliseconds duration)
    {
        std::vector<std::uint32_t> result(service().upstreams.size());
        auto interval
            = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(1 / perSecond));
        for (auto end = m_clock.now() + duration; m_clock.now() < end; m_clock.advance(interval)) {
            if (m_clock.now() - m_ticked >= 100ms) {
                m_controller.tick();
                m_ticked = m_clock.now();
            }
            openOne(result);
        }
        return result;
    }

private:
    void openOne(std::vector<std::uint32_t>& result)
    {
        std::vector<Model::Upstream const*> candidates;
        auto count = service().upstreams.size();
        auto target = m_next++ % count;
        candidates.push_back(&service().upstreams[target]);
        for (std::size_t i = 0; i < count; ++i) {
            if (i != target)
                candidates.push_back(&service().upstreams[i]);
        }
        std::shuffle(candidates.begin() + 1, candidates.end(), m_random);
        auto selection = m_controller.select({ service(), candidates });
        if (!selection.index)
            return;
        auto const* chosen = candidates[*selection.index];
        m_controller.flowOpened(service().id, chosen->id);
        // Flows end at once, so that only the rate limit takes effect.
        m_controller.flowClosed(service().id, chosen->id);
        ++result[static_cast<std::size_t>(chosen - service().upstreams.data())];
    }

    Core::ManualClock m_clock;
    Load::LoadController m_controller;
    std::shared_ptr<Model::Configuration const> m_configuration;
    Core::TimePoint m_ticked;
    std::size_t m_next { 0 };
    std::mt19937_64 m_random { 1 };
};

}

BOOST_AUTO_TEST_SUITE(TestSlowStart)

BOOST_AUTO_TEST_CASE(RampGrowsFromATenthToAll)
{
    // Guards against a ramp that starts at 0, so that the upstream is never tried, and against one that ends with a
    // jump.
    Core::ManualClock clock;
    Load::SlowStart ramp { Load::StartCause::Added, clock.now() };
    BOOST_TEST(ramp.fraction(30s, clock.now()) == 0.1, boost::test_tools::tolerance(1e-9));
    clock.advance(15s);
    BOOST_TEST(ramp.fraction(30s, clock.now()) == 0.55, boost::test_tools::tolerance(1e-9));
    clock.advance(15s);
    BOOST_TEST(!ramp.isRunning(30s, clock.now()));
    BOOST_TEST(Load::SlowStart::limitAt(0.1, 2) == 1U);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamGetsItsAllowanceAndNoMore)
{
    // Guards against scaling only the connection limit: short flows would arrive at the full rate at once.
    Service service { 10 };
    service.open(1000, 20s);
    service.report(2, 0, 1);
    auto first = service.open(1000, 1s);
    BOOST_TEST(first[0] >= 8U);
    BOOST_TEST(first[0] <= 16U);
    service.open(1000, 13500ms);
    auto middle = service.open(1000, 1s);
    BOOST_TEST(middle[0] >= 48U);
    BOOST_TEST(middle[0] <= 64U);
    service.open(1000, 20s);
    BOOST_TEST(service.open(1000, 1s)[0] >= 95U);
}

BOOST_AUTO_TEST_CASE(SimultaneousRestartsOverloadNoUpstream)
{
    // Guards against sending all flows that cold upstreams can't take to the warm ones, regardless of their load: with
    // 8 of 10 cold, each of the 2 warm ones would get 4.6 times its regular rate.
    Service service { 10 };
    service.open(1000, 20s);
    service.report(2, 0, 8);
    auto opens = service.open(1000, 1s);
    std::uint32_t served = 0;
    for (std::size_t i = 0; i < opens.size(); ++i) {
        BOOST_TEST(opens[i] <= (i < 8 ? 16U : 260U));
        served += opens[i];
    }
    BOOST_TEST(served < 700U);
    // All upstreams restart at once: none is warm, and a tenth of the flows is served.
    service.report(3);
    auto all = service.open(1000, 1s);
    BOOST_TEST(*std::ranges::max_element(all) <= 16U);
}

BOOST_AUTO_TEST_CASE(StartsAreSeenInReports)
{
    // Guards against undetected restarts, and against late or slow reports that are taken for restarts.
    Load::StartDetector detector;
    auto start = [&](std::optional<std::int64_t> generation, std::optional<std::chrono::microseconds> latency) {
        return detector.record(generation, latency);
    };
    BOOST_TEST(!start(1, 1ms));
    BOOST_TEST(!start(1, 1ms));
    BOOST_TEST((start(2, 1ms) == Load::StartCause::NewGeneration));
    BOOST_TEST(!start(1, 1ms));
    BOOST_TEST(!start(2, 1ms));
    for (int i = 0; i < 20; ++i)
        start({}, 1ms);
    BOOST_TEST(!start({}, 9ms));
    BOOST_TEST(!start({}, 1ms));
    BOOST_TEST(!start({}, 9ms));
    BOOST_TEST(!start({}, 9ms));
    BOOST_TEST((start({}, 9ms) == Load::StartCause::LatencyJump));
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(!start({}, 9ms));
}

BOOST_AUTO_TEST_CASE(PeerAgeShortensTheRamp)
{
    // Guards against a restarted balancer that treats all upstreams as cold, and against a peer that ends a ramp whose
    // start this balancer has observed.
    Core::ManualClock clock;
    Load::SlowStart guessed { Load::StartCause::FirstSight, clock.now() };
    guessed.applyPeerAge(60s, clock.now());
    BOOST_TEST(!guessed.isRunning(30s, clock.now()));
    Load::SlowStart seen { Load::StartCause::NewGeneration, clock.now() };
    seen.applyPeerAge(60s, clock.now());
    BOOST_TEST(seen.isRunning(30s, clock.now()));
    Load::SlowStart loaded { Load::StartCause::FirstSight, clock.now() };
    loaded.applyReportedLoad(0.55, 30s, clock.now());
    BOOST_TEST(loaded.fraction(30s, clock.now()) == 0.55, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_SUITE_END()
