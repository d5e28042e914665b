"""Failure tests of requests whose connection between two hosts went silent or was lost:
the peer is asked for their outcome over another connection."""
import asyncio
import collections
import os
import random
import signal
import time

from fleet import until
from harness import check, lines_with, runs, runs_at, test


async def lose_connections(f, lose):
    """One order is executed at the server while @lose happens; others are sent just
    after the loss."""
    async def slow(s, head, rid, stage):
        if stage == "run" and rid == "running":
            await asyncio.sleep(1)
    node = f.nodes["front"][0]
    for n in f.nodes["back"]:
        n.server.behave = slow
        for i in range(4):
            await node.caller().ask("POST", "/up/1", f"warm{n.ip}{i}", body=b"x")
    running = asyncio.ensure_future(node.caller().ask("POST", "/up/1", "running", body=b"x"))
    await until(lambda: runs(f, "running"), lambda n: n == 1)
    for n in f.nodes["back"]:
        lose(n.relay)
    later = [asyncio.ensure_future(node.caller().ask("POST", "/up/1", f"later{i}", body=b"x"))
             for i in range(6)]
    for i, a in enumerate(await asyncio.gather(*later)):
        check(a.status == 200 and runs(f, f"later{i}") == 1, (i, a, runs(f, f"later{i}")))
    a = await running
    check(a.status == 200 and runs(f, "running") == 1, (a, runs(f, "running")))


@test({"front": 1, "back": 2}, relays=True)
async def test_silent_connections(f):
    """Guards against a wave of 502 and 504 although all servers are healthy: something
    between the hosts loses track of open connections while new ones work, and requests
    on the old ones are waited for, or ended as "may have been executed". The peer is
    asked for their outcome on a new connection."""
    await lose_connections(f, lambda relay: relay.silence_open())
    check(await f.nodes["front"][0].metric("lw_link_queries_total") >= 1, "nobody asked")


@test({"front": 1, "back": 2}, relays=True)
async def test_connections_reset(f):
    """Guards against orders that fail when connections between hosts are reset: the
    order is executed at its server, the connection between the nodes is reset, and both
    nodes give the order up at once."""
    await lose_connections(f, lambda relay: relay.reset_all())


@test({"front": 1, "back": 2}, relays=True)
async def test_connections_reset_at_a_stopping_node(f):
    """Guards against a 502 for an order in execution when the connection between the
    nodes is reset while the node beside the server is stopping, and that node gives the
    order up at once. The node must wait for an outcome query, so that the order is
    answered 200, as after the same reset without a stop."""
    def stop_and_reset(relay):
        node = next(n for n in f.nodes["back"] if n.relay is relay)
        if runs_at(node, "running"):
            node.signal(signal.SIGTERM)
            asyncio.get_event_loop().call_later(0.2, relay.reset_all)
    await lose_connections(f, stop_and_reset)


async def upload_to_first(f, rid):
    """Returns two functions. The first starts an upload that takes a while at the first
    server of "back", behind other data on the same connection; the second lets the
    second server accept requests."""
    node, (first, second) = f.nodes["front"][0], f.nodes["back"]
    shut = True

    async def turn_away(s, head, rid, stage):
        return "shed" if shut and stage == "head" else None

    async def slow(s, head, other, stage):
        if stage == "run" and other == rid:
            await asyncio.sleep(2.5)
    first.server.behave, second.server.behave = slow, turn_away
    for i in range(8):
        a = await node.caller().ask("POST", "/up/1", f"warm{i}", body=b"x" * 60000)
        check(a.status == 200, a)

    def begin():
        return asyncio.ensure_future(node.caller().ask("POST", "/up/1", rid, body=b"x"))

    def second_takes():
        nonlocal shut
        shut = False
    return begin, second_takes


@test({"front": 1, "back": 2})
async def test_moved_then_node_ends(f):
    """Guards against an upload that is executed twice: it is sent to a paused host and
    executed there when the host resumes; its sender has asked for the outcome over a
    new connection and is told that the upload is being executed and continues on that
    connection (moved). Then the process beside the server ends. If the sender compares
    the upload's position in the first connection with what it wrote to the second one,
    it takes the upload for unsent and sends it to another server (log: E1410 fate_heard
    moved=2, E1411 link_ended streams=2 unsent=2 moved_here=2 written=43795, E1310
    request_retried after=unsent given=0)."""
    node, host = f.nodes["front"][0], f.nodes["back"][0]
    begin, second_takes = await upload_to_first(f, "moved")
    host.signal(signal.SIGSTOP)
    upload = begin()
    await until(lambda: lines_with(node, "fate_asked", "streams=1"), bool)
    host.signal(signal.SIGCONT)
    await until(lambda: lines_with(node, "fate_heard", "moved=1"), bool)
    check(runs(f, "moved") == 1, "it does not run at the first server")
    second_takes()
    host.kill()
    a = await upload
    check(runs(f, "moved") == 1, f"it ran {runs(f, 'moved')} times; {a}")
    check(a.status == 502, a)


@test({"front": 1, "back": 2}, relays=True)
async def test_questions_cross(f):
    """Guards against an upload that is executed twice when outcome queries cross:
    nothing arrives from its host for a while. The sender asks for the outcome over a
    second connection and, when that is silent too, over a third one for what it sent on
    the second. The host has moved the upload to the second connection, and closes that
    one, because the query about it does not name the upload, which the sender does not
    know to be there yet. If the sender does not ask again, it takes the upload for
    unsent (log: E1410 fate_heard moved=2, E1407 link_lost silent=1 streams=3, no further
    E1408 fate_asked, then E1411 link_ended unsent=2 moved_here=2). The test delays the data
    from the host instead of pausing the host, so that everything arrives in the order
    of sending."""
    node, host = f.nodes["front"][0], f.nodes["back"][0]
    begin, second_takes = await upload_to_first(f, "moved")
    upload = begin()
    await until(lambda: runs(f, "moved"), lambda n: n == 1)
    host.relay.kept.add("out")
    await until(lambda: lines_with(host, "fate_told", "moved=1"), bool)
    tasks = []

    async def behind():
        """Sends calls over the second connection."""
        while len(node.logged("fate_asked")) < 2:
            c = node.caller()
            tasks.append(asyncio.ensure_future(
                c.ask("GET", "/leaf/1", f"behind{len(tasks)}")))
            await asyncio.sleep(0.05)
    await asyncio.wait_for(behind(), 4)
    second_takes()
    await until(lambda: len(host.logged("fate_told")) >= 2, bool)
    await host.relay.release()
    a = await upload
    check(runs(f, "moved") == 1, f"it ran {runs(f, 'moved')} times; {a}")
    check(a.status == 200, a)
    await asyncio.gather(*tasks, return_exceptions=True)


@test({"front": 1, "back": 2}, relays=True)
async def test_left_while_moving(f):
    """Guards against a server that works on for a caller that has disconnected: nothing
    arrives from the host for a moment, the sender asks for the outcome of an upload
    over a new connection, and the host moves the upload there. The caller disconnects
    before the sender has heard of the move, so the cancellation goes over the first
    connection, which the host has closed."""
    node, host = f.nodes["front"][0], f.nodes["back"][0]
    begin, _ = await upload_to_first(f, "left")
    upload = begin()
    await until(lambda: runs(f, "left"), lambda n: n == 1)
    host.relay.kept.add("out")
    await until(lambda: lines_with(host, "fate_told", "moved=1"), bool)
    f.callers[-1].close()
    await asyncio.sleep(0.2)
    await host.relay.release()
    await until(lambda: [r for _, r in host.server.cancelled if r == "left"], bool, 0.5)
    await asyncio.gather(upload, return_exceptions=True)
    check(not lines_with(node, "request_retried", "left"), "given to another server")


async def order_and_outcome(f, rid, lose):
    """Returns the answer to an order that is executed at the first host; @lose happens
    meanwhile."""
    begin, second_takes = await upload_to_first(f, rid)
    order = begin()
    await until(lambda: runs(f, rid), lambda n: n == 1)
    await lose(f.nodes["back"][0])
    second_takes()
    return await order


@test({"front": 1, "back": 2}, relays=True)
async def test_question_lost_with_its_connection(f):
    """Guards against a 504 for an order whose server answered in time: its connection
    goes silent while the host beside the server is paused. The outcome query waits on a
    new connection for the host's first bytes; without them that connection is given up,
    and the query with it. If nobody asks again, the host resumes and the answer goes
    out on the silent connection (log: E1406 link_silent streams=1, E1408 fate_asked
    streams=1 lost=0 new=1, and no line about that connection after it)."""
    async def silent_and_frozen(host):
        host.relay.silence_open()
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        host.signal(signal.SIGCONT)
    a = await order_and_outcome(f, "asked", silent_and_frozen)
    check(a.status == 200 and runs(f, "asked") == 1, (a, runs(f, "asked")))


@test({"front": 1, "back": 2}, relays=True)
async def test_reset_while_the_host_stands_still(f):
    """Guards against a 502 half a second after an order's connection was reset, while
    its server executes it: the host beside the server is paused for a moment and does
    not answer the outcome query in 0.6 s, which must not count as the end of the host
    (log: E1407 link_lost heard=1, E1408 fate_asked lost=1 new=1, E1411 link_ended
    streams=1 unsent=0 waited_ms=643, E1308 status=502 why=broken given=1)."""
    async def reset_and_frozen(host):
        host.signal(signal.SIGSTOP)
        host.relay.reset_all()
        await asyncio.sleep(1.2)
        host.signal(signal.SIGCONT)
    a = await order_and_outcome(f, "reset", reset_and_frozen)
    check(a.status == 200 and runs(f, "reset") == 1, (a, runs(f, "reset")))


@test({"front": 1, "back": 2}, relays=True)
async def test_unread_order_goes_elsewhere(f):
    """Guards against a 502 for an order that no server received: it lies unread in a
    paused host, and its connection is reset there. As in the test above, the wait for
    the host's answer must not end too soon (log: E1411 link_ended streams=1 unsent=0
    waited_ms=692)."""
    begin, second_takes = await upload_to_first(f, "unread")
    host = f.nodes["back"][0]
    host.signal(signal.SIGSTOP)
    order = begin()
    await asyncio.sleep(0.1)
    second_takes()
    host.relay.reset_all()
    await asyncio.sleep(1.2)
    host.signal(signal.SIGCONT)
    a = await order
    check(a.status == 200 and runs(f, "unread") == 1, (a, runs(f, "unread")))


async def two_orders_behind(f):
    """The connection of one order is silent, and the order moved to a second connection
    on which another order is executed; nothing that the host sends is let through.
    Returns both orders and the caller of the first."""
    host = f.nodes["back"][0]
    begin, _ = await upload_to_first(f, "first")
    first = begin()
    caller = f.callers[-1]
    await until(lambda: runs(f, "first"), lambda n: n == 1)
    host.relay.kept.add("out")
    await until(lambda: lines_with(host, "fate_told", "moved=1"), bool)
    before = set(host.relay.pairs)
    host.server.behave = slow_orders
    second = asyncio.ensure_future(
        f.nodes["front"][0].caller().ask("POST", "/up/1", "second", body=b"x"))
    await until(lambda: runs(f, "second"), lambda n: n == 1)
    host.relay.reset_last()
    await until(lambda: len(host.logged("fate_told")) >= 2, bool, 2)
    check(before, "the orders shared a connection")
    return first, second, caller


async def slow_orders(s, head, rid, stage):
    if stage == "run" and rid in ("first", "second"):
        await asyncio.sleep(1.5)


@test({"front": 1, "back": 2}, relays=True)
async def test_another_lost_connection_ends_no_wait(f):
    """Guards against a 502 for an order whose answer is on the way: its connection is
    reset and the host is asked for the outcome over a new one. Before the host's answer
    arrives, an older silent connection to the same host is closed, because the last
    caller that waited on it has disconnected. This must not end the wait for other
    outcome queries to that host (log: E1408 fate_asked lost=1, E1409 fate_told moved=1
    1 ms later, E1411 link_ended streams=1 waited_ms=218, E1308 status=502
    why=broken)."""
    first, second, caller = await two_orders_behind(f)
    caller.close()
    await asyncio.sleep(0.25)
    await f.nodes["back"][0].relay.release()
    a = await second
    check(a.status == 200 and runs(f, "second") == 1, (a, runs(f, "second")))
    await asyncio.gather(first, return_exceptions=True)


@test({"front": 1, "back": 2}, relays=True)
async def test_moved_then_its_new_connection_is_lost(f):
    """Guards against an order that is given up by the host that executes it while its
    caller waits: its connection is silent, the host is asked and moves it to the second
    connection, and that one is reset before the sender has heard of the move. The
    sender's query about the second connection names only what it knows to be there, and
    the host must not end the other requests on it (log: E1409 fate_told streams=1
    moved=1 for each, then E1411 link_ended streams=1 moved_here=1 waited_ms=0 at the
    host). A later query about the first connection would find nothing, if the host knew
    the order only by its place on the second one."""
    first, second, _ = await two_orders_behind(f)
    await asyncio.sleep(0.1)
    await f.nodes["back"][0].relay.release()
    answers = await asyncio.gather(first, second)
    check([a.status for a in answers] == [200, 200], answers)
    check((runs(f, "first"), runs(f, "second")) == (1, 1), "not once each")


@test({"front": 1, "back": 2}, relays=True)
async def test_question_overtakes_its_connection(f):
    """Guards against a 502 "may have been executed" for an order that no server
    received: the network delays the order together with the first bytes of its
    connection, and the outcome query arrives earlier by a newer connection. The host
    must tell a connection that it has forgotten from one that it has never known (log:
    E1409 fate_told known=0 streams=1 moved=0 never=0 maybe_ran=1)."""
    host = f.nodes["back"][0]
    begin, second_takes = await upload_to_first(f, "overtaken")
    host.relay.hold_new = True
    host.relay.reset_all()
    await asyncio.sleep(0.6)
    order = begin()
    await until(lambda: host.relay.held, bool)
    await asyncio.sleep(0.3)
    host.relay.hold_new = False
    second_takes()
    await until(lambda: host.logged("fate_told"), bool)
    await asyncio.sleep(0.1)
    host.relay.let_go()
    a = await order
    await asyncio.sleep(0.3)
    check(a.status == 200 and runs(f, "overtaken") == 1, (a, runs(f, "overtaken")))


@test({"front": 1, "back": 2}, relays=True)
async def test_answer_lost_with_its_connection(f):
    """Guards against a 502 for an order that its server has answered: the connection
    goes silent while the order is executed, and the host writes the answer there and
    forgets it. Asked half a second later, the host could report only that the order may
    have been executed (log: E1409 fate_told known=1 streams=1 moved=0 never=0
    maybe_ran=1). It must retain the answer for the outcome query."""
    async def quick(s, head, rid, stage):
        if stage == "run" and rid == "answered":
            await asyncio.sleep(0.2)
    begin, second_takes = await upload_to_first(f, "answered")
    host = f.nodes["back"][0]
    host.server.behave = quick
    order = begin()
    await until(lambda: runs(f, "answered"), lambda n: n == 1)
    host.relay.silence_open()
    second_takes()
    a = await order
    await until(lambda: host.logged("fate_told"), bool)
    check(a.status == 200 and runs(f, "answered") == 1, (a, runs(f, "answered")))


@test({"front": 1, "back": 2}, relays=True)
async def test_host_starts_anew_before_it_answers(f):
    """A process that was restarted under the same id reports that it never received an
    order from before the restart. This must not count, as the order has been executed.
    The host is killed and started again between the query and its answer."""
    node, host = f.nodes["front"][0], f.nodes["back"][0]
    async def killed_and_started(victim):
        victim.signal(signal.SIGSTOP)
        victim.relay.reset_all()
        await until(lambda: node.logged("fate_asked"), bool)
        victim.kill()
        victim.start()
    a = await order_and_outcome(f, "anew", killed_and_started)
    check(a.status == 502 and runs(f, "anew") == 1, (a, runs(f, "anew")))
    check(not [line for line in node.logged("request_retried") if "id=anew " in line],
          "given to another server")
    check(host.proc.poll() is None, "it runs again")


class Storm:
    """Random faults, in series and overlapping, between the hosts of a fleet."""

    def __init__(self, f, seed):
        self.f, self.rng = f, random.Random(seed)
        self.tasks = set()
        self.down = set()

    async def freeze(self, node):
        process = node.proc
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, 1.4))
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def hold_up(self, node):
        """Delays what the host sends, then lets it through."""
        node.relay.kept.add("out")
        await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await node.relay.release()

    async def swallow(self, node):
        """Drops all data in both directions, then resets all connections."""
        node.relay.mute |= {"in", "out"}
        await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        node.relay.mute.clear()
        node.relay.reset_all()

    async def hold_new(self, node):
        node.relay.hold_new = True
        await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        node.relay.hold_new = False
        node.relay.let_go()

    async def kill(self, node):
        """Kills the process with all it executes, and starts it again."""
        if node in self.down:
            return
        self.down.add(node)
        node.kill()
        await asyncio.sleep(self.rng.uniform(0.05, 0.6))
        node.start()
        self.down.discard(node)

    async def silence(self, node):
        node.relay.silence_open()

    async def reset(self, node):
        node.relay.reset_all()

    async def reset_one(self, node):
        if node.relay.pairs:
            node.relay.reset_last()

    async def blow(self, seconds):
        faults = [self.freeze, self.hold_up, self.swallow, self.hold_new, self.silence,
                  self.silence, self.reset, self.reset, self.reset_one, self.kill]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault, node = self.rng.choice(faults), self.rng.choice(self.f.nodes["back"])
            task = asyncio.ensure_future(fault(node))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.rng.uniform(0.05, 0.25))
        await asyncio.gather(*self.tasks)


@test({"front": 2, "back": 3}, relays=True, slots=64)
async def test_orders_through_a_storm(f):
    """Guards against an upload that is executed on two servers, or refused with 503
    although it was executed, because more is concluded from the hosts' reports on lost
    connections than they state. Connections go silent, are reset, delayed and dropped
    while hosts are paused or their processes are killed, in overlapping series. Each
    order is executed once at most; an order that is refused never is, and one that is
    answered has been. Seed: LW_STORM_SEED; seconds: LW_STORM_S."""
    seed = int(os.environ.get("LW_STORM_SEED", "1"))
    seconds = float(os.environ.get("LW_STORM_S", "8"))
    storm = Storm(f, seed)
    told = {}

    async def by_turns(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(storm.rng.choice([0.01, 0.05, 0.3, 0.9]))
    for n in f.nodes["back"]:
        n.server.behave = by_turns

    async def caller(node, name, end):
        number = 0
        while time.monotonic() < end:
            number += 1
            rid, c = f"{name}-{number}", node.caller()
            try:
                told[rid] = (await c.ask("POST", "/up/1", rid, body=b"x" * 500,
                                         deadline=4000)).status
            except (asyncio.IncompleteReadError, ConnectionError):
                told[rid] = 0
            c.close()
            f.callers.remove(c)
    end = time.monotonic() + seconds
    await asyncio.gather(storm.blow(seconds), *(
        caller(node, f"s{i}-{k}", end) for i, node in enumerate(f.nodes["front"])
        for k in range(16)))
    await asyncio.sleep(1.5)
    ran = collections.Counter(rid for n in f.nodes["back"] for _, rid in n.server.ran)
    moved = sum([await n.metric("lw_requests_moved_total") for n in f.nodes["front"]])
    never = sum([len(lines_with(n, "fate_heard", "never=")) for n in f.nodes["front"]])
    print(f"  seed {seed}: {len(told)} orders, {moved:.0f} moved, {never} answers to questions, "
          f"{collections.Counter(told.values())}")
    twice = [rid for rid, n in ran.items() if n > 1]
    refused = [rid for rid, status in told.items() if status == 503 and ran[rid]]
    unserved = [rid for rid, status in told.items() if status == 200 and not ran[rid]]
    check(not twice and not refused and not unserved, (twice, refused, unserved))
    check(moved > 20, f"only {moved} requests moved: the storm shows nothing")


@test({"front": 1, "back": 2}, relays=True)
async def test_host_stands_still_before_it_is_asked(f):
    """Guards against a 502 for an order that is then cancelled at its server: its
    connection is reset, and the host beside the server is paused before the outcome
    query arrives. When the host resumes, the time for which requests of a lost
    connection may continue has passed, and it must not end the order before it has read
    the query (log: E1411 link_ended outgoing=0 streams=3 waited_ms=892, then E1409
    fate_told known=0 maybe_ran=3)."""
    async def reset_then_frozen(host):
        host.relay.hold_new = True
        host.relay.reset_all()
        await asyncio.sleep(0.1)
        host.signal(signal.SIGSTOP)
        host.relay.hold_new = False
        host.relay.let_go()
        await asyncio.sleep(0.8)
        host.signal(signal.SIGCONT)
    a = await order_and_outcome(f, "frozen", reset_then_frozen)
    check(a.status == 200 and runs(f, "frozen") == 1, (a, runs(f, "frozen")))


@test({"front": 1, "back": 1})
async def test_idle_connection_closed_while_the_host_stands_still(f):
    """Guards against a 502 for an order that its server never received: while the host
    beside the server is paused, the server closes its idle connections, and the order
    arrives. When the host resumes, it reads the order first and must not send it on a
    connection whose end lies unread in the kernel, as what is sent there may have been
    executed."""
    node, host = f.nodes["front"][0], f.nodes["back"][0]
    for i in range(4):
        check((await node.caller().ask("POST", "/up/1", f"w{i}", body=b"x")).status == 200, "w")
    host.signal(signal.SIGSTOP)
    for w in list(host.server.conns):
        w.close()
    await asyncio.sleep(0.1)
    order = asyncio.ensure_future(node.caller().ask("POST", "/up/1", "idle", body=b"x"))
    await asyncio.sleep(0.15)
    host.signal(signal.SIGCONT)
    a = await order
    check(a.status == 200 and runs(f, "idle") == 1, (a, runs(f, "idle")))


@test({"front": 1, "back": 2}, slots=64)
async def test_given_up_read_does_not_run_late(f):
    """Guards against a server that executes a read whose caller was answered half a
    second before: the host beside the server is paused when the read arrives, and its
    sender cancels the read and sends it to another server, which answers. The host
    resumes with the read and its cancellation in one buffer, and must not start the
    read before it has read on (log: E1310 request_retried after=broken given=1, 0.16 s
    after the read was sent)."""
    async def short(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.01)
    for n in f.nodes["back"]:
        n.server.behave = short
    node, host = f.nodes["front"][0], f.nodes["back"][0]
    for i in range(60):
        check((await node.caller().ask("GET", "/leaf/1", f"w{i}")).status == 200, "warm-up")
    late = []
    for k in range(5):
        host.signal(signal.SIGSTOP)
        reads = {f"late{k}-{i}": asyncio.ensure_future(
            node.caller().ask("GET", "/leaf/1", f"late{k}-{i}")) for i in range(12)}
        await asyncio.sleep(0.4)
        over = {rid for rid, read in reads.items() if read.done()}
        before = len(host.server.ran)
        await asyncio.sleep(0.6)
        host.signal(signal.SIGCONT)
        await asyncio.gather(*reads.values())
        late += [rid for _, rid in host.server.ran[before:] if rid in over]
    check(not late, late)


@test({"front": 1, "back": 1})
async def test_answer_that_lay_in_a_buffer_is_delivered(f):
    """Guards against a lost answer: it arrives while the asking host is paused, and the
    process that sent it ends before that host resumes."""
    async def work(s, head, rid, stage):
        if stage == "run" and rid == "order":
            await asyncio.sleep(0.3)
    node, host = f.nodes["front"][0], f.nodes["back"][0]
    host.server.behave = work
    for i in range(4):
        await node.caller().ask("POST", "/up/1", f"w{i}", body=b"x")
    order = asyncio.ensure_future(node.caller().ask("POST", "/up/1", "order", body=b"x"))
    await until(lambda: runs(f, "order"), lambda n: n == 1)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(0.6)
    host.kill()
    await asyncio.sleep(0.2)
    node.signal(signal.SIGCONT)
    a = await order
    check(a.status == 200, a)
