"""A worker that answers chosen requests with given bytes, and a caller that
reports what it gets for them."""

import asyncio
import contextlib
import dataclasses
import os
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "Soak"))
# pylint: disable=wrong-import-position
# ROOT and Fleet are for the programs that import this module.
from fleet import PORTS, ROOT, Fleet, Worker  # noqa: F401

HOST = "broken.test"
ANSWER_TIMEOUT_S = 25


def read_head(head):
    """Returns the first line and the headers by lower-case name."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class ScriptedWorker(Worker):
    """Answers requests whose id has a script with the script, others as an
    ordinary worker does."""

    def __init__(self, fleet, node, service=None, port=None):
        super().__init__(fleet, node)
        if port:
            self.service, self.port = service, port
            self.name = f"{self.name}-{port}"
        # By request id: an async function of the reader, the writer and the id.
        self.scripts = {}
        # Ids of scripted requests that came, and of those on a connection that
        # was used before.
        self.ran, self.reused = set(), set()

    async def _serve(self, reader, writer):
        # Each write reaches the kernel before the next step of a script.
        writer.transport.set_write_buffer_limits(0)
        self.open.add(writer)
        is_used = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first_line, headers = read_head(head)
                request = headers.get("request-id", "")
                if script := self.scripts.get(request):
                    self.ran.add(request)
                    if is_used:
                        self.reused.add(request)
                    await script(reader, writer, request)
                else:
                    body = await reader.readexactly(
                        int(headers.get("content-length", 0)))
                    await self.handle(first_line, headers, body, writer)
                    await writer.drain()
                is_used = True
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def restart(self):
        """Announces a new run, about whose failures a node knows nothing."""
        self.begin_run()
        self.sequence += 1
        await self._check_in(self.announcement())

    def forget_connections(self):
        """Closes the idle connections, so that the next request opens one."""
        for writer in list(self.open):
            writer.close()


def reset(writer):
    """Resets the connection."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def finish(reader, writer):
    """Ends the answer without a reset: closes the sending side and reads what
    still comes."""
    writer.write_eof()
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        while await asyncio.wait_for(reader.read(65536), ANSWER_TIMEOUT_S):
            pass


@dataclasses.dataclass
class Got:
    """What a caller received up to the end of its connection."""
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    failure: str = ""

    def __str__(self):
        seal = self.headers.get("server-seal")
        return (f"status {self.status}, "
                f"{'whole' if self.is_whole else 'not whole'}, "
                f"seal {seal!r}, {len(self.body)} bytes {self.body[:40]!r} "
                f"{self.failure}")


async def call(address, target, request, method="POST", body=b"",
               deadline_ms=20000, more=None):
    """Sends one request to a node, with more headers if any are given, and reads
    its answer to the end."""
    got = Got()
    lines = "".join(f"{name}: {value}\r\n" for name, value in (more or {}).items())

    async def exchange():
        reader, writer = await asyncio.open_connection(address,
                                                       PORTS["Outbound"])
        try:
            writer.write((f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                          f"Request-Id: {request}\r\n"
                          f"Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n"
                          f"{lines}"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            got.body = await reader.read()
        finally:
            writer.close()
    try:
        await asyncio.wait_for(exchange(), ANSWER_TIMEOUT_S)
    except (OSError, asyncio.TimeoutError) as error:
        got.failure = type(error).__name__
    head, found, rest = got.body.partition(b"\r\n\r\n")
    if not found:
        return got
    line, got.headers = read_head(head)
    got.body = rest
    with contextlib.suppress(IndexError, ValueError):
        got.status = int(line.split(" ")[1])
    length = got.headers.get("content-length")
    # A node sends every answer that may have a body with its length.
    got.is_whole = not got.failure and (
        method == "HEAD" or got.status in (204, 304) or
        length is not None and int(length) == len(rest))
    return got
