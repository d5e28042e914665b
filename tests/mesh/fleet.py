"""A fleet on loopback: lwproxy processes, each beside a stand-in server."""
import asyncio
import os
import signal
import subprocess
import tempfile
import time

import standin
from harness import check
from relay import Relay

CALLERS, READY, BACKEND, MESH, METRICS, STORE = 8100, 8101, 8102, 8103, 8104, 8109
EXPIRY_S = 4.5  # from the last heartbeat until an entry expires
PROXY = os.environ.get("LWPROXY", "build/lwproxy")


def route(name, prefix, service, kind="safe", priority=1, timeout=3, target=1, attempts=2):
    action = {"timeout_s": timeout, "max_attempts": attempts}
    if isinstance(service, dict):
        action["traffic_split"] = [{"service": s, "weight": w} for s, w in service.items()]
    else:
        action["service"] = service
    return {"name": name, "kind": kind, "priority": priority, "target_latency_s": target,
            "match": {"path_prefix": prefix}, "action": action}


ROUTES = [route("get", "/get/", "front"), route("put", "/put/", "front", "unsafe"),
          route("leaf", "/leaf/", "back"), route("up", "/up/", "back", "upload", timeout=30)]


def config(version, rules=None, **limits):
    base = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 1,
            "idle_timeout_s": 3}
    base.update(limits)
    return {"version": f"r{version}", "limits": base,
            "listeners": [{"host": "h.example", "rules": rules or ROUTES}]}


class Node:
    def __init__(self, fleet, ip, server):
        self.fleet, self.ip, self.server = fleet, ip, server
        self.proc = None
        self.relay = self.store_relay = None

    def store_address(self):
        return f"{self.store_relay.addr[0]}:{STORE}" if self.relay else self.fleet.store.addr

    def settings(self):
        return f"""[host]
ip = "{self.ip}"
zone = "{self.server.zone}"
service = "{self.server.service}"
backend = "{self.server.ip}:{BACKEND}"
memory_mb = 260
max_fds = 4100
[listen]
callers = "{self.ip}:{CALLERS}"
ready = "{self.ip}:{READY}"
metrics = "{self.ip}:{METRICS}"
mesh_port = {MESH}
{self.seeds_line()}[store]
address = "{self.store_address()}"
[terms]
heartbeat_s = 1.5
drain_s = 2
grace_s = 6
retry_ratio = 0.2
retry_extra = 47
retry_window_s = 10
"""

    def seeds_line(self):
        """Returns the line with the seeds; nothing without seeds, as for older versions."""
        seeds = ", ".join(f'"{n.server.ip}:1"' for n in self.fleet.all()[:self.fleet.seeds])
        return f"seeds = [{seeds}]\n" if seeds else ""

    def write_settings(self, text):
        path = os.path.join(self.fleet.dir, self.ip + ".toml")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        return path

    def start(self, out=None):
        path = self.write_settings(self.settings())
        self.started = time.monotonic()
        if out is None:
            out = open(os.path.join(self.fleet.dir, self.ip + ".log"), "ab")
        self.proc = subprocess.Popen([PROXY, "--config", path], stdout=out, stderr=out)

    def signal(self, sig):
        self.proc.send_signal(sig)

    def handles(self, sig):
        """Returns whether the process blocks or catches the signal, that is, main() has begun."""
        bit = 1 << (sig - 1)
        try:
            with open(f"/proc/{self.proc.pid}/status", encoding="utf-8") as f:
                masks = [int(line.split()[1], 16) for line in f
                         if line.startswith(("SigBlk", "SigCgt"))]
        except OSError:
            return True
        return any(mask & bit for mask in masks)

    def kill(self):
        if self.proc and self.proc.poll() is None:
            self.proc.kill()
            self.proc.wait()

    def caller(self):
        c = standin.Caller(self.ip, CALLERS)
        self.fleet.callers.append(c)
        return c

    async def ready(self):
        c = standin.Caller(self.ip, READY)
        try:
            await c.raw(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await c.answer(1)).status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            c.close()

    async def metric(self, name):
        c = standin.Caller(self.ip, METRICS)
        await c.raw(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        text = (await c.answer(2)).body.decode()
        c.close()
        values = [float(line.split()[1]) for line in text.splitlines()
                  if line.startswith((name + " ", name + "{"))]
        return sum(values) if values else None

    def rss_kb(self):
        with open(f"/proc/{self.proc.pid}/status", encoding="utf-8") as f:
            for line in f:
                if line.startswith("VmRSS"):
                    return int(line.split()[1])
        return 0

    def logged(self, event):
        path = os.path.join(self.fleet.dir, self.ip + ".log")
        with open(path, encoding="utf-8", errors="replace") as f:
            return [line for line in f if f" {event} " in line]


class Fleet:
    """`layout` is {service: count}; the nodes are self.nodes[service][i]."""

    def __init__(self, net, layout, slots=16, rules=None, relays=False, tenants=None, seeds=0):
        self.dir = tempfile.mkdtemp(prefix="lwmesh-")
        self.store = standin.Store()
        self.net = net
        self.nodes = {}
        self.callers = []
        self.rules = rules
        self.tenants = tenants  # in each configuration; None: the key is left out
        self.beats = None
        self.silent = set()  # ids of servers whose heartbeats do not reach the store
        self.seeds = seeds  # the first nodes, which the others ask when they start
        number = 0
        for service, count in layout.items():
            self.nodes[service] = []
            for i in range(count):
                number += 1
                ip = f"127.{net}.0.{number}"
                server = standin.Server(f"i-{service}-{i}", service, ip, BACKEND,
                                        f"zone-{'abc'[i % 3]}", slots)
                node = Node(self, ip, server)
                self.nodes[service].append(node)
                if relays:
                    self.put_relays(node, number)

    def put_relays(self, node, number):
        """Puts the server and the node's mesh address on the relay's IP address, so that
        other nodes reach the node through the relay."""
        node.server.ip = f"127.{self.net}.1.{number}"
        node.relay = Relay(node.server.ip, MESH, node.ip, MESH)
        node.store_relay = Relay(f"127.{self.net}.2.{number}", STORE,
                                 f"127.{self.net}.0.250", STORE)

    def document(self, version, rules):
        doc = config(version, rules)
        return doc if self.tenants is None else {**doc, "tenants": self.tenants}

    def all(self):
        return [n for nodes in self.nodes.values() for n in nodes]

    async def start(self, wait=True):
        await self.store.start(f"127.{self.net}.0.250", STORE)
        self.store.put("op/config", self.document(1, self.rules))
        for n in self.all():
            await n.server.start()
            if n.relay:
                await n.relay.start()
                await n.store_relay.start()
            self.register(n.server)
            n.start()
        self.beats = asyncio.ensure_future(self.heartbeats())
        if wait:
            await self.until_ready()

    def register(self, server):
        self.store.put("servers/" + server.id, server.entry())

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.5)
            for n in self.all():
                if ("servers/" + n.server.id in self.store.items
                        and n.server.id not in self.silent):
                    self.register(n.server)

    async def expire(self, nodes):
        """Lets the entries of the servers beside these nodes expire, as the store gets no more
        heartbeats of them: it removes them three heartbeats after the last one."""
        self.silent |= {n.server.id for n in nodes}
        await asyncio.sleep(EXPIRY_S)
        for n in nodes:
            self.store.remove("servers/" + n.server.id)

    def write_again(self, nodes):
        """The servers beside these nodes reach the store, and write their entries."""
        self.silent -= {n.server.id for n in nodes}
        for n in nodes:
            self.register(n.server)

    def refuse(self, nodes):
        """The store turns the calls of these nodes away, and no others. It tells them apart by
        the addresses of their relays; without relays all have the same address."""
        check(all(n.store_relay for n in nodes), "without relays the store refuses nobody")
        self.store.refused = {n.store_relay.addr[0] for n in nodes}
        self.store.turned_away_from = set()

    def check_refused(self):
        check(self.store.refused & self.store.turned_away_from, "the store turned nobody away")

    async def until_ready(self, nodes=None, timeout=10):
        for n in nodes or self.all():
            await until(lambda n=n: n.ready(), lambda s: s == 200, timeout)

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        for c in self.callers:
            c.close()
        for n in self.all():
            if n.proc and n.proc.poll() is None:
                n.signal(signal.SIGCONT)
            n.kill()
            n.server.stop()
            if n.relay:
                n.relay.server.close()
                n.store_relay.server.close()
        self.store.server.close()


async def until(get, good, timeout=5, step=0.05):
    """Polls `get` (plain or coroutine function) until `good` accepts its value."""
    loop = asyncio.get_event_loop()
    end = loop.time() + timeout
    while True:
        value = get()
        if asyncio.iscoroutine(value):
            value = await value
        if good(value):
            return value
        if loop.time() > end:
            raise AssertionError(f"not within {timeout} s; last value {value!r}")
        await asyncio.sleep(step)
