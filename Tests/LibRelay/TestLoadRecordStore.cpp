#include <LibRelay/Relay.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Relay::LoadRecord record(std::uint64_t upstream, Relay::ReportSequence sequence, std::chrono::milliseconds age = 0ms,
    double relativeResponseTime = 1)
{
    Relay::LoadRecord record { Core::VmId { 5 }, sequence, { .upstream = Core::UpstreamId { upstream } } };
    record.observation.relativeResponseTime = relativeResponseTime;
    record.observation.age = age;
    return record;
}

struct Fixture {
    Core::ManualClock clock;
    Relay::LoadRecordStore store { clock, {} };

    std::vector<std::uint64_t> forwardedUpstreams() const
    {
        std::vector<std::uint64_t> upstreams;
        for (auto const& forwarded : store.forwardable())
            upstreams.push_back(forwarded.observation.upstream.value());
        return upstreams;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(LoadRecordStore, Fixture)

BOOST_AUTO_TEST_CASE(DuplicateAndOutdatedRecordsAreRejected)
{
    // Guards against an older observation that arrives on a longer way and replaces a newer one.
    BOOST_TEST(store.add(record(1, 7)));
    BOOST_TEST(!store.add(record(1, 7)));
    BOOST_TEST(!store.add(record(1, 6)));
    BOOST_TEST(store.add(record(2, 6)));
    BOOST_TEST(store.add(record(1, 8)));
}

BOOST_AUTO_TEST_CASE(ForgottenRecordDoesNotReturn)
{
    // Guards against a duplicate that is taken for news once its original has been forgotten.
    BOOST_TEST(store.add(record(1, 7, 5s)));
    clock.advance(6s);
    store.removeExpired();
    BOOST_TEST(store.size() == 0U);
    BOOST_TEST(!store.add(record(1, 7, Relay::MaximumLoadRecordAge)));
}

BOOST_AUTO_TEST_CASE(ReporterWithAnEarlierSequenceIsHeardAfterTheRetention)
{
    // Guards against a reporter whose clock was set back before a restart and that is ignored for hours.
    BOOST_TEST(store.add(record(1, 1000)));
    BOOST_TEST(!store.add(record(1, 5)));
    clock.advance(6s);
    store.removeExpired();
    BOOST_TEST(store.add(record(1, 5)));
}

BOOST_AUTO_TEST_CASE(UnusualThenUnsentThenLatestRecordsComeFirst)
{
    // Guards against news that wait behind ordinary records.
    BOOST_TEST(store.add(record(1, 1)));
    BOOST_TEST(store.add(record(2, 1)));
    clock.advance(10ms);
    BOOST_TEST(store.add(record(3, 1)));
    BOOST_TEST(store.add(record(4, 1, 0ms, 0.5)));
    store.noteForwarded({ Core::VmId { 5 }, Core::UpstreamId { 1 } });
    BOOST_CHECK((forwardedUpstreams() == std::vector<std::uint64_t> { 4, 3, 2, 1 }));
}

BOOST_AUTO_TEST_CASE(OldOrOftenSentRecordsAreNotForwarded)
{
    // Guards against records that circulate forever.
    BOOST_TEST(store.add(record(1, 1, 1s)));
    BOOST_TEST(store.add(record(2, 1)));
    clock.advance(999ms);
    BOOST_TEST(forwardedUpstreams().size() == 2U);
    clock.advance(1ms);
    BOOST_CHECK((forwardedUpstreams() == std::vector<std::uint64_t> { 2 }));
    BOOST_TEST(store.forwardable().front().observation.age.count() == 1000);
    for (int copies = 0; copies < 6; ++copies)
        store.noteForwarded({ Core::VmId { 5 }, Core::UpstreamId { 2 } });
    BOOST_TEST(forwardedUpstreams().empty());
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded)
{
    // Guards against a peer that fills the memory.
    for (std::uint64_t upstream = 1; upstream <= 10'000; ++upstream)
        store.add(record(upstream, 1));
    BOOST_TEST(store.size() == 4096U);
}

BOOST_AUTO_TEST_SUITE_END()
