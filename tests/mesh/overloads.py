"""Failure tests of admission under overload."""
import asyncio
import time

import fleet as fl
from fleet import route
from harness import check, test


@test({"front": 1, "back": 1}, slots=4,
      rules=[route("urgent", "/u/", "back", "unsafe", 0, 5, 0.4),
             route("plain", "/p/", "back", "safe", 2, 5, 0.4)])
async def test_overload_order(f):
    """Guards against a burst in which urgent requests are rejected like the others and
    rejections come late: three times as many requests arrive as the server can execute,
    and they are served first come, first served, and wait until their deadline."""
    async def work(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.05)
    f.nodes["back"][0].server.behave = work
    results = {"u": [], "p": []}

    async def one(kind, i):
        start = time.monotonic()
        a = await f.nodes["front"][0].caller().ask(
            "POST" if kind == "u" else "GET", f"/{kind}/", f"{kind}{i}")
        results[kind].append((a.status, time.monotonic() - start))
    tasks = []
    for i in range(300):
        tasks.append(asyncio.ensure_future(one("u" if i % 6 == 0 else "p", i)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    served = {k: sum(s == 200 for s, _ in v) / len(v) for k, v in results.items()}
    check(served["u"] > 0.9 and served["u"] > served["p"] > 0.1, served)
    refused = sorted(t for v in results.values() for s, t in v if s == 503)
    check(refused and refused[len(refused) // 2] < 0.25, refused[-3:])


@test({"front": 1, "middle": 1, "leaf": 1}, slots=4,
      rules=[route("root", "/root/", "front", "safe", 2, 4, 1),
             route("mid", "/mid/", "middle", "safe", 1, 2, 0.5),
             route("leaf", "/leaf/", "leaf", "safe", 1, 1, 0.3)])
async def test_overload_refused_at_root(f):
    """Guards against wasted work when a leaf service is over capacity: in a burst of
    requests that each call the leaf twice, only the leaf rejects, and most requests fail
    after all the work above the leaf. Calls carry the rank of their request, and the node
    where requests enter receives the leaf's admission level."""
    def calls(target, times):
        async def behave(s, head, rid, stage):
            if stage != "run":
                return None
            await asyncio.sleep(0.01)
            for k in range(times):
                c = fl.standin.Caller(s.ip, fl.CALLERS)
                try:
                    a = await c.ask("GET", target, f"{rid}.{k}", deadline=int(
                        head.get("x-deadline-ms")))
                finally:
                    c.close()
                if a.status != 200:
                    return (None, 500, b"call failed")
            return None
        return behave
    f.nodes["front"][0].server.behave = calls("/mid/", 1)
    f.nodes["front"][0].server.free = asyncio.Semaphore(64)
    f.nodes["middle"][0].server.behave = calls("/leaf/", 2)

    async def leaf(s, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(0.05)
    f.nodes["leaf"][0].server.behave = leaf
    statuses = []

    async def one(i):
        a = await f.nodes["front"][0].caller().ask("GET", "/root/", f"root{i}")
        statuses.append(a.status)
    tasks = []
    for i in range(360):
        tasks.append(asyncio.ensure_future(one(i)))
        await asyncio.sleep(0.014)
    await asyncio.gather(*tasks)
    late = statuses[120:]
    check(late.count(503) > 20, f"refused at the root: {late.count(503)}")
    check(late.count(200) > 3 * (late.count(500) + late.count(502)),
          {s: late.count(s) for s in set(late)})
