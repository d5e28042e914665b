#!/usr/bin/env python3
"""Sends requests to a node that cannot read them before its exit is due.

Usage: exit_probe.py PID HTTP_PORT PEER_PORT
Opens connections of callers and of nodes, sends SIGTERM, stops the process with SIGSTOP until the
longest wait of its drain is over, and meanwhile sends a request on each connection and on new
ones. After SIGCONT each must be answered "not run": it was accepted, and no server executed it.
Prints "KIND N answered, N not" for each kind of connection; exits with 1 if one was not answered.
"""
import os
import signal
import socket
import sys
import time

KEPT = 24
NEW = 350  # each takes a while to accept, so that the exit can come in between
OVER_S = 2.4  # longer than the longest wait of a drain for its callers
ANSWER_S = 3.0


def varint(n):
    out = bytearray()
    while n > 127:
        out.append(n & 127 | 128)
        n >>= 7
    out.append(n)
    return bytes(out)


def field(number, value):
    if isinstance(value, int):
        return varint(number << 3) + varint(value)
    return varint(number << 3 | 2) + varint(len(value)) + value


def http_request(number):
    return (f"POST /v1/call/renew HTTP/1.1\r\nHost: x\r\nX-LW-Deadline-Ms: 9000\r\n"
            f"X-LW-Idempotency-Key: probe-{number}\r\nContent-Length: 1\r\n\r\nx").encode()


def frame_request(number):
    body = (field(1, number) + field(2, 9000) + field(6, f"probe-{number}".encode())
            + field(8, b"billing-svc/renew") + field(9, b"x") + field(13, os.getpid()))
    frame = field(FRAME_REQUEST, body)
    return len(frame).to_bytes(4, "big") + frame


def frame_ping():
    frame = field(FRAME_PING, field(1, 7))
    return len(frame).to_bytes(4, "big") + frame


def read_http(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        data = data_or_end(sock, data)
    head, _, body = data.partition(b"\r\n\r\n")
    length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                  if line.lower().startswith(b"content-length:"))
    while len(body) < length:
        body = data_or_end(sock, body)
    return head


def data_or_end(sock, data):
    more = sock.recv(65536)
    if not more:
        raise ConnectionError("closed")
    return data + more


def read_frame(sock):
    data = b""
    while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4], "big"):
        data = data_or_end(sock, data)
    return data[4:4 + int.from_bytes(data[:4], "big")]


def not_run_http(head):
    return b"X-LW-Outcome: not_run" in head


def not_run_frame(frame):
    """The frame is a reply whose outcome (field 2) is not_run (1)."""
    key = varint(FRAME_REPLY << 3 | 2)
    if not frame.startswith(key):
        return False
    rest = frame[len(key):]
    while rest[0] & 128:
        rest = rest[1:]
    rest = rest[1:]
    if rest[0] == 1 << 3:
        rest = rest[1:]
        while rest[0] & 128:
            rest = rest[1:]
        rest = rest[1:]
    return rest.startswith(field(2, 1))


FRAME_REQUEST, FRAME_REPLY, FRAME_PING = 1, 2, 3


def connect(port):
    return socket.create_connection(("127.0.0.1", port), timeout=ANSWER_S)


def answered(sock, read, not_run):
    try:
        return not_run(read(sock))
    except OSError:
        return False


def main(pid, http_port, peer_port):
    kept, peers = ([connect(port) for _ in range(KEPT)] for port in (http_port, peer_port))
    for sock in kept:
        sock.sendall(http_request(0))
        read_http(sock)
    for sock in peers:
        sock.sendall(frame_ping())
        read_frame(sock)
    os.kill(pid, signal.SIGTERM)
    time.sleep(0.1)
    os.kill(pid, signal.SIGSTOP)
    time.sleep(0.05)
    new, new_peers = ([connect(port) for _ in range(NEW)] for port in (http_port, peer_port))
    for i, sock in enumerate(kept + new):
        sock.sendall(http_request(1 + i))
    for i, sock in enumerate(peers + new_peers):
        sock.sendall(frame_request(1 + i))
    time.sleep(OVER_S)
    os.kill(pid, signal.SIGCONT)
    lost = 0
    for kind, socks, read, not_run in (("kept", kept, read_http, not_run_http),
                                       ("new", new, read_http, not_run_http),
                                       ("peer", peers, read_frame, not_run_frame),
                                       ("new_peer", new_peers, read_frame, not_run_frame)):
        got = sum(answered(sock, read, not_run) for sock in socks)
        lost += len(socks) - got
        print(f"{kind} {got} answered, {len(socks) - got} not")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:4])))
