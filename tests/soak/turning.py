"""Servers of the soak that leave without a word, go on with a good health check, and are started
anew, while the store turns single hosts away for a moment and cuts their watches."""
import asyncio
import time

from series import DRAIN_S
from stepping import Stepping

MODES = ["429", "503", "reset"]
AWAY_S = 0.6  # longest time for which a host is turned away


class Turning(Stepping):
    async def leave_silently(self, node, rng):
        """The entry of a server is removed; it works on, and is started anew later. Calls of the
        node beside it to the store fail then, and again and again."""
        server, ann, f = node.server, self.soak.announcing, self.soak.f
        others = [n for n in f.nodes[server.service] if ann.free(n.server)]
        if not ann.free(server) or len(others) < 3 or server.draining:
            return
        ann.renewed.add(server)
        f.silent.add(server.id)
        span = self.soak.unplanned()
        f.store.remove("servers/" + server.id)
        drain = [server, server.id, time.monotonic(), None]
        if f.store.mode == "ok":
            self.drains.append(drain)
        self.soak.note(f"{server.id} leaves silently")
        end = time.monotonic() + DRAIN_S + 2 + rng.random() * 4
        while time.monotonic() < end:
            await self.turn_away(node, rng)
            await asyncio.sleep(rng.random() * 1.2)
        drain[3] = time.monotonic()
        f.silent.discard(server.id)
        await self.restart(server, rng)
        span.append(time.monotonic())
        ann.renewed.discard(server)

    async def turn_away(self, node, rng):
        """The store turns one host away for a moment, or cuts the calls of it that wait."""
        store, peer = self.soak.f.store, node.store_relay.addr[0]
        if rng.random() < 0.25:
            store.cut_watch(peer)
            return
        store.failing[peer] = rng.choice(MODES)
        await asyncio.sleep(0.05 + rng.random() * AWAY_S)
        store.failing.pop(peer, None)

    def steps(self):
        return [self.leave_silently] * 6 + [self.turn_away] * 4 + [self.drain_anew] * 2

    def check(self):
        super().check()
        if not self.soak.f.store.turned_away:
            self.soak.fail("no call to the store failed")
        self.soak.note(f"{self.soak.f.store.turned_away} calls to the store failed")
