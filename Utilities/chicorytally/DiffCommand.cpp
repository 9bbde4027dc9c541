#include <chicorytally/ConfigurationFolder.h>
#include <chicorytally/TextTable.h>

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
    for (auto const& moved : difference.movedShares)
        out << "service " << moved.service << ": " << moved.share * 100 << "% of its flows are placed elsewhere\n";
}

static int runDiff(Invocation const& invocation)
{
    auto before = readOrPrintFaults(invocation, invocation.operands[0]);
    auto after = before ? readOrPrintFaults(invocation, invocation.operands[1]) : std::nullopt;
    if (!after)
        return ExitFaults;
    // FIXME: Pass a movedShare hook once LibPlacement builds the table of a revision.
    auto difference = Config::findDifference(*before, *after);
    if (invocation.isJson)
        printJson(invocation.out, toJson(difference));
    else
        print(invocation.out, difference);
    return ExitGood;
}

Command diffCommand()
{
    return { "diff", { "OLD", "NEW" }, "Print what differs between two configuration folders.",
        "Services, upstreams and zones are matched by their names. Both folders must be free of faults. The exit code\n"
        "is 0 with and without differences.",
        runDiff };
}

}
