#include <platform/StoreClient.h>
#include <platform/StoreItems.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

char const* const UpstreamValue
    = R"({"service":"register","addr":"10.128.0.9:8080","zone":"a","version":"v1","slots":4,"state":"draining",)"
      R"("warmup_left_ms":700,"seq":4,"born":1700000000123})";

char const* const ConfigurationValue = R"({"version":7,"routes":[)"
                                       R"({"name":"r1","host":"198.18.0.1","prefix":"/8080/","service":"register"},)"
                                       R"({"name":"r2","host":"198.18.0.1","prefix":"/8443/","traffic_split":[)"
                                       R"({"service":"register","weight":90},{"service":"packs","weight":10}]}],)"
                                       R"("services":[{"name":"register","warmup_s":2.0,"warmup_per_s":3.5}],)"
                                       R"("limits":{"idle_timeout_ms":12000}})";

std::optional<Platform::StoreChange> decode(std::string key, std::optional<std::string> value, std::string& error)
{
    return Platform::decodeItem({ std::move(key), std::move(value), Core::Revision { 42 } }, error);
}

std::optional<Distribution::StoreAnswer> decodeBody(std::string body, std::string& error)
{
    return Platform::decodeAnswer({ .status = 200, .body = std::move(body) }, error);
}

}

BOOST_AUTO_TEST_SUITE(StoreItems)

BOOST_AUTO_TEST_CASE(UpstreamIsDecoded)
{
    // Guards against mixing up the fields.
    std::string error;
    auto change = decode("servers/i-7f3a91c2aa", UpstreamValue, error);
    BOOST_REQUIRE_MESSAGE(change.has_value(), error);
    auto const& upstream = std::get<Platform::UpstreamChange>(*change);
    BOOST_TEST(upstream.upstream.value() == 0x7f3a91c2aaU);
    BOOST_REQUIRE(upstream.entry.has_value());
    BOOST_TEST(upstream.entry->upstream.address.toString() == "10.128.0.9:8080");
    BOOST_TEST(upstream.entry->upstream.isDraining());
    BOOST_TEST(upstream.entry->upstream.slots == 4U);
    BOOST_CHECK(upstream.entry->slowStartRemaining == 700ms);
    BOOST_TEST(upstream.entry->incarnation.value() == 1700000000123U);
    BOOST_TEST(upstream.entry->revision.value() == 42U);
}

BOOST_AUTO_TEST_CASE(RemovalsAreDecoded)
{
    // Guards against an upstream that stays listed, or a zone that stays out of service, after its key was removed.
    std::string error;
    auto upstream = decode("servers/i-1", std::nullopt, error);
    BOOST_TEST(!std::get<Platform::UpstreamChange>(*upstream).entry.has_value());
    auto zone = decode("op/evacuate/a", std::nullopt, error);
    BOOST_TEST(!std::get<Platform::ZoneChange>(*zone).isOutOfService);
    zone = decode("op/evacuate/a", "{}", error);
    BOOST_TEST(std::get<Platform::ZoneChange>(*zone).isOutOfService);
}

BOOST_AUTO_TEST_CASE(ConfigurationIsDecoded)
{
    // Guards against storing routes under a wrong address.
    std::string error;
    auto change = decode("op/config", ConfigurationValue, error);
    BOOST_REQUIRE_MESSAGE(change.has_value(), error);
    auto const& routes = std::get<Platform::RoutesChange>(*change).routes;
    BOOST_TEST(routes.version == 7U);
    BOOST_CHECK(routes.idleTimeout == 12s);
    auto const& split = routes.routes.at(*Core::Endpoint::parse("198.18.0.1:8443"));
    BOOST_REQUIRE(split.services.size() == 2U);
    BOOST_TEST(split.services[1].weight == 10U);
    BOOST_TEST(routes.services.at(Directory::serviceId("register")).slowStartOpensPerSecond == 3.5);
    BOOST_CHECK(routes.services.at(Directory::serviceId("register")).slowStart == 2s);
}

BOOST_AUTO_TEST_CASE(OddSlowStartOfAServiceIsUnknown)
{
    // Guards against a configuration that is rejected for a field which only helps against early load on upstreams that
    // may have restarted, and against an overflow of the clock's arithmetic.
    for (auto const* odd : { "null", "\"2\"", "-1", "1e300", "true" }) {
        std::string error;
        auto value = nlohmann::json::parse(ConfigurationValue);
        value["services"][0]["warmup_s"] = nlohmann::json::parse(odd);
        auto change = decode("op/config", value.dump(), error);
        BOOST_REQUIRE_MESSAGE(change.has_value(), error);
        auto const& services = std::get<Platform::RoutesChange>(*change).routes.services;
        BOOST_CHECK(!services.at(Directory::serviceId("register")).slowStart);
    }
}

BOOST_AUTO_TEST_CASE(RequestPropertiesAreDecoded)
{
    // Guards against admitting requests in the wrong order, and against a configuration without these fields that is
    // rejected.
    std::string error;
    auto value = nlohmann::json::parse(ConfigurationValue);
    value["routes"][0].update({ { "priority", 1 }, { "kind", "unsafe" }, { "slo_ms", 300 }, { "timeout_ms", 3000.5 } });
    auto change = decode("op/config", value.dump(), error);
    BOOST_REQUIRE_MESSAGE(change.has_value(), error);
    auto const& routes = std::get<Platform::RoutesChange>(*change).routes.routes;
    auto const& full = routes.at(*Core::Endpoint::parse("198.18.0.1:8080"));
    BOOST_TEST(full.priority == 1U);
    BOOST_CHECK(full.requestKind == Directory::RequestKind::Unsafe);
    BOOST_CHECK(full.goal == 300ms);
    BOOST_CHECK(full.timeout == 3001ms);
    auto const& bare = routes.at(*Core::Endpoint::parse("198.18.0.1:8443"));
    BOOST_TEST(bare.priority == 0U);
    BOOST_CHECK(bare.requestKind == Directory::RequestKind::Safe);
    BOOST_CHECK(!bare.goal);
    BOOST_CHECK(!bare.timeout);
}

struct MalformedItem {
    char const* key;
    char const* value;
};

std::ostream& operator<<(std::ostream& stream, MalformedItem const& item)
{
    return stream << item.key << ' ' << item.value;
}

MalformedItem const MalformedItems[] {
    { "servers/i-1", "no json" },
    { "servers/i-1", "[]" },
    { "servers/i-1",
        R"({"service":"s","addr":"10.0.0.1:80","zone":"a","slots":"4","state":"ready","warmup_left_ms":0})" },
    { "servers/i-1", R"({"service":"s","addr":"10.0.0.1:80","zone":"a","slots":4,"state":"odd","warmup_left_ms":0})" },
    { "servers/i-1", R"({"service":"s","addr":"nowhere","zone":"a","slots":4,"state":"ready","warmup_left_ms":0})" },
    { "servers/i-1", R"({"addr":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","warmup_left_ms":0})" },
    { "servers/somebody", UpstreamValue },
    { "op/config", R"({"version":1})" },
};

struct FieldCase {
    char const* field;
    /// JSON text; null for a missing field.
    char const* value;
};

std::ostream& operator<<(std::ostream& stream, FieldCase const& testCase)
{
    return stream << testCase.field << ": " << (testCase.value ? testCase.value : "missing");
}

FieldCase const OddFields[] {
    { "service", nullptr },
    { "service", "7" },
    { "addr", nullptr },
    { "addr", R"("10.128.0.9:65536")" },
    { "addr", R"("10.128.0.9:99999999999999999999")" },
    { "addr", R"("10.128.0.9:-1")" },
    { "addr", R"("10.128.0.9:0")" },
    { "addr", R"("10.128.0.9")" },
    { "addr", R"("[fd00::9]:8080")" },
    { "addr", "8080" },
    { "zone", nullptr },
    { "zone", "{}" },
    { "version", nullptr },
    { "version", "1" },
    { "slots", nullptr },
    { "slots", "true" },
    { "slots", "-1" },
    { "slots", "2.5" },
    { "slots", "4294967298" },
    { "slots", "1e300" },
    { "state", nullptr },
    { "state", "null" },
    { "warmup_left_ms", nullptr },
    { "warmup_left_ms", "false" },
    { "warmup_left_ms", "-1" },
    { "warmup_left_ms", "9223372036854775807" },
    { "warmup_left_ms", "1e300" },
    { "seq", nullptr },
    { "seq", R"("4")" },
    { "seq", "-4" },
    { "born", nullptr },
    { "born", "true" },
    { "born", "-1" },
    { "born", "1700000000123.5" },
    { "born", "18446744073709551615" },
    { "born", "1e300" },
};

FieldCase const OddRouteFields[] {
    { "priority", "-1" },
    { "priority", "1.5" },
    { "priority", "4294967296" },
    { "priority", R"("1")" },
    { "kind", R"("urgent")" },
    { "kind", "1" },
    { "slo_ms", "0" },
    { "slo_ms", "true" },
    { "slo_ms", "1e300" },
    { "timeout_ms", "-5" },
    { "timeout_ms", R"("3000")" },
    { "timeout_ms", "null" },
};

/// The store's limit for a value.
constexpr std::size_t LargestValueBytes = 1'048'576;

/// A value that begins with the head and repeats the unit up to its size.
struct LargeEntry {
    std::string head;
    std::string unit;
    std::string tail;

    std::string text(std::size_t size) const
    {
        auto text = head;
        while (text.size() < size)
            text += unit;
        return text + tail;
    }
};

std::ostream& operator<<(std::ostream& stream, LargeEntry const& entry) { return stream << entry.head << entry.unit; }

LargeEntry const LargeEntries[] {
    { "", "[", "" },
    { "", R"({"a":)", "" },
    { R"({"slots":)", "[", "" },
    { R"({"slots":)", "9", "}" },
    { R"({"slots":1e)", "9", "}" },
    { R"({"addr":"10.0.0.1:)", "9", "\"}" },
    { R"({"state":")", "x", "\"}" },
    { "", "{}", "" },
    { "", "\xff", "" },
};

FieldCase const UnusualFields[] {
    { "warmup_left_ms", "700.25" },
    { "warmup_left_ms", "0" },
    { "seq", "0" },
    { "slots", "1" },
    { "slots", "4294967295" },
    { "rack", "[[[]]]" },
};

BOOST_DATA_TEST_CASE(MalformedItemsYieldNoEntry, boost::unit_test::data::make(MalformedItems), item)
{
    // Guards against a malformed entry that ends the process or is used partially decoded.
    std::string error;
    auto change = decode(item.key, item.value, error);
    auto const* upstream = change ? std::get_if<Platform::UpstreamChange>(&*change) : nullptr;
    BOOST_TEST((!change || (upstream && !upstream->entry)));
    BOOST_TEST(!error.empty());
}

BOOST_DATA_TEST_CASE(OddFieldMakesAnEntryMalformed, boost::unit_test::data::make(OddFields), odd)
{
    // Guards against new flows to the upstream of another writer's entry, which has one field that is missing, of
    // another type or out of range, and is right otherwise.
    auto value = nlohmann::json::parse(UpstreamValue);
    if (odd.value)
        value[odd.field] = nlohmann::json::parse(odd.value);
    else
        value.erase(odd.field);
    std::string error;
    auto change = decode("servers/i-7f3a", value.dump(), error);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(!std::get<Platform::UpstreamChange>(*change).entry.has_value());
    BOOST_TEST(!error.empty());
}

BOOST_DATA_TEST_CASE(OddRouteFieldRejectsTheConfiguration, boost::unit_test::data::make(OddRouteFields), odd)
{
    // Guards against a route that is served with a priority or time that its operators didn't mean.
    auto value = nlohmann::json::parse(ConfigurationValue);
    value["routes"][0][odd.field] = nlohmann::json::parse(odd.value);
    std::string error;
    BOOST_TEST(!decode("op/config", value.dump(), error).has_value());
    BOOST_TEST(!error.empty());
}

BOOST_DATA_TEST_CASE(UnusualFieldIsAccepted, boost::unit_test::data::make(UnusualFields), unusual)
{
    // Guards against dropping an upstream for a value that the platform permits.
    auto value = nlohmann::json::parse(UpstreamValue);
    value[unusual.field] = nlohmann::json::parse(unusual.value);
    std::string error;
    auto change = decode("servers/i-7f3a", value.dump(), error);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(std::get<Platform::UpstreamChange>(*change).entry.has_value(), error);
}

BOOST_DATA_TEST_CASE(LargeEntryIsNotParsed, boost::unit_test::data::make(LargeEntries), large)
{
    // Guards against an entry of another writer that exhausts the memory of each process that reads it, or stops its
    // packet path.
    std::string error;
    auto change = decode("servers/i-7f3a", large.text(LargestValueBytes), error);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(!std::get<Platform::UpstreamChange>(*change).entry.has_value());
    BOOST_TEST(error.find("bytes, at most") != std::string::npos, error.substr(0, 200));
}

BOOST_DATA_TEST_CASE(NestedEntryIsRejected, boost::unit_test::data::make(LargeEntries), nested)
{
    // Guards against an entry below the limit of size that is parsed recursively and overflows the stack.
    static constexpr std::size_t Bytes = 60'000;
    std::string error;
    auto change = decode("servers/i-7f3a", nested.text(Bytes), error);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(!std::get<Platform::UpstreamChange>(*change).entry.has_value());
    BOOST_TEST(!error.empty());
}

BOOST_AUTO_TEST_CASE(MalformedEntryReplacesThePreviousOne)
{
    // Guards against new flows to an upstream whose entry was overwritten with a malformed one.
    std::string error;
    auto change = decode("servers/i-7f3a", "no json", error);
    BOOST_REQUIRE(change.has_value());
    auto const& upstream = std::get<Platform::UpstreamChange>(*change);
    BOOST_TEST(upstream.upstream.value() == 0x7f3aU);
    BOOST_TEST(!upstream.entry.has_value());
}

BOOST_AUTO_TEST_CASE(UnrelatedKeysAreIgnoredWithoutAnError)
{
    // Guards against logging errors for keys that balancers don't use.
    std::string error { "before" };
    BOOST_TEST(!decode("op/other", "{}", error).has_value());
    BOOST_TEST(error.empty());
}

BOOST_AUTO_TEST_CASE(AnswersAreDecoded)
{
    // Guards against decoding a removal as an empty value, and against failing on a value that isn't base64.
    std::string error;
    auto answer
        = decodeBody(R"({"events":[{"key":"a","value":"bm9kZS0x","rev":412,"create_rev":412,"lease":0},)"
                     R"({"key":"b","rev":413,"removed":true},{"key":"c","value":"%%%","rev":414}],"as_of":414})",
            error);
    BOOST_REQUIRE_MESSAGE(answer.has_value(), error);
    BOOST_TEST(answer->asOf.value() == 414U);
    BOOST_REQUIRE(answer->items.size() == 3U);
    BOOST_TEST(*answer->items[0].value == "node-1");
    BOOST_TEST(!answer->items[1].value.has_value());
    BOOST_TEST(answer->items[2].value.has_value());
    BOOST_TEST(!decodeBody("{", error).has_value());
    BOOST_TEST(!decodeBody(R"({"items":[]})", error).has_value());
}

BOOST_DATA_TEST_CASE(EpochOfAnAnswerIsDecoded,
    boost::unit_test::data::make({ "Store-Era", "store-era" }) * boost::unit_test::data::make({ "7", "", "x" }), name,
    value)
{
    // Guards against taking revisions of different histories of the store for those of one.
    std::string error;
    EventLoop::HttpResponse response { .status = 200, .body = R"({"as_of":4})", .headers = { { name, value } } };
    auto answer = Platform::decodeAnswer(response, error);
    if (std::string_view { value } != "7") {
        BOOST_TEST(!answer.has_value());
        BOOST_TEST(error.find("Store-Era") != std::string::npos);
        return;
    }
    BOOST_REQUIRE_MESSAGE(answer.has_value(), error);
    BOOST_TEST(answer->asOf.epoch().value() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
