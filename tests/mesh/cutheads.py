"""Failure tests of answers that stop in the middle of their head."""
import asyncio

from fleet import route
from harness import check, runs, test
from standin import CutAnswer

# one attempt each: a cut answer is not hidden by a retry
ONE_ATTEMPT = [route("get", "/get/", "front", attempts=1, timeout=9),
               route("leaf", "/leaf/", "back", attempts=1, timeout=9),
               route("up", "/up/", "back", "unsafe", attempts=1, timeout=9)]
FIELDS = "X-Request-Id: {rid}\r\nX-Server-Stamp: st-{rid}\r\n"
HEADS = {
    "length-first": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + FIELDS + "\r\n",
    "length-last": "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 5\r\n\r\n",
    "length-0": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + FIELDS + "\r\n",
    "chunks": "HTTP/1.1 200 OK\r\n" + FIELDS + "Transfer-Encoding: chunked\r\n\r\n",
    "no-length": "HTTP/1.1 200 OK\r\n" + FIELDS + "\r\n",
    "no-content": "HTTP/1.1 204 No Content\r\n" + FIELDS + "\r\n",
    "line-feeds": "HTTP/1.1 200 OK\n" + FIELDS.replace("\r", "") + "Content-Length: 5\n\n",
    "old": "HTTP/1.0 200 OK\r\n" + FIELDS + "\r\n",
    "interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + FIELDS + "\r\n",
    "rejection": "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n" + FIELDS + "Content-Length: 0\r\n\r\n",
}
REQUESTS = (("GET", "/leaf/1"), ("POST", "/up/1"), ("GET", "/get/1"))
AT_ONCE = 12


def cut_plays(reset):
    """Every head, cut at each of its bytes, at a server near and far, as a read and an order."""
    n = 0
    for kind, text in HEADS.items():
        for at in range(len(text.format(rid="c0000"))):
            rid = f"c{n:04}"
            n += 1
            yield REQUESTS[n % len(REQUESTS)], rid, kind, at, CutAnswer(
                text.format(rid=rid).encode()[:at], reset)


async def play_cuts(f, reset):
    node = f.nodes["front"][0]
    plays = list(cut_plays(reset))
    cuts = {rid: cut for _, rid, _, _, cut in plays}
    bad = []

    async def cut_head(s, head, rid, stage):
        return cuts.get(rid) if stage == "run" else None
    for n in f.all():
        n.server.behave = cut_head

    async def one(request, rid, kind, at):
        good = await node.caller().ask(*request, "g" + rid, body=b"x")
        a = await node.caller().ask(*request, rid, body=b"x")
        if good.status != 200 or a.status != 502 or not a.whole or runs(f, rid) != 1:
            bad.append((kind, at, request, good.status, a, runs(f, rid)))

    async def worker():
        while plays:
            request, rid, kind, at, _ = plays.pop()
            await one(request, rid, kind, at)
    await asyncio.gather(*[worker() for _ in range(AT_ONCE)])
    check(not bad, (len(bad), bad[:5]))


@test({"front": 1, "back": 1}, slots=64, rules=ONE_ATTEMPT)
async def test_head_cut_at_each_byte_is_no_answer(f):
    """Guards against a 2xx, framed as whole, for an answer whose head ends with a close."""
    await play_cuts(f, False)


@test({"front": 1, "back": 1}, slots=64, rules=ONE_ATTEMPT)
async def test_head_reset_at_each_byte_is_no_answer(f):
    """Guards against the same for a head that ends with a reset."""
    await play_cuts(f, True)


@test({"front": 1, "back": 1})
async def test_cut_head_of_the_store_is_no_document(f):
    """Guards against a configuration or server list taken from a store's answer without its end."""
    node, store = f.nodes["front"][0], f.store
    whole = store.answer
    cut_at = [0]

    async def cut(target, writer):
        text = (f"HTTP/1.1 200 X\r\nStore-Era: {store.era}\r\nContent-Length: 0\r\n\r\n").encode()
        writer.write(text[:cut_at[0] % (len(text) - 1)])
        cut_at[0] += 1
        await writer.drain()
        writer.close()
        raise ConnectionError
    store.answer = cut
    for n in range(60):
        a = await node.caller().ask("GET", "/leaf/1", f"s{n}")
        check(a.status == 200, (n, cut_at, a))
        await asyncio.sleep(0.1)
    check(cut_at[0], "the store was not asked")
    store.answer = whole
    check((await node.caller().ask("GET", "/leaf/1", "after")).status == 200, "after")
