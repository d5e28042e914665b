"""A randomized fault soak of lwproxy over loopback: real processes, faults from
outside them, and the promises checked from what callers and servers see.

  python3 tests/soak/soak.py --seeds 1-50 --seconds 15 [--nodes 9] [--verbose]

Nodes are reached through relays that can delay, reset, silence or refuse;
processes are stopped in turn, paused, killed and restarted, get settings that
are new or broken; servers drain, lose answers, shed, hang and send foreign
bytes; the store goes silent, refuses and forgets (series.py). Every third seed
draws planned work only: whatever a server has begun must be answered then. Seeds
from 1000 on draw requests that end servers, and returns of the store from a copy, seeds
from 2000 on organisations (tenancy.py), seeds from 3000 on servers that announce in their
answers that they leave or what they take (announcing.py). A seed draws the same series each time."""
import argparse
import asyncio
import os
import random
import shutil
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "mesh"))
import fleet as fl  # noqa: E402
import standin  # noqa: E402
from announcing import Announcing  # noqa: E402
from crashes import Crashes  # noqa: E402
from series import DRAIN_S, Series  # noqa: E402
from tenancy import Tenancy, open_routes, tenants  # noqa: E402

# a node or store counts as undisturbed this long after the last fault on it
TOUCH_S = 3.0
CONFIG_S = 2.0
# a process listens so long after its start
UP_S = 0.1
# shares of requests that last long, and whose answer never comes, at a server
LONG = [(0, 0), (0.05, 0.002), (0.15, 0), (0.3, 0.005), (0.6, 0.01)]
# callers, or two for each node if that is more
CLIENTS = 27
# time of a request by its route and by its caller, in seconds
TIME_S = 2
# a server is at work for a caller that is gone no longer than this
GONE_S = 0.5
# a connection that closes without an answer does so this soon after a request
# that it crossed
SLACK_S = 0.2
# seeds from here on draw requests that end servers, and a store back from a copy
ENDS_SEEDS = 1000
# seeds from here on draw organisations, one of them with a limit
TENANCY_SEEDS = 2000
# seeds from here on draw servers that announce something in their answers
ANNOUNCING_SEEDS = 3000
# a fifth of the requests of a planned seed must be fit to be judged
JUDGED_SHARE = 0.2


class Soak(Series):
    def __init__(self, seed, seconds, nodes, net):
        self.rng = random.Random(seed)  # of the clients and servers
        self.chaos_rng = random.Random(f"chaos {seed}")  # of the series of faults alone
        self.seconds = seconds
        self.net = net
        self.planned = (seed % 3 == 0 and seed < ANNOUNCING_SEEDS and
                        not ENDS_SEEDS <= seed < TENANCY_SEEDS)
        self.ends = ENDS_SEEDS <= seed < TENANCY_SEEDS
        self.tenancy = (Tenancy(seed, self.fail)
                        if TENANCY_SEEDS <= seed < ANNOUNCING_SEEDS else None)
        self.announcing = Announcing(self) if seed >= ANNOUNCING_SEEDS else None
        self.copying, self.copies, self.ended_servers = False, 0, 0
        self.broken = []
        self.asked = {}  # id -> (kind, node, time)
        self.outcome = {}  # id -> status, 0 for none
        self.ended = {}  # id -> (time, whether it is a server's whole answer)
        self.runs = {}  # id -> [[begin, end, server]] of its runs
        self.spoiled = set()  # ids whose answer a server lost
        self.judged = 0
        self.clients = max(CLIENTS, 2 * nodes)
        self.late = 0.0  # how late this program itself was at most
        self.busy = set()  # ips of nodes that are stopped, paused or killed
        self.stopping_nodes = set()
        self.terms = []  # (time, ip) of each SIGTERM
        self.spans = []  # [begin, end] of what is no planned work
        self.disturbed = {}  # ip -> time of the last fault
        self.store_disturbed = 0.0
        self.faults = []
        self.version = 1
        self.changed_at = 0.0
        self.drained = {}  # server id -> time of its entry
        self.served_late = {"good": 0, "all": 0}
        layout = {"front": nodes // 3, "back": nodes - nodes // 3}
        # planned work has no use for relays, see follow()
        self.f = fl.Fleet(net, layout, rules=self.rules(), relays=not self.planned,
                          tenants=tenants() if self.tenancy else None)
        self.crashes = Crashes(self.f, "back", "", take=False)
        for n in self.f.all():
            n.server.behave = self.behave
        self.fault_of = {}  # server id -> (fault, share)
        self.long = {n.server.ip: self.chaos_rng.choice(LONG) for n in self.f.all()}

    def rules(self):
        return open_routes(self.all_rules(), {"version"})

    def all_rules(self):
        return [fl.route("read", "/get/", "back", timeout=2, target=0.5),
                fl.route("order", "/put/", "back", "unsafe", 0, 2, 0.5),
                fl.route("front", "/front/", "front", timeout=2, target=0.5),
                fl.route("front-order", "/frontput/", "front", "unsafe", 1, 2, 0.5),
                fl.route("version", f"/v{getattr(self, 'version', 1)}/", "front", timeout=1)]

    async def behave(self, server, head, rid, stage):
        if self.crashes.path and head.start[1] == self.crashes.path:
            return await self.crashes.behave(server, head, rid, stage)
        fault, share = self.fault_of.get(server.id, (None, 0))
        bad = fault and self.rng.random() < share
        if stage == "head":
            return "shed" if bad and fault == "shed" else None
        run = [time.monotonic(), None, server.id]
        self.runs.setdefault(rid, []).append(run)
        try:
            await self.work(server, rid, bad and fault == "slow")
        finally:
            run[1] = time.monotonic()
        if bad and fault not in ("shed", "slow"):
            if fault == "error":
                return (None, 500, b"failed")
            return fault
        return None

    async def work(self, server, rid, slow):
        long, lost = self.long[server.ip] if not self.settled else (0, 0)
        await asyncio.sleep(0.4 if slow else 0.01)
        if rid.startswith("s") and self.rng.random() < long:
            await asyncio.sleep(0.3 + self.rng.random() * 1.3)
        if rid.startswith("s") and self.rng.random() < lost:
            self.spoiled.add(rid)
            await asyncio.sleep(60)

    def fail(self, what):
        if len(self.broken) < 10:
            self.broken.append(f"{time.monotonic() - self.begin:.2f} s: {what}")

    def in_touch(self, node):
        now = time.monotonic()
        return (now - self.disturbed.get(node.ip, 0) > TOUCH_S and
                now - self.store_disturbed > TOUCH_S)

    def calm(self, since, until):
        """Whether there was planned work only, from a while before."""
        return all(span[0] > until or (len(span) > 1 and span[1] < since - TOUCH_S)
                   for span in self.spans)

    async def client(self, number):
        """Uses an open connection until its process is gone, then the next one
        of the same node. Of four clients one sends several requests in a row,
        one opens a new connection every few requests, one is slow."""
        node = self.f.all()[number % len(self.f.all())]
        habit = ("steady", "bursts", "fickle", "slow")[(number + number // len(self.f.all())) % 4]
        pace = self.clients / CLIENTS  # one event loop has to serve them all
        c, n, left = None, 0, 0
        while not self.stopping:
            n += 1
            kind = self.rng.choice(["get", "put", "put", "front", "frontput"])
            rid = f"s{number}-{n}"
            try:
                if c is None:
                    c = node.caller()
                    await c.open()
                self.asked[rid] = (kind, node, time.monotonic())
                if self.announcing:
                    self.announcing.sent(rid, node)
                order = kind.endswith("put")
                a = await c.ask("POST" if order else "GET", f"/{kind}/{rid}", rid,
                                body=b"order" * 20 if order else b"",
                                headers=self.tenancy.headers(rid) if self.tenancy else (),
                                deadline=TIME_S * 1000, timeout=8)
                self.check_answer(rid, kind, a)
                if (a.head.get("connection") == "close" or not a.whole or
                        (habit == "fickle" and self.rng.random() < 0.3)):
                    c.close()
                    c = None
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
                if isinstance(e, asyncio.TimeoutError) and self.in_touch(node):
                    self.fail(f"{rid}: no answer within 8 s")
                if rid in self.asked:
                    self.outcome[rid] = 0
                    self.ended[rid] = (time.monotonic(), False)
                c.close()
                c = None
                await asyncio.sleep(0.02 + self.rng.random() * 0.08)
            if self.outcome.get(rid) in (502, 503, 504):
                await asyncio.sleep(0.05)
            left = left - 1 if left else self.rng.randrange(2, 9)
            if habit == "slow":
                await asyncio.sleep(self.rng.random() * 1.5)
            elif habit != "bursts" or not left:
                await asyncio.sleep(self.rng.random() * pace * (0.3 if habit == "bursts" else 0.03))

    def check_answer(self, rid, kind, a):
        self.outcome[rid] = a.status
        if self.tenancy:
            self.tenancy.check_answer(rid, a.status)
        if self.announcing:
            self.announcing.answered(rid, a)
        self.ended[rid] = (time.monotonic(),
                           a.whole and a.head.get("x-server-stamp") == "st-" + rid)
        if self.settled:
            self.served_late["all"] += 1
            # 401 and 429 are what an unknown key and a limit are told
            good = (200, 401, 429) if self.tenancy else (200,)
            self.served_late["good"] += a.status in good and a.whole
        if a.status == 200 and a.whole:
            if (a.head.get("x-server-stamp") != "st-" + rid or
                    f"/{kind}/{rid} ".encode() not in a.body):
                self.fail(f"{rid}: another request's answer {a.head.fields} {a.body[:60]}")
        if a.status == 404:
            self.fail(f"{rid}: 404 for a route that always was there")

    def check_history(self):
        ran = {}
        for n in self.f.all():
            for at, rid in n.server.ran:
                ran.setdefault(rid, []).append((at, n.server.id))
        for rid, times in ran.items():
            if rid not in self.asked:
                if not rid.startswith(("probe", "bad")):
                    self.fail(f"{rid}: ran, but was never sent")
                continue
            order = self.asked[rid][0].endswith("put")
            if order and len(times) > 1:
                self.fail(f"{rid}: an order ran {len(times)} times")
            if order and self.outcome.get(rid) in (429, 503, 408, 421):
                self.fail(f"{rid}: answered {self.outcome[rid]} and ran")

    def check_planned(self):
        """Planned work alone loses nothing: what a server has begun is answered
        or reaches its time, a connection that closes does so at once, and no
        server works on for a caller that was answered or cut off."""
        for rid, (kind, node, sent) in self.asked.items():
            end, answered = self.ended[rid]
            if not self.calm(sent, end + GONE_S):
                continue
            self.judged += 1
            runs = self.runs.get(rid, [])
            status = self.outcome[rid]
            what = (f"{rid} ({kind}) sent to {node.ip} at {sent - self.begin:.2f} s, "
                    f"{status or 'no answer'} after {end - sent:.2f} s, ran " + ", ".join(
                        f"{s} {b - self.begin:.2f}-{e - self.begin if e else 0:.2f}"
                        for b, e, s in runs))
            timely = end - sent < TIME_S and rid not in self.spoiled
            if runs and not answered and timely:
                self.fail(f"lost: {what}")
            elif not status and timely and end - sent > SLACK_S:
                self.fail(f"closed late: {what}")
            if any((e or time.monotonic()) > end + GONE_S for _, e, _ in runs):
                self.fail(f"ran on: {what}")

    async def follow(self):
        """A relay listens while its node does: what stands between two hosts
        takes no connection for a process that is gone. One that it took would
        bear requests that may have run for all their sender knows."""
        while not self.planned:
            for n in self.f.all():
                up = n.proc.poll() is None and time.monotonic() - n.started > UP_S
                if not up:
                    n.relay.server.close()
                elif not n.relay.server.is_serving():
                    await n.relay.start()
            await asyncio.sleep(0.005)

    async def probe_config(self):
        """Undisturbed nodes serve the newest route in time and never go back."""
        newest = {}
        while not self.stopping:
            woken = time.monotonic() + 0.3
            await asyncio.sleep(0.3)
            self.late = max(self.late, time.monotonic() - woken)
            for node in self.f.all():
                v, since = self.version, self.changed_at
                touch = self.in_touch(node)
                c = standin.Caller(node.ip, fl.CALLERS)
                try:
                    a = await c.ask("GET", f"/v{v}/", f"probe{time.monotonic()}", timeout=2)
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    continue
                finally:
                    c.close()
                key = (node.ip, node.proc.pid)
                # only a server's answer shows that the route is known: a node
                # that knows no configuration yet says 503
                if a.status == 200:
                    newest[key] = max(newest.get(key, 0), v)
                elif a.status == 404 and v == self.version:
                    if newest.get(key, 0) >= v:
                        self.fail(f"{node.ip}: went back behind version {v}")
                    if touch and self.in_touch(node) and time.monotonic() - since > CONFIG_S + 0.5:
                        self.fail(f"{node.ip}: version {v} not in force after "
                                  f"{time.monotonic() - since:.1f} s")

    def check_drains(self):
        for n in self.f.all():
            since = self.drained.get(n.server.id)
            if since is None:
                continue
            late = [(at, r) for at, r in n.server.ran if at > since + DRAIN_S + 0.3]
            for at, rid in late[:1]:
                origin = self.asked.get(rid, (None, None, 0))[1]
                calm = max(self.disturbed.values(), default=0) < at - TOUCH_S - DRAIN_S
                if origin and calm and self.store_disturbed < since - TOUCH_S:
                    self.fail(f"{rid}: reached {n.server.id} {at - since:.1f} s after its drain")

    async def run(self):
        self.begin = time.monotonic()
        self.stopping = self.settled = False
        try:
            await self.f.start()
            clients = [asyncio.ensure_future(self.client(i))
                       for i in range(self.clients)]
            probe = asyncio.ensure_future(self.probe_config())
            relays = asyncio.ensure_future(self.follow())
            await self.series()
            await asyncio.sleep(5)
            self.settled = True
            await asyncio.sleep(2)
            self.stopping = True
            await asyncio.gather(*clients, probe)
            relays.cancel()
            await asyncio.sleep(0.5)
            self.check_history()
            self.check_planned()
            if self.tenancy:
                self.tenancy.check_servers([n.server for n in self.f.all()])
            self.check_drains()
            if self.announcing:
                self.announcing.check()
            for n in self.f.all():
                if n.proc.poll() is not None:
                    self.fail(f"{n.ip}: ended by itself with {n.proc.returncode}")
            if self.planned and self.judged < JUDGED_SHARE * len(self.asked):
                self.fail(f"only {self.judged} of {len(self.asked)} requests were judged")
            good, total = self.served_late["good"], self.served_late["all"]
            if total < 50 or good < 0.95 * total:
                self.fail(f"five seconds after the last fault {good} of {total} are served")
        finally:
            await self.f.stop()
        return len(self.outcome)


def seeds_of(text):
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def free_net(first):
    """Others may play here, too: the first number that no store listens at."""
    for i in range(200):
        net = 10 + (first + i) % 200
        with socket.socket() as s:
            if s.connect_ex((f"127.{net}.0.250", fl.STORE)):
                return net
    raise OSError("all nets are in use")


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--seeds", default="1")
    p.add_argument("--seconds", type=float, default=15)
    p.add_argument("--nodes", type=int, default=9)
    p.add_argument("--verbose", action="store_true")
    args = p.parse_args()
    passed = failed = 0
    for seed in seeds_of(args.seeds):
        s = Soak(seed, args.seconds, args.nodes, free_net(os.getpid() + seed))
        requests = asyncio.run(s.run())
        failed += bool(s.broken)
        passed += not s.broken
        if not s.broken:
            shutil.rmtree(s.f.dir)
        kind = ("planned" if s.planned else "ends" if s.ends else
                "organisations" if s.tenancy else "announcing" if s.announcing else "mixed")
        if s.ends:
            kind += f", {s.ended_servers} servers ended, {s.copies} copies"
        if s.announcing:
            kind += f", {s.announcing.left} said to leave, {len(s.announcing.named)} limits"
        print(f"{'FAILED' if s.broken else 'passed'} seed {seed} ({kind}): {requests} requests, "
              f"{s.judged} judged for planned work, {len(s.terms)} stops, "
              f"{len(s.faults)} steps, late by {s.late * 1000:.0f} ms at most, "
              f"logs {s.f.dir if s.broken else 'dropped'}", flush=True)
        if s.broken or args.verbose:
            print("  " + "\n  ".join(s.broken + ["faults:"] + s.faults), flush=True)
    print(f"soak: {passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
