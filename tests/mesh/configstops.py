"""Failure tests of work in progress while configurations, settings and stops come together."""
import asyncio
import random
import signal
import time

from fleet import ROUTES, route
from harness import check, runs, test

PLAY_S = 7.0
CHANGE_S = 0.12  # between two changes
EXTRA_ROUTES = 300
# the changes, in the order of their numbers; each is drawn many times in a play
LONGER = [route("get", "/get/", "front", timeout=6), route("put", "/put/", "front", "unsafe"),
          route("leaf", "/leaf/", "back", timeout=5), route("up", "/up/", "back", "unsafe", timeout=6)]
SHORTER = [route("get", "/get/", "front", timeout=2), route("put", "/put/", "front", "unsafe"),
           route("leaf", "/leaf/", "back", timeout=2), route("up", "/up/", "back", "unsafe", timeout=2)]
DROPPED = [r for r in ROUTES if r["name"] != "leaf"]
MOVED = [r for r in ROUTES if r["name"] != "leaf"] + [
    route("leaf", "/leaf/", {"back": 0, "front": 1})]
LARGE = ROUTES + [route(f"more{i}", f"/more{i}/", "back") for i in range(EXTRA_ROUTES)]
CHANGES = [ROUTES, LONGER, SHORTER, DROPPED, MOVED, LARGE]


class Play:
    """Callers on kept connections, and a series of changes beside them."""

    def __init__(self, f, seed):
        self.f, self.random, self.version, self.bad, self.ended = f, random.Random(seed), 1, [], 0
        self.until = time.monotonic() + PLAY_S
        self.stopped = {}  # node -> time of its SIGTERM

    async def work(self, s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(int(rid.split("-")[0]) / 1000)

    async def caller(self, node, number):
        c, n = node.caller(), 0
        while time.monotonic() < self.until:
            n += 1
            rid = f"{self.random.choice((20, 150, 600))}-{number}-{n}"
            method, target = self.random.choice((("GET", "/leaf/1"), ("POST", "/up/1"),
                                                 ("PUT", "/put/1"), ("GET", "/get/1")))
            sent = time.monotonic()
            try:
                a = await c.ask(method, target, rid, body=b"x" if method != "GET" else b"",
                                deadline=5000)
                self.judge(rid, target, a.status, a.whole)
                if a.head.get("connection") == "close":
                    c.close()
            except ConnectionRefusedError:
                await asyncio.sleep(0.05)
            except (OSError, asyncio.IncompleteReadError) as e:
                if runs(self.f, rid):
                    self.bad.append((rid, type(e).__name__, round(time.monotonic() - sent, 3)))
                c.close()

    def judge(self, rid, target, status, whole):
        """A request of this play fits its time: it is served, or refused and not executed."""
        self.ended += 1
        gone = status == 404 and target == "/leaf/1"
        if status == 200 and whole or gone:
            return
        if status not in (503, 429) or runs(self.f, rid):
            self.bad.append((rid, status, whole, runs(self.f, rid)))

    async def changes(self, stops):
        while time.monotonic() < self.until - 1:
            node = self.random.choice(self.f.all())
            what = self.random.random()
            if what < 0.35 and node.proc.poll() is None:
                node.signal(signal.SIGHUP)
            elif what < 0.9:
                self.version += 1
                self.f.store.put("op/config", self.f.document(self.version,
                                                              self.random.choice(CHANGES)))
            elif stops and node not in self.stopped and len(self.stopped) < 2:
                self.stopped[node] = time.monotonic()
                node.signal(signal.SIGTERM)
            await asyncio.sleep(CHANGE_S)


async def play(f, seed, stops):
    p = Play(f, seed)
    for n in f.all():
        n.server.behave = p.work
    callers = [p.caller(n, f"{i}.{k}") for i, n in enumerate(f.all()) for k in range(8)]
    await asyncio.gather(p.changes(stops), *callers)
    check(p.ended > 300, p.ended)
    check(not p.bad, (len(p.bad), p.ended, p.bad[:5]))


@test({"front": 2, "back": 2}, slots=64)
async def test_changes_end_no_work_in_progress(f):
    """Guards against requests that a changed configuration or SIGHUP ends while servers work."""
    await play(f, 1, False)


@test({"front": 2, "back": 3}, slots=64)
async def test_changes_beside_stops_end_no_work(f):
    """Guards against the same while two of the nodes stop."""
    await play(f, 2, True)
