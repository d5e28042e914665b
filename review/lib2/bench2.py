"""What the scripts of this review share: a fleet of the deploy file's program on loopback, a
record, and the exit code. The store, the servers and the callers are the project's stand-ins."""
import asyncio
import os
import shutil
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests", "mesh"))
import fleet  # noqa: E402
import nets  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def program():
    """The command of the deploy file; the environment names its settings."""
    return os.path.join(ROOT, "target", "lwproxy")


class Node(fleet.Node):
    """A machine's node, started as the deploy file starts it."""

    def start(self, out=None):
        path = self.write_settings(self.settings())
        self.started = time.monotonic()
        out = out or open(os.path.join(self.fleet.dir, self.ip + ".log"), "ab")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.proc = subprocess.Popen([program()], stdout=out, stderr=out, cwd=ROOT,
                                     env={**kept, "LAVENDERWARD_BOOT": path})


fleet.Node = Node


class Record:
    """record.txt in the folder of the case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.say(f"trouble: {'yes' if TROUBLE else 'no'}")

    def now(self):
        return time.monotonic() - self.begin

    def say(self, text):
        line = f"{self.now():8.3f} s  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


async def all_ready(f, seconds=10):
    end = time.monotonic() + seconds
    for n in f.all():
        while await n.ready() != 200:
            if time.monotonic() > end:
                raise OSError(f"{n.ip} is not ready")
            await asyncio.sleep(0.05)


def play(folder, case, make):
    """Runs the coroutine @case(record, fleet), which returns the broken rules; ends the process."""
    record = Record(folder)
    net = nets.claim(os.getpid())
    code = COULD_NOT_RUN
    if not os.access(program(), os.X_OK):
        record.say(f"{os.path.relpath(program(), ROOT)} is not built")
        sys.exit(code)

    async def run():
        f = make(net.number)
        try:
            await f.start()
            await all_ready(f)
            return await asyncio.wait_for(case(record, f), 100)
        finally:
            for n in f.all():
                n.kill()
            shutil.rmtree(f.dir, ignore_errors=True)

    try:
        broken = asyncio.run(run())
        for line in broken:
            record.say(f"BROKEN {line}")
        code = BROKEN if broken else HELD
    except (OSError, asyncio.TimeoutError) as e:
        record.say(f"the case could not run: {e!r}")
    record.say(f"exit code {code}")
    os._exit(code)
