#!/usr/bin/env python3
"""Ends requests with large bodies in each way in which an attempt can end, and
checks that all nodes then count no held bytes. Bytes that stay counted would
make a node refuse every caller after some time.

Exits with 1 if a check fails; the folder with the logs is then kept.
"""

import argparse
import asyncio
import os
import re
import shutil
import signal
import sys
import tempfile

from callers import (ANSWER_TIMEOUT_S, BOUNDS, HOST, LOWERED, MIB, NETWORK,
                     PORTS, ROOT, Fleet, await_start, configuration,
                     lower_limits, message, read_message)

BODY_BYTES = 4 * MIB
ANSWER_BYTES = 2 * MIB
HELD = re.compile(r"^teaselhitch_held_bytes (\S+)$", re.M)
RELEASE_TIMEOUT_S = 20
SHORT_DEADLINE_MS = 1000


class Ending:
    """How the worker of the second node ends its requests."""

    def __init__(self, worker):
        self.worker, self.way, self.started = worker, "answer", 0
        self.ordinary = worker.handle
        worker.handle = self.handle

    async def handle(self, first_line, headers, body, writer):
        self.started += 1
        request = headers.get("request-id", "")
        if self.way == "refuse":
            writer.write(message("HTTP/1.1 503 X", {"Request-Id": request,
                                                    "Not-Executed": "1"}))
        elif self.way == "cut":
            writer.transport.abort()
        elif self.way == "hang":
            await asyncio.sleep(60)
        elif self.way == "large":
            writer.write(message("HTTP/1.1 200 OK", {
                "Request-Id": request, "Server-Seal": f"seal.{request}",
                "Server-Load": "1,0,10"}, b"a" * ANSWER_BYTES))
        else:
            await self.ordinary(first_line, headers, body, writer)


async def metrics(node):
    reader, writer = await asyncio.open_connection(node.address, PORTS["Ready"])
    try:
        writer.write(message("GET /metrics HTTP/1.1", {"Host": "node"}))
        _, _, body = await read_message(reader)
        return body.decode()
    finally:
        writer.close()


async def send(node, request, deadline_ms, size=BODY_BYTES):
    reader, writer = await asyncio.open_connection(node.address,
                                                   PORTS["Outbound"])
    writer.write(message("POST /s1/x HTTP/1.1", {
        "Host": HOST, "Request-Id": request, "Deadline-Ms": deadline_ms},
        b"b" * size))
    return reader, writer


async def held_bytes(node):
    """Returns the metric, or nothing while the process does not answer."""
    try:
        found = HELD.search(await metrics(node))
        return float(found.group(1)) if found else None
    except (OSError, asyncio.IncompleteReadError):
        return None


async def check_counted(fleet, way):
    """Waits until the guard counts the body of the request that runs."""
    for _ in range(RELEASE_TIMEOUT_S * 5):
        held = await held_bytes(fleet.nodes[1])
        if held is not None and held >= BODY_BYTES:
            return
        await asyncio.sleep(0.2)
    fleet.fail(f"{way}: the guard does not count the body, only {held}")


async def check_released(fleet, way):
    """Waits until no node counts held bytes."""
    held = {}
    for _ in range(RELEASE_TIMEOUT_S * 5):
        held = {node.name: await held_bytes(node) for node in fleet.nodes}
        if all(value == 0 for value in held.values()):
            return
        await asyncio.sleep(0.2)
    fleet.fail(f"{way}: held bytes stay at {held}")


async def await_run(ending, before):
    for _ in range(ANSWER_TIMEOUT_S * 10):
        if ending.started > before:
            return True
        await asyncio.sleep(0.1)
    return False


async def end_once(fleet, ending, way):
    """Ends one request in this way. It has to reach the worker."""
    kinds = {"answer": "answer", "large": "large", "refuse": "refuse",
             "cut": "cut"}
    ending.way = kinds.get(way, "hang")
    before, node = ending.started, fleet.nodes[0]
    deadline_ms = SHORT_DEADLINE_MS if way == "deadline" else 20000
    reader, writer = await send(node, f"way-{way}", deadline_ms)
    if not await await_run(ending, before):
        fleet.fail(f"{way}: the request did not reach the worker")
    if way in ("caller-gone", "entry-killed"):
        await check_counted(fleet, way)
    if way == "caller-gone":
        writer.transport.abort()
    elif way == "entry-killed":
        node.send(signal.SIGKILL)
    else:
        line, _, _ = await asyncio.wait_for(read_message(reader),
                                            ANSWER_TIMEOUT_S)
        print(f"{way}: {line}")
    writer.transport.abort()
    # A reading just before the end must not pass for the last one.
    await asyncio.sleep(1.2)
    await check_released(fleet, way)


async def check_refused(fleet, ending):
    """A second body that does not fit at the guard is refused and has not run.
    It comes from another entry, which has the memory."""
    ending.way = "hang"
    before, size = ending.started, LOWERED.max_body_bytes
    _, first = await send(fleet.nodes[0], "no-memory-1", 20000, size)
    if not await await_run(ending, before):
        fleet.fail("no-memory: the first request did not reach the worker")
    reader, second = await send(fleet.nodes[2], "no-memory-2", 20000, size)
    line, headers, _ = await asyncio.wait_for(read_message(reader),
                                              ANSWER_TIMEOUT_S)
    print(f"no-memory: {line}, Retry-After {headers.get('retry-after')}")
    if line.split(" ")[1] != "503" or "retry-after" not in headers:
        fleet.fail(f"no-memory: the second request got {line}")
    if ending.started != before + 1:
        fleet.fail("no-memory: the refused request has run")
    first.transport.abort()
    second.transport.abort()
    await asyncio.sleep(1.2)
    await check_released(fleet, "no-memory")


async def play(fleet, ending):
    fleet.store.put("op", "config", configuration(fleet.services[:2], LOWERED))
    await fleet.start()
    await asyncio.sleep(0.3)
    for way in ("answer", "large", "refuse", "cut", "caller-gone", "deadline",
                "entry-killed"):
        ending.way = "answer"
        await await_start(fleet)
        await end_once(fleet, ending, way)
    ending.way = "answer"
    await await_start(fleet)
    await check_refused(fleet, ending)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/bin/teaselhitch")
    parser.add_argument("--network", type=int, default=NETWORK,
                        help="addresses are 127.1.NETWORK.*; runs at the same "
                             "time need different ones")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="accounting-")
    fleet = Fleet(folder, [os.path.join(ROOT, options.program), "node"], BOUNDS,
                  3, options.network)
    lower_limits(fleet, LOWERED, folder)
    ending = Ending(fleet.workers[1])

    async def run():
        try:
            await play(fleet, ending)
        finally:
            await fleet.stop()

    asyncio.run(run())
    print(f"accounting: {len(fleet.failures)} failures")
    for text in fleet.failures:
        print(text)
    if fleet.failures:
        print(f"logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()
