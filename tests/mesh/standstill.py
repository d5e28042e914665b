"""Failure tests of nodes whose process stands still for a while and then goes on."""
import asyncio
import signal

from harness import check, runs, test

# idle time of a caller's connection before the standstill, and the duration of that, in seconds;
# the sum is above the idle timeout of fleet.config(), each part is below
QUIET_S = 2.0
STILL_S = 1.4


async def ask_late(node, c, rid):
    """Returns the status of a request on the connection, 0 if that is closed without an answer."""
    try:
        return (await c.ask("POST", "/put/1", rid, body=b"x")).status
    except (OSError, asyncio.IncompleteReadError):
        return 0


@test({"front": 1})
async def test_request_during_a_standstill(f):
    """Guards against a connection closed without an answer: the time for which the node stands
    still counts as idle time of callers, whose requests lie unread in the kernel."""
    node = f.nodes["front"][0]
    callers = [node.caller() for _ in range(20)]
    for i, c in enumerate(callers):
        check((await c.ask("GET", "/get/1", f"first{i}")).status == 200, i)
    await asyncio.sleep(QUIET_S)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(STILL_S - 0.1)
    tasks = [asyncio.ensure_future(ask_late(node, c, f"late{i}")) for i, c in enumerate(callers)]
    await asyncio.sleep(0.1)
    node.signal(signal.SIGCONT)
    statuses = await asyncio.gather(*tasks)
    lost = [i for i, s in enumerate(statuses) if s != 200]
    check(not lost, f"{len(lost)} of {len(callers)} requests without an answer: {statuses}")
    check(all(runs(f, f"late{i}") == 1 for i in range(len(callers))), "ran")


@test({"front": 1})
async def test_head_during_a_standstill(f):
    """Guards against a 408 for a request whose head arrived in time: the second part of the head
    lies unread in the kernel while the node stands still, which counts as time of the caller."""
    node = f.nodes["front"][0]
    callers = [node.caller() for _ in range(20)]
    for i, c in enumerate(callers):
        await c.raw(f"GET /get/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: h{i}\r\n".encode())
    await asyncio.sleep(0.2)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(0.2)
    for c in callers:
        await c.raw(b"X-Deadline-Ms: 5000\r\n\r\n")
    await asyncio.sleep(1.2)
    node.signal(signal.SIGCONT)
    statuses = [(await c.answer()).status for c in callers]
    check(statuses == [200] * len(callers), statuses)


@test({"front": 1})
async def test_request_during_a_standstill_of_a_stop(f):
    """Guards against a connection closed without an answer: a stopping node that stood still takes
    callers for idle whose requests lie unread in the kernel."""
    node = f.nodes["front"][0]

    async def hold(s, head, rid, stage):
        if stage == "run" and rid == "held":
            await asyncio.sleep(2.5)
    node.server.behave = hold
    held = asyncio.ensure_future(node.caller().ask("POST", "/put/1", "held", body=b"x"))
    callers = [node.caller() for _ in range(20)]
    for i, c in enumerate(callers):
        check((await c.ask("GET", "/get/1", f"first{i}")).status == 200, i)
    node.signal(signal.SIGTERM)
    await asyncio.sleep(1.3)  # it closes idle connections from 1.5 s on
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(0.4)
    tasks = [asyncio.ensure_future(ask_late(node, c, f"late{i}")) for i, c in enumerate(callers)]
    await asyncio.sleep(0.1)
    node.signal(signal.SIGCONT)
    statuses = await asyncio.gather(*tasks)
    lost = [i for i, s in enumerate(statuses) if s not in (200, 503)]
    check(not lost, f"{len(lost)} of {len(callers)} requests without an answer: {statuses}")
    check((await held).status == 200, "held")


@test({"front": 1, "back": 2})
async def test_answer_during_a_standstill(f):
    """Guards against a read that runs twice: its answer lies unread in the kernel while its node
    stands still, and the node takes the attempt for a stalled one."""
    node = f.nodes["front"][0]

    async def work(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.2 if rid.startswith("late") else 0.01)
    for n in f.nodes["back"]:
        n.server.behave = work
    for i in range(60):
        await node.caller().ask("GET", "/leaf/1", f"first{i}")
    tasks = [asyncio.ensure_future(node.caller().ask("GET", "/leaf/1", f"late{i}"))
             for i in range(8)]
    await asyncio.sleep(0.1)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(0.6)
    node.signal(signal.SIGCONT)
    statuses = [(await t).status for t in tasks]
    twice = [i for i in range(8) if runs(f, f"late{i}") != 1]
    check(statuses == [200] * 8, statuses)
    check(not twice, f"{len(twice)} of 8 reads ran more than once")
