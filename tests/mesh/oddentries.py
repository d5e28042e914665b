"""Failure tests of entries that another writer leaves among those of the servers."""
import asyncio
import json
import time

from fleet import config, until
from harness import check, test
from leaving import Callers, work
from ordering import DRAIN_S

DEEP = 100000  # levels
LONG = 400  # digits
PORTS = ["0", "-1", "65536", "73638", "1000000000", "18446744073709551696", "", "http", " 80"]
NUMBERS = ["1e400", "1" * LONG, "9223372036854775808", "1e12", "4e9", "-1", "null"]


def entry_text(server, **fields):
    """The server's entry with some fields, which may stand nested, replaced by JSON text."""
    doc = server.entry()
    text = json.dumps(doc)
    for name, value in fields.items():
        old = doc.get(name, doc["info"].get(name, doc["status"].get(name)))
        text = text.replace(f'"{name}": {json.dumps(old)}', f'"{name}": {value}')
    return text.encode()


def odd_entries(server):
    """Entries that name no server, or not the one that they seem to."""
    out = [b"[" * DEEP, b'{"info":' * DEEP, b"[" * DEEP + b"]" * DEEP, b"\xff\xfe\x00", b""]
    out += [entry_text(server, address=f'"{server.ip}:{port}"') for port in PORTS]
    out += [entry_text(server, address=a) for a in ('"[::1]:80"', '"' + "9" * 3000 + ':80"', "7")]
    for name in ("slots", "sequence", "cold_remaining_s", "born"):
        out += [entry_text(server, **{name: n}) for n in NUMBERS]
    return out + [entry_text(server, zone='"' + "z" * 100000 + '"')]


async def all_follow(f, server):
    """Every node hears of a new configuration and of a drain."""
    f.store.put("op/config", config(9, f.rules))
    server.draining = True
    f.register(server)
    since = time.monotonic()
    for n in f.all():
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == 9, 2)
    await asyncio.sleep(3)
    return since


async def play(f, key_of):
    work(f, 0.02)
    server = f.nodes["back"][0].server
    server.born = int(time.time() * 1000) - 60000
    f.register(server)
    async with Callers(f, f.nodes["front"]) as callers:
        for i, value in enumerate(odd_entries(server)):
            f.store.put(key_of(server, i), value)
            await asyncio.sleep(0.25)
            f.store.remove(f"servers/odd-{i}")
            f.register(server)
        await asyncio.sleep(1)
        since = await all_follow(f, server)
    check(all(n.proc.poll() is None for n in f.all()), "a process ended")
    failed = [s for _, s in callers.answers if s != 200]
    check(len(failed) <= 0.02 * len(callers.answers), (len(failed), len(callers.answers)))
    late = [t for t, rid in server.ran if callers.sent[rid][0] > since + DRAIN_S]
    check(not late, len(late))


@test({"front": 2, "back": 4})
async def test_odd_entries_beside_those_of_servers(f):
    """Guards against processes that end, or no longer follow the list, because of an entry that
    is deeply nested or has a number or a port out of range."""
    await play(f, lambda server, i: f"servers/odd-{i}")


@test({"front": 2, "back": 4})
async def test_odd_entries_in_place_of_a_servers_own(f):
    """The same where the entry overwrites that of a server."""
    await play(f, lambda server, i: "servers/" + server.id)
