"""Failure tests of how news from the store spreads among many nodes."""
import asyncio
import signal

import olderpeer
from fleet import STORE, config, route, until
from harness import check, test

FRONT = [route("get", "/get/", "front"), route("leaf", "/leaf/", "back")]


def many_routes(n):
    return FRONT + [route(f"extra-{i}", f"/added/{i}/", "front") for i in range(n)]


async def in_force(f, nodes, version, seconds):
    """Waits until the nodes have the configuration; fails after that time."""
    for n in nodes:
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == version, seconds)


async def bytes_out(nodes):
    return [await n.metric("lw_mesh_bytes_out_total") for n in nodes]


async def readers(f):
    return [n for n in f.all() if await n.metric("lw_store_reader") == 1]


@test({"front": 12, "back": 12})
async def test_large_config_is_spread_by_many(f):
    """One host sends a large configuration to every other one, and its link carries nothing else for seconds."""
    doc = config(5, many_routes(900))
    await asyncio.sleep(2)
    before = await bytes_out(f.all())
    f.store.put("op/config", doc)
    await in_force(f, f.all(), 5, 2)
    await asyncio.sleep(1)
    sent = [b - a for a, b in zip(before, await bytes_out(f.all()))]
    size = len(olderpeer.text_of(doc))
    check(max(sent) < size, (max(sent), size))


@test({"front": 12, "back": 12}, start=False)
async def test_a_start_costs_one_call(f):
    """Hosts that start together ask the store again and again, though two of them read for all."""
    await f.start()
    await asyncio.sleep(3)
    check(f.store.calls <= 24 + 3 * 4.5 + 8, f.store.calls)


@test({"front": 12, "back": 12}, start=False)
async def test_a_cold_start_costs_two_calls(f):
    """Hosts that start before there is anything in the store ask it again and again."""
    await f.store.start(f"127.{f.net}.0.250", STORE)
    for n in f.all():
        await n.server.start()
        n.start()
    began = asyncio.get_event_loop().time()
    await asyncio.sleep(0.6)
    f.store.put("op/config", config(1, FRONT))
    await asyncio.sleep(0.2)
    for n in f.all():
        f.register(n.server)
        await asyncio.sleep(0.06)
    f.beats = asyncio.ensure_future(f.heartbeats())
    await f.until_ready()
    await asyncio.sleep(2)
    seconds = asyncio.get_event_loop().time() - began
    # one finds nothing, one all, and two a second are of those that read for others
    check(f.store.calls <= 24 * 2 + seconds * 4.5, (f.store.calls, round(seconds, 1)))


@test({"front": 12, "back": 12})
async def test_an_outage_costs_few_calls(f):
    """In an outage of the store every host of the fleet asks it again and again."""
    await asyncio.sleep(2)
    f.store.mode = "503"
    await asyncio.sleep(1)
    before = f.store.calls
    await asyncio.sleep(6)
    # two a second of those that read for others, one in two seconds of the rest
    check(f.store.calls - before <= 6 * (4 * 2 + 20 / 2), f.store.calls - before)
    f.store.mode = "ok"
    f.store.put("op/config", config(8, many_routes(10)))
    await in_force(f, f.all(), 8, 2)


@test({"front": 12, "back": 12})
async def test_news_past_hosts_that_stand_still(f):
    """A change is late where the hosts that read the store and those that pass news on stand still."""
    await asyncio.sleep(1)
    still = await readers(f)
    still += [n for n in f.all()[::3] if n not in still]
    for n in still:
        n.signal(signal.SIGSTOP)
    f.store.put("op/config", config(7, many_routes(300)))
    await in_force(f, [n for n in f.all() if n not in still], 7, 2)


@test({"front": 1, "back": 2})
async def test_older_node_hears_and_is_heard(f):
    """In a rolling upgrade a node of the older version is left without news, or its news is not taken."""
    old = olderpeer.Peer(f.nodes["front"][0].ip)
    await old.connect()
    await until(lambda: old.config, lambda c: c == 1)
    await until(lambda: len(old.servers), lambda n: n == 3)
    f.store.mode = "503"
    text = olderpeer.text_of(config(6, FRONT))
    await old.send_config(6, text)
    await in_force(f, f.all(), 6, 3)
    old.close()


@test({"front": 1, "back": 2}, start=False)
async def test_older_node_heard_before_the_store(f):
    """A node that starts without the store ends when a node of the older version names its list."""
    f.store.mode = "503"
    await f.start(wait=False)
    node = f.nodes["front"][0]
    old = olderpeer.Peer(node.ip)
    old.revision = 9
    await until(lambda: node.logged("started"), bool, 3)
    await old.connect()
    await until(lambda: old.statuses, lambda n: n >= 2, 3)
    check(node.proc.poll() is None, "the node ended")
    f.store.mode = "ok"
    await f.until_ready(timeout=5)
    old.close()
