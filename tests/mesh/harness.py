"""Shared parts of the failure tests: the registry of tests and helpers for checks."""

TESTS = []


def test(layout, **options):
    """Registers a test that gets a started fleet; `layout`: {service: count}."""
    def wrap(fn):
        TESTS.append((fn.__name__, fn, layout, options))
        return fn
    return wrap


def runs(f, rid):
    """Returns how often a request was executed, on all servers."""
    return sum(r == rid for n in f.all() for _, r in n.server.ran)


def runs_at(node, rid):
    return any(r == rid for _, r in node.server.ran)


def lines_with(node, event, words):
    return [line for line in node.logged(event) if words in line]


def check(condition, what):
    if not condition:
        raise AssertionError(what)
