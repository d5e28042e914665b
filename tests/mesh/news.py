"""Failure tests of the dissemination of store updates among many nodes."""
import asyncio
import signal

import olderpeer
from fleet import STORE, config, route, until
from harness import check, test

FRONT = [route("get", "/get/", "front"), route("leaf", "/leaf/", "back")]


def many_routes(n):
    return FRONT + [route(f"extra-{i}", f"/added/{i}/", "front") for i in range(n)]


async def in_force(f, nodes, version, seconds):
    """Waits until the nodes have the configuration; fails if a node takes longer than
    `seconds`."""
    for n in nodes:
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == version, seconds)


async def bytes_out(nodes):
    return [await n.metric("lw_mesh_bytes_out_total") for n in nodes]


async def readers(f):
    return [n for n in f.all() if await n.metric("lw_store_reader") == 1]


@test({"front": 12, "back": 12})
async def test_large_config_is_spread_by_many(f):
    """Guards against a host whose link carries nothing else for seconds, because it sends a
    large configuration to every other host itself."""
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
    """Guards against hosts that start together and read the store repeatedly although two
    of them read it for all."""
    await f.start()
    await asyncio.sleep(3)
    check(f.store.calls <= 24 + 3 * 4.5 + 8, f.store.calls)


@test({"front": 12, "back": 12}, start=False)
async def test_a_cold_start_costs_two_calls(f):
    """Guards against hosts that start while the store is still empty and then read it
    repeatedly."""
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
    # per host, one read finds nothing and one everything; readers for others make 2 per second
    check(f.store.calls <= 24 * 2 + seconds * 4.5, (f.store.calls, round(seconds, 1)))


@test({"front": 12, "back": 12})
async def test_an_outage_costs_few_calls(f):
    """Guards against a fleet in which every host retries the store repeatedly during an
    outage of the store."""
    await asyncio.sleep(2)
    f.store.mode = "503"
    await asyncio.sleep(1)
    before = f.store.calls
    await asyncio.sleep(6)
    # 2 reads per second by each reader for others, one in 2 s by each other host
    check(f.store.calls - before <= 6 * (4 * 2 + 20 / 2), f.store.calls - before)
    f.store.mode = "ok"
    f.store.put("op/config", config(8, many_routes(10)))
    await in_force(f, f.all(), 8, 2)


@test({"front": 12, "back": 12})
async def test_news_past_hosts_that_stand_still(f):
    """Guards against a change that arrives late because the hosts that read the store and
    some of those that forward its updates are paused."""
    await asyncio.sleep(1)
    still = await readers(f)
    still += [n for n in f.all()[::3] if n not in still]
    for n in still:
        n.signal(signal.SIGSTOP)
    f.store.put("op/config", config(7, many_routes(300)))
    await in_force(f, [n for n in f.all() if n not in still], 7, 2)


@test({"front": 1, "back": 2})
async def test_older_node_hears_and_is_heard(f):
    """Guards against a rolling upgrade in which a node of the older version gets no store
    updates, or its updates are not accepted."""
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
    """Guards against a node that starts without the store and exits when a node of the
    older version announces its server list."""
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
