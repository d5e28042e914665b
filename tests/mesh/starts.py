"""Failure tests of the start of nodes that know no other node but the seeds."""
import asyncio
import signal

import fleet as fl
from fleet import config, until
from harness import check, test
from news import FRONT

# calls a second of those that read the store for all, seeds included while they start
READING = 4.5


async def start_empty(f):
    """Starts all nodes while the store is still empty; returns the time of the start."""
    await f.store.start(f"127.{f.net}.0.250", fl.STORE)
    for n in f.all():
        if n.relay:
            await n.relay.start()
            await n.store_relay.start()
        await n.server.start()
        n.start()
    return asyncio.get_event_loop().time()


async def fill_store(f, pause=0.06):
    f.store.put("op/config", config(1, FRONT))
    for n in f.all():
        f.register(n.server)
        await asyncio.sleep(pause)
    f.beats = asyncio.ensure_future(f.heartbeats())


@test({"front": 12, "back": 12}, start=False, seeds=3)
async def test_a_cold_start_with_seeds_costs_no_calls(f):
    """Guards against a fleet that starts together and reads the store from every host: the
    servers enter the list over some seconds, and a node that is not listed gets no updates.
    Only the seeds and the readers for others may call the store."""
    began = await start_empty(f)
    await asyncio.sleep(0.6)
    await fill_store(f)
    await f.until_ready()
    await asyncio.sleep(2)
    seconds = asyncio.get_event_loop().time() - began
    calls = [await n.metric("lw_store_calls_total") for n in f.all()]
    check(f.store.calls <= (3 + 2) * READING / 2 * seconds, (f.store.calls, round(seconds, 1)))
    check(sum(c > 0 for c in calls) <= 3 + 2 * 3, f"nodes that called the store: {calls}")


@test({"front": 6, "back": 6}, seeds=3)
async def test_a_restart_asks_the_seeds(f):
    """Guards against a rolling restart in which every process reads the store though other
    nodes have all that it needs."""
    await asyncio.sleep(3)
    for n in f.all()[4:]:
        if await n.metric("lw_store_reader"):
            continue
        n.kill()
        n.start()
        await f.until_ready([n], timeout=2)
        check(not await n.metric("lw_store_calls_total"), "a restarted node called the store")


@test({"front": 4, "back": 4}, seeds=3)
async def test_a_start_without_its_seeds(f):
    """Guards against a node that waits for ever: it starts while all seeds are gone, two of
    them so that nothing answers at their addresses."""
    await asyncio.sleep(2)
    seeds, node = f.all()[:3], f.all()[-1]
    seeds[0].kill()
    for n in seeds[1:]:
        n.signal(signal.SIGSTOP)
    node.kill()
    node.start()
    await f.until_ready([node], timeout=3)
    a = await node.caller().ask("GET", "/leaf/1", "alone")
    check(a.status == 200, a)


@test({"front": 6, "back": 6}, start=False, seeds=3, relays=True)
async def test_seeds_cannot_reach_the_store(f):
    """Guards against a fleet that does not start because the store rejects the three hosts
    that all others wait for."""
    f.refuse(f.all()[:3])
    await start_empty(f)
    await fill_store(f, 0)
    await f.until_ready(timeout=4)
    f.check_refused()


@test({"front": 12, "back": 12}, start=False, seeds=3)
async def test_a_start_while_the_store_is_away(f):
    """Guards against a fleet that starts during an outage of the store and calls it from
    every host, again and again."""
    f.store.mode = "503"
    await start_empty(f)
    await asyncio.sleep(4)
    # each seed retries twice a second at least, and asks two others each half second
    check(f.store.calls <= 3 * 4 * (4 + 4), f.store.calls)
    f.store.mode = "ok"
    await fill_store(f, 0)
    await f.until_ready(timeout=3)
