"""Failure tests of the leases of backend servers: who left, and who is cut from the store."""
import asyncio
import time

from fleet import until
from harness import check, lines_with, test
from stores import reading

DRAIN_S = 2.05  # the limit of 2 s and a margin for the way to the server
FAULT_S = 0.12  # how long single calls to the store fail
FAULTS_AT_S = (2.2, 4.4)  # when they do, after the removal
PLAY_S = 7.5
CALLERS = 5  # at each host in front


async def work(server, head, rid, stage):
    """Lasts long enough for each server to get its share of the requests."""
    if stage == "run":
        await asyncio.sleep(0.06)


async def ask_at(node, end, answers):
    """Sends one read after the other."""
    while time.monotonic() < end:
        rid = f"{node.ip}-{len(answers)}-{time.monotonic()}"
        a = await node.caller().ask("GET", "/leaf/1", rid)
        answers.append((time.monotonic(), a.status))


async def last_reader(f):
    """Returns the node beside a server of /leaf/ that asked the store last."""
    nodes = await reading(f)
    by_address = {n.store_relay.addr[0]: n for n in nodes if n.server.service == "back"}
    return by_address[await until(lambda: f.store.last_caller, lambda a: a in by_address)]


async def no_reader(f):
    """Returns a node beside a server of /leaf/ that does not read the store for the others."""
    readers = await reading(f)
    return next(n for n in f.nodes["back"] if n not in readers)


async def fail_once(f, node, mode, within=1.5):
    """Lets one call of this node to the store fail, and those that follow at once; returns
    whether it made one."""
    peer = node.store_relay.addr[0]
    before, since = f.store.turned_away, time.monotonic()
    if mode != "cut":
        f.store.failing[peer] = mode
    while f.store.turned_away == before and time.monotonic() < since + within:
        if mode == "cut":
            f.store.cut_watch(peer)
        await asyncio.sleep(0.005)
    await asyncio.sleep(max(0, since + FAULT_S - time.monotonic()))
    f.store.failing.clear()
    return f.store.turned_away > before


async def leaves_while_single_calls_fail(f, choose, first, later):
    """The entry of a server is removed, as it leaves without a word; single calls of the node
    beside it fail then and later. Returns the times of late requests."""
    for n in f.all():
        n.server.zone, n.server.behave = "zone-a", work
    await f.start()
    await asyncio.sleep(1)
    node = await choose(f)
    peer = node.store_relay.addr[0]
    answers = []
    end = time.monotonic() + 1 + PLAY_S
    callers = [asyncio.ensure_future(ask_at(n, end, answers))
               for n in f.nodes["front"] for _ in range(CALLERS)]
    await asyncio.sleep(1)
    if choose is last_reader:
        await until(lambda: f.store.watching.get(peer), bool, 2, 0.002)
    since = time.monotonic()
    check([t for t, _ in node.server.ran if t > since - 0.5], "it had no work before")
    f.store.remove("servers/" + node.server.id)
    if not await fail_once(f, node, first):  # it need not ask the store
        check(lines_with(node, "lease_changed", "state=gone by=list"), "no call failed")
    for at in FAULTS_AT_S:
        await asyncio.sleep(max(0, since + at - time.monotonic()))
        await fail_once(f, node, later)
    await asyncio.gather(*callers)
    bad = [s for _, s in answers if s != 200]
    check(not bad, bad)
    return [t - since for t, _ in node.server.ran if t > since + DRAIN_S]


def silent_leaver(choose, first, later):
    async def play(f):
        """Guards against work for a server that left without a word because single calls of the
        node beside it to the store fail, which is taken for a lease that lapses behind a cut."""
        f.store.hide_beats = choose is no_reader
        late = await leaves_while_single_calls_fail(f, choose, first, later)
        check(not late, (len(late), round(max(late, default=0), 2)))
    who = "" if choose is last_reader else "of_no_reader_"
    play.__name__ = f"test_silent_leaver_beside_failed_calls_{who}{first}_{later}"
    test({"front": 2, "back": 6}, relays=True, start=False)(play)


for KINDS in (("429", "429"), ("503", "503"), ("reset", "reset"), ("reset", "cut"), ("cut", "503")):
    silent_leaver(last_reader, *KINDS)
for KINDS in (("429", "429"), ("503", "503"), ("reset", "cut")):
    silent_leaver(no_reader, *KINDS)
