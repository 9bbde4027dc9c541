#!/usr/bin/env python3
"""Runs the example deployments with stand-ins and checks what callers notice of each change.

Each scene starts callers, makes one change, and reads the callers' figures. A scene that is a planned change must break
no flow outside an availability zone that is taken out.
"""

import dataclasses
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request
from collections import Counter
from collections.abc import Callable
from typing import IO

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
# Log lines of the balancers and stand-ins. A zone that is taken out resets dozens of flows with a line each.
EVENT_LOG = ROOT / "build" / "example-run.log"

# A new flow may still go to an upstream that is leaving, or to a zone that is out, for this long after the change.
DRAIN_BOUND_SECONDS = 3.5
SETTLE_SECONDS = 2.0
START_SECONDS = 0.5
# How long the fabric goes on sending to a balancer that has died.
FABRIC_DETECTION_SECONDS = 1.0
STOP_TIMEOUT_SECONDS = 30
READY_TIMEOUT_SECONDS = 30
READY_POLL_SECONDS = 0.1

LONG_FLOWS = 120
LONG_INTERVAL_MS = 200
SHORT_FLOWS = 30
SHORT_INTERVAL_MS = 50
SHORT_REQUESTS = 3


@dataclasses.dataclass
class Site:
    """What a site's deployment needs beside its configuration folder."""

    name: str
    network: str
    balancer_zones: list[str]

    @property
    def folder(self) -> pathlib.Path:
        return ROOT / "examples" / self.name


SITES = [
    Site("accra", "127.10", ["accra-a", "accra-b", "accra-c", "accra-d"]),
    Site("central-guatemala", "127.20", ["guatemala-a", "guatemala-b", "guatemala-c", "guatemala-a"]),
]


def read_configuration(folder: pathlib.Path) -> dict:
    services: dict = {}
    for path in sorted(folder.glob("*.toml")):
        services.update(tomllib.loads(path.read_text()).get("service", {}))
    return services


@dataclasses.dataclass
class Figures:
    """The sum of what several callers report."""

    counts: Counter = dataclasses.field(default_factory=Counter)
    opened_on: Counter = dataclasses.field(default_factory=Counter)
    broken_on: Counter = dataclasses.field(default_factory=Counter)
    p50_ms: float = 0
    p99_ms: float = 0
    open_p99_ms: float = 0

    def add_line(self, line: str) -> None:
        values = dict(part.split("=", 1) for part in line.split())
        for key in ("flows", "answered", "broken", "refused", "failed_opens", "doubled", "wrong_service"):
            self.counts[key] += int(values[key])
        for key in ("opened_on", "broken_on"):
            for part in filter(None, values[key].split(",")):
                upstream, count = part.rsplit(":", 1)
                getattr(self, key)[upstream] += int(count)
        # Of several callers the slowest counts.
        self.p50_ms = max(self.p50_ms, float(values["p50_ms"]))
        self.p99_ms = max(self.p99_ms, float(values["p99_ms"]))
        self.open_p99_ms = max(self.open_p99_ms, float(values["open_p99_ms"]))


class Deployment:
    """All processes of one site."""

    def __init__(self, site: Site, scratch: pathlib.Path, event_log: IO[bytes]) -> None:
        self.site = site
        self.event_log = event_log
        self.scratch = scratch
        self.services = read_configuration(site.folder)
        self.zone_of = {
            name: upstream["zone"]
            for service in self.services.values()
            for name, upstream in service["upstream"].items()
        }
        self.configuration = scratch / "configuration"
        shutil.copytree(site.folder, self.configuration)
        self.fabric_file = scratch / "balancers"
        self.run_logs = scratch / "run-logs"
        self.run_logs.mkdir()
        self.environment = os.environ | {"CHICORYTALLY_PEER_KEY": "c1" * 32}
        self.processes: list[subprocess.Popen] = []
        self.balancers: dict[int, subprocess.Popen] = {}
        self.fabric: subprocess.Popen | None = None
        self.caller_count = 0

    def spawn(self, program: str, *arguments: str, **options: object) -> subprocess.Popen:
        options = {"stdout": self.event_log, "stderr": self.event_log} | options
        process = subprocess.Popen([BIN / program, *arguments], env=self.environment, **options)
        self.processes.append(process)
        return process

    def start(self) -> None:
        for service in self.services.values():
            for name, upstream in service["upstream"].items():
                self.start_upstream(name, upstream)
        self.check_running()
        for index in range(1, len(self.site.balancer_zones) + 1):
            self.start_balancer(index)
        for index in self.balancers:
            self.wait_until_ready(index)
        self.write_fabric_file()
        self.fabric = self.spawn(
            "standin-fabric", f"--listen={self.fabric_address()}", f"--balancers_file={self.fabric_file}"
        )
        time.sleep(SETTLE_SECONDS)

    def check_running(self) -> None:
        """Stops a run that would mix with another one on the same addresses."""
        time.sleep(START_SECONDS)
        if any(process.poll() is not None for process in self.processes):
            raise RuntimeError("a stand-in has ended at its start; is another example run using its addresses?")

    def start_upstream(self, name: str, upstream: dict) -> None:
        health = upstream["health"].removeprefix("http://").split("/")[0]
        self.spawn(
            "standin-upstream",
            f"--listen={upstream['address']}:{upstream['port']}",
            f"--name={name}",
            f"--slots={upstream['slots']}",
            f"--health_address={health}",
            f"--run_log={self.run_logs / name}",
        )

    def start_balancer(self, index: int) -> None:
        self.balancers[index] = self.spawn(
            "chicorytallyd",
            f"--vm_name={self.site.name}-{index}",
            f"--zone={self.site.balancer_zones[index - 1]}",
            f"--data_address={self.data_address(index)}",
            f"--peers={','.join(self.peer_address(other) for other in range(1, len(self.site.balancer_zones) + 1))}",
            f"--admin_address={self.admin_address(index)}",
            f"--config_dir={self.configuration}",
            "--log_level=warn",
        )

    def wait_until_ready(self, index: int) -> None:
        """The fabric may send to a balancer that answers its readiness probe."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            try:
                with urllib.request.urlopen(f"http://{self.admin_address(index)}/readyz", timeout=1):
                    return
            except OSError:
                time.sleep(READY_POLL_SECONDS)
        raise RuntimeError(f"balancer {index} is not ready after {READY_TIMEOUT_SECONDS} s")

    def peer_address(self, index: int) -> str:
        return f"{self.site.network}.0.{index}:6081"

    def admin_address(self, index: int) -> str:
        return f"{self.site.network}.0.{index}:9090"

    def data_address(self, index: int) -> str:
        return f"{self.site.network}.0.{index}:6080"

    def fabric_address(self) -> str:
        return f"{self.site.network}.8.1:6080"

    def write_fabric_file(self) -> None:
        """The fabric sends to the balancers that are listed here."""
        text = "".join(f"{self.data_address(index)}\n" for index in sorted(self.balancers))
        partial = self.fabric_file.with_suffix(".new")
        partial.write_text(text)
        partial.rename(self.fabric_file)
        if self.fabric:
            self.fabric.send_signal(signal.SIGHUP)

    def add_configuration(self, name: str, text: str) -> None:
        # Renamed into place, so that no balancer reads half a file.
        partial = self.scratch / name
        partial.write_text(text)
        partial.rename(self.configuration / name)
        self.reload()

    def remove_configuration(self, name: str) -> None:
        (self.configuration / name).unlink()
        self.reload()

    def reload(self) -> None:
        for balancer in self.balancers.values():
            balancer.send_signal(signal.SIGHUP)

    def start_callers(self) -> list[subprocess.Popen]:
        """One caller with long flows and one with short flows for each service."""
        callers = []
        for name, service in self.services.items():
            callers.append(self.start_caller(name, service, LONG_FLOWS, LONG_INTERVAL_MS, 0))
            callers.append(self.start_caller(name, service, SHORT_FLOWS, SHORT_INTERVAL_MS, SHORT_REQUESTS))
        return callers

    def start_caller(self, name: str, service: dict, flows: int, interval_ms: int, requests: int) -> subprocess.Popen:
        self.caller_count += 1
        return self.spawn(
            "standin-caller",
            f"--listen={self.site.network}.9.{self.caller_count}:6080",
            f"--fabric={self.fabric_address()}",
            f"--service={service['address']}:{service['port']}",
            f"--upstream_prefix={name}-",
            f"--flows={flows}",
            f"--interval_ms={interval_ms}",
            f"--requests={requests}",
            "--renew",
            stdout=subprocess.PIPE,
            text=True,
        )

    def stop_callers(self, callers: list[subprocess.Popen]) -> Figures:
        for caller in callers:
            caller.terminate()
        figures = Figures()
        for caller in callers:
            figures.add_line(caller.communicate(timeout=STOP_TIMEOUT_SECONDS)[0].strip())
            self.processes.remove(caller)
        return figures

    def doubled_runs(self) -> int:
        """Requests that more than one upstream ran, or one upstream ran twice."""
        runs = Counter(line for path in self.run_logs.iterdir() for line in path.read_text().splitlines())
        return sum(count - 1 for count in runs.values())

    def stop(self) -> None:
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            try:
                process.wait(timeout=STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()


@dataclasses.dataclass
class Row:
    """One line of the table."""

    site: str
    scene: str
    figures: Figures
    balance: float
    faults: list[str]
    remark: str = ""


class Play:
    """Runs the scenes of one site."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.rows: list[Row] = []

    def balance(self, figures: Figures, unused: set[str]) -> float:
        """Greatest share of new flows of an upstream over the mean, for the service where it is worst."""
        worst = 0.0
        for service in self.deployment.services.values():
            opened = [figures.opened_on[name] for name in service["upstream"] if name not in unused]
            if sum(opened):
                worst = max(worst, max(opened) * len(opened) / sum(opened))
        return worst

    def scene(self, name: str, change: Callable[[], None], *, is_planned: bool, zone_out: str = "") -> None:
        print(f"site={self.deployment.site.name} scene={name.replace(' ', '_')}", flush=True)
        callers = self.deployment.start_callers()
        time.sleep(SETTLE_SECONDS)
        change()
        time.sleep(DRAIN_BOUND_SECONDS)
        self.record(name, self.deployment.stop_callers(callers), is_planned=is_planned, zone_out=zone_out)

    def check_unused(self, name: str, unused: set[str]) -> None:
        """After the drain bound, new flows must avoid the upstreams."""
        callers = self.deployment.start_callers()
        time.sleep(SETTLE_SECONDS)
        row = self.record(name, self.deployment.stop_callers(callers), is_planned=True, unused=unused)
        used = sum(row.figures.opened_on[upstream] for upstream in unused)
        if used:
            row.faults.append(f"{used} new flows on upstreams that get none")

    def record(
        self,
        name: str,
        figures: Figures,
        *,
        is_planned: bool,
        zone_out: str = "",
        unused: frozenset[str] | set[str] = frozenset(),
    ) -> Row:
        faults = []
        outside = sum(
            count
            for upstream, count in figures.broken_on.items()
            if not zone_out or self.deployment.zone_of.get(upstream) != zone_out
        )
        if is_planned and outside:
            faults.append(f"{outside} broken flows in a planned change")
        for key in ("wrong_service", "doubled"):
            if figures.counts[key]:
                faults.append(f"{key}={figures.counts[key]}")
        if figures.counts["answered"] == 0:
            faults.append("nothing was answered")
        row = Row(self.deployment.site.name, name, figures, self.balance(figures, set(unused)), faults)
        inside = sum(figures.broken_on.values()) - outside
        if zone_out and inside:
            row.remark = f"ok: {inside} resets in the zone taken out, as docs/promises.md allows"
        self.rows.append(row)
        return row

    def kill_balancer(self) -> None:
        index = 1
        balancer = self.deployment.balancers.pop(index)
        balancer.kill()
        balancer.wait()
        self.deployment.processes.remove(balancer)
        time.sleep(FABRIC_DETECTION_SECONDS)
        self.deployment.write_fabric_file()

    def restart_balancer(self, index: int) -> None:
        self.deployment.start_balancer(index)
        self.deployment.wait_until_ready(index)
        self.deployment.write_fabric_file()

    def stop_balancer(self) -> None:
        balancer = self.deployment.balancers.pop(2)
        balancer.terminate()
        time.sleep(FABRIC_DETECTION_SECONDS)
        self.deployment.write_fabric_file()
        balancer.wait(timeout=STOP_TIMEOUT_SECONDS)
        self.deployment.processes.remove(balancer)
        if balancer.returncode:
            raise RuntimeError(f"balancer stopped with status {balancer.returncode}")

    def run(self) -> None:
        deployment = self.deployment
        service = next(iter(deployment.services))
        drained = f"{service}-3"
        zone = deployment.site.balancer_zones[1]
        in_zone = {upstream for upstream, other in deployment.zone_of.items() if other == zone}

        self.scene("steady", lambda: None, is_planned=True)
        self.scene("balancer killed", self.kill_balancer, is_planned=False)
        self.scene("balancer joins", lambda: self.restart_balancer(1), is_planned=True)
        self.scene("balancer stopped", self.stop_balancer, is_planned=True)
        self.restart_balancer(2)

        drain = f'[service.{service}.upstream.{drained}]\nstate = "draining"\n'
        self.scene("upstream drains", lambda: deployment.add_configuration("80-drain.toml", drain), is_planned=True)
        self.check_unused("upstream drained", {drained})
        self.scene("upstream returns", lambda: deployment.remove_configuration("80-drain.toml"), is_planned=True)

        out = f'[zone.{zone}]\nstate = "out"\n'
        take_out = lambda: deployment.add_configuration("90-zone.toml", out)  # noqa: E731
        self.scene("zone taken out", take_out, is_planned=True, zone_out=zone)
        self.check_unused("zone is out", in_zone)
        self.scene("zone returns", lambda: deployment.remove_configuration("90-zone.toml"), is_planned=True)


def print_table(rows: list[Row]) -> None:
    head = ("site", "scene", "flows", "answers", "broken", "refused", "unopened", "max/mean", "p50 ms", "p99 ms", "open p99", "")
    lines = [head]
    for row in rows:
        counts = row.figures.counts
        lines.append(
            (
                row.site,
                row.scene,
                str(counts["flows"]),
                str(counts["answered"]),
                str(counts["broken"]),
                str(counts["refused"]),
                str(counts["failed_opens"]),
                f"{row.balance:.2f}",
                f"{row.figures.p50_ms:.1f}",
                f"{row.figures.p99_ms:.1f}",
                f"{row.figures.open_p99_ms:.1f}",
                "; ".join(row.faults) or row.remark or "ok",
            )
        )
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    for line in lines:
        cells = [cell.ljust(width) if i < 2 else cell.rjust(width) for i, (cell, width) in enumerate(zip(line, widths))]
        print("  ".join(cells[:-1]), line[-1], sep="  ")


def run_site(site: Site, event_log: IO[bytes]) -> tuple[list[Row], int]:
    with tempfile.TemporaryDirectory(prefix="chicorytally-") as scratch:
        deployment = Deployment(site, pathlib.Path(scratch), event_log)
        play = Play(deployment)
        try:
            deployment.start()
            play.run()
        finally:
            deployment.stop()
        return play.rows, deployment.doubled_runs()


def main() -> int:
    names = sys.argv[1:] or [site.name for site in SITES]
    unknown = set(names) - {site.name for site in SITES}
    if unknown:
        print(f"unknown site {', '.join(sorted(unknown))}; known: {', '.join(site.name for site in SITES)}")
        return 2
    rows: list[Row] = []
    doubled = 0
    print(f"events are logged to {EVENT_LOG.relative_to(ROOT)}", flush=True)
    with EVENT_LOG.open("wb") as event_log:
        for site in SITES:
            if site.name in names:
                site_rows, site_doubled = run_site(site, event_log)
                rows += site_rows
                doubled += site_doubled
    print_table(rows)
    print(f"doubled requests: {doubled}")
    return 1 if doubled or any(row.faults for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
