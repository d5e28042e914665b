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
    """Guards against a planned stop that cuts requests off: SIGTERM arrives while a
    request is executed, and callers continue for a while. The node must not exit before
    the answers are sent, and must notify callers in time."""
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
    """Guards against requests that end with 502 in a rolling restart although every
    server is alive: the nodes beside all servers of a service are told to stop shortly
    after each other, while requests arrive that must not be executed twice. With no
    better node left, each would be sent requests until its exit cuts them off."""
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
    """Sends an upload slowly, as a caller that reads an answer only once it cannot send
    any more; returns the status it reads then."""
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
    """A caller in the middle of an upload reads an answer when the node exits, although
    the connection is closed with bytes unread, which resets it. The 502 is written
    before, so that a caller that reads an answer only once it cannot send any more
    still gets it."""
    node = f.nodes["front"][0]
    uploads = trickles(node, 6.5, 32 << 20)
    await asyncio.sleep(0.2)
    node.signal(signal.SIGTERM)
    told = await asyncio.gather(*uploads)
    check(told == [502] * 8, told)


@test({"front": 1, "back": 1})
async def test_refused_upload_is_told(f):
    """As above, for an upload that is rejected with 413 while it is sent."""
    told = await asyncio.gather(*trickles(f.nodes["front"][0], 1, 80 << 20))
    check(told == [413] * 8, told)


async def restarted(node, delay):
    """Starts a node again as the platform does, @delay seconds after its process has ended."""
    await until(node.proc.poll, lambda rc: rc is not None, 8, 0.02)
    await asyncio.sleep(delay)
    node.start()


async def both_stop(f, apart):
    """Sends reads and orders while the nodes of a service of two stop @apart seconds apart."""
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
    """Guards against a service without a server for about a second although both its
    servers are alive: the nodes beside them are told to stop within a second of each
    other, and the second one exits before the first has started again, as it does not
    know that it is the last node of its service that accepts requests."""
    await both_stop(f, 0.6)


@test({"front": 1, "back": 2})
async def test_both_nodes_of_a_service_stop_at_once(f):
    """As above, at the same moment: each node sees that the other still accepts requests."""
    await both_stop(f, 0.0)


@test({"front": 1, "back": 2}, slots=64)
async def test_stop_cuts_off_no_late_work(f):
    """Guards against a 502 for requests that their servers are executing: a stopping
    node accepts a request 4.70 s after SIGTERM and exits 5.05 s after SIGTERM, a second
    before SIGKILL, whatever is in progress. A node that accepts no requests in its last
    two seconds still cuts off any that take longer than the second left then. Here both
    nodes of a service stop, each delayed by a request whose answer does not come, while
    requests of 1.2 s arrive: each is answered, or rejected and not executed."""
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
    """Guards against requests that fail with 500 at the server beside a stopping node:
    the node accepts requests from other nodes until four seconds after SIGTERM, but no
    connection from its own host after three, although the server makes the calls of its
    running requests over such connections. Of 41 requests that began in the five seconds
    after SIGTERM, the last 13 accepted, from 2.8 s on, ended with 500. Here a request
    whose answer is lost keeps the only node of a service from exiting. Requests that make
    a call go on, and none that is accepted fails."""
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
    """Guards against a stopping node that closes a connection without an answer when it
    has to exit before its last request is over: the caller could not tell the stop from
    a network fault, nor learn that the request may have been executed (log: E1006
    stop_step step=exit_cutting_off active=1 running=0). The node answers 502 just
    before it exits, and 503 where no server was sent the request."""
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
    """A caller that requests an answer of `size` bytes and reads none of it. Returns
    the caller, and whether the node has received the whole answer, of which it still
    holds a part."""
    c = node.caller()
    await c.open()
    c.writer.transport.pause_reading()
    await c.raw(f"GET /get/{size} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {rid}\r\n"
                "X-Deadline-Ms: 20000\r\n\r\n".encode())
    await asyncio.sleep(1.2)
    return c, await node.metric("lw_active") == 0


@test({"front": 1}, rules=[route("get", "/get/", "front", timeout=20, target=20)])
async def test_stop_writes_answers_to_their_end(f):
    """Guards against an answer of some megabytes that a planned stop cuts short: the
    node has read the end of it from the server and counts the request as over, while
    the caller, which reads slowly, has not received the last part yet. Of an answer of
    that size up to 64 KiB are in the node's own buffer then. The exit must not wait
    only for requests in progress (log: E1006 stop_step step=exit active=0 running=0
    queued=0 oldest_ms=0)."""
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
    """Sends requests of one caller, one after the other on new connections, until @stop is set."""
    n = 0
    while not stop.is_set():
        n += 1
        rid = f"more{number}-{n}"
        a = await node.caller().ask("POST", "/up/1", rid, body=b"x", deadline=3000)
        out.append((rid, a.status))
        await asyncio.sleep(0.01)


@test({"front": 1, "back": 1}, relays=True)
async def test_exit_waits_for_what_is_on_its_way(f):
    """Guards against a 502 for orders that no node has read: the node beside the server
    is stopping, delayed by a request whose answer comes late. If the node announces
    that it accepts nothing more and exits in the same step, the orders in flight meet
    the exit: 20 of 20 with 30 ms each way, but none of 1377 with 0.2 s between the
    announcement and the exit (log: E1006 stop_step step=refusing since_ms=3000, E1006
    stop_step step=exit since_ms=3000)."""
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
    """Guards against requests that fail with 500 at the server beside a stopping node:
    connections without a request are closed every 0.1 s during a stop, also one on
    which the server is just about to send the call of a running request. With 2 ms
    between the connection and its first bytes 8 of 433 requests failed, with 20 ms 59
    of 256."""
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
    """Guards against a request without an answer that was passed on to a server: it
    arrived at a stopping node in the loop iteration in which the node decided to exit,
    as nothing was in progress. Data that had arrived was still read in that iteration
    and sent on with the last frames, though the node could not wait for the answer any
    more; the server executed the request (sent 2.465 s after SIGTERM, its connection
    closed 36 ms later). Here the node is paused while the moment of its exit passes and
    a request arrives. A request that gets no answer must not have reached a server."""
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
        # not counted as requests; paused while serving these, the node polls input and time at once
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
    """Guards against a 502 "may have been executed" for requests that no server
    received, in a rolling restart, 11 to 42 ms after they came, as another node's
    process exits: they are on connections that its kernel still accepts, but that the
    process never reads (log: E1308 request_ended status=502 why=broken given=1
    maybe_ran=1 after_ms=12, E1407 link_lost streams=1 unsent=0 connected=1 heard=0). Here
    connections to one node are accepted and reset before it sends a byte: a request
    that must not be executed twice goes to the other node."""
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
    """Guards against a rolling restart under load in which each stop takes a server's
    capacity away for three seconds: after SIGTERM the node waits until callers know of
    the stop, and its server idles meanwhile, if other nodes are notified at once."""
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
