"""Failure tests of what becomes of requests whose connection between two hosts
went silent or was lost: the peer is asked over another one."""
import asyncio
import signal

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
