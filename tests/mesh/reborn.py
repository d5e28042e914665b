"""Failure tests of servers that are restarted under their id and then announce that they are
leaving, while the nodes have the entry of another process of that server."""
import asyncio
import time

from fleet import until
from harness import check, test
from leaving import Callers, SAYS, until_told, work
from limits import CONTACT_S, Load, SPAN_S


def now_ms():
    return int(time.time() * 1000)


def start_times(f):
    """Gives all entries the start time that servers report."""
    for n in f.all():
        n.server.born = now_ms() - 60000
        f.register(n.server)


async def restart(server, away=0.3):
    """The process of the server crashes; another one starts under its id."""
    server.says = []
    server.stop()
    await asyncio.sleep(away)
    server.born = now_ms()
    await server.start()


def check_none_late(callers, server):
    late = callers.late(server)
    check(not late, (len(late), max(late, default=0)))


async def until_it_works(server, within):
    """Waits until the server has got a request from now on."""
    since = time.monotonic()
    await until(lambda: any(t > since for t, _ in server.ran), bool, within)


async def leave_unseen_by_the_store(f, callers, mode):
    """The store does not answer; the server is restarted, writes its entry, and announces that
    it is leaving."""
    server = f.nodes["back"][0].server
    start_times(f)
    f.store.mode = mode
    await asyncio.sleep(0.5)
    await restart(server)
    f.register(server)
    await until_it_works(server, 3)
    server.says = [SAYS]
    await until_told(callers, server)
    await asyncio.sleep(2.5)


async def leave_before_the_entry_is_read(f, mode):
    """The entry of the leaving process is read after its announcement."""
    work(f)
    async with Callers(f, f.nodes["front"]) as callers:
        await leave_unseen_by_the_store(f, callers, mode)
        f.store.mode = "ok"
        await asyncio.sleep(4)
    check_none_late(callers, f.nodes["back"][0].server)


@test({"front": 3, "back": 4}, slots=4)
async def test_leaving_told_before_the_entry_is_read_resets(f):
    """Guards against requests to a leaving server because the entry of its process, ready and
    with another start time, is read after the announcement."""
    await leave_before_the_entry_is_read(f, "reset")


@test({"front": 3, "back": 4}, slots=4)
async def test_leaving_told_before_the_entry_is_read_silent(f):
    """The same with a store that is silent instead of resetting connections."""
    await leave_before_the_entry_is_read(f, "silent")


async def leave_before_a_copy(f, draining):
    """The former process of the server is in a copy of the store; the next one announces that
    it is leaving, its entry is removed, and the store is restored from the copy."""
    work(f)
    start_times(f)
    server = f.nodes["back"][0].server
    copy = f.store.copy()
    await restart(server)
    f.register(server)
    await asyncio.sleep(1)
    f.beats.cancel()  # the server has left the store: it does not write its entry again
    async with Callers(f, f.nodes["front"]) as callers:
        server.says = [SAYS]
        await until_told(callers, server)
        server.draining = draining
        f.register(server)
        await asyncio.sleep(0.2)
        f.store.remove("servers/" + server.id)
        await asyncio.sleep(1)
        f.store.mode = "reset"
        await asyncio.sleep(0.6)
        f.store.restore(copy)
        f.store.mode = "ok"
        await asyncio.sleep(8)
    check_none_late(callers, server)


@test({"front": 3, "back": 4}, slots=4)
async def test_leaving_told_and_a_copy_has_the_former_process(f):
    """Guards against requests to a leaving server because a copy of the store has the entry of
    the server's former process."""
    await leave_before_a_copy(f, draining=False)


@test({"front": 3, "back": 4}, slots=4)
async def test_drain_in_the_store_and_a_copy_has_the_former_process(f):
    """The same if the entry of the leaving process said that it drains."""
    await leave_before_a_copy(f, draining=True)


@test({"front": 3, "back": 4}, slots=4)
async def test_leaving_outlives_its_node_and_a_late_entry(f):
    """Guards against nodes that rely on the node beside a leaving server to remember the
    announcement: that node restarts before the entry of the leaving process is read."""
    work(f)
    node = f.nodes["back"][0]
    async with Callers(f, f.nodes["front"]) as callers:
        await leave_unseen_by_the_store(f, callers, "reset")
        node.kill()
        node.start()
        await asyncio.sleep(0.5)
        f.store.mode = "ok"
        await asyncio.sleep(4)
    check_none_late(callers, node.server)


@test({"front": 3, "back": 4}, slots=4)
async def test_next_process_gets_work_after_a_late_entry(f):
    """Guards against a server that gets no work for long after its restart because its former
    process announced that it is leaving before that process's entry was read."""
    work(f)
    server = f.nodes["back"][0].server
    async with Callers(f, f.nodes["front"]) as callers:
        await leave_unseen_by_the_store(f, callers, "reset")
        f.store.mode = "ok"
        await asyncio.sleep(1)
        await restart(server)
        f.register(server)
        callers.told.clear()
        await until_it_works(server, 2)
        await until_it_works(server, 1)


@test({"front": 3, "back": 4}, slots=4)
async def test_next_process_gets_work_after_its_node_restarts(f):
    """The same if the node beside the server is restarted with the server, so that only the
    other nodes know of the announcement."""
    work(f)
    node = f.nodes["back"][0]
    start_times(f)
    await asyncio.sleep(1)
    async with Callers(f, f.nodes["front"]) as callers:
        node.server.says = [SAYS]
        await until_told(callers, node.server)
        node.kill()
        await restart(node.server)
        f.register(node.server)
        node.start()
        await f.until_ready([node])
        await until_it_works(node.server, 3)


@test({"front": 3, "back": 4})
async def test_limit_outlives_a_late_entry(f):
    """Guards against a server that announced that it accepts nothing, and gets a burst when
    the entry of its process is read after the announcement."""
    work(f, 0.5)
    node = f.nodes["back"][0]
    start_times(f)
    async with Load(f, 60) as load:
        f.store.mode = "reset"
        await asyncio.sleep(0.5)
        await restart(node.server)
        f.register(node.server)
        await until_it_works(node.server, 3)
        load.name(node, 0)
        await asyncio.sleep(CONTACT_S + 1.5)
        f.store.mode = "ok"
        await asyncio.sleep(SPAN_S)
        load.check_worst(node, 0)
