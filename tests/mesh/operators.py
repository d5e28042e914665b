"""Failure tests of what operators see and set: status, logs and settings."""
import asyncio
import os
import signal
import time
import subprocess

import fleet as fl
from fleet import until
from harness import check, test


async def admin(node, path):
    c = fl.standin.Caller(node.ip, fl.METRICS)
    await c.raw(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    try:
        a = await c.answer(5)
        return a.status, a.body.decode()
    finally:
        c.close()


@test({"front": 1, "back": 2})
async def test_status_and_routes(f):
    """Guards against a status page and metrics that mislead operators: the status page
    shows the node's view of the fleet with the age of the last store update; requests
    are counted by route and outcome, and lwburn reads these counts."""
    node = f.nodes["front"][0]
    for i in range(5):
        await node.caller().ask("GET", "/leaf/1", f"st{i}")
    f.nodes["back"][0].kill()
    await until(lambda: node.logged("node_lost"), bool, 5)
    status, text = await admin(node, "/status")
    check(status == 200 and "node: service=front" in text and "config=1 " in text, text)
    check("route leaf: h.example/leaf/ priority=1 repeatable" in text, text)
    async def lost():
        lines = (await admin(node, "/status"))[1].splitlines()
        return [x for x in lines if "server=i-back-0" in x and "news_ms=" in x][0]
    await until(lost, lambda line: "state=unreachable" in line, 8)
    status, text = await admin(node, "/metrics")
    want = 'lw_route_requests_total{route="leaf",kind="user",outcome="answered"} 5'
    check(status == 200 and want in text, text[:600])
    burn = await asyncio.create_subprocess_exec(
        os.path.join(os.path.dirname(fl.PROXY), "lwburn"), "--node", f"{node.ip}:{fl.METRICS}",
        "--samples", "1", stdout=asyncio.subprocess.PIPE)
    out = (await burn.communicate())[0].decode()
    check(any(line.split()[:3] == ["leaf", "user", "5"] for line in out.splitlines()), out)


@test({"front": 1, "back": 1})
async def test_log_reader_stands_still(f):
    """Guards against requests that wait for the reader of the log, and against a log that
    fills the reader's disk: the reader of standard output is paused while ten times the
    usual number of requests fail, each with a log line, and the thread that serves
    requests writes these lines itself, without a limit."""
    node = f.nodes["front"][0]
    node.kill()
    read, write = os.pipe()
    node.start(write)
    os.close(write)
    await f.until_ready([node])
    f.nodes["back"][0].kill()
    worst = 0
    begin = time.monotonic()
    for i in range(30):
        t = time.monotonic()
        answers = await asyncio.gather(*[
            node.caller().ask("POST", "/up/1", f"log{i}-{k}", body=b"x", deadline=60)
            for k in range(50)])
        check(all(a.status in (502, 503, 504) for a in answers), answers)
        worst = max(worst, time.monotonic() - t)
    took = time.monotonic() - begin
    check(worst < 0.6, worst)
    await asyncio.sleep(0.6)
    check(await node.metric("lw_log_dropped_total") > 500, "nothing left out")
    lines = os.read(read, 1 << 20).count(b"request_ended")
    check(lines < 40 * 3 + 40 * (took + 1), (lines, took))
    os.close(read)


@test({"front": 1})
async def test_sighup(f):
    """Guards against settings that are ignored or stop the node on SIGHUP: changed terms
    are applied; a file that is invalid changes nothing and stops nothing."""
    node = f.all()[0]
    node.write_settings(node.settings().replace("retry_ratio = 0.2", "retry_ratio = 0.1"))
    node.signal(signal.SIGHUP)
    await until(lambda: [x for x in node.logged("settings_reloaded") if "ratio=0.10" in x], bool, 2)
    node.write_settings("[terms]\nretry_ratio = nonsense\n")
    node.signal(signal.SIGHUP)
    await until(lambda: node.logged("settings_invalid"), bool, 2)
    check((await node.caller().ask("GET", "/get/1", "after")).status == 200, "stopped serving")
