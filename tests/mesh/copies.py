"""Failure tests of servers that send a second copy of an answer late, where the answer to the
next request on the connection is expected."""
import asyncio
import collections

import standin
from fleet import CALLERS, route
from harness import check, runs, test

ORDERS = [route("get", "/get/", "front"), route("put", "/put/", "back", "unsafe", 0, 5, 2, attempts=1)]
REQUESTS = 30


def shed_first(fault):
    """Returns a behaviour that rejects the first attempt of each request with @fault."""
    seen = collections.Counter()

    async def behave(s, head, rid, stage):
        if stage == "head":
            seen[rid] += 1
            return fault if seen[rid] == 1 else None
        await asyncio.sleep(0.01)
    return behave


async def order_on_behalf(s, head, rid, stage):
    """Makes one call on an unsafe route for each request; its id is that of the request and .1"""
    if stage != "run":
        return None
    c = standin.Caller(s.ip, CALLERS)
    try:
        a = await c.ask("POST", f"/put/{rid}", f"{rid}.1", body=b"order", deadline=4000)
    finally:
        c.close()
    return None if a.status == 200 else (None, 500, b"call failed")


@test({"front": 1, "back": 1}, rules=ORDERS)
async def test_copy_of_a_rejection_after_a_resend(f):
    """Guards against an order that runs twice: a call is sent again over the connection that
    brought its rejection, and the late second copy of the rejection is taken for the answer."""
    front, back = f.nodes["front"][0], f.nodes["back"][0]
    front.server.behave, back.server.behave = order_on_behalf, shed_first("shed-copied")
    ids = [f"r{i}" for i in range(REQUESTS)]
    answers = [await front.caller().ask("GET", f"/get/{rid}", rid) for rid in ids]
    twice = [rid for rid in ids if runs(f, f"{rid}.1") > 1]
    check(not twice, f"{len(twice)} of {REQUESTS} calls ran more than once")
    statuses = collections.Counter(a.status for a in answers)
    check(back.server.copies_sent and statuses[200], (back.server.copies_sent, statuses))
