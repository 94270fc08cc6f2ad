"""A minimal HTTP/1.1 server and client on asyncio, for JSON bodies."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


async def read_head(reader):
    """Reads a start line and headers. Returns None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").split(), headers


MAX_REQUEST_BYTES = 64 * 1024  # PROTOCOL: "The limit for request bodies is 64 KiB."


async def read_body(reader, headers):
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def encode_response(status, body, keep_alive=True):
    data = json.dumps(body).encode()
    connection = "keep-alive" if keep_alive else "close"
    head = (
        f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
        f"content-length: {len(data)}\r\nconnection: {connection}\r\n\r\n"
    )
    return head.encode() + data


class Server:
    """Serves `handler(method, path, query, body)`, a coroutine that returns
    (status, body), or None to close the connection without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.connections = set()
        self.on_oversized = None  # called with the path and the length

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=1024)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                (method, target, *_), headers = head
                body = await read_body(reader, headers)
                if len(body) > MAX_REQUEST_BYTES:
                    if self.on_oversized:
                        self.on_oversized(target, len(body))
                    writer.write(encode_response(413, {"error": "body too large"}))
                    continue
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query))
                answer = await self.handler(method, parts.path, query, body)
                if answer is None:
                    return
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """Refuses new connections and resets the open ones."""
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Client:
    """One persistent connection. Any failure closes it; the next request opens another."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.host, self.port = host, int(port)
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, parsed body, headers). Raises OSError or TimeoutError."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body), timeout)
        except (asyncio.IncompleteReadError, ValueError, IndexError) as error:
            self.close()
            raise ConnectionError(str(error)) from error
        except BaseException:
            self.close()
            raise

    async def exchange(self, method, path, body):
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {self.host}:{self.port}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        )
        self.writer.write(head.encode() + data)
        await self.writer.drain()
        answer = await read_head(self.reader)
        if answer is None:
            raise ConnectionError("closed without an answer")
        line, headers = answer
        payload = await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line[1]), (json.loads(payload) if payload else None), headers


async def request_once(address, method, path, body=None, timeout=5.0):
    """One request on a connection of its own."""
    client = Client(address)
    try:
        return await client.request(method, path, body, timeout)
    finally:
        client.close()
