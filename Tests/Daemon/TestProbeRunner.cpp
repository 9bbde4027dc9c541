#include <chicorytallyd/ProbeRunner.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;

BOOST_AUTO_TEST_SUITE(TestProbeRunner)

struct Answer {
    int status;
    char const* body;
    bool isHealthy;
    std::optional<std::uint32_t> connections;
    std::optional<std::int64_t> generation;
};

static Answer const Answers[] = {
    { 200, "", true, {}, {} },
    { 200, "ok", true, {}, {} },
    { 200, R"({"healthy":true,"connections":12,"generation":7})", true, 12, 7 },
    { 200, R"({"healthy":false,"connections":12})", false, 12, {} },
    { 200, R"({"connections":-1,"generation":"x"})", true, {}, {} },
    { 200, R"({"connections":99999999999})", true, {}, {} },
    { 200, R"([1,2])", true, {}, {} },
    { 200, R"({"connections":)", true, {}, {} },
    { 503, R"({"healthy":true})", false, {}, {} },
    { 0, "", false, {}, {} },
};

BOOST_DATA_TEST_CASE(AnswerBecomesAReport, boost::unit_test::data::xrange(std::size(Answers)), index)
{
    // Guards against a malformed report that counts as a healthy or an idle upstream.
    auto const& answer = Answers[index];
    auto report = Daemon::reportOf(answer.status, answer.body, std::chrono::microseconds { 40 });
    BOOST_TEST(report.isHealthy == answer.isHealthy);
    BOOST_TEST((report.connections == answer.connections));
    BOOST_TEST((report.generation == answer.generation));
    BOOST_TEST(report.latency.has_value() == (answer.status != 0));
}

BOOST_AUTO_TEST_SUITE_END()
