"""A call of a running request is sent again to the server that rejected it, and the late second
copy of the rejection is taken for the new answer. See claim.txt."""
import asyncio
import collections
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stage  # noqa: E402
import shedding  # noqa: E402
from stage import TROUBLE, fl, standin  # noqa: E402

ROUNDS = 8
CLIENTS = 24
CALLS, CALL_ANSWERS = [], {}


async def call(server, rid, record):
    """The call that a running request makes through its machine's node; True if served."""
    kept = server.__dict__.setdefault("kept", [])
    c = kept.pop() if kept else standin.Caller(server.ip, fl.CALLERS)
    own = rid + ".1"
    CALLS.append(own)
    try:
        a = await c.ask("POST", f"/put/{rid}", own, body=b"order", deadline=4000, timeout=8)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        c.close()
        return False
    CALL_ANSWERS[own] = a.status
    record(f"server {server.id} gets {a.status} for its call {own}")
    if a.whole and a.head.get("connection") != "close":
        kept.append(c)
    else:
        c.close()
    return a.status == 200


async def work(server, head, rid, when):
    if when != "run":
        return None
    await asyncio.sleep(0.02)
    if server.service == "front" and not await call(server, rid, server.record):
        return None, 500, b"a call failed"
    return None


async def client(f, number, record, answers, until):
    node = f.all()[number % len(f.all())]
    c, n = None, 0
    while time.monotonic() < until:
        n += 1
        rid = f"{number:02x}{n:06x}"
        try:
            if c is None:
                c = node.caller()
                await c.open()
            a = await c.ask("GET", f"/get/{rid}", rid, deadline=5000, timeout=8)
            answers[rid] = a.status
            if a.head.get("connection") == "close" or not a.whole:
                c.close()
                c = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            answers[rid] = 0
            record(f"client at {node.ip} gets no answer for {rid}: {type(e).__name__}")
            c.close()
            c = None
        await asyncio.sleep(0.02)


async def main():
    record = stage.Record(HERE)
    record("with the disruptions" if TROUBLE else "TROUBLE=0: without the disruptions")
    rules = [fl.route("get", "/get/", "front", "safe", 2, 5, 1.2, 2),
             fl.route("put", "/put/", "back", "unsafe", 0, 5, 1.5, 2)]
    shedding.Server.names_request = True
    f = stage.fleet({"front": 2, "back": 2}, rules, 22, shedding.Server)
    answers = {}
    try:
        for n in f.all():
            n.server.record, n.server.behave = record, work
        await f.start()
        until = time.monotonic() + shedding.length_s(ROUNDS)
        await asyncio.gather(
            shedding.trouble(TROUBLE, [n.server for n in f.nodes["back"]], ROUNDS, record),
            *[client(f, i, record, answers, until) for i in range(CLIENTS)])
        await asyncio.sleep(1)
        ran = collections.Counter(rid for n in f.all() for _, rid in n.server.ran)
    finally:
        await stage.end(f)
    # a request may run again and makes its call again then; the call has the same id
    again = {r for r in answers if ran[r] > 1}
    once = [c for c in CALLS if c.rpartition(".")[0] not in again]
    twice = [c for c in once if ran[c] > 1]
    refused = [c for c in once if ran[c] and CALL_ANSWERS.get(c) in (408, 421, 429, 503)]
    if len(answers) < 500:
        print(f"only {len(answers)} requests were answered")
        return 2
    result = (f"{len(set(CALLS))} calls sent on an unsafe route, "
              f"{dict(collections.Counter(CALL_ANSWERS.values()))} answered; TWICE: {len(twice)} "
              f"ran more than once {twice[:5]}; REFUSED: {len(refused)} refused and run "
              f"{refused[:5]}; left out, as the request itself ran again: "
              f"{len(again)}")
    record(result)
    print(result)
    return 1 if twice or refused else 0


stage.leave(main)
