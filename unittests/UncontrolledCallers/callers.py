#!/usr/bin/env python3
"""Sends one pattern of uncontrolled callers to a node of a small fleet of real
processes, with lowered limits, and checks that no process ends, that each stays
within the memory and descriptors of its instance, and that one ordinary request
is answered while the crowd stays connected.

Exits with 1 if a check fails; the folder with the logs is then kept.
"""

import argparse
import asyncio
import json
import os
import shutil
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "Soak"))
# pylint: disable=wrong-import-position
from fleet import PORTS, ROOT, Fleet, message, read_message

MB = 1000 * 1000
MIB = 1024 * 1024
BOUNDS = {"ContactMs": 3000, "GraceS": 6}
HOST = "uncontrolled.test"
NETWORK = 77
DEADLINE_MS = 20000
START_TIMEOUT_S = 30
ANSWER_TIMEOUT_S = 25
# The crowd has settled when no connection made progress for this long.
SETTLED_S = 3
MAX_SETTLE_S = 60
# Descriptors that an instance reserves for files.
FILE_DESCRIPTORS = 200


class Instance:
    """What the test says that each instance has."""

    def __init__(self, memory_mb, max_body_bytes, max_connections):
        self.memory_mb = memory_mb
        self.max_body_bytes = max_body_bytes
        self.max_connections = max_connections

    @property
    def memory_bytes(self):
        return self.memory_mb * MB

    @property
    def descriptors(self):
        return self.max_connections + FILE_DESCRIPTORS


# The smallest instance, with bodies of the largest size.
SMALLEST = Instance(160, 64 * MIB, 24)
# The same proportion: two largest bodies and about 27 MB for the program.
LOWERED = Instance(96, 32 * MIB, 24)


def request_head(number, service, headers):
    lines = [f"POST /{service}/x HTTP/1.1", f"Host: {HOST}",
             f"Request-Id: crowd-{number}", f"Deadline-Ms: {DEADLINE_MS}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def sized(number, service, size, block, missing):
    """A body with Content-Length, in blocks, without its last bytes."""
    yield request_head(number, service, {"Content-Length": size})
    left, data = size - missing, b"b" * block
    while left:
        part = data[:min(left, block)]
        left -= len(part)
        yield part


def chunked(number, service, size, chunk, is_whole):
    """A chunked body; one that is not whole lacks its last chunk."""
    yield request_head(number, service, {"Transfer-Encoding": "chunked"})
    encoded = f"{chunk:x}\r\n".encode() + b"c" * chunk + b"\r\n"
    group = max(1, 64 * 1024 // len(encoded))
    count = size // chunk
    while count:
        part = min(group, count)
        yield encoded * part
        count -= part
    if is_whole:
        yield b"0\r\n\r\n"


def trailers(number, service, size, is_one_line):
    """A short chunked body with trailers that do not end."""
    yield request_head(number, service, {"Transfer-Encoding": "chunked"})
    yield b"1\r\nt\r\n0\r\n"
    if is_one_line:
        yield b"Trailer-Long: "
    line = 0
    for _ in range(size // (64 * 1024)):
        if is_one_line:
            yield b"v" * 64 * 1024
            continue
        lines = []
        for _ in range(64):
            line += 1
            lines.append(f"Trailer-{line}: ".encode().ljust(1022, b"v") + b"\r\n")
        yield b"".join(lines)


def crowd_of(pattern, instance):
    """Returns the connections of a pattern, as iterators over what they send.
    They alternate between the service of the node and that of the other one.
    Three quarters of the connections that stop do so just before the end."""
    count, size = 12, instance.max_body_bytes

    def service(n):
        return f"s{n % 2}"

    def is_whole(n):
        return n % 4 == 3

    if pattern == "trailers":
        return [trailers(n, service(n), 64 * MIB, n % 2 == 0) for n in range(4)]
    if pattern == "whole":
        return [sized(n, service(n), size, size, 0) for n in range(count)]
    if pattern == "pieces":
        return [sized(n, service(n), size, 64 * 1024, 0) for n in range(count)]
    if pattern == "stalled":
        return [sized(n, service(n), size, 256 * 1024, 0 if is_whole(n) else 1)
                for n in range(count)]
    if pattern == "large-chunks":
        return [chunked(n, service(n), size, MIB, is_whole(n))
                for n in range(count)]
    if pattern == "small-chunks":
        return [chunked(n, service(n), size, 32, is_whole(n))
                for n in range(count)]
    if pattern == "connections":
        # More connections than the node accepts.
        return [sized(n, service(n), 1000, 1000, 1)
                for n in range(instance.max_connections + 8)]
    raise ValueError(pattern)


class Crowd:
    def __init__(self, address, parts):
        self.address, self.parts = address, parts
        self.progress, self.writers, self.ended = 0, [], 0

    async def connect_and_send(self, parts):
        try:
            reader, writer = await asyncio.open_connection(
                self.address, PORTS["Outbound"])
        except OSError:
            return
        self.writers.append(writer)
        answer = asyncio.create_task(reader.read())
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
                self.progress += 1
            # The connection stays open until the node closes it.
            await answer
        except OSError:
            pass
        finally:
            answer.cancel()
            self.ended += 1

    async def send(self):
        """Returns when the crowd makes no more progress."""
        tasks = [asyncio.create_task(self.connect_and_send(parts))
                 for parts in self.parts]
        before, calm = None, 0
        for _ in range(MAX_SETTLE_S * 10):
            await asyncio.sleep(0.1)
            now = (self.progress, self.ended)
            calm = calm + 1 if now == before else 0
            before = now
            if calm >= SETTLED_S * 10:
                break
        return tasks


class Watch:
    """The highest number of descriptors of a process."""

    def __init__(self, node):
        self.node, self.descriptors, self.resident = node, 0, 0

    async def run(self):
        while True:
            self.look()
            await asyncio.sleep(0.05)

    def look(self):
        folder = f"/proc/{self.node.process.pid}"
        try:
            self.descriptors = max(self.descriptors,
                                   len(os.listdir(folder + "/fd")))
            with open(folder + "/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        self.resident = max(self.resident,
                                            int(line.split()[1]) * 1024)
        except OSError:
            pass  # The process has ended, which the fleet reports.


def configuration(services, instance):
    rules = [{"Name": f"r{service}", "Kind": "unsafe", "SloMs": 5000,
              "Priority": 1, "Match": {"Prefix": f"/{service}/"},
              "Action": {"Service": service, "TimeoutMs": DEADLINE_MS,
                         "Attempts": 1}} for service in services]
    return json.dumps({
        "Version": "r1",
        "Limits": {"MaxHeaderBytes": 16384,
                   "MaxBodyBytes": instance.max_body_bytes,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Listeners": [{"Host": HOST, "Rules": rules}],
        "Clusters": [{"Name": s, "HealthPath": "/health", "MaxConns": 330}
                     for s in services]}).encode()


def accepts(command, text, folder):
    path = os.path.join(folder, "check.toml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    return subprocess.run(command + ["--settings", path, "--check"], cwd=ROOT,
                          capture_output=True, check=False).returncode == 0


def lower_limits(fleet, instance, folder):
    """Puts the limits of the instance into the settings. The memory is stated
    only to a program that knows the setting."""
    given = "max_caller_connections = 3000\n"
    if given not in fleet.template:
        raise ValueError(f"the template does not have {given}")
    limited = f"max_caller_connections = {instance.max_connections}\n"
    fleet.template = fleet.template.replace(given, limited)
    with_memory = fleet.template.replace(
        limited, limited + f"memory_mb = {instance.memory_mb}\n")
    sample = "\n".join([
        "[node]", 'fleet = "f"', 'name = "n"', 'failure_domain = "d"',
        "[listen]"] + [f'{name} = "127.0.0.1:{port}"' for port, name in
                       enumerate(("callers", "backend_servers", "operators",
                                  "peers"), 8400)] + [
        "[peers]", 'secret = "sixteen characters"', "[platform]",
        'address = "127.0.0.1:8404"', "[limits]"]) + "\n"
    if not accepts(fleet.command, sample, folder):
        raise ValueError("the sample settings are not accepted")
    if accepts(fleet.command, sample + f"memory_mb = {instance.memory_mb}\n",
               folder):
        fleet.template = with_memory
        return True
    return False


async def ask(address, request, service, body=b""):
    """Sends one request and returns its status, or the kind of failure."""
    async def exchange():
        reader, writer = await asyncio.open_connection(address,
                                                       PORTS["Outbound"])
        try:
            writer.write(message(f"POST /{service}/x HTTP/1.1", {
                "Host": HOST, "Request-Id": request,
                "Deadline-Ms": DEADLINE_MS}, body))
            line, _, _ = await read_message(reader)
            return int(line.split(" ")[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), ANSWER_TIMEOUT_S)
    except (OSError, ValueError, asyncio.IncompleteReadError,
            asyncio.TimeoutError) as error:
        return type(error).__name__


async def await_start(fleet):
    """Waits until the first node serves both services."""
    for number in range(START_TIMEOUT_S * 5):
        statuses = [await ask(fleet.nodes[0].address, f"start-{number}-{s}", s)
                    for s in ("s0", "s1")]
        if statuses == [200, 200]:
            return
        await asyncio.sleep(0.2)
    fleet.fail("no request was served before the crowd came")


async def play(fleet, pattern, instance, watches):
    fleet.store.put("op", "config",
                    configuration(fleet.services[:2], instance))
    await fleet.start()
    await asyncio.sleep(0.3)
    tasks = [asyncio.create_task(watch.run()) for watch in watches]
    await await_start(fleet)
    first = fleet.nodes[0].address
    crowd = None
    if pattern == "one-body":
        status = await ask(first, "one-body", "s1",
                           b"o" * instance.max_body_bytes)
        if status != 200:
            fleet.fail(f"the body of the largest size got {status}")
    else:
        crowd = Crowd(first, crowd_of(pattern, instance))
        tasks += await crowd.send()
        print(f"crowd: {len(crowd.parts)} connections, {crowd.ended} ended")
    for watch in watches:
        watch.look()
    status = await ask(first, "ordinary", "s0", b"ordinary")
    if status != 200:
        fleet.fail(f"the ordinary request got {status}")
    for watch in watches:
        watch.look()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for writer in crowd.writers if crowd else []:
        writer.transport.abort()


def check(fleet, instance, watches):
    for watch in watches:
        print(f"{watch.node.name}: {watch.resident / MB:.1f} MB resident at most, "
              f"{watch.descriptors} descriptors at most; bounds "
              f"{instance.memory_mb} MB, {instance.descriptors}")
        if watch.resident > instance.memory_bytes:
            fleet.fail(f"{watch.node.name} exceeded its memory")
        if watch.descriptors > instance.descriptors:
            fleet.fail(f"{watch.node.name} exceeded its descriptors")
        if not watch.resident:
            fleet.fail(f"{watch.node.name} was not measured")


def parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("pattern", choices=[
        "trailers", "whole", "pieces", "stalled", "large-chunks",
        "small-chunks", "connections", "one-body"])
    parser.add_argument("--program", default="build/bin/teaselhitch")
    parser.add_argument("--network", type=int, default=NETWORK,
                        help="addresses are 127.1.NETWORK.*; runs at the same "
                             "time need different ones")
    return parser.parse_args()


def main():
    options = parse()
    folder = tempfile.mkdtemp(prefix="callers-")
    instance = SMALLEST if options.pattern == "one-body" else LOWERED
    fleet = Fleet(folder, [os.path.join(ROOT, options.program), "node"], BOUNDS,
                  2, options.network)
    has_setting = lower_limits(fleet, instance, folder)
    watches = [Watch(node) for node in fleet.nodes]

    async def run():
        try:
            await play(fleet, options.pattern, instance, watches)
        finally:
            await fleet.stop()

    asyncio.run(run())
    check(fleet, instance, watches)
    print(f"{options.pattern}: {len(fleet.failures)} failures, limits.memory_mb "
          f"is {'set' if has_setting else 'unknown to the program'}")
    for text in fleet.failures:
        print(text)
    if fleet.failures:
        print(f"logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()
