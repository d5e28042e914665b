"""Failure tests of single requests: heads, bodies, answers, and callers and servers that pause."""
import asyncio
import time

from fleet import route, until
from harness import check, runs, test


@test({"front": 2, "back": 2})
async def test_calm(f):
    """Guards against requests that are answered incompletely or altered without any
    fault: requests of every kind are sent to each node on persistent connections. The
    headers that the proxy owns are set by the proxy, whatever the caller sent."""
    for n, node in enumerate(f.all()):
        c = node.caller()
        for i, (method, target, body, chunked) in enumerate([
                ("GET", "/get/a?b=c%20d", b"", False), ("POST", "/put/x", b"hello", False),
                ("POST", "/up/y", b"z" * 300000, True), ("DELETE", "/put/z", b"", False),
                ("POST", "/up/y", b"z" * 300000, False), ("GET", "/leaf/", b"", False)]):
            rid = f"r{n}-{i}"
            a = await c.ask(method, target, rid, body=body, chunked=chunked,
                            headers=["X-Caller-Service: forged", "X-Target-Instance: forged"])
            check(a.status == 200 and a.whole, a)
            check(a.head.get("x-server-stamp") == "st-" + rid, a.head.fields)
            check(f" {method} {target} {len(body)} ".encode() in a.body, a)
            head = next(m.server.heads[rid] for m in f.all() if rid in m.server.heads)
            check(head.get("x-caller-service") == node.server.service, head.fields)
            check(int(head.get("x-deadline-ms")) <= 5000, head.fields)
    check((await f.all()[0].caller().ask("GET", "/none/", "r-none")).status == 404, "404")


@test({"front": 1, "back": 1})
async def test_pipelined(f):
    """Guards against pipelined requests that are answered out of order: two requests
    arrive in one packet. The second is answered after the first."""
    c = f.all()[0].caller()
    one = "GET /get/{0} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {0}\r\n\r\n"
    await c.raw((one.format("p1") + one.format("p2")).encode())
    a, b = await c.answer(), await c.answer()
    check(a.head.get("x-request-id") == "p1" and b.head.get("x-request-id") == "p2", (a, b))


@test({"front": 1})
async def test_malformed(f):
    """Guards against a server that executes a request that no caller sent: two parsers
    read the same head differently because of two lengths, folding or a bare LF. Such
    heads are rejected, as are heads and bodies that are too large or too late."""
    bad = ["POST /put/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
           "POST /put/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           "GET /get/ HTTP/1.1\r\nHost: h.example\r\nX: a\r\n b\r\n\r\n",
           "GET /get/ HTTP/1.1\r\nHost: h.example\nX: a\r\n\r\n", "GET /get/ HTTP/1.1\r\n\r\n",
           "\x16\x03\x01\r\n\r\n"]
    for text in bad:
        c = f.all()[0].caller()
        await c.raw(text.encode("latin-1"))
        a = await c.answer()
        check(a.status == 400, (text, a))
    c = f.all()[0].caller()
    await c.raw(b"GET /get/ HTTP/1.1\r\nHost: h.example\r\nX: " + b"a" * 20000 + b"\r\n\r\n")
    check((await c.answer()).status == 431, "431")
    c = f.all()[0].caller()
    await c.raw(b"POST /put/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n")
    check((await c.answer()).status == 413, "413")
    c = f.all()[0].caller()
    await c.raw(b"GET /get/ HTTP/1.1\r\n")
    check((await c.answer()).status == 408, "408")
    check(not f.all()[0].server.ran, f.all()[0].server.ran)


@test({"front": 1, "back": 1})
async def test_caller_leaves(f):
    """Guards against servers that work for callers that are gone: a caller closes its
    connection while its request is executed, at the same node or at another one, and
    nobody watches the caller's connection or notifies the other node."""
    async def slow(server, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(5)
    for n in f.all():
        n.server.behave = slow
    for target in ("/get/1", "/leaf/1"):
        c = f.nodes["front"][0].caller()
        rid = "leave" + target
        task = asyncio.ensure_future(c.ask("GET", target, rid, timeout=20))
        await until(lambda: runs(f, rid), lambda n: n == 1)
        left = time.monotonic()
        task.cancel()
        c.close()
        ended = await until(lambda: [t for n in f.all() for t, r in n.server.cancelled if r == rid],
                            bool, 1)
        check(ended[0] - left < 0.5, ended[0] - left)


@test({"front": 1, "back": 1}, rules=[route("get", "/get/", "back", timeout=0.4),
                                     route("put", "/put/", "back", "unsafe", timeout=0.4)])
async def test_route_timeout(f):
    """Guards against requests that outlive the timeout of their route. A request that is
    unanswered at its route's timeout gets 504 at once, and its server stops working on
    it; the caller is not told that the request was not executed."""
    async def slow(server, head, rid, stage):
        if stage == "run":
            check(int(head.get("x-deadline-ms")) <= 400, head.fields)
            await asyncio.sleep(5)
    f.nodes["back"][0].server.behave = slow
    for method, target in (("GET", "/get/"), ("POST", "/put/")):
        start = time.monotonic()
        a = await f.nodes["front"][0].caller().ask(method, target, "t" + target)
        check(a.status == 504 and time.monotonic() - start < 0.7, (a, time.monotonic() - start))
    await until(lambda: len(f.nodes["back"][0].server.cancelled), lambda n: n == 2, 1)


@test({"front": 1, "back": 1})
async def test_foreign_bytes(f):
    """Guards against a caller that gets the answer to another request, or a truncated
    answer as if it were complete: a server sends a second answer at once or later, sends
    garbage, closes in the middle of an answer, or ends an unframed answer by a reset, and
    such bytes are matched to requests by their position on the connection."""
    server = f.nodes["back"][0].server
    fault = [None]

    async def faulty(s, head, rid, stage):
        return fault[0] if stage == "run" and rid.startswith("f") else None
    server.behave = faulty
    c = f.nodes["front"][0].caller()
    n = 0
    for fault[0] in ("extra", "late-extra", "garbage", "cut", "unframed", "unframed-reset", "lost"):
        for k in range(4):
            n += 1
            rid = ("f" if k == 1 else "g") + str(n)
            try:
                a = await c.ask("POST", "/up/1", rid, body=b"x")
            except (asyncio.IncompleteReadError, ConnectionError):
                check(k == 1, (fault, "connection lost"))
                c = f.nodes["front"][0].caller()
                continue
            if a.status == 200 and a.whole:
                check(a.head.get("x-server-stamp") == "st-" + rid, (fault, a.head.fields))
                check(a.body.startswith(b"i-back-0 POST /up/1 1 x"), (fault, a))
            else:
                check(k != 0 and (k == 1 or fault[0] in ("extra", "late-extra")), (fault, k, a))
                check(a.status == 502 or not a.whole, (fault, a))
            check(runs(f, rid) <= 1, (fault, rid))
            if not a.whole or a.head.get("connection") == "close":
                c = f.nodes["front"][0].caller()
            await asyncio.sleep(0.1 if fault[0] == "late-extra" else 0)


@test({"front": 1, "back": 1})
async def test_early_answer(f):
    """Guards against a request body that is parsed as a request: a server answers before
    it has read a long body. The caller gets the answer, and the rest of its body never
    becomes a request."""
    async def early(s, head, rid, stage):
        return "early" if stage == "head" and rid == "e" else None
    f.nodes["back"][0].server.behave = early
    c = f.nodes["front"][0].caller()
    a = await c.ask("POST", "/up/1", "e", body=b"GET /get/ HTTP/1.1\r\n\r\n" * 40000)
    check(a.status == 200 and a.body == b"early", a)
    b = await c.ask("GET", "/leaf/2", "after")
    check(b.status == 200 and b.head.get("x-request-id") == "after", b)
    check({r for n in f.all() for _, r in n.server.ran} == {"e", "after"}, "requests")


@test({"front": 1, "back": 2})
async def test_answer_lost(f):
    """Guards against an order that is executed twice, or is rejected as not executed: the
    server executes it, the connection breaks, and the order is retried, or answered 503
    although it may have been executed. Reads may be retried and are answered."""
    async def lose(s, head, rid, stage):
        return "lost" if stage == "run" and s.id == "i-back-0" else None
    for n in f.nodes["back"]:
        n.server.behave = lose
    statuses = []
    for i in range(12):
        a = await f.nodes["front"][0].caller().ask("POST", "/up/1", f"u{i}", body=b"x")
        statuses.append(a.status)
        check(a.status in (200, 502) and runs(f, f"u{i}") == 1, (a, runs(f, f"u{i}")))
    check(200 in statuses, statuses)
    for i in range(12):
        a = await f.nodes["front"][0].caller().ask("GET", "/leaf/1", f"s{i}")
        check(a.status in (200, 502), a)


@test({"front": 1, "back": 1})
async def test_big_bodies_bounded(f):
    """Guards against nodes that buffer whole bodies: a 64 MiB upload goes to a server that
    reads slowly, and a long answer to a caller that reads slowly. A node holds no more
    than a few windows of either in memory."""
    big = b"u" * (64 << 20)

    async def answer(s, head, rid, stage):
        return (None, 200, b"a" * (8 << 20)) if stage == "run" and rid == "down" else None
    f.nodes["back"][0].server.behave = answer
    nodes = f.all()
    await nodes[0].caller().ask("POST", "/up/1", "warm", body=b"x")
    idle = [n.rss_kb() for n in nodes]
    task = asyncio.ensure_future(
        nodes[0].caller().ask("POST", "/up/1", "up", body=big, deadline=25000, timeout=30))
    most = [0, 0]
    while not task.done():
        most = [max(m, n.rss_kb()) for m, n in zip(most, nodes)]
        await asyncio.sleep(0.02)
    a = await task
    check(a.status == 200 and f" {len(big)} ".encode() in a.body, a)
    c = nodes[0].caller()
    await c.raw(b"GET /leaf/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: down\r\n\r\n")
    await asyncio.sleep(1)
    most = [max(m, n.rss_kb()) for m, n in zip(most, nodes)]
    a = await c.answer()
    check(a.whole and len(a.body) == 8 << 20, len(a.body))
    grown = [m - i for m, i in zip(most, idle)]
    check(max(grown) < 8 * 1024, f"grew by {grown} KB")


@test({"front": 1, "back": 1})
async def test_cut_answer_looks_cut_to_an_old_caller(f):
    """Guards against an HTTP/1.0 caller that takes a truncated answer for a complete one:
    the server breaks off an answer without a declared length, and the node closes its own
    connection in the normal way, which marks the end of such an answer for that caller."""
    async def cut(s, head, rid, stage):
        return ("unframed-reset", 200, b"a" * 200000) if stage == "run" else None
    f.nodes["back"][0].server.behave = cut
    c = f.nodes["front"][0].caller()
    await c.raw(b"POST /up/1 HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: old\r\n"
                b"X-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
    try:
        a = await c.answer()
    except ConnectionResetError:
        return
    check(a.status >= 500 or not a.whole, (a.status, a.whole, len(a.body)))


@test({"front": 1, "back": 1})
async def test_caller_that_pauses(f):
    """Guards against a truncated answer for a caller that reads nothing of a long answer
    for a few seconds, well within its deadline: the kernel gives up a connection whose
    other end accepts nothing for two seconds. That limit is meant for hosts that vanish; a
    caller on this host that pauses keeps its window shut but is still there."""
    async def answer(s, head, rid, stage):
        return (None, 200, b"a" * (8 << 20)) if stage == "run" else None
    f.nodes["back"][0].server.behave = answer
    c = f.nodes["front"][0].caller()
    await c.raw(b"POST /up/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: pause\r\n"
                b"X-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n")
    c.writer.transport.pause_reading()
    await asyncio.sleep(4)
    c.writer.transport.resume_reading()
    a = await c.answer()
    check(a.whole and len(a.body) == 8 << 20, (a.whole, len(a.body)))


@test({"front": 1, "back": 1})
async def test_server_that_pauses(f):
    """Guards against a failed upload for the same reason, when a server reads nothing of a
    long upload for a few seconds."""
    async def pause(s, head, rid, stage):
        if stage == "head" and rid == "pause":
            await asyncio.sleep(4)
    f.nodes["back"][0].server.behave = pause
    a = await f.nodes["front"][0].caller().ask("POST", "/up/1", "pause", body=b"u" * (16 << 20),
                                               deadline=20000)
    check(a.status == 200 and runs(f, "pause") == 1, a)
