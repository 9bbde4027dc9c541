"""Packets of the platform, as the soak's callers and upstreams write them."""

import dataclasses
import struct
import zlib

HEADER = struct.Struct(">4sHH4sIHIIBBI")
SYN, ACK, FIN, RST = 64, 8, 1, 2


@dataclasses.dataclass
class Packet:
    dst: str
    dport: int
    src: str
    sport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    sum: int | None = None
    # Address that the datagram came from.
    sender: str = ""

    def checksum(self) -> int:
        """Covers all that balancers must not change; never 0, which marks their own resets."""
        parts = (self.dst, self.dport, self.src, self.sport, self.flags, self.seq, self.ack, self.data)
        return zlib.crc32(repr(parts).encode()) | 1

    def encode(self) -> bytes:
        checksum = self.checksum() if self.sum is None else self.sum
        head = HEADER.pack(address(self.dst), self.dport, self.sport, address(self.src), self.echo, len(self.data),
                           self.seq & 0xFFFFFFFF, self.ack & 0xFFFFFFFF, self.flags, 0, checksum)
        return head + self.data


def address(text: str) -> bytes:
    return bytes(int(part) for part in text.split("."))


def decode(datagram: bytes) -> Packet:
    dst, dport, sport, src, echo, length, seq, ack, flags, _, checksum = HEADER.unpack_from(datagram)
    data = datagram[HEADER.size:]
    if len(data) != length:
        raise ValueError(f"{len(data)} bytes of data, the header says {length}")
    return Packet(".".join(map(str, dst)), dport, ".".join(map(str, src)), sport, flags, seq, ack, echo, data, checksum)
