#!/usr/bin/env python3
"""History checker: verifies the guarantees of the specification on a concurrent run.

Usage: histcheck.py HISTORY EXECLOG... [--budget N] [--client-retries N]
                    [--reads SVC/ROUTE,..] [--calls ROUTE=N,..]
Inputs: lwload's history (invoke/complete lines) and the execution logs of the
stub backend servers (exec SERVICE ROUTE KEY REQUEST_ID).
  --budget          retry budget of the whole call chain of a request
  --client-retries  retries of the client for each user request
  --reads           idempotent routes: calls of them may be executed for a
                    request that is itself answered not_run
  --calls           number of calls that a request of a route makes in all,
                    including itself
Checks:
  completed      every request got an answer
  at_most_once   a keyed (non-idempotent) user request, and each keyed call
                 that it made, was executed at most once over all servers
  not_run_honest a request answered not_run was executed nowhere, and neither
                 were its calls, except idempotent ones
  done_complete  a request answered done was executed at its entry service
  retry_bound    executions per user request stay within its calls plus the
                 budget of the whole call chain, for each attempt of the client
Prints at most 50 violations and a summary. Exits with 0 if all checks hold, 1 otherwise.
"""
import argparse
import collections
import sys


def parse_args(argv):
    p = argparse.ArgumentParser()
    p.add_argument("history")
    p.add_argument("execlogs", nargs="+")
    p.add_argument("--budget", type=int, default=2)
    p.add_argument("--client-retries", type=int, default=0)
    p.add_argument("--reads", default="")
    p.add_argument("--calls", default="")
    a = p.parse_args(argv)
    a.reads = {tuple(r.split("/")) for r in a.reads.split(",") if r}
    a.calls = {c.split("=")[0]: int(c.split("=")[1]) for c in a.calls.split(",") if c}
    return a


def read_history(path):
    invoked, completed = {}, {}
    with open(path, encoding="ascii") as f:
        for line in f:
            w = line.split()
            if w[0] == "invoke":
                invoked[w[1]] = (w[2], w[3])
            elif w[0] == "complete":
                completed[w[1]] = w[2]
    return invoked, completed


def read_executions(paths):
    """Returns a map of request id to a list of (service, route, key)."""
    runs = collections.defaultdict(list)
    for path in paths:
        with open(path, encoding="ascii") as f:
            for line in f:
                w = line.split()
                # a killed server may leave an incomplete last line: that request did not commit
                if len(w) == 5 and w[0] == "exec" and line.endswith("\n"):
                    runs[w[4]].append((w[1], w[2], w[3]))
    return runs


def check_request(uid, route, key, outcome, execs, a):
    service, name = route.split("/")
    if outcome is None:
        yield f"completed: {uid} was invoked and never answered"
        return
    if key != "-":
        counts = collections.Counter((s, r) for s, r, k in execs if k != "-")
        for (s, r), n in counts.items():
            if n > 1 and (s, r) not in a.reads:
                yield f"at_most_once: {uid} ran {n} times at {s}/{r}"
    acted = [e for e in execs if e[:2] not in a.reads or e[:2] == (service, name)]
    if outcome == "not_run" and acted:
        yield f"not_run_honest: {uid} answered not_run but ran {acted}"
    if outcome == "done" and not any(s == service for s, _, _ in execs):
        yield f"done_complete: {uid} answered done but never ran at {service}"
    bound = (a.calls.get(name, 1) + a.budget) * (1 + a.client_retries)
    if len(execs) > bound:
        yield f"retry_bound: {uid} ran {len(execs)} times, bound {bound}"


def main(argv):
    a = parse_args(argv)
    invoked, completed = read_history(a.history)
    runs = read_executions(a.execlogs)
    bad = []
    for uid, (route, key) in invoked.items():
        bad.extend(check_request(uid, route, key, completed.get(uid), runs.get(uid, []), a))
    for b in bad[:50]:
        print(b)
    print(f"checked {len(invoked)} requests, {sum(len(v) for v in runs.values())} executions, "
          f"{len(bad)} violations")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
