"""Failure tests of what nodes read from the store: configuration, servers, leases."""
import asyncio
import signal
import time

import fleet as fl
from fleet import ROUTES, config, route, until
from harness import check, runs, test


@test({"front": 1, "back": 2})
async def test_restarted_servers_old_entries(f):
    """Guards against calls of running requests that end with 503 "misdirected" after a
    power failure, and their requests with them: servers restart with other ids at their
    addresses; the old entries stay in the store a little longer than the new ones take to
    appear; each call is sent to two old ids, rejected by both, and ends. Nodes must
    remember that these ids are gone, so that calls wait for the new entries."""
    node = f.nodes["front"][0]
    for i, n in enumerate(f.nodes["back"]):
        n.server.id = f"i-back-{i}-anew"
    for i in range(4):
        await node.caller().ask("GET", "/leaf/1", f"first{i}")
    calls = [asyncio.ensure_future(node.caller().ask("GET", "/leaf/1", f"run.call{i}"))
             for i in range(30)]
    await asyncio.sleep(0.1)
    for n in f.nodes["back"]:
        f.register(n.server)
    statuses = [(await c).status for c in calls]
    check(statuses.count(200) >= 28, statuses)


@test({"front": 1, "back": 2})
async def test_drain(f):
    """Guards against requests that reach a server after it has left: its entry says
    draining, or is removed, while requests continue, and nodes read the server list too
    seldom, or requests are queued at its node."""
    node = f.nodes["front"][0]
    stop = []

    async def traffic():
        i = 0
        while not stop:
            i += 1
            a = await node.caller().ask("GET", "/leaf/1", f"d{i}")
            check(a.status == 200, a)
            await asyncio.sleep(0.01)
    task = asyncio.ensure_future(traffic())
    await asyncio.sleep(0.5)
    server = f.nodes["back"][0].server
    server.draining = True
    f.register(server)
    since = time.monotonic()
    await asyncio.sleep(3.5)
    late = [t - since for t, _ in server.ran if t > since + 2]
    check(not late, late[:3])
    f.store.remove("servers/" + server.id)
    await asyncio.sleep(0.5)
    stop.append(1)
    await task
    check(len(f.nodes["back"][1].server.ran) > 100, "the other one serves")


@test({"front": 1, "back": 1, "other": 1})
async def test_address_reused(f):
    """Guards against a request that is executed at a server of another service: a server
    exits, its address goes to another service, and the old entry is still there. A server
    is identified by its id, not by its address."""
    node = f.nodes["back"][0]
    node.server.stop()
    new = fl.standin.Server("i-new", "other", node.ip, fl.BACKEND)
    await new.start()
    f.nodes["back"][0].server = new
    for i in range(4):
        a = await f.nodes["front"][0].caller().ask("POST", "/up/1", f"a{i}", body=b"x")
        check(a.status == 503, a)
    check(not new.ran, new.ran)


@test({"front": 2, "back": 1})
async def test_config(f):
    """Guards against nodes that apply a configuration late or partly: it is in force on
    every node within two seconds. A removed route is rejected, an added one is served,
    and an older version changes nothing."""
    rules = [route("get", "/get/", "back"), route("new", "/new/", "front")]
    f.store.put("op/config", config(5, rules))
    await asyncio.sleep(1.9)
    for i, n in enumerate(f.all()):
        c = n.caller()
        a = await c.ask("GET", "/get/1", f"c{i}")
        check(a.status == 200 and a.body.startswith(b"i-back"), a)
        check((await c.ask("GET", "/new/1", f"n{i}")).status == 200, "added")
        check((await c.ask("GET", "/leaf/1", f"l{i}")).status == 404, "removed")
    f.store.put("op/config", config(3))
    await asyncio.sleep(1.5)
    for i, n in enumerate(f.all()):
        check((await n.caller().ask("GET", "/leaf/1", f"m{i}")).status == 404, "went back")


async def reading(f):
    return [n for n in f.all() if await n.metric("lw_store_reader") == 1]


@test({"front": 2, "back": 3}, relays=True)
async def test_store_refuses_some(f):
    """Guards against a node that serves by an old configuration and an old server list
    when the store rejects its reads: the store answers 503 to two nodes and then changes,
    and each node knows only what it read itself. Which nodes read follows from their
    addresses; the two rejected nodes always include a reader."""
    readers = await until(lambda: reading(f), lambda r: len(r) == 2)
    asked = f.nodes["front"][0]
    other = f.nodes["back"][2] if asked in readers else readers[0]
    f.refuse([asked, other])
    await asyncio.sleep(1)
    f.store.put("op/config", config(5, [route("get", "/get/", "back")]))
    f.nodes["back"][0].server.draining = True
    f.register(f.nodes["back"][0].server)
    await asyncio.sleep(2)
    since = time.monotonic()
    for i in range(30):
        a = await f.nodes["front"][0].caller().ask("GET", "/get/1", f"s{i}")
        check(a.status == 200 and a.body.startswith(b"i-back"), a)
    late = [r for t, r in f.nodes["back"][0].server.ran if t > since]
    check(not late, late)
    f.check_refused()


async def ask_for(f, seconds, prefix):
    """Sends a read every 20 ms; returns (time, status) of each that was not answered 200."""
    bad, i, end = [], 0, time.monotonic() + seconds
    node = f.nodes["front"][0]
    while time.monotonic() < end:
        i += 1
        a = await node.caller().ask("GET", "/leaf/1", f"{prefix}{i}")
        if a.status != 200:
            bad.append((round(time.monotonic() - end + seconds, 2), a.status))
        await asyncio.sleep(0.02)
    return bad


@test({"front": 2, "back": 3}, relays=True)
async def test_lapsed_leases_used_on(f):
    """Guards against a service that has no servers for seconds although all of them live
    and can be reached: their hosts are partitioned from the store and their entries
    lapse, until the partition heals and the entries return. A missing entry alone must
    not be taken for a server that left."""
    backs = f.nodes["back"]
    f.refuse(backs)
    await f.expire(backs)
    bad = await ask_for(f, 4, "cut")
    check(not bad, bad)
    check(all(n.server.checks for n in backs), "nobody asked the servers")
    f.check_refused()
    f.store.refused = set()
    await asyncio.sleep(0.3)
    f.write_again(backs)
    checks = sum(n.server.checks for n in backs)
    bad = await ask_for(f, 3, "back")
    check(not bad, bad)
    check(sum(n.server.checks for n in backs) < checks + 12, "health checks went on and on")


@test({"front": 20, "back": 2}, relays=True)
async def test_lapsed_leases_of_servers_seldom_used(f):
    """Guards against a service that is lost to hosts that seldom call it: the hosts of all its
    servers are partitioned from the store and their leases lapse, while a host that could
    hear from them that they are alive has no connection to them."""
    backs = f.nodes["back"]
    await asyncio.sleep(11)  # unused connections are closed
    f.refuse(backs)
    await f.expire(backs)
    await asyncio.sleep(3)  # longer than a server that left may be used
    lost = []
    for i in range(3):
        for n in f.nodes["front"]:
            a = await n.caller().ask("GET", "/leaf/1", f"{n.ip}-{i}")
            if a.status != 200:
                lost.append((n.ip, a.status))
    f.check_refused()
    check(not lost, lost)


@test({"front": 2, "back": 3}, relays=True)
async def test_silent_leaver(f):
    """Guards against work for a server after its drain time when the server left without
    reporting a drain: its entry is removed, while its node is up and reads the store and
    the server still passes health checks. Contact with the node must not be taken as a
    sign that the server stays."""
    leaver = f.nodes["back"][0].server
    f.store.remove("servers/" + leaver.id)
    since = time.monotonic()
    bad = await ask_for(f, 4, "s")
    check(not bad, bad)
    late = [round(t - since, 2) for t, r in leaver.ran if t > since + 2]
    check(not late, late)


async def used_behind_cut(f):
    """Returns a node whose host is partitioned from the store and whose server's entry
    has lapsed; checks that the server still gets requests."""
    node = f.nodes["back"][0]
    f.refuse([node])
    await f.expire([node])
    check(not await ask_for(f, 2.5, "a"), "requests failed")
    check([t for t, r in node.server.ran if r.startswith("a")][-1:], "it was not used on")
    f.check_refused()
    return node


@test({"front": 2, "back": 3}, relays=True)
async def test_leaver_behind_cut(f):
    """Guards against work for a leaving server whose host is partitioned from the store:
    its entry lapses, its node asserts that it is alive, then the server leaves, and only
    its health check reports that. The health check must end the node's liveness
    assertion."""
    node = await used_behind_cut(f)
    node.server.leaving = True
    since = time.monotonic()
    check(not await ask_for(f, 3, "b"), "requests failed")
    late = [round(t - since, 2) for t, r in node.server.ran if t > since + 2]
    check(not late, late)


@test({"front": 2, "back": 3}, relays=True)
async def test_mute_server_behind_cut(f):
    """Guards against work that continues for a server from which nothing has been received
    for seconds: its host is partitioned from the store, its entry lapses, its node asserts
    that it is alive, then its health checks get no answer. The node must not repeat a
    liveness assertion in every status when nothing renews it."""
    node = await used_behind_cut(f)
    node.server.mute = True
    since = time.monotonic()
    check(not await ask_for(f, 5, "b"), "requests failed")
    late = [round(t - since, 2) for t, r in node.server.ran if t > since + 3.5]
    check(not late, late)


@test({"front": 1, "back": 2})
async def test_same_id_started_anew(f):
    """Guards against a server that never gets work after it drained and restarted under
    its id: it drains and exits, and a new process registers with the same id and a later
    start. A later start must cancel the drain, whoever reported the drain."""
    server = f.nodes["back"][0].server
    server.born, server.draining = 1000, True
    f.register(server)
    await asyncio.sleep(2)
    server.born, server.draining = 2000, False
    f.register(server)
    await asyncio.sleep(1.5)
    since = time.monotonic()
    bad = await ask_for(f, 1.5, "n")
    check(not bad, bad)
    check([t for t, _ in server.ran if t > since], "the new process got nothing")


@test({"front": 1, "back": 2})
async def test_entries_of_other_writers(f):
    """Guards against a living server that gets no work, or requests that are sent nowhere,
    when another writer adds entries to the store: bytes that are not JSON, fields of
    another type, an unknown state, a living server's address with a service that no
    configuration names. Invalid fields must not be replaced by defaults."""
    good = f.nodes["back"][0].server.entry()
    forged = {"x-text": b"\xff\xfe", "x-list": b"[]",
              "x-state": {**good, "status": {**good["status"], "state": "asleep"}},
              "x-slots": {**good, "info": {**good["info"], "slots": "many"}},
              "x-addr": {**good, "address": 7}}
    async def work(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.03)
    for n in f.nodes["back"]:
        n.server.behave = work
    for key, value in forged.items():
        f.store.put("servers/" + key, value)
    await asyncio.sleep(1.5)
    bad = [b for many in await asyncio.gather(*(ask_for(f, 1.5, f"e{k}-") for k in range(12)))
           for b in many]
    check(not bad, bad)
    check(all(n.server.ran for n in f.nodes["back"]), "a server got nothing")
    check(len(f.nodes["front"][0].logged("E1209") + f.nodes["back"][0].logged("E1209")
              + f.nodes["back"][1].logged("E1209")) >= len(forged), "refused entries left no line")


@test({"back": 5}, relays=True)
async def test_returning_reader(f):
    """Guards against a server that left but gets requests from every node for over two
    seconds: the store rejects the two readers and serves the others; the entry of a server
    beside a reader is removed; then the readers are admitted again. The readers, also the
    node beside that server, must not take this for an outage of the store and keep
    the removed entry in force."""
    readers = await until(lambda: reading(f), lambda r: len(r) == 2)
    f.refuse(readers)
    await asyncio.sleep(3)
    leaving = readers[0]
    f.store.remove("servers/" + leaving.server.id)
    since = time.monotonic()
    # another change that the readers have not seen makes them publish a list
    extra = fl.standin.Server("i-extra", "other", f"127.{f.net}.0.99", fl.BACKEND)
    f.register(extra)
    await asyncio.sleep(0.3)
    f.check_refused()
    f.store.refused = set()
    i = 0
    while time.monotonic() < since + 3.5:
        i += 1
        a = await f.nodes["back"][i % 5].caller().ask("GET", "/leaf/1", f"r{i}")
        check(a.status == 200, a)
        await asyncio.sleep(0.01)
    late = [t - since for t, _ in leaving.server.ran if t > since + 2]
    check(not late, f"{len(late)} requests late, the last after {late[-1:]} s")


@test({"front": 2, "back": 2})
async def test_store_away(f):
    """Guards against an outage of the store, or the end of one, that stops the traffic:
    the store is silent for six seconds, entries lapse meanwhile, the store returns, and
    servers write their entries again a second later. A missing entry must not be taken
    for a server that is gone."""
    f.store.mode = "silent"
    f.beats.cancel()
    lapse = time.monotonic() + fl.EXPIRY_S
    end = time.monotonic() + 6
    i = 0
    while time.monotonic() < end + 3:
        if lapse < time.monotonic() < end:
            for n in f.all():
                f.store.remove("servers/" + n.server.id)
        if time.monotonic() > end and f.store.mode == "silent":
            f.store.mode = "ok"
        if time.monotonic() > end + 1:
            f.beats = f.beats if not f.beats.cancelled() else asyncio.ensure_future(f.heartbeats())
            for n in f.all():
                if "servers/" + n.server.id not in f.store.items:
                    f.register(n.server)
        i += 1
        a = await f.nodes["front"][i % 2].caller().ask("GET", "/leaf/1", f"o{i}")
        check(a.status == 200, (a, time.monotonic() - end))
        await asyncio.sleep(0.05)


@test({"front": 1, "back": 1})
async def test_store_compacted(f):
    """Guards against a node that misses changes when the store drops its history: the
    node reads everything again."""
    f.store.mode = "503"
    await asyncio.sleep(0.3)
    f.store.put("op/config", config(7, [route("new", "/new/", "front")]))
    f.store.compact()
    f.store.mode = "ok"
    await until(lambda: f.all()[0].caller().ask("GET", "/new/1", f"x{time.monotonic()}"),
                lambda a: a.status == 200, 4, 0.2)
    await until(lambda: [n for n in f.all() if n.logged("store_history_lost")], bool, 2)


@test({"front": 2, "back": 1})
async def test_keys_of_other_writers_in_a_full_read(f):
    """Guards against a full read of the store that never ends or skips items, so that no change is
    applied any more: the key at the end of a page has a character with a meaning in a query."""
    names = ["a&b", "c+d", "e%26f", "g h", "i#j", "k?l=m", "\u0142\u00f3d\u017a", "z" * 150 + "&after=a"]
    f.store.page = 1
    for name in names:
        f.store.put("accounts/" + name, {"plan": "small"})
    await asyncio.sleep(2)
    f.store.put("op/config", config(2, ROUTES + [route("added", "/added/", "back")]))
    f.store.compact()  # before any watch hears of the change
    for n in f.all():
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == 2, 4)
    check((await f.all()[0].caller().ask("GET", "/added/", "a1")).status == 200, "not served")
    calls = f.store.calls
    await asyncio.sleep(2)
    check(f.store.calls - calls < 20, f"{f.store.calls - calls} calls in 2 s")


@test({"front": 2, "back": 2}, start=False)
async def test_store_down_at_start(f):
    """Guards against 404 from a node that starts during an outage of the store: the node
    is not ready and answers 503 until the store is back, then it serves."""
    f.store.mode = "503"
    await f.start(wait=False)
    node = f.nodes["front"][0]
    await asyncio.sleep(1)
    check(await node.ready() == 503, "ready without a configuration")
    a = await node.caller().ask("GET", "/get/1", "early")
    check(a.status == 503 and a.head.get("retry-after"), a)
    f.store.mode = "ok"
    await f.until_ready(timeout=5)
    check((await node.caller().ask("GET", "/get/1", "later")).status == 200, "later")


@test({"front": 3, "back": 3})
async def test_few_read_the_store(f):
    """Guards against a store that is loaded by every node, and against late changes when
    the nodes that read it fail: two nodes read the store for all; when both are paused,
    others read it early enough for a change to be in force within two seconds."""
    await asyncio.sleep(4)
    before, start = f.store.calls, time.monotonic()
    await asyncio.sleep(3)
    rate = (f.store.calls - before) / (time.monotonic() - start)
    check(rate < 4.5, f"{rate} calls a second")
    readers = [n for n in f.all() if await n.metric("lw_store_reader") == 1]
    check(len(readers) == 2, readers)
    for n in readers:
        n.signal(signal.SIGSTOP)
    f.store.put("op/config", config(9, [route("new", "/new/", "front")]))
    await asyncio.sleep(2)
    for i, n in enumerate(f.all()):
        if n not in readers:
            a = await n.caller().ask("GET", "/new/1", f"q{i}")
            check(a.status != 404, (a, n.ip))
