#!/usr/bin/env python3
"""Lets workers of a small fleet of real processes send answers without end, one
alone and several at once, and floods the addresses at which nodes are called.
Checks that no process ends, that each stays within the memory of its instance,
that the requests of other callers are served meanwhile, and that no caller gets
an answer that has no end.

Exits with 1 if a check fails; the folder with the logs is then kept.
"""

import argparse
import asyncio
import contextlib
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "UncontrolledCallers"))
# pylint: disable=wrong-import-position
from answers import OWN_FAILURES, await_start, configuration
from callers import BOUNDS, LOWERED, MB, lower_limits
from catalogue import head_of
from worker import PORTS, ROOT, Fleet, ScriptedWorker, call

NETWORK = 79
NODES = 2
# The service of each node comes first in the list of the fleet.
HEALTHY, FAULTY, FAULTY_ALONE = "s0", "s1", "s2"
# Limit of a guard for all answers together, in the template of the settings.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Within this time an ordinary request is answered; a usual time limit of a rule.
ORDINARY_S = 3
ENDLESS_MS = 4000
# The node has to end the connection of a worker this long after the deadline.
CLOSE_SLACK_S = 2
# Requests with an endless answer at once, through each node to each service.
TOGETHER = 4
MAX_TRIES = 50
MORE_PORTS = (8311, 8312, 8313)
FLOODERS = 4
BLOCK_BYTES = 64 * 1024

CHUNKED = "Transfer-Encoding: chunked"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def whole(request):
    return head_of(request, "Content-Length: 5") + b"whole"


# Where an answer goes on for ever: what comes first and what is repeated. None
# instead of repeated bytes means that the worker sends nothing more.
ANSWERS = {
    "no-answer": (lambda r: b"", b"x"),
    "zero-bytes": (lambda r: b"", b"\0"),
    "line-ends": (lambda r: b"", b"\r\n"),
    "status-line": (lambda r: b"HTTP/1.1 200 ", b"x"),
    "status-digits": (lambda r: b"HTTP/1.1 ", b"0"),
    "one-line": (lambda r: b"HTTP/1.1 200 OK\r\nX-Long: ", b"v"),
    "one-name": (lambda r: b"HTTP/1.1 200 OK\r\n", b"n"),
    "blanks": (lambda r: b"HTTP/1.1 200 OK\r\nX-Long:", b" "),
    "folds": (lambda r: b"HTTP/1.1 200 OK\r\nX-Long: v", b"\r\n v"),
    "lines": (lambda r: b"HTTP/1.1 200 OK\r\n", b"X-Line: v\r\n"),
    "interim": (lambda r: b"", INTERIM),
    "interim-lines": (lambda r: b"HTTP/1.1 103 X\r\n", b"Link: v\r\n"),
    "chunk-size": (lambda r: head_of(r, CHUNKED), b"0"),
    "chunk-extension": (lambda r: head_of(r, CHUNKED) + b"1;", b"x"),
    "chunk-extensions": (lambda r: head_of(r, CHUNKED),
                         b"1;a=" + b"e" * 4000 + b"\r\nx\r\n"),
    "small-chunks": (lambda r: head_of(r, CHUNKED), b"1\r\nx\r\n"),
    "chunks": (lambda r: head_of(r, CHUNKED), b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "huge-chunk": (lambda r: head_of(r, CHUNKED) + b"fffffffffffffff\r\n", b"x"),
    "trailer-line": (lambda r: head_of(r, CHUNKED) + b"1\r\nx\r\n0\r\nX-Long: ", b"v"),
    "trailers": (lambda r: head_of(r, CHUNKED) + b"1\r\nx\r\n0\r\n", b"X-T: v\r\n"),
    "body": (head_of, b"x"),
    "huge-body": (lambda r: head_of(r, "Content-Length: 99999999999"), b"x"),
    "stalled-body": (lambda r: head_of(r) + b"x" * (MAX_ANSWER_BYTES - 65536), None),
    "other-answers": (lambda r: b"", head_of("other", "Content-Length: 0")),
    "head-body": (head_of, b"x"),
    "behind-answer": (whole, b"x"),
    "behind-answer-late": (whole, b"x"),
}
# The answer to HEAD ends with its head; a whole answer is served, whatever
# comes after it.
SERVED = {"head-body", "behind-answer", "behind-answer-late"}

# What is sent to the addresses of a node instead of a request.
FLOODS = {
    "bytes": (b"", b"x"),
    "head-line": (b"POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nX-Long: ", b"v"),
    "head-lines": (b"POST /Instances.Heartbeat/i-1 HTTP/1.1\r\n", b"X: v\r\n"),
    "body": (b"POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: n\r\n"
             b"Content-Length: 99999999999\r\n\r\n", b"x"),
    "chunks": (b"POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: n\r\n"
               b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nxxxx\r\n"),
    "trailers": (b"POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: n\r\n"
                 b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X: v\r\n"),
}


def create_workers(fleet):
    """Both nodes have a healthy worker of the first service. The others are
    faulty: one beside the first node, several beside the second."""
    first, second = fleet.nodes
    healthy = [ScriptedWorker(fleet, first),
               ScriptedWorker(fleet, second, HEALTHY, MORE_PORTS[0])]
    alone = ScriptedWorker(fleet, first, FAULTY_ALONE, MORE_PORTS[0])
    several = [ScriptedWorker(fleet, second)] + [
        ScriptedWorker(fleet, second, FAULTY, port) for port in MORE_PORTS[1:]]
    return healthy, [alone] + several


async def flood(writer, repeated):
    """Writes until the other side closes the connection."""
    block = repeated * (BLOCK_BYTES // len(repeated) + 1)
    with contextlib.suppress(OSError):
        while True:
            writer.write(block)
            await writer.drain()


def endless(name, closed):
    """A script that sends an endless answer and notes when it was ended."""
    start, repeated = ANSWERS[name]

    async def script(reader, writer, request):
        with contextlib.suppress(OSError):
            writer.write(start(request))
            await writer.drain()
            if name.endswith("-late"):
                await asyncio.sleep(0.2)
            if repeated is None:
                # A read of nothing means that the node has closed.
                while await reader.read(65536):
                    pass
            else:
                await flood(writer, repeated)
        writer.transport.abort()
        closed.add(request)
    return script


class Memory:
    """The highest resident memory of the nodes since the last reset."""

    def __init__(self, fleet):
        self.fleet, self.highest = fleet, 0

    def _path(self, node, name):
        return f"/proc/{node.process.pid}/{name}"

    def reset(self):
        for node in self.fleet.nodes:
            # Sets VmHWM to the present resident memory.
            with open(self._path(node, "clear_refs"), "w", encoding="utf-8") as file:
                file.write("5")

    def check(self, name):
        found = []
        for node in self.fleet.nodes:
            try:
                with open(self._path(node, "status"), encoding="utf-8") as file:
                    lines = [line for line in file if line.startswith("VmHWM:")]
                resident = int(lines[0].split()[1]) * 1024
            except (OSError, IndexError):
                self.fleet.fail(f"{name}: {node.name} could not be measured")
                continue
            found.append(resident / MB)
            if resident > LOWERED.memory_bytes:
                self.fleet.fail(f"{name}: {node.name} used {resident / MB:.1f} MB, "
                                f"its instance has {LOWERED.memory_mb} MB")
        self.highest = max([self.highest] + found)
        return " ".join(f"{each:.1f}" for each in found)


class Ordinary:
    """Requests of other callers to the healthy service, through each node, with
    small and larger answers."""

    SIZES = (0, 20000, 300000)

    def __init__(self, fleet):
        self.fleet, self.served, self.longest = fleet, 0, 0
        self.is_ended = False

    async def _run(self, name, node, size):
        number = 0
        while not self.is_ended:
            number += 1
            request = f"ordinary-{name}-{node.name}-{size}-{number}"
            started = time.monotonic()
            got = await call(node.address, f"/{HEALTHY}/x", request,
                             more={"Soak-Bytes": size})
            took = time.monotonic() - started
            self.longest = max(self.longest, took)
            expected = f"{HEALTHY} {request}".encode() + b" " * size
            if got.status != 200 or not got.is_whole or got.body != expected:
                self.fleet.fail(f"{name}: {request} got {got}")
            elif took > ORDINARY_S:
                self.fleet.fail(f"{name}: {request} took {took:.1f} s")
            else:
                self.served += 1
            await asyncio.sleep(0.02)

    @contextlib.asynccontextmanager
    async def during(self, name):
        self.is_ended, self.longest, self.served = False, 0, 0
        tasks = [asyncio.create_task(self._run(name, node, size))
                 for node in self.fleet.nodes for size in self.SIZES]
        yield
        self.is_ended = True
        await asyncio.gather(*tasks)
        if not self.served:
            self.fleet.fail(f"{name}: no ordinary request was served")


class Player:
    def __init__(self, fleet, faulty):
        self.fleet, self.faulty = fleet, faulty
        self.memory, self.ordinary = Memory(fleet), Ordinary(fleet)
        self.closed, self.sent, self.ran = set(), 0, 0
        # Rounds in which all faulty workers sent an endless answer.
        self.rounds = 0

    async def restart_workers(self):
        for worker in self.faulty:
            await worker.restart()

    async def ask(self, name, node, service):
        """Sends one request that gets an endless answer, and checks what comes
        of it. Returns whether it reached a worker."""
        request = f"endless-{self.sent}-{name}"
        self.sent += 1
        for worker in self.faulty:
            worker.scripts[request] = endless(name, self.closed)
        got = await call(node.address, f"/{service}/x", request,
                         "HEAD" if name == "head-body" else "POST",
                         deadline_ms=ENDLESS_MS)
        if not any(request in worker.ran for worker in self.faulty):
            # It was refused, or sent on a connection that a worker then flooded.
            if got.status not in OWN_FAILURES + (503,):
                self.fleet.fail(f"{name}: a request that did not run got {got}")
            return False
        self.ran += 1
        is_served = got.status == 200 and got.is_whole and \
            got.headers.get("server-seal") == f"seal.{request}" and \
            got.body == (b"" if name == "head-body" else b"whole")
        is_refused = got.status in OWN_FAILURES and got.is_whole and \
            "server-seal" not in got.headers
        if not (is_served if name in SERVED else is_refused):
            self.fleet.fail(f"{name}: a request through {node.name} got {got}")
        for _ in range(CLOSE_SLACK_S * 20):
            if request in self.closed:
                return True
            await asyncio.sleep(0.05)
        self.fleet.fail(f"{name}: the node did not end the connection of its worker")
        return True

    async def ask_alone(self, name, node):
        for _ in range(MAX_TRIES):
            await self.restart_workers()
            if await self.ask(name, node, FAULTY):
                return
            await asyncio.sleep(0.05)
        self.fleet.fail(f"{name}: no request through {node.name} reached a worker")

    async def answers(self, name):
        first, second = self.fleet.nodes
        async with self.ordinary.during(name):
            # One alone, beside its worker and through the other node.
            for node in (second, first):
                await self.ask_alone(name, node)
            # Then several at once, until each faulty worker has one of them.
            for _ in range(MAX_TRIES):
                await self.restart_workers()
                before = [len(worker.ran) for worker in self.faulty]
                await asyncio.gather(*(
                    self.ask(name, node, service) for _ in range(TOGETHER)
                    for node in (first, second)
                    for service in (FAULTY, FAULTY_ALONE)))
                if all(len(worker.ran) > count
                       for worker, count in zip(self.faulty, before)):
                    self.rounds += 1
                    return
        self.fleet.fail(f"{name}: the workers never answered at the same time")

    async def floods(self, name):
        start, repeated = FLOODS[name]

        async def one(node, port):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(node.address,
                                                               PORTS[port])
                writer.write(start)
                task = asyncio.create_task(flood(writer, repeated))
                await asyncio.wait([task], timeout=ENDLESS_MS / 1000)
                task.cancel()
                writer.transport.abort()
                del reader

        async with self.ordinary.during(f"flood-{name}"):
            await asyncio.gather(*(one(self.fleet.nodes[0], port)
                                   for port in ("Control", "Ready", "Inbound")
                                   for _ in range(FLOODERS)))

    async def play(self, kind, only):
        play_one = self.answers if kind == "answers" else self.floods
        for name in ANSWERS if kind == "answers" else FLOODS:
            if only not in name:
                continue
            self.memory.reset()
            started = time.monotonic()
            await play_one(name)
            print(f"{name}: {self.memory.check(name)} MB resident at most, "
                  f"{self.ordinary.served} ordinary requests served, the longest "
                  f"in {self.ordinary.longest:.2f} s, "
                  f"{time.monotonic() - started:.1f} s")


async def play(fleet, player, kind, only):
    services = [HEALTHY, FAULTY, FAULTY_ALONE]
    fleet.store.put("op", "config", configuration(services))
    await fleet.start()
    await asyncio.sleep(0.3)
    await await_start(fleet, services)
    await player.play(kind, only)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["answers", "floods"])
    parser.add_argument("--case", default="",
                        help="play only cases whose names contain this")
    parser.add_argument("--program", default="build/bin/teaselhitch")
    parser.add_argument("--network", type=int, default=NETWORK,
                        help="addresses are 127.1.NETWORK.*; runs at the same "
                             "time need different ones")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="endless-")
    fleet = Fleet(folder, [os.path.join(ROOT, options.program), "node"], BOUNDS,
                  NODES, options.network)
    lower_limits(fleet, LOWERED, folder)
    healthy, faulty = create_workers(fleet)
    fleet.workers = healthy + faulty
    player = Player(fleet, faulty)

    async def run():
        try:
            await play(fleet, player, options.kind, options.case)
        finally:
            await fleet.stop()

    asyncio.run(run())
    print(f"{options.kind}: {player.ran} endless answers, {player.rounds} rounds "
          f"with all {len(faulty)} faulty workers, at most "
          f"{player.memory.highest:.1f} MB of {LOWERED.memory_mb} MB, "
          f"{len(fleet.failures)} failures")
    for text in fleet.failures:
        print(text)
    if fleet.failures:
        print(f"logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()
