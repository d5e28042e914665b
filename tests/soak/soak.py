"""A randomized fault soak of lwproxy over loopback. It runs real processes, injects
faults from outside, and checks the guarantees by what callers and servers observe.

  python3 tests/soak/soak.py --seeds 1-50 --seconds 15 [--nodes 9] [--verbose]

Nodes are reached through relays that can delay, reset or silence connections, or
refuse new ones. Node processes are stopped one after the other, paused, killed and
restarted, and get new or invalid settings. Backend servers drain, lose answers, shed
load, hang and send bytes that belong to no response. The store stops answering,
rejects calls and compacts its history (series.py).

Every third seed draws planned work only: every request whose execution has begun must
then be answered. Seeds from 1000 on draw requests that crash servers, and restores of
the store from an older copy; seeds from 2000 on draw organisations (tenancy.py); seeds
from 3000 on draw servers that announce in their responses that they are leaving or
which rate limit they have (announcing.py). With seeds from 4000 on, the series of the seeds
from 1 on hits nodes that ask some others when they start instead of reading the store. Seeds
from 8000 on draw servers that are started anew under their id, announce that they are leaving
and are started anew again, while the store fails and is restored from copies. With seeds from
9000 on, servers reject requests and send second copies of rejections late (copying.py). With
seeds from 10000 on, the clocks of servers' hosts step while the servers drain and are started
anew, and the nodes that read the store are killed (stepping.py). With seeds from 11000 on,
servers leave without a word while the store turns single hosts away (turning.py). A seed always draws the same series of faults."""
import argparse
import asyncio
import os
import random
import shutil
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "mesh"))
import fleet as fl  # noqa: E402
import nets  # noqa: E402
import standin  # noqa: E402
from announcing import Announcing  # noqa: E402
from copying import Copying  # noqa: E402
from crashes import Crashes  # noqa: E402
from series import DRAIN_S, Series  # noqa: E402
from stepping import Stepping  # noqa: E402
from tenancy import Tenancy, open_routes, tenants  # noqa: E402
from turning import Turning  # noqa: E402

# seconds after its last fault from which a node or the store counts as undisturbed
TOUCH_S = 3.0
# seconds within which an undisturbed node must serve a new configuration
CONFIG_S = 2.0
# seconds from the start of a process until it listens
UP_S = 0.1
# per server: the share of requests that take long, and the share that is never answered
LONG = [(0, 0), (0.05, 0.002), (0.15, 0), (0.3, 0.005), (0.6, 0.01)]
# number of callers; two per node if that is more
CLIENTS = 27
# time limit of a request, both of its route and of its caller, in seconds
TIME_S = 2
# seconds within which a server must stop executing a request whose caller is gone
GONE_S = 0.5
# a connection that is closed without an answer is closed within this many seconds
# after a request that was sent while it was being closed
SLACK_S = 0.2
# seeds from here on draw requests that crash servers, and a store restored from a copy
ENDS_SEEDS = 1000
# seeds from here on draw organisations, one of them with a limit
TENANCY_SEEDS = 2000
# seeds from here on draw servers that announce a departure or a limit in their responses
ANNOUNCING_SEEDS = 3000
# with seeds from here on, nodes that start ask the first ones for their documents
JOINING_SEEDS = 4000
JOINING_NODES = 3
# seeds from here on draw servers that are started anew under their id and leave
RENEWING_SEEDS = 8000
# seeds from here on draw servers that send second copies of rejections
COPYING_SEEDS = 9000
# seeds from here on draw servers whose hosts' clocks step
STEPPING_SEEDS = 10000
# seeds from here on draw servers that leave without a word, and a store that turns hosts away
TURNING_SEEDS = 11000
# at least this share of a planned seed's requests must be covered by check_planned()
JUDGED_SHARE = 0.2


class Soak(Series):
    def __init__(self, seed, seconds, nodes, net):
        self.rng = random.Random(seed)  # for clients and servers
        self.chaos_rng = random.Random(f"chaos {seed}")  # for the series of faults only
        self.seconds = seconds
        self.net = net
        copying = COPYING_SEEDS <= seed < STEPPING_SEEDS
        if copying:
            seed -= COPYING_SEEDS
        self.renewing = seed >= RENEWING_SEEDS
        self.joining = JOINING_SEEDS <= seed < RENEWING_SEEDS
        if self.joining:
            seed -= JOINING_SEEDS
        self.planned = (not copying and seed % 3 == 0 and seed < ANNOUNCING_SEEDS and
                        not ENDS_SEEDS <= seed < TENANCY_SEEDS)
        self.ends = ENDS_SEEDS <= seed < TENANCY_SEEDS
        self.tenancy = (Tenancy(seed, self.fail)
                        if TENANCY_SEEDS <= seed < ANNOUNCING_SEEDS else None)
        self.announcing = Announcing(self) if seed >= ANNOUNCING_SEEDS else None
        turning = seed >= TURNING_SEEDS
        self.stepping = (Turning(self) if turning else
                         Stepping(self) if seed >= STEPPING_SEEDS else None)
        self.copying, self.copies, self.ended_servers = False, 0, 0
        self.broken = []
        self.asked = {}  # id -> (kind, node, time)
        self.outcome = {}  # id -> status, 0 for none
        self.ended = {}  # id -> (time, whether the answer is complete and from a server)
        self.runs = {}  # id -> [[begin, end, server]] of its executions
        self.spoiled = set()  # ids whose answer a server lost
        self.judged = 0
        self.clients = max(CLIENTS, 2 * nodes)
        self.late = 0.0  # greatest delay of this program's own timers, in seconds
        self.busy = set()  # ips of nodes that are stopped, paused or killed
        self.stopping_nodes = set()
        self.terms = []  # (time, ip) of each SIGTERM
        self.spans = []  # [begin, end] of each disruption that is not planned work
        self.disturbed = {}  # ip -> time of the last fault
        self.store_disturbed = 0.0
        self.store_faults = []  # times at which the store was disturbed
        self.faults = []
        self.version = 1
        self.changed_at = 0.0
        self.drained = {}  # server id -> time at which it registered as draining
        self.served_late = {"good": 0, "all": 0}
        layout = {"front": nodes // 3, "back": nodes - nodes // 3}
        # planned seeds need no relays, see follow()
        self.f = fl.Fleet(net, layout, rules=self.rules(), relays=not self.planned,
                          tenants=tenants() if self.tenancy else None,
                          seeds=JOINING_NODES if self.joining else 0)
        self.copies_of_rejections = Copying(self) if copying else None
        self.crashes = Crashes(self.f, "back", "", take=False)
        for n in self.f.all():
            n.server.behave = self.behave
            if self.renewing:
                n.server.born = int(time.time() * 1000)
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
            if bad and fault == "shed":
                return self.copies_of_rejections.rejection() if self.copies_of_rejections else fault
            return None
        run = [time.monotonic(), None, server.id]
        self.runs.setdefault(rid, []).append(run)
        try:
            await self.work(server, rid, bad and fault == "slow")
            if self.copies_of_rejections and head.start[1].startswith("/front/"):
                await self.copies_of_rejections.call(server, rid)
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
        """Whether there was only planned work from TOUCH_S before `since` to `until`."""
        return all(span[0] > until or (len(span) > 1 and span[1] < since - TOUCH_S)
                   for span in self.spans)

    async def client(self, number):
        """Uses one connection until it is closed, then opens the next one to the same
        node. Of four clients one sends requests at a steady pace, one sends several in
        a row, one opens a new connection every few requests, and one is slow."""
        node = self.f.all()[number % len(self.f.all())]
        habit = ("steady", "bursts", "fickle", "slow")[(number + number // len(self.f.all())) % 4]
        pace = self.clients / CLIENTS  # a single event loop serves all clients
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
            # 401 is the answer to an unknown key, 429 to a request above the limit
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
            if self.copies_of_rejections and self.copies_of_rejections.left_out(rid, ran):
                continue
            order = self.asked[rid][0].endswith("put")
            if order and len(times) > 1:
                self.fail(f"{rid}: an order ran {len(times)} times")
            if order and self.outcome.get(rid) in (429, 503, 408, 421):
                self.fail(f"{rid}: answered {self.outcome[rid]} and ran")

    def check_planned(self):
        """Checks that planned work alone loses nothing: a request whose execution has
        begun is answered or reaches its time limit, a connection that is closed without
        an answer is closed at once, and no server goes on executing a request whose
        caller was answered or lost its connection."""
        for rid, (kind, node, sent) in self.asked.items():
            if rid.endswith(".0"):
                continue  # a call ends without an answer when the run that makes it is cancelled
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
        """Makes each relay listen only while its node does. A relay that accepted a
        connection for a process that is gone would accept requests too, and their sender
        would have to assume that they may have been executed. No device between two real
        hosts does that."""
        while not self.planned:
            for n in self.f.all():
                up = n.proc.poll() is None and time.monotonic() - n.started > UP_S
                if not up:
                    n.relay.server.close()
                elif not n.relay.server.is_serving():
                    await n.relay.start()
            await asyncio.sleep(0.005)

    async def probe_config(self):
        """Checks that undisturbed nodes serve the newest route in time and that no node
        returns to an older configuration."""
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
                # only a server's answer shows that the node knows the route: a node
                # without a configuration answers 503
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
            if self.stepping:
                self.stepping.check()
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


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--seeds", default="1")
    p.add_argument("--seconds", type=float, default=15)
    p.add_argument("--nodes", type=int, default=9)
    p.add_argument("--verbose", action="store_true")
    args = p.parse_args()
    passed = failed = 0
    for seed in seeds_of(args.seeds):
        net = nets.claim(os.getpid() + seed)
        s = Soak(seed, args.seconds, args.nodes, net.number)
        requests = asyncio.run(s.run())
        net.release()
        failed += bool(s.broken)
        passed += not s.broken
        if not s.broken:
            shutil.rmtree(s.f.dir)
        kind = ("planned" if s.planned else "ends" if s.ends else
                "organisations" if s.tenancy else "announcing" if s.announcing else "mixed")
        if s.ends:
            kind += f", {s.ended_servers} servers ended, {s.copies} copies"
        if s.copies_of_rejections:
            kind += f", {s.copies_of_rejections.sent()} late copies"
        if s.announcing:
            kind += f", {s.copies} copies, {s.announcing.left} said to leave, {len(s.announcing.named)} limits"
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
