"""Servers of the soak whose hosts' clocks step: a process reports a start time that is ahead or
behind, drains in the store or is removed from it, and is started anew under its id, while other
writers overwrite its entry and the nodes that read the store are killed."""
import asyncio
import time

from series import DRAIN_S

SLACK_S = 0.05  # transit time to the server
TOUCH_S = 3.0
# by how much the clock of a server's host is ahead when its process starts, ms
STEPS_MS = [0, 0, 4000, -4000, 12000, -60000, 86400000]
# what another writer leaves in place of a server's entry, once
FOREIGN = [{"born": 9 * 10**18}, {"born": None}, {"address": "127.0.0.1:99999"}, {"info": []},
           {"status": {"state": "ready", "sequence": 1, "cold_remaining_s": 0}, "born": 1}]


class Stepping:
    def __init__(self, soak):
        self.soak = soak
        self.drains = []  # [server, id, since, until]

    def born(self, rng):
        return int(time.time() * 1000) + rng.choice(STEPS_MS)

    async def restart(self, server, rng):
        server.stop()
        await asyncio.sleep(0.1 + rng.random())
        server.draining, server.born = False, self.born(rng)
        await server.start()
        self.soak.f.register(server)
        self.soak.note(f"{server.id} started anew, born {server.born}")

    async def drain_anew(self, node, rng):
        """A server is started anew, drains or is removed from the store, and is started anew."""
        server, ann = node.server, self.soak.announcing
        others = [n for n in self.soak.f.nodes[server.service] if ann.free(n.server)]
        if not ann.free(server) or len(others) < 3:
            return
        ann.renewed.add(server)
        span = self.soak.unplanned()
        await self.restart(server, rng)
        await asyncio.sleep(0.5 + rng.random() * 3)
        gone = rng.random() < 0.3
        # a server that was removed writes nothing that says ready, also if a copy has its entry
        server.draining = True
        if gone:
            self.soak.f.store.remove("servers/" + server.id)
        else:
            self.soak.f.register(server)
        drain = [server, server.id, time.monotonic(), None]
        if self.soak.f.store.mode == "ok" and not self.soak.f.store.refused:
            self.drains.append(drain)
        self.soak.note(f"{server.id} {'is removed' if gone else 'drains'}")
        await asyncio.sleep(DRAIN_S + 1 + rng.random() * 5)
        drain[3] = time.monotonic()
        await self.restart(server, rng)
        span.append(time.monotonic())
        ann.renewed.discard(server)

    async def foreign_entry(self, node, rng):
        """Another writer overwrites the entry of a server that does not leave."""
        server = node.server
        key = "servers/" + server.id
        if server.draining or key not in self.soak.f.store.items:
            return
        self.soak.note(f"foreign entry of {server.id}")
        self.soak.f.store.put(key, {**server.entry(), **rng.choice(FOREIGN)})

    async def kill_readers(self, _node, rng):
        """The nodes that read the store for all are killed at the same moment."""
        readers = [n for n in self.soak.f.all() if n.ip not in self.soak.busy and
                   n.proc.poll() is None and await self.reads(n)]
        await asyncio.gather(*(self.soak.alone(self.soak.kill, n, rng) for n in readers))

    async def reads(self, node):
        try:
            return await asyncio.wait_for(node.metric("lw_store_reader"), 1) == 1
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def steps(self):
        return [self.drain_anew] * 5 + [self.foreign_entry] * 2 + [self.kill_readers] * 2

    def check(self):
        """No request is sent later than its drain time to a server that drains, by nodes that
        were not disturbed since, if the store was stable when it accepted the report."""
        for server, sid, since, until in self.drains:
            if any(since - TOUCH_S < t < since + DRAIN_S for t in self.soak.store_faults):
                continue
            for at, rid in server.ran:
                _, node, sent = self.soak.asked.get(rid, (None, None, 0))
                if node and since + DRAIN_S + SLACK_S < sent and at < (until or at + 1):
                    if self.soak.announcing.calm(node.ip, since - TOUCH_S, at):
                        self.soak.fail(f"{rid}: sent {sent - since:.2f} s after {sid} drained")
