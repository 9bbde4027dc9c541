#!/usr/bin/env python3
"""Recomputes the tables of docs/CAPACITY.md from the figures of the benchmarks.

usage: capacity.py FILE...   takes the figure lines of the files over into the page and rewrites its tables
       capacity.py --check   exits 1 when the tables don't follow from the figures on the page

The page holds the figures it uses between two markers and the tables between two others; the rest is left alone.
A figure that no file has is shown as "not yet measured", and so is everything that depends on it.
"""

import math
import pathlib
import re
import sys

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
MISSING = "not yet measured"

# The design size, from section 1.3 of design.md.
NODES = 2100
UPSTREAMS = 14_000
SERVICES = 1800
FLOWS = 49_000_000
OPENS = 250_000
ZONES = 9
REGIONS = 4
CHANGES_PER_DAY = 8700
FAILURES_PER_DAY = 71
RESTARTS_PER_DAY = 3000
BYTES_BUDGET = 5000
PROCESSOR_BUDGET = 1.1
MEMORY_BUDGET = 128e6
READS_BUDGET = 2000
DAY = 86_400

# Figures that the tables use: name, benchmark, and what it is. Other benchmarks' names are the inputs that this page
# asks them for.
INPUTS = {
    "slope_bytes_per_node": ("control", "control bytes/s of a node per further node"),
    "base_bytes_at_0_node": ("control", "control bytes/s of a node, constant part, with 8,700 changes a day"),
    "slope_messages_per_node": ("control", "messages/s of a node per further node"),
    "base_messages_at_0_node": ("control", "messages/s of a node, constant part"),
    "slope_processor_per_node": ("control", "processor time (% of a core) per further node"),
    "base_processor_at_0_node": ("control", "processor time (% of a core), constant part"),
    "slope_memory_per_node": ("control", "memory (B) of a node per further node"),
    "base_memory_at_0_node": ("control", "memory (B) of a node, constant part"),
    "slope_bytes_per_upstream": ("control", "control bytes/s of a node per upstream"),
    "slope_memory_per_upstream": ("control", "memory (B) of a node per upstream in the configuration"),
    "slope_bytes_per_change_a_day": ("control", "control bytes/s of a node per change a day"),
    "slope_processor_per_change_a_day": ("control", "processor time (% of a core) per change a day"),
    "control_bytes_per_node_at_the_site": ("control", "control bytes/s of a node, 5 nodes, 8,700 changes a day"),
    "configuration_bytes_per_upstream": ("control", "size of the configuration files per upstream"),
    "bytes_per_message_overhead": ("control", "bytes of a message without content, with IP and UDP headers"),
    "bytes_per_flow_record": ("control", "bytes of a copied flow record"),
    "bytes_per_bucket_notice_128_buckets": ("control", "bytes of the track notices of 128 buckets"),
    "bytes_per_placement_acknowledgement": ("control", "bytes of its acknowledgement"),
    "bytes_per_health_result": ("control", "bytes of one upstream's health result"),
    "bytes_per_upstream_count": ("control", "bytes of one upstream's open count"),
    "newcomer_bytes_300_nodes_38_upstreams": ("control", "bytes that a newcomer among 300 receives and sends"),
    "newcomer_bytes_100_nodes_38_upstreams": ("control", "the same among 100"),
    "newcomer_bytes_100_nodes_4000_upstreams": ("control", "the same among 100 with 4,000 upstreams"),
    "newcomer_has_configuration_100_nodes_4000_upstreams": ("control", "time (ms) until it has the configuration"),
    "detection_everywhere_5_nodes_0_percent_loss": ("control", "time (ms) until a crash is seen everywhere, 5 nodes"),
    "detection_everywhere_50_nodes_20_percent_loss": ("control", "the same, 50 nodes, 20% loss"),
    "in_force_everywhere_600_nodes": ("control", "time (ms) until a change is in force on 600 nodes"),
    "zone_loss_busiest_second_per_node_180_nodes": ("control", "bytes/s a node when a zone of 20 of 180 dies"),
    "merge_busiest_second_per_node_100_nodes": ("control", "bytes/s a node when two halves of 100 merge"),
    "platform_reads_during_outage_270_nodes": ("control", "reads/s, 18 readers, platform down"),
    "tree_model_all_acknowledged_slowest_2100_members_5_percent_loss": ("control", "model of a tree, slowest (ms)"),
    "tree_model_messages_per_member_2100_members_5_percent_loss": ("control", "model of a tree, messages a member"),
    "bytes_per_bucket": ("decision", "memory of one bucket state, without its list of preferences"),
    "tracked_share_of_opens": ("placement", "share of the opens that get a record at the backup: tracked buckets after a drain of 1 of 15"),
    "rebuild_microseconds_per_bucket": ("placement", "time to compute a table of 15 upstreams, per bucket of 2,048"),
    "held_flow_bytes": ("decision", "memory of one held flow"),
    "processor_per_open_microseconds": ("placement", "processor time of one open at its owner"),
    "load_bytes_per_upstream": ("load", "memory of one upstream's state"),
}

FIGURE = re.compile(r"^figure=(\S+) value=(\S+)")


class Figures:
    """Figures by name; a missing one makes every result that uses it missing."""

    def __init__(self, values):
        self.values = values

    def __getitem__(self, name):
        return self.values.get(name, math.nan)


# Figures that a benchmark prints in another unit or under another name: name, input, factor.
ALIASES = {
    "decision_bytes_per_flow_tracked": ("held_flow_bytes", 1),
    "placement_accra_5_engine_drain_tracked_buckets": ("tracked_share_of_opens", 0.01),
    "placement_accra_table_build": ("rebuild_microseconds_per_bucket", 1000 / 2048),
}


def read_figures(text):
    values = {}
    for line in text.splitlines():
        match = FIGURE.match(line.strip())
        if not match:
            continue
        name, factor = ALIASES.get(match.group(1), (match.group(1), 1))
        if name in INPUTS:
            values[name] = float(match.group(2)) * factor
    return values


def show(value, unit="", digits=3):
    if isinstance(value, float) and math.isnan(value):
        return MISSING
    if value == 0:
        text = "0"
    elif abs(value) >= 1000:
        text = f"{value:,.0f}"
    else:
        text = f"{value:.{digits}g}"
    return f"{text} {unit}".strip()


def verdict(value, budget):
    if math.isnan(value):
        return MISSING
    return "within" if value <= budget else f"{value / budget:.1f} times too much"


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def member_table(f):
    """What membership and distribution cost every node at the design size."""
    def line(quantity):
        base, slope = f[f"base_{quantity}_at_0_node"], f[f"slope_{quantity}_per_node"]
        # A falling line comes from the relays, whose share falls with the size of the zones. It has an end, so it is
        # not extended.
        return base + NODES * (slope if math.isnan(slope) else max(slope, 0.0))

    bytes_per_second = line("bytes")
    messages = line("messages")
    processor = line("processor")
    memory = line("memory") + UPSTREAMS * f["slope_memory_per_upstream"]
    rows = [
        ["bytes/s", f"{show(f['base_bytes_at_0_node'])} + {NODES} x {show(f['slope_bytes_per_node'])}",
         show(bytes_per_second, "B/s"), verdict(bytes_per_second, BYTES_BUDGET)],
        ["messages/s", f"{show(f['base_messages_at_0_node'])} + {NODES} x {show(f['slope_messages_per_node'])}",
         show(messages, "1/s"), "-"],
        ["processor time", f"{show(f['base_processor_at_0_node'])} + {NODES} x {show(f['slope_processor_per_node'])}",
         show(processor, "% of a core"), verdict(processor, PROCESSOR_BUDGET)],
        ["memory", f"{show(f['base_memory_at_0_node'])} + {NODES} x {show(f['slope_memory_per_node'])}"
         f" + {UPSTREAMS} x {show(f['slope_memory_per_upstream'])}",
         show(memory / 1e6, "MB"), verdict(memory, MEMORY_BUDGET)],
        ["bytes/s in the busiest second after the loss of a zone", "measured, 20 of 180 nodes",
         show(f["zone_loss_busiest_second_per_node_180_nodes"], "B/s"),
         verdict(f["zone_loss_busiest_second_per_node_180_nodes"], BYTES_BUDGET)],
        ["bytes/s in the busiest second after a partition", "measured, two halves of 100 nodes",
         show(f["merge_busiest_second_per_node_100_nodes"], "B/s"),
         verdict(f["merge_busiest_second_per_node_100_nodes"], BYTES_BUDGET)],
    ]
    return "### Every node: membership and distribution\n\nA negative slope is taken as 0.\n\n" + table(
        ["quantity", "arithmetic (constant + size x slope)", "design size", "budget"], rows)


def worker_table(f):
    """State and work of packet workers, owners and backups."""
    buckets_per_service = max(2048, 64 * UPSTREAMS / SERVICES)
    buckets = SERVICES * buckets_per_service
    flows = FLOWS / NODES
    opens = OPENS / NODES
    bucket_memory = buckets * f["bytes_per_bucket"]
    flow_memory = 2 * flows * f["held_flow_bytes"]
    record_bytes = opens * f["tracked_share_of_opens"] * f["bytes_per_flow_record"]
    record_bytes_all = opens * f["bytes_per_flow_record"]
    rebuild = CHANGES_PER_DAY / DAY * buckets_per_service * f["rebuild_microseconds_per_bucket"] / 1e6 * 100
    rows = [
        ["packet worker", "tables", f"{SERVICES} x {buckets_per_service:,.0f} buckets x {show(f['bytes_per_bucket'])} B",
         show(bucket_memory / 1e6, "MB")],
        ["packet worker", "table of a changed service",
         f"{CHANGES_PER_DAY} / {DAY} s x {buckets_per_service:,.0f} x {show(f['rebuild_microseconds_per_bucket'])} us",
         show(rebuild, "% of a core")],
        ["bucket owner", "flows", f"{FLOWS:,} / {NODES} = {show(flows)} flows", show(flows)],
        ["owner and backup", "memory of the flows", f"2 x {show(flows)} x {show(f['held_flow_bytes'])} B",
         show(flow_memory / 1e6, "MB")],
        ["bucket owner", "opens", f"{OPENS:,} / {NODES}", show(opens, "1/s")],
        ["bucket owner", "copies to the backup",
         f"{show(opens)} x {show(f['tracked_share_of_opens'])} x {show(f['bytes_per_flow_record'])} B",
         show(record_bytes, "B/s")],
        ["bucket owner", "the same when every open is tracked", f"{show(opens)} x {show(f['bytes_per_flow_record'])} B",
         show(record_bytes_all, "B/s")],
        ["bucket owner", "processor time of the opens",
         f"{show(opens)} x {show(f['processor_per_open_microseconds'])} us",
         show(opens * f["processor_per_open_microseconds"] / 1e4, "% of a core")],
    ]
    return "### Packet worker, bucket owner and backup\n\n" + table(["role", "what", "arithmetic", "design size"], rows)


def relay_table(f):
    per_zone = NODES / ZONES
    relays = ZONES * (ZONES - 1) * 2
    probe = 2 * 2 * (f["bytes_per_message_overhead"] + 40)
    rows = [
        ["relay roles of a zone", f"2 x {ZONES - 1} other zones among {show(per_zone)} members", show(2.0 * (ZONES - 1))],
        ["relay roles of the fleet", f"{ZONES} x {ZONES - 1} x 2", show(float(relays))],
        ["extra bytes of a relay", f"2 probes/s x 2 messages x ({show(f['bytes_per_message_overhead'])} + 40) B",
         show(probe, "B/s")],
    ]
    return "### Relay between zones\n\n" + table(["what", "arithmetic", "design size"], rows)


def platform_table(f):
    readers = 2 * ZONES
    watch_reads = readers / 3
    change_reads = readers * CHANGES_PER_DAY / DAY
    size = UPSTREAMS * f["configuration_bytes_per_upstream"]
    whole = size * CHANGES_PER_DAY / DAY
    region = size / REGIONS
    rows = [
        ["reader", "readers of the fleet", f"2 x {ZONES}", show(float(readers)), "-"],
        ["platform", "reads/s, waiting watches of 3 s", f"{readers} / 3 s", show(watch_reads, "1/s"),
         verdict(watch_reads, READS_BUDGET)],
        ["platform", "reads/s for changes", f"{readers} x {CHANGES_PER_DAY} / {DAY} s", show(change_reads, "1/s"),
         verdict(change_reads, READS_BUDGET)],
        ["platform", "reads/s while it is down (270 nodes, 18 readers)", "measured",
         show(f["platform_reads_during_outage_270_nodes"], "1/s"),
         verdict(f["platform_reads_during_outage_270_nodes"], READS_BUDGET)],
        ["platform", "size of the whole configuration",
         f"{UPSTREAMS} x {show(f['configuration_bytes_per_upstream'])} B", show(size / 1e6, "MB"), verdict(size, 1e6)],
        ["platform", "size for one region", f"{show(size / 1e6)} MB / {REGIONS}", show(region / 1e6, "MB"),
         verdict(region, 1e6)],
        ["reader", "bytes/s when each change reads the whole configuration",
         f"{show(size / 1e6)} MB x {CHANGES_PER_DAY} / {DAY} s", show(whole, "B/s"), verdict(whole, BYTES_BUDGET)],
        ["reader", "bytes/s when each change reads one file of 8 upstreams",
         f"8 x {show(f['configuration_bytes_per_upstream'])} B x {CHANGES_PER_DAY} / {DAY} s",
         show(8 * f["configuration_bytes_per_upstream"] * CHANGES_PER_DAY / DAY, "B/s"),
         verdict(8 * f["configuration_bytes_per_upstream"] * CHANGES_PER_DAY / DAY, BYTES_BUDGET)],
    ]
    return "### Platform reader and platform\n\n" + table(["role", "what", "arithmetic", "design size", "budget"], rows)


def newcomer_table(f):
    size = UPSTREAMS * f["configuration_bytes_per_upstream"]
    region = size / REGIONS
    per_member = (f["newcomer_bytes_300_nodes_38_upstreams"]
                  - f["newcomer_bytes_100_nodes_38_upstreams"]) / 200
    list_bytes = NODES * per_member
    restarts = RESTARTS_PER_DAY / DAY
    zone = NODES / ZONES
    rows = [
        ["copy of 4,000 upstreams, measured", "benchmark, 100 members",
         show(f["newcomer_has_configuration_100_nodes_4000_upstreams"] / 1000, "s") + ", "
         + show(f["newcomer_bytes_100_nodes_4000_upstreams"] / 1e3, "KB")],
        ["copy of one region", f"{show(region / 1e6)} MB / 100 KB/s", show(region / 100_000, "s")],
        ["the same inside 5 KB/s", f"{show(region / 1e6)} MB / 5 KB/s", show(region / BYTES_BUDGET, "s")],
        ["list of members", f"{NODES} x {show(per_member)} B", show(list_bytes / 1e3, "KB")],
        ["what the other nodes send for restarts",
         f"{RESTARTS_PER_DAY} / {DAY} s x ({show(region / 1e6)} MB + {show(list_bytes / 1e3)} KB) / {NODES}",
         show(restarts * (region + list_bytes) / NODES, "B/s")],
        ["a zone returns at once", f"{show(zone)} x {show(region / 1e6)} MB / ({NODES} x 50 KB/s)",
         show(zone * region / (NODES * 50_000), "s")],
    ]
    return "### Newcomer\n\n" + table(["what", "arithmetic", "design size"], rows)


def reach_table(f):
    """Where today's mechanism does not reach, and what would."""
    changes = CHANGES_PER_DAY / DAY
    notice = f["bytes_per_bucket_notice_128_buckets"]
    acknowledgement = f["bytes_per_placement_acknowledgement"]
    mesh = changes * NODES * (notice + acknowledgement)
    owner = changes * (NODES * notice) / NODES
    tree = changes * f["tree_model_messages_per_member_2100_members_5_percent_loss"] / 2 * (notice + acknowledgement)
    health = UPSTREAMS * f["bytes_per_health_result"]
    members_per_service = 4
    services = SERVICES * members_per_service / NODES
    upstreams = UPSTREAMS / SERVICES
    cell_health = services * (members_per_service - 1) * (
        f["bytes_per_message_overhead"] + upstreams * f["bytes_per_health_result"]) / 2
    counts_mesh = NODES * UPSTREAMS * f["bytes_per_upstream_count"]
    cell_counts = services * (members_per_service - 1) * (
        f["bytes_per_message_overhead"] + upstreams * f["bytes_per_upstream_count"]) / 2
    summary = ZONES * f["bytes_per_health_result"] * SERVICES / 30
    rows = [
        ["track notice from every node to every other",
         f"{show(changes)}/s x {NODES} x ({show(notice)} + {show(acknowledgement)}) B",
         show(mesh, "B/s"), verdict(mesh, BYTES_BUDGET)],
        ["track notice from one owner to all, acknowledged singly, mean over the nodes",
         f"{show(changes)}/s x {show(notice)} B; the owner itself sends {show(NODES * notice / 1e3)} KB at once",
         show(owner, "B/s"), verdict(NODES * notice, BYTES_BUDGET) + " in its busiest second"],
        ["track notice down a tree, acknowledgements aggregated (model, 5% loss)",
         f"{show(changes)}/s x {show(f['tree_model_messages_per_member_2100_members_5_percent_loss'])} / 2 x "
         f"({show(notice)} + {show(acknowledgement)}) B",
         show(tree, "B/s"), verdict(tree, BYTES_BUDGET)],
        ["every node hears every upstream's health once a second",
         f"{UPSTREAMS} x {show(f['bytes_per_health_result'])} B", show(health, "B/s"), verdict(health, BYTES_BUDGET)],
        ["health within the 4 members of a service, every 2 s",
         f"{show(services)} services x 3 x ({show(f['bytes_per_message_overhead'])} + {show(upstreams)} x "
         f"{show(f['bytes_per_health_result'])}) B / 2 s", show(cell_health, "B/s"), verdict(cell_health, BYTES_BUDGET)],
        ["every owner publishes its counts of every upstream to every node once a second",
         f"{NODES} x {UPSTREAMS} x {show(f['bytes_per_upstream_count'])} B", show(counts_mesh, "B/s"),
         verdict(counts_mesh, BYTES_BUDGET)],
        ["counts within the 4 members of a service, every 2 s",
         f"{show(services)} services x 3 x ({show(f['bytes_per_message_overhead'])} + {show(upstreams)} x "
         f"{show(f['bytes_per_upstream_count'])}) B / 2 s", show(cell_counts, "B/s"), verdict(cell_counts, BYTES_BUDGET)],
        ["one summary per service and zone to every node, every 30 s",
         f"{ZONES} x {SERVICES} x {show(f['bytes_per_health_result'])} B / 30 s", show(summary, "B/s"),
         verdict(summary, BYTES_BUDGET)],
    ]
    return "### Reach of the mechanisms\n\n" + table(["mechanism", "arithmetic", "per node", "budget"], rows)


def figures_block(values):
    lines = ["| figure | benchmark | value | meaning |", "| --- | --- | --- | --- |"]
    for name, (benchmark, meaning) in INPUTS.items():
        value = f"{values[name]:g}" if name in values else MISSING
        lines.append(f"| {name} | {benchmark} | {value} | {meaning} |")
    return "\n".join(lines)


def parse_figures_block(text):
    values = {}
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 4 and cells[0] in INPUTS and cells[2] != MISSING:
            values[cells[0]] = float(cells[2])
    return values


def between(page, name):
    begin, end = f"<!-- {name}:begin -->\n", f"\n<!-- {name}:end -->"
    if begin not in page or end not in page:
        sys.exit(f"{PAGE.name}: the markers of the part '{name}' are missing")
    start = page.index(begin) + len(begin)
    return start, page.index(end, start)


def replace(page, name, content):
    start, end = between(page, name)
    return page[:start] + content + page[end:]


def tables(values):
    f = Figures(values)
    parts = [member_table, worker_table, relay_table, platform_table, newcomer_table, reach_table]
    return "\n\n".join(part(f) for part in parts)


def main(arguments):
    if not arguments or arguments[0] in ("-h", "--help"):
        print(__doc__, file=sys.stderr)
        return 2
    page = PAGE.read_text()
    start, end = between(page, "figures")
    values = parse_figures_block(page[start:end])
    if arguments == ["--check"]:
        expected = replace(replace(page, "figures", figures_block(values)), "tables", tables(values))
        if expected == page:
            return 0
        print(f"{PAGE.name}: the tables don't follow from the figures; run Meta/capacity.py FILE", file=sys.stderr)
        return 1
    for name in arguments:
        try:
            read = read_figures(pathlib.Path(name).read_text())
        except OSError as error:
            sys.exit(f"{name}: {error.strerror}")
        if not read:
            sys.exit(f"{name}: has no figure that the page uses")
        values.update(read)
    # The tables are computed from the figures as the page shows them, so that --check gives the same result.
    values = parse_figures_block(figures_block(values))
    page = replace(replace(page, "figures", figures_block(values)), "tables", tables(values))
    PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
