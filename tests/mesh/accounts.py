"""Failure tests of the account of lost requests (lwctl account) with the logs of real nodes."""
import asyncio
import csv
import os
import signal
import subprocess

import fleet as fl
from fleet import route, until
from harness import check, lines_with, test

RULES = [route("plain", "/p/", "back", "safe", 2, 2, 0.4),
         route("order", "/o/", "back", "unsafe", 0, 2, 0.4)]


def account(f, *args):
    """Returns the rows of the account of all logs of the fleet, and its warnings."""
    logs = [os.path.join(f.dir, n.ip + ".log") for n in f.all()]
    ctl = os.path.join(os.path.dirname(fl.PROXY), "lwctl")
    done = subprocess.run([ctl, "account", "--csv", *args, *logs], capture_output=True, text=True,
                          check=True)
    return list(csv.DictReader(done.stdout.splitlines())), done.stderr


async def behave(server, head, rid, stage):
    if stage != "run":
        return None
    kind = rid.split("-")[0]
    if kind == "fails":
        return None, 500, b"error"
    if kind == "left":
        await asyncio.sleep(5)
    await asyncio.sleep(0.03)
    return "cut" if kind == "broken" else None


async def ask(node, target, rid, lost):
    c = node.caller()
    a = await c.ask("POST" if target == "/o/" else "GET", target, rid)
    c.close()
    if a.status != 200 or not a.whole:
        lost.append(rid)


async def leave(node, rid, lost):
    c = node.caller()
    task = asyncio.ensure_future(c.ask("GET", "/p/", rid))
    await asyncio.sleep(0.1)
    task.cancel()
    c.close()
    lost.append(rid)


@test({"front": 2, "back": 1}, start=False, slots=4, rules=RULES)
async def test_account_adds_up(f):
    """Guards against an account that misses requests: most lines are dropped in a burst, a
    caller that leaves, an answer with a 5xx status of the server itself and a request
    without a route are in no line of request_ended. What callers saw fail is compared with
    the rows."""
    for n in f.all():  # so few lines that most are dropped also if the burst takes long
        n.settings = lambda old=n.settings: old() + "[log]\nrequest_lines_per_s = 10\n"
    await f.start()
    f.nodes["back"][0].server.behave = behave
    lost = []
    tasks = []
    for i in range(900):
        node = f.nodes["front"][i % 2]
        tasks.append(asyncio.ensure_future(ask(node, "/o/" if i % 4 == 0 else "/p/", f"burst-{i}",
                                               lost)))
        await asyncio.sleep(0.0025)
    await asyncio.gather(*tasks)
    burst = len(lost)
    await asyncio.sleep(1.5)
    for i in range(10):
        node = f.nodes["front"][i % 2]
        await ask(node, "/o/", f"fails-{i}", lost)
        await ask(node, "/o/", f"broken-{i}", lost)
        await ask(node, "/none/", f"none-{i}", lost)
    for i in range(4):
        await leave(f.nodes["front"][i % 2], f"left-{i}", lost)
    for n in f.all():
        n.signal(signal.SIGTERM)
    await until(lambda: [n.proc.poll() for n in f.all()], lambda v: None not in v, 8)
    rows, warnings = account(f, "--by", "cause")
    counts = {r["cause"]: int(r["requests"]) for r in rows}
    check(burst > 400 and sum(int(r["estimated"]) for r in rows) > 200, (burst, rows))
    check(abs(sum(counts.values()) - len(lost)) <= len(lost) * 0.02, (len(lost), counts))
    check([counts.get(c) for c in ("server_failed", "broken", "no_route", "left")] ==
          [10, 10, 10, 4], counts)
    check(not warnings, warnings)


@test({"front": 1, "back": 1}, rules=RULES)
async def test_failing_process_names_its_requests(f):
    """Guards against a process that ends by a fault in it and leaves no line: its requests
    end without an answer, and it looks like one that was killed."""
    f.nodes["back"][0].server.behave = behave
    node = f.nodes["front"][0]
    task = asyncio.ensure_future(node.caller().ask("GET", "/p/", "left-1"))
    await until(lambda: f.nodes["back"][0].server.ran, bool)
    node.signal(signal.SIGFPE)
    ended = await asyncio.gather(task, return_exceptions=True)
    check(isinstance(ended[0], (OSError, asyncio.IncompleteReadError)), ended)
    await until(node.proc.poll, lambda rc: rc == -signal.SIGFPE, 2)
    check(lines_with(node, "E1009", "signal=8 at=0x"), node.logged("E1009"))
    check(lines_with(node, "E1319", "id=left-1"), node.logged("E1319"))
    rows, _ = account(f, "--by", "cause")
    check([(r["cause"], r["requests"]) for r in rows] == [("process_failed", "1")], rows)


@test({"front": 1})
async def test_failing_process_ends_while_nobody_reads_its_log(f):
    """Guards against a process that a fault leaves behind, alive and deaf: the handler of its signal
    waits for whoever reads the log, and all its connections stay open without an answer."""
    node = f.nodes["front"][0]
    node.kill()
    reader, writer = os.pipe()
    node.start(out=writer)
    await f.until_ready([node])
    os.set_blocking(writer, False)  # of the process, too, as they share it
    try:
        while os.write(writer, b"x" * 65536):
            pass
    except BlockingIOError:
        pass
    os.set_blocking(writer, True)
    node.signal(signal.SIGSEGV)
    await until(node.proc.poll, lambda rc: rc == -signal.SIGSEGV, 1)
    os.close(reader)
    os.close(writer)
