"""Failure tests of values that are longer than usual: nothing but the platform bounds them."""
from fleet import config, route, until
from harness import check, runs, test
from organisations import keyed, put

FIRM = "Przedsiebiorstwo Handlowo-Uslugowe Kowalski i Synowie Spolka Komandytowa w Poznaniu " * 4
STEM = "service-with-a-name-of-more-than-sixty-four-bytes-as-a-generator-composes-it"
LEFT, RIGHT = STEM + "-left", STEM + "-right"
RULES = [route(STEM + "-route-left", "/l/", LEFT), route(STEM + "-route-right", "/r/", RIGHT),
         route("long", "/" + "segment/" * 500, LEFT)]
HEALTH = "/" + "health" * 40


def bearer(key):
    return [f"Authorization: Bearer {key}"]


@test({"front": 2, "back": 1}, tenants=[{"name": "red", "api_keys": ["red-1", "red-2"]}])
async def test_long_name_of_an_organisation(f):
    """Guards against a configuration that is never in force, as one organisation has a long name or
    key: keys that were taken away still admit requests, and new ones do not."""
    node, long_key = f.nodes["front"][0], "k" * 3000
    check((await node.caller().ask("GET", "/get/1", "a1", headers=bearer("red-1"))).status == 200,
          "not served before the change")
    await put(f, keyed(2, {"red": ["red-2"], FIRM: [long_key], FIRM + "!": ["other"]}))
    for key, status in (("red-1", 401), ("red-2", 200), (long_key, 200), ("other", 200),
                        (long_key[1:], 401)):
        a = await node.caller().ask("GET", "/get/1", f"b-{key[:9]}-{len(key)}", headers=bearer(key))
        check(a.status == status, (key[:9], len(key), a))
    owner = {r: h.get("x-tenant-id") for n in f.all() for r, h in n.server.heads.items()}
    check(owner[f"b-{long_key[:9]}-3000"] == FIRM.strip() and owner["b-other-5"] == FIRM + "!", owner)


@test({LEFT: 1, RIGHT: 1}, rules=RULES, start=False)
async def test_long_names_of_services_and_servers(f):
    """Guards against two services, zones or servers that become one, as their names begin alike,
    and against a server that is left out or checked at the wrong path for the length of a name."""
    for n in f.all():
        n.server.zone = n.server.service + "-zone"
        n.server.id = "i-" + "x" * 150 + n.server.service[-5:]
    f.document = lambda version, rules: {
        **config(version, rules), "clusters": [{"name": LEFT, "health_path": HEALTH},
                                               {"name": RIGHT, "health_path": HEALTH}]}
    await f.start()
    for i, n in enumerate(f.all()):
        for path, service in (("/l/", LEFT), ("/r/", RIGHT), ("/" + "segment/" * 500, LEFT)):
            rid = f"s{i}{path[:2]}{len(path)}"
            a = await n.caller().ask("GET", path + "x", rid)
            check(a.status == 200 and any(r == rid for _, r in f.nodes[service][0].server.ran),
                  (path[:9], a))
    check(not any(n.logged("entry_rejected") for n in f.all()), "an entry was rejected")


@test({"front": 2})
async def test_many_and_long_header_fields(f):
    """Guards against a request or an answer that is refused or dropped for the number of its header
    fields, and against a head within the operator's limit that is never read to its end."""
    f.store.put("op/config", config(2, max_header_bytes=200000))
    for n in f.all():
        await until(lambda n=n: n.metric("lw_config_version"), lambda v: v == 2)
        n.server.says = [f"X-Answer-{i}: {i}" for i in range(400)]
    for i, n in enumerate(f.all()):
        fields = [f"X-Request-{k}: {k}" for k in range(500)] + ["X-Long: " + "v" * 120000]
        a = await n.caller().ask("GET", "/get/1", f"h{i}", headers=fields, deadline=4000)
        check(a.status == 200 and a.head.get("x-answer-399") == "399", a)
        head = next(m.server.heads[f"h{i}"] for m in f.all() if f"h{i}" in m.server.heads)
        check(head.get("x-request-499") == "499" and len(head.get("x-long")) == 120000, "cut")
    check(runs(f, "h0") == runs(f, "h1") == 1, "ran more than once")
