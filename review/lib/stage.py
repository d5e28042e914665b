"""Common parts of the cases: a small deployment of real lwproxy processes on loopback.

It uses the project's stand-ins of the store and of the servers (tests/mesh), and starts each
process with the command of the deploy file: `target/lwproxy` without arguments, in the root of
the repository, with the settings file named by LAVENDERWARD_BOOT."""
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "mesh"))
os.environ["LWPROXY"] = os.path.join(ROOT, "target", "lwproxy")
import fleet as fl  # noqa: E402
import standin  # noqa: E402

LONGEST_S = 112  # a script may run for 120 s
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Node(fl.Node):
    def start(self, out=None):
        path = self.write_settings(self.settings())
        self.started = time.monotonic()
        log = open(os.path.join(self.fleet.dir, self.ip + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["LAVENDERWARD_BOOT"] = path
        self.proc = subprocess.Popen(["target/lwproxy"], cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()


RESERVED = []  # sockets that keep the network for this run


def free_net():
    """A number n so that the addresses 127.n.0.0/16 belong to no other run."""
    for n in random.Random().sample(range(20, 250), 100):
        mark = socket.socket()
        try:
            mark.bind((f"127.{n}.0.251", fl.STORE))
            mark.listen()
        except OSError:
            mark.close()
            continue
        with socket.socket() as a, socket.socket() as b:
            if (a.connect_ex((f"127.{n}.0.250", fl.STORE)) and
                    b.connect_ex((f"127.{n}.0.1", fl.METRICS))):
                RESERVED.append(mark)
                return n
        mark.close()
    raise OSError("no free loopback network")


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


def fleet(layout, rules, slots, server=None, **options):
    """A Fleet of Nodes; `server` replaces the class of the stand-in servers."""
    fl.Node = Node
    kept = standin.Server
    standin.Server = server or kept
    try:
        return fl.Fleet(free_net(), layout, slots=slots, rules=rules, seeds=3, **options)
    finally:
        standin.Server = kept


async def end(f):
    """Ends all processes of the fleet and removes its folder."""
    for n in f.all():
        if n.proc and n.proc.poll() is None:
            n.proc.send_signal(signal.SIGCONT)
    try:
        await f.stop()
    finally:
        for n in f.all():
            n.kill()
        shutil.rmtree(f.dir, ignore_errors=True)


async def guarded(main):
    """Ends the case in order, with all its processes, if it is told to end or takes too long."""
    import asyncio
    loop = asyncio.get_running_loop()
    # tasks of the stand-ins that are cancelled at the end say so on standard error
    loop.set_exception_handler(lambda _loop, _context: None)
    task = asyncio.ensure_future(main())
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, task.cancel)
    return await asyncio.wait_for(task, LONGEST_S)


def leave(main):
    """Runs the case; the exit status is 1: rule broken, 0: it held, 2: it could not run."""
    import asyncio
    import traceback
    try:
        status = asyncio.run(guarded(main))
    except (Exception, asyncio.CancelledError):  # pylint: disable=broad-except
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    os._exit(status)
