#include <Harness/Sites.h>
#include <LibPlacement/Ownership.h>
#include <LibPlacement/TargetTable.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace Chicorytally::Placement {

using Harness::Sites;

/// Runs a property with a fixed seed.
template <typename Property> static bool holds(Property const& property)
{
    rc::detail::TestParams parameters;
    parameters.seed = 20;
    parameters.maxSuccess = 30;
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, parameters);
    return result.template is<rc::detail::SuccessResult>();
}

static Model::Configuration randomSite()
{
    auto configuration = Sites::accra();
    for (auto& upstream : Sites::service(configuration, "register").upstreams) {
        upstream.weight = *rc::gen::inRange<std::uint32_t>(1, 1000);
        if (*rc::gen::inRange(0, 5) == 0)
            upstream.state = Model::UpstreamState::Draining;
    }
    if (*rc::gen::arbitrary<bool>())
        Sites::setZone(configuration, 2, Model::ZoneState::Out);
    return configuration;
}

BOOST_AUTO_TEST_SUITE(Tables)

BOOST_AUTO_TEST_CASE(SharesAreBounded)
{
    // Guards against uneven shares and against targets that are draining or in a zone that is out.
    BOOST_TEST(holds([] {
        auto site = randomSite();
        auto configuration = Sites::commit(site);
        auto const& service = Sites::service(site, "register");
        TargetTable table { *configuration, *configuration->findService(service.id) };
        std::map<Core::UpstreamId, std::size_t> counts;
        double weight = 0;
        for (auto const& upstream : service.upstreams)
            weight += TargetTable::takesNewFlows(*configuration, upstream) ? upstream.weight : 0;
        for (std::size_t bucket = 0; bucket < table.bucketCount(); ++bucket) {
            if (auto const* target = table.target(bucket))
                ++counts[target->id];
        }
        RC_ASSERT((weight == 0) == counts.empty());
        for (auto const& [id, count] : counts) {
            auto const* upstream = service.findUpstream(id);
            RC_ASSERT(TargetTable::takesNewFlows(*configuration, *upstream));
            auto mean = static_cast<double>(table.bucketCount()) * upstream->weight / weight;
            RC_ASSERT(static_cast<double>(count) <= std::ceil(TargetTable::ShareCap * mean));
        }
    }));
}

BOOST_AUTO_TEST_CASE(OrderOfUpstreamsDoesNotMatter)
{
    // Guards against two balancers that compute different tables from the same revision.
    auto site = Sites::accra();
    auto configuration = Sites::commit(site);
    auto id = Sites::service(site, "register").id;
    TargetTable table { *configuration, *configuration->findService(id) };
    auto again = std::make_shared<Model::Configuration const>(*configuration);
    TargetTable copy { *again, *again->findService(id) };
    for (std::size_t bucket = 0; bucket < table.bucketCount(); ++bucket) {
        BOOST_REQUIRE(table.target(bucket)->id == copy.target(bucket)->id);
        auto preferences = table.preferences(bucket);
        BOOST_REQUIRE(preferences.front() == table.target(bucket));
        BOOST_REQUIRE(preferences.size() == 15u);
    }
}

BOOST_AUTO_TEST_CASE(FewBucketsMove)
{
    // Guards against a change of one upstream that moves many buckets. One of 15 upstreams has 6.7% of the buckets;
    // bounding the shares moves some more.
    auto site = Sites::accra();
    auto before = Sites::commit(site);
    auto id = Sites::service(site, "register").id;
    TargetTable first { *before, *before->findService(id) };
    Sites::upstream(site, "register", 4).state = Model::UpstreamState::Draining;
    auto after = Sites::commit(site);
    TargetTable second { *after, *after->findService(id) };
    std::size_t moved = 0;
    for (std::size_t bucket = 0; bucket < first.bucketCount(); ++bucket)
        moved += first.target(bucket)->id != second.target(bucket)->id ? 1 : 0;
    BOOST_TEST(moved * 100 <= first.bucketCount() * 10);
}

BOOST_AUTO_TEST_CASE(OwnershipMovesOnlyFromTheLeavingMember)
{
    // Guards against handovers between members that stay.
    MemberView view;
    for (std::uint64_t i = 1; i <= 6; ++i)
        view.members.push_back({ Core::VmId { i * 1000 }, Core::Incarnation { 1 } });
    Core::ServiceId service { 9 };
    auto smaller = view;
    auto gone = smaller.members[2].vm;
    smaller.members[2].status = MemberStatus::Leaving;
    for (std::size_t group = 0; group < 256; ++group) {
        auto before = Ownership::of(view, {}, false, service, group);
        auto after = Ownership::of(smaller, {}, false, service, group);
        BOOST_REQUIRE(after.owner != gone);
        BOOST_REQUIRE(after.owner == (before.owner == gone ? before.backup : before.owner));
        BOOST_REQUIRE(after.owner != after.backup);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
