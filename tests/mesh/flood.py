"""Failure tests of bytes without end from callers, other nodes and the store: what a node buffers for
all of them together stays within its memory, and others are served meanwhile."""
import asyncio
import time

from fleet import CALLERS, MESH, Fleet, route, until
from harness import check, test
from standin import Store

MEMORY_MB = 64
RULES = [route("get", "/get/", "front", timeout=5), route("put", "/put/", "front", "unsafe"),
         route("up", "/up/", "back", "upload", timeout=30, target=15),
         route("wait", "/wait/", "slow", timeout=10, target=8)]


def peak_mb(node):
    with open(f"/proc/{node.proc.pid}/status", encoding="utf-8") as f:
        return next(int(line.split()[1]) / 1024 for line in f if line.startswith("VmHWM"))


async def begin(f, ready=True):
    """Starts the fleet with nodes that have MEMORY_MB."""
    for n in f.all():
        n.settings = lambda n=n, old=n.settings: old().replace("memory_mb = 260",
                                                               f"memory_mb = {MEMORY_MB}")
    await f.start(ready)


async def others_served(node, seconds, done=lambda: False):
    """Sends requests through the node for a while; returns the longest wait in s."""
    longest, end = 0, time.monotonic() + seconds
    while time.monotonic() < end and not done():
        check(node.proc.poll() is None, f"the process ended with {node.proc.returncode}")
        check(peak_mb(node) < MEMORY_MB, f"{peak_mb(node):.0f} MB of {MEMORY_MB}")
        at = time.monotonic()
        a = await node.caller().ask("GET", "/get/1", f"other{at}")
        check(a.status == 200, a)
        longest = max(longest, time.monotonic() - at)
        await asyncio.sleep(0.02)
    return longest


def check_calm(node, longest):
    check(node.proc.poll() is None, f"the process ended with {node.proc.returncode}")
    check(peak_mb(node) < MEMORY_MB, f"{peak_mb(node):.0f} MB of {MEMORY_MB}")
    check(longest < 0.5, f"another request waited {longest:.2f} s")


async def send_without_end(address, data, seconds, first=b""):
    """Sends the same bytes over and over and reads nothing; returns how many were taken."""
    _, w = await asyncio.open_connection(*address)
    w.transport.set_write_buffer_limits(0)
    w.transport.pause_reading()
    sent, end = 0, time.monotonic() + seconds
    try:
        w.write(first)
        while time.monotonic() < end:
            w.write(data)
            await asyncio.wait_for(w.drain(), max(0.01, end - time.monotonic()))
            sent += len(data)
            await asyncio.sleep(0)
    except (OSError, asyncio.TimeoutError):
        pass
    w.transport.abort()
    return sent


@test({"front": 1}, start=False)
async def test_caller_that_pipelines_and_reads_nothing(f):
    """Guards against answers that pile up in the memory of the node, without bound, for a caller that
    sends further requests and reads none of the answers."""
    await begin(f)
    node = f.nodes["front"][0]

    async def answer(s, head, rid, stage):
        return (None, 200, b"a" * 60000) if stage == "run" and not rid.startswith("other") else None
    node.server.behave = answer
    refused = b"GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n" * 200
    served = b"GET /get/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n\r\n" * 20
    late = node.caller()
    await late.open()
    late.writer.transport.pause_reading()
    await late.raw(served * 5)
    longest, *_ = await asyncio.gather(
        others_served(node, 2),
        *[send_without_end((node.ip, CALLERS), data, 2) for data in (refused, served)])
    check_calm(node, longest)
    late.writer.transport.resume_reading()
    for i in range(100):
        a = await late.answer(2)
        check(a.status == 200 and a.whole, f"answer {i} of a caller that reads late: {a}")


def many_kinds(i):
    """Returns what one of many connections sends: part of an upload, requests behind one that lasts, or
    a head without end."""
    head = f" HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: many{i}\r\nX-Deadline-Ms: 9000\r\n"
    if i % 3 == 0:
        return f"POST /up/1{head}Content-Length: 1000000\r\n\r\n".encode() + b"x" * 500000
    if i % 3 == 1:
        return f"GET /wait/1{head}\r\n".encode() + \
            f"GET /none{head}X: {'x' * 8000}\r\n\r\n".encode() * 20
    return f"GET /wait/1{head}X: {'x' * 16000}".encode()


@test({"front": 1, "back": 2, "slow": 1}, start=False, rules=RULES)
async def test_sum_of_what_many_callers_send(f):
    """Guards against a node that runs out of memory, as each of many connections may fill its buffers
    and nothing bounds all of them together."""
    await begin(f)
    node = f.nodes["front"][0]

    async def lasts(s, head, rid, stage):
        await asyncio.sleep(2 if stage == "run" and rid.startswith("many") else 0)
    for n in f.all():
        n.server.behave = lasts
    accepted = node.caller()
    await accepted.raw(b"POST /put/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: accepted\r\n"
                       b"X-Deadline-Ms: 9000\r\nContent-Length: 300000\r\n\r\n")

    async def goes_on():
        await asyncio.sleep(1)
        await accepted.raw(b"x" * 300000)
        a = await accepted.answer(0.8)
        check(a.status == 200, f"an upload that was accepted before: {a}")
    longest, *_ = await asyncio.gather(
        others_served(node, 2), goes_on(),
        *[send_without_end((node.ip, CALLERS), b"", 2, many_kinds(i)) for i in range(900)])
    check_calm(node, longest)


class EndlessStore(Store):
    """A store that answers without end in one way, once `kind` is set."""
    kind = None
    ended = 0  # answers, or series of pages, that the node gave up
    pages = 0

    async def answer(self, target, writer):
        if not self.kind:
            return await super().answer(target, writer)
        if self.kind == "pages":
            return self.one_page(target, writer)
        first, more = {
            "head": (b"HTTP/1.1 200 OK\r\nX-Field: ", b"x" * 8192),
            "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
            "body": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b" " * 65536),
            "extensions": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                           b"1;" + b"x" * 4000 + b"\r\n \r\n"),
            "items": (b"HTTP/1.1 200 OK\r\n\r\n{\"store_revision\": 9, \"items\": [{}",
                      b",{}" * 20000),
        }[self.kind]
        writer.write(first)
        try:
            while not writer.transport.is_closing():
                writer.write(more)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            pass
        self.ended += 1
        raise ConnectionError

    def one_page(self, target, writer):
        """Answers a watch with 410, so that everything is read, and that with ever more pages."""
        if "kv-watch" in target:
            writer.write(b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
            return
        if "after=" not in target and self.pages:
            self.ended, self.pages = self.ended + 1, 0
        self.pages += 1
        items = ",".join(f'{{"key": "other/{self.pages:06}", "value": "{"A" * 90000}"}}'
                         for _ in range(10))
        data = f'{{"store_revision": 9, "truncated": true, "items": [{items}]}}'.encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)


@test({"front": 1}, start=False)
async def test_store_that_answers_without_end(f):
    """Guards against an answer of the store that is read until the memory of the node is used up, or
    for ever, so that the node never hears of a change again."""
    f.store = EndlessStore()
    await begin(f)
    node = f.nodes["front"][0]
    for kind in ("head", "interim", "body", "extensions", "items", "pages"):
        ended, f.store.kind = f.store.ended, kind
        longest = await others_served(node, 4, lambda: f.store.ended > ended)
        check(f.store.ended > ended, f"{kind}: read without end, {peak_mb(node):.0f} MB")
        check_calm(node, longest)
    f.store.kind = None
    f.store.put("op/config", f.document(2, RULES))
    await until(lambda: any("version=2" in line for line in node.logged("E1200")), bool, 4)


@test({"front": 1}, start=False)
async def test_store_that_answers_a_young_node_without_end(f):
    """Guards against a node that has no memory left, or never begins, as the first answer of the
    store that it reads does not end."""
    f.store = EndlessStore()
    f.store.kind = "body"
    await begin(f, False)
    node = f.nodes["front"][0]
    await until(lambda: f.store.ended or peak_mb(node) > MEMORY_MB, bool, 3)
    check(peak_mb(node) < MEMORY_MB, f"{peak_mb(node):.0f} MB of {MEMORY_MB}")
    f.store.kind = None
    await f.until_ready(timeout=3)


@test({"front": 1}, start=False)
async def test_peer_that_asks_without_end_and_reads_nothing(f):
    """Guards against answers to small frames that pile up without bound for a node that asks for
    documents and states over and over and reads nothing."""
    await begin(f)
    node = f.nodes["front"][0]
    fetch, status = (b"\0\0\0\4\x62\2\x08\0" * 2000, b"\0\0\0\2\x3a\0" * 500)
    longest, *_ = await asyncio.gather(others_served(node, 1.2), *[
        send_without_end((node.ip, MESH), data, 1.2) for data in (fetch, status)])
    check_calm(node, longest)


async def upload_in_parts(node, rid):
    """Returns the status of an upload that pauses before its last part, and the seconds it took."""
    c = node.caller()
    begin = time.monotonic()
    await c.raw(f"POST /up/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {rid}\r\n"
                "X-Deadline-Ms: 8000\r\nContent-Length: 12000\r\n\r\n".encode() + b"x" * 8000)
    await asyncio.sleep(0.02)
    await c.raw(b"x" * 4000)
    status = (await c.answer(9)).status
    c.close()
    return status, time.monotonic() - begin


async def fill_for_a_moment(node, number):
    """Sends a part of a large upload and closes 0.2 s later."""
    c = node.caller()
    await c.open()
    c.writer.write(f"POST /big/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: b{number}\r\n"
                   "Content-Length: 9000000\r\n\r\n".encode() + b"x" * 130000)
    await asyncio.sleep(0.2)
    c.close()


@test({"front": 1, "other": 1}, start=False,
      rules=[route("up", "/up/", "front", "upload", timeout=8, target=6),
             route("big", "/big/", "other", "upload", timeout=8, target=6)])
async def test_upload_goes_on_after_a_short_shortage(f):
    """Guards against an accepted upload that is paused while the buffers are short for a moment, and
    never read again: it ends 504 at its deadline."""
    await begin(f)
    node = f.nodes["front"][0]
    node.server.slots = 4

    async def work(s, head, rid, stage):
        await asyncio.sleep(0.05 if stage == "run" else 0)
    node.server.behave = work
    results, end = [], time.monotonic() + 6

    async def uploads(i):
        while time.monotonic() < end:
            results.append(await upload_in_parts(node, f"u{i}.{len(results)}"))
    tasks = [asyncio.ensure_future(uploads(i)) for i in range(20)]
    while time.monotonic() < end:
        await asyncio.gather(*[fill_for_a_moment(node, i) for i in range(90)],
                             return_exceptions=True)
        await asyncio.sleep(0.4)
    await asyncio.gather(*tasks)
    bad = [r for r in results if r[0] not in (200, 503) or r[1] > 2]
    check(not bad and len(results) > 100, (len(bad), len(results), bad[:4]))
