"""A stand-in for a node of the version before documents were transferred in chunks: it
receives and sends whole documents. It has only the fields that the tests check."""
import asyncio
import json

import fleet as fl

LOAD, STATUS, CONFIG, SERVERS = 3, 7, 8, 9


def text_of(document):
    return json.dumps(document).encode()


def varint(n):
    out = b""
    while n > 127:
        out += bytes([n & 127 | 128])
        n >>= 7
    return out + bytes([n])


def field(number, value):
    if isinstance(value, bytes):
        return varint(number << 3 | 2) + varint(len(value)) + value
    return varint(number << 3) + varint(value)


def frame(kind, body):
    body = field(kind, body)
    return len(body).to_bytes(4, "big") + body


def fields(data):
    at = 0

    def number():
        nonlocal at
        value = shift = 0
        while True:
            byte = data[at]
            at += 1
            value |= (byte & 127) << shift
            shift += 7
            if byte < 128:
                return value
    while at < len(data):
        tag = number()
        if tag & 7 == 0:
            yield tag >> 3, number()
        else:
            size = {1: 8, 5: 4}.get(tag & 7) or number()
            yield tag >> 3, data[at:at + size]
            at += size


class Peer:
    def __init__(self, ip):
        self.ip, self.config, self.servers, self.statuses = ip, 0, [], 0
        self.revision = 0
        self.news_age_ms = 60000

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, fl.MESH)
        self.writer.write(frame(STATUS, self.status(False)))
        self.task = asyncio.ensure_future(self.run())

    def status(self, is_reply):
        load = field(3, 8) + field(7, self.config)
        return (field(1, int(is_reply)) + field(LOAD, load) + field(4, self.news_age_ms) +
                field(5, self.revision) + field(6, 77) + varint(7 << 3 | 1) + b"\x01\x02\x03\x04\x05\x06\x07\x08")

    async def run(self):
        while True:
            size = int.from_bytes(await self.reader.readexactly(4), "big")
            for kind, body in fields(await self.reader.readexactly(size)):
                self.take(kind, body)

    def take(self, kind, body):
        if kind == CONFIG:
            self.config = dict(fields(body))[1]
        elif kind == SERVERS:
            self.servers = [v for k, v in fields(body) if k == 2]
        elif kind == STATUS:
            self.statuses += 1
            if not dict(fields(body)).get(1):
                self.writer.write(frame(STATUS, self.status(True)))

    async def send_config(self, version, text):
        self.config = version
        self.writer.write(frame(CONFIG, field(1, version) + field(2, text)))
        await self.writer.drain()

    async def tell(self):
        self.writer.write(frame(STATUS, self.status(True)))
        await self.writer.drain()

    def close(self):
        self.task.cancel()
        self.writer.close()
