#include "AdmissionSite.h"

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using Tests::AdmissionSite;
using Tests::Kind;
using Tests::LoadPattern;
using Tests::SiteOutcome;

BOOST_AUTO_TEST_SUITE(AdmissionPatterns)

static double step(double time, double from, double to, double before, double during)
{
    return time >= from && time < to ? during : before;
}

// Loads are parts of all slots. Each pattern starts with 2 s of light load, in which routes are learnt.
static std::vector<LoadPattern> patterns()
{
    return {
        { .name = "step to 200%",
            .load
            = [](Kind kind,
                  double t) { return kind == Kind::Submission ? step(t, 2, 20, .15, .5) : step(t, 2, 20, .35, 1.5); } },
        { .name = "step, late rejections",
            .load
            = [](Kind kind,
                  double t) { return kind == Kind::Submission ? step(t, 2, 20, .15, .5) : step(t, 2, 20, .35, 1.5); },
            .rejectionDelay = .08 },
        { .name = "surge of streams",
            .load = [](Kind kind, double t) { return kind == Kind::Submission ? .2 : step(t, 2, 9, .3, 2.0); } },
        { .name = "surge of submissions",
            .load = [](Kind kind, double t) { return kind == Kind::Submission ? step(t, 2, 9, .1, .8) : .6; } },
        { .name = "half of the upstreams slow",
            .load = [](Kind kind, double) { return kind == Kind::Submission ? .3 : .6; },
            .speed = [](double u, double t) { return u < .5 ? step(t, 2, 9, 1, .25) : 1; } },
        { .name = "flapping capacity",
            .load = [](Kind kind, double) { return kind == Kind::Submission ? .3 : .7; },
            .speed = [](double, double t) { return t > 2 && std::fmod(t, 4) < 2 ? .5 : 1.0; },
            .duration = 14 },
        { .name = "greedy caller",
            .load = [](Kind kind, double t) { return kind == Kind::Submission ? .3 : step(t, 2, 20, .3, 1.2); },
            .greedyShare = .5 },
        { .name = "retry storm",
            .load = [](Kind kind, double t) { return kind == Kind::Submission ? .3 : step(t, 2, 3.5, .4, 3); } },
        { .name = "cold start at a peak",
            .load = [](Kind kind, double) { return kind == Kind::Submission ? .5 : 1.5; } },
    };
}

static void report(LoadPattern const& pattern, SiteOutcome const& o)
{
    auto const& u = o.of(Kind::Submission);
    auto const& s = o.of(Kind::Stream);
    BOOST_TEST_MESSAGE(pattern.name << (pattern.hasAdmission ? "" : " (no admission)") << ": urgent " << u.onTimeShare()
                                    << " stream " << s.onTimeShare() << " value/oracle " << o.value() / o.oracleValue
                                    << " arrivals/served " << o.arrivals / (o.arrivals - o.rejected)
                                    << " refused/opens " << o.refusals / o.opens << " urgent refusals "
                                    << u.refusals / u.asked << " evictions " << o.evictions);
}

BOOST_AUTO_TEST_CASE(Patterns)
{
    for (auto pattern : patterns()) {
        for (bool hasAdmission : { false, true }) {
            pattern.hasAdmission = hasAdmission;
            AdmissionSite site { pattern };
            std::vector<double> limits;
            site.onTick = [&](double t) {
                if (std::fmod(t + .001, .5) < .05)
                    limits.push_back(site.controller(3).capacityOf(Directory::serviceId("form")).value_or(0));
            };
            auto outcome = site.run();
            report(pattern, outcome);
            std::string line = "  served";
            for (auto x : outcome.servedPerSecond)
                line += " " + std::to_string(int(x));
            line += "\n  refused";
            for (auto x : outcome.refusalsPerSecond)
                line += " " + std::to_string(int(x));
            line += "\n  limit";
            for (auto x : limits)
                line += " " + std::to_string(int(x));
            BOOST_TEST_MESSAGE(line);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
