"""Failure tests of servers that send a second copy of an answer late, where the answer to the
next request on the connection is expected."""
import asyncio
import collections

import standin
from fleet import CALLERS, route
from harness import check, runs, test

ORDERS = [route("get", "/get/", "front"), route("put", "/put/", "back", "unsafe", 0, 5, 2, attempts=1)]
READS = [route("read", "/read/", "back"), route("order", "/order/", "back", "unsafe")]
REQUESTS = 30
REFUSALS = (408, 421, 429, 503)


def shed_first(fault):
    """Returns a behaviour that rejects the first attempt of each request whose id does not end in
    an odd digit with @fault."""
    seen = collections.Counter()

    async def behave(s, head, rid, stage):
        if stage == "head":
            seen[rid] += 1
            return fault if seen[rid] == 1 and rid[-1] not in "13579" else None
        await asyncio.sleep(0.01)
    return behave


async def order_on_behalf(s, head, rid, stage):
    """Makes one call on an unsafe route for each request; its id is that of the request and .0"""
    if stage != "run":
        return None
    c = standin.Caller(s.ip, CALLERS)
    try:
        a = await c.ask("POST", f"/put/{rid}", f"{rid}.0", body=b"order", deadline=4000)
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
    twice = [rid for rid in ids if runs(f, f"{rid}.0") > 1]
    check(not twice, f"{len(twice)} of {REQUESTS} calls ran more than once")
    statuses = collections.Counter(a.status for a in answers)
    check(back.server.copies_sent and statuses[200], (back.server.copies_sent, statuses))


@test({"front": 1, "back": 2}, rules=ORDERS)
async def test_copy_of_a_rejection_without_an_id(f):
    """Guards against an order that is refused and runs, or runs twice: the late second copy of a
    rejection without an id is taken for the answer to the next order on the connection."""
    node = f.nodes["front"][0]
    for n in f.nodes["back"]:
        n.server.names_rejections, n.server.behave = False, shed_first("shed-copied")
    bad = []
    for i in range(3 * REQUESTS):
        a = await node.caller().ask("POST", "/put/1", f"o{i}", body=b"order")
        ran = runs(f, f"o{i}")
        if ran > 1 or (ran and a.status in REFUSALS):
            bad.append((f"o{i}", a.status, ran))
    check(not bad, f"{len(bad)} orders were refused and ran, or ran twice: {bad[:3]}")


@test({"front": 1, "back": 1})
async def test_copy_of_a_misdirection(f):
    """Guards against a node that refuses all requests for its own live server: the late copy of an
    answer 421 for the former server at its address is taken for the answer to a request for it."""
    node, server = f.nodes["front"][0], f.nodes["back"][0].server
    server.names_rejections, server.copies_421 = False, True
    server.id, former = "i-back-anew", server.id
    for i in range(3):
        await node.caller().ask("GET", "/leaf/1", f"former{i}", deadline=500)
    f.register(server)
    f.store.remove("servers/" + former)
    await asyncio.sleep(1.5)
    answers = [await node.caller().ask("GET", "/leaf/1", f"anew{i}") for i in range(10)]
    check([a.status for a in answers[3:]] == [200] * 7, answers)


async def shed_full(s, head, rid, stage):
    """Rejects the requests whose id begins with "full", with a late second copy."""
    if stage == "head":
        return "shed-copied" if rid.startswith("full") else None
    await asyncio.sleep(0.05)


async def after_rejections(f, named, method, path):
    """Sends requests that are rejected with late copies, each followed by one that is not: that one
    is answered if it runs."""
    node = f.nodes["front"][0]
    for n in f.nodes["back"]:
        n.server.names_rejections, n.server.behave = named, shed_full
    answers = {}
    for i in range(REQUESTS):
        await node.caller().ask("GET", "/read/1", f"full{i}")
        answers[f"r{i}"] = (await node.caller().ask(method, path, f"r{i}")).status
    rejected = [a for a in answers if not runs(f, a)]
    bad = [(a, s, runs(f, a)) for a, s in answers.items() if runs(f, a) and s != 200]
    check(not bad, f"{len(bad)} of {REQUESTS} requests ran and were not answered: {bad[:3]}")
    check(len(rejected) < REQUESTS / 2, f"{len(rejected)} of {REQUESTS} requests reached no server")
    check(not [a for a in answers if method == "POST" and runs(f, a) > 1], "ran twice")


@test({"front": 1, "back": 2}, rules=READS)
async def test_copy_of_a_rejection_meets_a_read(f):
    """Guards against a read that is answered 502 or 503 while its servers are at work on it: the
    late second copies of rejections without an id are taken for the answers to both attempts."""
    await after_rejections(f, False, "GET", "/read/1")


@test({"front": 1, "back": 2}, rules=READS)
async def test_named_copy_meets_a_read(f):
    """Guards against a read that is answered 502 while its servers are at work on it: the late
    second copies of rejections, each with the id of its request, end both attempts."""
    await after_rejections(f, True, "GET", "/read/1")


@test({"front": 1, "back": 2}, rules=READS)
async def test_named_copy_meets_an_order(f):
    """As above; an order has one attempt."""
    await after_rejections(f, True, "POST", "/order/1")
