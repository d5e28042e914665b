"""Failure tests of requests that crash the backend servers that execute them."""
import asyncio
import time

from harness import check, test

BACK_AFTER_S = 2
TOUCH_S = 3
SENDS_ALLOWED = 3


class Crashes:
    """Crashes a server that executes a request to the path, and restarts it under another id."""

    def __init__(self, f, service, path, after=0.07, take=True):
        self.f, self.path, self.after = f, path, after
        self.sends = []  # times at which the request reached a server
        self.ends = []  # times at which a server crashed while it executed the request
        self.tasks = []
        self.down = set()
        for n in f.nodes[service] if take else []:
            n.server.behave = self.behave

    async def behave(self, server, head, rid, stage):
        if stage != "run":
            return None
        if head.start[1] != self.path:
            await asyncio.sleep(0.02)
            return None
        self.sends.append(time.monotonic())
        await asyncio.sleep(self.after)
        self.end(server)
        await asyncio.sleep(3600)

    def end(self, server):
        if server in self.down:
            return
        self.ends.append(time.monotonic())
        self.down.add(server)
        server.stop()
        self.tasks.append(asyncio.ensure_future(self.start_anew(server)))

    async def start_anew(self, server):
        old = server.id
        await asyncio.sleep(BACK_AFTER_S)
        server.id = old + "n"
        server.running = 0
        server.free = asyncio.Semaphore(server.slots)
        self.down.discard(server)
        await server.start()
        self.f.register(server)
        await asyncio.sleep(1)
        self.f.store.remove("servers/" + old)

    def late_sends(self):
        if len(self.ends) < 3:
            return []
        return [t - self.ends[2] for t in self.sends if t > self.ends[2] + TOUCH_S]


async def repeat(f, seconds, gap, ask, answers, start=0):
    """Sends requests to one host after the other, whatever the answer is."""
    end = time.monotonic() + seconds
    i = start
    while time.monotonic() < end:
        node = f.all()[i % len(f.all())]
        c = node.caller()
        try:
            a = await ask(c, i)
            answers.append((time.monotonic(), a.status, a))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            answers.append((time.monotonic(), 0, e))
        c.close()
        f.callers.remove(c)
        i += 1
        await asyncio.sleep(gap)


async def play(f, service, path, other, method="GET", body=b"", seconds=14):
    crashes = Crashes(f, service, path)
    bad, good = [], []

    async def ask_bad(c, i):
        # callers send one body with a length or in chunks
        return await c.ask(method, path, f"bad{method}{i}-{id(c)}", body=body,
                           chunked=bool(body) and i % 2 == 0, deadline=3000, timeout=5)

    async def ask_good(c, i):
        return await c.ask("GET", f"{other}{i}", f"good{i}-{id(c)}", deadline=3000, timeout=5)
    await asyncio.gather(*(repeat(f, seconds, 0.35, ask_bad, bad, k * 5) for k in range(3)),
                         *(repeat(f, seconds, 0.02, ask_good, good, k * 3) for k in range(4)))
    served = sum(s == 200 for _, s, _ in good) / len(good)
    print(f"    {method} {path}: {len(crashes.ends)} servers ended, {len(crashes.late_sends())} "
          f"sends later than {TOUCH_S} s after the third, others served {served:.3f}, "
          f"sender heard {sorted({s for _, s, _ in bad})}", flush=True)
    return crashes, bad, served


@test({"front": 4, "back": 8})
async def test_lookup_that_ends_its_servers(f):
    """Callers repeat one lookup at any host, and each server that executes it crashes,
    again and again."""
    crashes, bad, served = await play(f, "front", "/get/bad", "/get/ok")
    check(len(crashes.ends) >= 1, "the fault did not come")
    check(len(crashes.late_sends()) <= SENDS_ALLOWED, crashes.late_sends())
    check(served > 0.8, served)


@test({"front": 4, "back": 8})
async def test_order_that_ends_its_servers(f):
    """The same with an order whose body comes with a length or in chunks; an order that
    was executed is not reported as unexecuted."""
    crashes, bad, served = await play(f, "back", "/up/bad", "/leaf/ok", "POST", b"z" * 3000)
    check(len(crashes.ends) >= 1, "the fault did not come")
    check(len(crashes.late_sends()) <= SENDS_ALLOWED, crashes.late_sends())
    refused = sum(s in (429, 503) for _, s, _ in bad)
    check(len(crashes.sends) + refused <= len(bad), (len(crashes.sends), refused, len(bad)))
    check(served > 0.9, served)


@test({"front": 2, "back": 6})
async def test_popular_lookup_survives_a_dying_rack(f):
    """Guards against holding back a lookup that every caller sends, as the supposed cause
    when half of its servers crash at once, three times."""
    crashes = Crashes(f, "back", "/never")
    answers = []

    async def ask(c, i):
        return await c.ask("GET", "/leaf/popular", f"pop{i}-{id(c)}", deadline=3000, timeout=5)

    async def rack():
        for _ in range(3):
            await asyncio.sleep(1.5)
            for n in f.nodes["back"][:3]:
                crashes.end(n.server)
            await asyncio.sleep(BACK_AFTER_S + 0.5)
    await asyncio.gather(rack(), *(repeat(f, 12, 0.01, ask, answers, k) for k in range(6)))
    lost = [(t, s) for t, s, _ in answers if s != 200]
    check(len(lost) < len(answers) / 50, (len(lost), len(answers), {s for _, s in lost}))


@test({"front": 3, "back": 5})
async def test_node_that_starts_anew_hears_of_held_requests(f):
    """Guards against a restarted host that sends a request which crashes servers to one
    server after the other, because no node has reported the request to it."""
    crashes = Crashes(f, "back", "/leaf/bad")
    node = f.nodes["front"][0]
    c = f.nodes["front"][1].caller()
    for i in range(20):
        a = await c.ask("GET", "/leaf/bad", f"b{i}", deadline=2000, timeout=4)
        if a.status == 503 and a.head.get("retry-after", "0") > "5":
            break
        await asyncio.sleep(0.3)
    ended = len(crashes.ends)
    check(a.status == 503, a)
    node.kill()
    node.start()
    await f.until_ready([node])
    await asyncio.sleep(1)
    for i in range(6):
        a = await node.caller().ask("GET", "/leaf/bad", f"anew{i}", deadline=2000, timeout=4)
        check(a.status == 503 and float(a.head.get("retry-after", 0)) > 1, (a, a.head.fields))
        a = await node.caller().ask("GET", f"/leaf/ok{i}", f"ok{i}", deadline=2000, timeout=4)
        check(a.status == 200, a)
        await asyncio.sleep(0.2)
    check(len(crashes.ends) == ended, (ended, len(crashes.ends)))


@test({"front": 2, "back": 4})
async def test_request_is_let_go_after_its_hold(f):
    """Guards against a request that is rejected for ever after its servers were repaired."""
    crashes = Crashes(f, "back", "/leaf/bad")
    c = f.nodes["front"][0].caller()
    for i in range(20):
        a = await c.ask("GET", "/leaf/bad", f"b{i}", deadline=2000, timeout=4)
        if a.status == 503 and float(a.head.get("retry-after", 0)) > 5:
            break
        await asyncio.sleep(0.3)
    wait = float(a.head.get("retry-after", 0))
    check(5 < wait <= 15, a.head.fields)
    crashes.path = "/never"
    await asyncio.sleep(wait + 0.1)
    for n in f.all():
        a = await n.caller().ask("GET", "/leaf/bad", "mended" + n.ip, deadline=2000, timeout=4)
        check(a.status == 200, a)
