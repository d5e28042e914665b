"""Failure tests of a planned stop beside another event at the same time."""
import asyncio
import collections
import signal

from fleet import until
from harness import check, runs, test

WORK_S = 0.3
LASTS_S = 5.0
CALLERS = 12


async def at_work(s, head, rid, stage):
    if stage == "run":
        await asyncio.sleep(WORK_S)


async def orders_while(f, node, event):
    """Sends orders and reads at @node for LASTS_S while @event runs; returns {id: status}, 0 for
    a connection closed without an answer."""
    ends, loop = {}, asyncio.get_event_loop()
    for n in f.nodes["back"]:
        n.server.behave = at_work
    until_s = loop.time() + LASTS_S

    async def caller(i):
        n = 0
        while loop.time() < until_s:
            n += 1
            rid = f"{'r' if i % 3 == 0 else 'o'}{i}-{n}"
            c = node.caller()
            try:
                method, path = ("GET", "/leaf/1") if i % 3 == 0 else ("POST", "/up/1")
                ends[rid] = (await c.ask(method, path, rid, body=b"" if i % 3 == 0 else b"x",
                                         deadline=4000)).status
            except (OSError, asyncio.IncompleteReadError):
                ends[rid] = 0
            c.close()
            await asyncio.sleep(0.02)
    await asyncio.gather(event(), *[caller(i) for i in range(CALLERS)])
    return ends


def check_ends(f, ends, allowed=(200, 503)):
    """No order runs twice or is refused and runs, and all answers are among @allowed."""
    orders = [r for r in ends if r.startswith("o")]
    twice = [r for r in orders if runs(f, r) > 1]
    check(not twice, f"ran twice: {twice[:3]}")
    ran = [r for r in orders if ends[r] == 503 and runs(f, r)]
    check(not ran, f"refused and ran: {ran[:3]}")
    bad = {r: s for r, s in ends.items() if s not in allowed}
    check(not bad, f"{len(bad)} of {len(ends)}: {list(bad.items())[:4]}")
    counts = collections.Counter(ends.values())
    check(counts[200] > len(ends) / 2, counts)


async def exits(node, timeout=6):
    await until(node.proc.poll, lambda rc: rc is not None, timeout)
    check(node.proc.returncode == 0, node.proc.returncode)


@test({"front": 1, "back": 2})
async def test_stop_beside_a_peer_that_freezes(f):
    """Guards against orders lost since their sender is frozen while the node beside their server
    stops, and wakes after its exit."""
    node, busy = f.nodes["front"][0], f.nodes["back"][0]

    async def event():
        await asyncio.sleep(0.5)
        busy.signal(signal.SIGTERM)
        await asyncio.sleep(1.9)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(1.6)
        node.signal(signal.SIGCONT)
        await exits(busy)
    check_ends(f, await orders_while(f, node, event))


@test({"front": 1, "back": 2})
async def test_stopping_node_freezes(f):
    """Guards against orders lost since a node freezes in the middle of its stop and wakes."""
    node, busy = f.nodes["front"][0], f.nodes["back"][0]

    async def event():
        await asyncio.sleep(0.5)
        busy.signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
        busy.signal(signal.SIGSTOP)
        await asyncio.sleep(1.2)
        busy.signal(signal.SIGCONT)
        await exits(busy)
    check_ends(f, await orders_while(f, node, event))


async def stop_beside_a_cut(f, way):
    node, busy = f.nodes["front"][0], f.nodes["back"][0]

    async def event():
        await asyncio.sleep(0.5)
        busy.signal(signal.SIGTERM)
        await asyncio.sleep(0.7)
        busy.relay.mute.add(way)
        await asyncio.sleep(1.5)
        busy.relay.mute.clear()
        busy.relay.reset_all()
        await exits(busy)
    # what was sent or answered on the way that is cut may have run
    check_ends(f, await orders_while(f, node, event), (200, 502, 503, 504))


@test({"front": 1, "back": 2}, relays=True)
async def test_stop_beside_a_cut_of_requests(f):
    """Guards against orders that run twice, or are refused and run, and against closed connections,
    while requests to a stopping node are cut off and its answers are not."""
    await stop_beside_a_cut(f, "in")


@test({"front": 1, "back": 2}, relays=True)
async def test_stop_beside_a_cut_of_answers(f):
    """As above; answers of the stopping node are cut off, requests to it are not."""
    await stop_beside_a_cut(f, "out")


@test({"front": 1, "back": 2})
async def test_further_signals_of_a_stop(f):
    """Guards against an exit ahead of time: a stopping node gets SIGTERM and SIGHUP again."""
    node, busy = f.nodes["front"][0], f.nodes["back"][0]

    async def event():
        await asyncio.sleep(0.5)
        for pause, sig in ((0.6, signal.SIGTERM), (0.4, signal.SIGTERM), (0.5, signal.SIGHUP),
                           (0.8, signal.SIGTERM), (0.1, signal.SIGINT)):
            busy.signal(sig)
            await asyncio.sleep(pause)
        await exits(busy)
    check_ends(f, await orders_while(f, node, event))


@test({"front": 1, "back": 2})
async def test_nodes_start_anew_under_their_addresses(f):
    """Guards against orders lost as a node is started anew at the moment of its exit, under the
    same address, while the other node of the service begins its stop."""
    node, (first, second) = f.nodes["front"][0], f.nodes["back"]

    async def event():
        await asyncio.sleep(0.3)
        first.signal(signal.SIGTERM)
        await until(first.proc.poll, lambda rc: rc is not None, 6, 0.002)
        first.start()
        await asyncio.sleep(0.5)
        second.signal(signal.SIGTERM)
        await until(second.proc.poll, lambda rc: rc is not None, 6, 0.002)
        second.start()
    check_ends(f, await orders_while(f, node, event))


@test({"front": 2, "back": 2})
async def test_calls_of_running_work_beside_two_stops(f):
    """Guards against work that fails since the node beside its server and the node of the server
    that it calls stop together: its calls are cut off or refused though it was accepted."""
    node, busy = f.nodes["front"]
    failed = []

    async def work(s, head, rid, stage):
        if stage != "run":
            return None
        await asyncio.sleep(0.2)
        own = next(n for n in f.nodes["front"] if n.server is s)
        c = own.caller()
        try:
            a = await c.ask("POST", "/up/1", rid + ".call", body=b"x", deadline=2000)
        except (OSError, asyncio.IncompleteReadError):
            failed.append((rid, 0))
            return (None, 500, b"call failed")
        finally:
            c.close()
        if a.status != 200:
            failed.append((rid, a.status))
        return None if a.status == 200 else (None, 500, b"call failed")
    for n in f.nodes["front"]:
        n.server.behave = work
    for n in f.nodes["back"]:
        n.server.behave = at_work
    ends, loop = {}, asyncio.get_event_loop()
    until_s = loop.time() + LASTS_S

    async def caller(i):
        n = 0
        while loop.time() < until_s:
            n += 1
            a = await node.caller().ask("POST", "/put/1", f"o{i}-{n}", body=b"x", deadline=4000)
            ends[f"o{i}-{n}"] = a.status
            await asyncio.sleep(0.02)

    async def event():
        await asyncio.sleep(0.5)
        busy.signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        f.nodes["back"][0].signal(signal.SIGTERM)
        await exits(busy)
        await exits(f.nodes["back"][0])
    await asyncio.gather(event(), *[caller(i) for i in range(CALLERS)])
    check(not failed, f"{len(failed)} calls failed: {failed[:4]}")
    check_ends(f, ends)
