"""The series of faults and planned work of a soak. Each step is a coroutine that starts
one fault or piece of planned work, waits and ends it. A step draws its random values
from a generator of its own, so that a seed draws the same series whatever callers do."""
import asyncio
import os
import random
import signal
import time

import fleet as fl
from crashes import SENDS_ALLOWED, TOUCH_S, Crashes

# seconds after its draining entry from which a server must get no requests
DRAIN_S = 2.0
# seconds within which a node must exit after SIGTERM
GRACE_S = 6.0
# seconds from the start of a process within which main() has begun; until then the kernel ends it
# at a signal, as it does any process that is still being loaded
BEGIN_S = 2.0
# seconds from the start of a process until it has read its settings
START_S = 0.5
# seconds within which a node logs the result of a SIGHUP, also while it is stopping
HANGUP_S = 1.5
# minimum seconds between the starts of two rolls; rolls would displace other steps otherwise
ROLL_S = 4.0
# settings that a node must accept on SIGHUP; BAD_SETTINGS are those it must reject
GOOD_SETTINGS = [{"retry_extra": 47}, {"retry_extra": 5}, {"retry_ratio": 0.05},
                 {"retry_window_s": 4}, {"retry_ratio": 0, "retry_extra": 0}]
LINES_PER_S = [0, 40, 200, 1000]
BAD_SETTINGS = ["[terms\n", "[log]\nrequest_lines_per_s = 100000\n",
                "[terms]\nretry_ratio = -1\n", "no settings at all\x00\n"]


class Series:
    """The steps that act on the fleet `self.f`; Soak holds the state and the checks."""

    def note(self, what, ip=None, store=False):
        self.faults.append(f"{time.monotonic() - self.begin:.2f} {what}")
        if ip:
            self.disturbed[ip] = time.monotonic()
            if self.announcing:
                self.announcing.touched.append((time.monotonic(), ip))
        if store:
            self.store_disturbed = time.monotonic()
            self.store_faults.append(self.store_disturbed)

    def unplanned(self):
        """Records that a disruption other than planned work begins. Returns its span; the
        caller ends it with .append(time)."""
        span = [time.monotonic()]
        self.spans.append(span)
        return span

    async def kill(self, node, rng):
        span = self.unplanned()
        self.note(f"kill {node.ip}", node.ip)
        node.kill()
        await asyncio.sleep(rng.random() * 1.5)
        node.start()
        span.append(time.monotonic())
        self.note(f"start {node.ip}", node.ip)

    async def term(self, node, rng):
        """Stops and restarts a node, sometimes with further signals during the stop. A
        node that is being stopped already gets one more SIGTERM."""
        again, hup, soon, when = (rng.random() for _ in range(4))
        if node.ip in self.stopping_nodes:
            self.note(f"term again {node.ip}", node.ip)
            node.signal(signal.SIGTERM)
            return
        if node.ip in self.busy:
            return
        self.busy.add(node.ip)
        self.stopping_nodes.add(node.ip)
        extra = []
        if again < 0.3:
            extra.append(asyncio.ensure_future(self.later(0.1 + when * 3, self.term(node, rng))))
        if hup < 0.3:
            extra.append(asyncio.ensure_future(self.later(when * 2.5, self.hangup(node, rng))))
        await self.stop(node)
        self.stopping_nodes.discard(node.ip)
        await asyncio.gather(*extra)
        await asyncio.sleep(0.2)
        node.start()
        self.note(f"start {node.ip}", node.ip)
        if soon < 0.2:
            await asyncio.sleep(when * 0.2)
            await self.stop(node)
            node.start()
            self.note(f"start {node.ip}", node.ip)
        self.busy.discard(node.ip)

    async def later(self, seconds, step):
        await asyncio.sleep(seconds)
        await step

    def handles(self, node, sig):
        """Returns whether the process handles the signal, which it must after BEGIN_S."""
        handled, age = node.handles(sig), time.monotonic() - node.started
        if not handled and age > BEGIN_S:
            self.fail(f"{node.ip}: does not handle signal {sig}, {age:.2f} s old")
        return handled

    async def stop(self, node):
        began = time.monotonic()
        self.note(f"term {node.ip}", node.ip)
        self.terms.append((began, node.ip))
        handled = self.handles(node, signal.SIGTERM)
        node.signal(signal.SIGTERM)
        while node.proc.poll() is None and time.monotonic() < began + GRACE_S:
            await asyncio.sleep(0.05)
        if node.proc.poll() is None:
            self.fail(f"{node.ip}: still runs {GRACE_S:.0f} s after SIGTERM")
            node.kill()
        elif node.proc.returncode != 0 and (
                handled or node.proc.returncode != -signal.SIGTERM):
            self.fail(f"{node.ip}: ended with {node.proc.returncode} after SIGTERM, "
                      f"{began - node.started:.2f} s old, handled {handled}")
        self.note(f"exit {node.ip}", node.ip)

    async def roll(self, node, rng):
        """Stops and restarts nodes one after the other."""
        nodes = self.f.all() if rng.random() < 0.5 else self.f.all()[::2]
        nodes = rng.sample(nodes, len(nodes))
        gap = 0.2 + rng.random() * 0.8
        self.note(f"roll of {len(nodes)} each {gap:.2f} s")
        steps = []
        for n in nodes:
            steps.append(asyncio.ensure_future(self.term(n, random.Random(rng.random()))))
            await asyncio.sleep(gap)
        await asyncio.gather(*steps)

    async def two_rolls(self, node, rng):
        other = random.Random(rng.random())
        await asyncio.gather(self.roll(node, rng), self.later(rng.random() * 1.5,
                                                              self.roll(node, other)))

    async def pause(self, node, rng):
        span = self.unplanned()
        self.note(f"pause {node.ip}", node.ip)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(0.3 + rng.random() * 2.5)
        node.signal(signal.SIGCONT)
        span.append(time.monotonic())
        self.note(f"wake {node.ip}", node.ip)

    async def hangup(self, node, rng):
        """Sends SIGHUP after writing new or invalid settings; the node must log which they
        were."""
        how, good, bad, lines = (rng.random(), rng.choice(GOOD_SETTINGS),
                                 rng.choice(BAD_SETTINGS), rng.choice(LINES_PER_S))
        if node.proc.poll() is not None or not self.handles(node, signal.SIGHUP):
            return
        text = node.settings()
        if time.monotonic() - node.started < START_S:
            how = 1  # the file may not have been read yet
        if how < 0.25:
            text += bad
        elif how < 0.75:
            for key, value in good.items():
                text = "\n".join(f"{key} = {value}" if line.startswith(key + " ") else line
                                 for line in text.split("\n"))
            text += f"[log]\nrequest_lines_per_s = {lines}\n"
        expected = "settings_invalid" if how < 0.25 else "settings_reloaded"
        proc, log = node.proc, os.path.join(self.f.dir, node.ip + ".log")
        written, began = os.path.getsize(log), time.monotonic()
        node.write_settings(text)
        self.note(f"hup {node.ip} {expected}", node.ip)
        node.signal(signal.SIGHUP)
        await asyncio.sleep(HANGUP_S)
        with open(log, "rb") as f:
            f.seek(written)
            said = f" {expected} ".encode() in f.read()
        calm = self.calm(began, time.monotonic())
        if not said and proc is node.proc and proc.poll() is None and calm:
            self.fail(f"{node.ip}: no {expected} in {HANGUP_S} s after SIGHUP")

    async def link(self, node, rng):
        how = rng.choice(["reset", "silence", "mute-in", "mute-out", "delay", "refuse"])
        relay = rng.choice([node.relay, node.store_relay])
        span = self.unplanned()
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
                relay.delay = 0.05 + rng.random() * 0.3
            else:
                relay.mute.add(how[5:])
            await asyncio.sleep(0.5 + rng.random() * 2)
            relay.refuse, relay.delay = False, 0.0
            relay.mute.clear()
            # the relay dropped bytes of these connections, so they can't be used any more
            relay.reset_all()
        span.append(time.monotonic())
        for n in self.f.all():
            self.disturbed[n.ip] = time.monotonic()
        self.note(f"{how} over", node.ip)

    async def server_fault(self, node, rng):
        fault = rng.choice(["lost", "shed", "slow", "error", "cut", "extra", "late-extra",
                            "garbage", "hang", "unframed", "unframed-reset"])
        if self.copies_of_rejections:
            fault = "shed"
        span = self.unplanned()
        self.fault_of[node.server.id] = (fault, 0.05 + rng.random() * 0.6)
        self.note(f"server {node.server.id} {fault}")
        await asyncio.sleep(0.5 + rng.random() * 2)
        self.fault_of.pop(node.server.id, None)
        span.append(time.monotonic())

    async def store_fault(self, _node, rng):
        mode = rng.choice(["silent", "503", "429", "reset", "compact"])
        span = self.unplanned()
        self.note(f"store {mode}", store=True)
        if mode == "compact":
            self.f.store.compact()
        else:
            self.f.store.mode = mode
            await asyncio.sleep(0.3 + rng.random() * 2.5)
            self.f.store.mode = "ok"
        span.append(time.monotonic())
        self.note(f"store {mode} over", store=True)

    async def store_copy(self, _node, rng):
        """Restores the store from a copy that is some seconds old. Operators and servers
        then write again what they wrote since, and entries of servers that have left are
        removed."""
        if self.copying:
            return
        self.copying = True
        store, copy = self.f.store, self.f.store.copy()
        await asyncio.sleep(0.5 + rng.random() * 4)
        span = self.unplanned()
        self.note("store goes away", store=True)
        store.mode = rng.choice(["silent", "503", "reset"])
        await asyncio.sleep(rng.random() * 2)
        store.restore(copy)
        store.mode = "ok"
        self.copies += 1
        self.note(f"store back from a copy, era {store.era}", store=True)
        await asyncio.sleep(rng.random())
        store.put("op/config", self.f.document(self.version, self.rules()))
        now = {n.server.id: n.server for n in self.f.all()}
        for server in now.values():
            if server not in self.crashes.down:
                self.f.register(server)
        self.note("written again", store=True)
        await asyncio.sleep(2)
        for key in [k for k in store.items if k.startswith("servers/")]:
            if key[len("servers/"):] not in {n.server.id for n in self.f.all()}:
                store.remove(key)
        span.append(time.monotonic())
        self.copying = False

    async def bad_request(self, _node, rng):
        """Sends a request that crashes the servers which execute it, again and again and to
        any node."""
        if self.crashes.path:
            return
        self.crashes.path = f"/get/bad{len(self.faults)}"
        self.crashes.sends, self.crashes.ends = [], []
        span = self.unplanned()
        self.note(f"{self.crashes.path} ends servers")
        began, n = time.monotonic(), 0
        while time.monotonic() < began + 6:
            rid = f"bad{len(self.faults)}-{n}"
            n += 1
            c = rng.choice(self.f.all()).caller()
            try:
                await c.ask("GET", self.crashes.path, rid, deadline=2000, timeout=3)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            c.close()
            await asyncio.sleep(0.1 + rng.random() * 0.4)
        late = self.crashes.late_sends()
        self.ended_servers += len(self.crashes.ends)
        self.note(f"{self.crashes.path} ended {len(self.crashes.ends)} servers, {len(late)} late")
        if len(late) > SENDS_ALLOWED:
            self.fail(f"{self.crashes.path}: sent {len(late)} times later than {TOUCH_S} s "
                      "after it had ended three servers")
        await asyncio.sleep(3)
        span.append(time.monotonic())
        self.crashes.path = ""

    async def change(self, _node, _rng):
        self.version += 1
        self.f.store.put("op/config", self.f.document(self.version, self.rules()))
        self.changed_at = time.monotonic()
        self.note(f"config {self.version}")
        await asyncio.sleep(0.1)

    async def drain(self, node, _rng):
        """Drains a server and registers a new one at the same address."""
        old = node.server
        if old.draining or old.says or sum(not n.server.draining for n in self.f.nodes[old.service]) < 2:
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

    async def alone(self, step, node, rng):
        """Runs a step unless another such step is in progress at the same node."""
        if node.ip in self.busy:
            return
        self.busy.add(node.ip)
        await step(node, rng)
        self.busy.discard(node.ip)

    async def series(self):
        """Starts steps at random times; `planned` seeds draw planned work only."""
        planned = [self.term, self.term, self.roll, self.two_rolls, self.hangup, self.hangup,
                   self.change, self.change, self.drain]
        mixed = [self.kill, self.term, self.roll, self.pause, self.hangup, self.link, self.link,
                 self.server_fault, self.server_fault, self.store_fault, self.change, self.drain]
        # nodes are not disturbed, as they must keep what they know of requests and the store
        ends = [self.bad_request, self.store_copy, self.store_copy, self.change, self.drain,
                self.drain, self.hangup, self.server_fault]
        if self.stepping:
            mixed = self.stepping.steps() + [
                self.store_copy, self.store_copy, self.store_fault, self.kill, self.link, self.change]
        elif self.renewing:
            mixed = [self.announcing.leave_anew] * 5 + [
                self.store_copy, self.store_copy, self.store_fault, self.store_fault, self.kill,
                self.link, self.link, self.pause, self.change, self.announcing.limit]
        elif self.announcing:
            mixed += [self.announcing.leave] * 3 + [self.announcing.limit] * 4
        running = []
        at = rolled = 0.0
        while at < self.seconds:
            gap = 0.1 + self.chaos_rng.random() * 0.8
            await asyncio.sleep(gap)
            at += gap
            node = self.chaos_rng.choice(self.f.all())
            step = self.chaos_rng.choice(planned if self.planned else ends if self.ends else mixed)
            rng = random.Random(self.chaos_rng.random())
            if step in (self.roll, self.two_rolls):
                if rolled and at < rolled + ROLL_S:
                    step = self.hangup
                else:
                    rolled = at
            if step in (self.kill, self.pause):
                running.append(asyncio.ensure_future(self.alone(step, node, rng)))
            else:
                running.append(asyncio.ensure_future(step(node, rng)))
        await asyncio.gather(*running)
