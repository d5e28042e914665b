"""Failure tests of stopping nodes: from SIGTERM to the exit."""
import asyncio
import signal
import socket
import time

import fleet as fl
import standin
from fleet import route, until
from harness import check, runs, test


@test({"front": 2, "back": 1})
async def test_sigterm(f):
    """Symptom: a planned stop cuts requests off. Sequence: SIGTERM while a
    request runs; callers go on for a while. Cause: exit before the answers
    are out, or callers not told in time."""
    async def slow(s, head, rid, stage):
        if stage == "run" and rid.startswith("slow"):
            await asyncio.sleep(1.5)
    for n in f.all():
        n.server.behave = slow
    node = f.nodes["front"][0]
    c = node.caller()
    task = asyncio.ensure_future(c.ask("POST", "/put/1", "slow1", body=b"x"))
    await until(lambda: runs(f, "slow1"), lambda n: n == 1)
    node.signal(signal.SIGTERM)
    start = time.monotonic()
    await asyncio.sleep(0.1)
    check(await node.ready() == 503, "still ready")
    a = await node.caller().ask("GET", "/get/1", "during")
    check(a.status == 200 and a.head.get("connection") == "close", a.head.fields)
    a = await task
    check(a.status == 200 and a.whole, a)
    await until(lambda: node.proc.poll(), lambda rc: rc == 0, 6)
    check(2 < time.monotonic() - start < 5.5, time.monotonic() - start)


@test({"front": 1, "back": 2})
async def test_all_stop_in_turn(f):
    """Symptom: a rolling restart ends requests with 502 although every server
    lives. Sequence: the nodes beside all servers of a service are told to stop
    shortly after each other; requests that must not run twice go on. Cause:
    with no better node left each is sent work until its exit cuts it off."""
    async def slow(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.3)
    for n in f.nodes["back"]:
        n.server.behave = slow
    node = f.nodes["front"][0]
    answers = []

    async def one(i):
        a = await node.caller().ask("POST", "/up/1", f"s{i}", body=b"x")
        answers.append((f"s{i}", a.status))
    tasks = []
    start = time.monotonic()
    while time.monotonic() - start < 5.8:
        tasks.append(asyncio.ensure_future(one(len(tasks))))
        if len(tasks) == 2:
            f.nodes["back"][0].signal(signal.SIGTERM)
        if len(tasks) == 12:
            f.nodes["back"][1].signal(signal.SIGTERM)
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    bad = [a for a in answers if a[1] not in (200, 503)]
    check(not bad, bad[:5])
    check(not [r for r, status in answers if status == 503 and runs(f, r)], "refused but run")
    check(len([a for a in answers if a[1] == 200]) > 30, answers)


def trickle(ip, rid, seconds, length):
    """An upload that is sent slowly by a caller that looks for an answer only once
    it cannot send on; what it reads then."""
    with socket.create_connection((ip, fl.CALLERS), 3) as s:
        s.sendall(f"POST /up/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {rid}\r\n"
                  f"X-Deadline-Ms: 20000\r\nContent-Length: {length}\r\n\r\n".encode())
        end = time.monotonic() + seconds
        try:
            while time.monotonic() < end:
                s.sendall(b"x" * 2000)
                time.sleep(0.002)
        except ConnectionError:
            pass
        try:
            return int(s.recv(4096).split(b" ")[1])
        except (OSError, IndexError) as e:
            return type(e).__name__


def trickles(node, seconds, length):
    return [asyncio.ensure_future(asyncio.to_thread(trickle, node.ip, f"u{i}", seconds, length))
            for i in range(8)]


@test({"front": 1, "back": 1})
async def test_upload_at_the_exit_is_told(f):
    """The suspicion was that a caller in the middle of an upload reads no answer when
    the node exits, as the connection is closed with bytes unread, which resets it. It
    does not act: the 502 is written before, and a caller that looks for an answer
    only once it cannot send on still reads it."""
    node = f.nodes["front"][0]
    uploads = trickles(node, 6.5, 32 << 20)
    await asyncio.sleep(0.2)
    node.signal(signal.SIGTERM)
    told = await asyncio.gather(*uploads)
    check(told == [502] * 8, told)


@test({"front": 1, "back": 1})
async def test_refused_upload_is_told(f):
    """As above, for one that is refused with 413 while it is sent."""
    told = await asyncio.gather(*trickles(f.nodes["front"][0], 1, 80 << 20))
    check(told == [413] * 8, told)


async def restarted(node, delay):
    """The platform starts a node again, a moment after its process has ended."""
    await until(node.proc.poll, lambda rc: rc is not None, 8, 0.02)
    await asyncio.sleep(delay)
    node.start()


async def both_stop(f, apart):
    """Reads and orders while the nodes of a service of two stop @apart seconds apart."""
    node = f.nodes["front"][0]
    statuses = {}

    async def one(i):
        method, target = ("GET", "/leaf/1") if i % 2 else ("POST", "/up/1")
        a = await node.caller().ask(method, target, f"b{i}", body=b"" if i % 2 else b"x",
                                    deadline=2000)
        statuses[i] = (a.status, round(time.monotonic() - start, 2))
    tasks, back = [], []
    start = time.monotonic()
    stops = [(0.2, f.nodes["back"][0]), (0.2 + apart, f.nodes["back"][1])]
    while time.monotonic() - start < 8:
        while stops and time.monotonic() - start > stops[0][0]:
            stopping = stops.pop(0)[1]
            stopping.signal(signal.SIGTERM)
            back.append(asyncio.ensure_future(restarted(stopping, 0.5)))
        tasks.append(asyncio.ensure_future(one(len(tasks))))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks, *back)
    bad = sorted(v for v in statuses.values() if v[0] != 200)
    check(not bad, (len(bad), len(statuses), bad[:3], bad[-3:]))


@test({"front": 1, "back": 2})
async def test_both_nodes_of_a_service_stop(f):
    """A service was without a server for about a second although both its servers
    lived: the nodes beside them were told to stop within a second of each other, and
    the second one left before the first had started again. A node did not know
    that it was the last of its service that took work."""
    await both_stop(f, 0.6)


@test({"front": 1, "back": 2})
async def test_both_nodes_of_a_service_stop_at_once(f):
    """As above, in the same moment: each sees the other still take work."""
    await both_stop(f, 0.0)


@test({"front": 1, "back": 2}, slots=64)
async def test_stop_cuts_off_no_late_work(f):
    """Two lookups ended 502 while their servers were at work. The node beside the
    first server was stopping: by the order of the restarts it took the lookup
    4.70 s after SIGTERM and left 5.05 s after it whatever was under way, a
    second before SIGKILL:
      80.449 s the server runs it, at the node stopped at 75.750 s
      80.802 s its run ends: cut      80.804 s the caller gets 502
    A node that takes no work in its last two seconds still cuts off what lasts
    longer than the second left then. Here both nodes of a service stop, each
    held up by a request whose answer does not come, and work of 1.2 s goes on:
    it is answered, or refused and not run."""
    async def work(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(30 if rid.startswith("straggler") else 1.2)
    for n in f.nodes["back"]:
        n.server.behave = work
    node = f.nodes["front"][0]
    ends = []

    async def ask(rid):
        a = await node.caller().ask("POST", "/up/1", rid, body=b"x", deadline=20000)
        ends.append((rid, a.status))
    tasks = []
    while not all(n.server.ran for n in f.nodes["back"]):
        tasks.append(asyncio.ensure_future(ask(f"straggler{len(tasks)}")))
        await asyncio.sleep(0.05)
    for n in f.nodes["back"]:
        n.signal(signal.SIGTERM)
    since = time.monotonic()
    while time.monotonic() - since < 5.9:
        tasks.append(asyncio.ensure_future(ask(f"late{len(tasks)}")))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    late = [e for e in ends if e[0].startswith("late")]
    bad = [e for e in late if e[1] not in (200, 503)]
    check(not bad, bad)
    check(not [r for r, status in late if status == 503 and runs(f, r)], "refused but run")
    check(len([e for e in late if e[1] == 200]) > 20, late)


@test({"front": 2, "back": 1})
async def test_stopping_node_serves_calls_of_running_work(f):
    """Work at the server beside a stopping node failed with 500: the node took
    requests of others until four seconds after SIGTERM, but no connection of
    its own host after three, and the calls that the server makes for its
    running work come that way. Of 41 requests begun in the five seconds after
    SIGTERM the last 13 that were taken, from 2.8 s after it on, ended 500.
    Here a request whose answer is lost keeps the only node of a service from
    leaving. Work that makes a call goes on, and none that is taken fails."""
    busy = f.nodes["back"][0]

    async def work(s, head, rid, stage):
        if stage != "run":
            return None
        if rid.startswith("straggler"):
            await asyncio.sleep(30)
        await asyncio.sleep(0.3)
        c = busy.caller()
        try:
            a = await c.ask("GET", "/get/1", rid + ".call", deadline=2000)
        except OSError:
            return (None, 500, b"call failed")
        finally:
            c.close()
        return None if a.status == 200 else (None, 500, b"call failed")
    busy.server.behave = work
    node = f.nodes["front"][0]
    ends = []

    async def ask(rid):
        a = await node.caller().ask("POST", "/up/1", rid, body=b"x", deadline=20000)
        ends.append((rid, a.status))
    tasks = [asyncio.ensure_future(ask("straggler"))]
    await until(lambda: runs(f, "straggler"), lambda n: n == 1)
    busy.signal(signal.SIGTERM)
    since = time.monotonic()
    while time.monotonic() - since < 5:
        tasks.append(asyncio.ensure_future(ask(f"w{len(tasks)}")))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    bad = [e for e in ends if e[0] != "straggler" and e[1] not in (200, 503)]
    check(not bad, bad)
    check(len([e for e in ends if e[1] == 200]) > 25, ends)


@test({"front": 1, "back": 1})
async def test_stop_answers_what_it_gives_up(f):
    """A stopping node that has to leave before its last request is over closed
    the connection without a word; its caller could not tell the stop from a
    fault of the network, and did not learn that the request may have run.
      E1006 stop_step step=exit_cutting_off active=1 running=0
    It answers 502 as its last act, and 503 where no server was given it."""
    async def hang(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(30)
    f.nodes["back"][0].server.behave = hang
    node = f.nodes["front"][0]
    task = asyncio.ensure_future(node.caller().ask("POST", "/up/1", "hang", body=b"x",
                                                   deadline=20000))
    await until(lambda: runs(f, "hang"), lambda n: n == 1)
    node.signal(signal.SIGTERM)
    a = await task
    check(a.status == 502 and a.whole and a.head.get("connection") == "close", a)
    await until(lambda: node.proc.poll(), lambda rc: rc == 0, 1)


async def held_back(node, size, rid):
    """A caller that asks for an answer of `size` bytes and reads none of it;
    whether the node has the whole answer and still holds some of it."""
    c = node.caller()
    await c.open()
    c.writer.transport.pause_reading()
    await c.raw(f"GET /get/{size} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {rid}\r\n"
                "X-Deadline-Ms: 20000\r\n\r\n".encode())
    await asyncio.sleep(1.2)
    return c, await node.metric("lw_active") == 0


@test({"front": 1}, rules=[route("get", "/get/", "front", timeout=20, target=20)])
async def test_stop_writes_answers_to_their_end(f):
    """An answer of some megabytes was cut short by a planned stop: the node had
    read the last of it from the server and counted the request as over, while
    the caller, who read slowly, had not taken the last part from it yet. Of an
    answer of that size up to 64 KiB are in the node's own buffer then. The exit
    waited for requests under way only:
      E1006 stop_step step=exit active=0 running=0 queued=0 oldest_ms=0"""
    async def big(s, head, rid, stage):
        if stage == "run":
            return (None, 200, b"a" * int(head.start[1].rsplit("/", 1)[1]))
    node = f.nodes["front"][0]
    node.server.behave = big
    low, high = 0, 16 << 20
    while high - low > 30000:
        size = (low + high) // 2
        c, whole = await held_back(node, size, f"r{size}")
        low, high = (size, high) if whole else (low, size)
        c.close()
    # how much the kernel takes differs a little between connections
    node.signal(signal.SIGTERM)
    await asyncio.sleep(1)
    held = await asyncio.gather(*[held_back(node, low - i * 15000, f"held{i}") for i in (1, 2, 3)])
    await asyncio.sleep(0.5)
    for i, (c, _) in enumerate(held):
        c.writer.transport.resume_reading()
        a = await c.answer(5)
        check(a.status == 200 and a.whole, (i, low, a.status, a.whole, len(a.body)))
    await until(lambda: node.proc.poll(), lambda rc: rc == 0, 3)


async def ask_until(f, node, stop, out, number):
    """Requests of one caller, one after the other on new connections."""
    n = 0
    while not stop.is_set():
        n += 1
        rid = f"more{number}-{n}"
        a = await node.caller().ask("POST", "/up/1", rid, body=b"x", deadline=3000)
        out.append((rid, a.status))
        await asyncio.sleep(0.01)


@test({"front": 1, "back": 1}, relays=True)
async def test_exit_waits_for_what_is_on_its_way(f):
    """Orders ended 502 that nobody had read: the node beside the server was
    stopping, held up by a request whose answer came late. When that had come the
    node said that it takes nothing more and left in the same step, and what was
    on its way met the exit: 20 of 20 with 30 ms each way, none of 1377 where the
    request was over earlier and 0.2 s lay between the word and the exit.
      E1006 stop_step step=refusing since_ms=3000
      E1006 stop_step step=exit since_ms=3000"""
    async def by_id(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(3 if rid == "held" else 0.02)
    node, busy = f.nodes["front"][0], f.nodes["back"][0]
    busy.server.behave = by_id
    busy.relay.delay = 0.03
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


@test({"front": 2, "back": 1})
async def test_stop_leaves_fresh_connections_open(f):
    """Runs at the server beside a stopping node failed with 500: connections
    without a request are closed for a stop every 0.1 s, also one on which the
    server is just about to send the call that its run makes. With 2 ms between
    the connection and its first bytes 8 of 433 runs failed, with 20 ms 59 of 256."""
    busy, node = f.nodes["back"][0], f.nodes["front"][0]

    async def work(s, head, rid, stage):
        if stage != "run":
            return None
        if rid == "held":
            await asyncio.sleep(30)
        c = busy.caller()
        try:
            await c.open()
            await asyncio.sleep(0.02)
            a = await c.ask("GET", "/get/1", rid + ".call", deadline=2000)
        except (OSError, asyncio.IncompleteReadError):
            return (None, 500, b"call failed")
        finally:
            c.close()
        return None if a.status == 200 else (None, 500, b"call failed")
    busy.server.behave = work
    held = asyncio.ensure_future(node.caller().ask("POST", "/up/1", "held", body=b"x",
                                                   deadline=20000))
    await until(lambda: runs(f, "held"), lambda n: n == 1)
    busy.signal(signal.SIGTERM)
    ends, stop = [], asyncio.Event()
    tasks = [asyncio.ensure_future(ask_until(f, node, stop, ends, i)) for i in range(4)]
    await asyncio.sleep(4.2)
    stop.set()
    await asyncio.gather(*tasks)
    held.cancel()
    bad = [e for e in ends if e[1] not in (200, 503)]
    check(not bad, (len(bad), len(ends), bad[:3]))


@test({"front": 6, "back": 1}, slots=64)
async def test_nothing_is_taken_after_the_exit_is_decided(f):
    """A request got no answer from a stopping node and had been passed on to a
    server: it came in the turn of the loop in which the node decided to leave as
    nothing was under way. What had arrived was still read in that turn, and sent
    on with the last frames, though nobody was left to wait for the answer:
      23.681 s the request is sent, 2.465 s after SIGTERM
      23.717 s the connection is closed with no answer; the server runs it
    Here the node stands still while the moment of its exit passes and a request
    comes. Whoever gets no answer has reached no server."""
    async def slow(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.3)
    f.nodes["back"][0].server.behave = slow

    async def late_at(node):
        rid = "late" + node.ip
        await until(lambda: node.caller().ask("POST", "/up/1", f"warm{time.monotonic()}", body=b"x"),
                    lambda a: a.status == 200)
        node.signal(signal.SIGTERM)
        began = time.monotonic()
        await asyncio.sleep(2.3)
        c, probe = node.caller(), standin.Caller(node.ip, fl.READY)
        await c.open()
        await probe.open()
        await asyncio.sleep(began + 2.45 - time.monotonic())
        # work that is no request: stopped at it, the node looks for input and time at once
        probe.writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n" * 2000)
        await asyncio.sleep(0.002)
        node.signal(signal.SIGSTOP)
        task = asyncio.ensure_future(c.ask("POST", "/up/1", rid, body=b"x"))
        await asyncio.sleep(0.2)
        node.signal(signal.SIGCONT)
        try:
            status = (await task).status
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        probe.close()
        await until(lambda: node.proc.poll(), lambda rc: rc == 0, 4)
        return status in (200, 503) or not runs(f, rid)
    sound = await asyncio.gather(*[late_at(n) for n in f.nodes["front"]])
    check(all(sound), f"passed on and not answered at {sound.count(False)} of {len(sound)} nodes")


@test({"front": 1, "back": 2}, relays=True)
async def test_call_to_a_process_that_never_spoke(f):
    """Requests that no server had seen ended 502, as if they might have run: 16
    in one day of rolling restarts, 11 to 42 ms after they came, each as another
    node's process exited. They were on connections that its kernel still took,
    but that the process never read:
      E1308 request_ended status=502 why=broken given=1 maybe_ran=1 after_ms=12
      E1407 link_lost streams=1 unsent=0 connected=1 heard=0
    Here connections to one node are taken and reset before it says a word: a
    request that must not run twice goes to the other one."""
    node, victim = f.nodes["front"][0], f.nodes["back"][0]
    victim.relay.refuse = True
    victim.relay.reset_all()
    node.kill()
    node.start()
    await f.until_ready([node])
    start = time.monotonic()
    n = 0
    while time.monotonic() - start < 4:
        n += 1
        a = await node.caller().ask("POST", "/up/1", f"once{n}", body=b"x")
        check(a.status == 200, (n, a))
        check(runs(f, f"once{n}") == 1, n)
        await asyncio.sleep(0.05)


@test({"front": 1, "back": 2})
async def test_stopping_node_still_works(f):
    """Symptom: in a rolling restart under load each stop takes a server's room
    away for three seconds. Sequence: SIGTERM; the node waits until callers have
    heard, and its server stands idle. Cause: other nodes were told at once."""
    node = f.nodes["front"][0]
    victim = f.nodes["back"][0]

    async def ask(i):
        check((await node.caller().ask("GET", "/leaf/1", f"w{i}")).status == 200, i)
    victim.signal(signal.SIGTERM)
    since = time.monotonic()
    i = 0
    while time.monotonic() - since < 2:
        i += 1
        await ask(i)
    early = [t for t, _ in victim.server.ran if since + 0.2 < t < since + 1]
    late = [t - since for t, _ in victim.server.ran if t > since + 1.95]
    check(early, "no work in the first second")
    check(not late, late[:3])
