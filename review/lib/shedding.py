"""A stand-in server that rejects a part of its requests, and that sends a second copy of some of
its rejections late, where the answer to the next request on the connection is expected."""
import asyncio
import random

from stage import standin

SHED_SHARE, SHED_S = 0.55, 8.5      # srv_grey, how "shed all": part of the requests, length
EXTRA_SHARE, EXTRA_S = 0.03, 5.0    # garble, how "extra late": part of the answers, length
CALM_S = 2


class Server(standin.Server):
    shedding = spoiling = False
    names_request = False  # whether a rejection bears X-Request-Id
    record = print

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.draw = random.Random(self.ip)

    def rejection(self, rid):
        named = f"X-Request-Id: {rid}\r\n" if self.names_request else ""
        return (f"HTTP/1.1 503 Service Unavailable\r\n{named}X-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n").encode()

    async def one(self, reader, writer):
        head = standin.Head(await reader.readuntil(b"\r\n\r\n"))
        rid = head.get("x-request-id", "")
        body = await standin.read_body(reader, head)
        if head.start[1] == "/health" or head.get("x-target-instance") not in (None, self.id):
            status = 200 if head.start[1] == "/health" else 421
            self.write(writer, status, rid, b"", [f"X-Instance-Id: {self.id}"])
            return True
        late, writer.late = getattr(writer, "late", None), None
        if late:
            self.record(f"server {self.id} sends the second copy of its rejection of {late}, "
                        f"where the answer to {rid} is due")
            writer.write(self.rejection(late))
        if self.shedding and self.draw.random() < SHED_SHARE:
            self.record(f"server {self.id} rejects {rid}, not run")
            writer.write(self.rejection(rid))
            if self.spoiling and self.draw.random() < EXTRA_SHARE:
                writer.late = rid
            await writer.drain()
            return True
        async with self.free:
            self.record(f"server {self.id} runs {rid}")
            return await self.run(reader, writer, head, rid, body)


async def trouble(on, servers, rounds, record):
    """All servers of the service shed, and one of them sends extra answers; calm if not `on`."""
    for _ in range(rounds):
        await asyncio.sleep(CALM_S)
        if not on:
            await asyncio.sleep(SHED_S)
            continue
        record(f"srv_grey (shed) on {', '.join(s.id for s in servers)}; "
               f"garble (extra late) on {servers[0].id}")
        for s in servers:
            s.shedding = True
        servers[0].spoiling = True
        await asyncio.sleep(EXTRA_S)
        servers[0].spoiling = False
        await asyncio.sleep(SHED_S - EXTRA_S)
        for s in servers:
            s.shedding = False
        record("both end")


def length_s(rounds):
    return rounds * (CALM_S + SHED_S) + CALM_S
