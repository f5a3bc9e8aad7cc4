"""Real node processes on loopback addresses, with stand-ins for the platform's
store and for backend servers."""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import time
import tomllib
from urllib.parse import parse_qsl, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.5
STORE_DELAY_S = 0.004
WORK_S = 0.02
# Part of the requests that take longer, and for how long.
SLOW_SHARE = 0.1
SLOW_WORK_S = 1.5
SLOTS = 10
PORTS = {"Inbound": 8300, "Outbound": 8304, "Ready": 8302, "Control": 8306}
WORKER_PORT = 8301


def address_of(network, index):
    return f"127.1.{network}.{index}"


async def read_message(reader):
    """Reads a message with a Content-Length. Returns its first line, its
    headers by lower-case name, and its body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server that can end as a process ends."""

    def __init__(self):
        self.server, self.open = None, set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                await self.handle(*await read_message(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows with versions, reads of ranges and feeds."""

    def __init__(self):
        super().__init__()
        self.rows, self.version, self.calls = {}, 0, {}
        self.changed = asyncio.Event()
        # When each row was written and what it was before, for restore().
        self.history, self.era, self.is_available = [], 1, True
        # Calls get no answer.
        self.is_silent = False

    def put(self, table, key, value):
        self.version += 1
        self._set((table, key), base64.b64encode(value).decode())
        self._notify()

    def _set(self, identity, value):
        self.history.append((time.monotonic(), identity, self.rows.get(identity)))
        self.rows[identity] = (value, self.version)

    def set_available(self, is_available):
        """Without availability, calls get 503 and watches are cut."""
        self.is_available = is_available
        if not is_available:
            for writer in list(self.open):
                writer.transport.abort()

    def restore(self, seconds):
        """Goes back to the state of `seconds` ago, in a new era. Versions that
        were assigned since are assigned again."""
        moment = time.monotonic() - seconds
        while self.history and self.history[-1][0] > moment:
            _, identity, before = self.history.pop()
            if before is None:
                del self.rows[identity]
            else:
                self.rows[identity] = before
        self.version = max((version for _, version in self.rows.values()), default=0)
        self.era += 1
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, first_line, headers, body, writer):
        method, target, _ = first_line.split(" ")
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        self.calls[url.path] = self.calls.get(url.path, 0) + 1
        await asyncio.sleep(STORE_DELAY_S)
        while self.is_silent:
            await asyncio.sleep(1)
        status, answer = 404, {}
        if not self.is_available:
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
                              "Store-Era": self.era},
                             json.dumps(answer).encode()))

    def _row(self, identity):
        value, version = self.rows[identity]
        row = {"TableName": identity[0], "part": "", "Key": identity[1],
               "RowVersion": version}
        row.update({"Deleted": True} if value is None else {"Value": value})
        return row

    def _transact(self, call):
        for entry in call.get("IfRev", []):
            value, version = self.rows.get((entry["TableName"], entry["Key"]),
                                           (None, 0))
            if (version if value is not None else 0) != entry["RowVersion"]:
                return 412, {"Rows": []}
        self.version += 1
        for entry in call.get("Puts", []):
            self._set((entry["TableName"], entry["Key"]), entry["Value"])
        for entry in call.get("Remove", []):
            self._set((entry["TableName"], entry["Key"]), None)
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


class Worker(Server):
    """A backend server beside a node. Records the requests that it runs."""

    def __init__(self, fleet, node):
        super().__init__()
        self.fleet, self.node, self.service = fleet, node, node.service
        self.name, self.sequence, self.running = f"i-{node.index}", 0, 0
        self.port = WORKER_PORT
        self.born = int(time.time() * 1000)
        # The start time of the run that the node has acknowledged to depart.
        self.departed, self.departed_at = None, 0
        # The node process that acknowledged it, and whether the store is known
        # to have the departure, also for the next process.
        self.departed_boot, self.is_kept = 0, False

    async def leave(self):
        """Departs. Returns whether the node has acknowledged it."""
        born, boot = self.born, self.node.boot
        try:
            reader, writer = await asyncio.open_connection(
                self.node.address, PORTS["Control"])
            try:
                writer.write(message(f"POST /Instances.Leave/{self.name} HTTP/1.1",
                                     {"Host": "node", "Connection": "close"}))
                line, _, _ = await asyncio.wait_for(read_message(reader), 2)
            finally:
                writer.close()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            return False
        if line.split(" ")[1] != "200":
            return False
        self.departed, self.departed_at = born, time.monotonic()
        self.departed_boot, self.is_kept = boot, False
        return True

    def begin_run(self):
        """Starts again as a new process under the same name."""
        self.born, self.sequence, self.departed = int(time.time() * 1000), 0, None

    async def start(self):
        await self.listen(self.node.address, self.port)
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.sequence += 1
            try:
                await asyncio.wait_for(self._check_in(self.announcement()), 1)
            except (OSError, ValueError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                pass
            await asyncio.sleep(HEARTBEAT_S)

    def announcement(self):
        return {"Address": f"{self.node.address}:{self.port}",
                "born": self.born,
                "Info": {"Service": self.service, "Version": "v1",
                         "Zone": self.node.zone, "Slots": SLOTS},
                "Status": {"State": "ready", "Seq": self.sequence,
                           "ColdLeftMs": 0}}

    async def _check_in(self, body):
        reader, writer = await asyncio.open_connection(
            self.node.address, PORTS["Control"])
        try:
            writer.write(message(f"POST /Instances.Heartbeat/{self.name} HTTP/1.1",
                                 {"Host": "node", "Connection": "close"},
                                 json.dumps(body).encode()))
            await read_message(reader)
        finally:
            writer.close()

    async def handle(self, first_line, headers, body, writer):
        request = headers.get("request-id", "")
        echo = {"Request-Id": request}
        if headers.get("expect-instance") != self.name:
            writer.write(message("HTTP/1.1 421 X", echo))
            return
        if self.running >= SLOTS:
            writer.write(message("HTTP/1.1 503 X", {**echo, "Not-Executed": "1"}))
            return
        self.fleet.on_run(request, self)
        self.running += 1
        await asyncio.sleep(float(headers.get(
            "soak-seconds", SLOW_WORK_S if headers.get("soak-slow") else WORK_S)))
        self.running -= 1
        writer.write(message("HTTP/1.1 200 OK", {
            **echo, "Server-Seal": f"seal.{request}",
            "Server-Load": f"{self.running},0,{SLOTS}"},
            f"{self.service} {request}".encode() +
            b" " * int(headers.get("soak-bytes", 0))))


def configuration(services, host, timeout_ms, attempts):
    """Routes the path prefix /NAME/ of `host` to each service, as unsafe requests."""
    rules = [{"Name": s, "Kind": "unsafe", "SloMs": timeout_ms, "Priority": 1,
              "Match": {"Prefix": f"/{s}/"},
              "Action": {"Service": s, "TimeoutMs": timeout_ms, "Attempts": attempts}}
             for s in services]
    return json.dumps({
        "Version": "r1",
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Listeners": [{"Host": host, "Rules": rules}],
        "Clusters": [{"Name": s, "HealthPath": "/health", "MaxConns": 330}
                     for s in services]}).encode()


def render(template, fields):
    """Fills in a template: `{{a}}` and sections `{{#a}}..{{/a}}`."""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m.group(2) if fields.get(m.group(1)) else "",
                  template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(fields.get(m.group(1), "")), text)


class Node:
    """A node process, started again after it has ended."""

    def __init__(self, fleet, index, service, zone):
        self.fleet, self.index, self.service, self.zone = fleet, index, service, zone
        self.name, self.address = f"node-{index}", address_of(fleet.network, index)
        self.process, self.keeper, self.boot = None, None, 0
        self.is_stopping, self.is_expected = False, False
        # When SIGTERM was sent to a calm process, unless another signal was.
        self.stopped_at = None
        self.restart_delay_s = 0.3
        # End of the latest disturbance of this node; infinite during one.
        self.calm_since = float("inf")
        self.faults = []
        self.cuts = None

    async def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".cuts")
        self.cuts = open(path, "w+b", buffering=0)
        self.cuts.write(bytes(256))
        self.keeper = asyncio.create_task(self._keep())

    async def _keep(self):
        fields = {"NodeName": self.name, "Zone": self.zone, "Region": "r",
                  "Service": self.service,
                  "Platform.Address": f"127.0.0.1:{self.fleet.store_port}"}
        fields.update({f"Listen.{name}": f"{self.address}:{port}"
                       for name, port in PORTS.items()})
        fields.update({f"Bounds.{name}": value
                       for name, value in self.fleet.bounds.items()})
        base = os.path.join(self.fleet.folder, self.name)
        with open(base + ".toml", "w", encoding="utf-8") as file:
            file.write(render(self.fleet.template, fields))
        env = {"PATH": os.environ["PATH"], "TEASELHITCH_CONFIG": base + ".toml",
               "SOAK_ADDRESS": self.address, "SOAK_CUTS": base + ".cuts",
               "SOAK_SINK": str(self.fleet.sink_port)}
        while not self.is_stopping:
            with open(base + ".log", "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *self.fleet.command, cwd=ROOT, stdout=log, stderr=log, env=env)
            self.boot += 1
            self.is_expected, self.stopped_at = False, None
            self.calm_since = time.monotonic()
            code = await self.process.wait()
            self.calm_since = float("inf")
            if not self.is_stopping:
                if not self.is_expected:
                    self.fleet.fail(f"{self.name} ended by itself with {code}")
                await asyncio.sleep(self.restart_delay_s)

    def cut(self, index, is_cut):
        """Cuts or restores the path to the node with this index."""
        self.cuts.seek(index)
        self.cuts.write(bytes([is_cut]))

    def send(self, number):
        """Sends a signal that disturbs or ends the process."""
        if self.process and self.process.returncode is None:
            is_calm = time.monotonic() - self.calm_since >= \
                self.fleet.bounds["ContactMs"] / 1000
            if number != signal.SIGTERM:
                self.stopped_at = None
            elif is_calm:
                self.stopped_at = time.monotonic()
            self.calm_since = float("inf")
            self.is_expected = self.is_expected or number != signal.SIGSTOP
            self.process.send_signal(number)

    def resume(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            if not self.is_expected:
                self.calm_since = time.monotonic()

    async def stop(self):
        self.is_stopping = True
        if self.process and self.process.returncode is None:
            self.process.kill()
        await self.keeper
        self.cuts.close()


class Fleet:
    """The store, the nodes and their backend servers."""

    def __init__(self, folder, command, bounds, count, network):
        self.folder, self.command = folder, command
        self.bounds, self.network, self.store = bounds, network, Store()
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.services = ["s0", "s1", "s2"]
        self.nodes = [Node(self, i + 1, self.services[i % 3], "zabc"[1 + i % 3])
                      for i in range(count)]
        self.workers = [Worker(self, node) for node in self.nodes]
        self.on_run = lambda request, worker: None
        self.failures = []

    def fail(self, text):
        self.failures.append(f"{time.monotonic() - self.started:8.3f} {text}")

    async def start(self):
        self.started = time.monotonic()
        self.store_port = await self.store.listen("127.0.0.1", 0)
        # A listener whose queue is full drops further attempts to connect.
        self.sink = socket.socket()
        self.sink.bind(("127.0.0.1", 0))
        self.sink.listen(0)
        self.sink_port = self.sink.getsockname()[1]
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.sink_port))
            self.fillers.append(filler)
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            await node.start()

    async def stop(self):
        await asyncio.gather(*(node.stop() for node in self.nodes))
        for worker in self.workers:
            worker.beats.cancel()
            worker.stop()
        self.store.stop()
        for each in self.fillers + [self.sink]:
            each.close()
