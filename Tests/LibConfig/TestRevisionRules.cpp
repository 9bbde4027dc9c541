#include "ConfigurationTexts.h"
#include "Property.h"

#include <LibConfig/OfferFilter.h>
#include <LibConfig/ReadSchedule.h>
#include <LibConfig/SnapshotSettler.h>

#include <set>

using namespace Chicorytally;
using namespace Chicorytally::Config;
using namespace std::chrono_literals;
using Chicorytally::Tests::goodText;

BOOST_AUTO_TEST_SUITE(TestRevisionRules)

static std::vector<SourceFile> filesWith(std::string const& addition)
{
    return { { "a.toml", goodText() + addition } };
}

// Short names of an outcome for comparisons.
static std::string nameOf(OfferOutcome const& outcome)
{
    if (outcome.update)
        return "update " + std::to_string(outcome.update->configuration->revision.value());
    return outcome.error ? std::string { toString(outcome.error->kind) } : "nothing";
}

namespace {

struct Step {
    std::string addition;
    std::uint64_t revision;
    std::string outcome;
};

}

static void checkSteps(RevisionRule rule, std::vector<Step> const& steps)
{
    OfferFilter filter { "source", rule };
    for (std::size_t i = 0; i < steps.size(); ++i) {
        auto outcome = filter.offer(filesWith(steps[i].addition), Core::Revision { steps[i].revision });
        BOOST_TEST(nameOf(outcome) == steps[i].outcome, "step " << i << ": " << nameOf(outcome));
    }
}

static std::string const Out = "state = \"out\"\n";
static std::string const Bad = "state = \"off\"\n";

BOOST_AUTO_TEST_CASE(PlatformRevisionNeverGoesBack)
{
    // Guards against a lagging or flapping replica that brings an old configuration back into force.
    checkSteps(RevisionRule::Offered,
        { { "", 5, "update 5" }, { "", 5, "nothing" }, { Out, 4, "stale" }, { Out, 4, "nothing" }, { "", 5, "nothing" },
            { Out, 5, "revision_not_greater" }, { Out, 7, "update 7" }, { "", 5, "stale" }, { Out, 8, "update 8" } });
}

BOOST_AUTO_TEST_CASE(FaultyRevisionCanBeCorrected)
{
    // Guards against a bad change that blocks its own correction, or that is reported with every read.
    checkSteps(RevisionRule::Offered,
        { { "", 5, "update 5" }, { Bad, 6, "faulty" }, { Bad, 6, "nothing" }, { Out, 6, "update 6" } });
    checkSteps(RevisionRule::DeclaredOrOffered,
        { { Bad, 5, "faulty" }, { "", 6, "update 6" }, { Bad, 7, "faulty" }, { Bad, 8, "faulty" },
            { Out, 9, "update 9" } });
}

BOOST_AUTO_TEST_CASE(FolderNeedsAGreaterRevisionForOtherContent)
{
    // Guards against balancers of a fleet that put the same revision in force with different content.
    auto folder = [](std::uint64_t revision, std::string const& addition) {
        return std::vector<SourceFile> { { "0.toml", "revision = " + std::to_string(revision) + "\n" },
            { "a.toml", goodText() + addition } };
    };
    OfferFilter filter { "folder", RevisionRule::DeclaredOrOffered };
    // The modification time only grows; the declared revision counts nevertheless.
    BOOST_TEST(nameOf(filter.offer(folder(3, ""), Core::Revision { 1'000 })) == "update 3");
    BOOST_TEST(nameOf(filter.offer(folder(3, ""), Core::Revision { 1'001 })) == "nothing");
    auto outcome = filter.offer(folder(3, Out), Core::Revision { 1'002 });
    BOOST_TEST(nameOf(outcome) == "revision_not_greater");
    BOOST_REQUIRE(outcome.error);
    BOOST_REQUIRE_EQUAL(outcome.error->faults.size(), 1u);
    BOOST_TEST(outcome.error->faults.front().remedy.find("raise the revision") != std::string::npos);
    BOOST_TEST(nameOf(filter.offer(folder(2, Out), Core::Revision { 1'003 })) == "revision_not_greater");
    BOOST_TEST(nameOf(filter.offer(folder(4, Out), Core::Revision { 1'004 })) == "update 4");
}

BOOST_AUTO_TEST_CASE(RevisionLearntFromPeersCounts)
{
    // Guards against a newcomer that takes an old copy of the platform after its peers told it a newer one.
    OfferFilter filter { "platform", RevisionRule::Offered };
    filter.raise(Core::Revision { 9 });
    BOOST_TEST(filter.newestSeen().value() == 9u);
    BOOST_TEST(nameOf(filter.offer(filesWith(""), Core::Revision { 8 })) == "stale");
    BOOST_TEST(nameOf(filter.offer(filesWith(""), Core::Revision { 9 })) == "nothing");
    BOOST_TEST(nameOf(filter.offer(filesWith(Bad), Core::Revision { 10 })) == "faulty");
    // The next blocking query must not return with the refused revision at once.
    BOOST_TEST(filter.newestSeen().value() == 10u);
}

BOOST_AUTO_TEST_CASE(AcceptedRevisionsOnlyGrow)
{
    // Guards against any order of offers that moves the configuration in force back or to other content of its
    // revision.
    Tests::checkProperty("accepted revisions only grow", 300, [] {
        OfferFilter filter { "platform", RevisionRule::Offered };
        std::uint64_t newest = 0;
        auto offers = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(1, 20), rc::gen::inRange(0, 3)));
        for (auto [revision, content] : offers) {
            auto const& text = content == 0 ? "" : content == 1 ? Out : Bad;
            auto outcome = filter.offer(filesWith(text), Core::Revision { static_cast<std::uint64_t>(revision) });
            if (!outcome.update)
                continue;
            RC_ASSERT(outcome.update->configuration->revision.value() > newest);
            newest = outcome.update->configuration->revision.value();
        }
    });
}

BOOST_AUTO_TEST_CASE(BackoffGrowsToItsMaximumWithJitter)
{
    // Guards against a fleet that returns to a recovering platform all at once, or too late for the 12 s bound.
    std::set<std::int64_t> lastDelays;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        Backoff backoff { {}, seed };
        std::chrono::milliseconds span { 250 };
        for (int failure = 0; failure < 12; ++failure) {
            auto delay = backoff.next();
            BOOST_TEST((delay >= span / 2 && delay <= span));
            span = std::min<std::chrono::milliseconds>(span * 2, 5s);
            if (failure == 11)
                lastDelays.insert(delay.count());
        }
        backoff.reset();
        BOOST_TEST((backoff.next() <= 250ms));
    }
    BOOST_TEST(lastDelays.size() > 40u);
}

BOOST_AUTO_TEST_CASE(ScheduleBoundsReads)
{
    // Guards against a reader that spins on a platform which answers blocking queries at once, or that reads while
    // idle.
    Core::ManualClock clock;
    ReadSchedule schedule { {}, 1 };
    BOOST_TEST(!schedule.nextRead());
    schedule.setActive(true);
    BOOST_TEST((*schedule.nextRead() <= clock.now()));
    schedule.noteStarted(clock.now());
    schedule.noteSuccess();
    BOOST_TEST((*schedule.nextRead() - clock.now() == 500ms));
    // A long watch leaves no pause behind it.
    clock.advance(30s);
    BOOST_TEST((*schedule.nextRead() <= clock.now()));
    // Switching off and on again doesn't shorten the backoff.
    for (int failure = 0; failure < 10; ++failure)
        schedule.noteFailure(clock.now());
    schedule.setActive(false);
    BOOST_TEST(!schedule.nextRead());
    schedule.setActive(true);
    BOOST_TEST((*schedule.nextRead() - clock.now() >= 2'500ms));
    BOOST_TEST((*schedule.nextRead() - clock.now() <= 5s));
}

BOOST_AUTO_TEST_CASE(ReadsOfAnOutageStayFarBelowTheLimit)
{
    // Guards against readers that use up the platform's 2,000 reads/s while it is down: 18 readers, 10 minutes.
    int reads = 0;
    for (std::uint64_t seed = 0; seed < 18; ++seed) {
        Core::ManualClock clock;
        auto end = clock.now() + 10min;
        ReadSchedule schedule { {}, seed };
        schedule.setActive(true);
        for (; clock.now() < end; ++reads) {
            clock.set(std::max(clock.now(), *schedule.nextRead()));
            schedule.noteStarted(clock.now());
            schedule.noteFailure(clock.now());
        }
    }
    BOOST_TEST_MESSAGE("reads/s in an outage: " << reads / 600.0);
    BOOST_TEST(reads / 600.0 < 10);
}

BOOST_AUTO_TEST_CASE(HalfWrittenFolderIsHeldBack)
{
    // Guards against a change of several files that is taken over half written.
    Core::ManualClock clock;
    SnapshotSettler settler { 200ms };
    auto offer = [&](std::uint64_t digest) { return settler.offer({ digest, 0 }, Core::Revision { 1 }, clock.now()); };
    BOOST_TEST(!offer(1));
    clock.advance(100ms);
    BOOST_TEST(!offer(2));
    BOOST_TEST((*settler.nextRead() - clock.now() == 200ms));
    clock.advance(150ms);
    BOOST_TEST(!offer(2));
    clock.advance(50ms);
    BOOST_TEST(offer(2));
    BOOST_TEST(!settler.nextRead());
    BOOST_TEST(!offer(2));
    // A change that is undone within the quiet time is none.
    BOOST_TEST(!offer(3));
    BOOST_TEST(!offer(2));
    BOOST_TEST(!settler.nextRead());
}

BOOST_AUTO_TEST_SUITE_END()
