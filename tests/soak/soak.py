"""A randomized fault soak of lwproxy over loopback: real processes, faults from
outside them, and the promises checked from what callers and servers see.

  python3 tests/soak/soak.py --seeds 1-50 --seconds 15 [--nodes 9] [--verbose]

Every node is reached through relays that can delay, reset, silence or refuse;
processes are stopped, paused, killed and restarted; servers drain, lose
answers, shed, hang and send foreign bytes; the store goes silent, refuses and
forgets. A seed draws the same series of faults each time."""
import argparse
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "mesh"))
import fleet as fl  # noqa: E402
import standin  # noqa: E402

# a node or store counts as undisturbed this long after the last fault on it
TOUCH_S = 3.0
DRAIN_S = 2.0
CONFIG_S = 2.0


class Soak:
    def __init__(self, seed, seconds, nodes, net):
        self.rng = random.Random(seed)  # of the clients and servers
        self.chaos_rng = random.Random(f"chaos {seed}")  # of the series of faults alone
        self.seconds = seconds
        self.net = net
        self.broken = []
        self.asked = {}  # id -> (kind, node, time)
        self.outcome = {}  # id -> status, 0 for none
        self.disturbed = {}  # ip -> time of the last fault
        self.store_disturbed = 0.0
        self.faults = []
        self.version = 1
        self.changed_at = 0.0
        self.drained = {}  # server id -> time of its entry
        self.served_late = {"good": 0, "all": 0}
        layout = {"front": nodes // 3, "back": nodes - nodes // 3}
        self.f = fl.Fleet(net, layout, rules=self.rules(), relays=True)
        for n in self.f.all():
            n.server.behave = self.behave
        self.fault_of = {}  # server id -> (fault, share)

    def rules(self):
        return [fl.route("read", "/get/", "back", timeout=2, target=0.5),
                fl.route("order", "/put/", "back", "unsafe", 0, 2, 0.5),
                fl.route("front", "/front/", "front", timeout=2, target=0.5),
                fl.route("version", f"/v{getattr(self, 'version', 1)}/", "front", timeout=1)]

    async def behave(self, server, head, rid, stage):
        fault, share = self.fault_of.get(server.id, (None, 0))
        bad = fault and self.rng.random() < share
        if stage == "head":
            return "shed" if bad and fault == "shed" else None
        await asyncio.sleep(0.01 if not (bad and fault == "slow") else 0.4)
        if bad and fault not in ("shed", "slow"):
            if fault == "error":
                return (None, 500, b"failed")
            return fault
        return None

    def fail(self, what):
        if len(self.broken) < 10:
            self.broken.append(f"{time.monotonic() - self.begin:.2f} s: {what}")

    def note(self, what, ip=None, store=False):
        self.faults.append(f"{time.monotonic() - self.begin:.2f} {what}")
        if ip:
            self.disturbed[ip] = time.monotonic()
        if store:
            self.store_disturbed = time.monotonic()

    def in_touch(self, node):
        now = time.monotonic()
        return (now - self.disturbed.get(node.ip, 0) > TOUCH_S and
                now - self.store_disturbed > TOUCH_S)

    async def client(self, number):
        """Keeps an open connection for as long as it works."""
        node = self.f.all()[number % len(self.f.all())]
        c, n = None, 0
        while not self.stopping:
            n += 1
            kind = self.rng.choice(["get", "get", "put", "front"])
            rid = f"s{number}-{n}"
            self.asked[rid] = (kind, node, time.monotonic())
            try:
                if c is None:
                    c = node.caller()
                a = await c.ask("POST" if kind == "put" else "GET", f"/{kind}/{rid}", rid,
                                body=b"order" * 20 if kind == "put" else b"", deadline=2000,
                                timeout=8)
                self.check_answer(rid, kind, a)
                if a.head.get("connection") == "close" or not a.whole:
                    c.close()
                    c = None
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
                if isinstance(e, asyncio.TimeoutError) and self.in_touch(node):
                    self.fail(f"{rid}: no answer within 8 s")
                self.outcome[rid] = 0
                c.close()
                c = None
                await asyncio.sleep(0.1)
            if self.outcome.get(rid) in (502, 503, 504):
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.rng.random() * 0.03)

    def check_answer(self, rid, kind, a):
        self.outcome[rid] = a.status
        if self.settled:
            self.served_late["all"] += 1
            self.served_late["good"] += a.status == 200 and a.whole
        if a.status == 200 and a.whole:
            if a.head.get("x-server-stamp") != "st-" + rid or f"/{kind}/{rid} ".encode() not in a.body:
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
                if not rid.startswith("probe"):
                    self.fail(f"{rid}: ran, but was never sent")
                continue
            kind = self.asked[rid][0]
            if kind == "put" and len(times) > 1:
                self.fail(f"{rid}: an order ran {len(times)} times")
            if kind == "put" and self.outcome.get(rid) in (429, 503, 408, 421):
                self.fail(f"{rid}: answered {self.outcome[rid]} and ran")

    async def probe_config(self):
        """Undisturbed nodes serve the newest route in time and never go back."""
        newest = {}
        while not self.stopping:
            await asyncio.sleep(0.3)
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

    # faults: each is a coroutine that begins, waits and ends one

    async def kill(self, node):
        self.note(f"kill {node.ip}", node.ip)
        node.kill()
        await asyncio.sleep(self.chaos_rng.random() * 1.5)
        node.start()
        self.note(f"start {node.ip}", node.ip)

    async def term(self, node):
        self.note(f"term {node.ip}", node.ip)
        began = time.monotonic()
        node.signal(signal.SIGTERM)
        end = time.monotonic() + 6
        while node.proc.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if node.proc.poll() is None:
            self.fail(f"{node.ip}: still runs 6 s after SIGTERM")
            node.kill()
        elif node.proc.returncode != 0 and not (
                # before main() has begun nobody can handle a signal
                node.proc.returncode == -signal.SIGTERM and began - node.started < 0.1):
            self.fail(f"{node.ip}: ended with {node.proc.returncode} after SIGTERM")
        await asyncio.sleep(0.2)
        node.start()
        self.note(f"start {node.ip}", node.ip)

    async def pause(self, node):
        self.note(f"pause {node.ip}", node.ip)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(0.3 + self.chaos_rng.random() * 2.5)
        node.signal(signal.SIGCONT)
        self.note(f"wake {node.ip}", node.ip)

    async def hangup(self, node):
        self.note(f"hup {node.ip}", node.ip)
        node.signal(signal.SIGHUP)

    async def link(self, node):
        how = self.chaos_rng.choice(["reset", "silence", "mute-in", "mute-out", "delay", "refuse"])
        relay = self.chaos_rng.choice([node.relay, node.store_relay])
        self.note(f"{how} at {relay.addr[0]}:{relay.addr[1]}", node.ip)
        if how == "reset":
            relay.reset_all()
        elif how == "silence":
            relay.silence_open()
        else:
            if how == "refuse":
                relay.refuse = True
                relay.reset_all()
            elif how == "delay":
                relay.delay = 0.05 + self.chaos_rng.random() * 0.3
            else:
                relay.mute.add(how[5:])
            await asyncio.sleep(0.5 + self.chaos_rng.random() * 2)
            relay.refuse, relay.delay = False, 0.0
            relay.mute.clear()
            # what was swallowed never comes: the connections are gone for good
            relay.reset_all()
        for n in self.f.all():
            self.disturbed[n.ip] = time.monotonic()
        self.note(f"{how} over", node.ip)

    async def server_fault(self, node):
        fault = self.chaos_rng.choice(["lost", "shed", "slow", "error", "cut", "extra", "late-extra",
                                 "garbage", "hang", "unframed", "unframed-reset"])
        self.fault_of[node.server.id] = (fault, 0.05 + self.chaos_rng.random() * 0.6)
        self.note(f"server {node.server.id} {fault}")
        await asyncio.sleep(0.5 + self.chaos_rng.random() * 2)
        self.fault_of.pop(node.server.id, None)

    async def store_fault(self, _node):
        mode = self.chaos_rng.choice(["silent", "503", "429", "reset", "compact"])
        self.note(f"store {mode}", store=True)
        if mode == "compact":
            self.f.store.compact()
        else:
            self.f.store.mode = mode
            await asyncio.sleep(0.3 + self.chaos_rng.random() * 2.5)
            self.f.store.mode = "ok"
        self.note(f"store {mode} over", store=True)

    async def change(self, _node):
        self.version += 1
        self.f.store.put("op/config", fl.config(self.version, self.rules()))
        self.changed_at = time.monotonic()
        self.note(f"config {self.version}")
        await asyncio.sleep(0.1)

    async def drain(self, node):
        """A server leaves and another takes its place at the same address."""
        old = node.server
        if old.draining or sum(not n.server.draining for n in self.f.nodes[old.service]) < 2:
            return
        old.draining = True
        self.f.register(old)
        self.drained[old.id] = time.monotonic()
        self.note(f"drain {old.id}")
        await asyncio.sleep(DRAIN_S + 1)
        self.f.store.remove("servers/" + old.id)
        old.draining = False
        old.id = f"{old.id}+"
        self.f.register(old)
        self.note(f"new {old.id}")

    async def chaos(self):
        kinds = [self.kill, self.term, self.pause, self.hangup, self.link, self.link,
                 self.server_fault, self.server_fault, self.store_fault, self.change, self.drain]
        running = []
        end = time.monotonic() + self.seconds
        busy = set()
        while time.monotonic() < end:
            await asyncio.sleep(0.1 + self.chaos_rng.random() * 0.8)
            node = self.chaos_rng.choice(self.f.all())
            kind = self.chaos_rng.choice(kinds)
            if node.ip in busy and kind in (self.kill, self.term, self.pause, self.hangup):
                continue
            busy.add(node.ip)
            task = asyncio.ensure_future(kind(node))
            task.add_done_callback(lambda _, ip=node.ip: busy.discard(ip))
            running.append(task)
        await asyncio.gather(*running)

    async def run(self):
        self.begin = time.monotonic()
        self.stopping = self.settled = False
        try:
            await self.f.start()
            clients = [asyncio.ensure_future(self.client(i)) for i in range(24)]
            probe = asyncio.ensure_future(self.probe_config())
            await self.chaos()
            await asyncio.sleep(5)
            self.settled = True
            await asyncio.sleep(2)
            self.stopping = True
            await asyncio.gather(*clients, probe)
            await asyncio.sleep(0.5)
            self.check_history()
            self.check_drains()
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
        s = Soak(seed, args.seconds, args.nodes, 10 + (os.getpid() + seed) % 200)
        requests = asyncio.run(s.run())
        failed += bool(s.broken)
        passed += not s.broken
        print(f"{'FAILED' if s.broken else 'passed'} seed {seed}: {requests} requests, "
              f"{len(s.faults)} fault steps, logs {s.f.dir if s.broken else 'dropped'}", flush=True)
        if s.broken or args.verbose:
            print("  " + "\n  ".join(s.broken + ["faults:"] + s.faults), flush=True)
    print(f"soak: {passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
