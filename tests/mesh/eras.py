"""Failure tests of a store that comes back from a copy some seconds old."""
import asyncio
import time

import olderpeer
from fleet import config, until
from harness import check, test

DRAIN_S = 2.05  # a little more than the bound, for the way to the server


async def asks(f, target, stop, answers, nodes=None):
    """One caller at each node, until told to stop."""
    async def at(node, k):
        i = 0
        while not stop:
            i += 1
            a = await node.caller().ask("GET", target, f"e{k}-{i}")
            answers.append((time.monotonic(), a.status))
            await asyncio.sleep(0.02)
    await asyncio.gather(*(at(n, k) for k, n in enumerate(nodes or f.all())))


def write_much(f, n):
    """Others write to the store: revisions rise."""
    for i in range(n):
        f.store.put(f"other/{i % 7}", {"n": i})


def raise_revisions(f, n):
    """The same, and a configuration: the list of servers in use is that of this revision, too."""
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
    """Runs `fn` beside callers of /leaf/ at every node; what they heard."""
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
    """A server that leaves gets work for seconds, as the list that says so has a revision given out before."""
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
    """A drain is never heard of: by the next watch the store is past its old revision, and the drain below it."""
    copy = f.store.copy()
    raise_revisions(f, 20)
    server = f.nodes["back"][0].server

    async def fn():
        await away(f, 0, copy)
        server.draining = True
        f.register(server)
        since = time.monotonic()
        write_much(f, 60)
        for _ in range(80):  # a busy store: watches end at once, and nobody reads everything
            await asyncio.sleep(0.05)
            write_much(f, 1)
        return late(server, since)
    f.beats.cancel()  # the drain is not written again
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 3, "back": 3})
async def test_drain_told_by_who_saw_the_return(f):
    """A host that is cut from the store takes the word of one that saw it return for old."""
    copy = f.store.copy()
    raise_revisions(f, 300)
    server = f.nodes["back"][0].server
    cut = [f.nodes["front"][0], f.nodes["back"][1]]

    async def fn():
        f.store.refused = {n.ip for n in cut}
        await away(f, 1.5, copy)
        await asyncio.sleep(3)
        return await says_that_it_leaves(f, server)
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 3})
async def test_two_returns_in_a_row(f):
    """The store returns twice, while the two that read for all are turned away by turns."""
    copy = f.store.copy()
    raise_revisions(f, 200)
    server = f.nodes["back"][0].server
    some = {n.ip for n in f.all()[::2]}
    others = {n.ip for n in f.all()[1::2]}

    async def fn():
        f.store.refused = some
        await away(f, 0.6, copy)
        await asyncio.sleep(0.8)
        write_much(f, 150)
        f.store.refused = others
        await away(f, 0.6, copy)
        await asyncio.sleep(0.8)
        f.store.refused = set()
        await asyncio.sleep(2)
        return await says_that_it_leaves(f, server)
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 3})
async def test_drain_lost_with_the_copy(f):
    """A server has said that it leaves, the store forgets it, and the server gets work again."""
    copy = f.store.copy()
    server = f.nodes["back"][0].server

    async def fn():
        server.draining = True
        f.register(server)
        since = time.monotonic()
        f.beats.cancel()  # it is not written again
        await asyncio.sleep(1)
        await away(f, 0.8, copy)
        await asyncio.sleep(4)
        return late(server, since)
    too_late, _ = await play(f, fn)
    check(not too_late, (len(too_late), max(too_late, default=0)))


@test({"front": 2, "back": 3})
async def test_entry_of_one_that_left_is_in_the_copy(f):
    """A server that left without a word is back in the list with the copy, and gets work again."""
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


@test({"front": 2, "back": 2})
async def test_entry_that_the_copy_does_not_have(f):
    """The copy is older than every server of a service: no request finds one until they write again."""
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
    """A configuration that is written after the return is late, or one that the copy has comes back."""
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
    """The hosts that read for all are of a version that knows no eras: a drain is not heard of while their news is young."""
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
    """An entry that lapsed in an outage counts on for good, as no write to the store follows its last hold."""
    await asyncio.sleep(1)
    f.beats.cancel()
    f.store.mode = "reset"
    await asyncio.sleep(3)
    f.store.remove("servers/" + f.nodes["back"][0].server.id)
    f.store.put("op/config", config(6, f.rules))
    f.store.mode = "ok"
    for n in f.all():
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == 6, 2)
        check(await n.metric("lw_servers") == 4, "it counts for two seconds more")
    await asyncio.sleep(3)
    for n in f.all():
        check(await n.metric("lw_servers") == 3, (n.ip, await n.metric("lw_servers")))
