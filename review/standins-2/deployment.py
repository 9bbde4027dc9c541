"""A small deployment on loopback: store, targets, consumers and router around real processes of chicorytally.

Packets are those of Tests/Soak/packets.py. The stand-ins follow PROTOCOL.md; where it is silent they behave like a sound
server or client. A case sets the site up, plays its disruption and asks for the verdict.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "Soak"))

from packets import ACK, FIN, RST, SYN, Packet, decode  # noqa: E402

METRICS_PORT = 9180
HEARTBEAT = 1.2
DRAIN_MS, CONTACT_MS, EVACUATE_MS = 3000, 4000, 5000
OPEN_COPIES = (0.2, 0.6)
OPEN_LIMIT = 1.4
IDLE_TIMEOUT_MS = 15000
MEMORY_MB = 260
REQUEST_LIMIT = 3.0
DATA_COPIES = (0.2, 0.6, 1.4)
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": CONTACT_MS, "ack_ms": 5000, "sync_s": 4, "drain_ms": DRAIN_MS,
          "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_stretch_ms": 12000,
          "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": EVACUATE_MS, "recover_s": 12, "reorder_ms": 2000, "flow_max_s": 60}
# As in deploy/system.toml.
PEER_KEY = "c3a5c85c97cb3127b6a1d0f24b0f8e5f9d1c2e7a4b8f60315e7d9a2c4f6b8e01"


def deploy_command() -> list[str]:
    """The command of the role in deploy/system.toml."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("run = "):
            command = shlex.split(line.split("=", 1)[1].strip().strip('"'))
            return [str(ROOT / command[0]), *command[1:]]
    raise RuntimeError("deploy/system.toml has no command")


class Store:
    """The platform's metadata store."""

    def __init__(self, site: "Site") -> None:
        self.site, self.revision, self.items, self.events = site, 0, {}, []
        self.waiting: set[asyncio.Event] = set()
        self.calls: dict[str, int] = {}

    def put(self, key: str, value: dict | bytes | None) -> float:
        """Writes or removes an item. Returns the time of the acknowledgement."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "rev": self.revision, "removed": True}
        else:
            text = value if isinstance(value, bytes) else json.dumps(value).encode()
            event = {"key": key, "value": base64.b64encode(text).decode(), "rev": self.revision, "create_rev": self.revision, "lease": 0}
            self.items[key] = event
        self.events.append(event)
        event["text"] = json.dumps(event)
        for waiting in self.waiting:
            waiting.set()
        return self.site.now()

    def beat(self, key: str, entry: dict) -> float:
        """A target's report. The entry changes when more than `seq` changes."""
        if item := self.items.get(key):
            try:
                known = json.loads(base64.b64decode(item["value"]))
                if {**known, "seq": 0} == {**entry, "seq": 0}:
                    return self.site.now()
            except (ValueError, TypeError, RecursionError):
                pass
        return self.put(key, entry)

    @staticmethod
    def body(name: str, items: list[dict], **fields) -> str:
        """The items were encoded once, as large ones are sent many times."""
        return f'{{"{name}": [{", ".join(item["text"] for item in items)}], {json.dumps(fields)[1:]}'

    async def answer(self, path: str, query: dict[str, str]) -> tuple[int, str]:
        prefix = query.get("prefix", "")
        if path == "/api/kv-range":
            keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > query.get("after", "")]
            page, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key]["value"]) * 3 // 4
                # At most 1 MB of values, or a single item.
                if page and size > 1_000_000:
                    break
                page.append(self.items[key])
            return 200, self.body("items", page, has_more=len(keys) > len(page), as_of=self.revision)
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, json.dumps({**item, "as_of": self.revision})) if item else (404, "{}")
        if path != "/api/kv-watch":
            return 404, "{}"
        after, deadline = int(query["after"]), self.site.now() + int(query["wait_ms"]) / 1000
        while True:
            events = [event for event in self.events[after:] if event["key"].startswith(prefix)]
            remaining = deadline - self.site.now()
            if events or remaining <= 0:
                return 200, self.body("events", events, as_of=self.revision)
            waiting = asyncio.Event()
            self.waiting.add(waiting)
            try:
                await asyncio.wait_for(waiting.wait(), remaining)
            except asyncio.TimeoutError:
                pass
            self.waiting.discard(waiting)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                target = urllib.parse.urlsplit(request.split()[1].decode())
                peer = writer.get_extra_info("peername")[0]
                self.calls[peer] = self.calls.get(peer, 0) + 1
                status, body = await self.answer(target.path, dict(urllib.parse.parse_qsl(target.query)))
                text = body.encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class Balancer:
    """A process of the deploy file's role on an address of its own."""

    def __init__(self, site: "Site", number: int, zone: str) -> None:
        self.site, self.zone, self.host = site, zone, f"{site.net}.1.{number + 1}"
        self.name = f"front-{zone}-{number + 1}"
        self.is_ready, self.misses, self.process = False, 0, None
        self.is_killed, self.memory_kills = False, 0

    def settings(self) -> dict:
        site = self.site
        zones = {zone: "region" for zone in site.zones}
        return {"node": self.name, "role": "balancer", "machine_class": "front", "serves": ["front", "control"], "ip": self.host,
                "zone": self.zone, "region": "region", "zones": zones,
                "listen": {"packet_addr": f"{self.host}:{site.ports['packet']}", "ready": f"{self.host}:{site.ports['ready']}",
                           "control": f"{self.host}:{site.ports['control']}"},
                "internal_ports": [site.ports["peer"], site.ports["peer"] + 3],
                "seeds": [f"{site.net}.1.{number}:{site.ports['control']}" for number in (1, 2, 3)],
                "bootstrap": True, "in_tolerance": False,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": MEMORY_MB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entry": "announce", "heartbeat_ms": int(HEARTBEAT * 1000),
                "contracts": ["base", "drain", "config", "cost", "recover", "flows", "places", "platform"],
                "tolerate": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS, "flow_hash": "steady", "encap": "echo",
                "platform": {"addr": f"{site.store_host}:{site.ports['store']}", "encap": "read", "writes_per_s": 400,
                             "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}

    def start(self) -> None:
        path = self.site.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        environment = {"PATH": os.environ.get("PATH", ""), "CHICORYTALLY_NODE_FILE": str(path), "CHICORYTALLY_PEER_KEY": PEER_KEY}
        self.is_killed = False
        with open(self.site.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(deploy_command(), env=environment, stdout=log, stderr=log, cwd=ROOT)

    def kill(self) -> None:
        self.is_killed = True
        self.process.kill()

    def peak_megabytes(self) -> float:
        """The largest memory that the process has had resident."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(status.split("VmHWM:")[1].split()[0]) / 1024
        except (OSError, IndexError):
            return 0

    async def limit_memory(self) -> None:
        """Kills the process when it exceeds its memory, as the platform does (DEPLOY.md, "Memory and descriptors")."""
        while True:
            await asyncio.sleep(0.02)
            if self.process.poll() is None and not self.is_killed and (peak := self.peak_megabytes()) > MEMORY_MB:
                self.site.note(f"{self.name} has had {peak:.0f} MB, {MEMORY_MB} allowed: killed by the platform")
                self.memory_kills += 1
                self.kill()

    async def ask_ready(self) -> bool:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.site.ports["ready"]), 0.4)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def check(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            if self.process.poll() is not None and not self.site.is_closing:
                if not self.is_killed:
                    self.site.note(f"{self.name} ended by itself with {self.process.returncode}")
                    self.site.own_ends += 1
                self.start()
            is_ready = await self.ask_ready()
            self.misses = 0 if is_ready else self.misses + 1
            self.is_ready = is_ready or (self.is_ready and self.misses < 2)


class Target(asyncio.DatagramProtocol):
    """A target: registers itself, holds flows, runs requests."""

    def __init__(self, site: "Site", number: int, service: str, zone: str, identity: int) -> None:
        self.site, self.service, self.zone, self.identity = site, service, zone, identity
        self.host, self.port, self.key = f"{site.net}.2.{number + 1}", site.ports["target"], f"servers/i-{identity:08x}"
        self.name, self.state, self.is_alive = f"i-{identity:08x}", "ready", False
        self.born, self.seq = int(time.time() * 1000), 0
        self.flows: dict[tuple, dict] = {}
        self.acknowledged_drain: float | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, self.port))
        self.server = await asyncio.start_server(self.health, self.host, self.port)
        self.is_alive = True
        self.site.tasks.append(asyncio.ensure_future(self.beats()))

    def entry(self) -> dict:
        self.seq += 1
        return {"service": self.service, "addr": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1", "slots": 4,
                "state": self.state, "warmup_left_ms": 0, "seq": self.seq, "born": self.born}

    async def beats(self) -> None:
        while self.is_alive:
            self.site.store.beat(self.key, self.entry())
            await asyncio.sleep(HEARTBEAT)

    def drain(self) -> float:
        self.state = "draining"
        self.acknowledged_drain = self.site.store.beat(self.key, self.entry())
        return self.acknowledged_drain

    def leave(self) -> None:
        self.is_alive = False
        self.transport.close()
        self.server.close()
        self.site.store.put(self.key, None)

    async def health(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.state == "ready" else 503
            writer.write(b"HTTP/1.1 %d X\r\nX-Chicorytally-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % (status, self.name.encode()))
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def datagram_received(self, datagram: bytes, sender: tuple[str, int]) -> None:
        if len(datagram) < 40 or not self.is_alive:
            return
        identity, packet = int.from_bytes(datagram[:8], "big"), decode(datagram[8:])
        if identity not in (0, self.identity):
            return
        if packet.sum != packet.checksum():
            self.site.break_rule("UNASKED", f"{self.name} got a packet that its sender did not write so")
            return
        peer = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(peer)
        if packet.flags & SYN:
            if not flow or flow["ended"]:
                flow = {"iss": random.getrandbits(24), "open": False, "ended": False, "next": packet.seq + 1, "fin": False,
                        "taken": self.site.now(), "through": sender[0], "sent": 0}
                flow["sent"] = flow["iss"] + 1
                self.flows[peer] = flow
                self.site.open_taken(self, packet, sender[0])
            if not flow["open"]:
                self.reply(packet, SYN | ACK, flow["iss"], flow["next"])
            return
        if not flow:
            if not packet.flags & RST:
                self.reply(packet, RST, packet.ack, 0)
            return
        if packet.flags & RST:
            flow["ended"] = True
            return
        if flow["ended"]:
            self.reply(packet, ACK if packet.flags & FIN else RST, packet.ack, packet.seq + len(packet.data) + 1) if packet.data or packet.flags & FIN else None
            return
        flow["open"] = True
        if packet.data and packet.seq == flow["next"]:
            flow["next"] += len(packet.data)
            asyncio.ensure_future(self.run(flow, packet))
        if packet.flags & FIN and packet.seq + len(packet.data) == flow["next"]:
            flow["next"] += 1
            flow["ended"] = True
            if flow["fin"]:
                self.reply(packet, ACK, flow["sent"], flow["next"])
            else:
                self.reply(packet, FIN | ACK, flow["sent"], flow["next"])

    async def run(self, flow: dict, packet: Packet) -> None:
        head = packet.data.split(b"\r\n\r\n")[0].decode()
        request = head.split("X-Chicorytally-Request-Id: ")[1].split("\r\n")[0]
        self.site.ran(request, self)
        await asyncio.sleep(random.uniform(*self.site.work))
        if not self.is_alive or flow["ended"]:
            return
        body = f"done {request}".encode()
        answer = b"HTTP/1.1 200 OK\r\nX-Chicorytally-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s" % (self.name.encode(), len(body), body)
        self.reply(packet, ACK, flow["sent"], flow["next"], answer)
        flow["sent"] += len(answer)
        if self.state == "draining" or "\r\nConnection: close" in head:
            self.reply(packet, FIN | ACK, flow["sent"], flow["next"])
            flow["sent"] += 1
            flow["fin"] = True

    def reply(self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        answer = Packet(packet.src, packet.sport, packet.dst, packet.dport, flags, seq, ack, packet.echo, data)
        self.transport.sendto(answer.encode(), (packet.src, self.site.ports["packet"]))


class Flow:
    def __init__(self, port: int, address: tuple[str, int], seq: int) -> None:
        self.port, self.address = port, address
        self.seq, self.ack, self.echo = seq, 0, 0
        self.packets: asyncio.Queue = asyncio.Queue()
        self.is_open, self.is_closed = False, False
        self.opened_at = 0.0


class Consumer(asyncio.DatagramProtocol):
    """A consumer with an address of its own."""

    def __init__(self, site: "Site", number: int, zone: str) -> None:
        self.site, self.zone, self.host = site, zone, f"{site.net}.3.{number + 1}"
        self.flows: dict[int, Flow] = {}
        self.next_port, self.first_seq = 40000, random.getrandbits(20)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, self.site.ports["packet"]))

    def datagram_received(self, datagram: bytes, sender: tuple[str, int]) -> None:
        packet = decode(datagram)
        packet.sender = sender[0]
        if packet.sum != 0 and packet.sum != packet.checksum():
            self.site.break_rule("MIXED", f"{self.host} got a packet that its sender did not write so")
        elif flow := self.flows.get(packet.dport):
            flow.packets.put_nowait(packet)

    def new_port(self) -> int:
        self.next_port += 1
        return self.next_port

    def send(self, flow: Flow, flags: int, data: bytes = b"", copies: int | None = None) -> None:
        ack = flow.ack if copies is None else copies
        packet = Packet(*flow.address, self.host, flow.port, flags, flow.seq, ack, flow.echo, data)
        if node := self.site.route(self.zone, (self.host, flow.port, *flow.address)):
            self.transport.sendto(packet.encode(), (node, self.site.ports["packet"]))

    async def receive(self, flow: Flow, until: float) -> Packet | None:
        remaining = until - self.site.now()
        if remaining <= 0:
            return None
        try:
            return await asyncio.wait_for(flow.packets.get(), remaining)
        except asyncio.TimeoutError:
            return None

    async def open(self, address: tuple[str, int], port: int | None = None) -> Flow | None:
        # Initial sequence numbers grow, so that a port can be used again as soon as its flow is closed.
        self.first_seq += 100_000
        flow = Flow(port or self.new_port(), address, self.first_seq)
        self.flows[flow.port] = flow
        started = self.site.now()
        self.send(flow, SYN, copies=0)
        for number, until in enumerate((*OPEN_COPIES, OPEN_LIMIT), 1):
            while packet := await self.receive(flow, started + until):
                if packet.flags & RST:
                    self.flows.pop(flow.port, None)
                    return None
                if packet.flags & SYN and packet.ack == flow.seq + 1:
                    flow.seq, flow.ack, flow.echo = flow.seq + 1, packet.seq + 1, packet.echo
                    flow.is_open, flow.opened_at = True, self.site.now()
                    self.send(flow, ACK)
                    return flow
            if number <= len(OPEN_COPIES):
                self.send(flow, SYN, copies=number)
        self.flows.pop(flow.port, None)
        return None

    async def request(self, flow: Flow, is_unsafe: bool = True, is_last: bool = False) -> str:
        """Sends a request and waits for its answer; the target closes the flow after the last one. Returns 'served', 'reset', 'reset by the system', 'silent' or 'closed'."""
        identity = f"{random.getrandbits(64):016x}"
        body = b"x" * 400 if is_unsafe else b""
        data = (f"{'POST' if is_unsafe else 'GET'} /work HTTP/1.1\r\nHost: x\r\nX-Chicorytally-Request-Id: {identity}\r\n"
                f"{'Connection: close' if is_last else 'Connection: keep-alive'}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body
        self.site.sent(identity, self, flow)
        started, copies = self.site.now(), list(DATA_COPIES)
        self.send(flow, ACK, data)
        while self.site.now() - started < REQUEST_LIMIT:
            packet = await self.receive(flow, started + (copies[0] if copies else REQUEST_LIMIT))
            if packet is None:
                if copies:
                    copies.pop(0)
                    self.send(flow, ACK, data)
                continue
            if packet.flags & RST:
                own = packet.sum == 0
                self.site.answered(identity, "reset by the system" if own else "reset")
                self.flows.pop(flow.port, None)
                if own:
                    self.site.system_reset(self, flow, packet, identity)
                return "reset by the system" if own else "reset"
            if packet.flags & SYN or packet.seq != flow.ack:
                continue
            if packet.data:
                if not packet.data.endswith(f"done {identity}".encode()):
                    self.site.break_rule("MIXED", f"request {identity} got the answer {packet.data[-30:]!r}")
                flow.seq, flow.ack, flow.echo = flow.seq + len(data), flow.ack + len(packet.data), packet.echo
                self.send(flow, ACK)
                self.site.answered(identity, "served")
                return "served"
            if packet.flags & FIN:
                flow.ack += 1
                self.site.answered(identity, "closed")
                return "closed"
        self.site.answered(identity, "silent")
        self.flows.pop(flow.port, None)
        return "silent"

    async def wait(self, flow: Flow, seconds: float) -> str:
        """Pauses on an open flow. Returns 'open', 'closed' if the target closed it, or how it was reset."""
        until = self.site.now() + seconds
        while packet := await self.receive(flow, until):
            if packet.flags & RST:
                self.flows.pop(flow.port, None)
                if packet.sum != 0:
                    return "reset"
                self.site.system_reset(self, flow, packet, None)
                return "reset by the system"
            if packet.flags & FIN and packet.seq == flow.ack:
                flow.ack += 1
                await self.close(flow, is_answer=True)
                return "closed"
        return "open"

    async def close(self, flow: Flow, is_answer: bool = False) -> bool:
        """Closes the flow from both ends. Returns whether both have sent a FIN and got an ACK for it."""
        started, has_fin, copies = self.site.now(), is_answer, list(DATA_COPIES)
        self.send(flow, FIN | ACK)
        while self.site.now() - started < REQUEST_LIMIT:
            packet = await self.receive(flow, started + (copies[0] if copies else REQUEST_LIMIT))
            if packet is None:
                if copies:
                    copies.pop(0)
                    self.send(flow, FIN | ACK)
                continue
            if packet.flags & RST:
                break
            if packet.flags & FIN and not has_fin and packet.seq == flow.ack:
                flow.ack += 1
                has_fin = True
            if packet.ack == flow.seq + 1 and has_fin:
                flow.seq += 1
                if not is_answer:
                    self.send(flow, ACK)
                self.flows.pop(flow.port, None)
                return True
            if has_fin and not is_answer:
                self.send(flow, FIN | ACK)
        self.flows.pop(flow.port, None)
        return False


class Site:
    def __init__(self, case: pathlib.Path, zones: tuple[str, ...], balancers: int, has_trouble: bool) -> None:
        self.case, self.zones, self.has_trouble = case, zones, has_trouble
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.started = time.monotonic()
        self.lines: list[str] = []
        self.broken: list[str] = []
        self.requests: dict[str, dict] = {}
        self.tasks: list[asyncio.Task] = []
        self.own_ends, self.is_closing = 0, False
        # Seconds that a request takes at a target.
        self.work = (0.04, 0.09)
        self.on_open_taken = lambda target, packet, node: None
        self.on_system_reset = lambda consumer, flow, packet, request: None
        self.choose_addresses(balancers)
        self.store_host = f"{self.net}.4.1"
        self.store = Store(self)
        self.balancers = [Balancer(self, number, zones[number % len(zones)]) for number in range(balancers)]
        self.targets: list[Target] = []
        self.consumers: list[Consumer] = []
        self.version = 0

    def choose_addresses(self, balancers: int) -> None:
        for _ in range(50):
            self.net = f"127.{random.randint(20, 250)}"
            base = random.randint(20000, 29000)
            self.ports = {"packet": base, "ready": base + 1, "control": base + 2, "store": base + 3, "target": base + 4, "peer": base + 10}
            wanted = [(f"{self.net}.1.{number + 1}", port) for number in range(balancers)
                      for port in (METRICS_PORT, self.ports["packet"], self.ports["ready"], self.ports["control"], self.ports["peer"])]
            if all(self.is_free(*address) for address in wanted + [(f"{self.net}.4.1", self.ports["store"])]):
                return
        raise OSError("no free ports")

    @staticmethod
    def is_free(host: str, port: int) -> bool:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
        return True

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now():8.3f} {text}")

    def break_rule(self, rule: str, text: str) -> None:
        self.broken.append(rule)
        self.note(f"BROKEN {rule}: {text}")

    def sent(self, identity: str, consumer: Consumer, flow: Flow) -> None:
        self.requests[identity] = {"from": f"{consumer.host}:{flow.port}", "runs": [], "answer": None}
        self.note(f"sent {identity} from {consumer.host}:{flow.port}")

    def ran(self, identity: str, target: Target) -> None:
        request = self.requests.get(identity)
        self.note(f"ran {identity} at {target.name} of {target.service}, {target.state}")
        if request is None:
            self.break_rule("UNASKED", f"{target.name} ran {identity}, which nobody sent")
            return
        request["runs"].append(target.name)

    def answered(self, identity: str, answer: str) -> None:
        self.requests[identity]["answer"] = answer
        self.note(f"answered {identity}: {answer}")

    def open_taken(self, target: Target, packet: Packet, node: str) -> None:
        self.note(f"open {packet.src}:{packet.sport} taken by {target.name}, {target.state}, through {node}")
        self.on_open_taken(target, packet, node)

    def system_reset(self, consumer: Consumer, flow: Flow, packet: Packet, request: str | None) -> None:
        self.note(f"reset of the system's own to {consumer.host}:{flow.port} from {packet.sender}, request in flight: {request}")
        self.on_system_reset(consumer, flow, packet, request)

    def target_of(self, consumer: Consumer, flow: Flow) -> Target | None:
        """The living target that has the flow open."""
        for target in self.targets:
            held = target.flows.get((consumer.host, flow.port, *flow.address))
            if target.is_alive and held and held["open"] and not held["ended"]:
                return target
        return None

    def route(self, zone: str, key: tuple) -> str | None:
        """The node that the routers hand the packet to: a steady hash over the nodes in rotation."""
        own = [node for node in self.balancers if node.zone == zone]
        ready = [node for node in own if node.is_ready]
        if ready and 2 * len(ready) < len(own):
            ready = own
        nodes = ready or [node for node in self.balancers if node.is_ready]
        if not nodes:
            return None
        return max(nodes, key=lambda node: hashlib.blake2b(repr((key, node.host)).encode(), digest_size=8).digest()).host

    def configure(self, routes: list[dict], services: list[str]) -> float:
        self.version += 3
        declared = [{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False, "warmup_s": 2.0,
                     "warmup_per_s": 0.0} for name in services]
        return self.store.put("op/config", {"version": self.version, "routes": routes, "services": declared, "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": IDLE_TIMEOUT_MS}})

    async def start(self, limit: float = 10) -> None:
        self.server = await asyncio.start_server(self.store.serve, self.store_host, self.ports["store"])
        for target in self.targets:
            await target.start()
        for node in self.balancers:
            node.start()
            self.tasks.append(asyncio.ensure_future(node.check()))
        began = self.now()
        while self.now() - began < limit:
            await asyncio.sleep(0.1)
            if all(node.is_ready for node in self.balancers):
                break
        else:
            raise RuntimeError("the balancers did not become ready")
        for consumer in self.consumers:
            await consumer.start()
        self.note("all balancers are ready")

    async def close(self) -> None:
        self.is_closing = True
        for task in self.tasks:
            task.cancel()
        await asyncio.sleep(0.05)

    def end_processes(self) -> None:
        for node in self.balancers:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()

    def balancer_lines(self, events: tuple[str, ...]) -> list[str]:
        found = []
        for node in self.balancers:
            path = self.folder / f"{node.name}.log"
            for line in path.read_text(errors="replace").splitlines() if path.exists() else []:
                if any(f"event={event} " in line for event in events):
                    found.append(f"{node.name}: {line}")
        return found


def route_entry(name: str, host: str, port: int, service: str, kind: str = "unsafe") -> dict:
    return {"name": name, "host": host, "prefix": f"/{port}/", "kind": kind, "timeout_ms": 3000, "slo_ms": 300, "priority": 1,
            "service": service, "max_attempts": 2}


async def use_with_tries(site: Site, consumer: Consumer, address: tuple[str, int], results: list) -> None:
    """Opens a flow for each request, and tries three times within its time budget."""
    while not site.is_closing:
        sent_at, is_served = site.now(), False
        for _ in range(3):
            if flow := await consumer.open(address):
                is_served = await consumer.request(flow, is_unsafe=False, is_last=True) == "served"
                if is_served:
                    await consumer.wait(flow, 1.0)
            if is_served or site.now() - sent_at > REQUEST_LIMIT:
                break
        results.append((sent_at, is_served))
        await asyncio.sleep(random.uniform(0.2, 0.5))


def served_share(results: list, begin: float, end: float) -> tuple[float, int]:
    """The share served of the requests that were sent in this time, and their number."""
    judged = [is_served for sent_at, is_served in results if begin <= sent_at < end]
    return sum(judged) / max(len(judged), 1), len(judged)


async def kill_all(site: Site) -> float:
    """Kills all balancers and returns the time when all are started again."""
    for node in site.balancers:
        node.kill()
    site.note("all processes are killed")
    while any(node.is_killed for node in site.balancers):
        await asyncio.sleep(0.02)
    site.note("all processes are started again")
    return site.now()


def main(case_file: str, play, has_trouble: bool, events: tuple[str, ...], balancers: int = 4, zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")) -> int:
    """Plays a case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    case = pathlib.Path(case_file).resolve().parent
    site, code = None, 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        site = Site(case, zones, balancers, has_trouble)
        verdict = asyncio.run(play(site))
        code = 1 if verdict else 0
    except Exception as error:  # A case that can't run says so.
        print(f"could not run: {error!r}")
        if site:
            site.note(f"could not run: {error!r}")
    finally:
        if site:
            site.end_processes()
            summary = [f"exit {code}; disruption: {'yes' if site.has_trouble else 'no'}; requests sent {len(site.requests)}, "
                       f"served {sum(request['answer'] == 'served' for request in site.requests.values())}; rules broken: {({rule: site.broken.count(rule) for rule in sorted(set(site.broken))}) or 'none'}"]
            log = ["", "Lines of the balancers' logs:"] + site.balancer_lines(events)
            (case / "record.txt").write_text("\n".join(summary + site.lines + log) + "\n")
            print(summary[0])
            shutil.rmtree(site.folder, ignore_errors=True)
    return code
