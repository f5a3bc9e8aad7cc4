#!/usr/bin/env python3
"""Lets backend servers of real nodes depart around outages and restores of the
store and around the end of their node's process. Afterwards an announcement
arrives that was sent before the departure. A departed run must get no request
once its departure was acknowledged; a later run must. Exits with 1 otherwise."""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass

from fleet import (HEARTBEAT_S, PORTS, ROOT, Fleet, configuration, message,
                   read_message)

HOST = "departures.example"
TIMEOUT_MS = 2000
BOUNDS = {"ContactMs": 3000, "GraceS": 6, "ConfigApplyMs": 2000,
          "RollbackSlackMs": 250, "RetryRatio": 0.2, "BudgetWindowS": 10,
          "RetrySlack": 58}
# A departed backend server gets no new request later than this.
DRAIN_S = 2
# The node counts as in touch this long after its start.
CONTACT_S = 3
# Backend servers wait this long for an acknowledgement.
REPLY_S = 1
# How long the backend server still runs after it departed and the last process
# of its node has started.
SERVES_S = 9
# Time between the ends of processes that are ended in turn.
TURN_S = 2
# When the late announcement arrives, after the start of the next process.
LATE_S = (0.0, 1.5, 4.0)


@dataclass(frozen=True)
class Case:
    name: str
    # "down", "silent" or "" while the backend server leaves.
    store: str = ""
    # Whether the store goes back to a copy from before the departure, and how
    # often.
    restores: int = 0
    # Signals that end processes of the node, one after the other.
    ends: tuple = (signal.SIGKILL,)
    # Whether the departure is said by an announcement.
    is_announced: bool = False
    # Whether the processes of the other nodes are killed in turn before.
    ends_others: bool = False
    # Whether the store is away until the end.
    is_long: bool = True
    # Whether the backend server has left before, under the same name.
    has_left_before: bool = False


CASES = [
    Case("outage, kill", "down"),
    Case("outage, kill, store back", "down", is_long=False),
    Case("outage, announced, stop", "down", is_announced=True,
         ends=(signal.SIGTERM,)),
    Case("outage, all killed in turn", "down", ends_others=True),
    Case("silent store, kill twice", "silent",
         ends=(signal.SIGKILL, signal.SIGKILL)),
    Case("restore, stop", restores=1, ends=(signal.SIGTERM,)),
    Case("restore twice, kill", restores=2),
    Case("left before, stop", has_left_before=True, ends=(signal.SIGTERM,)),
    Case("calm, announced, kill", is_announced=True),
]


class Departure:
    """One case, with a fleet of its own."""

    def __init__(self, fleet, case):
        self.fleet, self.case, self.busy = fleet, case, True
        self.node, self.worker = fleet.nodes[0], fleet.workers[0]
        self.runs = []
        fleet.on_run = self.on_run

    def fail(self, text):
        self.fleet.fail(f"{self.case.name}: {text}")

    def on_run(self, request, worker):
        if worker is self.worker:
            self.runs.append((time.monotonic(), worker.born))

    async def say(self, path, body):
        """Returns the status, or 0 without a reply in time."""
        async def call():
            reader, writer = await asyncio.open_connection(
                self.node.address, PORTS["Control"])
            try:
                writer.write(message(
                    f"POST /Instances.{path}/{self.worker.name} HTTP/1.1",
                    {"Host": "node", "Connection": "close"},
                    json.dumps(body).encode()))
                return int((await read_message(reader))[0].split(" ")[1])
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(call(), REPLY_S)
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            return 0

    async def leave(self, is_announced=False):
        """Departs. The other nodes are in touch, so the first call has to be
        acknowledged in time."""
        self.worker.beats.cancel()
        begin = time.monotonic()
        if is_announced:
            self.worker.sequence += 1
            body = self.worker.announcement()
            body["Status"]["State"] = "draining"
            status = await self.say("Heartbeat", body)
        else:
            status = await self.say("Leave", {"born": self.worker.born})
        print(f"{self.case.name}: status {status} after "
              f"{time.monotonic() - begin:.3f} s")
        if status != 200:
            self.fail("the departure was not acknowledged")

    def set_store(self, state):
        store = self.fleet.store
        store.is_silent = state == "silent"
        if store.is_available != (state != "down"):
            store.set_available(state != "down")

    async def call(self):
        """Sends requests for the service of the backend server to another
        node."""
        node, number = self.fleet.nodes[1], 0
        while self.busy:
            number += 1
            try:
                reader, writer = await asyncio.open_connection(
                    node.address, PORTS["Outbound"])
                writer.write(message(f"POST /{self.node.service}/x HTTP/1.1", {
                    "Host": HOST, "Request-Id": f"{number}",
                    "Deadline-Ms": TIMEOUT_MS}))
                await asyncio.wait_for(read_message(reader), TIMEOUT_MS / 1000)
                writer.close()
            except (OSError, ValueError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)

    async def await_runs(self, what, seconds):
        """Fails unless the present run of the backend server gets a request."""
        end = time.monotonic() + seconds
        while not any(born == self.worker.born for _, born in self.runs):
            if time.monotonic() > end:
                self.fail(f"{what} got no request for {seconds} s")
                return
            await asyncio.sleep(0.05)

    def begin_run(self):
        self.worker.begin_run()
        self.worker.beats = asyncio.create_task(self.worker._beat())

    async def end_process(self, node, number):
        """Ends the process of a node and waits until the next one starts."""
        boot = node.boot
        node.send(number)
        while node.boot == boot:
            await asyncio.sleep(0.02)
        return time.monotonic()

    async def run(self):
        store, case, started = self.fleet.store, self.case, 0
        store.put("op", "config", configuration(
            self.fleet.services, HOST, TIMEOUT_MS, attempts=2))
        await self.fleet.start()
        load = asyncio.create_task(self.call())
        await self.await_runs("the first run", 10)
        if case.has_left_before:
            await self.leave()
            await asyncio.sleep(0.5)
            self.begin_run()
            await self.await_runs("the second run", 5)
            # The next process has not heard of the run when it departs.
            self.worker.beats.cancel()
            for number in case.ends:
                started = await self.end_process(self.node, number)
        await asyncio.sleep(1)
        # Sent before the departure, and numbered accordingly.
        self.worker.sequence += 1
        late, before = self.worker.announcement(), time.monotonic()
        self.set_store(case.store)
        await self.leave(case.is_announced)
        left = time.monotonic()
        for _ in range(case.restores):
            store.set_available(False)
            await asyncio.sleep(0.2)
            store.restore(time.monotonic() - before)
            store.set_available(True)
            await asyncio.sleep(0.1)
        if case.ends_others:
            for node in self.fleet.nodes[1:]:
                await self.end_process(node, signal.SIGKILL)
                await asyncio.sleep(TURN_S)
        if not case.has_left_before:
            for number in case.ends:
                started = await self.end_process(self.node, number)
        if not case.is_long:
            self.set_store("")
        for delay in LATE_S:
            await asyncio.sleep(max(0, started + delay - time.monotonic()))
            await self.say("Heartbeat", late)
        await asyncio.sleep(max(0, max(left, started) + SERVES_S -
                                time.monotonic()))
        first = max(left + DRAIN_S, started + CONTACT_S)
        wrong = [t for t, born in self.runs
                 if born == self.worker.born and t > first]
        if wrong:
            self.fail(f"{len(wrong)} requests reached the backend server later "
                      f"than {DRAIN_S} s after its departure was acknowledged")
        # A later run is used, also while the store is away.
        self.begin_run()
        await self.await_runs("the next run", CONTACT_S + HEARTBEAT_S)
        self.busy = False
        await load
        self.set_store("")


async def play(case, folder, network):
    """Runs one case and returns what failed."""
    fleet = Fleet(folder, [os.path.join(ROOT, sys.argv[1]), "node"], BOUNDS, 3,
                  network)
    try:
        await Departure(fleet, case).run()
    finally:
        await fleet.stop()
    return fleet.failures


async def play_all(folder, first_network):
    cases = [c for c in CASES if len(sys.argv) < 4 or c.name in sys.argv[3:]]
    folders = [os.path.join(folder, str(i)) for i in range(len(cases))]
    for each in folders:
        os.mkdir(each)
    results = await asyncio.gather(*[
        play(case, each, first_network + i)
        for i, (case, each) in enumerate(zip(cases, folders))])
    return [text for failures in results for text in failures]


def main():
    folder = tempfile.mkdtemp(prefix="departures-")
    first_network = int(sys.argv[2]) if len(sys.argv) > 2 else 230
    failures = asyncio.run(play_all(folder, first_network))
    for text in failures:
        print(text)
    if failures:
        print(f"logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()
