"""Failure tests of what becomes of requests whose connection between two hosts
went silent or was lost: the peer is asked over another one."""
import asyncio
import collections
import os
import random
import signal
import time

from fleet import until
from harness import check, lines_with, runs, runs_at, test


async def lose_connections(f, lose):
    """One order runs at the server, others are sent just after the loss."""
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
    """Symptom: a wave of 502 and 504 although all servers are well. Sequence:
    something between the hosts loses track of open connections; new ones
    work. Cause: requests on them were waited for, or ended as "may have run".
    The peer is asked on a new connection what became of them."""
    await lose_connections(f, lambda relay: relay.silence_open())
    check(await f.nodes["front"][0].metric("lw_link_queries_total") >= 1, "nobody asked")


@test({"front": 1, "back": 2}, relays=True)
async def test_connections_reset(f):
    """Symptom: orders fail when connections between hosts are reset. Sequence:
    the order runs at its server, the connection between the nodes is reset.
    Cause: the node beside the server gave it up at once, the other one too."""
    await lose_connections(f, lambda relay: relay.reset_all())


@test({"front": 1, "back": 2}, relays=True)
async def test_connections_reset_at_a_stopping_node(f):
    """An order that ran at its server ended 502: the connection between the
    nodes was reset, and as the node beside the server was stopping it gave the
    order up at once instead of waiting to be asked for it. The same reset
    without a stop is answered 200."""
    def stop_and_reset(relay):
        node = next(n for n in f.nodes["back"] if n.relay is relay)
        if runs_at(node, "running"):
            node.signal(signal.SIGTERM)
            asyncio.get_event_loop().call_later(0.2, relay.reset_all)
    await lose_connections(f, stop_and_reset)


async def upload_to_first(f, rid):
    """An upload that takes a while at the first server of "back", behind much
    else on the same connection. The second server takes work only afterwards."""
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
    """An upload was sent to a host that stood still, and ran there when the host
    woke. Its sender had asked over a new connection what became of it, and was
    told that it runs and goes on over that connection. Then the process beside
    the server ended. The sender compared the place of the upload among the bytes
    of the first connection with what it had written to the second one, took it
    for unsent and gave it to another server, where it ran again: "E1410
    fate_heard moved=2", then "E1411 link_ended streams=2 unsent=2 moved_here=2
    written=43795" and "E1310 request_retried after=unsent given=0"."""
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
    """An upload ran at a host from which nothing came for a while. Its sender
    asked after it over a second connection, and when that was silent too, over a
    third one after what it had sent on the second. The host moved the upload to
    the second connection, then closed that one, as the sender had asked after it
    and had not named the upload, which it did not yet know to be there. The
    sender never asked again, took the upload for unsent and it ran elsewhere:
    "E1410 fate_heard over=cb61c883 moved=2", "E1407 link_lost link=cb61c883
    silent=1 streams=3", no further "E1408 fate_asked" for it, then "E1411
    link_ended link=cb61c883 unsent=2 moved_here=2". Here the link from the host is
    held up instead of the host, so that all comes in the order of its sending."""
    node, host = f.nodes["front"][0], f.nodes["back"][0]
    begin, second_takes = await upload_to_first(f, "moved")
    upload = begin()
    await until(lambda: runs(f, "moved"), lambda n: n == 1)
    host.relay.kept.add("out")
    await until(lambda: lines_with(host, "fate_told", "moved=1"), bool)
    tasks = []

    async def behind():
        """Calls that go out over the second connection."""
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
    """A server works on for a caller that is gone. Nothing came from the host for
    a moment, the sender asked after an upload over a new connection and the host
    moved it there. The caller left before the sender heard that, and what told
    the host so went over the first connection, which the host had closed."""
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
    """An order that runs at the first host; @lose happens while it does."""
    begin, second_takes = await upload_to_first(f, rid)
    order = begin()
    await until(lambda: runs(f, rid), lambda n: n == 1)
    await lose(f.nodes["back"][0])
    second_takes()
    return await order


@test({"front": 1, "back": 2}, relays=True)
async def test_question_lost_with_its_connection(f):
    """An order ended 504 although its server had answered in time. Its connection
    went silent while the host beside the server stood still. The question what
    became of it waited on a new connection for the host's first words; without them
    that connection was given up, and the question with it. Nobody asked again: "E1406
    link_silent streams=1", "E1408 fate_asked streams=1 lost=0 new=1", and no line about
    that connection after it. The host woke, its server answered, and the answer went
    out on the silent connection."""
    async def silent_and_frozen(host):
        host.relay.silence_open()
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        host.signal(signal.SIGCONT)
    a = await order_and_outcome(f, "asked", silent_and_frozen)
    check(a.status == 200 and runs(f, "asked") == 1, (a, runs(f, "asked")))


@test({"front": 1, "back": 2}, relays=True)
async def test_reset_while_the_host_stands_still(f):
    """An order ended 502 half a second after its connection was reset, with its
    server at work: the host beside the server stood still for a moment and did not
    answer the question what became of the order in 0.6 s. That was taken for the end
    of the host: "E1407 link_lost heard=1", "E1408 fate_asked lost=1 new=1", then
    "E1411 link_ended streams=1 unsent=0 waited_ms=643" and "E1308 status=502
    why=broken given=1"."""
    async def reset_and_frozen(host):
        host.signal(signal.SIGSTOP)
        host.relay.reset_all()
        await asyncio.sleep(1.2)
        host.signal(signal.SIGCONT)
    a = await order_and_outcome(f, "reset", reset_and_frozen)
    check(a.status == 200 and runs(f, "reset") == 1, (a, runs(f, "reset")))


@test({"front": 1, "back": 2}, relays=True)
async def test_unread_order_goes_elsewhere(f):
    """An order ended 502 though no server ever had it: it lay unread in a host that
    stood still, and its connection was reset there. As above the wait for the host's
    word ended too soon: "E1411 link_ended streams=1 unsent=0 waited_ms=692"."""
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
    """One order's connection is silent, and it moved to a second one on which
    another order runs; nothing that the host says is let through. Returns both
    and the caller of the first."""
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
    """An order ended 502 with its answer on the way. Its connection was reset and the
    host was asked after it over a new one. Before the host's word came, an older
    silent connection to the same host was closed, as the last caller that waited on
    it had left. Any lost connection to a host ended the waits for all questions to
    that host: "E1408 fate_asked lost=1" and "E1409 fate_told moved=1" 1 ms later, "E1411
    link_ended streams=1 waited_ms=218" with "E1308 status=502 why=broken"."""
    first, second, caller = await two_orders_behind(f)
    caller.close()
    await asyncio.sleep(0.25)
    await f.nodes["back"][0].relay.release()
    a = await second
    check(a.status == 200 and runs(f, "second") == 1, (a, runs(f, "second")))
    await asyncio.gather(first, return_exceptions=True)


@test({"front": 1, "back": 2}, relays=True)
async def test_moved_then_its_new_connection_is_lost(f):
    """An order was given up by the host that ran it, while its caller waited. Its
    connection was silent, the host was asked and moved it to the second connection;
    that one was reset before its sender had heard so. The sender asked after the
    second connection and named only what it knew to be there, and the host ended the
    rest of it: "E1409 fate_told streams=1 moved=1" for each, then "E1411 link_ended
    streams=1 moved_here=1 waited_ms=0" at the host. A later question about the first connection
    found nothing, as the host knew the order by its place on the second one only."""
    first, second, _ = await two_orders_behind(f)
    await asyncio.sleep(0.1)
    await f.nodes["back"][0].relay.release()
    answers = await asyncio.gather(first, second)
    check([a.status for a in answers] == [200, 200], answers)
    check((runs(f, "first"), runs(f, "second")) == (1, 1), "not once each")


@test({"front": 1, "back": 2}, relays=True)
async def test_question_overtakes_its_connection(f):
    """An order ended 502 "may have run" although no server ever had it. The way to
    the host held it up, with its connection's first words; the question about it
    came by a newer connection and was read first. The host knew no such connection
    and could not tell one that it had forgotten from one that it had never heard of:
    "E1409 fate_told known=0 streams=1 moved=0 never=0 maybe_ran=1"."""
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
    """An order ended 502 although its server had answered it: the connection had
    gone silent while the order ran, the host wrote the answer there and forgot it.
    Asked half a second later, it had nothing to say but that the order may have run:
    "E1409 fate_told known=1 streams=1 moved=0 never=0 maybe_ran=1"."""
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
    """What a process that started anew under the same id says of an order of before
    must not count: it never received it, and the order had run. The host is killed
    and started again between the question and its answer."""
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
        """What the host says is held up, then let through."""
        node.relay.kept.add("out")
        await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await node.relay.release()

    async def swallow(self, node):
        """Nothing passes either way, then all is reset."""
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
        """The process is gone with what it runs, and starts again."""
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
    """An upload ran on two servers, or was refused with 503 though it had run: what
    the hosts said of requests on lost connections was taken for more than it was.
    Connections go silent, are reset, held up and swallowed while hosts stand still
    or their processes are killed, in series that overlap; each order runs once at most, one that is refused never
    does, and one that is answered has. Seeds: LW_STORM_SEED; seconds: LW_STORM_S."""
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
    """An order ended 502 and was cancelled at its server: its connection was reset,
    and the host beside the server stood still before the question came. When it woke,
    the time in which work of a lost connection runs on had passed, and it ended the
    order before it read anything: "E1411 link_ended outgoing=0 streams=3
    waited_ms=892", then "E1409 fate_told known=0 maybe_ran=3"."""
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
    """An order ended 502 though its server never had it. While the host beside the
    server stood still the server closed its idle connections, and the order came.
    The host read the order first when it woke, and gave it to a connection whose end
    lay unread in the kernel: what is sent there may have run."""
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
    """A server worked for a caller that had been answered half a second before. The
    host beside it stood still when the read came; its sender gave the read up for
    another server, which answered it. The host woke with the read and the word that
    it was given up in one buffer, and ran it before it read on. Found by the soak:
    "ran on: s13-184 sent at 21.28 s, 200 after 0.16 s, ran i-front-0 21.43-21.44,
    i-front-2 21.95-21.96", with "E1310 request_retried id=s13-184 after=broken
    given=1" 0.16 s after it was sent."""
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
    """An answer that came while the asking host stood still is lost with the process that sent it."""
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
