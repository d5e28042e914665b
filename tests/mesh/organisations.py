"""Failure tests of organisations: identification by API key, and rate limits."""
import asyncio
import os
import time

from fleet import config, route, until
from harness import check, runs, test

KEYED = [route("get", "/get/", "front"), route("put", "/put/", "front", "unsafe"),
         dict(route("leaf", "/leaf/", "back"), public=True)]
LIMIT = 40
KEYS = {"red": ["key-of-red-1", "key-of-red-2"], "blue": ["key-of-blue"]}


def orgs(keys, limits=()):
    limits = dict(limits)
    return [{"name": name, "api_keys": held, "priority": 1, "rate_per_s": limits.get(name, 0),
             "burst": limits.get(name, 0)} for name, held in keys.items()]


def keyed(version, keys=None, limits=(), rules=None):
    return {**config(version, rules or KEYED), "tenants": orgs(keys or KEYS, limits)}


async def put(f, doc):
    f.store.put("op/config", doc)
    for n in f.all():
        await until(lambda n=n: n.metric("lw_config_version"),
                    lambda v: v == int(doc["version"][1:]), 3)


def bearer(key):
    return [f"Authorization: Bearer {key}"]


def head_of(f, rid):
    return next((n.server.heads[rid] for n in f.all() if rid in n.server.heads), None)


async def status(node, rid, headers, target="/get/x"):
    c = node.caller()
    a = await c.ask("GET", target, rid, headers=headers)
    c.close()
    return a.status


@test({"front": 2, "back": 1})
async def test_key_names_the_organisation(f):
    """Guards against a server that sees the caller's key, or the organisation that the
    caller claims to be. The node removes the key and sets the organisation that holds
    it."""
    await put(f, keyed(2))
    for i, node in enumerate(f.all()):
        for name, held in KEYS.items():
            for key in held:
                rid = f"k{i}-{key}"
                check(await status(node, rid, bearer(key) + ["X-Tenant-Id: forged"]) == 200, rid)
                head = head_of(f, rid)
                check(head.get("x-tenant-id") == name, head.fields)
                check(head.get("authorization") is None, head.fields)


@test({"front": 2, "back": 1})
async def test_open_route_passes_no_key(f):
    """Guards against a server that sees a key that a caller sent on a route that needs
    none. The node removes the key and any claimed organisation."""
    await put(f, keyed(2))
    for i, headers in enumerate(([], bearer(KEYS["blue"][0]), bearer("nobody"),
                                 ["X-Tenant-Id: blue"])):
        check(await status(f.nodes["front"][0], f"o{i}", headers, "/leaf/x") == 200, headers)
        head = head_of(f, f"o{i}")
        check(head.get("authorization") is None and head.get("x-tenant-id") is None, head.fields)


@test({"front": 2, "back": 1})
async def test_unknown_keys_are_turned_away(f):
    """Guards against the execution of a request whose key no organisation holds, or which
    has no key, another authentication scheme, or two keys."""
    await put(f, keyed(2))
    good = KEYS["blue"][0]
    cases = [([], 401), (bearer("nobody"), 401), (bearer(good + "x"), 401), (bearer(good[:-1]), 401),
             (bearer(""), 401), (["Authorization: Basic " + good], 401), (["Authorization: " + good], 401),
             (bearer(good) + bearer(good), 400), (bearer("nobody") + bearer(good), 400),
             (bearer("k" * 16000), 401), (bearer(good.upper()), 401), (["X-Tenant-Id: blue"], 401),
             (["authorization: bearer   " + good], 200)]
    for i, (headers, expected) in enumerate(cases):
        got = await status(f.nodes["front"][0], f"u{i}", headers)
        check(got == expected, (headers[0][:60] if headers else "", got))
        check(runs(f, f"u{i}") == (1 if expected == 200 else 0), headers)
    check(await status(f.nodes["front"][0], "forged.call", []) == 401, "an id that looks like a call's")


@test({"front": 2, "back": 1})
async def test_calls_of_servers_carry_no_key(f):
    """Guards against the rejection of calls of running requests, which carry no key."""
    inner = [route("get", "/get/", "front"), route("leaf", "/leaf/", "back")]
    await put(f, keyed(2, rules=inner))

    async def calling(server, head, rid, stage):
        if stage == "run" and head.start[1].startswith("/get/"):
            node = next(n for n in f.all() if n.server is server)
            return None, await status(node, rid + ".1", [], "/leaf/y"), b""
    for n in f.all():
        n.server.behave = calling
    check(await status(f.nodes["front"][0], "call", bearer(KEYS["red"][0])) == 200, "call refused")


@test({"front": 3, "back": 1})
async def test_keys_change_with_the_configuration(f):
    """Guards against keys that are used by an old configuration: a removed key is still
    accepted, or an added or moved key is unknown."""
    await put(f, keyed(2))
    await put(f, keyed(3, {"red": ["key-of-red-2", "key-of-blue"], "green": ["fresh"]}))
    expected = {"key-of-red-1": None, "key-of-red-2": "red", "key-of-blue": "red", "fresh": "green"}
    for i, node in enumerate(f.all()):
        for key, name in expected.items():
            rid = f"c{i}-{key}"
            check(await status(node, rid, bearer(key)) == (200 if name else 401), (key, name))
            check(not name or head_of(f, rid).get("x-tenant-id") == name, (key, name))


@test({"front": 6, "back": 2}, relays=True)
async def test_keys_taken_away_in_the_dark(f):
    """Guards against hosts that accept a removed key because the store rejects their
    reads, among them those that read for all. They receive the new configuration from other
    nodes."""
    await put(f, keyed(2))
    readers = [n for n in f.all() if await n.metric("lw_store_reader") == 1]
    f.refuse(readers + [n for n in f.all() if n not in readers][:2])
    f.store.put("op/config", keyed(3, {"red": KEYS["red"]}))
    await asyncio.sleep(2.5)
    f.check_refused()
    for i, node in enumerate(f.all()):
        check(await status(node, f"d{i}", bearer("key-of-blue")) == 401, node.ip)
        check(await status(node, f"e{i}", bearer(KEYS["red"][0])) == 200, node.ip)


@test({"front": 2, "back": 1})
async def test_new_key_at_a_node_in_the_dark(f):
    """Guards against callers that give up for good: a node without a store update for a
    long time answers 401 to a key that may be new. The node answers 503 instead, and
    serves the keys that it knows."""
    await put(f, keyed(2))
    f.store.mode = "503"
    await asyncio.sleep(4)
    check(await status(f.nodes["front"][0], "n1", bearer("new")) == 503, "401 in the dark")
    check(await status(f.nodes["front"][0], "n2", bearer(KEYS["blue"][0])) == 200, "known key")


@test({"front": 2, "back": 1})
async def test_shared_key_is_refused(f):
    """Guards against requests that count for the wrong organisation: in a configuration,
    two organisations hold the same key. Such a configuration is rejected and the old one
    stays in force."""
    await put(f, keyed(2))
    f.store.put("op/config", keyed(3, {"red": ["key-of-red-1"], "blue": ["key-of-red-1"]}))
    await asyncio.sleep(1)
    check(await f.all()[0].metric("lw_config_version") == 2, "a shared key was taken")
    check(await status(f.all()[0], "s1", bearer("key-of-blue")) == 200, "old configuration")


@test({"front": 2, "back": 1})
async def test_no_key_in_any_log(f):
    """Guards against keys in a log, the metrics or the status page, where more people can
    read them."""
    await put(f, keyed(2))
    node = f.nodes["front"][0]
    for i, headers in enumerate((bearer("secret-unknown-key"), bearer(KEYS["red"][0]),
                                 bearer("secret-a") + bearer("secret-b"))):
        await status(node, f"l{i}", headers)
    await put(f, keyed(3, {"red": ["secret-later"]}))
    pages = ""
    for page in ("/metrics", "/status"):
        c = node.caller()
        c.port = 8104
        await c.raw(f"GET {page} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        pages += (await c.answer(4)).body.decode()
        c.close()
    for name in os.listdir(f.dir):
        with open(os.path.join(f.dir, name), encoding="utf-8", errors="replace") as log:
            pages += log.read()
    for key in ("secret", "key-of-"):
        check(key not in pages, [line for line in pages.splitlines() if key in line][:3])


class Load:
    """Sends requests of one organisation at a given rate per second, distributed over
    several nodes; their ids end with @suffix."""

    def __init__(self, f, key, suffix=""):
        self.f, self.key, self.suffix, self.n, self.answers = f, key, suffix, 0, []

    async def one(self, node):
        self.n += 1
        rid = f"q{self.key}-{self.n}{self.suffix}"
        c = node.caller()
        try:
            a = await c.ask("GET", "/get/x", rid, headers=bearer(self.key))
            self.answers.append((time.monotonic(), a.status, float(a.head.get("retry-after") or 0)))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            c.close()

    async def run(self, nodes, per_s, seconds):
        end = time.monotonic() + seconds
        tasks, began, sent = [], time.monotonic(), 0
        while time.monotonic() < end:
            while sent < (time.monotonic() - began) * per_s:
                tasks.append(asyncio.ensure_future(self.one(nodes[sent % len(nodes)])))
                sent += 1
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)


def most_run(f, key, window=5.0):
    """Returns the highest number of an organisation's requests that were executed within
    @window seconds."""
    times = sorted(t for n in f.all() for t, r in n.server.ran if r.startswith(f"q{key}-"))
    most, first = 0, 0
    for last, t in enumerate(times):
        while times[first] < t - window:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed(limit):
    return (limit * 5 + limit) * 1.25 + 20


def ran_between(f, key, begin, end):
    return sum(begin <= t < end for n in f.all() for t, r in n.server.ran
               if r.startswith(f"q{key}-"))


def limited(version, limit=LIMIT):
    return keyed(version, limits={"red": limit})


@test({"front": 6, "back": 2})
async def test_limit_pressed_everywhere(f):
    """Guards against nodes that each admit the rate that the limit allows for all of them
    together: every node gets more requests than the limit. The limit is used fully, and
    429 carries a retry-after delay."""
    await put(f, limited(2))
    await asyncio.sleep(1)
    load = Load(f, KEYS["red"][0])
    began = time.monotonic()
    await load.run(f.all(), 200, 8)
    check(most_run(f, load.key) <= allowed(LIMIT), most_run(f, load.key))
    served = ran_between(f, load.key, began + 2, began + 8)
    check(served >= 0.95 * LIMIT * 6, served)
    refused = [a for a in load.answers if a[1] == 429]
    check(refused and all(a[2] > 0 for a in refused), "429 tells no time")
    check({a[1] for a in load.answers} == {200, 429}, {a[1] for a in load.answers})


@test({"front": 3, "back": 1})
async def test_limit_with_ids_like_those_of_calls(f):
    """Guards against callers that escape the limit of their organisation as their request ids have
    a dot, like those of calls that servers make."""
    await put(f, limited(2))
    await asyncio.sleep(1)
    load = Load(f, KEYS["red"][0], suffix=".7")
    await load.run(f.all(), 200, 6)
    check(most_run(f, load.key) <= allowed(LIMIT), most_run(f, load.key))


@test({"front": 6, "back": 2})
async def test_limit_at_one_node_then_another(f):
    """Guards against an organisation that gets only a share of its limit because all its
    requests arrive at one node, and then at another one."""
    await put(f, limited(2))
    await asyncio.sleep(1)
    load = Load(f, KEYS["red"][0])
    began = time.monotonic()
    await load.run(f.all()[:1], 120, 6)
    moved = time.monotonic()
    await load.run(f.all()[4:5], 120, 5)
    check(most_run(f, load.key) <= allowed(LIMIT), most_run(f, load.key))
    check(ran_between(f, load.key, began + 1, began + 6) >= 0.95 * LIMIT * 5, "at one node")
    check(ran_between(f, load.key, moved, moved + 1) >= 0.90 * LIMIT, "moved")


@test({"front": 6, "back": 2}, relays=True)
async def test_limit_while_all_are_cut_off(f):
    """Guards against nodes that each admit the whole limit while they cannot reach each
    other."""
    await put(f, limited(2))
    load = Load(f, KEYS["red"][0])
    await load.run(f.all(), 25, 4)
    for n in f.all():
        n.relay.mute = {"in", "out"}
    load.key = KEYS["red"][1]
    await load.run(f.nodes["front"], 200, 8)
    check(most_run(f, "key-of-red") <= allowed(LIMIT), most_run(f, "key-of-red"))
    check(any(a[1] == 200 for a in load.answers), "nothing was let in")


@test({"front": 6, "back": 2})
async def test_limit_while_nodes_are_killed(f):
    """Guards against a limit that is granted twice: a quota coordinator is killed and
    restarted, and grants the limit again."""
    await put(f, limited(2))
    await asyncio.sleep(1)
    load = Load(f, KEYS["red"][0])
    task = asyncio.ensure_future(load.run(f.all(), 200, 9))
    for n in f.all():
        await asyncio.sleep(0.8)
        n.kill()
        n.start()
    await task
    check(most_run(f, load.key) <= allowed(LIMIT), most_run(f, load.key))


@test({"front": 6, "back": 2})
async def test_limit_lowered_under_pressure(f):
    """Guards against nodes that continue with the old limit when it is lowered while
    demand exceeds it."""
    await put(f, limited(2, 100))
    await asyncio.sleep(1)
    load = Load(f, KEYS["red"][0])
    task = asyncio.ensure_future(load.run(f.all(), 200, 13))
    await asyncio.sleep(4)
    f.store.put("op/config", limited(3, 10))
    lowered = time.monotonic()
    await task
    ran = ran_between(f, load.key, lowered + 3, lowered + 8)
    check(ran <= allowed(10), ran)


@test({"front": 4, "back": 2})
async def test_limit_while_the_store_is_away(f):
    """Guards against limits that are exceeded, or not granted in full, during an outage of
    the store."""
    await put(f, limited(2))
    f.store.mode = "503"
    await asyncio.sleep(2)
    load = Load(f, KEYS["red"][0])
    began = time.monotonic()
    await load.run(f.all(), 160, 7)
    check(most_run(f, load.key) <= allowed(LIMIT), most_run(f, load.key))
    check(ran_between(f, load.key, began + 1, began + 7) >= 0.95 * LIMIT * 6, "refused below the limit")


@test({"front": 4, "back": 2})
async def test_below_the_limit_nothing_is_refused(f):
    """Guards against rejections below the limit: many organisations send few requests
    each, at any node."""
    names = {f"small-{i}": [f"k-small-{i}"] for i in range(20)}
    await put(f, keyed(2, names, {n: 5 for n in names}))
    await asyncio.sleep(1)
    loads = [Load(f, keys[0]) for keys in names.values()]
    await asyncio.gather(*(load.run(f.all(), 4, 6) for load in loads))
    answers = [a[1] for load in loads for a in load.answers]
    check(answers.count(200) >= 0.98 * len(answers), (answers.count(200), len(answers)))


@test({"front": 4, "back": 2})
async def test_shares_are_in_effect_while_two_ask(f):
    """Guards against nodes that rank by fair shares where nothing is shared, or do not
    where two organisations ask: also nodes that receive requests of one of them only hear
    of the other from the coordinators. One organisation alone changes nothing, and neither
    do those that stopped asking, once the averages of the coordinators have decayed."""
    await put(f, keyed(2, limits={"red": 400, "blue": 400}))
    await asyncio.sleep(1)
    await Load(f, KEYS["red"][0]).run(f.all(), 12, 2)
    check(not any([await n.metric("lw_fair_shares") for n in f.all()]), "one alone")
    first, second = f.all()[:3], f.all()[3:]
    loads = asyncio.gather(Load(f, KEYS["red"][0]).run(first, 12, 6),
                           Load(f, KEYS["blue"][0]).run(second, 6, 6))
    for n in f.all():
        await until(lambda n=n: n.metric("lw_fair_shares"), lambda v: v == 1, 5)
        check(await n.metric("lw_fair_shares_told") == 2, "demand is not told")
    await loads
    for n in f.all():
        await until(lambda n=n: n.metric("lw_fair_shares"), lambda v: v == 0, 20)
