"""Measures lwproxy over loopback: memory per connection, processor time per request,
time from a caller's close until its request is cancelled at the server, and the cost of
control traffic as the fleet grows. Run: make meshbench"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "mesh"))
from fleet import Fleet, until  # noqa: E402

TICK = os.sysconf("SC_CLK_TCK")


def cpu_s(node):
    with open(f"/proc/{node.proc.pid}/stat", encoding="utf-8") as f:
        parts = f.read().rsplit(")", 1)[1].split()
    return (int(parts[11]) + int(parts[12])) / TICK


async def connections():
    f = Fleet(31, {"front": 1})
    await f.start()
    node = f.all()[0]
    await node.caller().ask("GET", "/get/1", "w")
    idle = node.rss_kb()
    callers = [node.caller() for _ in range(1000)]
    for i, c in enumerate(callers):
        await c.ask("GET", "/get/1", f"c{i}")
    print(f"memory: idle {idle} KB, {(node.rss_kb() - idle) / 1000:.2f} KB a caller's connection "
          f"after use (1000 open)")
    await f.stop()


async def requests():
    f = Fleet(32, {"front": 1, "back": 1})
    await f.start()
    node = f.nodes["front"][0]
    callers = [node.caller() for _ in range(16)]

    async def load(c, k, count):
        for i in range(count):
            a = await c.ask("GET", "/leaf/1", f"l{k}-{i}")
            assert a.status == 200, a
    await asyncio.gather(*[load(c, k, 20) for k, c in enumerate(callers)])
    before, total = [cpu_s(n) for n in f.all()], 16 * 500
    start = time.monotonic()
    await asyncio.gather(*[load(c, k, 500) for k, c in enumerate(callers)])
    took = time.monotonic() - start
    used = [cpu_s(n) - b for n, b in zip(f.all(), before)]
    print(f"processor: {1e6 * sum(used) / total:.0f} us a request, both nodes together "
          f"({total / took:.0f} requests a second)")
    times = []

    async def slow(server, head, rid, stage):
        if stage == "run":
            await asyncio.sleep(5)
    f.nodes["back"][0].server.behave = slow
    for i in range(50):
        c = node.caller()
        task = asyncio.ensure_future(c.ask("GET", "/leaf/1", f"x{i}", timeout=20))
        await until(lambda i=i: [1 for _, r in f.nodes["back"][0].server.ran if r == f"x{i}"], bool,
                    2, 0.002)
        left = time.monotonic()
        task.cancel()
        c.close()
        await until(lambda i=i: [1 for _, r in f.nodes["back"][0].server.cancelled
                                 if r == f"x{i}"], bool, 2, 0.001)
        times.append(time.monotonic() - left)
    times.sort()
    print(f"close to cancel, behind a hop: p50 {1000 * times[25]:.1f} ms, most "
          f"{1000 * times[-1]:.1f} ms (the stand-in looks every 10 ms)")
    await f.stop()


async def control(size):
    f = Fleet(33, {"front": size // 2, "back": size - size // 2})
    await f.start()
    for i, n in enumerate(f.all()):
        await n.caller().ask("GET", "/leaf/1", f"w{i}")
    await asyncio.sleep(4)
    names = ("lw_mesh_bytes_out_total", "lw_frames_out_total", "lw_store_calls_total")

    async def sums():
        return [sum([await n.metric(m) for n in f.all()]) for m in names]
    before, cpu, start = await sums(), [cpu_s(n) for n in f.all()], time.monotonic()
    await asyncio.sleep(10)
    took = time.monotonic() - start
    used = sum(cpu_s(n) - c for n, c in zip(f.all(), cpu)) / took / size
    each = [(a - b) / took / size for a, b in zip(await sums(), before)]
    rss = sum(n.rss_kb() for n in f.all()) / size
    print(f"control, {size} nodes: {each[0]:.0f} B/s and {each[1]:.1f} frames/s a node, store calls "
          f"{each[2] * size:.1f}/s in all, processor {100 * used:.2f}% of a core, memory "
          f"{rss / 1024:.1f} MB")
    await f.stop()


async def main():
    await connections()
    await requests()
    for size in (4, 8, 16, 32, 64):
        await control(size)


asyncio.run(main())
