"""Failure tests of entries of one server whose start times are in another order than their
writes: the clock of its host was ahead, or another writer wrote an entry."""
import asyncio
import time

from fleet import until
from harness import check, test
from leaving import Callers, work
from reborn import now_ms, restart, start_times, until_it_works

DRAIN_S = 2.05  # the limit of 2 s and a margin for the way to the server
FAR_BORN = 9 * 10**18


class Late:
    """The requests that reach a server later than its drain time after the store has accepted
    its report that it drains."""

    def __init__(self, f, callers, server):
        self.f, self.callers, self.server = f, callers, server

    async def drain(self, seconds=7):
        self.server.draining = True
        self.f.register(self.server)
        since = time.monotonic()
        await asyncio.sleep(seconds)
        late = [at - since for at in self.sent() if at > since + DRAIN_S]
        check(not late, (len(late), max(late, default=0)))

    def sent(self):
        times = (self.callers.sent.get(rid, (0, None))[0] for _, rid in self.server.ran)
        return [at for at in times if at]


async def drain_after_a_clock_ahead(f, ahead_ms):
    """The server's process starts while the clock of its host is ahead, the clock returns, and
    the next process drains."""
    work(f)
    start_times(f)
    server = f.nodes["back"][0].server
    async with Callers(f, f.nodes["front"]) as callers:
        await restart(server)
        server.born = now_ms() + ahead_ms
        f.register(server)
        await until_it_works(server, 8)
        await restart(server)
        f.register(server)
        await until_it_works(server, 8)
        await asyncio.sleep(1)
        await Late(f, callers, server).drain()


@test({"front": 3, "back": 4}, slots=4)
async def test_drain_after_a_start_with_a_clock_ahead(f):
    """Guards against a drain that is dropped because the server's former process reported a
    later start time."""
    await drain_after_a_clock_ahead(f, 4000)


@test({"front": 3, "back": 4}, slots=4)
async def test_drain_after_a_start_with_a_clock_far_ahead(f):
    """The same with a clock that was set back by more than clocks usually differ."""
    await drain_after_a_clock_ahead(f, 10000)


async def drain_after_a_foreign_entry(f, **fields):
    """Another writer overwrites the entry of a server once; the server writes its own again,
    and drains."""
    work(f)
    start_times(f)
    server = f.nodes["back"][0].server
    async with Callers(f, f.nodes["front"]) as callers:
        f.store.put("servers/" + server.id, {**server.entry(), **fields})
        await asyncio.sleep(1)
        f.register(server)
        await asyncio.sleep(1.5)
        await Late(f, callers, server).drain()


@test({"front": 3, "back": 4}, slots=4)
async def test_drain_after_a_foreign_start_time(f):
    """Guards against a drain that is dropped because another writer left an entry of the
    server with a start time in the far future."""
    await drain_after_a_foreign_entry(f, born=FAR_BORN)


@test({"front": 3, "back": 4}, slots=4)
async def test_drain_after_a_foreign_start_time_of_tomorrow(f):
    """The same with a start time that is possible."""
    await drain_after_a_foreign_entry(f, born=now_ms() + 86400000)
