#include "Tree.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>
#include <vector>

namespace Chicorytally::Benchmarks {

static constexpr std::size_t Members = 2100;
static constexpr std::size_t Fanout = 8;
static constexpr double RepeatMilliseconds = 200;
/// One-way delay of a hop, with the wait for the next run of a control thread. Regions are assumed 50 ms apart, and
/// each hop is taken to cross regions, which is the worst case.
static constexpr double HopMilliseconds = 60;

class Tree {
public:
    Tree(std::mt19937_64& random, double loss)
        : m_random(random)
        , m_loss(loss)
    {
    }

    /// Time from the arrival of the notice at the member until all of its subtree has acknowledged to it.
    double complete(std::size_t member)
    {
        double slowest = 0;
        for (std::size_t child = member * Fanout + 1; child <= member * Fanout + Fanout && child < Members; ++child) {
            auto down = pass();
            auto up = pass();
            slowest = std::max(slowest, down + complete(child) + up);
        }
        return slowest;
    }

    double messages() const { return m_messages; }

private:
    /// One hop with repetition; the receiver of a repeated notice repeats its acknowledgement, so both directions cost
    /// the same.
    double pass()
    {
        double time = HopMilliseconds;
        ++m_messages;
        while (m_uniform(m_random) < m_loss) {
            time += RepeatMilliseconds;
            ++m_messages;
        }
        return time;
    }

    std::mt19937_64& m_random;
    double m_loss;
    double m_messages { 0 };
    std::uniform_real_distribution<> m_uniform { 0, 1 };
};

void measureTree(FigureReport& report, std::uint64_t seed)
{
    std::mt19937_64 random { seed };
    for (double loss : { 0.0, 0.05, 0.2 }) {
        constexpr int Rounds = 200;
        std::vector<double> times;
        double messages = 0;
        for (int round = 0; round < Rounds; ++round) {
            Tree tree { random, loss };
            times.push_back(tree.complete(0));
            messages += tree.messages();
        }
        std::sort(times.begin(), times.end());
        auto suffix = absl::StrCat("_2100_members_", loss * 100, "_percent_loss");
        report.add("tree_model_all_acknowledged_median" + suffix, times[Rounds / 2], "ms");
        report.add("tree_model_all_acknowledged_slowest" + suffix, times.back(), "ms");
        report.add("tree_model_messages_per_member" + suffix, messages / Rounds / Members, "1");
    }
}

}
