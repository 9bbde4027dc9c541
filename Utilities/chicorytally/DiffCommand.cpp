#include <LibPlacement/TargetTable.h>
#include <chicorytally/ConfigurationFolder.h>
#include <chicorytally/TextTable.h>

#include <algorithm>
#include <cmath>

namespace Chicorytally::Tool {

static Json toJson(Config::Difference const& difference)
{
    auto changes = Json::array();
    for (auto const& change : difference.changes) {
        auto keys = Json::array();
        for (auto const& key : change.keys)
            keys.push_back({ { "key", key.key }, { "before", key.before }, { "after", key.after } });
        changes.push_back({ { "kind", std::string { toString(change.kind) } },
            { "subject", std::string { toString(change.subject) } }, { "name", change.name }, { "keys", keys } });
    }
    auto shares = Json::array();
    for (auto const& moved : difference.movedShares)
        shares.push_back({ { "service", moved.service }, { "share", moved.share } });
    return { { "changes", changes }, { "moved_shares", shares } };
}

static void print(std::ostream& out, Config::Difference const& difference)
{
    if (difference.changes.empty())
        out << "no differences\n";
    TextTable table { { "CHANGE", "SUBJECT", "NAME", "KEY", "BEFORE", "AFTER" } };
    for (auto const& change : difference.changes) {
        std::string kind { toString(change.kind) };
        std::string subject { toString(change.subject) };
        if (change.keys.empty())
            table.add({ kind, subject, change.name, "", "", "" });
        for (auto const& key : change.keys)
            table.add({ kind, subject, change.name, key.key, key.before, key.after });
    }
    if (!table.isEmpty())
        table.print(out);
    for (auto const& moved : difference.movedShares) {
        if (moved.share == 0)
            continue;
        out << "service " << moved.service << ": " << std::lround(moved.share * 1000) / 10.0
            << "% of its new flows are placed elsewhere\n";
    }
}

// The share of buckets whose new flows go to a different upstream. Established flows keep their upstream.
static double movedShare(
    Model::Configuration const& before, Model::Configuration const& after, Model::Service const& service)
{
    auto hasName = [&](Model::Service const& other) { return other.name == service.name; };
    auto previous = std::ranges::find_if(before.services, hasName);
    if (previous == before.services.end())
        return 1;
    Placement::TargetTable oldTable { before, *previous };
    Placement::TargetTable newTable { after, service };
    // Bucket counts are powers of two, so the larger one is a multiple of the other.
    auto count = std::max(oldTable.bucketCount(), newTable.bucketCount());
    std::size_t moved = 0;
    for (std::size_t bucket = 0; bucket < count; ++bucket) {
        auto const* oldTarget = oldTable.target(bucket % oldTable.bucketCount());
        auto const* newTarget = newTable.target(bucket % newTable.bucketCount());
        auto idOf = [](Model::Upstream const* upstream) { return upstream ? upstream->id : Core::UpstreamId {}; };
        moved += idOf(oldTarget) != idOf(newTarget);
    }
    return static_cast<double>(moved) / static_cast<double>(count);
}

static int runDiff(Invocation const& invocation)
{
    auto before = readConfigurationFolder(invocation, invocation.operands[0]);
    auto after = before ? readConfigurationFolder(invocation, invocation.operands[1]) : std::nullopt;
    if (!after)
        return ExitFailure;
    auto difference = Config::findDifference(*before, *after, { .movedShare = movedShare });
    if (invocation.isJson)
        printJson(invocation.out, toJson(difference));
    else
        print(invocation.out, difference);
    return ExitSuccess;
}

Command diffCommand()
{
    return { "diff", { "OLD", "NEW" }, "Print what differs between two configuration folders.",
        "Services, upstreams and zones are matched by name. Both folders must be free of faults. The exit code is 0\n"
        "with and without differences.",
        runDiff };
}

}
