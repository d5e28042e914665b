"""Failure tests of node processes that end by themselves."""
import asyncio
import os
import resource
import signal

from fleet import until
from harness import check, runs, test

WORK_S = 0.9


async def ask(node, ends, rid):
    """Sends an order on a connection of its own; records its status, or "closed"."""
    try:
        ends[rid] = (await node.caller().ask("PUT", "/put/1", rid, body=b"x")).status
    except (OSError, asyncio.IncompleteReadError):
        ends[rid] = "closed"


@test({"front": 2})
async def test_late_request_does_not_end_a_stopping_process(f):
    """Guards against a stopping process that ends by a fault when a request arrives after it has
    announced that it accepts nothing more: all its requests end without an answer. The only other
    node of the service fails, and no answer has told this one yet that its own gate is closed."""
    node, other = f.nodes["front"]

    async def work(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(WORK_S)
    node.server.behave = work
    ends = {}
    node.signal(signal.SIGTERM)
    await asyncio.sleep(1.6)
    tasks = [asyncio.ensure_future(ask(node, ends, f"early{i}")) for i in range(4)]
    await until(lambda: node.logged("E1006 stop_step step=refusing"), bool, 2, 0.01)
    other.kill()
    tasks += [asyncio.ensure_future(ask(node, ends, f"late{i}")) for i in range(4)]
    await asyncio.gather(*tasks)
    await until(node.proc.poll, lambda rc: rc is not None, 4)
    lost = [rid for rid, end in ends.items() if end == "closed" and runs(f, rid)]
    check(not lost, f"given to the server and not answered: {lost}")
    check(all(end in (200, 503) for end in ends.values()), ends)
    check(node.proc.poll() == 0, f"ended with {node.proc.poll()}: {node.logged('E1009')}")


def limit_descriptors(node, spare):
    """Lets the process open `spare` more descriptors than it has; None: as many as it likes."""
    pid = node.proc.pid
    used = max(int(fd) for fd in os.listdir(f"/proc/{pid}/fd")) + 1
    most = resource.prlimit(pid, resource.RLIMIT_NOFILE)[1]
    resource.prlimit(pid, resource.RLIMIT_NOFILE,
                     (most if spare is None else used + spare, most))


@test({"front": 1, "back": 1})
async def test_no_descriptor_for_a_connection_to_the_server(f):
    """Guards against a process that ends by a fault when it has no descriptor left to connect to its
    server or to another node: the request is refused, and others are served later."""
    node = f.nodes["front"][0]
    callers = [node.caller() for _ in range(3)]
    for c in callers:
        check((await c.ask("GET", "/none/", "first")).status == 404, "not accepted")
    limit_descriptors(node, 0)
    answers = await asyncio.gather(
        callers[0].ask("PUT", "/put/1", "own", body=b"x"),
        callers[1].ask("PUT", "/put/1", "slowly", body=b"x" * 200000),
        callers[2].ask("POST", "/up/1", "other", body=b"x"), return_exceptions=True)
    check(node.proc.poll() is None, f"ended with {node.proc.poll()}: {node.logged('E1009')}")
    check([getattr(a, "status", a) for a in answers[:2]] == [503] * 2, answers)
    check(not runs(f, "own") + runs(f, "slowly"), "refused, though executed")
    check(getattr(answers[2], "status", 0) in (200, 503), answers)
    limit_descriptors(node, None)
    a = await node.caller().ask("PUT", "/put/1", "again", body=b"x")
    check(a.status == 200, a)
