"""A small site around real balancer processes: the platform's store and routers, targets and consumers, on loopback.

The stand-ins do what the users' pages say: PROTOCOL.md (packets, flows, targets, service discovery, store, operator),
DEPLOY.md (settings, restart of processes). All addresses are in 127.0.0.0/8 and are drawn anew for each run. Every
observation is written to the record; the checks judge only what consumers, targets and the platform see.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEADER = struct.Struct(">4sHH4sIHIIBBI")
SYN, ACK, FIN, RST = 64, 8, 1, 2

# Figures of the small deployments (sites/rbg-balanceo.toml and its sheet in SYSTEM.md).
HEARTBEAT_SECONDS = 0.77
CONTACT_SECONDS = 4.0
DRAIN_SECONDS = 3.0
RECOVER_SECONDS = 12.0
MEMORY_BYTES = 260 * 1024 * 1024
IDLE_TIMEOUT_SECONDS = 15.0
PAGE_ITEMS, PAGE_BYTES = 500, 1024 * 1024
HISTORY_SECONDS = 20.0
READY_INTERVAL_SECONDS = 0.5
SYN_COPIES = (0.2, 0.6)
OPEN_LIMIT_SECONDS = 1.4
RESTART_SECONDS = 0.3


def pack_address(text):
    return bytes(int(part) for part in text.split("."))


class Packet:
    def __init__(self, dst, dport, src, sport, flags, seq=0, ack=0, echo=0, data=b"", checksum=None):
        self.dst, self.dport, self.src, self.sport = dst, dport, src, sport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, data
        self.sum = self.keyed_sum() if checksum is None else checksum

    def keyed_sum(self):
        """Covers all fields except echo, pad and BOUNCED; never 0, which marks the balancers' resets."""
        parts = (self.dst, self.dport, self.src, self.sport, self.flags, self.seq, self.ack, self.data)
        return zlib.crc32(repr(parts).encode()) | 1

    def encode(self):
        return HEADER.pack(pack_address(self.dst), self.dport, self.sport, pack_address(self.src), self.echo,
                           len(self.data), self.seq, self.ack, self.flags, 0, self.sum) + self.data

    @staticmethod
    def decode(datagram):
        dst, dport, sport, src, echo, length, seq, ack, flags, _, checksum = HEADER.unpack_from(datagram)
        data = datagram[HEADER.size:]
        if len(data) != length:
            raise ValueError("length")
        return Packet(".".join(map(str, dst)), dport, ".".join(map(str, src)), sport, flags, seq, ack, echo, data, checksum)


class Store:
    """The platform's metadata store. `mode` is up, or silent: then no call is answered, and nothing is accepted."""

    def __init__(self, site):
        self.site = site
        self.items, self.events = {}, []
        self.revision, self.first_event = 1, 2
        self.mode = "up"
        self.changed = asyncio.Event()
        self.listings = 0

    def write(self, key, value):
        """Value: a JSON object, bytes, or None to remove the key. Returns whether the store accepted the write."""
        if self.mode != "up":
            return False
        self.revision += 1
        event = {"key": key, "rev": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["removed"] = True
        else:
            raw = value if isinstance(value, bytes) else json.dumps(value).encode()
            item = {"key": key, "value": base64.b64encode(raw).decode(), "rev": self.revision, "lease": 0}
            item["create_rev"] = self.items[key]["create_rev"] if key in self.items else self.revision
            self.items[key] = item
            event = item
        self.events.append((time.monotonic(), event))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        shown = "removed" if value is None else f"{len(value)} bytes" if isinstance(value, bytes) else json.dumps(value)
        if not key.startswith("op/config"):
            self.site.record(f"store rev={self.revision} {key} {shown[:400]}")
        return True

    def set_mode(self, mode):
        self.mode = mode
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        self.site.record(f"the store is {mode}")

    def beat(self, key, entry, seq):
        """A target's status report. The entry changes when more than `seq` changes."""
        item = self.items.get(key)
        try:
            present = json.loads(base64.b64decode(item["value"])) if item else {}
        except ValueError:
            present = {}
        if not isinstance(present, dict) or {**present, "seq": seq} != {**entry, "seq": seq}:
            self.write(key, {**entry, "seq": seq})

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        page, size = [], 0
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        for key in keys:
            size += len(self.items[key]["value"]) * 3 // 4
            if page and (len(page) == PAGE_ITEMS or size > PAGE_BYTES):
                break
            page.append(self.items[key])
        return 200, {"items": page, "has_more": len(page) < len(keys), "as_of": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while True:
            while self.events and self.events[0][0] < time.monotonic() - HISTORY_SECONDS:
                self.first_event = self.events.pop(0)[1]["rev"] + 1
            if after + 1 < self.first_event:
                return 410, {}
            events = [event for _, event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                parts = request.split(b"\r\n")[0].decode().split(" ")
                if len(parts) != 3:
                    status, body = 400, {"error": "bad request line"}
                else:
                    target = urllib.parse.urlsplit(parts[1])
                    query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
                    if target.path != "/api/kv-watch" and self.listings < 200:
                        self.listings += 1
                        self.site.record(f"store call {parts[1]}")
                    if self.mode == "silent":
                        await asyncio.sleep(3600)
                    if target.path == "/api/kv-range":
                        status, body = self.range(query)
                    elif target.path == "/api/kv-watch":
                        status, body = await self.watch(query)
                    else:
                        status, body = 404, {}
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                text = json.dumps(body).encode()
                await asyncio.sleep(0.004)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


class Target(asyncio.DatagramProtocol):
    """A server behind the balancers: registers itself, takes flows, runs requests."""

    def __init__(self, site, service, zone, host, slots=2, identity=None, work=0.025):
        self.site, self.service, self.zone, self.host, self.slots, self.work = site, service, zone, host, slots, work
        self.identity = identity or site.random.getrandbits(40) | 1 << 39
        self.id = f"i-{self.identity:x}"
        self.key = "servers/" + self.id
        self.is_alive = False
        self.state = "ready"
        self.flows, self.busy, self.queue = {}, 0, []
        self.started = 0.0
        self.warmup = 0.0
        self.opens = []
        self.was_disturbed, self.drained = -1e9, None

    async def start(self, warmup=0.0):
        """Each start is a new boot: nothing of before is known, and `born` is new."""
        loop = asyncio.get_running_loop()
        self.flows, self.busy, self.queue, self.seq = {}, 0, [], 0
        self.born, self.started, self.warmup = int(time.time() * 1000), time.monotonic(), warmup
        self.state, self.is_alive = "ready", True
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, self.site.target_port))
        self.server = await asyncio.start_server(self.health, self.host, self.site.target_port, reuse_address=True)
        self.site.record(f"target {self.id} of {self.service} in {self.zone} starts at {self.host}, born={self.born}, "
                         f"cold for {warmup:.1f} s")
        self.beat = asyncio.ensure_future(self.heartbeat())

    def warmup_left(self):
        return max(0.0, self.started + self.warmup - time.monotonic())

    async def heartbeat(self):
        while True:
            self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def announce(self):
        """The entry changes when more than `seq` changes."""
        self.seq += 1
        entry = {"service": self.service, "addr": f"{self.host}:{self.site.target_port}", "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "warmup_left_ms": int(self.warmup_left() * 1000), "born": self.born}
        self.site.store.beat(self.key, entry, self.seq)

    def drain(self):
        """Reports `draining` before a planned stop, keeps its flows and still accepts opens."""
        self.state = "draining"
        self.announce()
        self.drained = time.monotonic()
        self.site.record(f"target {self.id} is draining, accepted by the store")

    def crash(self):
        self.is_alive = False
        self.was_disturbed = time.monotonic()
        self.beat.cancel()
        self.transport.close()
        self.server.close()
        for flow in self.flows.values():
            if flow["timer"]:
                flow["timer"].cancel()
        self.flows = {}
        self.site.record(f"target {self.id} crashes")

    async def health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def datagram_received(self, datagram, sender):
        if not self.is_alive:
            return
        identity, packet = int.from_bytes(datagram[:8], "big"), Packet.decode(datagram[8:])
        if packet.sum != packet.keyed_sum():
            self.site.fail("UNASKED", f"{self.id} got a packet that its sender did not write so, from {sender[0]}")
            return
        if identity not in (0, self.identity):
            return
        peer = (packet.src, packet.sport)
        flow = self.flows.get(peer)
        if packet.flags & SYN:
            if not flow:
                self.site.took_open(self, packet, sender[0])
                flow = self.flows[peer] = {"iss": self.site.random.getrandbits(28), "next": packet.seq + 1, "out": None,
                                           "timer": None, "is_open": False, "echo": packet.echo, "last": None}
            flow["echo"] = packet.echo
            self.send(packet, flow, SYN | ACK, flow["iss"])
            return
        if not flow:
            if not packet.flags & RST:
                answer = Packet(packet.src, packet.sport, packet.dst, packet.dport, RST, packet.ack, 0, packet.echo)
                self.transmit(answer)
            return
        flow["echo"], flow["is_open"] = packet.echo, True
        if packet.flags & RST:
            self.drop(peer)
        elif packet.flags & FIN:
            self.send(packet, flow, FIN | ACK, packet.ack, ack=packet.seq + len(packet.data) + 1)
            self.drop(peer)
        else:
            if flow["out"] and packet.ack == flow["out"][1]:
                flow["out"] = None
                flow["timer"].cancel()
            if packet.data and packet.seq == flow["next"]:
                flow["next"] = packet.seq + len(packet.data)
                self.queue.append((peer, packet))
                self.work_on()
            elif packet.data and flow["last"]:
                self.transmit(flow["last"])

    def drop(self, peer):
        flow = self.flows.pop(peer)
        if flow["timer"]:
            flow["timer"].cancel()

    def work_on(self):
        while self.queue and self.busy < self.slots:
            peer, packet = self.queue.pop(0)
            self.busy += 1
            self.site.ran(self, packet)
            asyncio.get_running_loop().call_later(self.work, self.finish, peer, packet, self.born)

    def finish(self, peer, packet, born):
        if not self.is_alive or born != self.born:
            return
        self.busy -= 1
        flow = self.flows.get(peer)
        if flow:
            identity = request_id(packet.data)
            body = f"{identity} done by {self.service}".encode()
            data = (f"HTTP/1.1 200 OK\r\nX-Chicorytally-Server-Seal: {self.id}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n").encode() + body
            flow["out"] = (packet, packet.ack + len(data) & 0xFFFFFFFF)
            self.answer(peer, flow, packet, data, 0.2, 8)
        self.work_on()

    def answer(self, peer, flow, packet, data, delay, left):
        if not self.is_alive or self.flows.get(peer) is not flow or flow["out"] is None:
            return
        answer = Packet(packet.src, packet.sport, packet.dst, packet.dport, ACK, packet.ack, flow["next"], flow["echo"], data)
        flow["last"] = answer
        self.transmit(answer)
        if left:
            flow["timer"] = asyncio.get_running_loop().call_later(
                delay, self.answer, peer, flow, packet, data, min(delay * 2, 1.6), left - 1)

    def send(self, packet, flow, flags, seq, ack=None):
        self.transmit(Packet(packet.src, packet.sport, packet.dst, packet.dport, flags, seq,
                             flow["next"] if ack is None else ack, flow["echo"]))

    def transmit(self, answer):
        if not self.transport.is_closing():
            self.transport.sendto(answer.encode(), (answer.dst, self.site.packet_port))


def request_id(data):
    marker = b"X-Chicorytally-Request-Id: "
    start = data.index(marker) + len(marker)
    return data[start:start + 16].decode()


class Consumer(asyncio.DatagramProtocol):
    def __init__(self, site, host, zone):
        self.site, self.host, self.zone = site, host, zone
        self.flows, self.next_port = {}, 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, self.site.packet_port))

    def datagram_received(self, datagram, sender):
        packet = Packet.decode(datagram)
        is_reset_of_balancer = packet.flags == RST and packet.sum == 0 and not packet.data
        if not is_reset_of_balancer and packet.sum != packet.keyed_sum():
            self.site.fail("MIXED", f"{self.host} got a packet that its sender did not write so, from {sender[0]}")
            return
        flow = self.flows.get(packet.dport)
        if flow:
            flow["packets"].put_nowait((packet, sender[0], is_reset_of_balancer))

    def send(self, flow, flags, data=b""):
        packet = Packet(flow["route"].host, flow["route"].port, self.host, flow["port"], flags, flow["seq"], flow["ack"],
                        flow["echo"], data)
        node = self.site.route(self.zone, (self.host, flow["port"], packet.dst, packet.dport))
        if node:
            self.transport.sendto(packet.encode(), (node.host, self.site.packet_port))

    async def receive(self, flow, until):
        try:
            return await asyncio.wait_for(flow["packets"].get(), max(0.001, until - time.monotonic()))
        except asyncio.TimeoutError:
            return None, None, False

    async def open(self, route):
        """Returns the open flow, or None if no target answered or the open was refused. Nothing has run then."""
        self.next_port += 1
        flow = {"port": self.next_port, "route": route, "seq": self.site.random.getrandbits(28), "ack": 0, "echo": 0,
                "packets": asyncio.Queue(), "opened": time.monotonic(), "target": None}
        self.flows[flow["port"]] = flow
        self.site.syn_sent[(self.host, flow["port"])] = time.monotonic()
        self.send(flow, SYN)
        copies = list(SYN_COPIES)
        while time.monotonic() - flow["opened"] < OPEN_LIMIT_SECONDS:
            packet, sender, is_balancers = await self.receive(flow, flow["opened"] + (copies[0] if copies else OPEN_LIMIT_SECONDS))
            if packet is None:
                if copies:
                    flow["ack"] = 3 - len(copies)
                    copies.pop(0)
                    self.send(flow, SYN)
                continue
            if packet.flags == SYN | ACK:
                flow.update(seq=flow["seq"] + 1, ack=packet.seq + 1, echo=packet.echo)
                self.send(flow, ACK)
                return flow
            if packet.flags & RST:
                self.site.record(f"{self.host}:{flow['port']} open refused by {sender}")
                break
        del self.flows[flow["port"]]
        return None

    async def request(self, flow, budget=2.5):
        """Sends one request on the flow. Returns served, late or reset."""
        route = flow["route"]
        identity = f"{self.site.random.getrandbits(64):016x}"
        method = "POST" if route.kind == "unsafe" else "GET"
        data = f"{method} /{route.name} HTTP/1.1\r\nHost: {route.host}\r\nX-Chicorytally-Request-Id: {identity}\r\n\r\n".encode()
        self.site.asked(identity, route)
        started, delay = time.monotonic(), 0.2
        self.send(flow, ACK, data)
        again = started + delay
        while time.monotonic() - started < budget:
            packet, sender, is_balancers = await self.receive(flow, min(again, started + budget))
            if packet is None:
                if time.monotonic() >= again:
                    delay = min(delay * 2, 1.6)
                    again = time.monotonic() + delay
                    self.send(flow, ACK, data)
                continue
            if packet.flags & RST:
                self.site.got_reset(self, flow, identity, sender, is_balancers)
                return "reset"
            if packet.flags & SYN:
                continue
            if packet.data and packet.seq == flow["ack"]:
                flow.update(seq=flow["seq"] + len(data), ack=packet.seq + len(packet.data) & 0xFFFFFFFF, echo=packet.echo)
                flow["seq"] &= 0xFFFFFFFF
                self.send(flow, ACK)
                self.site.answered(identity, route, packet.data)
                return "served"
        self.site.record(f"{self.host}:{flow['port']} request {identity} of {route.name} has no answer after {budget} s")
        return "late"

    def close(self, flow):
        if flow["port"] in self.flows:
            self.send(flow, FIN | ACK)
            del self.flows[flow["port"]]


class Zone:
    def __init__(self, name, machines, targets):
        """`targets`: their number for each service of the layout."""
        self.name, self.machines, self.targets = name, machines, targets


class Layout:
    def __init__(self, zones, services, routes):
        self.zones, self.services, self.routes = zones, services, routes


class Route:
    def __init__(self, name, host, port, service, kind):
        self.name, self.host, self.port, self.service, self.kind = name, host, port, service, kind


class Balancer:
    """One process of the role `balancer` with the command and the environment of deploy/system.toml."""

    def __init__(self, site, number, zone, host):
        self.site, self.number, self.zone, self.host = site, number, zone, host
        self.name = f"front-{zone}-{number}"
        self.process, self.misses, self.in_rotation, self.started = None, 2, False, 0.0
        self.is_expected_to_end, self.own_ends = False, 0

    def write_settings(self):
        site = self.site
        self.path = site.folder / f"{self.name}.json"
        self.path.write_text(json.dumps({
            "node": self.name, "role": "balancer", "machine_class": "front", "serves": ["front", "control"], "ip": self.host,
            "zone": self.zone, "region": "r", "zones": {zone: "r" for zone in site.zones},
            "listen": {"packet_addr": f"{self.host}:{site.packet_port}", "ready": f"{self.host}:{site.ready_port}",
                       "control": f"{self.host}:{site.control_port}"},
            "internal_ports": [site.internal_port, site.internal_port + 15],
            "seeds": [f"{balancer.host}:{site.control_port}" for balancer in site.balancers[:3]],
            "bootstrap": True, "in_tolerance": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": MEMORY_BYTES >> 20, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "announce", "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "places", "platform"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "sync_s": 4, "drain_ms": 3000,
                       "grace_s": 6, "config_apply_ms": 3000, "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000,
                       "recover_s": 12, "reorder_ms": 2000, "flow_max_s": 60},
            "flow_hash": "steady", "encap": "echo",
            "platform": {"addr": f"{site.store_host}:{site.store_port}", "encap": "read", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}))

    def spawn(self):
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1)
        variables = dict(re.findall(r'(\w+) = "([^"]*)"', re.search(r"^env = \{(.*)\}$", deploy, re.MULTILINE).group(1)))
        environment = {"PATH": os.environ["PATH"], "CHICORYTALLY_NODE_FILE": str(self.path), **variables}
        with open(self.site.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command.split(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.started, self.is_expected_to_end = time.monotonic(), False
        self.site.record(f"{self.name} starts as process {self.process.pid}")

    def kill(self):
        self.is_expected_to_end = True
        self.process.send_signal(signal.SIGKILL)
        self.site.record(f"{self.name} is killed")

    def terminate(self):
        """A planned stop; the process has grace_s to end, and is started again."""
        self.is_expected_to_end = True
        process = self.process
        process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(6, lambda: process.poll() is None and process.kill())
        self.site.record(f"{self.name} gets SIGTERM")

    def resident_bytes(self):
        try:
            return int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    async def supervise(self):
        """Starts the process again after it has ended, and ends it over its memory limit, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            if self.process.poll() is None:
                if self.resident_bytes() > MEMORY_BYTES:
                    self.site.record(f"{self.name} exceeds its memory limit of {MEMORY_BYTES >> 20} MB and is killed")
                    self.own_ends += 1
                    self.is_expected_to_end = True
                    self.process.kill()
                continue
            if not self.is_expected_to_end:
                self.own_ends += 1
                self.site.record(f"{self.name} ended by itself with {self.process.returncode}")
            await asyncio.sleep(RESTART_SECONDS)
            self.spawn()

    async def check_ready(self):
        while True:
            is_ready = await self.ask()
            self.misses = 0 if is_ready else self.misses + 1
            was = self.in_rotation
            self.in_rotation = is_ready or (was and self.misses < 2)
            if was != self.in_rotation:
                self.site.record(f"{self.name} is {'in' if self.in_rotation else 'out of'} rotation")
            await asyncio.sleep(READY_INTERVAL_SECONDS)

    async def ask(self):
        async def call():
            reader, writer = await asyncio.open_connection(self.host, self.site.ready_port)
            try:
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).split()[1:2] == [b"200"]
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(call(), 0.4)
        except (OSError, asyncio.TimeoutError):
            return False


class Site:
    def __init__(self, folder, trouble):
        self.case_folder, self.trouble = pathlib.Path(folder), trouble
        self.random = random.Random()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(self.case_folder / "record.txt", "w")
        self.begun = time.monotonic()
        self.zones = []
        self.balancers, self.targets, self.consumers, self.routes, self.tasks = [], [], [], [], []
        self.failures, self.asked_for, self.runs, self.results, self.syn_sent = [], {}, {}, [], {}
        self.counts = {"sent": 0, "answered": 0, "run": 0}
        self.version = 0
        self.store = Store(self)
        ports = self.choose_addresses(6)
        self.store_host = self.address(9, 1)
        self.packet_port, self.ready_port, self.control_port, self.internal_port, self.store_port, self.target_port = ports

    def address(self, group, number):
        return f"127.{self.network}.{group}.{number}"

    def choose_addresses(self, count):
        """Draws a range of addresses and ports that nobody uses. The metrics port is fixed in deploy/system.toml."""
        for _ in range(50):
            self.network = self.random.randint(20, 250)
            first = self.random.randint(11000, 28000)
            ports = [first + 40 * index for index in range(count)]
            if all(self.is_free(port) for port in [*ports, 9180]):
                return ports
        raise OSError("no free ports")

    def is_free(self, port):
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                if kind == socket.SOCK_STREAM:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((self.address(1, 1), port))
                    if kind == socket.SOCK_STREAM:
                        probe.listen(1)
                except OSError:
                    return False
        return True

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.begun:9.4f} {text}\n")

    def fail(self, rule, text):
        self.failures.append((rule, text))
        self.record(f"BROKEN {rule}: {text}")

    def add_balancer(self, zone):
        number = len(self.balancers) + 1
        self.balancers.append(Balancer(self, number, zone, self.address(1, number)))

    async def add_target(self, service, zone, **options):
        target = Target(self, service, zone, self.address(2, len(self.targets) + 1), **options)
        self.targets.append(target)
        await target.start()
        return target

    def add_route(self, name, service, kind):
        self.routes.append(Route(name, self.address(8, len(self.routes) + 1), 443, service, kind))

    def configure(self, warmup_seconds=2.0, warmup_per_second=0.0, idle_routes=8):
        self.version += self.random.randint(1, 5)
        routes = [{"name": route.name, "host": route.host, "prefix": f"/{route.port}/", "kind": route.kind, "timeout_ms": 2500,
                   "slo_ms": 150, "priority": 1, "service": route.service, "max_attempts": 2} for route in self.routes]
        services = sorted({route.service for route in self.routes})
        routes += [{"name": f"idle-{n}", "host": self.address(8, 200), "prefix": f"/{1000 + n}/", "kind": "safe",
                    "timeout_ms": 2500, "slo_ms": 150, "priority": 2, "service": services[0], "max_attempts": 2}
                   for n in range(idle_routes)]
        self.store.write("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False,
                          "warmup_s": warmup_seconds, "warmup_per_s": warmup_per_second} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": int(IDLE_TIMEOUT_SECONDS * 1000)}})
        self.record(f"store rev={self.store.revision} op/config version={self.version}")

    def route(self, zone, key):
        """The platform's router: a hash over the zone's nodes in rotation, or over those of the other zones."""
        nodes = [node for node in self.balancers if node.zone == zone]
        ready = [node for node in nodes if node.in_rotation]
        if not ready:
            nodes = [node for node in self.balancers if node.in_rotation]
        elif 2 * len(ready) >= len(nodes):
            nodes = ready
        score = lambda node: hashlib.blake2b(repr((key, node.host)).encode(), digest_size=8).digest()
        return max(nodes, key=score) if nodes else None

    # What consumers and targets see.

    def asked(self, identity, route):
        self.asked_for[identity] = route
        self.counts["sent"] += 1
        self.record(f"sent {identity} {route.name} of {route.service}")

    def ran(self, target, packet):
        identity = request_id(packet.data)
        route = self.asked_for.get(identity)
        self.counts["run"] += 1
        self.runs[identity] = self.runs.get(identity, 0) + 1
        self.record(f"run {identity} by {target.id} of {target.service}")
        if route is None:
            self.fail("UNASKED", f"{target.id} ran {identity}, which nobody sent")
        elif route.service != target.service:
            self.fail("ROUTE", f"{identity} of route {route.name} to {route.service} was run by {target.id} of {target.service}")
        if self.runs[identity] > 1 and route and route.kind == "unsafe":
            self.fail("UNASKED", f"{identity} ran twice")

    def answered(self, identity, route, data):
        self.counts["answered"] += 1
        body = data.split(b"\r\n\r\n", 1)[1].decode()
        self.record(f"answered {identity} {body}")
        if not body.startswith(identity):
            self.fail("MIXED", f"the answer to {identity} is {body}")

    def took_open(self, target, packet, sender):
        now = time.monotonic()
        sent = self.syn_sent.get((packet.src, packet.sport), now)
        target.opens.append((now, sent, target.warmup_left() > 0, sender))
        self.record(f"{target.id} takes the open of {packet.src}:{packet.sport} through {sender}, "
                    f"cold for {target.warmup_left():.2f} s")

    def got_reset(self, consumer, flow, identity, sender, is_balancers):
        now = time.monotonic()
        key = (consumer.host, flow["port"])
        holders = [target for target in self.targets if target.is_alive and key in target.flows and target.flows[key]["is_open"]]
        self.record(f"{consumer.host}:{flow['port']} with request {identity} is reset by {sender}"
                    f"{' (a balancer)' if is_balancers else ''}, held by {[target.id for target in holders]}")
        for target in holders:
            if is_balancers and now - target.was_disturbed > CONTACT_SECONDS and now - flow["opened"] < 60:
                self.fail("FLOW", f"{key[0]}:{key[1]} was reset by {sender} while {target.id} lives and holds the flow")

    def note(self, service, outcome, sent):
        self.results.append((sent, service, outcome))

    # Load.

    async def long_flow(self, consumer, route, pause, requests=200):
        """Keeps a flow open for many requests and opens the next one when it ends."""
        while True:
            sent = time.monotonic()
            flow = await consumer.open(route)
            if not flow:
                self.note(route.service, "not opened", sent)
                continue
            for _ in range(requests):
                sent = time.monotonic()
                outcome = await consumer.request(flow)
                self.note(route.service, outcome, sent)
                if outcome != "served":
                    break
                await asyncio.sleep(self.random.uniform(0.5, 1.5) * pause)
            consumer.close(flow)

    async def flow_each(self, consumer, route, pause):
        """Opens a flow for each request."""
        async def attempt():
            sent = time.monotonic()
            flow = await consumer.open(route)
            outcome = await consumer.request(flow) if flow else "not opened"
            self.note(route.service, outcome, sent)
            if flow:
                consumer.close(flow)
        while True:
            self.tasks.append(asyncio.ensure_future(attempt()))
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * pause)

    async def begin(self):
        self.server = await asyncio.start_server(self.store.serve, self.store_host, self.store_port, limit=1 << 22)
        for balancer in self.balancers:
            balancer.write_settings()
        for balancer in self.balancers:
            balancer.spawn()
            self.tasks += [asyncio.ensure_future(balancer.supervise()), asyncio.ensure_future(balancer.check_ready())]

    async def until_ready(self, limit=15):
        end = time.monotonic() + limit
        while not all(balancer.in_rotation for balancer in self.balancers):
            if time.monotonic() > end:
                raise RuntimeError("the site did not become ready")
            await asyncio.sleep(0.1)

    async def add_deployment(self, layout, **configuration):
        """Starts the machines and targets of a small deployment and waits until the machines are in rotation."""
        self.zones = [zone.name for zone in layout.zones]
        for zone in layout.zones:
            for _ in range(zone.machines):
                self.add_balancer(zone.name)
        for name, service, kind in layout.routes:
            self.add_route(name, service, kind)
        self.configure(**configuration)
        for zone in layout.zones:
            for (service, work), count in zip(layout.services, zone.targets):
                for _ in range(count):
                    await self.add_target(service, zone.name, work=work)
        await self.begin()
        await self.until_ready()

    async def add_consumers(self, per_zone):
        for zone in self.zones:
            for _ in range(per_zone):
                consumer = Consumer(self, self.address(3, len(self.consumers) + 1), zone)
                await consumer.start()
                self.consumers.append(consumer)

    def start_load(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    def check_recovery(self, fault_at, back_at, until):
        """RECOVER: of the requests sent later than recover_s after the machines are back, a quarter is served."""
        before, _ = self.served_share(fault_at - 4, fault_at)
        after, count = self.served_share(back_at + RECOVER_SECONDS, until)
        self.record(f"served {before:.3f} of the requests in the 4 s before the fault, {after:.3f} of {count} requests "
                    f"that were sent {RECOVER_SECONDS:.0f} s after the machines were back and later")
        if before >= 0.25 and count and after < 0.25:
            self.fail("RECOVER", f"{after:.3f} of {count} requests were served, {before:.3f} before the fault; "
                                 f"processes over the memory limit or ended by themselves: "
                                 f"{sum(balancer.own_ends for balancer in self.balancers)}")

    def served_share(self, since, until, service=None):
        chosen = [outcome for sent, name, outcome in self.results if since <= sent < until and service in (None, name)]
        return sum(outcome == "served" for outcome in chosen) / max(1, len(chosen)), len(chosen)

    def end(self):
        for task in self.tasks:
            task.cancel()
        for balancer in self.balancers:
            if balancer.process and balancer.process.poll() is None:
                balancer.process.kill()
                balancer.process.wait()
        self.record(f"end: {self.counts}, {len(self.failures)} observations of a broken rule")


# The places, machines, targets and mean work of two small deployments, from their site files.
RBG_BALANCEO = Layout(
    zones=[Zone("gt-central-a", 2, (5, 2)), Zone("gt-central-b", 1, (5, 1)), Zone("gt-central-c", 1, (4, 1))],
    services=[("intake", 0.025), ("labels", 0.005)],
    routes=[("bag-log", "intake", "unsafe"), ("route-sheet", "labels", "download")])
TARIMAS_QUITO = Layout(
    zones=[Zone("centro", 2, (4, 1)), Zone("carolina", 1, (4, 1)), Zone("sur", 1, (3, 1)), Zone("valles", 1, (3, 1))],
    services=[("agenda", 0.018), ("avisos", 0.005)],
    routes=[("reserva", "agenda", "unsafe"), ("cartel", "avisos", "download")])


def check_drain(site):
    """DRAIN: opens that reach a target later than drain_ms after the store accepted its report that it drains."""
    for target in site.targets:
        for arrived, sent, _, sender in target.opens:
            if target.drained and arrived - target.drained > DRAIN_SECONDS:
                site.fail("DRAIN", f"{target.id} took an open {arrived - target.drained:.1f} s after its report, "
                                   f"through {sender}")


def check_cold_rate(site, per_second, cold_over=1.5, cold_slack=5):
    """FAILBACK: opens that a cold target took within one second, all sent and arrived inside that second."""
    limit = per_second * cold_over + cold_slack
    worst = 0
    for target in site.targets:
        opens = [(arrived, sent) for arrived, sent, is_cold, _ in target.opens if is_cold]
        for start in [sent for _, sent in opens]:
            inside = sum(1 for arrived, sent in opens if start <= sent and arrived < start + 1)
            worst = max(worst, inside)
            if inside > limit:
                site.fail("FAILBACK", f"{target.id} took {inside} opens in one second while cold, more than {limit}")
                break
    site.record(f"most opens of a cold target in one second: {worst}, allowed {limit}")
    return worst


def main(case_folder, scenario, rule):
    """Plays the scenario. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        site = Site(case_folder, trouble)
    except OSError as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2

    async def play():
        try:
            await asyncio.wait_for(scenario(site), 110)
        finally:
            site.end()
            await asyncio.sleep(0.05)

    if not (ROOT / "target" / "bin" / "chicorytally-platform").exists():
        print("target/bin/chicorytally-platform is missing; run the build of the deploy file", file=sys.stderr)
        return 2
    try:
        asyncio.run(play())
    except (RuntimeError, OSError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2
    finally:
        site.record_file.close()
        if "KEEP_LOGS" in os.environ:
            print(f"logs of the balancers are in {site.folder}")
        else:
            shutil.rmtree(site.folder, ignore_errors=True)
    broken = [text for name, text in site.failures if name == rule]
    others = [(name, text) for name, text in site.failures if name != rule]
    print(f"{rule}: {'broken' if broken else 'held'} ({len(broken)} observations), {site.counts}, trouble={int(trouble)}")
    for text in broken[:3]:
        print(f"  {text}")
    for name, text in others[:3]:
        print(f"  also {name}: {text}")
    if not site.counts["answered"]:
        print("no request was answered at any time", file=sys.stderr)
        return 2
    return 1 if broken else 0
