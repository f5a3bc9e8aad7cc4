#!/usr/bin/env python3
"""Stops a real node while work is in progress that takes longer than the time
until the process is killed, and checks that the process ends by itself before
and that each caller gets an honest result. Exits with 1 otherwise."""

import asyncio
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

from fleet import (PORTS, ROOT, SLOTS, Fleet, configuration, message,
                   read_message)

HOST = "stop.example"
# Deadline of the requests, and how long the backend servers take.
TIMEOUT_MS = 30000
WORK_S = 20
GRACE_S = 6
# Within the limit on answers of the deployment, and more than the buffers of a
# connection take.
LARGE_BYTES = 15 << 20
BOUNDS = {"ContactMs": 3000, "GraceS": GRACE_S, "ConfigApplyMs": 2000,
          "RollbackSlackMs": 250, "RetryRatio": 0.2, "BudgetWindowS": 10,
          "RetrySlack": 58}


class Stop:
    def __init__(self, fleet):
        self.fleet, self.runs, self.results = fleet, set(), {}
        fleet.on_run = lambda request, worker: self.runs.add(request)

    async def open(self, node):
        return await asyncio.open_connection(node.address, PORTS["Outbound"])

    def request(self, name, service, **headers):
        return message(f"POST /{service}/x HTTP/1.1", {
            "Host": HOST, "Request-Id": name, "Deadline-Ms": TIMEOUT_MS, **headers})

    async def call(self, name, node, service, **headers):
        """Records the status, or "closed"."""
        reader, writer = await self.open(node)
        try:
            writer.write(self.request(name, service, **headers))
            line, _, _ = await read_message(reader)
            self.results[name] = int(line.split(" ")[1])
        except (OSError, ValueError, asyncio.IncompleteReadError):
            self.results[name] = "closed"
        finally:
            writer.close()

    async def run(self, is_store_silent):
        first, second = self.fleet.nodes
        self.fleet.store.put("op", "config", configuration(
            self.fleet.services, HOST, TIMEOUT_MS, attempts=3))
        await self.fleet.start()
        await asyncio.sleep(4)
        for attempt in range(50):
            await self.call(f"warm-{attempt}", first, second.service)
            if self.results[f"warm-{attempt}"] == 200:
                break
            await asyncio.sleep(0.1)
        idle = await self.open(first)
        idle[1].write(self.request("idle", first.service))
        self.results["idle"] = int((await read_message(idle[0]))[0].split(" ")[1])
        # Does not read the response.
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect((first.address, PORTS["Outbound"]))
        slow.sendall(self.request("slow-reader", first.service,
                                  **{"Soak-Bytes": LARGE_BYTES}))
        long = {"Soak-Seconds": WORK_S}
        # A request that is half received.
        part = await self.open(first)
        part[1].write(self.request("part", first.service)[:60])
        calls = [asyncio.create_task(self.call(*each, **long)) for each in
                 [("over-link", first, second.service),
                  ("from-link", second, first.service)]]
        calls += [asyncio.create_task(self.call(f"here-{i}", first, first.service,
                                                **long))
                  for i in range(SLOTS + 5)]
        await asyncio.sleep(1)
        if is_store_silent:
            self.fleet.store.is_silent = True
        process, begin = first.process, time.monotonic()
        first.is_expected = first.is_stopping = True
        process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), GRACE_S)
            taken = time.monotonic() - begin
            print(f"ended by itself with {code} after {taken:.3f} s")
        except asyncio.TimeoutError:
            self.fleet.fail(f"STILL-THERE: not ended {GRACE_S} s after SIGTERM")
            process.kill()
        await asyncio.wait(calls, timeout=2)
        await self.check_slow_reader(slow)
        for writer in (idle[1], slow, part[1]):
            writer.close()
        for task in calls:
            task.cancel()
        self.check()

    async def check_slow_reader(self, connection):
        """The response must have begun and must not have been sent whole, or
        the reader was not slow."""
        connection.settimeout(2)
        received = b""
        try:
            while part := await asyncio.to_thread(connection.recv, 1 << 16):
                received += part
        except OSError:
            pass
        print(f"slow reader: {received[:12]}, {len(received)} bytes")
        if not received.startswith(b"HTTP/1.1 200") or len(received) >= LARGE_BYTES:
            self.fleet.fail("SLOW the response to the slow reader was not blocked")

    def check(self):
        print(self.results)
        names = {"over-link", "from-link"} | {f"here-{i}" for i in range(SLOTS + 5)}
        for name in sorted(names):
            result = self.results.get(name)
            if result is None:
                self.fleet.fail(f"LOST {name} got no result")
            if result in (408, 421, 429, 503) and name in self.runs:
                self.fleet.fail(f"REFUSED {name}: {result}, has run")
            # This node knows whether the request was passed on.
            if name.startswith(("here-", "over-")):
                expected = 502 if name in self.runs else 503
                if result != expected:
                    self.fleet.fail(f"CUT {name}: {result}, expected {expected}")


def main():
    failures = []
    # A call to a store that does not answer must not hold up the end of the
    # process, whatever its time limit is.
    for is_store_silent, store_timeout_ms in ((False, 900), (True, 900),
                                              (True, 20000)):
        folder = tempfile.mkdtemp(prefix="stop-")
        fleet = Fleet(folder, [os.path.join(ROOT, sys.argv[1]), "node"], BOUNDS, 2,
                      int(sys.argv[2]) if len(sys.argv) > 2 else 250)

        fleet.template = fleet.template.replace(
            "\ntimeout_ms = 900\n", f"\ntimeout_ms = {store_timeout_ms}\n")

        async def run(fleet=fleet, is_silent=is_store_silent):
            try:
                await Stop(fleet).run(is_silent)
            finally:
                await fleet.stop()

        asyncio.run(run())
        for text in fleet.failures:
            print(text, f"(store silent: {is_store_silent}, time limit "
                        f"{store_timeout_ms} ms, logs: {folder})")
        failures += fleet.failures
        if not fleet.failures:
            shutil.rmtree(folder)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
