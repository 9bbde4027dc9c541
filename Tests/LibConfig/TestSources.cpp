#include "ConfigurationTexts.h"
#include "Recorder.h"

#include <StandIns/PlatformServer.h>

#include <LibConfig/Config.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Chicorytally::Tests::goodText;

BOOST_AUTO_TEST_SUITE(TestSources)

static Core::Endpoint const AnyPort { *Core::IpAddress::parse("127.0.0.1"), 0 };
static std::string const Out = "state = \"out\"\n";

// Short intervals, so that a test waits for events and not for timers.
static Config::PlatformSourceOptions optionsFor(StandIns::PlatformServer const& server)
{
    return { .platform = server.endpoint(), .schedule = { .interval = 1ms, .backoff = { 1ms, 5ms } } };
}

BOOST_AUTO_TEST_CASE(FolderSourceFollowsChanges)
{
    // Guards against an edit, a removal or a corrected fault that never comes into force.
    Tests::TemporaryFolder folder;
    folder.write("a.toml", "revision = 1\n" + goodText());
    Tests::Recorder recorder;
    Config::FolderSource source { { .folder = folder.path(), .quietTime = 1ms, .pollInterval = 10ms } };
    source.start(recorder.updateHook(), recorder.errorHook());
    BOOST_TEST(recorder.awaitUpdates(1).size() == 1u);
    folder.write("b.toml", "revision = 2\n[zone.north]\nstate = \"off\"\n");
    BOOST_REQUIRE_EQUAL(recorder.awaitErrors(1).size(), 1u);
    folder.write("b.toml", "revision = 2\n[zone.north]\nstate = \"out\"\n");
    BOOST_TEST(recorder.awaitUpdates(2).size() == 2u);
    std::filesystem::remove(folder.path() / "b.toml");
    auto errors = recorder.awaitErrors(2);
    BOOST_REQUIRE_EQUAL(errors.size(), 2u);
    source.stop();
    auto updates = recorder.awaitUpdates(2);
    BOOST_TEST(updates[0].configuration->revision.value() == 1u);
    BOOST_TEST(updates[1].configuration->revision.value() == 2u);
    BOOST_TEST(updates[1].files.size() == 2u);
    BOOST_TEST((errors[0].kind == Config::SourceErrorKind::Faulty));
    BOOST_TEST(errors[0].faults.front().toString().find("b.toml:3:1: state of zone.north is 'off'") == 0u);
    BOOST_TEST((errors[1].kind == Config::SourceErrorKind::RevisionNotGreater));
}

BOOST_AUTO_TEST_CASE(FolderSourceIsWokenByInotify)
{
    // Guards against changes that are only seen by the poll, which is far apart here.
    Tests::TemporaryFolder folder;
    folder.write("a.toml", goodText());
    Tests::Recorder recorder;
    Config::FolderSource source { { .folder = folder.path(), .quietTime = 1ms, .pollInterval = 1h } };
    source.start(recorder.updateHook(), recorder.errorHook());
    BOOST_TEST(recorder.awaitUpdates(1).size() == 1u);
    folder.write("b.toml", "revision = 9223372036854775807\n");
    auto updates = recorder.awaitUpdates(2);
    BOOST_TEST(updates.back().configuration->revision.value() == 9'223'372'036'854'775'807u);
}

BOOST_AUTO_TEST_CASE(MissingFolderIsReportedOnceAndPickedUpLater)
{
    // Guards against a daemon that gives up, or floods its log, because the folder is delivered after its start.
    Tests::TemporaryFolder folder;
    Tests::Recorder recorder;
    auto path = folder.path() / "later";
    Config::FolderSource source { { .folder = path, .quietTime = 1ms, .pollInterval = 5ms } };
    source.start(recorder.updateHook(), recorder.errorHook());
    BOOST_TEST(recorder.awaitErrors(1).size() == 1u);
    std::filesystem::create_directory(folder.path() / "new");
    std::ofstream { folder.path() / "new" / "a.toml" } << goodText();
    std::filesystem::rename(folder.path() / "new", path);
    BOOST_TEST(recorder.awaitUpdates(1).size() == 1u);
    source.stop();
    BOOST_TEST(recorder.awaitErrors(1).size() == 1u);
    BOOST_TEST((recorder.awaitErrors(1).front().kind == Config::SourceErrorKind::Unreachable));
}

BOOST_AUTO_TEST_CASE(PlatformSourceFollowsRevisionsThroughOutageAndStaleness)
{
    // Guards against a reader that loses a revision over an outage, goes back to a stale one, or reads more than it
    // must.
    StandIns::PlatformServer server;
    BOOST_REQUIRE(server.start(AnyPort));
    server.publish({ Core::Revision { 5 }, { { "a.toml", goodText() } } });
    Tests::Recorder recorder;
    Config::PlatformSource source { optionsFor(server) };
    source.start(recorder.updateHook(), recorder.errorHook());
    source.setActive(true);
    BOOST_TEST(recorder.awaitUpdates(1).size() == 1u);
    BOOST_REQUIRE(server.awaitWaiting(1));
    BOOST_TEST(server.reads() == 2u);

    server.publish({ Core::Revision { 6 }, { { "a.toml", goodText() + Out } } });
    BOOST_TEST(recorder.awaitUpdates(2).size() == 2u);
    server.setMode(StandIns::PlatformMode::Down);
    auto errors = recorder.awaitErrors(1);
    BOOST_REQUIRE_EQUAL(errors.size(), 1u);
    BOOST_TEST((errors[0].kind == Config::SourceErrorKind::Unreachable));
    BOOST_TEST(errors[0].cause == "the answer has HTTP status 503");

    server.setMode(StandIns::PlatformMode::Stale, 1);
    BOOST_REQUIRE(server.awaitWaiting(1));
    server.setMode(StandIns::PlatformMode::Up);
    server.publish({ Core::Revision { 7 }, { { "a.toml", goodText() } } });
    auto updates = recorder.awaitUpdates(3);
    source.stop();
    BOOST_REQUIRE_EQUAL(updates.size(), 3u);
    for (std::uint64_t i = 0; i < 3; ++i)
        BOOST_TEST(updates[i].configuration->revision.value() == 5 + i);
    BOOST_TEST(recorder.awaitErrors(1).size() == 1u);
}

BOOST_AUTO_TEST_CASE(StaleAnswerIsReportedAndIgnored)
{
    // Guards against a replica that answers with an old revision at once.
    StandIns::PlatformServer server;
    BOOST_REQUIRE(server.start(AnyPort));
    server.publish({ Core::Revision { 5 }, { { "a.toml", goodText() } } });
    Tests::Recorder recorder;
    auto options = optionsFor(server);
    options.wait = 0s;
    Config::PlatformSource source { options };
    source.raiseRevision(Core::Revision { 6 });
    source.start(recorder.updateHook(), recorder.errorHook());
    source.setActive(true);
    auto errors = recorder.awaitErrors(1);
    BOOST_REQUIRE_EQUAL(errors.size(), 1u);
    source.stop();
    BOOST_TEST((errors[0].kind == Config::SourceErrorKind::Stale));
    BOOST_TEST(recorder.awaitUpdates(0).empty());
}

BOOST_AUTO_TEST_CASE(IdlePlatformSourceReadsNothing)
{
    // Guards against a fleet in which every VM watches the platform.
    StandIns::PlatformServer server;
    BOOST_REQUIRE(server.start(AnyPort));
    server.publish({ Core::Revision { 5 }, { { "a.toml", goodText() } } });
    Tests::Recorder recorder;
    Config::PlatformSource source { optionsFor(server) };
    auto hooks = source.asSource();
    hooks.start(recorder.updateHook(), recorder.errorHook());
    BOOST_TEST(server.reads() == 0u);
    hooks.setActive(true);
    BOOST_TEST(recorder.awaitUpdates(1).size() == 1u);
    BOOST_REQUIRE(server.awaitWaiting(1));
    hooks.setActive(false);
    // The wake of the watch shows that it was let go; the stop below returns only when the thread reads no more.
    server.publish({ Core::Revision { 6 }, { { "a.toml", goodText() } } });
    BOOST_REQUIRE(server.awaitWaiting(0));
    hooks.stop();
    BOOST_TEST(server.reads() == 2u);
    BOOST_TEST(recorder.awaitErrors(0).empty());
    BOOST_TEST(recorder.awaitUpdates(0).size() == 1u);
}

BOOST_AUTO_TEST_CASE(UnreachablePlatformIsReportedOnce)
{
    // Guards against a log that fills during an outage, and against a stop that waits for a dead platform.
    StandIns::PlatformServer server;
    BOOST_REQUIRE(server.start(AnyPort));
    auto options = optionsFor(server);
    server.stop();
    Tests::Recorder recorder;
    Config::PlatformSource source { options };
    source.start(recorder.updateHook(), recorder.errorHook());
    source.setActive(true);
    BOOST_TEST(recorder.awaitErrors(1).size() == 1u);
    source.stop();
    auto errors = recorder.awaitErrors(1);
    BOOST_TEST(errors.size() == 1u);
    BOOST_TEST(errors.front().source == "http://" + options.platform.toString() + "/v1/config");
}

BOOST_AUTO_TEST_CASE(VmListSourceReportsChanges)
{
    // Guards against members that never learn of a leaving VM.
    StandIns::PlatformServer server;
    BOOST_REQUIRE(server.start(AnyPort));
    nlohmann::json vm { { "name", "accra-1" }, { "address", "10.0.0.5" }, { "zone", "accra-a" }, { "state", "live" } };
    server.setVms(nlohmann::json::array({ vm }));
    absl::Mutex mutex;
    std::vector<Config::VmList> lists;
    Tests::Recorder recorder;
    Config::VmListSource source { { .platform = server.endpoint(),
        .schedule = { .interval = 1ms, .backoff = { 1ms, 5ms } } } };
    source.start(
        [&](Config::VmList const& list) {
            absl::MutexLock lock { &mutex };
            lists.push_back(list);
        },
        recorder.errorHook());
    source.setActive(true);
    auto awaitLists = [&](std::size_t count) {
        auto isReached = [&] { return lists.size() >= count; };
        absl::MutexLock lock { &mutex };
        return mutex.AwaitWithTimeout(absl::Condition { &isReached }, absl::Seconds(20));
    };
    BOOST_REQUIRE(awaitLists(1));
    vm["state"] = "leaving";
    server.setVms(nlohmann::json::array({ vm }));
    BOOST_REQUIRE(awaitLists(2));
    server.setVms(nlohmann::json::array({ "nonsense" }));
    BOOST_TEST(recorder.awaitErrors(1).front().cause == "an entry of the answer has no text 'name'");
    source.stop();
    BOOST_TEST((lists[0].vms.front().state == Config::VmState::Live));
    BOOST_TEST((lists[1].vms.front().state == Config::VmState::Leaving));
    BOOST_TEST((lists[1].vms.front().address == *Core::IpAddress::parse("10.0.0.5")));
}

static char const* const BadAnswers[] = { "", "[]", "{}", "{\"revision\":0,\"files\":[]}",
    "{\"revision\":-1,\"files\":[]}", "{\"revision\":\"1\",\"files\":[]}",
    "{\"revision\":18446744073709551615,\"files\":[]}", "{\"revision\":1}", "{\"revision\":1,\"files\":{}}",
    "{\"revision\":1,\"files\":[1]}", "{\"revision\":1,\"files\":[{\"name\":\"a\"}]}",
    "{\"revision\":1,\"files\":[{\"name\":1,\"content\":\"\"}]}", "{\"revision\":1,\"files\":[" };

BOOST_DATA_TEST_CASE(BadAnswerIsRefused, boost::unit_test::data::make(BadAnswers), text)
{
    // Guards against half an answer that is taken for a small configuration.
    std::string error;
    BOOST_TEST(!Config::decodePlatformConfiguration(text, error));
    BOOST_TEST(!error.empty());
}

BOOST_AUTO_TEST_SUITE_END()
