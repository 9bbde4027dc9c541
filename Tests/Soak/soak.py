#!/usr/bin/env python3
"""Runs real balancer processes between stand-ins on loopback, injects faults by seed and checks what callers and upstreams see.

    Tests/Soak/soak.py [--seed N] [--seeds COUNT] [--seconds S] [--program FILE]

Exits with 1 when a promise was broken; the seed and the logs of the balancers are then named. Only processes that this
script started are signalled.
"""

import argparse
import asyncio
import hashlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

from packets import Packet
from standins import PACKET_PORT, Caller, Proxy, Store, Upstream

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("a", "b", "c")
SERVICES = {"register": ("198.18.0.1", 443), "packs": ("198.18.0.2", 443)}
READY_PORT, PEER_PORT, STORE_PORT, UPSTREAM_PORT = 18167, 17720, 18169, 8080
# The platform's bounds, with room for a busy machine.
DRAIN_SECONDS, EVACUATE_SECONDS, CONTACT_SECONDS = 4.0, 6.0, 5.0
RECOVERY_SECONDS = 8.0
SERVED_AFTER_RECOVERY = 0.9


class Balancer:
    """A balancer process on an address of its own. It is started again after it has ended, as the platform does."""

    def __init__(self, world, number: int) -> None:
        self.world, self.zone = world, ZONES[number % len(ZONES)]
        self.host = f"127.{world.network}.0.{number + 1}"
        self.proxy = Proxy(world.store)
        self.process: subprocess.Popen | None = None
        self.is_ready = False
        self.misses = 0
        self.is_expected_to_end = False
        self.disturbed_until = 0.0

    def settings(self) -> dict:
        return {"node": f"n-{self.host}", "zone": self.zone, "heartbeat_ms": 600, "bounds": {"grace_s": 4},
                "listen": {"packet_addr": f"{self.host}:{PACKET_PORT}", "ready": f"{self.host}:{READY_PORT}"},
                "internal_ports": [PEER_PORT, PEER_PORT + 9], "limits": {"memory_mb": 260},
                "seeds": [f"127.{self.world.network}.0.{n}:1" for n in (1, 2, 3)], "platform": {"addr": f"{self.host}:{STORE_PORT}"}}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.proxy.serve, self.host, STORE_PORT)
        self.path = self.world.folder / f"{self.host}.json"
        self.path.write_text(json.dumps(self.settings()))
        self.spawn()

    def spawn(self) -> None:
        environment = {"PATH": os.environ["PATH"], "CHICORYTALLY_NODE_FILE": str(self.path),
                       "CHICORYTALLY_PEER_KEY": "ab" * 32}
        with open(self.world.folder / f"{self.host}.log", "ab") as log:
            self.process = subprocess.Popen([self.world.program], env=environment, stdout=log, stderr=log)
        self.is_expected_to_end = False

    def signal(self, number: int) -> None:
        if self.process.poll() is None:
            self.is_expected_to_end |= number in (signal.SIGTERM, signal.SIGKILL)
            self.process.send_signal(number)

    async def watch(self) -> None:
        """Asks for readiness as the platform does, and starts the process again."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.5)
            if self.process.poll() is not None:
                if not self.is_expected_to_end:
                    self.world.fail("FAULT", f"{self.host} ended by itself with {self.process.returncode}")
                self.spawn()
            is_ready = await loop.run_in_executor(None, self.ask)
            self.misses = 0 if is_ready else self.misses + 1
            self.is_ready = is_ready or (self.is_ready and self.misses < 2)

    def ask(self) -> bool:
        try:
            with urllib.request.urlopen(f"http://{self.host}:{READY_PORT}/api/ready", timeout=0.4) as answer:
                return answer.status == 200
        except OSError:
            return False


class World:
    def __init__(self, seed: int, program: str, folder: pathlib.Path) -> None:
        self.random, self.seed = random.Random(seed), seed
        self.program, self.folder = program, folder
        # Seeds that are played at the same time don't share addresses.
        self.network = 10 + seed % 80 * 3
        self.store = Store()
        self.failures: list[str] = []
        self.runs: dict[str, int] = {}
        self.results: list[tuple[float, bool]] = []
        self.upstreams: list[Upstream] = []
        self.callers: list[Caller] = []
        self.balancers: list[Balancer] = []
        self.zone_out: dict[str, float] = {}
        self.version = 0
        self.identity = 0x100000 + seed

    def fail(self, rule: str, text: str) -> None:
        line = f"{time.monotonic() - self.started:.3f} {rule}: {text}"
        self.failures.append(line)
        print(f"seed={self.seed} {line}", flush=True)

    def disturb(self, seconds: float, nodes: list[Balancer]) -> None:
        """What the balancers do meanwhile, and for the time that they need to catch up, is not judged."""
        for node in nodes:
            node.disturbed_until = max(node.disturbed_until, time.monotonic() + seconds + CONTACT_SECONDS)

    def is_calm(self, host: str) -> bool:
        return all(time.monotonic() > node.disturbed_until for node in self.balancers if node.host == host)

    def note(self, is_served: bool) -> None:
        self.results.append((time.monotonic(), is_served))

    def ran(self, request: str, upstream: Upstream) -> None:
        self.runs[request] = self.runs.get(request, 0) + 1
        if self.runs[request] > 1:
            self.fail("TWICE", f"{request} ran again at {upstream.key}")

    def check_open(self, upstream: Upstream, packet: Packet, node: str) -> None:
        now = time.monotonic()
        if (packet.dst, packet.dport) != SERVICES[upstream.service]:
            self.fail("ROUTE", f"{upstream.key} of {upstream.service} got a flow to {packet.dst} from {node}")
        if not self.is_calm(node):
            return
        if upstream.draining_since and now - upstream.draining_since > DRAIN_SECONDS:
            self.fail("DRAIN", f"{upstream.key} got a flow {now - upstream.draining_since:.1f} s after its drain, {node}")
        out_since = self.zone_out.get(upstream.zone)
        if out_since and now - out_since > EVACUATE_SECONDS:
            self.fail("EVAC", f"{upstream.key} got a flow {now - out_since:.1f} s after its zone was taken out, {node}")

    def check_reset(self, flow: dict, packet: Packet, node: str) -> None:
        """A balancer's reset (sum 0) is only allowed when the flow's upstream has ended."""
        if packet.sum != 0 or not self.is_calm(node):
            return
        for upstream in self.upstreams:
            if upstream.is_alive and (packet.dst, flow["port"]) in upstream.flows:
                self.fail("FLOW", f"flow of port {flow['port']} was reset by {node} while {upstream.key} lives")

    def route(self, zone: str, key: tuple) -> str | None:
        """The balancer that the platform gives the packet to, by rendezvous hashing over those in rotation."""
        ready = [node for node in self.balancers if node.is_ready]
        nodes = [node for node in ready if node.zone == zone] or ready
        score = lambda node: hashlib.blake2b(repr((key, node.host)).encode(), digest_size=8).digest()
        return max(nodes, key=score).host if nodes else None

    def configure(self) -> None:
        self.version += self.random.randint(1, 3)
        routes = [{"name": name, "host": host, "prefix": f"/{port}/", "service": name, "kind": "safe"}
                  for name, (host, port) in SERVICES.items()]
        extra = self.random.randint(0, 40)
        routes += [{"name": f"idle-{n}", "host": "198.18.1.1", "prefix": f"/{1000 + n}/", "service": "packs"} for n in range(extra)]
        services = [{"name": name, "warmup_s": 2.0, "warmup_per_s": 0.0} for name in SERVICES]
        self.store.write("op/config", {"version": self.version, "routes": routes, "services": services,
                                       "limits": {"idle_timeout_ms": 15000}})

    async def add_upstream(self, service: str, zone: str, host: str | None = None) -> Upstream:
        self.identity += 1
        address = host or f"127.{self.network + 1}.{ZONES.index(zone)}.{(self.identity - self.seed) % 250 + 1}"
        upstream = Upstream(self, self.identity, service, zone, address, UPSTREAM_PORT)
        self.upstreams.append(upstream)
        await upstream.start()
        return upstream

    def living(self) -> list[Upstream]:
        return [upstream for upstream in self.upstreams if upstream.is_alive and upstream.state == "ready"]

    # Faults and planned changes, each chosen by the seed. The result says what was done.

    async def kill(self) -> str:
        chosen = self.random.sample(self.balancers, self.random.choice([1, 1, 2, len(self.balancers)]))
        for node in chosen:
            node.signal(signal.SIGKILL)
        self.disturb(1, chosen)
        return f"killed {[node.host for node in chosen]}"

    async def terminate(self) -> str:
        node = self.random.choice(self.balancers)
        node.signal(signal.SIGTERM)
        self.disturb(4, [node])
        return f"terminated {node.host}"

    async def pause(self) -> str:
        node = self.random.choice(self.balancers)
        seconds = self.random.uniform(0.3, 3)
        node.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(seconds, node.signal, signal.SIGCONT)
        self.disturb(seconds, [node])
        return f"paused {node.host} for {seconds:.1f} s"

    async def reload(self) -> str:
        for node in self.balancers:
            node.signal(signal.SIGHUP)
        return "sent SIGHUP"

    async def harm_link(self) -> str:
        chosen = self.random.sample(self.balancers, self.random.randint(1, len(self.balancers)))
        mode, seconds = self.random.choice(["delay", "silent", "one_way", "reset"]), self.random.uniform(0.5, 4)
        for node in chosen:
            node.proxy.set_mode(mode)
            asyncio.get_running_loop().call_later(seconds, node.proxy.set_mode, "pass")
        self.disturb(seconds, chosen)
        return f"{mode} between the store and {[node.host for node in chosen]} for {seconds:.1f} s"

    async def refuse(self) -> str:
        self.store.refusal = self.random.choice([503, 429])
        seconds = self.random.uniform(0.5, 3)
        asyncio.get_running_loop().call_later(seconds, setattr, self.store, "refusal", 0)
        self.disturb(seconds, self.balancers)
        return f"store refuses for {seconds:.1f} s"

    async def compact(self) -> str:
        self.store.compact()
        return "store forgot its history"

    async def replace(self) -> str:
        old = self.random.choice(self.living())
        await self.add_upstream(old.service, old.zone)
        old.drain()
        asyncio.get_running_loop().call_later(self.random.uniform(3, 12), old.stop)
        return f"{old.key} drains"

    async def crash(self) -> str:
        old = self.random.choice(self.living())
        old.stop(is_listed=True)
        asyncio.get_running_loop().call_later(1.8, self.store.write, old.key, None)
        await self.add_upstream(old.service, old.zone)
        return f"{old.key} crashed"

    async def reuse(self) -> str:
        old = self.random.choice(self.living())
        old.stop()
        await asyncio.sleep(0.05)
        other = next(name for name in SERVICES if name != old.service)
        await self.add_upstream(other, old.zone, old.host)
        await self.add_upstream(old.service, old.zone)
        return f"{old.key} ended, its address goes to {other}"

    async def darken(self) -> str:
        old = self.random.choice(self.living())
        old.go_dark()
        asyncio.get_running_loop().call_later(1.8, self.store.write, old.key, None)
        await self.add_upstream(old.service, old.zone)
        return f"{old.key} went dark"

    async def evacuate(self) -> str:
        zone = self.random.choice(ZONES)
        if zone in self.zone_out:
            return "nothing"
        self.zone_out[zone] = time.monotonic()
        self.store.write(f"op/evacuate/{zone}", {})
        asyncio.get_running_loop().call_later(self.random.uniform(2, 15), self.take_back, zone)
        return f"zone {zone} is taken out"

    def take_back(self, zone: str) -> None:
        self.zone_out.pop(zone, None)
        self.store.write(f"op/evacuate/{zone}", None)

    async def change_configuration(self) -> str:
        for _ in range(self.random.randint(1, 8)):
            self.configure()
        return f"configuration {self.version}"

    async def play(self, seconds: float) -> None:
        self.started = time.monotonic()
        self.configure()
        for number in range(18):
            await self.add_upstream("register" if number % 3 else "packs", ZONES[number // 3 % len(ZONES)])
        self.balancers = [Balancer(self, number) for number in range(4)]
        for node in self.balancers:
            await node.start()
        tasks = [asyncio.ensure_future(node.watch()) for node in self.balancers]
        await asyncio.sleep(2)
        for number in range(12):
            caller = Caller(self, f"127.{self.network + 2}.0.{number + 1}", ZONES[number % len(ZONES)])
            await caller.start()
            self.callers.append(caller)
            tasks += [asyncio.ensure_future(caller.work(address)) for address in SERVICES.values()]
        faults = [self.kill, self.terminate, self.pause, self.reload, self.harm_link, self.refuse, self.compact, self.replace,
                  self.crash, self.reuse, self.darken, self.evacuate, self.change_configuration]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.random.choice([0.05, 0.5, 1.5, 3]))
            print(f"seed={self.seed} {time.monotonic() - self.started:.3f} {await self.random.choice(faults)()}", flush=True)
        await asyncio.sleep(RECOVERY_SECONDS)
        self.check_recovery()
        for task in tasks:
            task.cancel()
        await self.close()

    async def close(self) -> None:
        """Frees the addresses for the next seed."""
        for upstream in self.upstreams:
            if not upstream.transport.is_closing():
                upstream.stop(is_listed=True)
        for caller in self.callers:
            caller.transport.close()
        for node in self.balancers:
            node.server.close()
        await asyncio.sleep(0.1)

    def check_recovery(self) -> None:
        recent = [served for when, served in self.results if when > time.monotonic() - 2]
        share = sum(recent) / max(len(recent), 1)
        if not recent or share < SERVED_AFTER_RECOVERY:
            self.fail("RECOVER", f"{share:.2f} of {len(recent)} requests served {RECOVERY_SECONDS} s after the last fault")

    def stop(self) -> None:
        for node in self.balancers:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


def run_seed(seed: int, seconds: float, program: str) -> bool:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    world = World(seed, program, folder)
    try:
        asyncio.run(world.play(seconds))
    finally:
        world.stop()
    served = sum(served for _, served in world.results)
    outcome = "failed" if world.failures else "passed"
    print(f"seed={seed} {outcome}: {served} of {len(world.results)} requests served, logs in {folder}", flush=True)
    return not world.failures


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, help="first seed; default: drawn now")
    parser.add_argument("--seeds", type=int, default=1, help="seeds to play, one after the other")
    parser.add_argument("--seconds", type=float, default=20, help="time in which faults are injected")
    parser.add_argument("--program", default=str(ROOT / "build" / "bin" / "chicorytally-platform"))
    arguments = parser.parse_args()
    first = arguments.seed if arguments.seed is not None else int(time.time())
    failed = [seed for seed in range(first, first + arguments.seeds)
              if not run_seed(seed, arguments.seconds, arguments.program)]
    print(f"{arguments.seeds - len(failed)} passed, {len(failed)} failed" + (f": seeds {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
