"""Failure tests of servers that announce in their responses how many requests a second
they accept."""
import asyncio
import signal
import time

from fleet import until
from harness import check, lines_with, test

CONTACT_S = 3.0
TOLD_S = 0.5
SPAN_S = 4.0


def allowed(limit):
    return 1.5 * limit * SPAN_S + 5


class Load:
    """Requests at a steady rate from some nodes; the answers to their callers, and
    which nodes passed an announcement on."""

    def __init__(self, f, per_s, nodes=None):
        self.f, self.nodes = f, nodes or f.nodes["front"]
        self.gap = len(self.nodes) / per_s
        self.sent = {}  # request id -> node
        self.answers = {}  # request id -> (time, status, seconds, Retry-After)
        self.told = {}  # (node's ip, server's id) -> time
        self.named = {}  # server's id -> time
        self.tasks = set()

    async def one(self, node, rid):
        c = node.caller()
        begun = time.monotonic()
        self.sent[rid] = node
        try:
            a = await c.ask("GET", "/leaf/1", rid)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.answers[rid] = (time.monotonic(), 0, time.monotonic() - begun, None)
            return
        finally:
            c.close()
            self.f.callers.remove(c)
        now = time.monotonic()
        self.answers[rid] = (now, a.status, now - begun, a.head.get("retry-after"))
        if a.head.get("server-limit"):
            self.told.setdefault((node.ip, a.body.split(b" ")[0].decode()), now)

    async def at(self, node, k):
        n = 0
        due = time.monotonic()
        while True:
            n += 1
            due += self.gap
            await asyncio.sleep(max(0, due - time.monotonic()))
            task = asyncio.ensure_future(self.one(node, f"m{k}-{n}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def name(self, node, limit):
        node.server.says = [f"Server-Limit: {limit}"]
        self.named.setdefault(node.server.id, time.monotonic())

    def worst(self, server, counted=lambda t, rid: True):
        """The largest number of requests in any 4 s from nodes that had passed the limit on."""
        first = self.named[server.id] + CONTACT_S
        times = []
        for t, rid in server.ran:
            node = self.sent.get(rid)
            told = self.told.get((node.ip, server.id)) if node else None
            if t >= first and told and t >= told + TOLD_S and counted(t, rid):
                times.append(t)
        return max((sum(t <= u < t + SPAN_S for u in times) for t in times), default=0)

    def check_worst(self, node, limit):
        got = self.worst(node.server)
        check(got <= allowed(limit), f"{got} requests in {SPAN_S:.0f} s, allowed {allowed(limit)}")
        return got

    def since(self, at):
        """Statuses of the answers since @at."""
        return [s for t, s, _, _ in self.answers.values() if t > at]

    async def __aenter__(self):
        self.running = [asyncio.ensure_future(self.at(n, k)) for k, n in enumerate(self.nodes)]
        await asyncio.sleep(1)
        return self

    async def __aexit__(self, *_):
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.tasks)


def work(f, seconds=0.06):
    async def behave(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(seconds)
    for n in f.nodes["back"]:
        n.server.behave = behave


async def gets_work(server, within):
    at = time.monotonic()
    await until(lambda: sum(t > at for t, _ in server.ran) > 10, bool, within)


@test({"front": 3, "back": 4})
async def test_server_limit_named_by_one_server(f):
    """Guards against a server that announces a limit and gets as many requests as before."""
    work(f)
    node = f.nodes["back"][0]
    async with Load(f, 100) as load:
        load.name(node, 5)
        at = time.monotonic()
        await asyncio.sleep(9)
    load.check_worst(node, 5)
    bad = [s for s in load.since(at) if s != 200]
    check(not bad, f"{len(bad)} refused, though the other servers have room")


@test({"front": 3, "back": 4})
async def test_server_limit_outlives_the_node_beside_the_server(f):
    """Guards against a restarted node beside a limited server that knows of no limit
    and admits all requests."""
    work(f)
    node = f.nodes["back"][0]
    async with Load(f, 100) as load:
        load.name(node, 8)
        await asyncio.sleep(4)
        for _ in range(4):
            node.kill()
            node.start()
            await asyncio.sleep(1.3)
    load.check_worst(node, 8)


@test({"front": 3, "back": 4})
async def test_server_limit_outlives_a_node_that_stands_still(f):
    """Guards against a node beside a limited server that resumes after a pause and
    admits all requests that arrived meanwhile."""
    work(f)
    node = f.nodes["back"][0]
    async with Load(f, 100) as load:
        load.name(node, 5)
        await asyncio.sleep(4)
        for _ in range(2):
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(1)
            node.signal(signal.SIGCONT)
            await asyncio.sleep(1.5)
    load.check_worst(node, 5)


@test({"front": 3, "back": 4})
async def test_server_limit_while_the_store_is_silent(f):
    """The same while the store answers no request."""
    work(f)
    node = f.nodes["back"][0]
    async with Load(f, 100) as load:
        f.store.mode = "silent"
        load.name(node, 8)
        await asyncio.sleep(8)
    load.check_worst(node, 8)


@test({"front": 3, "back": 4})
async def test_server_limit_named_by_every_server(f):
    """All servers of a service announce limits. Guards against serving more than they
    accept, or far less."""
    work(f)
    async with Load(f, 100) as load:
        for n in f.nodes["back"]:
            load.name(n, 8)
        await asyncio.sleep(4)
        at = time.monotonic()
        await asyncio.sleep(8)
    for n in f.nodes["back"]:
        load.check_worst(n, 8)
    after = [a for a in load.answers.values() if a[0] > at]
    served = sum(s == 200 for _, s, _, _ in after) / 8
    refused = [a for a in after if a[1] in (429, 503)]
    others = [s for _, s, _, _ in after if s not in (200, 429, 503)]
    check(served >= 0.9 * 4 * 8, f"{served:.1f} a second served of 32")
    check(not others, others[:5])
    check(refused and all(a[3] for a in refused), "the refused are told when to come back")
    ran = {rid for n in f.nodes["back"] for _, rid in n.server.ran}
    refused_ids = {rid for rid, a in load.answers.items() if a[1] in (429, 503)}
    check(not ran & refused_ids, "answered 503 and ran")
    slow = sorted(a[2] for a in refused)
    check(slow[len(slow) // 2] < 0.25, f"half of the refused waited {slow[len(slow) // 2]:.2f} s")


@test({"front": 2, "back": 2}, slots=8)
async def test_server_limit_ends_with_the_header(f):
    """Guards against a server that announces a limit for a while and never gets more
    requests afterwards."""
    work(f)
    node = f.nodes["back"][0]
    async with Load(f, 100) as load:
        load.name(node, 5)
        await asyncio.sleep(3)
        node.server.says = []
        await gets_work(node.server, 3)


@test({"front": 2, "back": 2}, slots=8)
async def test_server_limit_of_nothing(f):
    """A server accepts no requests for a while. Guards against sending it requests, or
    never trying it again."""
    work(f)
    node = f.nodes["back"][0]
    async with Load(f, 100) as load:
        for limit in ("0", "0.1"):
            load.named.clear()
            load.told.clear()
            load.name(node, limit)
            await asyncio.sleep(8)
            load.check_worst(node, float(limit))
            node.server.says = []
            await gets_work(node.server, 4)


@test({"front": 3, "back": 4})
async def test_server_limit_far_below_what_runs(f):
    """A limit falls from far above to far below the number of requests executed, then
    rises and falls from response to response."""
    work(f)
    node = f.nodes["back"][0]
    async with Load(f, 100) as load:
        load.name(node, 500)
        await asyncio.sleep(2)
        load.named.clear()
        load.name(node, 4)
        await asyncio.sleep(7)
        load.check_worst(node, 4)
        load.named.clear()
        load.named[node.server.id] = time.monotonic()
        for i in range(120):  # the server accepts the larger of the two at most
            node.server.says = [f"Server-Limit: {4 if i % 2 else 12}"]
            await asyncio.sleep(0.05)
        load.check_worst(node, 12)


@test({"front": 2, "back": 2}, slots=8)
async def test_server_limit_ends_with_the_process(f):
    """Guards against a server that is restarted under its id and is kept to the limit
    of its former process."""
    work(f)
    node = f.nodes["back"][0]
    server = node.server
    server.born = 1000
    f.register(server)
    async with Load(f, 100) as load:
        load.name(node, 1)
        await asyncio.sleep(2)
        server.stop()
        await asyncio.sleep(0.3)
        server.says, server.born = [], 2000
        await server.start()
        f.register(server)
        await gets_work(server, 3)


@test({"front": 2, "back": 2}, slots=8)
async def test_server_limit_that_is_no_number(f):
    """Guards against a value that is no valid limit and costs the server its requests,
    or a log line for each response."""
    work(f)
    node = f.nodes["back"][0]
    async with Load(f, 100) as load:
        at = time.monotonic()
        for value in ("-1", "nan", "1e400", "", "9" * 400, "0x10", "5, 7", "inf", "1.", ".5."):
            node.server.says = [f"Server-Limit: {value}"]
            await gets_work(node.server, 2)
        node.server.says = ["Server-Limit: 0", "Server-Limit: 1"]
        await gets_work(node.server, 2)
    bad = [s for s in load.since(at) if s != 200]
    check(not bad, bad[:5])
    said = lines_with(node, "limit_invalid", "server=" + node.server.id)
    check(0 < len(said) < 15, f"{len(said)} lines")


@test({"front": 3, "back": 4}, slots=2)
async def test_small_servers_half_busy(f):
    """Guards against servers of two slots that reject a quarter of the requests for
    which they have room, because a request or two wait by chance."""
    work(f)
    async with Load(f, 75) as load:
        at = time.monotonic()
        await asyncio.sleep(12)
    after = load.since(at)
    refused = sum(s != 200 for s in after)
    check(refused < 0.02 * len(after), f"{refused} of {len(after)} refused")
