"""Failure tests of planned stops beside long, slow and held work, judged by the clauses of LOST."""
import asyncio
import os
import random
import signal
import time

from fleet import route
from harness import check, test
from losses import Event, Request, at_work, judge

SEED = int(os.environ.get("LATE_SEED", "1"))
RULES = [route("order", "/order/", "back", "unsafe", timeout=20, target=2),
         route("read", "/read/", "back", timeout=20, target=2),
         route("up", "/up/", "back", "upload", timeout=20, target=2)]


class History:
    """What callers, servers and the operator saw in one play; @lasts gives the seconds of a run."""

    def __init__(self, f, lasts):
        self.f, self.lasts = f, lasts
        self.requests, self.events, self.tasks, self.count = {}, [], [], 0
        self.random = random.Random(SEED)
        self.start = time.monotonic()
        for n in f.all():
            n.server.behave = self.behave

    def now(self):
        return time.monotonic() - self.start

    async def behave(self, server, head, rid, stage):
        r = self.requests.get(rid)
        if not r:
            return
        r.at = next(n.ip for n in self.f.all() if n.server is server)
        if stage == "head":
            r.passed_on = self.now()
            return
        r.began, r.done = self.now(), None
        await asyncio.sleep(self.lasts(rid))
        r.done = self.now()

    async def request(self, node, method, target, body_s, deadline):
        self.count += 1
        rid = f"{target.split('/')[1]}-{self.count}"
        r = Request(rid, node.ip, self.now(), None, 0, self.now() + deadline)
        c = node.caller()
        try:
            await c.open()
        except OSError:
            return  # nothing was sent
        self.requests[rid] = r
        size = 20 if method == "POST" else 0
        try:
            await c.raw((f"{method} {target} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {rid}\r\n"
                         f"X-Deadline-Ms: {deadline * 1000:.0f}\r\nContent-Length: {size}\r\n\r\n"
                         ).encode())
            for _ in range(size):
                if body_s:
                    await asyncio.sleep(body_s / size)
                await c.raw(b"x")
            r.whole = self.now()
            a = await c.answer(deadline + 1)
            r.status, r.complete = a.status, a.whole
            r.own = a.head.get("x-server-stamp") is None
        except (OSError, asyncio.IncompleteReadError):
            pass
        r.ended = self.now()
        c.close()

    def send(self, node, method="POST", target="/order/1", body_s=0, deadline=19):
        self.tasks.append(asyncio.ensure_future(
            self.request(node, method, target, body_s, deadline)))

    async def steadily(self, node, until_s, per_s, **kwargs):
        while self.now() < until_s:
            self.send(node, **kwargs)
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / per_s)

    async def ends(self):
        await asyncio.gather(*self.tasks)
        self.tasks = []

    async def stopping(self, node, at_s):
        await asyncio.sleep(at_s - self.now())
        node.signal(signal.SIGTERM)
        self.events.append(Event("term", node.ip, self.now()))
        while node.proc.poll() is None:
            await asyncio.sleep(0.02)
        self.events.append(Event("exit", node.ip, self.now() - 0.02))

    def stop(self, node, at_s):
        self.tasks.append(asyncio.ensure_future(self.stopping(node, at_s)))

    def verdict(self, strict=False):
        """Checks all clauses; prints what ended how, from the first SIGTERM on. @strict: also that
        no exit cuts a request off at its server, which LOST excuses at the end of the grace."""
        requests = list(self.requests.values())
        since = min((e.at for e in self.events if e.kind == "term"), default=0)
        kinds = {}
        for r in requests:
            kind = r.status or 0
            kinds.setdefault(kind, []).append(round(r.sent - since, 2))
        print("  ", {k: (len(v), min(v), max(v)) for k, v in sorted(kinds.items())}, flush=True)
        found = judge(requests, self.events)
        check(not found, [(c, self.requests[rid]) for c, rid in found[:4]] + [len(found)])
        cut = [r for r in requests if r.status != 200 and at_work(r, r.ended)]
        check(not strict or not cut, [len(cut)] + cut[:3])
        ran = [r for r in requests if r.status == 503 and r.began is not None]
        check(not ran, ran[:3])


async def warm(h, node, seconds, n=40, target="/order/1"):
    """Makes a kind of work known by @n runs."""
    lasts, h.lasts = h.lasts, lambda rid: seconds(rid) if callable(seconds) else seconds
    for _ in range(n):
        h.send(node, target=target)
    await h.ends()
    h.lasts = lasts


async def one_machine_stops(f, known):
    """Orders of 4 to 6 s at a service of two; the machine that takes them stops."""
    entry = f.nodes["back"][0]
    h = History(f, lambda rid: h.random.uniform(4, 6))
    if known:
        await warm(h, entry, h.lasts)
    h.start = time.monotonic() + 1
    h.stop(entry, 0)
    await h.steadily(entry, 6, 8)
    await h.ends()
    h.verdict(strict=known)


@test({"back": 2}, slots=64, rules=RULES)
async def test_late_long_orders_of_a_known_kind(f):
    """Guards against orders that are taken late in the grace period and cut at its end."""
    await one_machine_stops(f, True)


@test({"back": 2}, slots=64, rules=RULES)
async def test_late_long_orders_of_an_unknown_kind(f):
    """As above, for a kind of which nothing is known."""
    await one_machine_stops(f, False)


async def other_stops(f, known, deadline=19):
    """Orders of 4 to 6 s; the machine beside one of the two servers stops, not the entry."""
    entry = f.nodes["front"][0]
    h = History(f, lambda rid: h.random.uniform(4, 6))
    if known:
        await warm(h, entry, h.lasts)
    h.start = time.monotonic() + 0.1
    h.stop(f.nodes["back"][0], 0)
    await asyncio.sleep(0.12)
    await h.steadily(entry, 6, 8, deadline=deadline)
    await h.ends()
    h.verdict()


@test({"front": 1, "back": 2}, slots=64, rules=RULES)
async def test_long_orders_beside_the_stop_of_a_server(f):
    """Guards against orders that are cut by the exit of the machine beside their server."""
    await other_stops(f, True)


@test({"front": 1, "back": 2}, slots=64, rules=RULES)
async def test_unknown_long_orders_beside_the_stop_of_a_server(f):
    """As above, for a kind of which nothing is known."""
    await other_stops(f, False)


async def slow_uploads(f, stops):
    h = History(f, lambda rid: h.random.uniform(0.1, 0.9))
    entry = f.nodes["front"][0]
    h.start = time.monotonic() + 0.1
    h.stop(f.nodes[stops][0], 0)
    await asyncio.sleep(0.1)
    for i in range(20):
        begin = h.random.uniform(0.1, 2.7)
        asyncio.get_event_loop().call_later(begin, lambda b=begin: h.send(
            entry, target="/up/1" if h.random.random() < 0.5 else "/order/1",
            body_s=5.6 - b - h.random.uniform(0, 0.5)))
    await asyncio.sleep(3)
    await h.ends()
    h.verdict(strict=True)


@test({"front": 1, "back": 1}, slots=64, rules=RULES)
async def test_upload_whole_just_before_the_exit(f):
    """Guards against an upload that is passed on to its end just before its machine exits."""
    await slow_uploads(f, "front")


@test({"front": 1, "back": 1}, slots=64, rules=RULES)
async def test_upload_whole_just_before_the_server_side_exit(f):
    """As above, at the exit of the machine beside the server."""
    await slow_uploads(f, "back")


async def queued(f, known, says=()):
    """Orders wait at a server, for a slot or for its rate limit, while its machine stops."""
    entry, busy = f.nodes["front"][0], f.nodes["back"][0]
    busy.server.says = list(says)
    h = History(f, lambda rid: h.random.uniform(0.6, 1.2))
    if known:
        await warm(h, entry, 0.9, 30)
    h.start = time.monotonic() + 0.5
    h.stop(busy, 0)
    for _ in range(14):
        h.send(entry)
    await h.steadily(entry, 5.8, 8)
    await h.ends()
    h.verdict()


@test({"front": 1, "back": 1}, slots=2, rules=RULES)
async def test_queue_at_a_stopping_machine(f):
    """Guards against orders that leave the queue so late that the exit cuts them off."""
    await queued(f, True)


@test({"front": 1, "back": 1}, slots=2, rules=RULES)
async def test_queue_of_an_unknown_kind_at_a_stopping_machine(f):
    """As above, for a kind of which nothing is known."""
    await queued(f, False)


@test({"front": 1, "back": 1}, slots=16, rules=RULES)
async def test_rate_limit_at_a_stopping_machine(f):
    """As above, where the rate limit that the server announces holds the orders."""
    await queued(f, False, ["Server-Limit: 3"])


async def slowed(f, young):
    """A server becomes 4 to 12 times slower after it took work; its machine stops."""
    entry, busy = f.nodes["front"][0], f.nodes["back"][0]
    factor = {}
    h = History(f, lambda rid: 0.4 * factor.get("x", 1))
    if not young:
        await warm(h, entry, 0.4)
    h.start = time.monotonic() + 0.3
    h.stop(busy, 0)
    factor_at = h.random.uniform(-0.2, 2.5)
    asyncio.get_event_loop().call_later(
        0.3 + factor_at, lambda: factor.update(x=h.random.uniform(4, 12)))
    await h.steadily(entry, 5.8, 10)
    await h.ends()
    h.verdict()


@test({"front": 1, "back": 2}, slots=64, rules=RULES)
async def test_server_slows_down_beside_a_stop(f):
    """Guards against orders cut by the exit beside a server that became slow."""
    await slowed(f, False)


@test({"front": 1, "back": 2}, slots=64, rules=RULES)
async def test_young_processes_at_a_slow_server(f):
    """As above, where sender and receiver have seen no work of the kind."""
    await slowed(f, True)


@test({"front": 1, "back": 1}, slots=64, rules=RULES)
async def test_server_slows_down_late_in_the_grace(f):
    """Guards against orders that are taken later than 3 s after SIGTERM by what their kind has
    lasted, and cut by the exit because their server has become slow: a request whose answer is
    lost keeps the node from exiting earlier."""
    entry, busy = f.nodes["front"][0], f.nodes["back"][0]
    factor = {}
    h = History(f, lambda rid: 30 if rid.startswith("read") else 0.4 * factor.get("x", 1))
    await warm(h, entry, 0.4)
    h.start = time.monotonic() + 0.2
    h.send(entry, "GET", "/read/1", deadline=5)
    h.stop(busy, 0)
    slow_at = h.random.uniform(3.05, 4.2) - h.now()
    asyncio.get_event_loop().call_later(
        slow_at, lambda: factor.update(x=h.random.uniform(4, 12)))
    await h.steadily(entry, 5.8, 10)
    await h.ends()
    h.verdict()
