"""Organisations in the soak. Checks that only requests with a known key are executed, and
that no more requests of an organisation with a limit are executed than it allows."""
import random

# rate limit of the organisation "capped", in requests per second
LIMIT = 25
WINDOW_S = 5.0
ALLOWED = (LIMIT * WINDOW_S + LIMIT) * 1.25 + 20
KEYS = {"free": ["soak-free-1", "soak-free-2"], "capped": ["soak-capped"]}


def tenants():
    return [{"name": name, "api_keys": keys, "priority": 1,
             "rate_per_s": LIMIT if name == "capped" else 0,
             "burst": LIMIT if name == "capped" else 0} for name, keys in KEYS.items()]


def open_routes(rules, names):
    return [{**r, "public": r["name"] in names} for r in rules]


class Tenancy:
    """Draws the organisation of each request, and checks what callers and servers receive."""

    def __init__(self, seed, fail):
        self.rng = random.Random(f"tenancy {seed}")
        self.fail = fail
        self.who = {}  # request id -> organisation, None for an unknown key

    def headers(self, rid):
        name = self.rng.choice(["free", "capped", "capped", "capped", None])
        self.who[rid] = name
        key = self.rng.choice(KEYS[name]) if name else "soak-nobody"
        return [f"Authorization: Bearer {key}", "X-Tenant-Id: forged"]

    def check_answer(self, rid, status):
        if (status == 401) != (self.who[rid] is None) and status in (200, 401, 429):
            self.fail(f"{rid}: {status} for organisation {self.who[rid]}")
        if status == 429 and self.who[rid] != "capped":
            self.fail(f"{rid}: 429 without a limit")

    def check_servers(self, servers):
        times = []
        for server in servers:
            for at, rid in server.ran:
                if rid not in self.who:
                    continue
                head = server.heads.get(rid)
                if self.who[rid] is None:
                    self.fail(f"{rid}: ran with a key that nobody holds")
                elif head and (head.get("x-tenant-id") != self.who[rid] or
                               head.get("authorization")):
                    self.fail(f"{rid}: a server saw {head.fields}")
                if self.who[rid] == "capped":
                    times.append(at)
        times.sort()
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - WINDOW_S:
                first += 1
            if last - first + 1 > ALLOWED:
                self.fail(f"{last - first + 1} of the limited organisation ran in "
                          f"{WINDOW_S} s, {ALLOWED} are allowed")
                break
