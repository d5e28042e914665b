"""Servers in the soak that announce only in their responses that they are leaving, or how
many requests per second they accept. The checks count an announcement as known to a node
from the time at which that node forwarded it to a caller."""
import asyncio
import bisect
import time

# seconds after a node knows that a server is leaving from which it must send it no requests
DRAIN_S = 2.0
# tolerance of that check, in seconds
SLACK_S = 0.3
# a limit is checked from this many seconds after its first announcement
CONTACT_S = 3.0
# and from this many seconds after the node knew it
TOLD_S = 0.5
# length of the interval in which requests are counted, in seconds
SPAN_S = 4.0
# limits to announce, in requests per second
LIMITS = [0, 0.5, 2, 5, 10]


def allowed(limit):
    return 1.5 * limit * SPAN_S + 5


class Announcing:
    """The steps, and which announcement reached which node process. A restarted node
    knows none of its predecessor's announcements."""

    def __init__(self, soak):
        self.soak = soak
        self.process = {}  # request id -> process of the node that its caller sent it to
        # (node's process, server's id, number of its process, kind) -> time at which the node
        # first forwarded the announcement
        self.told = {}
        self.starts = {}  # server's id -> times at which it was started anew under that id
        self.touched = []  # (time, ip) of each fault; it exempts the node from the checks
        self.renewed = set()  # servers that leave_anew() acts on
        self.named = []  # [server's id, server, begin, end, highest limit]
        self.left = 0

    def sent(self, rid, node):
        self.process[rid] = (node.ip, node.proc.pid)

    def answered(self, rid, a):
        by = a.body.split(b" ")[0].decode("latin-1")
        for kind in ("server-leaving", "server-limit"):
            if a.head.get(kind):
                begun = max((r[0] for r in self.soak.runs.get(rid, []) if r[2] == by), default=0)
                key = (self.process[rid], by, self.process_number(by, begun), kind)
                self.told.setdefault(key, time.monotonic())

    def process_number(self, sid, at):
        """Returns how often the server had been started anew under its id by then."""
        return bisect.bisect(self.starts.get(sid, []), at)

    async def restart(self, server, away):
        """The process of a server crashes; another one starts under its id."""
        server.stop()
        await asyncio.sleep(away)
        server.says, server.born = [], int(time.time() * 1000)
        self.starts.setdefault(server.id, []).append(time.monotonic())
        await server.start()
        self.soak.f.register(server)
        self.soak.note(f"{server.id} started anew")

    async def outage(self, rng, seconds):
        """The store answers nobody for some seconds; at times a copy from before is restored."""
        if self.soak.copying:
            return
        self.soak.copying = True
        store, copy = self.soak.f.store, self.soak.f.store.copy()
        self.soak.note("store goes away", store=True)
        store.mode = rng.choice(["silent", "503", "reset"])
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(min(0.5, end - time.monotonic()))
            self.soak.store_disturbed = time.monotonic()
        if rng.random() < 0.4:
            store.restore(copy)
            self.soak.copies += 1
            self.soak.note(f"store back from a copy, era {store.era}", store=True)
            # the operator writes again what the copy lacks
            store.put("op/config", self.soak.f.document(self.soak.version, self.soak.rules()))
        store.mode = "ok"
        self.soak.note("store answers again", store=True)
        self.soak.copying = False

    async def leave_anew(self, node, rng):
        """A server is started anew under its id, announces in its responses that it is
        leaving, at times also in its entry or by removing that, and is started anew again.
        At times the store answers nobody meanwhile, and may then be restored from a copy."""
        server = node.server
        others = [n for n in self.soak.f.nodes[server.service] if self.free(n.server)]
        away, young, how, left, unseen = (rng.random() for _ in range(5))
        if not self.free(server) or server in self.renewed or len(others) < 3:
            return
        self.renewed.add(server)
        span = self.soak.unplanned()
        outage = asyncio.ensure_future(self.outage(rng, 3 + away + young)) if unseen < 0.6 else None
        await self.restart(server, 0.1 + away)
        await asyncio.sleep(0.3 + young)
        server.says = ["Server-Leaving: 1"]
        self.left += 1
        self.soak.note(f"{server.id} says that it leaves")
        await asyncio.sleep(0.5)
        if how < 0.3:
            server.draining = True
            self.soak.f.register(server)
        if how < 0.6:
            self.soak.f.store.remove("servers/" + server.id)
        await asyncio.sleep(DRAIN_S + 1 + left * 6)
        if outage:
            await outage
        server.draining = False
        await self.restart(server, 0.1 + away)
        span.append(time.monotonic())
        self.renewed.discard(server)

    def free(self, server):
        return not server.says and not server.draining and server not in self.renewed

    async def leave(self, node, rng):
        """A server announces in its responses that it is leaving while its registration does
        not say so; then it stops, and its successor registers."""
        old = node.server
        others = [n for n in self.soak.f.nodes[old.service] if self.free(n.server)]
        if not self.free(old) or len(others) < 3:
            return
        old.says = ["Server-Leaving: 1"]
        self.left += 1
        self.soak.note(f"{old.id} says that it leaves")
        await asyncio.sleep(DRAIN_S + 1 + rng.random() * 3)
        old.stop()
        self.soak.f.store.remove("servers/" + old.id)
        await asyncio.sleep(0.2)
        old.id, old.says = f"{old.id}-", []
        await old.start()
        self.soak.f.register(old)
        self.soak.note(f"new {old.id}")

    async def limit(self, node, rng):
        """A server announces a limit for some seconds, then another limit, then none."""
        server = node.server
        if not self.free(server):
            return
        limits = [rng.choice(LIMITS) for _ in range(2)]
        span = [server.id, server, time.monotonic(), None, max(limits)]
        self.named.append(span)
        for limit in limits:
            if server.id != span[0] or server.draining:
                break
            server.says = [f"Server-Limit: {limit}"]
            self.soak.note(f"{server.id} takes {limit} a second")
            await asyncio.sleep(2 + rng.random() * 4)
        span[3] = time.monotonic()
        if server.id == span[0]:
            server.says = []
        self.soak.note(f"{span[0]} takes any")

    def calm(self, ip, since, until):
        return not any(i == ip and since < t < until for t, i in self.touched)

    def check(self):
        self.check_left()
        for span in self.named:
            self.check_named(*span)

    def check_left(self):
        """Checks that no request was sent to a leaving server longer than DRAIN_S after its
        node had forwarded the announcement."""
        for node in self.soak.f.all():
            for at, rid in node.server.ran:
                process = self.process.get(rid)
                by = self.ran_at(rid, at)
                told = self.told.get((process, by, self.process_number(by, at), "server-leaving"))
                sent = self.soak.asked[rid][2] if rid in self.soak.asked else 0
                if told and sent > told + DRAIN_S + SLACK_S and self.calm(process[0], told, at):
                    self.soak.fail(f"{rid}: sent {sent - told:.2f} s after its node had passed "
                                   f"on that {by} leaves")

    def ran_at(self, rid, at):
        """Returns the id that the server had when it executed the request."""
        runs = self.soak.runs.get(rid, [])
        return min(runs, key=lambda r: abs(r[0] - at))[2] if runs else None

    def check_named(self, sid, server, begin, end, limit):
        times = []
        for at, rid in server.ran:
            process = self.process.get(rid)
            told = self.told.get((process, sid, self.process_number(sid, at), "server-limit"))
            if (told and begin + CONTACT_S <= at <= end and at >= max(told, begin) + TOLD_S and
                    self.calm(process[0], told, at)):
                times.append(at)
        worst = max((sum(t <= u < t + SPAN_S for u in times) for t in times), default=0)
        if worst > allowed(limit):
            self.soak.fail(f"{sid} takes {limit} a second and got {worst} in {SPAN_S:.0f} s")
