"""Stand-ins of the platform around real balancer processes: store, upstreams, callers and a proxy in front of the store."""

import asyncio
import base64
import json
import socket
import time
import urllib.parse

from packets import ACK, FIN, RST, SYN, Packet, decode

PACKET_PORT = 18172
HEARTBEAT_SECONDS = 0.6
WORK_SECONDS = 0.03
OPEN_TIMES = (0.2, 0.6, 1.4)
REQUEST_TIMEOUT_SECONDS = 2.5
REPEAT_SECONDS = (0.2, 0.6, 1.4)
HISTORY = 2000


class Store:
    """A revisioned store with listings and watches over HTTP. `refusal` answers all calls with that status."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[str, int]] = {}
        self.events: list[dict] = []
        self.revision = 0
        self.first_event = 1
        self.refusal = 0
        self.changed = asyncio.Event()

    def write(self, key: str, value: dict | None) -> None:
        self.revision += 1
        event = {"key": key, "rev": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["removed"] = True
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = (text, self.revision)
            event["value"] = text
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        self.events.clear()
        self.first_event = self.revision + 1

    async def answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        if self.refusal:
            return self.refusal, {}
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items if key > query.get("after", ""))
            page = [{"key": key, "value": self.items[key][0], "rev": self.items[key][1]} for key in keys[:20]]
            return 200, {"items": page, "has_more": len(keys) > 20, "as_of": self.revision}
        after = int(query["after"])
        if after + 1 < self.first_event:
            return 410, {}
        if after >= self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(), int(query["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if after + 1 < self.first_event:
            return 410, {}
        return 200, {"events": [event for event in self.events if event["rev"] > after], "as_of": self.revision}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                target = urllib.parse.urlsplit(request.split()[1].decode())
                status, body = await self.answer(target.path, dict(urllib.parse.parse_qsl(target.query)))
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class Proxy:
    """Carries one balancer's connections to the store. `mode` is pass, delay, silent, one_way or reset."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.mode = "pass"
        self.writers: set[asyncio.StreamWriter] = set()

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for writer in self.writers:
                writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        inner, outer = asyncio.StreamReader(), _Answers(self, writer)
        self.writers.add(writer)
        serving = asyncio.ensure_future(self.store.serve(inner, outer))
        try:
            while block := await reader.read(65536):
                if self.mode != "silent":
                    inner.feed_data(block)
        except (asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            inner.feed_eof()
            serving.cancel()
            writer.close()


class _Answers:
    """The part of a StreamWriter that the store uses, seen through a proxy."""

    def __init__(self, proxy: Proxy, writer: asyncio.StreamWriter) -> None:
        self.proxy, self.writer = proxy, writer

    def write(self, block: bytes) -> None:
        self.block = block

    async def drain(self) -> None:
        if self.proxy.mode == "delay":
            await asyncio.sleep(0.25)
        if self.proxy.mode not in ("silent", "one_way"):
            self.writer.write(self.block)

    def close(self) -> None:
        self.writer.close()


class Upstream(asyncio.DatagramProtocol):
    """An upstream process: registers itself, takes flows, runs requests."""

    def __init__(self, world, identity: int, service: str, zone: str, host: str, port: int) -> None:
        self.world, self.identity, self.service, self.zone = world, identity, service, zone
        self.host, self.port = host, port
        self.key = f"servers/i-{identity:x}"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.state = "ready"
        self.is_alive = True
        self.draining_since: float | None = None
        self.flows: dict[tuple[str, int], dict] = {}
        self.fillers: list[socket.socket] = []

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, self.port))
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.host, self.port))
        self.listener.listen(64)
        self.announce()

    def announce(self) -> None:
        self.world.store.write(self.key, {
            "service": self.service, "addr": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1", "slots": 4,
            "state": self.state, "warmup_left_ms": 0, "seq": 1, "born": self.born})

    def drain(self) -> None:
        self.state, self.draining_since = "draining", time.monotonic()
        self.announce()

    def stop(self, is_listed: bool = False) -> None:
        self.is_alive = False
        self.transport.close()
        self.listener.close()
        for filler in self.fillers:
            filler.close()
        if not is_listed:
            self.world.store.write(self.key, None)

    def go_dark(self) -> None:
        """Neither packets nor connections get an answer: a full queue of connections drops what follows."""
        self.is_alive = False
        self.listener.listen(0)
        for _ in range(70):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    def datagram_received(self, datagram: bytes, sender: tuple[str, int]) -> None:
        identity, packet = int.from_bytes(datagram[:8], "big"), decode(datagram[8:])
        if packet.sum != packet.checksum():
            self.world.fail("UNASKED", f"{self.key} got a changed packet from {sender[0]}")
        if not self.is_alive or identity not in (0, self.identity):
            return
        peer = (packet.src, packet.sport)
        flow = self.flows.get(peer)
        if packet.flags == SYN:
            self.world.check_open(self, packet, sender[0])
            flow = self.flows.setdefault(peer, {"iss": self.world.random.getrandbits(24), "open": False, "next": 0})
            self.reply(packet, SYN | ACK, flow["iss"], packet.seq + 1)
        elif not flow:
            self.reply(packet, RST, packet.ack, 0)
        elif packet.flags & (FIN | RST):
            self.flows.pop(peer)
            if packet.flags & FIN:
                self.reply(packet, FIN | ACK, packet.ack, packet.seq + 1)
        else:
            flow["open"] = True
            if packet.data:
                self.run(flow, packet)

    def run(self, flow: dict, packet: Packet) -> None:
        request = packet.data.decode()
        if packet.seq < flow["next"]:
            return
        flow["next"] = packet.seq + len(packet.data)
        self.world.ran(request, self)
        answer = f"done {request}".encode()
        loop = asyncio.get_running_loop()
        loop.call_later(WORK_SECONDS, self.reply, packet, ACK, packet.ack, flow["next"], answer)

    def reply(self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        if not self.is_alive or self.transport.is_closing():
            return
        answer = Packet(packet.src, packet.sport, packet.dst, packet.dport, flags, seq, ack, packet.echo, data)
        self.transport.sendto(answer.encode(), (packet.src, PACKET_PORT))


class Caller(asyncio.DatagramProtocol):
    """A caller with flows that carry requests one after the other."""

    def __init__(self, world, host: str, zone: str) -> None:
        self.world, self.host, self.zone = world, host, zone
        self.next_port = 1024
        self.flows: dict[int, asyncio.Queue] = {}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, PACKET_PORT))

    def datagram_received(self, datagram: bytes, sender: tuple[str, int]) -> None:
        packet = decode(datagram)
        if packet.sum != 0 and packet.sum != packet.checksum():
            self.world.fail("MIXED", f"{self.host} got a changed packet from {sender[0]}")
        if packet.dport in self.flows:
            packet.sender = sender[0]
            self.flows[packet.dport].put_nowait(packet)

    def send(self, flow: dict, flags: int, data: bytes = b"") -> None:
        address = flow["address"]
        packet = Packet(address[0], address[1], self.host, flow["port"], flags, flow["seq"], flow["ack"], flow["echo"], data)
        if node := self.world.route(self.zone, (self.host, flow["port"]) + address):
            self.transport.sendto(packet.encode(), (node, PACKET_PORT))

    async def expect(self, flow: dict, flags: int, data: bytes, times: tuple[float, ...], limit: float) -> Packet | None:
        """Sends a packet and repeats it until an answer or a reset arrives."""
        started, repeats = time.monotonic(), list(times)
        self.send(flow, flags, data)
        while (now := time.monotonic() - started) < limit:
            until = min(repeats[0] if repeats else limit, limit)
            try:
                return await asyncio.wait_for(self.flows[flow["port"]].get(), max(until - now, 0.001))
            except asyncio.TimeoutError:
                if repeats and time.monotonic() - started >= repeats[0]:
                    repeats.pop(0)
                    self.send(flow, flags, data)
        return None

    async def open(self, address: tuple[str, int]) -> dict | None:
        self.next_port += 1
        flow = {"port": self.next_port, "address": address, "seq": self.world.random.getrandbits(24), "ack": 0, "echo": 0}
        self.flows[flow["port"]] = asyncio.Queue()
        answer = await self.expect(flow, SYN, b"", OPEN_TIMES[:2], OPEN_TIMES[2])
        if not answer or answer.flags & RST:
            self.flows.pop(flow["port"])
            return None
        flow.update(seq=flow["seq"] + 1, ack=answer.seq + 1, echo=answer.echo)
        self.send(flow, ACK)
        return flow

    async def request(self, flow: dict, name: str) -> bool:
        data = name.encode()
        answer = await self.expect(flow, ACK, data, REPEAT_SECONDS, REQUEST_TIMEOUT_SECONDS)
        while answer and not answer.data and not answer.flags & RST:
            answer = await self.expect(flow, ACK, data, REPEAT_SECONDS, REQUEST_TIMEOUT_SECONDS)
        if not answer:
            return False
        if answer.flags & RST:
            self.world.check_reset(flow, answer, answer.sender)
            return False
        if answer.data != b"done " + data:
            self.world.fail("MIXED", f"{name} got the answer {answer.data!r}")
        flow.update(seq=flow["seq"] + len(data), ack=answer.seq + len(answer.data), echo=answer.echo)
        self.send(flow, ACK)
        return True

    async def work(self, address: tuple[str, int]) -> None:
        number = 0
        while True:
            if flow := await self.open(address):
                for _ in range(self.world.random.randint(3, 40)):
                    number += 1
                    flow["served"] = await self.request(flow, f"{self.host}:{flow['port']}/{number}")
                    self.world.note(flow["served"])
                    if not flow["served"]:
                        break
                    await asyncio.sleep(self.world.random.uniform(0.02, 0.3))
                self.send(flow, FIN | ACK)
                self.flows.pop(flow["port"])
            else:
                self.world.note(False)
                await asyncio.sleep(0.05)
