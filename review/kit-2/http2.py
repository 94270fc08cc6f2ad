"""A small HTTP/1.1 server and client on asyncio, and a TCP proxy, for the stand-ins."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

NO_ANSWER = object()


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _read_body(reader, headers):
    length = int(headers.get("content-length") or 0)
    return await reader.readexactly(length) if length else b""


class Server:
    """Serves `handle(method, path, query, body)`, which returns a status and a JSON value,
    or NO_ANSWER: then the connection stays open and nothing is ever sent on it."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None
        self.connections = set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await _read_body(reader, headers)
                parts = urlsplit(target)
                answer = await self.handle(method, parts.path, dict(parse_qsl(parts.query)), body)
                if answer is NO_ANSWER:
                    await reader.read()
                    return
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """Closes the listener and all connections, as a machine that is gone."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


async def request(address, method, path, value=None, timeout=4.0):
    """Sends one request on a connection of its own. Returns (status, JSON), or (0, None)
    if there was no answer in time."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        try:
            data = b"" if value is None else json.dumps(value).encode()
            writer.write(("%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\ncontent-type: application/json\r\n"
                          "content-length: %d\r\n\r\n" % (method, path, address, len(data))).encode() + data)
            first, headers = await _read_head(reader)
            body = await _read_body(reader, headers)
            try:
                parsed = json.loads(body) if body else None
            except ValueError:
                parsed = None
            return int(first.split(" ")[1]), parsed
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None


class Proxy:
    """Passes connections on to `target`. Modes: pass; refuse (closes at once, also what is
    open); hold (nothing passes until the mode changes, then in order)."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.changed = asyncio.Event()
        self.writers = set()
        self.address = None

    async def start(self, host="127.0.0.1"):
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        return self.address

    def set_mode(self, mode):
        self.mode = mode
        if mode == "refuse":
            for writer in list(self.writers):
                writer.transport.abort()
        self.changed.set()
        self.changed = asyncio.Event()

    async def _wait_while_held(self):
        while self.mode == "hold":
            await self.changed.wait()

    async def _pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self._wait_while_held()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass
        writer.close()

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        await self._wait_while_held()
        try:
            host, port = self.target.rsplit(":", 1)
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        both = {writer, to_writer}
        self.writers |= both
        try:
            await asyncio.gather(self._pump(reader, to_writer), self._pump(to_reader, writer))
        except asyncio.CancelledError:
            pass
        self.writers -= both
