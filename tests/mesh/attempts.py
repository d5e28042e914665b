"""Failure tests of the choice of a server and of what follows a failed attempt."""
import asyncio
import signal
import time

from fleet import until
from harness import check, runs, runs_at, test


@test({"front": 1, "back": 1}, slots=4)
async def test_lost_answers_hold_no_slots(f):
    """Guards against a service that rejects most requests while its servers are idle:
    servers lose answers while the connections stay open, and each lost answer holds a
    slot until its deadline. The load that the server itself reports shows that it is
    idle."""
    async def lose(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.02)
        return "hang" if stage == "run" and rid.startswith("hang") else None
    f.nodes["back"][0].server.behave = lose
    front, back = f.nodes["front"][0], f.nodes["back"][0]
    for i in range(10):
        await front.caller().ask("POST", "/up/1", f"w{i}", body=b"x")
    hung = [asyncio.ensure_future(front.caller().ask("POST", "/up/1", f"hang{i}", body=b"x",
                                                     deadline=4000)) for i in range(2)]
    await asyncio.sleep(0.8)
    for i in range(10):
        a = await front.caller().ask("POST", "/up/1", f"x{i}", body=b"x")
        check(a.status == 200, a)
    await until(lambda: back.metric("lw_gate_running"), lambda v: v == 0, 2)
    check(not any(h.done() for h in hung), "the lost ones were given up early")
    for h in hung:
        check((await h).status in (502, 504), await h)


@test({"front": 1, "back": 2})
async def test_shed_goes_elsewhere(f):
    """Guards against failed requests when a server rejects a request before execution:
    the request, also an order, is sent to another server; if all servers reject it, the
    caller gets a retry-after delay."""
    async def shed(s, head, rid, stage):
        return "shed" if stage == "head" and (s.id == "i-back-0" or rid == "all") else None
    for n in f.nodes["back"]:
        n.server.behave = shed
    for i in range(8):
        a = await f.nodes["front"][0].caller().ask("POST", "/up/1", f"u{i}", body=b"x" * 2000)
        check(a.status in (200, 503) and runs(f, f"u{i}") == (a.status == 200), a)
    start = time.monotonic()
    a = await f.nodes["front"][0].caller().ask("POST", "/up/1", "all", body=b"x")
    check(a.status == 503 and 0 < float(a.head.get("retry-after")) < 2, a.head.fields)
    check(time.monotonic() - start < 0.5, "held back")


@test({"front": 2, "back": 2})
async def test_node_killed(f):
    """Guards against requests in flight that fail or are executed twice when a node is
    killed: SIGKILL ends the node beside a server at work and the node is restarted, but
    reads are not retried elsewhere, or orders are."""
    async def slow(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.5)
    for n in f.nodes["back"]:
        n.server.behave = slow
    node = f.nodes["front"][0]
    tasks = [asyncio.ensure_future(node.caller().ask(
        "GET" if i % 2 else "POST", "/leaf/1" if i % 2 else "/up/1", f"k{i}", body=b""))
        for i in range(20)]
    await until(lambda: sum(len(n.server.ran) for n in f.nodes["back"]), lambda n: n >= 20)
    victim = f.nodes["back"][0]
    victim.kill()
    answers = await asyncio.gather(*tasks)
    for i, a in enumerate(answers):
        check(a.status in (200, 502) if i % 2 == 0 else a.status in (200, 502, 503), (i, a))
        if i % 2 == 0:
            check(runs(f, f"k{i}") == 1, (i, runs(f, f"k{i}")))
    victim.start()
    await f.until_ready([victim])
    before = len(victim.server.ran)

    async def again():
        await node.caller().ask("GET", "/leaf/1", f"again{time.monotonic()}")
        return len(victim.server.ran)
    await until(again, lambda n: n > before, 5)


@test({"front": 1, "back": 2}, slots=1)
async def test_slow_call_kept_without_room_elsewhere(f):
    """Guards against a call that ends with 502 while its server is at work on it: the
    call takes far longer than usual and counts as stalled; it is given up and sent to
    another server, which is full and rejects it. The first attempt is given up only if
    another server has room."""
    async def by_id(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(2.5 if rid.startswith("block") else
                                0.9 if rid.startswith("slow") else 0.01)
    for n in f.nodes["back"]:
        n.server.behave = by_id
    node = f.nodes["front"][0]
    for i in range(40):
        check((await node.caller().ask("GET", "/leaf/1", f"q{i}")).status == 200, "warm-up")
    block = asyncio.ensure_future(node.caller().ask("POST", "/up/1", "block", body=b"x"))
    await until(lambda: runs(f, "block"), lambda n: n == 1)
    a = await node.caller().ask("GET", "/leaf/1", "slow1")
    check(a.status == 200 and runs(f, "slow1") == 1, a)
    check((await block).status == 200, "block")


@test({"front": 1, "back": 2}, slots=8)
async def test_failing_server_is_not_fast(f):
    """Guards against thousands of failed requests while one of several servers fails all
    requests that it gets: it answers 500 within a millisecond and reports that it is
    healthy; if its failures count as very short executions, it seems to be the fastest
    server of all."""
    async def work(s, head, rid, stage):
        if stage != "run":
            return None
        if s.id == "i-back-0":
            return None, 500, b"broken"
        await asyncio.sleep(0.02)
        return None
    for n in f.nodes["back"]:
        n.server.behave = work
    node = f.nodes["front"][0]
    async def caller(k):
        c = node.caller()
        for i in range(160):
            await c.ask("POST", "/up/1", f"f{k}-{i}", body=b"x")
    await asyncio.gather(*(caller(k) for k in range(7)))
    last = [sum(int(r.split("-")[1]) >= 100 for _, r in n.server.ran) for n in f.nodes["back"]]
    check(last[0] < 0.25 * sum(last), last)


@test({"front": 1, "back": 3}, slots=2)
async def test_dead_server_passed_over(f):
    """Guards against a node that returns most calls of a busy service unexecuted: its
    server accepts no connection while the other servers are full. That node has no work,
    so by its load it looks like the best choice."""
    async def work(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.05)
    for n in f.nodes["back"]:
        n.server.behave = work
    node = f.nodes["front"][0]
    dead = f.nodes["back"][0].server
    dead.stop()
    async def caller(k):
        return [(await node.caller().ask("GET", "/leaf/1", f"d{k}-{i}")).status for i in range(30)]
    await asyncio.gather(*(caller(k) for k in range(8)))
    handed_back = await node.metric("lw_handed_back_total")
    check(handed_back is not None and handed_back < 60, handed_back)


@test({"front": 1, "back": 1})
async def test_frozen_node(f):
    """Guards against a request that is executed long after its caller was answered: the
    node beside the server is paused with the request in its buffer, the caller gives up,
    the node resumes and treats what lay in the buffer as new."""
    victim = f.nodes["back"][0]
    a = await f.nodes["front"][0].caller().ask("GET", "/leaf/1", "warm")
    check(a.status == 200, a)
    victim.signal(signal.SIGSTOP)
    a = await f.nodes["front"][0].caller().ask("POST", "/up/1", "late", body=b"x", deadline=800)
    check(a.status == 504, a)
    await asyncio.sleep(0.5)
    victim.signal(signal.SIGCONT)
    await asyncio.sleep(1)
    check(runs(f, "late") == 0, "ran late")
    await until(lambda: f.nodes["front"][0].caller().ask("GET", "/leaf/1", f"w{time.monotonic()}"),
                lambda a: a.status == 200, 3)


@test({"front": 1, "back": 2}, slots=1)
async def test_call_kept_when_no_other_has_room(f):
    """Guards against a read that ends with 502 although its server is at work and answers:
    the node beside the server is paused for a second, the outcome query for the read gets
    no response, and the read is given up and sent to another server, which is full and
    rejects it:
      E1310 request_retried after=broken busy=1 limit=1 given=1 left_ms=1790
      E1308 request_ended status=502 why=expired given=1 maybe_ran=1 after_ms=1569
    Here the other server stays full, and the read is answered when the node resumes."""
    async def by_id(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(4 if rid.startswith("block") else
                                0.9 if rid.startswith("slow") else 0.01)
    for n in f.nodes["back"]:
        n.server.behave = by_id
    node = f.nodes["front"][0]
    for i in range(40):
        check((await node.caller().ask("GET", "/leaf/1", f"q{i}")).status == 200, "warm-up")
    block = asyncio.ensure_future(node.caller().ask("POST", "/up/1", "block", body=b"x"))
    await until(lambda: runs(f, "block"), lambda n: n == 1)
    task = asyncio.ensure_future(node.caller().ask("GET", "/leaf/1", "slow"))
    await until(lambda: runs(f, "slow"), lambda n: n == 1)
    victim = next(n for n in f.nodes["back"] if runs_at(n, "slow"))
    victim.signal(signal.SIGSTOP)
    await asyncio.sleep(1.6)
    victim.signal(signal.SIGCONT)
    a = await task
    check(a.status == 200 and runs(f, "slow") == 1, (a, runs(f, "slow")))
    check((await block).status == 200, "block")


@test({"front": 1, "back": 3})
async def test_call_stays_on_its_servers(f):
    """Guards against a call of a running request that is executed on three servers though
    its route allows two. Both servers that have executed the call lose their answers. The
    call is sent to one of them again, finds no room there, and goes on to servers that
    have never had it:
      E1310 request_retried after=broken given=1 handed_back=0
      E1310 request_retried after=broken given=2 handed_back=0
      E1310 request_retried after=busy given=2 handed_back=1
      E1310 request_retried after=busy given=2 handed_back=2
    This happens if an attempt that reached no server may be retried at any other server,
    whatever the earlier attempts did, and if the server for the retry is chosen among all
    servers that the call was sent to, including those that returned it unexecuted."""
    node, backs = f.nodes["front"][0], f.nodes["back"]

    def ran(rid):
        return [n.server for n in backs if runs_at(n, rid)]

    async def lose(s, head, rid, stage):
        if stage != "run" or rid.startswith("w") or runs(f, rid) > 2:
            return None
        if runs(f, rid) == 2 and rid == "back.1":
            await backs[0].server.start()
            await asyncio.sleep(0.7)  # until its node sends it requests again
        elif runs(f, rid) == 2:
            for server in ran(rid):
                server.stop()
        return "lost"

    async def ask(rid, tried):
        """Returns the answer's status and the servers that executed the request, after the
        node has logged @tried for the request."""
        a = await node.caller().ask("GET", "/leaf/1", rid)
        await until(lambda: [line for line in node.logged("request_retried")
                             if f"id={rid} " in line and tried in line], bool, 2)
        return a.status, [s.id for s in ran(rid)]
    for n in backs:
        n.server.behave = lose
    for i in range(400):  # these earn the retry allowance, whatever the rank
        await node.caller().ask("GET", "/leaf/1", f"w{i}")
    backs[0].server.stop()  # the nearest: chosen first, returns the call unexecuted
    await asyncio.sleep(0.1)  # until its node has noticed that its connections are closed
    told = [await ask("back.1", "given=0 handed_back=1")]
    await asyncio.sleep(1)  # until it counts as healthy again
    told.append(await ask("used.1", "given=2 handed_back=1"))
    check([len(servers) for _, servers in told] == [2, 2], told)
    check([status for status, _ in told] == [200, 502], told)


@test({"front": 1, "back": 2}, slots=64)
async def test_call_kept_for_a_host_that_is_gone(f):
    """Guards against reads that end with 502 in a rolling restart while their server is at
    work: a read that takes long is given up because another host is thought to have room.
    The node of that host has announced that it accepts nothing, and has exited; half a
    second later it no longer counts as lost, and the last load that it reported, none,
    looks like room. No server is left to take the read:
      E1405 node_lost, then E1308 status=502 why=broken given=1 handed_back=0"""
    async def by_id(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.9 if rid.startswith("slow") else 0.01)
    for n in f.nodes["back"]:
        n.server.behave = by_id
    node, gone = f.nodes["front"][0], f.nodes["back"][1]
    for i in range(40):
        check((await node.caller().ask("GET", "/leaf/1", f"q{i}")).status == 200, "warm-up")
    gone.signal(signal.SIGTERM)
    tasks = []
    end = time.monotonic() + 5

    async def quick(number):
        """Sends the usual quick reads, compared with which a slow read counts as stalled."""
        n = 0
        while time.monotonic() < end + 1:
            n += 1
            await node.caller().ask("GET", "/leaf/1", f"quick{number}-{n}")
    usual = [asyncio.ensure_future(quick(i)) for i in range(4)]
    while time.monotonic() < end:
        tasks.append(asyncio.ensure_future(
            node.caller().ask("GET", "/leaf/1", f"slow{len(tasks)}")))
        await asyncio.sleep(0.1)
    bad = [(i, a) for i, a in enumerate(await asyncio.gather(*tasks)) if a.status != 200]
    await asyncio.gather(*usual)
    check(not bad, (len(bad), len(tasks), bad[:3]))


@test({"front": 1, "back": 2})
async def test_rejection_without_its_body(f):
    """Guards against a node that ends, or an order that fails, when the connection breaks between
    the head of a rejection, which says that the order was not executed, and its body."""
    async def shed(s, head, rid, stage):
        return "shed-cut" if stage == "head" and s.id == "i-back-0" else None
    for n in f.nodes["back"]:
        n.server.behave = shed
    for i in range(20):
        a = await f.nodes["front"][0].caller().ask("POST", "/up/1", f"cut{i}", body=b"x")
        check(a.status == 200 and runs(f, f"cut{i}") == 1, (i, a))
    check(all(n.proc.poll() is None for n in f.all()), "a node has ended")
