#include <chicorytally/FlowTrace.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace Chicorytally;

namespace {

std::string const Flow { "100.64.0.7:4000-198.18.0.1:443" };

std::string formatLine(std::string const& second, std::string const& rest)
{
    return "time=2026-06-24 22:18:" + second + " level=INFO " + rest + "\n";
}

std::vector<Tool::LogLine> parseLines(std::string const& text, std::string const& file = "front-a")
{
    std::istringstream stream { text };
    return Tool::readLogLines(stream, file);
}

struct OutcomeCase {
    char const* name;
    char const* lastLine;
    char const* cause;
};

std::ostream& operator<<(std::ostream& stream, OutcomeCase const& testCase) { return stream << testCase.name; }

OutcomeCase const OutcomeCases[] {
    { "upstream lost", "event=request_cut flow=100.64.0.7:4000-198.18.0.1:443 request=ab upstream=i-1 cause=unlisted",
        "front-a reset the flow because its upstream i-1 was lost: it was no longer in discovery, and it answered no "
        "probe." },
    { "no route",
        "event=open_refused flow=100.64.0.7:4000-198.18.0.1:443 upstream=none reason=unknown_service version=12",
        "front-a answered with a reset: version 12 has no route to this address." },
    { "late", "event=request_late flow=100.64.0.7:4000-198.18.0.1:443 request=ab upstream=i-1 ms=812",
        "The upstream i-1 took 812 ms to answer." },
    { "error", "event=answer_short flow=100.64.0.7:4000-198.18.0.1:443 request=ab upstream=i-1 bytes=219",
        "The upstream i-1 answered with 219 bytes, probably an error." },
    { "dropped", "event=open_dropped flow=100.64.0.7:4000-198.18.0.1:443 upstream=none reason=no_upstream",
        "front-a dropped the packet: no upstream of the service accepts new flows." },
    { "overloaded", "event=open_refused flow=100.64.0.7:4000-198.18.0.1:443 reason=overloaded detail=caller_share",
        "front-a answered with a reset: the service had too little capacity, and the caller's address had used up its "
        "share." },
    { "nothing", "event=flow_joined flow=100.64.0.7:4000-198.18.0.1:443 upstream=i-1",
        "These balancers forwarded its packets and saw no failure: check the upstream and the network path from the "
        "caller to it." },
};

}

BOOST_AUTO_TEST_SUITE(FlowTrace)

BOOST_DATA_TEST_CASE(OutcomeIsExplained, boost::unit_test::data::make(OutcomeCases), testCase)
{
    // Guards against a trace that prints the log lines of a failure without explaining what they mean.
    auto lines = parseLines(formatLine("01,000", "event=flow_opened flow=" + Flow + " upstream=i-1 reason=new_flow")
        + formatLine("02,000", testCase.lastLine));
    BOOST_TEST(Tool::traceFlow(lines, Flow).cause == testCase.cause);
}

BOOST_AUTO_TEST_CASE(LinesOfSeveralNodesAreSortedByTime)
{
    // Guards against including lines of unrelated flows and upstreams, and against missing a cause that only another
    // node logged.
    auto lines
        = parseLines(formatLine("05,000", "event=flow_given_up flow=" + Flow + " upstream=i-1 cause=silent_requests")
            + formatLine("04,900", "event=upstream_lost upstream=i-1 suspicion=silent_requests")
            + formatLine("04,800", "event=upstream_lost upstream=i-2 suspicion=silent_requests")
            + formatLine("04,700", "event=flow_opened flow=100.64.0.8:1-198.18.0.1:443 upstream=i-1"));
    auto other = parseLines("  12.5 front-b " + formatLine("01,000", "event=flow_opened flow=" + Flow + " upstream=i-1")
        + "not a log line of a balancer\n");
    lines.insert(lines.end(), other.begin(), other.end());
    auto trace = Tool::traceFlow(lines, "100.64.0.7:4000");
    BOOST_REQUIRE(trace.lines.size() == 3U);
    BOOST_TEST(trace.lines[0].node == "front-b");
    BOOST_TEST(trace.lines[1].field("event") == "upstream_lost");
    BOOST_TEST(trace.lines[2].node == "front-a");
}

BOOST_AUTO_TEST_CASE(RequestIdSelectsItsFlow)
{
    // Guards against losing the other lines of a flow when only one of them has the request ID.
    auto lines = parseLines(formatLine("01,000", "event=flow_opened flow=" + Flow + " request=unknown upstream=i-1")
        + formatLine("02,000", "event=request_cut flow=" + Flow + " request=ab12 upstream=i-1 cause=restarted"));
    BOOST_TEST(Tool::traceFlow(lines, "ab12").lines.size() == 2U);
    BOOST_TEST(Tool::traceFlow(lines, "ffff").lines.empty());
    BOOST_TEST(!Tool::traceFlow(lines, "ffff").cause.empty());
}

BOOST_AUTO_TEST_SUITE_END()
