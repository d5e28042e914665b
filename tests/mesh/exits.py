"""Failure tests of the exit of a stopping node: the work that it has accepted."""
import asyncio
import signal
import time

from fleet import route
from harness import check, lines_with, runs, test

# work of the first kind has been short, that of the second lasts for seconds
LONG_RULES = [route("get", "/get/", "front"),
              route("leaf", "/leaf/", "back", timeout=20, target=2),
              route("up", "/up/", "back", "unsafe", timeout=20, target=2)]


async def ask(node, method, target, rid):
    a = await node.caller().ask(method, target, rid, body=b"x" if method == "POST" else b"",
                                deadline=20000, timeout=21)
    return rid, a.status


async def by_length(s, head, rid, stage):
    """The request id begins with the time in milliseconds that the server takes."""
    if stage == "run":
        await asyncio.sleep(int(rid.split("-")[0]) / 1000)


async def two_stops(f, before, target, method, ms):
    """The node beside the only server stops, then the entry node; requests of `ms` arrive all
    the while. Returns (request id, status) of those."""
    busy, entry = f.nodes["back"][0], f.nodes["front"][0]
    busy.server.behave = by_length
    for i, (kind, took) in enumerate(before):
        await ask(entry, "POST" if kind == "up" else "GET", f"/{kind}/1", f"{took}-before{i}")
    short = [asyncio.ensure_future(ask(entry, "GET", "/leaf/1", f"5500-held{i}")) for i in range(1)]
    await asyncio.sleep(0.1)
    busy.signal(signal.SIGTERM)
    since = time.monotonic()
    tasks = []
    while time.monotonic() - since < 4:
        tasks.append(asyncio.ensure_future(ask(entry, method, target, f"{ms}-late{len(tasks)}")))
        if len(tasks) == 10:
            entry.signal(signal.SIGTERM)
        await asyncio.sleep(0.15)
    ends = await asyncio.gather(*tasks)
    for t in short:
        t.cancel()
    return ends


def check_all_told(f, ends):
    bad = [e for e in ends if e[1] not in (200, 503)]
    check(not bad, (bad, [n.logged("E1318") for n in f.nodes["back"]]))
    check(not [r for r, status in ends if status == 503 and runs(f, r)], "refused but run")


@test({"front": 1, "back": 1}, slots=64, rules=LONG_RULES)
async def test_order_outlasts_exit_beside_its_server(f):
    """Guards against a 502 for an order of a known long kind, cut by the exit beside its server."""
    before = [("up", 3200)] * 1 + [("up", 10)] * 30
    ends = await two_stops(f, before, "/up/1", "POST", 3200)
    check_all_told(f, ends)
    check([e for e in ends if e[1] == 200], ends)


@test({"front": 1, "back": 1}, slots=64, rules=LONG_RULES)
async def test_short_work_goes_on_beside_long_kinds(f):
    """Guards against an idle server during a stop because another kind of work is long."""
    ends = await two_stops(f, [("up", 3200)] + [("up", 10)] * 30 + [("leaf", 10)] * 30,
                           "/leaf/1", "GET", 10)
    check_all_told(f, ends)
    served = [int(r.split("late")[1]) for r, status in ends if status == 200]
    check(max(served) * 0.15 > 2.2, served)


@test({"front": 1, "back": 1}, slots=64, rules=LONG_RULES)
async def test_long_run_is_remembered_until_the_exit(f):
    """Guards against a bound on durations that decays below the longest run of a minute."""
    before = [("up", 3200)] + [("up", 10)] * 30
    busy = f.nodes["back"][0]
    busy.server.behave = by_length
    for i, (kind, took) in enumerate(before):
        await ask(f.nodes["front"][0], "POST", f"/{kind}/1", f"{took}-early{i}")
    await asyncio.sleep(10)
    check_all_told(f, await two_stops(f, [("up", 10)], "/up/1", "POST", 3200))


@test({"front": 1, "back": 1}, slots=64, rules=LONG_RULES)
async def test_exit_names_what_it_cuts_off(f):
    """Guards against an exit that interrupts requests and leaves no line that names them."""
    busy, entry = f.nodes["back"][0], f.nodes["front"][0]
    busy.server.behave = by_length
    cut = asyncio.ensure_future(ask(entry, "POST", "/up/1", "9000-cut"))
    await asyncio.sleep(0.1)
    busy.signal(signal.SIGTERM)
    check(await cut == ("9000-cut", 502), cut)
    await asyncio.to_thread(busy.proc.wait, 2)
    check(lines_with(busy, "E1318", "id=9000-cut server=i-back-0 idempotent=0"),
          busy.logged("E1318"))
    check(lines_with(busy, "E1002", "cut_off=1"), busy.logged("E1002"))
    check(lines_with(entry, "E1405", "used=1 leaving=1"), entry.logged("E1405"))


@test({"front": 1, "back": 1}, slots=64, rules=LONG_RULES)
async def test_young_process_outlasts_its_exit(f):
    """Guards against a node that just started, knows short runs only, and stops under a long one."""
    busy, entry = f.nodes["back"][0], f.nodes["front"][0]
    busy.server.behave = by_length
    await ask(entry, "POST", "/up/1", "3200-known-to-the-entry-node")
    busy.kill()
    busy.start()
    await f.until_ready([busy])
    await asyncio.sleep(1)
    check_all_told(f, await two_stops(f, [("up", 10)] * 30, "/up/1", "POST", 3200))


@test({"front": 1})
async def test_second_sigterm_is_logged(f):
    """Guards against a stop whose record does not show that it was asked for twice."""
    node = f.nodes["front"][0]
    node.signal(signal.SIGTERM)
    await asyncio.sleep(1)
    node.signal(signal.SIGTERM)
    check(await asyncio.to_thread(node.proc.wait, 4) == 0, node.proc.returncode)
    check(len(node.logged("E1001")) == 2 and len(lines_with(node, "E1001", "again=1")) == 1,
          node.logged("E1001"))
