#!/usr/bin/env python3
"""History checker: verifies the brief's promises on a concurrent run.

Inputs: the lwload history (invoke/complete lines) and the backend
stand-ins' execution log (exec SERVICE ROUTE KEY REQUEST_ID). Checks:
  at_most_once   a keyed (non-idempotent) user request ran at most once
                 at each service it reached
  not_run_honest a request answered not_run ran nowhere
  done_complete  a request answered done ran at its entry service
  retry_bound    executions per user request stay within the bound the
                 whole-chain budget and the client's retries allow
Exit 0 when all hold; prints each violation otherwise.
"""
import collections
import sys


def main(argv):
    hist, execlog = argv[1], argv[2]
    budget = int(argv[argv.index("--budget") + 1]) if "--budget" in argv else 2
    client = int(argv[argv.index("--client-retries") + 1]) if "--client-retries" in argv else 0
    invoked, completed = {}, {}
    for line in open(hist):
        f = line.split()
        if f[0] == "invoke":
            invoked[f[1]] = (f[2], f[3])
        elif f[0] == "complete":
            completed[f[1]] = f[2]
    runs = collections.defaultdict(list)
    for line in open(execlog):
        f = line.split()
        if len(f) == 5 and f[0] == "exec":
            runs[f[4]].append((f[1], f[2], f[3]))
    bad = []
    for uid, (route, key) in invoked.items():
        outcome = completed.get(uid)
        if outcome is None:
            bad.append(f"{uid}: invoked, never completed")
            continue
        execs = runs.get(uid, [])
        if key != "-":
            per = collections.Counter((svc, r) for svc, r, _ in execs)
            for (svc, r), n in per.items():
                if n > 1:
                    bad.append(f"at_most_once: {uid} ran {n} times at {svc}/{r}")
        if outcome == "not_run" and execs:
            bad.append(f"not_run_honest: {uid} answered not_run but ran {execs}")
        entry = route.split("/")[0]
        if outcome == "done" and not any(svc == entry for svc, _, _ in execs):
            bad.append(f"done_complete: {uid} answered done but never ran at {entry}")
        limit = (1 + budget) * (1 + client) * 3
        if len(execs) > limit:
            bad.append(f"retry_bound: {uid} ran {len(execs)} times, bound {limit}")
    for b in bad[:50]:
        print(b)
    print(f"checked {len(invoked)} requests, {sum(len(v) for v in runs.values())} executions, "
          f"{len(bad)} violations")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
