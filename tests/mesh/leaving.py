"""Failure tests of servers that announce only in their responses that they are leaving."""
import asyncio
import signal
import time

from fleet import until
from harness import check, runs_at, test

SAYS = "Server-Leaving: 1"
DRAIN_S = 2.0
SLACK_S = 0.05  # transit time to the server


class Callers:
    """Callers at some nodes; `told` is when a node first passed on that a server is leaving."""

    def __init__(self, f, nodes, target="/leaf/1", each=4, pause=0.12):
        self.f, self.nodes, self.target = f, nodes, target
        self.each, self.pause = each, pause
        self.sent = {}  # request id -> (time, node)
        self.answers = []  # (time, status)
        self.told = {}  # (node's ip, server's address) -> time
        self.stopping = False

    async def one(self, node, k):
        n = 0
        c = node.caller()
        while not self.stopping:
            n += 1
            rid = f"v{node.ip}-{k}-{n}"
            self.sent[rid] = (time.monotonic(), node)
            try:
                a = await c.ask("GET", self.target, rid)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                c.close()
                c = node.caller()
                await asyncio.sleep(0.1)
                continue
            self.answers.append((time.monotonic(), a.status))
            if a.head.get("server-leaving"):
                by = a.body.split(b" ")[0].decode()
                self.told.setdefault((node.ip, by), time.monotonic())
            await asyncio.sleep(self.pause)

    def late(self, server):
        """For requests that reached the server but were sent after its drain time:
        seconds since their own node had first passed the announcement on."""
        out = []
        for _, rid in server.ran:
            at, node = self.sent.get(rid, (0, None))
            told = self.told.get((node.ip, server.id)) if node else None
            if told and at > told + DRAIN_S + SLACK_S:
                out.append(round(at - told, 2))
        return out

    async def __aenter__(self):
        self.tasks = [asyncio.ensure_future(self.one(n, k))
                      for n in self.nodes for k in range(self.each)]
        await asyncio.sleep(1)
        return self

    async def __aexit__(self, *_):
        self.stopping = True
        await asyncio.gather(*self.tasks)


def work(f, seconds=0.06):
    async def behave(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(seconds)
    for n in f.nodes["back"]:
        n.server.behave = behave


async def until_told(callers, server):
    await until(lambda: [k for k in callers.told if k[1] == server.id], bool)


@test({"front": 3, "back": 4}, slots=4)
async def test_leaving_told_in_answers_alone(f):
    """Guards against sending requests for ever to a server that announces only in its
    responses that it is leaving."""
    work(f)
    server = f.nodes["back"][0].server
    async with Callers(f, f.nodes["front"]) as callers:
        server.says = [SAYS]
        await until_told(callers, server)
        await asyncio.sleep(6)
    late = callers.late(server)
    check(not late, (len(late), max(late, default=0)))
    check(all(s == 200 for _, s in callers.answers), callers.answers)


@test({"front": 3, "back": 4}, slots=4)
async def test_leaving_told_while_the_store_is_silent(f):
    """The same while the store answers no request: an announcement that was passed on
    still holds."""
    work(f)
    server = f.nodes["back"][0].server
    async with Callers(f, f.nodes["front"]) as callers:
        f.store.mode = "silent"
        server.says = [SAYS]
        await until_told(callers, server)
        await asyncio.sleep(5)
    late = callers.late(server)
    check(not late, (len(late), max(late, default=0)))


@test({"front": 3, "back": 4}, slots=4)
async def test_leaving_outlives_the_node_beside_the_server(f):
    """Guards against a restarted node beside a leaving server that knows nothing of the
    announcement and accepts requests for the server."""
    work(f)
    node = f.nodes["back"][0]
    async with Callers(f, f.nodes["front"]) as callers:
        node.server.says = [SAYS]
        await until_told(callers, node.server)
        await asyncio.sleep(1)
        for _ in range(2):
            node.kill()
            await asyncio.sleep(0.3)
            node.start()
            await asyncio.sleep(2)
    late = callers.late(node.server)
    check(not late, (len(late), max(late, default=0)))


@test({"front": 3, "back": 4}, slots=4)
async def test_leaving_outlives_entries_that_say_ready(f):
    """Guards against sending requests to a leaving server again after its entry is
    written again as ready and the store is restored from an older copy."""
    work(f)
    server = f.nodes["back"][0].server
    copy = f.store.copy()
    async with Callers(f, f.nodes["front"]) as callers:
        server.says = [SAYS]
        await until_told(callers, server)
        await asyncio.sleep(1)
        f.store.mode = "reset"
        await asyncio.sleep(1)
        f.store.restore(copy)
        f.store.mode = "ok"
        for _ in range(8):
            f.register(server)
            await asyncio.sleep(0.5)
    late = callers.late(server)
    check(not late, (len(late), max(late, default=0)))


@test({"front": 2, "back": 2}, slots=8)
async def test_leaving_told_by_every_server(f):
    """Guards against sending requests on to the servers of a service because all of
    them are leaving and no other server is there."""
    work(f)
    async with Callers(f, f.nodes["front"]) as callers:
        for n in f.nodes["back"]:
            n.server.says = [SAYS]
        await asyncio.sleep(5)
        said = time.monotonic()
        await asyncio.sleep(1)
    for n in f.nodes["back"]:
        late = callers.late(n.server)
        check(not late, (len(late), max(late, default=0)))
    after = {s for t, s in callers.answers if t > said + 0.5}
    check(after == {503}, after)


@test({"front": 2, "back": 2}, slots=8)
async def test_leaving_ends_with_the_process(f):
    """Guards against a server that left, is restarted under its id, and gets no
    requests because of its former process's announcement."""
    work(f)
    node = f.nodes["back"][0]
    server = node.server
    server.born = 1000
    f.register(server)
    async with Callers(f, f.nodes["front"]) as callers:
        server.says = [SAYS]
        await until_told(callers, server)
        await asyncio.sleep(1)
        server.stop()
        await asyncio.sleep(0.3)
        server.says, server.born = [], 2000
        await server.start()
        f.register(server)
        anew = time.monotonic()
        await until(lambda: any(t > anew for t, _ in server.ran), bool, 2)
        await asyncio.sleep(1)
    check(sum(t > anew for t, _ in server.ran) > 10, "it gets work")


@test({"front": 1, "back": 2}, slots=8)
async def test_leaving_by_older_answers(f):
    """Guards against revoking a server's announcement that it is leaving by a response
    without the header whose request began before the announcement."""
    async def by_id(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(1.5 if rid.startswith("long") else 0.03)
    for n in f.nodes["back"]:
        n.server.behave = by_id
    node = f.nodes["back"][0]
    server = node.server

    async with Callers(f, f.nodes["front"]) as callers:
        ask = f.nodes["front"][0].caller
        longs = [asyncio.ensure_future(ask().ask("GET", "/leaf/1", f"long{i}")) for i in range(6)]
        await until(lambda: any(runs_at(node, f"long{i}") for i in range(6)), bool)
        plain = server.write

        def write(writer, status, rid, data, extra=(), length=None):
            says = [] if rid.startswith("long") else [SAYS]
            plain(writer, status, rid, data, [*extra, *says], length)
        server.write = write
        await until_told(callers, server)
        await asyncio.sleep(4)
        await asyncio.gather(*longs)
    late = callers.late(server)
    check(not late, (len(late), max(late, default=0)))


@test({"front": 2, "back": 3}, slots=4)
async def test_leaving_told_through_a_stop(f):
    """Guards against a stopping node in front that passes the announcement on, and
    sends its last requests to the leaving server."""
    work(f)
    server = f.nodes["back"][0].server
    node = f.nodes["front"][0]
    async with Callers(f, f.nodes["front"]) as callers:
        server.says = [SAYS]
        await until_told(callers, server)
        await asyncio.sleep(0.5)
        node.signal(signal.SIGTERM)
        await asyncio.sleep(4)
    late = callers.late(server)
    check(not late, (len(late), max(late, default=0)))


@test({"front": 2, "back": 3}, slots=8)
async def test_leaving_unknown_to_a_process_started_after_a_copy(f):
    """Guards against a node that starts after the store was restored from a copy that
    lacks a drain, and sends requests to the draining server."""
    work(f)
    node = f.nodes["back"][0]
    copy = f.store.copy()
    f.beats.cancel()  # heartbeats do not write the entries that the copy lacks again
    async with Callers(f, f.all()) as callers:
        node.server.draining, node.server.says = True, [SAYS]
        f.register(node.server)
        await asyncio.sleep(1)
        f.store.mode = "reset"
        await asyncio.sleep(0.6)
        f.store.restore(copy)
        f.store.mode = "ok"
        node.kill()
        node.start()
        anew = time.monotonic()
        callers.told.pop((node.ip, node.server.id), None)  # a restarted node may have forgotten it
        await asyncio.sleep(6)
    late = callers.late(node.server) + [
        round(t - anew, 2) for t, _ in node.server.ran if t > anew + 3 + DRAIN_S]
    check(not late, (len(late), max(late, default=0)))
