"""Judges a history of requests by the clauses of LOST: accepted requests that end without their
answer, or with one of our own while the server is at work, around planned work."""
from dataclasses import dataclass, replace
from typing import Optional

from harness import check, test

GRACE_S, SLACK_S, APPLY_S, CONTACT_S = 6, 0.2, 2, 3
EXCUSED_SENT_S = 3  # a request sent later than this after a SIGTERM has to be answered
LAST_SIXTH_S, AFTER_S = GRACE_S * 5 / 6, 1  # planned work counts until AFTER_S after its end
OFTEN, USED = 3, 0.7  # a configuration: times as many cuts as otherwise; share of the time used
EXIT_SHOWS_S = 0.5  # a request that ends this soon after another machine's exit was cut by it


@dataclass
class Request:
    """One attempt of a caller; times are in seconds, None: never."""
    rid: str
    node: str  # the machine that took it
    sent: float
    whole: Optional[float]  # its last byte was sent
    ended: float  # the answer was complete, or the connection closed
    gives_up: float  # its deadline or the route's timeout, whichever is first
    passed_on: Optional[float] = None  # a server got it
    at: Optional[str] = None  # the machine beside that server
    began: Optional[float] = None  # the server worked on it
    done: Optional[float] = None
    status: Optional[int] = None
    complete: bool = False
    own: bool = False  # the answer has no stamp of a server
    broke_off: bool = False  # the server ended its connection
    kept: bool = True  # on a connection that may be used again

    @property
    def excused(self):
        return self.broke_off or self.ended >= self.gives_up


@dataclass
class Event:
    kind: str  # term, hup, config, exit, disruption
    node: Optional[str]  # None: all
    at: float
    until: Optional[float] = None  # end of the disruption, acknowledgement of the configuration


def at_work(r, when):
    return r.began is not None and r.began <= when < (r.done or when + 1)


def is_cut(r):  # no complete answer, though it was read
    return r.whole is not None and not (r.status and r.complete) and (
        r.passed_on is not None or r.ended - r.whole > SLACK_S)


def ran_out_of_grace(r, term):
    return r.sent <= term.at + EXCUSED_SENT_S and r.ended >= term.at + LAST_SIXTH_S and \
        at_work(r, max(r.began or r.ended, term.at + LAST_SIXTH_S))


def breaks_term(r, e, events):
    if e.kind != "term" or not e.at <= r.ended <= e.at + GRACE_S + AFTER_S or r.excused:
        return None
    other = any(x.kind == "exit" and x.node == r.at != r.node and
                0 <= r.ended - x.at <= EXIT_SHOWS_S for x in events)
    if e.node == r.node and not other and ran_out_of_grace(r, e):
        return None
    if r.status and r.own and at_work(r, r.ended) and e.node in (r.node, r.at):
        return "replaced at another's exit" if e.node != r.node or other else "replaced"
    return "SIGTERM" if is_cut(r) and e.node == r.node else None


def breaks_config(r, e, requests):
    """Whether a configuration cut the request, and its machine cuts more often beside it."""
    def beside(q):
        return e.at <= q.ended <= (e.until or e.at) + APPLY_S + AFTER_S

    def share(then):
        qs = [q for q in requests if q.node == r.node and beside(q) == then]
        return sum(map(is_cut, qs)) / max(len(qs), 1)
    if e.kind != "config" or not beside(r) or not is_cut(r) or r.excused:
        return False
    used_up = r.ended - r.sent >= USED * (r.gives_up - r.sent)
    return not used_up and share(True) > OFTEN * share(False)


def calm(r, since, events, kinds):
    """Whether no such event was at the machine from CONTACT_S before `since` on."""
    return not any(e.kind in kinds and e.node in (r.node, r.at, None) and e.at <= r.ended and
                   (e.until or e.at) >= since - CONTACT_S for e in events)


def judge(requests, events):
    """Returns (clause, request id) of each request that breaks a clause, in order."""
    closed = [r.rid for r in requests if r.kept and r.passed_on and not (r.status or r.broke_off)
              and calm(r, r.ended, events, ("term", "disruption"))]
    found = [("kept connection", rid) for rid in closed] if len(closed) > 3 else []
    for r in requests:
        if not calm(r, r.sent, events, ("disruption",)):
            continue
        clauses = {breaks_term(r, e, events) for e in events}
        clauses |= {"SIGHUP" for e in events if e.kind == "hup" and e.node == r.node and
                    r.sent - APPLY_S <= e.at < r.ended and is_cut(r) and not r.excused}
        clauses |= {"configuration" for e in events if breaks_config(r, e, requests)}
        found += sorted((c, r.rid) for c in clauses - {None})
    return found


CUT = Request("r", "a", 3.5, 3.5, 5.6, 20, passed_on=3.5, at="b", began=3.6, kept=False)
OWN = replace(CUT, status=502, complete=True, own=True)
SERVED = replace(CUT, rid="s", done=5.5, status=200, complete=True)
TERM, TERM_B = Event("term", "a", 0), Event("term", "b", 0)
HUP, CONFIG = Event("hup", "a", 2), Event("config", None, 4, 5)
KEPT = [replace(CUT, kept=True)] * 4
EARLY = replace(CUT, sent=2.9)
HISTORIES = [  # requests, events, the clause that they break
    (CUT, TERM, "SIGTERM"), (replace(CUT, passed_on=None, began=None), TERM, "SIGTERM"),
    (replace(CUT, status=200), TERM, "SIGTERM"), (OWN, TERM, "replaced"),
    (OWN, TERM_B, "replaced at another's exit"), (CUT, HUP, "SIGHUP"),
    ([CUT] + [SERVED] * 5 + [replace(SERVED, ended=1)] * 9, CONFIG, "configuration"),
    (KEPT, [], "kept connection"),
    (replace(OWN, sent=2), [TERM, Event("exit", "b", 5.5)], "replaced at another's exit"),
    (replace(EARLY, ended=4.9), TERM, "SIGTERM"), (replace(EARLY, done=4.9), TERM, "SIGTERM"),
    ([replace(CUT, kept=True, broke_off=True)] * 4, [], None),
    (replace(OWN, sent=3.1), TERM, "replaced"), (SERVED, [TERM, HUP, CONFIG], None),
    (CUT, [], None), (KEPT[:3], [], None), (replace(CUT, gives_up=5.6), TERM, None),
    (replace(OWN, gives_up=5.5), TERM_B, None),
    (replace(CUT, broke_off=True), [TERM, HUP, CONFIG], None), (EARLY, TERM, None),
    (replace(EARLY, status=502, complete=True, own=True), TERM, None),
    (replace(OWN, began=None, status=503), TERM, None), (replace(OWN, done=5.5), TERM_B, None),
    (replace(CUT, passed_on=None, began=None, whole=5.5), TERM, None),
    (replace(CUT, whole=None), TERM, None), (replace(CUT, ended=7.1), TERM, None),
    (CUT, Event("term", "c", 0), None), (replace(CUT, sent=4.1), HUP, None),
    (replace(CUT, gives_up=6.4), CONFIG, None),
    (CUT, [TERM, Event("disruption", None, 0, 1)], None), (OWN, Event("term", "c", 0), None),
    ([CUT] + [SERVED] * 5 + [replace(CUT, ended=1)] * 9, CONFIG, None),
    (KEPT, Event("disruption", "a", 2, 4), None),
]


@test({})
async def test_losses_are_named(f):
    """Guards against a checker that cannot fail: made-up histories break each clause once, and
    each excuse is used once."""
    for requests, events, clause in HISTORIES:
        requests, events = ([x] if not isinstance(x, list) else x for x in (requests, events))
        named = {c for c, _ in judge(requests, events)}
        check(named == ({clause} if clause else set()), (clause, named, requests[0], events))
