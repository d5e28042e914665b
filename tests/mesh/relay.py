"""A loopback relay that can delay, reset, silence, refuse, keep back or swallow one way."""
import asyncio


class Relay:
    """Forwards TCP from one address to another, with faults."""

    def __init__(self, ip, port, to_ip, to_port):
        self.addr, self.to = (ip, port), (to_ip, to_port)
        self.delay = 0.0
        self.mute = set()  # directions "in", "out" that are swallowed
        # directions that are kept back until release(), but for the first words
        # on a connection: before them the other side sends nothing
        self.kept = set()
        self.waiting = []  # what is kept back, in the order it began to be
        self.refuse = False
        self.hold_new = False  # new connections bring nothing in until let_go()
        self.held = []
        self.pairs = set()
        self.last = None  # the connection begun last

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.addr)

    async def serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        try:
            # from its own address, so that the other end can tell the relays apart
            r2, w2 = await asyncio.open_connection(*self.to, local_addr=(self.addr[0], 0))
        except OSError:
            writer.transport.abort()
            return
        pair = self.last = (writer, w2)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self.pump(reader, w2, "in"), self.pump(r2, writer, "out"))
        except asyncio.CancelledError:
            pass  # the soak is over
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
        """All that comes until release(); an end or reset shows at the next read."""
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
        """Let go what was kept back, connection by connection."""
        self.kept.clear()
        while self.waiting:
            self.waiting.pop(0).set_result(None)
            await asyncio.sleep(0.01)

    def let_go(self):
        """Let go what new connections brought."""
        while self.held:
            self.held.pop().set_result(None)

    def reset_all(self):
        for pair in list(self.pairs):
            self.reset(pair)

    def reset_last(self):
        """The connection begun last."""
        self.reset(self.last)

    @staticmethod
    def reset(pair):
        for w in pair:
            w.transport.abort()

    def silence_open(self):
        """Connections now open go silent for good; new ones work."""
        for a, b in list(self.pairs):
            for w in (a, b):
                w.transport.pause_reading()
