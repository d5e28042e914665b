"""Failure tests of servers that answer with bytes that never end, until the caller closes."""
import asyncio
import time

from fleet import route, until
from harness import check, test
from standin import ENDLESS

RULES = [route("get", "/get/", "back", timeout=5, target=2),
         route("put", "/put/", "back", "unsafe", timeout=5, target=2),
         route("up", "/up/", "back", "upload", timeout=30, target=2),
         route("other", "/other/", "front")]
# an answer with a body that is framed correctly is passed on until the deadline
PASSED_ON = ("endless-chunks", "endless-body")
CLOSED_S = 1.0
BYTES_MAX = 4 << 20  # what the buffers of the sockets hold, and what a node reads
GROWTH_MAX_KB = 8192


async def others_served(f, until_done):
    """Sends other requests through the node beside the faulty server; the longest wait in s."""
    longest, n = 0, 0
    while not until_done():
        n += 1
        begin = time.monotonic()
        a = await f.nodes["back"][0].caller().ask("GET", "/other/", f"other{begin}")
        check(a.status == 200, a)
        longest = max(longest, time.monotonic() - begin)
        await asyncio.sleep(0.02)
    return longest


async def send_all(f, kind, deadline):
    """Sends one request of each kind, the first attempt of which meets the faulty server."""
    node, faulty = f.nodes["back"][0], f.nodes["back"][0].server

    async def bad(s, head, rid, stage):
        return kind if stage == "run" and rid.startswith(kind) else None
    faulty.behave = bad
    before = node.rss_kb()
    done = []

    async def one(method, path):
        rid = f"{kind}{path[1:3]}{deadline}"
        a = await node.caller().ask(method, path, rid, body=b"b" if method == "POST" else b"",
                                    deadline=deadline, timeout=deadline / 1000 + 3)
        done.append(a)
        return rid, a
    paths = [("GET", "/get/1"), ("POST", "/put/1"), ("POST", "/up/1")]
    answers, longest = await asyncio.gather(
        asyncio.gather(*[one(*p) for p in paths]),
        others_served(f, lambda: len(done) == len(paths)))
    check(longest < 0.5, f"{kind}: another request waited {longest:.2f} s")
    check(node.rss_kb() - before < GROWTH_MAX_KB, f"{kind}: {node.rss_kb() - before} KB more")
    return answers


def check_answer(kind, rid, a):
    if kind == "endless-after":
        check(a.status == 200 and a.body == b"body", (rid, a))
    elif kind == "endless-rejection":
        check(a.status == 503, (rid, a))
    elif kind in PASSED_ON or kind == "endless-trailers":
        check(not a.whole or a.status == 502, (rid, a))
    else:
        check(b"xxxx" not in a.body and (not a.whole or a.status == 502), (rid, a))


@test({"front": 1, "back": 1}, rules=RULES)
async def test_endless_answer_is_closed_early(f):
    """Guards against a request that reads bytes that are no answer until its deadline, at the cost
    of the memory and the time of all others."""
    for kind in (k for k in ENDLESS if k not in PASSED_ON):
        for rid, a in await send_all(f, kind, 4000):
            check_answer(kind, rid, a)
        sent = [e for e in f.nodes["back"][0].server.endless if e[0].startswith(kind)]
        check(sent, f"{kind}: no request met the faulty server")
        for rid, size, took in sent:
            check(took < CLOSED_S, f"{rid}: closed by the node after {took:.2f} s only")
            check(size < BYTES_MAX, f"{rid}: {size} bytes were taken")


@test({"front": 1, "back": 1}, rules=RULES)
async def test_endless_body_ends_at_the_deadline(f):
    """Guards against a body without end that fills the node's memory or looks complete when it is
    cut at the deadline."""
    for kind in PASSED_ON:
        for rid, a in await send_all(f, kind, 1000):
            if any(r == rid for r, _, _ in f.nodes["back"][0].server.endless):
                check_answer(kind, rid, a)
    for rid, _, took in f.nodes["back"][0].server.endless:
        check(took < 1.5, f"{rid}: closed after {took:.2f} s")


@test({"front": 1, "back": 1}, rules=RULES)
async def test_endless_answer_to_a_health_check(f):
    """Guards against a health check whose answer is read without end."""
    server, node = f.nodes["back"][0].server, f.nodes["back"][0]
    server.says = ["Server-Limit: 0"]  # from then on its health is checked every 1.5 s
    await node.caller().ask("GET", "/get/1", "limit", deadline=1000)
    await until(lambda: server.checks, bool)
    before = node.rss_kb()
    for kind in ENDLESS:
        server.endless_checks, first = kind, len(server.endless)
        await until(lambda: server.endless[first:], bool)
        _, size, took = server.endless[first]
        check(took < CLOSED_S and size < BYTES_MAX, f"{kind}: {size} bytes in {took:.2f} s")
    check(node.rss_kb() - before < GROWTH_MAX_KB, f"{node.rss_kb() - before} KB more")


@test({"front": 1, "back": 2}, rules=RULES)
async def test_server_with_endless_answers_gets_less_work(f):
    """Guards against a faulty server that looks fast, as its answers are given up early, and draws
    the requests of its service."""
    first, second = [n.server for n in f.nodes["back"]]

    async def bad(s, head, rid, stage):
        return "endless-interim" if stage == "run" else None
    first.behave = bad
    node, failed = f.nodes["front"][0], 0
    for i in range(60):
        a = await node.caller().ask("GET", "/get/1", f"w{i}", deadline=3000)
        check(a.status in (200, 502), (i, a))
        failed += a.status != 200
    await asyncio.sleep(1.2)  # until the metrics page shows it
    denied = await node.metric("lw_retries_denied_total")
    check(failed <= denied, f"{failed} lookups failed, {denied} retries were denied")
    check(len(first.ran) < len(second.ran) / 4, (len(first.ran), len(second.ran)))
