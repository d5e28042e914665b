"""The loopback nets 127.N.0.0/16 of this machine, each used by one run of tests at a time."""
import fcntl
import os
import tempfile

FIRST, COUNT = 10, 200


class Net:
    """A loopback net that no other run has; the lock ends with the process at the latest."""

    def __init__(self, number, lock):
        self.number, self.lock = number, lock

    def release(self):
        self.lock.close()


def claim(first):
    """Claims a free net, `first` modulo COUNT if that is free. Two runs in one net connect to
    each other's nodes, which looks like a fault of the nodes."""
    for i in range(COUNT):
        number = FIRST + (first + i) % COUNT
        path = os.path.join(tempfile.gettempdir(), f"lwmesh-net-{number}.lock")
        lock = open(path, "a", encoding="utf-8")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return Net(number, lock)
        except BlockingIOError:
            lock.close()
    raise OSError("all nets are in use")
