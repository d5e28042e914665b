"""A loopback relay that can delay, reset, silence, refuse, hold back or drop traffic,
also in one direction only."""
import asyncio


class Relay:
    """Forwards TCP connections from one address to another, with faults."""

    def __init__(self, ip, port, to_ip, to_port):
        self.addr, self.to = (ip, port), (to_ip, to_port)
        self.delay = 0.0
        self.mute = set()  # directions "in", "out" whose data is dropped
        # directions that are held back until release(), except for the first data on
        # a connection, without which the other side sends nothing
        self.kept = set()
        self.waiting = []  # futures of the pumps that hold data back, oldest first
        self.refuse = False
        self.hold_new = False  # new connections forward nothing inwards until let_go()
        self.held = []
        self.pairs = set()
        self.last = None  # the connection that was opened last

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.addr)

    async def serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        try:
            # from the relay's own address, so that the other end can distinguish relays
            r2, w2 = await asyncio.open_connection(*self.to, local_addr=(self.addr[0], 0))
        except OSError:
            writer.transport.abort()
            return
        pair = self.last = (writer, w2)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self.pump(reader, w2, "in"), self.pump(r2, writer, "out"))
        except asyncio.CancelledError:
            pass  # the soak test has ended
        self.pairs.discard(pair)

    async def pump(self, reader, writer, way):
        spoken = False
        try:
            if way == "in" and self.hold_new:
                self.held.append(asyncio.get_event_loop().create_future())
                await self.held[-1]
            while True:
                data = await reader.read(65536)
                if way in self.kept and spoken:
                    data = await self.keep(reader, data)
                spoken = True
                if not data:
                    break
                if self.delay:
                    await asyncio.sleep(self.delay)
                if way in self.mute:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()

    async def keep(self, reader, data):
        """Collects all data that arrives until release(), then returns it; the end or a reset
        of the connection shows at the next read."""
        let_go = asyncio.get_event_loop().create_future()
        self.waiting.append(let_go)
        while data and not let_go.done():
            more = asyncio.ensure_future(reader.read(65536))
            await asyncio.wait({more, let_go}, return_when=asyncio.FIRST_COMPLETED)
            if not more.done():
                more.cancel()
                await asyncio.wait({more})
                break
            if more.exception() or not more.result():
                break
            data += more.result()
        await let_go
        return data

    async def release(self):
        """Forwards what was held back, one connection after the other."""
        self.kept.clear()
        while self.waiting:
            self.waiting.pop(0).set_result(None)
            await asyncio.sleep(0.01)

    def let_go(self):
        """Forwards what arrived on the new connections that are held."""
        while self.held:
            self.held.pop().set_result(None)

    def reset_all(self):
        for pair in list(self.pairs):
            self.reset(pair)

    def reset_last(self):
        """Resets the connection that was opened last."""
        self.reset(self.last)

    @staticmethod
    def reset(pair):
        for w in pair:
            w.transport.abort()

    def silence_open(self):
        """Permanently silences the connections that are open now; new ones work."""
        for a, b in list(self.pairs):
            for w in (a, b):
                w.transport.pause_reading()
