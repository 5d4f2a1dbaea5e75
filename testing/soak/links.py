"""Loopback TCP proxies that inject delays, resets and one-way or two-way cuts."""

import asyncio
import socket
import struct

CHUNK_BYTES = 65536


def reset(writer):
    """Ends a connection so that its peer sees no regular end."""
    raw = writer.get_extra_info("socket")
    if raw and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Link:
    """A TCP proxy for one address. Faults apply to open connections too.

    delay_s      delay of each chunk of data, in seconds
    cut_up       no data is forwarded to the target; connections stay open
    cut_down     no data is forwarded from the target; connections stay open
    silence_all  nothing more is forwarded on the connections that are open now
    """

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        self.cut_up = False
        self.cut_down = False
        self._server = None
        self._writers = set()
        self._silent = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_all(self):
        for writer in list(self._writers):
            reset(writer)

    def silence_all(self):
        self._silent |= self._writers

    def clear_faults(self):
        """Ends all faults.

        Connections that were cut are reset, so the data held back is lost.
        """
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
        writers = {writer, up_writer}
        self._writers |= writers
        tasks = [
            asyncio.create_task(self._forward(reader, up_writer, "cut_up")),
            asyncio.create_task(self._forward(up_reader, writer, "cut_down")),
        ]
        try:
            await asyncio.wait(tasks)
        except asyncio.CancelledError:
            pass  # The run has ended.
        for side_writer in writers:
            side_writer.transport.abort()
        self._writers -= writers
        self._silent -= writers

    async def _forward(self, reader, writer, cut_flag):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while getattr(self, cut_flag):
                    await asyncio.sleep(0.02)
                if writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
            if writer not in self._silent:
                writer.write_eof()
        except asyncio.CancelledError:
            pass  # The run has ended.
        except (OSError, RuntimeError):
            # Propagates a reset of one side to the other.
            reset(writer)
