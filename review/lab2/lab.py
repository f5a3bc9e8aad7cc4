"""Real node processes on loopback addresses, with small stand-ins for the
platform's store, for workers and for consumers, written from the users' pages.
Used by the scripts of review/6 to review/10."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of sites/ventilo-armor.toml, as `fleetbench wire` shows them.
BOUNDS = {"ContactMs": 3000, "AckMs": 4000, "DrainMs": 2000, "GraceS": 6,
          "LossSlackMs": 200, "ConfigApplyMs": 2000, "RetryRatio": 0.2,
          "BudgetWindowS": 10, "RetrySlack": 58}
BEAT_S = 1.5
STORE_DELAY_S = 0.004


class CannotRun(Exception):
    """The case could not be set up; nothing is said about the rule."""


class Record:
    """Writes record.txt and keeps the start of the run as time 0."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


taken_ports = set()


def free_ports(count):
    """Free ports below the range from which connections get theirs."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        if port in taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken_ports.add(port)
        ports.append(port)
    return ports


async def read_message(reader):
    """Reads a message with a Content-Length, or without a body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers, await reader.readexactly(
        int(headers.get("content-length", 0)))


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{n}: {v}" for n, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    def __init__(self):
        self.server, self.open = None, set()

    async def listen(self, port=0):
        port = port or free_ports(1)[0]
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20)
        return self.server.sockets[0].getsockname()[1]

    def close(self):
        """Ends as a process does: the listener and all connections close."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                await self.handle(*await read_message(reader), reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's metadata store: rows, transactions and feeds."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows, self.version = {}, 0
        self.changed = asyncio.Event()
        # None, "down" (503) or "silent" (no answer).
        self.state = None
        self.era = 1

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copied):
        """Goes on from an older copy. Versions are given out again."""
        self.rows, self.version = dict(copied[0]), copied[1]
        self.era += 1
        for writer in list(self.open):
            writer.transport.abort()
        self._notify()

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (base64.b64encode(value).decode(), self.version)
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, first_line, headers, body, reader, writer):
        method, target, _ = first_line.split(" ")
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(STORE_DELAY_S)
        while self.state == "silent":
            await asyncio.sleep(0.1)
        status, answer = 404, {}
        if self.state == "down":
            status = 503
        elif (method, url.path) == ("POST", "/rows-tx"):
            status, answer = self._transact(json.loads(body))
        elif (method, url.path) == ("GET", "/rows-get"):
            status, answer = 200, self._range(query)
        elif (method, url.path) == ("GET", "/rows-feed"):
            status, answer = await self._feed(query)
        answer.update(RowVersion=self.version, NowMs=int(time.monotonic() * 1000))
        writer.write(message(f"HTTP/1.1 {status} X",
                             {"Content-Type": "application/json",
                              "Store-Era": self.era}, json.dumps(answer).encode()))

    def _row(self, identity):
        value, version = self.rows[identity]
        row = {"TableName": identity[0], "part": "", "Key": identity[1],
               "RowVersion": version}
        row.update({"Deleted": True} if value is None else {"Value": value})
        return row

    def _transact(self, call):
        for entry in call.get("IfRev", []):
            value, version = self.rows.get(
                (entry["TableName"], entry["Key"]), (None, 0))
            if (version if value is not None else 0) != entry["RowVersion"]:
                return 412, {"Rows": []}
        self.version += 1
        for entry in call.get("Puts", []):
            self.rows[(entry["TableName"], entry["Key"])] = \
                (entry["Value"], self.version)
        for entry in call.get("Remove", []):
            self.rows[(entry["TableName"], entry["Key"])] = (None, self.version)
        self._notify()
        return 200, {}

    def _range(self, query):
        first, end = query.get("From", ""), query.get("Target", "")
        limit = min(int(query.get("MaxItems", 500)), 500)
        found = sorted(i for i, (value, _) in self.rows.items()
                       if i[0] == query["TableName"] and value is not None
                       and i[1] >= first and (not end or i[1] < end))
        return {"Rows": [self._row(i) for i in found[:limit]],
                "HasMore": len(found) > limit}

    async def _feed(self, query):
        after = int(query["after"])
        if after > self.version:
            return 410, {}
        end = time.monotonic() + min(int(query["WaitMs"]), 30000) / 1000
        while True:
            found = sorted((version, i) for i, (_, version) in self.rows.items()
                           if i[0] == query["TableName"] and version > after)
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"Rows": [self._row(i) for _, i in found]}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker(HttpServer):
    """A sound worker beside a node. `begin` and `end` are called for each run.
    The consumer's headers Work-Ms and Answer-Bytes say how long it works and
    how much it answers."""

    def __init__(self, record, node, name, service, slots=3):
        super().__init__()
        self.record, self.node = record, node
        self.name, self.service, self.slots = name, service, slots
        self.port, self.running, self.queued = 0, 0, 0
        self.born, self.sequence, self.beats = 0, 0, None
        self.on_arrival = lambda request, headers: None
        self.on_end = lambda request, how: None
        self.is_up = False

    async def start(self):
        """A new boot under the same name and address."""
        self.port = await self.listen(self.port)
        self.born, self.sequence = int(time.time() * 1000), 0
        self.is_up = True
        self.record.write(f"worker {self.name} starts, born {self.born}")
        self.beats = asyncio.create_task(self._beat())

    def stop(self):
        if self.beats:
            self.beats.cancel()
        self.is_up = False
        self.close()

    def check_in_body(self, state="ready"):
        self.sequence += 1
        return {"Address": f"127.0.0.1:{self.port}", "born": self.born,
                "Info": {"Service": self.service, "Version": "v1",
                         "Zone": self.node.zone, "Slots": self.slots},
                "Status": {"State": state, "Seq": self.sequence,
                           "ColdLeftMs": 0}}

    async def call(self, path, body, timeout=1.0):
        """Returns the status, or 0 without an answer in time."""
        async def exchange():
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.node.ports["Control"])
            try:
                writer.write(message(f"POST {path}/{self.name} HTTP/1.1",
                                     {"Host": "node", "Connection": "close",
                                      "Content-Type": "application/json"},
                                     json.dumps(body).encode()))
                line, _, _ = await read_message(reader)
                return int(line.split(" ")[1])
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            return 0

    async def check_in(self, body):
        return await self.call("/Instances.Heartbeat", body)

    async def leave(self):
        status = await self.call("/Instances.Leave", {"born": self.born})
        self.record.write(f"worker {self.name} born {self.born} sends Leave: "
                          f"{status}")
        return status == 200

    async def _beat(self):
        while True:
            await self.check_in(self.check_in_body())
            await asyncio.sleep(BEAT_S)

    async def handle(self, first_line, headers, body, reader, writer):
        request = headers.get("request-id", "")
        echo = {"Request-Id": request}
        if first_line.startswith("GET /health"):
            writer.write(message("HTTP/1.1 200 OK", {"Instance-Id": self.name}))
            return
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 X", {"Instance-Id": self.name}))
            return
        if self.running >= self.slots:
            writer.write(message("HTTP/1.1 503 X", {**echo, "Not-Executed": "1"}))
            return
        self.on_arrival(request, headers)
        self.running += 1
        try:
            await asyncio.sleep(float(headers.get("work-ms", 50)) / 1000)
        finally:
            self.running -= 1
        if not self.is_up:
            self.on_end(request, "cut by the end of the worker")
            raise ConnectionError
        self.on_end(request, "done")
        text = f"{self.service} {request} ".encode()
        size = int(headers.get("answer-bytes", len(text)))
        writer.write(message("HTTP/1.1 200 OK", {
            **echo, "Server-Seal": f"seal.{request}",
            "Server-Load": f"{self.running},0,{self.slots}"},
            text + b"x" * max(0, size - len(text))))


def render(template, fields):
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m.group(2) if fields.get(m.group(1)) else "",
                  template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(fields.get(m.group(1), "")), text)


class Node:
    """A node, started with the command and template of the deploy file."""

    def __init__(self, lab, name, service, zone):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        names = ["Inbound", "Outbound", "Ready", "Control"]
        self.ports = dict(zip(names, free_ports(len(names))))
        self.process, self.starts = None, 0

    async def start(self):
        fields = {"NodeName": self.name, "Zone": self.zone, "Region": "r",
                  "Service": self.service, "Bootstrap": self.starts == 0,
                  "Platform.Address": f"127.0.0.1:{self.lab.store_port}",
                  "Limits.MemoryMb": 260}
        fields.update({f"Listen.{n}": f"127.0.0.1:{p}"
                       for n, p in self.ports.items()})
        fields.update({f"Bounds.{n}": v for n, v in BOUNDS.items()})
        base = os.path.join(self.lab.folder, self.name)
        with open(base + ".toml", "w", encoding="utf-8") as file:
            file.write(render(self.lab.template, fields))
        env = {"PATH": os.environ["PATH"], "TEASELHITCH_CONFIG": base + ".toml"}
        with open(base + ".log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.lab.command, cwd=ROOT, stdout=log, stderr=log, env=env)
        self.starts += 1
        self.lab.record.write(f"node {self.name} starts, pid {self.process.pid}")

    def send(self, number):
        self.lab.record.write(f"node {self.name} gets "
                              f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout):
        code = await asyncio.wait_for(self.process.wait(), timeout)
        self.lab.record.write(f"node {self.name} ended with {code}")
        return code

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["Ready"])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} does not get ready")
            await asyncio.sleep(0.05)


class Lab:
    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            role = dict(re.findall(r'^(run|template) = "(.*)"$', file.read(), re.M))
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.command = role["run"].split()
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(f"{self.command[0]} is not built")
        self.store = Store(self.record)
        self.store_port, self.nodes, self.workers = 0, [], []

    async def start(self, services, routes, limits=None):
        """`services`: of the nodes in turn. `routes`: (host, prefix, kind,
        service, timeout in ms)."""
        self.store_port = await self.store.listen()
        self.store.put("op", "config", json.dumps({
            "Version": "r7",
            "Limits": limits or {"MaxHeaderBytes": 16384,
                                 "MaxBodyBytes": 67108864,
                                 "HeaderTimeoutMs": 3000,
                                 "IdleTimeoutMs": 15000},
            "Listeners": [{"Host": host, "Rules": [{
                "Name": f"route-{n}", "Kind": kind, "SloMs": 1000, "Priority": 1,
                "Match": {"Prefix": prefix},
                "Action": {"Service": service, "TimeoutMs": timeout,
                           "Attempts": 2}}]}
                for n, (host, prefix, kind, service, timeout)
                in enumerate(routes)],
            "Clusters": [{"Name": s, "HealthPath": "/health", "MaxConns": 330}
                         for s in sorted(set(services))]}).encode())
        for n, service in enumerate(services):
            self.nodes.append(Node(self, f"n{n + 1}", service, f"z{n % 2 + 1}"))
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()

    async def stop(self):
        for worker in self.workers:
            worker.stop()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(self.folder):
                with open(os.path.join(self.folder, name), "rb") as source, \
                        open(os.path.join(keep, name), "wb") as copy:
                    copy.write(source.read())
        self.temporary.cleanup()


class Consumer:
    """A consumer on a node's machine. Each request uses a connection of its own
    or a kept one."""

    count = 0

    def __init__(self, record, node):
        self.record, self.node = record, node
        self.reader = self.writer = None

    @classmethod
    def new_id(cls):
        cls.count += 1
        return f"{os.getpid():08x}{cls.count:08x}"

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, method, host, path, deadline_ms, headers=None, body=b"",
                  request=None, quiet=False):
        """Returns the id and the status; 0 if the connection ended without a
        complete answer, -1 if the time was over, -2 if the connection was
        refused."""
        request = request or self.new_id()
        status, seal, length = 0, "", 0

        async def exchange():
            nonlocal status, seal, length
            if not self.writer:
                self.reader, self.writer = await asyncio.open_connection(
                    "127.0.0.1", self.node.ports["Outbound"], limit=1 << 20)
            self.writer.write(message(
                f"{method} {path} HTTP/1.1",
                {"Host": host, "Request-Id": request,
                 "Deadline-Ms": deadline_ms, **(headers or {})}, body))
            line, answer, data = await read_message(self.reader)
            status, seal = int(line.split(" ")[1]), answer.get("server-seal", "")
            length = len(data)
            if answer.get("connection", "").lower() == "close":
                self.close()

        started = self.record.now()
        try:
            await asyncio.wait_for(exchange(), deadline_ms / 1000)
        except asyncio.TimeoutError:
            status = -1
            self.close()
        except ConnectionRefusedError:
            status = -2
            self.close()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            status = 0
            self.close()
        if not quiet:
            self.record.write(
                f"consumer at {self.node.name}: {method} {path} {request}, sent "
                f"{started:.3f}: {status}, seal '{seal}', {length} bytes")
        return request, status


def run_case(main, folder):
    """Runs the coroutine main(lab), which returns a text if the rule was broken
    and None if it held."""
    async def run():
        lab = Lab(folder)
        lab.record.write(f"trouble: {'yes' if TROUBLE else 'no'}")
        try:
            return lab, await asyncio.wait_for(main(lab), 110)
        finally:
            await lab.stop()
    try:
        lab, broken = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    verdict = f"BROKEN: {broken}" if broken else "held"
    lab.record.write(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
