"""A new version takes a key away and adds a tenant with a long name. See claim.txt."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stage  # noqa: E402
from stage import TROUBLE, fl  # noqa: E402

CONFIG_APPLY_S = 2.5  # config_apply_s
CONTACT_S = 3.0       # contact_s
LONG = "Przedsiebiorstwo Handlowo-Uslugowe Kowalski i Synowie Spolka Komandytowa w Poznaniu"
if os.environ.get("TROUBLE") == "short":  # the same change with a shorter name
    LONG = LONG[:40]
RULES = [fl.route("get", "/get/", "back", "safe", 2, 5, 1.2, 2),
         fl.route("put", "/put/", "back", "unsafe", 0, 5, 1.5, 2)]


def tenant(name, *keys):
    return {"name": name, "api_keys": list(keys), "priority": 1, "rate_per_s": 386, "burst": 386}


def document(version, *tenants):
    return {**fl.config(version, RULES), "tenants": list(tenants)}


async def ask(f, node, number, key, record):
    rid = f"{number:08x}"
    c = node.caller()
    try:
        a = await c.ask("POST", f"/put/{rid}", rid, body=b"order", deadline=5000,
                        headers=[f"Authorization: Bearer {key}"], timeout=8)
    finally:
        c.close()
    ran = sum(r == rid for n in f.all() for _, r in n.server.ran)
    record(f"{node.ip} order {rid} with {key}: {a.status}, ran {ran} times")
    return a.status, ran


async def main():
    record = stage.Record(HERE)
    record("with the disruption" if TROUBLE else "TROUBLE=0: without the disruption")
    f = stage.fleet({"front": 3, "back": 3}, RULES, 22,
                    tenants=[tenant("red", "red-old", "red-new"), tenant("blue", "blue-1")])
    f.document = lambda version, rules: document(
        version, tenant("red", "red-old", "red-new"), tenant("blue", "blue-1"))
    number, revoked, refused = 0, [], []
    try:
        await f.start()
        await asyncio.sleep(CONTACT_S)
        for n in f.all():
            for key in ("red-old", "red-new", "blue-1"):
                number += 1
                if await ask(f, n, number, key, record) != (200, 1):
                    print("not served before the change")
                    return 2
        if TROUBLE:
            f.store.put("op/config", document(2, tenant("red", "red-new"),
                                              tenant("blue", "blue-1"), tenant(LONG, "long-1")))
            record(f"the store acknowledges r2: red-old is taken away, tenant {LONG!r} is new")
            await asyncio.sleep(CONFIG_APPLY_S + 1)
            f.store.put("op/config", document(3, tenant("red", "red-new"),
                                              tenant("blue", "blue-1", "blue-2"),
                                              tenant(LONG, "long-1")))
            record("the store acknowledges r3: the same, and blue-2 is new")
        acknowledged = time.monotonic()
        await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
        for _ in range(3):
            for n in f.all():
                number += 1
                status, ran = await ask(f, n, number, "red-old", record)
                if TROUBLE and (ran or status != 401):
                    revoked.append((n.ip, status, ran))
                for key in ("long-1", "blue-2") if TROUBLE else ("red-new", "blue-1"):
                    number += 1
                    status, ran = await ask(f, n, number, key, record)
                    if status != 200:
                        refused.append((n.ip, key, status))
            await asyncio.sleep(3)
        late = time.monotonic() - acknowledged
    finally:
        await stage.end(f)
    result = (f"CONFIG, {CONFIG_APPLY_S + CONTACT_S:.1f} to {late:.0f} s after the acknowledgement: "
              f"{len(revoked)} of 18 requests with the key that was taken away are not refused "
              f"{revoked[:2]}; {len(refused)} of 36 with keys that are there are refused "
              f"{refused[:2]}")
    record(result)
    print(result)
    return 1 if revoked or refused else 0


stage.leave(main)
