"""Stand-ins for the platform around a proxy: the store, backend servers and callers,
on loopback and in one event loop, with the faults that the failure tests need."""
import asyncio
import base64
import json
import time
import urllib.parse


class Store:
    """The platform's metadata store: reads, paged ranges and watches."""

    def __init__(self, page=50):
        self.items = {}
        self.revision = 1
        self.log = []
        self.oldest = 0
        self.page = page
        self.mode = "ok"  # ok, silent, 503, 429, reset
        self.refused = set()  # IP addresses that get 503
        self.failing = {}  # IP address -> mode of the store for it alone
        self.turned_away = 0  # calls that failed because of the caller's address
        self.turned_away_from = set()  # these addresses
        self.watching = {}  # IP address -> connections on which a watch waits
        self.hide_beats = False  # a write that changes nothing is not shown to readers
        self.last_caller = None  # IP address of the last call that was answered
        self.calls = 0
        self.changed = asyncio.Event()
        self.era = 7

    def copy(self):
        return dict(self.items), self.revision, list(self.log)

    def restore(self, copy):
        """Restores the store from a copy: later writes are lost, and their revisions are
        assigned again."""
        self.items, self.revision, self.log = dict(copy[0]), copy[1], list(copy[2])
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, ip, port):
        self.addr = f"{ip}:{port}"
        self.server = await asyncio.start_server(self.serve, ip, port)

    def put(self, key, value):
        old = self.items.get(key)
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        text = base64.b64encode(data).decode()
        if self.hide_beats and old and old["value"] == text:
            return
        self.revision += 1
        item = {"key": key, "value": text,
                "revision": self.revision, "lease": 0,
                "created_rev": old["created_rev"] if old else self.revision}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        self.oldest = self.revision
        self.log = []

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await self.answer(head.split(" ")[1], writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, target, writer):
        self.calls += 1
        peer = writer.get_extra_info("peername")[0]
        mode = "503" if peer in self.refused else self.failing.get(peer, self.mode)
        if peer in self.refused or peer in self.failing:
            self.turned_away += 1
            self.turned_away_from.add(peer)
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode == "reset":
            writer.transport.abort()
            raise ConnectionError
        path, _, query = target.partition("?")
        args = {k: urllib.parse.unquote_plus(v)
                for k, v in (p.split("=", 1) for p in query.split("&") if "=" in p)}
        waiting = self.watching.setdefault(peer, set())
        waiting.add(writer)
        status, body = (int(mode), {}) if mode in ("503", "429") else await self.read(path, args)
        waiting.discard(writer)
        self.last_caller = peer
        data = json.dumps(body).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()

    def cut_watch(self, peer):
        """Resets the connections on which calls of this address wait; counts them."""
        for writer in self.watching.pop(peer, ()):
            self.turned_away += 1
            writer.transport.abort()

    async def read(self, path, args):
        prefix = args.get("path_prefix", "")
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > args.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:self.page]],
                         "truncated": len(keys) > self.page, "store_revision": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(prefix, int(args["after"]), int(args["wait_ms"]) / 1000)
        return 404, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            if after < self.oldest or after > self.revision:
                return 410, {}
            events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Head:
    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.start = lines[0].split(" ", 2)
        self.fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.fields[name.strip().lower()] = value.strip()

    def get(self, name, otherwise=None):
        return self.fields.get(name.lower(), otherwise)


async def read_body(reader, head, answer=False):
    """Returns the whole body; raises IncompleteReadError if it is truncated."""
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return out
            out += data[:-2]
    if head.get("content-length") is not None:
        return await reader.readexactly(int(head.get("content-length")))
    return await reader.read() if answer else b""


FILL = b"x" * 8192
CHUNKED = "Transfer-Encoding: chunked\r\n"
# bytes without end: status line, framing, first bytes and the bytes that are repeated
ENDLESS = {
    "endless-line": (None, "", b"HTTP/1.1 200 ", FILL),
    "endless-field": (None, "", b"HTTP/1.1 200 OK\r\nX-Field: ", FILL),
    "endless-fields": (None, "", b"HTTP/1.1 200 OK\r\n", b"X-Field: x\r\n" * 700),
    "endless-interim": (None, "", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
    "endless-garbage": (None, "", b"", bytes(range(1, 256)) * 32),
    "endless-size": ("200 OK", CHUNKED, b"", b"0" * 8192),
    "endless-extension": ("200 OK", CHUNKED, b"4;", FILL),
    "endless-extensions": ("200 OK", CHUNKED, b"", b"1;" + FILL + b"\r\na\r\n"),
    "endless-trailers": ("200 OK", CHUNKED, b"4\r\nbody\r\n0\r\n", b"X-Field: x\r\n" * 700),
    "endless-after": ("200 OK", "Content-Length: 4\r\n", b"body", FILL),
    "endless-rejection": ("503 X", "X-Not-Executed: 1\r\n", b"", FILL),
    "endless-chunks": ("200 OK", CHUNKED, b"", b"2000\r\n" + FILL + b"\r\n"),
    "endless-body": ("200 OK", "", b"", FILL),
}


class CutAnswer:
    """The first bytes of an answer; then the server closes the connection, or resets it."""

    def __init__(self, data, reset):
        self.data, self.reset = data, reset


class Server:
    """A backend server. The coroutine `behave` is called for each request at the stages
    "head" and "run"; it may sleep, call through the proxy, or return a fault's name."""

    def __init__(self, sid, service, ip, port, zone="zone-a", slots=16):
        self.id, self.service, self.ip, self.port = sid, service, ip, port
        self.zone, self.slots, self.queue = zone, slots, slots
        self.running = 0
        self.free = asyncio.Semaphore(slots)
        self.ran = []  # (time, request id)
        self.heads = {}
        self.cancelled = []
        self.conns = set()
        self.accepted = 0
        self.behave = None
        self.draining = False
        self.leaving = False  # health checks are answered 503
        self.born = None  # start of its process, Unix ms; None: not reported
        self.checks = 0  # health checks answered
        self.endless_checks = None  # kind of bytes without end that answer health checks
        self.mute = False  # health checks get no answer
        self.more_load = ""  # further figures of its load report
        self.says = []  # header lines added to all its answers, also to health checks
        self.copies_sent = 0  # second copies of rejections
        self.endless = []  # (request id, bytes, seconds) of answers without end
        self.copies_421 = False  # whether each answer 421 is sent a second time
        self.names_rejections = True  # whether a rejection has the id of its request
        self.open = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)

    def stop(self):
        self.server.close()
        for w in list(self.conns):
            w.transport.abort()

    def entry(self):
        born = {} if self.born is None else {"born": self.born}
        return {**born, "address": f"{self.ip}:{self.port}",
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": "draining" if self.draining else "ready", "sequence": 1,
                           "cold_remaining_s": 0}}

    async def serve(self, reader, writer):
        self.accepted += 1
        self.conns.add(writer)
        try:
            while await self.one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    async def one(self, reader, writer):
        head = Head(await reader.readuntil(b"\r\n\r\n"))
        rid = head.get("x-request-id", "")
        if head.start[1] == "/health":
            if self.mute:
                await asyncio.sleep(3600)
            self.checks += 1
            if self.endless_checks:
                await self.never_end(writer, rid, self.endless_checks)
            self.write(writer, 503 if self.leaving else 200, rid, b"", [f"X-Instance-Id: {self.id}"])
            return True
        self.send_late_copy(writer)
        if head.get("x-target-instance") not in (None, self.id):
            await read_body(reader, head)
            writer.write(self.rejection(rid, 421))
            if self.copies_421:
                writer.late_copy = self.rejection(rid, 421)
            return True
        fault = await self.behave(self, head, rid, "head") if self.behave else None
        if fault == "shed-cut":
            await read_body(reader, head)
            writer.write(self.rejection(rid).replace(b"Content-Length: 0", b"Content-Length: 9"))
            await writer.drain()
            writer.close()
            raise ConnectionError
        if fault in ("shed", "shed-copied"):
            await read_body(reader, head)
            writer.write(self.rejection(rid))
            if fault == "shed-copied":
                writer.late_copy = self.rejection(rid)
            return True
        if fault == "early":
            self.ran.append((time.monotonic(), rid))
            self.write(writer, 200, rid, b"early")
            await read_body(reader, head)
            return True
        body = await read_body(reader, head)
        async with self.free:
            return await self.run(reader, writer, head, rid, body)

    def rejection(self, rid, status=503):
        named = f"X-Request-Id: {rid}\r\n" if self.names_rejections else ""
        unrun = "X-Not-Executed: 1" if status == 503 else f"X-Instance-Id: {self.id}"
        return (f"HTTP/1.1 {status} X\r\n{named}{unrun}\r\nKeep-Alive: timeout=10\r\n"
                f"X-Server-Load: {self.running},0,{self.slots}{self.more_load}\r\n"
                "Content-Length: 0\r\n\r\n").encode()

    def send_late_copy(self, writer):
        """Sends the second copy of the last rejection where the next answer is expected."""
        copy, writer.late_copy = getattr(writer, "late_copy", None), None
        if copy:
            self.copies_sent += 1
            writer.write(copy)

    async def run(self, reader, writer, head, rid, body):
        self.ran.append((time.monotonic(), rid))
        self.heads[rid] = head
        self.running += 1
        work = asyncio.ensure_future(self.work(head, rid, body))
        gone = asyncio.ensure_future(self.watch_close(reader, work))
        try:
            fault, status, data = await work
        except asyncio.CancelledError:
            self.cancelled.append((time.monotonic(), rid))
            raise ConnectionError
        finally:
            self.running -= 1
            gone.cancel()
        if fault == "hang":
            await self.until_closed(reader)
        return await self.respond(writer, rid, fault, status, data)

    async def watch_close(self, reader, work):
        """Cancels the work when the caller closes its connection."""
        await self.closed(reader)
        work.cancel()

    async def closed(self, reader):
        while not reader.at_eof():
            await asyncio.sleep(0.01)
            if reader._eof or reader.exception():  # no public way to check without reading
                break

    async def until_closed(self, reader):
        """Sends no answer; the slot is free again once the caller has closed the connection."""
        await self.closed(reader)
        raise ConnectionError

    async def work(self, head, rid, body):
        result = await self.behave(self, head, rid, "run") if self.behave else None
        if isinstance(result, tuple):
            return result
        data = f"{self.id} {head.start[0]} {head.start[1]} {len(body)} ".encode() + body[:64]
        return result, 200, data

    def write(self, writer, status, rid, data, extra=(), length=None):
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {rid}", "X-Server-Stamp: st-" + rid,
                 f"X-Server-Load: {self.running},0,{self.slots}{self.more_load}",
                 "Keep-Alive: timeout=10"]
        if length != "none":
            lines.append(f"Content-Length: {len(data) if length is None else length}")
        lines += [*self.says, *extra]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)

    async def never_end(self, writer, rid, kind):
        """Sends the beginning of an answer, then the same bytes until the caller closes."""
        status, framing, first, more = ENDLESS[kind]
        if status:
            head = (f"HTTP/1.1 {status}\r\nX-Request-Id: {rid}\r\nX-Server-Stamp: st-{rid}\r\n"
                    f"{framing}\r\n")
            writer.write(head.encode())
        writer.write(first)
        sent, begin = 0, time.monotonic()
        try:
            while not writer.transport.is_closing():
                writer.write(more)
                sent += len(more)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            pass
        self.endless.append((rid, sent, time.monotonic() - begin))
        raise ConnectionError

    async def respond(self, writer, rid, fault, status, data):
        if fault in ENDLESS:
            await self.never_end(writer, rid, fault)
        if isinstance(fault, CutAnswer):
            writer.write(fault.data)
            await writer.drain()
            (writer.transport.abort if fault.reset else writer.close)()
            raise ConnectionError
        if fault == "lost":
            writer.transport.abort()
            raise ConnectionError
        if fault == "cut":
            self.write(writer, status, rid, data, length=len(data) + 50)
            await writer.drain()
            writer.transport.close()
            raise ConnectionError
        if fault == "unframed":
            self.write(writer, status, rid, data, ["Connection: close"], length="none")
            await writer.drain()
            writer.close()
            raise ConnectionError
        if fault == "unframed-reset":
            self.write(writer, status, rid, data, ["Connection: close"], length="none")
            await writer.drain()
            await asyncio.sleep(0.05)
            import socket
            import struct
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            raise ConnectionError
        if fault == "garbage":
            writer.write(b"\x00\x01not http\r\n\r\n")
            await writer.drain()
            return True
        self.write(writer, status, rid, data)
        if fault == "extra":
            self.write(writer, 200, "someone-else", b"not yours")
        await writer.drain()
        if fault == "late-extra":
            await asyncio.sleep(0.05)
            self.write(writer, 200, "someone-else", b"not yours")
        return True


class Answer:
    def __init__(self, status, head, body, whole):
        self.status, self.head, self.body, self.whole = status, head, body, whole

    def __repr__(self):
        return f"<{self.status} {self.body[:40]!r} whole={self.whole}>"


class Caller:
    """One connection of a caller."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.reader = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, self.port, limit=1 << 20)

    def close(self):
        if self.reader:
            self.writer.transport.abort()
        self.reader = None

    async def raw(self, data):
        if not self.reader:
            await self.open()
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, timeout=10):
        return await asyncio.wait_for(self.read_answer(), timeout)

    async def read_answer(self):
        while True:
            head = Head(await self.reader.readuntil(b"\r\n\r\n"))
            if head.start[1] != "100":
                break
        try:
            body, whole = await read_body(self.reader, head, True), True
        except asyncio.IncompleteReadError as e:
            body, whole = e.partial, False
        return Answer(int(head.start[1]), head, body, whole)

    async def ask(self, method, target, rid, host="h.example", body=b"", deadline=5000,
                  headers=(), chunked=False, timeout=10):
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {rid}"]
        if deadline is not None:
            lines.append(f"X-Deadline-Ms: {deadline}")
        lines += headers
        if chunked:
            lines.append("Transfer-Encoding: chunked")
            parts = [body[i:i + 1000] for i in range(0, len(body), 1000)]
            data = b"".join(f"{len(p):x}\r\n".encode() + p + b"\r\n" for p in parts) + b"0\r\n\r\n"
        else:
            data = body
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
        await self.raw(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        return await self.answer(timeout)
