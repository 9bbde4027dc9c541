#!/usr/bin/env python3
"""Writes variants of a site file for manual fault searches. Each variant changes the fleet or its environment.

usage: site_variants.py SITE FOLDER
"""

import copy
import json
import pathlib
import shutil
import sys
import tomllib

# Fault kinds that require the contract "health".
HEALTH_FAULT_KINDS = {"srv_grey", "srv_lying_health", "srv_flap", "cold_return"}

# Faults that the list of a site may not contain.
EXTRA_FAULTS = [
    {"kind": "srv_crash", "share": 0.15, "for_s": 4.0},
    {"kind": "srv_crash", "share": 0.15, "for_s": 4.0, "how": "dark"},
    {"kind": "srv_slow", "share": 0.2, "x": 5.0, "for_s": 5.0},
    {"kind": "srv_grey", "share": 0.15, "x": 0.5, "for_s": 5.0, "how": "errors"},
    {"kind": "srv_flap", "share": 0.15, "gap_s": 1.2, "for_s": 6.0},
    {"kind": "srv_lying_health", "share": 0.2, "for_s": 6.0, "how": "bad"},
    {"kind": "cold_return", "for_s": 4.0},
    {"kind": "node_slow", "share": 0.3, "x": 5.0, "for_s": 5.0},
    {"kind": "node_freeze", "share": 0.4, "for_s": 3.0},
    {"kind": "burst", "x": 1.7, "for_s": 3.0},
    {"kind": "reset_conns", "share": 0.6, "x": 0.7},
    {"kind": "hup", "share": 0.6, "gap_s": 1.0},
    {"kind": "zone_loss", "for_s": 4.0},
    {"kind": "after_ack_kill", "for_s": 3.0},
    {"kind": "lossy", "share": 0.4, "x": 0.05, "for_s": 5.0},
    {"kind": "core_cut", "count": 2, "for_s": 5.0, "how": "near"},
    {"kind": "herd_kill", "on": "core", "for_s": 1.0, "how": "off"},
    {"kind": "release", "share": 1.0, "x": 4.0, "gap_s": 0.5},
]


def format_value(value):
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{json.dumps(key)} = {format_value(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(format_value(item) for item in value) + "]"
    return json.dumps(value)


def write_site(path, site):
    path.write_text("".join(f"{json.dumps(key)} = {format_value(value)}\n" for key, value in site.items()))


def hash_modulo(site):
    site["entry"]["hash"] = "mod"


def cold_upstreams(site):
    for service in site["services"]:
        service.update(slots=2, cold_s=6.0, cold_x=4.0)


def every_kind(site):
    if "health" not in site["contracts"]:
        site["contracts"].append("health")
    site["troubles"] += EXTRA_FAULTS


def one_node_a_zone(site):
    site["machines"] = [{**machine, "count": 1} for machine in site["machines"]]


def many_routes(site):
    site["config"]["idle_routes"] = 2500


def without_start_times(site):
    site["timing"].pop("born", None)


def slow_discovery(site):
    site["discovery"].update(beat_ms=2500, lag_ms=1500)


def long_zone_delays(site):
    site["net"].update(cross_zone_ms=9.0, client_ms=15.0)


VARIANTS = [hash_modulo, cold_upstreams, every_kind, one_node_a_zone, many_routes, without_start_times, slow_discovery,
            long_zone_delays]


def main():
    source, folder = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(source.parent / "wire.json", folder)
    base = tomllib.loads(source.read_text())
    for apply_variant in VARIANTS:
        site = copy.deepcopy(base)
        apply_variant(site)
        if apply_variant is not every_kind:
            site["troubles"] += [fault for fault in EXTRA_FAULTS if fault["kind"] not in HEALTH_FAULT_KINDS]
        name = apply_variant.__name__.replace("_", "-")
        site["name"] = f"{base['name']}-{name}"
        write_site(folder / f"{site['name']}.toml", site)


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    main()
