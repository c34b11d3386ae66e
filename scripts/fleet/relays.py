"""Relays of TCP connections on loopback, so that a test can cut or slow each direction of a link."""

import asyncio
import threading

PIECE_BYTES = 65536
START_SECONDS = 10
FORWARD = "forward"
BACKWARD = "backward"
BOTH = (FORWARD, BACKWARD)


class Relay:
    """A relay to one target. A cut direction swallows what is sent into it, without a reset, as a lost packet does;
    after the cut it is delivered late, unless the connection was dropped."""

    def __init__(self, listener, target):
        self.listener = listener
        self.target = target
        self.open = {FORWARD: asyncio.Event(), BACKWARD: asyncio.Event()}
        self.delay = 0.0
        self.writers = set()
        for gate in self.open.values():
            gate.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=self.listener)

    async def serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            await self.open[FORWARD].wait()
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(FORWARD, reader, target_writer), self.pump(BACKWARD, target_reader, writer))
        self.writers -= {writer, target_writer}
        for each in (writer, target_writer):
            each.close()

    async def pump(self, direction, reader, writer):
        try:
            while piece := await reader.read(PIECE_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.open[direction].wait()
                writer.write(piece)
                await writer.drain()
            await self.open[direction].wait()
            writer.write_eof()
        except OSError:
            writer.close()

    def set_cut(self, directions, cut):
        for direction in directions:
            if cut:
                self.open[direction].clear()
            else:
                self.open[direction].set()

    def drop_connections(self):
        """Resets every connection; nothing that was swallowed arrives late."""
        for writer in list(self.writers):
            writer.transport.abort()


class Relays:
    """All relays of a run, on one thread of their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.relays = {}

    def add(self, name, listener, target):
        """Starts a relay from the bound socket `listener` to `target`."""
        async def create():
            relay = Relay(listener, target)
            await relay.start()
            return relay
        self.relays[name] = asyncio.run_coroutine_threadsafe(create(), self.loop).result(START_SECONDS)

    def cut(self, name, directions=BOTH):
        self.loop.call_soon_threadsafe(self.relays[name].set_cut, directions, True)

    def heal(self, name, drop=False):
        """Ends a cut; with `drop` the connections of the time of the cut are reset first."""
        if drop:
            self.loop.call_soon_threadsafe(self.relays[name].drop_connections)
        self.loop.call_soon_threadsafe(self.relays[name].set_cut, BOTH, False)

    def slow(self, name, seconds):
        self.loop.call_soon_threadsafe(setattr, self.relays[name], "delay", seconds)

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
