"""Servers of the soak that send a second copy of some rejections late, where the answer to the next
request on the connection is expected, and runs that make a call on a route for orders."""
import asyncio
import time

import fleet as fl
import standin

# share of the rejections that are sent a second time
COPIED_SHARE = 0.3
CALL_S = 1.5


class Copying:
    def __init__(self, soak):
        self.soak = soak
        for i, n in enumerate(soak.f.all()):
            n.server.names_rejections = i % 2 == 0
            n.server.copies_421 = True

    def rejection(self):
        return "shed-copied" if self.soak.rng.random() < COPIED_SHARE else "shed"

    def sent(self):
        return sum(n.server.copies_sent for n in self.soak.f.all())

    async def call(self, server, rid):
        """Makes the call of a run: an order, whose id is that of the request and .0"""
        s, own = self.soak, rid + ".0"
        node = next(n for n in s.f.all() if n.server is server)
        c = standin.Caller(node.ip, fl.CALLERS)
        s.asked.setdefault(own, ("put", node, time.monotonic()))
        s.outcome.setdefault(own, 0)
        try:
            a = await c.ask("POST", f"/put/{own}", own, body=b"call", deadline=int(CALL_S * 1000),
                            timeout=CALL_S + 1)
            s.outcome[own] = a.status
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            c.close()
            s.ended[own] = (time.monotonic(), True)

    def left_out(self, rid, ran):
        """A request that ran again makes its call again, with the same id."""
        return rid.endswith(".0") and len(ran.get(rid[:-2], [])) > 1
