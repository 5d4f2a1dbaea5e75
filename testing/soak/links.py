"""Loopback proxies that delay, reset, cut or silence the connections of a link."""

import asyncio

CHUNK_BYTES = 65536


class Link:
    """A TCP proxy in front of one address. Faults apply to open connections too.

    delay_s      each piece of data waits so long
    cut_up       nothing passes towards the target; connections stay open
    cut_down     nothing passes back
    """

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        self.cut_up = False
        self.cut_down = False
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self):
        """Ends all faults. What was cut is lost, as its sender's bytes are."""
        was_cut = self.cut_up or self.cut_down
        self.delay_s = 0.0
        self.cut_up = self.cut_down = False
        if was_cut:
            self.reset_all()

    async def close(self):
        if self._server:
            self._server.close()
        self.reset_all()

    async def _accept(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, up_writer}
        self._writers |= ends
        pumps = [
            asyncio.create_task(self._pump(reader, up_writer, "cut_up")),
            asyncio.create_task(self._pump(up_reader, writer, "cut_down")),
        ]
        try:
            await asyncio.wait(pumps)
        except asyncio.CancelledError:
            pass  # The run is over.
        for end in ends:
            end.transport.abort()
        self._writers -= ends

    async def _pump(self, reader, writer, cut):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while getattr(self, cut):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except asyncio.CancelledError:
            pass  # The run is over.
        except (OSError, RuntimeError):
            # A reset of one side is passed on to the other.
            writer.transport.abort()
