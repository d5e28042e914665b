"""Failure tests of stopping nodes whose peers are far away or answer late."""
import asyncio
import signal

from fleet import until
from harness import check, runs, test
from stops import ask_until

# one way; the announcement and the requests sent before it arrived take longer than 0.2 s
FAR_S = 0.15


@test({"front": 1, "back": 1}, relays=True)
async def test_exit_waits_for_far_peers(f):
    """Guards against orders that meet the exit of a stopping node and are answered 504 at their
    time-out: its announcement and they are on their way for longer than the node waits."""
    async def by_id(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(3 if rid == "held" else 0.02)
    node, busy = f.nodes["front"][0], f.nodes["back"][0]
    busy.server.behave = by_id
    busy.relay.delay = FAR_S
    held = asyncio.ensure_future(node.caller().ask("POST", "/up/1", "held", body=b"x"))
    await until(lambda: runs(f, "held"), lambda n: n == 1)
    busy.signal(signal.SIGTERM)
    ends, stop = [], asyncio.Event()
    tasks = [asyncio.ensure_future(ask_until(f, node, stop, ends, i)) for i in range(20)]
    await until(lambda: busy.proc.poll(), lambda rc: rc == 0, 6)
    stop.set()
    await asyncio.gather(*tasks)
    check((await held).status == 200, "held")
    bad = [e for e in ends if e[1] not in (200, 503)]
    check(not bad, (len(bad), len(ends), bad[:3]))
    check(not [r for r, status in ends if status == 503 and runs(f, r)], "refused but run")


@test({"front": 2, "back": 1}, relays=True)
async def test_exit_does_not_wait_for_a_frozen_peer(f):
    """Guards against a stop that takes all its grace since one of its peers is frozen."""
    frozen, node = f.nodes["front"]
    busy = f.nodes["back"][0]
    for n in (frozen, node):
        check((await n.caller().ask("POST", "/up/1", "first" + n.ip, body=b"x")).status == 200, n.ip)
    frozen.signal(signal.SIGSTOP)
    busy.signal(signal.SIGTERM)
    await until(lambda: busy.proc.poll(), lambda rc: rc == 0, 4.2)
