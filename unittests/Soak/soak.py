#!/usr/bin/env python3
"""Runs a fleet of real node processes on the real clock, with disturbances and
changes of the configuration from a seed, and checks what callers see.

Machines that were disturbed themselves within ContactMs are not judged.
Exits with 1 if a rule was broken; the folder with the logs is then kept.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from fleet import PORTS, ROOT, SLOW_SHARE, Fleet, message, read_message

# Bounds of the deployments: up to 32 nodes, and above.
SMALL = {"ContactMs": 3000, "GraceS": 6, "ConfigApplyMs": 2000,
         "RollbackSlackMs": 250, "RetryRatio": 0.2, "BudgetWindowS": 10,
         "RetrySlack": 58}
GROWN = {**SMALL, "ConfigApplyMs": 2500, "RetrySlack": 214}
MAX_SMALL = 32
HOST = "soak.example"
TIMEOUT_MS = 2500
CALM_START_S = 8
# A route is removed this many versions after the one that added it.
ROUTE_LIFE = 3
FAULTS = ("kill", "stop", "freeze", "cut", "restore")
# After this time a departed backend server gets no new requests.
DRAIN_S = 3
# A node notices a restore and writes its rows again within this time: it checks
# each 2 s, and each call may take 1 s.
REWRITE_S = 5


class Versions:
    """The published configurations and which of them may be in force."""

    def __init__(self, services):
        self.services, self.times = services, [0.0]

    def routes(self, number):
        """Returns the service of each path prefix in version `number`."""
        found = {"/base/": self.services[0],
                 "/move/": self.services[number % len(self.services)]}
        for added in range(max(1, number - ROUTE_LIFE + 1), number + 1):
            found[f"/add{added}/"] = self.services[added % len(self.services)]
        return found

    def body(self, number):
        rules = [{"Name": f"r{prefix.strip('/')}", "Kind": "unsafe", "SloMs": 1000,
                  "Priority": 1, "Match": {"Prefix": prefix},
                  "Action": {"Service": service, "TimeoutMs": TIMEOUT_MS,
                             "Attempts": 3}}
                 for prefix, service in self.routes(number).items()]
        return json.dumps({
            "Version": f"r{number}",
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Listeners": [{"Host": HOST, "Rules": rules}],
            "Clusters": [{"Name": s, "HealthPath": "/health", "MaxConns": 330}
                         for s in self.services]}).encode()

    def confirm_again(self, since):
        """Versions published after `since` were lost or not seen everywhere, and
        have been written again now."""
        now = time.monotonic()
        self.times = [now if moment > since else moment for moment in self.times]

    def newest(self):
        return len(self.times) - 1

    def newest_before(self, moment):
        """Returns the newest version that was confirmed before `moment`."""
        number = self.newest()
        while number > 0 and self.times[number] >= moment:
            number -= 1
        return number

    def matching(self, first, last, prefix, outcome):
        """Returns the versions that allow `outcome`: a service or None."""
        return [n for n in range(max(first, 1), last + 1)
                if self.routes(n).get(prefix) == outcome]


class Soak:
    def __init__(self, fleet, options):
        self.fleet, self.options = fleet, options
        self.random = random.Random(options.seed)
        self.versions = Versions(fleet.services)
        self.runs, self.seen = {}, {}
        self.counts = {"requests": 0, "judged": 0, "served": 0, "faults": 0,
                       "restores": 0, "departures": 0}
        self.groups = {"base": [0, 0], "added": [0, 0]}
        self.busy, self.is_restoring = True, False
        fleet.on_run = self.on_run

    def on_run(self, request, worker):
        self.runs.setdefault(request, []).append(worker.name)
        # A departure is lost if the store loses it and the process ends before
        # it has written it again.
        is_known = worker.is_kept or worker.node.boot == worker.departed_boot
        if worker.departed and is_known and \
                time.monotonic() - worker.departed_at > DRAIN_S:
            self.fleet.fail(f"DEPARTED {worker.name} got {request} "
                            f"{time.monotonic() - worker.departed_at:.3f} s after "
                            "its departure was acknowledged")
        if len(self.runs[request]) > 1:
            self.fleet.fail(f"TWICE {request} ran on {self.runs[request]}")

    def publish(self):
        number = self.versions.newest() + 1
        self.fleet.store.put("op", "config", self.versions.body(number))
        self.versions.times.append(time.monotonic())

    async def change(self):
        """Publishes in series of different density."""
        while self.busy:
            storm = self.random.random() < 0.3
            for _ in range(self.random.randint(3, 12) if storm else 1):
                # Without an available store no write is confirmed.
                while not self.fleet.store.is_available:
                    await asyncio.sleep(0.05)
                self.publish()
                await asyncio.sleep(self.random.uniform(0.1, 0.5) if storm else 0)
            await asyncio.sleep(self.random.uniform(0.5, 5))

    async def disturb(self):
        while self.busy:
            kind = self.random.choice(self.options.faults)
            if kind == "restore":
                if not self.is_restoring:
                    self.counts["faults"] += 1
                    asyncio.create_task(self.restore())
                await asyncio.sleep(self.random.uniform(0.2, 2))
                continue
            total = len(self.fleet.nodes)
            # Cuts are dense, since a node has many paths to the others.
            count = self.random.randint(1, total // 2) if kind == "cut" else \
                min(1 + int(self.random.expovariate(1)), total)
            for node in self.random.sample(self.fleet.nodes, count):
                self.counts["faults"] += 1
                asyncio.create_task(self.apply(kind, node))
            await asyncio.sleep(self.random.uniform(0.2, 2))

    async def apply(self, kind, node):
        length = self.random.uniform(0.5, 8)
        if kind == "kill":
            node.restart_delay_s = self.random.uniform(0.1, 3)
            node.send(signal.SIGKILL)
        elif kind == "stop":
            node.send(signal.SIGTERM)
        elif kind == "freeze":
            node.send(signal.SIGSTOP)
            await asyncio.sleep(length)
            node.resume()
        elif kind == "cut":
            others = [o.index for o in self.fleet.nodes if o is not node]
            targets = self.random.sample(others, max(1, int(len(others) * 0.3)))
            for index in targets:
                node.cut(index, True)
            await asyncio.sleep(length)
            for index in targets:
                node.cut(index, False)

    async def restore(self):
        """Restores the store from a copy from before a departure and before the
        newest configuration. The node of the departed server is killed when it
        has had time to write the departure again; the next process gets late
        check-ins of the server."""
        self.is_restoring = True
        store, worker = self.fleet.store, self.random.choice(self.fleet.workers)
        lost = self.random.uniform(0.5, 6)
        left = await worker.leave()
        self.publish()
        await asyncio.sleep(min(lost, self.random.uniform(0, lost)))
        store.set_available(False)
        # Versions from before had time to be in force everywhere.
        since = time.monotonic() - self.fleet.bounds["ConfigApplyMs"] / 1000
        await asyncio.sleep(self.random.uniform(0, 1.5))
        store.restore(lost)
        store.set_available(True)
        self.counts["restores"] += 1
        rows = store.rows
        boot, restored = worker.node.boot, time.monotonic()
        await asyncio.sleep(self.random.uniform(0, 1))
        store.put("op", "config", self.versions.body(self.versions.newest()))
        self.versions.confirm_again(since)
        await asyncio.sleep(REWRITE_S - (time.monotonic() - restored))
        # A process that was disturbed meanwhile may not have written its rows.
        if worker.node.boot == boot and worker.node.calm_since < restored:
            for table, is_due in (("nodes", True), ("departures", left)):
                row = rows.get((table, worker.node.name))
                if is_due and (row is None or row[0] is None):
                    self.fleet.fail(f"ROW of {worker.node.name} in {table} is not "
                                    f"back {REWRITE_S} s after a restore")
            self.counts["departures"] += left
            worker.is_kept = left
            worker.node.send(signal.SIGKILL)
            await asyncio.sleep(self.random.uniform(1, 5))
        else:
            worker.departed = None
        worker.begin_run()
        self.is_restoring = False

    def choose_prefix(self):
        number = self.versions.newest()
        draw = self.random.random()
        if draw < 0.25:
            return "/base/"
        if draw < 0.5:
            return "/move/"
        return f"/add{max(1, number - self.random.randint(0, ROUTE_LIFE + 2))}/"

    async def call(self, node):
        """Sends requests on a connection that is kept until the node ends it."""
        connection = []
        try:
            await self.send_requests(node, connection)
        finally:
            for writer in connection:
                writer.close()

    async def send_requests(self, node, connection):
        reader = writer = None
        number = 0
        while self.busy:
            await asyncio.sleep(self.random.uniform(0, 2) / self.options.rate)
            number += 1
            request, prefix = f"{node.index}-{number}", self.choose_prefix()
            sent, boot, calm = time.monotonic(), node.boot, node.calm_since
            try:
                if writer is None:
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(node.address, PORTS["Outbound"]), 1)
                    connection[:] = [writer]
                sent = time.monotonic()
                slow = {"Soak-Slow": 1} if self.random.random() < SLOW_SHARE else {}
                writer.write(message(f"POST {prefix}x HTTP/1.1", {
                    "Host": HOST, "Request-Id": request,
                    "Deadline-Ms": TIMEOUT_MS, **slow}))
                line, headers, body = await asyncio.wait_for(
                    read_message(reader), TIMEOUT_MS / 1000 + 1)
            except (OSError, ValueError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                if writer:
                    writer.close()
                reader = writer = None
                self.check_lost(node, request, boot)
                continue
            if headers.get("connection", "").lower() == "close":
                writer.close()
                reader = writer = None
            self.counts["requests"] += 1
            is_in_touch = (node.boot == boot and node.calm_since == calm and
                           sent - calm >= self.fleet.bounds["ContactMs"] / 1000)
            self.judge(node, request, prefix, sent, int(line.split(" ")[1]),
                       body.decode(), is_in_touch)

    def check_lost(self, node, request, boot):
        """A planned stop must not cut a request that was passed on. The work
        and the deadline end well before the grace time does."""
        if request in self.runs and node.stopped_at and node.boot == boot:
            self.fleet.fail(f"LOST {request} at {node.name}, which was stopped "
                            f"{time.monotonic() - node.stopped_at:.3f} s before")

    def judge(self, node, request, prefix, sent, status, body, is_in_touch):
        if status in (408, 421, 429, 503) and request in self.runs:
            self.fleet.fail(f"REFUSED {request} at {node.name}: {status}, has run")
        if status == 200 and body.split(" ")[-1] != request:
            self.fleet.fail(f"MIXED {request} at {node.name} got {body}")
        self.count_service(prefix, sent, status, is_in_touch)
        if status not in (200, 404):
            return
        outcome = body.split(" ")[0] if status == 200 else None
        slack = self.fleet.bounds["RollbackSlackMs"] / 1000
        newest = self.versions.newest()
        seen = [version for version, moment
                in self.seen.get((node.name, node.boot), {}).items()
                if moment + slack < sent]
        if seen and not self.versions.matching(max(seen), newest, prefix, outcome):
            self.fail_config("older again", node, prefix, outcome, sent, max(seen))
        first = self.versions.newest_before(
            sent - self.fleet.bounds["ConfigApplyMs"] / 1000)
        matching = self.versions.matching(first, newest, prefix, outcome)
        if is_in_touch:
            self.counts["judged"] += 1
            if not matching:
                self.fail_config("not in force", node, prefix, outcome, sent, first)
        if outcome:
            # A run shows the effect of the oldest version that allows it.
            possible = self.versions.matching(1, newest, prefix, outcome)
            if possible:
                self.seen.setdefault((node.name, node.boot), {}).setdefault(
                    possible[0], time.monotonic())

    def fail_config(self, kind, node, prefix, outcome, sent, version):
        age = sent - self.versions.times[version] if version else 0
        self.fleet.fail(f"CONFIG {kind} at {node.name}: {prefix} gave {outcome}, "
                        f"version {version} confirmed {age:.3f} s before")

    def count_service(self, prefix, sent, status, is_in_touch):
        """Compares routes that were added with those that were always there."""
        self.counts["served"] += status == 200
        if not is_in_touch:
            return
        first = self.versions.newest_before(
            sent - self.fleet.bounds["ConfigApplyMs"] / 1000)
        if prefix == "/base/":
            group = self.groups["base"]
        elif all(prefix in self.versions.routes(n)
                 for n in range(max(first, 1), self.versions.newest() + 1)):
            group = self.groups["added"]
        else:
            return
        group[0] += 1
        group[1] += status == 200

    def check_service(self):
        base, added = self.groups["base"], self.groups["added"]
        if added[0] >= 20 and base[0] and \
                added[1] / added[0] < base[1] / base[0] / 4:
            self.fleet.fail(f"CONFIG added routes are served {added}, "
                            f"the first ones {base}")

    async def run(self):
        self.publish()
        await self.fleet.start()
        tasks = [asyncio.create_task(self.call(node)) for node in self.fleet.nodes]
        await asyncio.sleep(CALM_START_S)
        if not self.counts["served"]:
            self.fleet.fail("no request was served before the disturbances")
        tasks += [asyncio.create_task(self.change()),
                  asyncio.create_task(self.disturb())]
        await asyncio.sleep(self.options.seconds)
        self.busy = False
        done, waiting = await asyncio.wait(tasks, timeout=10)
        for task in waiting:
            task.cancel()
        for task in done:
            task.result()
        self.check_service()


def burn():
    while True:
        pass


def parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=27)
    parser.add_argument("--seconds", type=float, default=40,
                        help="time with disturbances")
    parser.add_argument("--rate", type=float, default=4,
                        help="requests a second at each node")
    parser.add_argument("--busy", type=int, default=0,
                        help="processes that only use the processor")
    parser.add_argument("--faults", default=",".join(FAULTS),
                        help="kinds of disturbance, separated by commas")
    parser.add_argument("--network", type=int, default=0,
                        help="addresses are 127.1.NETWORK.*; runs at the same "
                             "time need different ones")
    parser.add_argument("--program", default="build/bin/SoakNode",
                        help="paths are cut only with the program SoakNode")
    options = parser.parse_args()
    options.faults = options.faults.split(",")
    if not set(options.faults) <= set(FAULTS):
        parser.error(f"--faults: expected some of {', '.join(FAULTS)}")
    return options


def main():
    options = parse()
    folder = tempfile.mkdtemp(prefix="soak-")
    bounds = SMALL if options.nodes <= MAX_SMALL else GROWN
    command = [os.path.join(ROOT, options.program), "node"]
    fleet = Fleet(folder, command, bounds, options.nodes, options.network)
    soak = Soak(fleet, options)
    burners = [multiprocessing.Process(target=burn, daemon=True)
               for _ in range(options.busy)]
    for each in burners:
        each.start()

    async def run():
        try:
            await soak.run()
        finally:
            await fleet.stop()

    try:
        asyncio.run(run())
    finally:
        for each in burners:
            each.kill()
    print(f"seed {options.seed}, {options.nodes} nodes, {options.busy} busy: "
          f"{soak.counts}, {soak.versions.newest()} versions, "
          f"store calls {fleet.store.calls}, {len(fleet.failures)} failures")
    for text in fleet.failures[:40]:
        print(text)
    if fleet.failures:
        print(f"logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()
