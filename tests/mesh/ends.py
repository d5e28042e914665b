"""Failure tests of node processes that end by themselves."""
import asyncio
import os
import resource
import signal

import fleet as fl
import standin
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


def exhaust_descriptors(node):
    """The process can open no further descriptor: the limit is the lowest number not in use."""
    pid = node.proc.pid
    used = {int(fd) for fd in os.listdir(f"/proc/{pid}/fd")}
    free = next(n for n in range(len(used) + 1) if n not in used)
    resource.prlimit(pid, resource.RLIMIT_NOFILE,
                     (free, resource.prlimit(pid, resource.RLIMIT_NOFILE)[1]))


def free_descriptors(node):
    most = resource.prlimit(node.proc.pid, resource.RLIMIT_NOFILE)[1]
    resource.prlimit(node.proc.pid, resource.RLIMIT_NOFILE, (most, most))


@test({"front": 1, "back": 1})
async def test_no_descriptor_for_a_connection_to_the_server(f):
    """Guards against a process that ends by a fault when it has no descriptor left to connect to its
    server or to another node: the request is refused, and others are served later."""
    node = f.nodes["front"][0]
    callers = [node.caller() for _ in range(3)]
    for c in callers:
        check((await c.ask("GET", "/none/", "first")).status == 404, "not accepted")
    exhaust_descriptors(node)
    answers = await asyncio.gather(
        callers[0].ask("PUT", "/put/1", "own", body=b"x"),
        callers[1].ask("PUT", "/put/1", "slowly", body=b"x" * 200000),
        callers[2].ask("POST", "/up/1", "other", body=b"x"), return_exceptions=True)
    check(node.proc.poll() is None, f"ended with {node.proc.poll()}: {node.logged('E1009')}")
    check([getattr(a, "status", a) for a in answers[:2]] == [503] * 2, answers)
    check(not runs(f, "own") + runs(f, "slowly"), "refused, though executed")
    check(getattr(answers[2], "status", 0) in (200, 503), answers)
    free_descriptors(node)
    a = await node.caller().ask("PUT", "/put/1", "again", body=b"x")
    check(a.status == 200, a)


def processor_ticks(node):
    """Processor time of the process so far, in hundredths of a second."""
    with open(f"/proc/{node.proc.pid}/stat", encoding="utf-8") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


@test({"front": 1})
async def test_connections_wait_for_a_descriptor(f):
    """Guards against a process that uses up its processor while connections wait to be accepted and
    it has no descriptor for them: requests in progress get none of it."""
    node = f.nodes["front"][0]
    exhaust_descriptors(node)
    waiting = [standin.Caller(node.ip, port) for port in (fl.CALLERS, fl.READY, fl.MESH)]
    for c in waiting:
        await c.open()
    before = processor_ticks(node)
    await asyncio.sleep(1)
    used = processor_ticks(node) - before
    check(used < 10, f"{used} hundredths of a second in one second")
    free_descriptors(node)
    check((await waiting[0].ask("PUT", "/put/1", "waited", body=b"x")).status == 200, "not accepted")
    for c in waiting:
        c.close()
    await f.until_ready([node], 3)
