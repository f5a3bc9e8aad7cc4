#!/usr/bin/env python3
"""Lets workers of a small fleet of real processes send broken or unusual
answers, and checks what callers get: through the node beside the worker and
through another node, on new and on reused connections to the worker.

Exits with 1 if a check fails; the folder with the logs is then kept.
"""

import argparse
import asyncio
import json
import os
import shutil
import sys
import tempfile

from catalogue import GROUPS, REFUSED, SERVED
from worker import HOST, ROOT, Fleet, ScriptedWorker, call

BOUNDS = {"ContactMs": 3000, "GraceS": 6}
NETWORK = 78
NODES = 3
TIMEOUT_MS = 20000
MAX_BODY_BYTES = 16 * 1024 * 1024
START_TIMEOUT_S = 30
# Failures of a node itself that do not promise that the request has not run.
OWN_FAILURES = (502, 504)
MAX_SHOWN = 400
MAX_TRIES = 100
RETRY_S = 0.05


def configuration(services):
    rules = [{"Name": f"r{service}", "Kind": "unsafe", "SloMs": 5000,
              "Priority": 1, "Match": {"Prefix": f"/{service}/"},
              "Action": {"Service": service, "TimeoutMs": TIMEOUT_MS,
                         "Attempts": 1}} for service in services]
    return json.dumps({
        "Version": "r1",
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": MAX_BODY_BYTES,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Listeners": [{"Host": HOST, "Rules": rules}],
        "Clusters": [{"Name": s, "HealthPath": "/health", "MaxConns": 330}
                     for s in services]}).encode()


def problem(case, got, request):
    """Returns what is wrong with what a caller got, or nothing."""
    is_served = (got.is_whole and got.status == case.status and
                 got.body == (b"" if case.method == "HEAD" else case.body) and
                 got.headers.get("server-seal") == f"seal.{request}")
    is_refused = (got.is_whole and got.status in OWN_FAILURES and
                  "server-seal" not in got.headers)
    if case.expected == SERVED:
        return None if is_served else "not served"
    if case.expected == REFUSED:
        return None if is_refused else "not refused"
    return None if is_served or is_refused else "neither served nor refused"


async def await_start(fleet, services):
    """Waits until each node serves all services."""
    for number in range(START_TIMEOUT_S * 5):
        got = [await call(node.address, f"/{service}/x",
                          f"start-{number}-{node.name}-{service}")
               for node in fleet.nodes for service in services]
        if all(each.status == 200 for each in got):
            return
        await asyncio.sleep(0.2)
    fleet.fail("not all requests were served at the start")


class Lane:
    """Plays cases at one worker, one after the other."""

    def __init__(self, fleet, index, counts):
        self.fleet, self.counts, self.number = fleet, counts, 0
        self.worker, self.own = fleet.workers[index], fleet.nodes[index]
        self.other = fleet.nodes[(index + 1) % NODES]

    async def play(self, cases):
        for case in cases:
            for node in (self.own, self.other):
                for is_reused in (False, True):
                    await self.play_once(case, node, is_reused)

    async def play_once(self, case, node, is_reused):
        request, got = await self.send(case, node, is_reused)
        self.counts["played"] += request in self.worker.ran
        self.counts["reused"] += request in self.worker.reused
        if wrong := problem(case, got, request):
            way = "own node" if node is self.own else "other node"
            kind = "reused" if is_reused else "new"
            self.fleet.fail(f"{case.name}, {way}, {kind} connection: {wrong}: {got}")

    async def send(self, case, node, is_reused):
        """Sends the request of a case until it reaches the worker on a connection
        of the wanted kind. A node that has seen the worker fail refuses it at
        first."""
        target = f"/{self.worker.service}/x"
        for _ in range(MAX_TRIES):
            self.number += 1
            request = f"c{self.number}-{self.worker.service}"
            await self.worker.restart()
            before = await call(node.address, target, f"before-{request}")
            if before.status != 200:
                await asyncio.sleep(RETRY_S)
                continue
            if not is_reused:
                self.worker.forget_connections()
            self.worker.scripts[request] = case.script
            got = await call(node.address, target, request, case.method,
                             b"u" * case.upload, case.deadline_ms)
            has_run = request in self.worker.ran
            is_wanted = is_reused == (request in self.worker.reused)
            if has_run and is_wanted or not has_run and got.status != 503:
                return request, got
        return request, before


async def play(fleet, cases, counts):
    services = fleet.services[:NODES]
    fleet.store.put("op", "config", configuration(services))
    await fleet.start()
    await asyncio.sleep(0.3)
    await await_start(fleet, services)
    await asyncio.gather(*(Lane(fleet, index, counts).play(cases[index::NODES])
                           for index in range(NODES)))


def parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("group", choices=GROUPS)
    parser.add_argument("--case", default="",
                        help="play only cases whose names contain this")
    parser.add_argument("--program", default="build/bin/teaselhitch")
    parser.add_argument("--network", type=int, default=NETWORK,
                        help="addresses are 127.1.NETWORK.*; runs at the same "
                             "time need different ones")
    return parser.parse_args()


def main():
    options = parse()
    folder = tempfile.mkdtemp(prefix="answers-")
    fleet = Fleet(folder, [os.path.join(ROOT, options.program), "node"], BOUNDS,
                  NODES, options.network)
    fleet.workers = [ScriptedWorker(fleet, node) for node in fleet.nodes]
    cases = [case for case in GROUPS[options.group]()
             if options.case in case.name]
    counts = {"played": 0, "reused": 0}

    async def run():
        try:
            await play(fleet, cases, counts)
        finally:
            await fleet.stop()

    asyncio.run(run())
    if (counts["played"], counts["reused"]) != (4 * len(cases), 2 * len(cases)) \
            or not cases:
        fleet.fail(f"{counts} requests of {len(cases)} cases were sent")
    print(f"{options.group}: {len(cases)} cases, {counts['played']} requests, "
          f"{counts['reused']} on reused connections, "
          f"{len(fleet.failures)} failures")
    for text in fleet.failures[:MAX_SHOWN]:
        print(text)
    if fleet.failures:
        print(f"logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()
