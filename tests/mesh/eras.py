"""Failure tests of a store that is restored from a copy some seconds old."""
import asyncio
import time

import olderpeer
from fleet import config, until
from harness import check, test

DRAIN_S = 2.05  # the limit of 2 s and a margin for the way to the server


async def asks(f, target, stop, answers, nodes=None):
    """Runs one caller at each node until `stop` is not empty."""
    async def at(node, k):
        i = 0
        while not stop:
            i += 1
            a = await node.caller().ask("GET", target, f"e{k}-{i}")
            answers.append((time.monotonic(), a.status))
            await asyncio.sleep(0.02)
    await asyncio.gather(*(at(n, k) for k, n in enumerate(nodes or f.all())))


def write_much(f, n):
    """Writes unrelated keys, as other users of the store do, so that revisions rise."""
    for i in range(n):
        f.store.put(f"other/{i % 7}", {"n": i})


async def keep_writing(f, stop):
    """A busy store: revisions rise all the time."""
    while not stop:
        write_much(f, 1)
        await asyncio.sleep(0.02)


def raise_revisions(f, n):
    """Does the same and writes a configuration, so that the server list in use also has
    this revision."""
    write_much(f, n)
    f.store.put("op/config", config(4, f.rules))


async def away(f, seconds, copy):
    f.store.mode = "reset"
    await asyncio.sleep(seconds)
    f.store.restore(copy)
    f.store.mode = "ok"


def late(server, since):
    return [t - since for t, _ in server.ran if t > since + DRAIN_S]


async def says_that_it_leaves(f, server, seconds=4):
    server.draining = True
    f.register(server)
    since = time.monotonic()
    await asyncio.sleep(seconds)
    return late(server, since)


async def play(f, fn):
    """Runs `fn` while callers send requests to /leaf/ at every node; returns its result and
    the callers' answers."""
    stop, answers = [], []
    task = asyncio.ensure_future(asks(f, "/leaf/1", stop, answers))
    await asyncio.sleep(1)
    try:
        result = await fn()
    finally:
        stop.append(1)
        await task
    return result, answers


@test({"front": 2, "back": 3})
async def test_drain_after_a_return_from_a_copy(f):
    """Guards against a leaving server that gets work for seconds because the list that
    contains its drain has a revision that was already used before the store was
    restored."""
    copy = f.store.copy()
    raise_revisions(f, 300)
    server = f.nodes["back"][0].server

    async def fn():
        await away(f, 1.5, copy)
        await asyncio.sleep(3)
        return await says_that_it_leaves(f, server)
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 3})
async def test_drain_below_the_watched_revision(f):
    """Guards against a drain that nodes never receive: at the next watch the restored
    store is already past the revision that a node watched before, and the drain has a
    lower revision."""
    copy = f.store.copy()
    raise_revisions(f, 20)
    server = f.nodes["back"][0].server

    async def fn():
        await away(f, 0, copy)
        server.draining = True
        f.register(server)
        since = time.monotonic()
        write_much(f, 60)
        for _ in range(80):  # a busy store: watches return at once, and no node reads everything
            await asyncio.sleep(0.05)
            write_much(f, 1)
        return late(server, since)
    f.beats.cancel()  # heartbeats do not write the drain again
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 3, "back": 3}, relays=True)
async def test_drain_told_by_who_saw_the_return(f):
    """Guards against a node, partitioned from the store, that takes updates from a node
    that saw the restored store for outdated ones, and so sends work to a leaving
    server."""
    copy = f.store.copy()
    raise_revisions(f, 300)
    server = f.nodes["back"][0].server
    cut = [f.nodes["front"][0], f.nodes["back"][1]]

    async def fn():
        f.refuse(cut)
        await away(f, 1.5, copy)
        await asyncio.sleep(3)
        f.check_refused()
        return await says_that_it_leaves(f, server)
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 3}, relays=True)
async def test_two_returns_in_a_row(f):
    """Guards against late work for a leaving server when the store is restored twice, while
    it rejects the reads of every second node and then those of the other nodes, so that
    the nodes that read for all are rejected in turn."""
    copy = f.store.copy()
    raise_revisions(f, 200)
    server = f.nodes["back"][0].server
    await asyncio.sleep(1)
    readers = [n for n in f.all() if await n.metric("lw_store_reader") == 1]
    rest = [n for n in f.all() if n not in readers]
    some, others = readers[:1] + rest[::2], readers[1:] + rest[1::2]

    async def fn():
        f.refuse(some)
        await away(f, 0.6, copy)
        await asyncio.sleep(0.8)
        f.check_refused()
        write_much(f, 150)
        f.refuse(others)
        await away(f, 0.6, copy)
        await asyncio.sleep(0.8)
        f.check_refused()
        f.refuse([])
        await asyncio.sleep(2)
        return await says_that_it_leaves(f, server)
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 3})
async def test_drain_lost_with_the_copy(f):
    """Guards against work for a server that has reported its drain, after the restored
    store has lost that report."""
    copy = f.store.copy()
    server = f.nodes["back"][0].server

    async def fn():
        server.draining = True
        f.register(server)
        since = time.monotonic()
        f.beats.cancel()  # heartbeats do not write the drain again
        await asyncio.sleep(1)
        await away(f, 0.8, copy)
        await asyncio.sleep(4)
        return late(server, since)
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 3})
async def test_entry_of_one_that_left_is_in_the_copy(f):
    """Guards against work for a server that left without reporting a drain and whose entry
    is in the server list again after the store is restored."""
    copy = f.store.copy()
    server = f.nodes["back"][0].server

    async def fn():
        f.beats.cancel()
        f.store.remove("servers/" + server.id)
        since = time.monotonic()
        await asyncio.sleep(1.5)
        await away(f, 0.8, copy)
        await asyncio.sleep(3)
        return late(server, since)
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


async def until_it_lapses(f, server):
    """The servers other than this one write their entries again; its own lapses."""
    for _ in range(3):
        await asyncio.sleep(1.4)
        for n in f.all():
            if n.server is not server:
                f.register(n.server)
    f.store.remove("servers/" + server.id)


async def readers_started_after_a_copy(f, beside=False):
    """A server leaves without a report, and the store is restored from a copy that has its
    entry; the nodes that read for all are restarted just after that, and the one beside the
    server, too (beside). Returns late requests."""
    await asyncio.sleep(1)
    copy = f.store.copy()
    server = f.nodes["back"][0].server
    readers = [n for n in f.all() if await n.metric("lw_store_reader") == 1]
    if beside and f.nodes["back"][0] not in readers:
        readers.append(f.nodes["back"][0])

    async def fn():
        f.beats.cancel()
        f.store.remove("servers/" + server.id)
        since = time.monotonic()
        await asyncio.sleep(1.5)
        await away(f, 0.8, copy)
        await asyncio.sleep(0.2)
        for n in readers:
            n.kill()
        await asyncio.sleep(0.3)
        for n in readers:
            n.start()
        await until_it_lapses(f, server)
        return late(server, since)
    rest = [n for n in f.all() if n not in readers]
    stop = []
    tasks = [asyncio.ensure_future(t) for t in (asks(f, "/leaf/1", stop, [], rest),
                                                keep_writing(f, stop))]
    try:
        return await fn()
    finally:
        stop.append(1)
        await asyncio.gather(*tasks)


@test({"front": 4, "back": 4})
async def test_entry_of_one_that_left_is_read_by_new_readers(f):
    """Guards against work for a server that left because nodes that know nothing of that read
    its entry in a copy of the store and report it to all others."""
    too_late = await readers_started_after_a_copy(f)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 4, "back": 4}, seeds=3)
async def test_entry_of_one_that_left_is_read_by_new_readers_with_seeds(f):
    """The same where the new readers ask other nodes first."""
    too_late = await readers_started_after_a_copy(f)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 4, "back": 4})
async def test_entry_of_one_that_left_is_read_by_new_readers_and_it_is_healthy(f):
    """Guards against the same because the node beside the server starts anew as well, and takes
    the health check of the server, which goes on for a while, for proof that it stays."""
    too_late = await readers_started_after_a_copy(f, beside=True)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 6})
async def test_servers_leave_some_time_after_a_return(f):
    """Guards against work for servers that left because a node that reads the store again, here
    the one beside each, takes a return of the store long ago for one that it has just seen."""
    await asyncio.sleep(1)
    copy = f.store.copy()
    rests = [n for n in f.nodes["back"] if await n.metric("lw_store_reader") != 1]
    stop = []

    async def leaves(server):
        f.store.remove("servers/" + server.id)
        since = time.monotonic()
        for i in range(20):  # other entries change meanwhile, so that lists are made
            await asyncio.sleep(0.2)
            rests[0].server.slots = 16 + i % 2
            f.register(rests[0].server)
        return late(server, since)

    async def fn():
        await away(f, 0, copy)
        for n in f.all():
            f.register(n.server)
        await asyncio.sleep(6)
        f.beats.cancel()
        too_late = [t for n in rests[1:4] for t in await leaves(n.server)]
        stop.append(1)
        return too_late
    writing = asyncio.ensure_future(keep_writing(f, stop))
    too_late, _ = await play(f, fn)
    await writing
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 2})
async def test_entry_that_the_copy_does_not_have(f):
    """Guards against requests that find no server when the copy is older than all servers
    of a service, until these write their entries again."""
    for n in f.nodes["back"]:
        f.store.items.pop("servers/" + n.server.id)
    copy = f.store.copy()
    for n in f.nodes["back"]:
        f.register(n.server)

    async def fn():
        f.beats.cancel()
        since = time.monotonic()
        await away(f, 0.6, copy)
        await asyncio.sleep(1.5)
        for n in f.nodes["back"]:
            f.register(n.server)
        await asyncio.sleep(2)
        return since
    since, answers = await play(f, fn)
    refused = [t - since for t, s in answers if s != 200]
    check(not refused, (len(refused), len(answers), refused[:3]))


@test({"front": 2, "back": 2})
async def test_config_after_a_return_from_a_copy(f):
    """Guards against a configuration that takes effect late when it is written after the
    store is restored, and against the return of an older configuration from the copy."""
    await until(lambda: f.all()[0].metric("lw_config_version"), lambda v: v == 1)
    copy = f.store.copy()
    f.store.put("op/config", config(4, f.rules))
    write_much(f, 300)
    for n in f.all():
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == 4, 2)
    await away(f, 1, copy)
    await asyncio.sleep(0.5)
    for n in f.all():
        check(await n.metric("lw_config_version") == 4, "it went back")
    f.store.put("op/config", config(5, f.rules))
    for n in f.all():
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == 5, 2)


@test({"front": 2, "back": 3})
async def test_older_version_reads_for_all(f):
    """Guards against a drain that nodes do not receive because the hosts that read for all
    run a version that does not know store eras, and report a low store age."""
    await asyncio.sleep(1)
    readers = [n for n in f.all() if await n.metric("lw_store_reader") == 1]
    check(len(readers) == 2, len(readers))
    rest = [n for n in f.all() if n not in readers]
    for n in readers:
        n.kill()
    peers = [olderpeer.Peer(n.ip) for n in rest]
    for p in peers:
        p.news_age_ms = 0
        p.revision = 5
        await p.connect()

    async def tell():
        while True:
            for p in peers:
                await p.tell()
            await asyncio.sleep(0.2)
    telling = asyncio.ensure_future(tell())
    await asyncio.sleep(2)
    server = next(n.server for n in rest if n.server.service == "back")
    stop, answers = [], []
    task = asyncio.ensure_future(asks(f, "/leaf/1", stop, answers, rest))
    await asyncio.sleep(1)
    check(server.ran, "it had no work before")
    too_late = await says_that_it_leaves(f, server)
    stop.append(1)
    await task
    telling.cancel()
    for p in peers:
        p.close()
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 2})
async def test_held_entry_goes_without_another_write(f):
    """Guards against an entry that lapsed in an outage and counts for good, because no
    write to the store follows the end of the period for which it was held."""
    await asyncio.sleep(1)
    f.beats.cancel()
    f.store.mode = "reset"
    await asyncio.sleep(5)  # as long as an entry lives, and more
    f.store.remove("servers/" + f.nodes["back"][0].server.id)
    f.store.put("op/config", config(6, f.rules))
    f.store.mode = "ok"
    for n in f.all():
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == 6, 2)
        check(await n.metric("lw_servers") == 4, "it counts for two seconds more")
    await asyncio.sleep(3)
    for n in f.all():
        check(await n.metric("lw_servers") == 3, (n.ip, await n.metric("lw_servers")))
