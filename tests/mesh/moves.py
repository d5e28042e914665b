"""Failure tests of requests that are moved from one server to another."""
import asyncio

from harness import check, test


@test({"front": 2, "back": 2}, slots=4)
async def test_moved_read_waits_for_its_server(f):
    """Guards against a read that ends with 502 because it was given up at a slow server and
    the next server has no free slot at once."""
    stalled = []

    async def work(s, head, rid, stage):
        if stage != "run":
            return
        if rid == "read" and not stalled:
            stalled.append(s)
            await asyncio.sleep(3)
        elif rid.startswith("long"):
            await asyncio.sleep(0.7)
        else:
            await asyncio.sleep(0.01)
    for n in f.nodes["back"]:
        n.server.behave = work
    node, other = f.nodes["front"]
    for i in range(40):
        for n in (node, other):
            check((await n.caller().ask("GET", "/leaf/1", f"w{i}{n.ip}")).status == 200, "warm-up")
    read = asyncio.ensure_future(node.caller().ask("GET", "/leaf/1", "read"))
    await asyncio.sleep(0.09)
    longs = [asyncio.ensure_future(other.caller().ask("GET", "/leaf/1", f"long{i}"))
             for i in range(8)]
    a = await read
    await asyncio.gather(*longs)
    check(len(stalled) == 1, "it did not stall")
    check(a.status == 200, a.status)
