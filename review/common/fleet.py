"""Stand-ins for the users' platform, workers and consumers, and the start of a
small fleet of nodes.

A script of review/ starts its nodes with the command of deploy/system.toml and
with settings rendered from deploy/node.toml.template. All other parts run in
the process of the script: the platform's store, the workers and the consumers.
All addresses are loopback addresses with free ports.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.3
# The bounds of the site file ventilo-armor, as its settings give them.
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000,
    "SyncS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
    "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
    "RetryRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 58, "RecoveryS": 15,
    "ProbesPerS": 3, "FloorShare": 0.7,
}
MEMORY_MB = 260
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
          "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class CannotRun(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.line(f"TROUBLE={1 if TROUBLE else 0}")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


_used_ports = set()


def free_port():
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


# --- HTTP ---------------------------------------------------------------------


class Message:
    """A request or an answer. Header names are in lower case."""

    def __init__(self, first_line, headers, body):
        self.first_line, self.headers, self.body = first_line, headers, body

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader, has_body=True):
    """Reads one HTTP message. Raises ValueError for bytes that are none and
    IncompleteReadError at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.LimitOverrunError as error:
        raise ValueError("no end of the header") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if not line:
            continue
        name, separator, value = line.partition(":")
        if not separator:
            raise ValueError(f"no header line: {line!r}")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body and "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if size == 0:
                break
    elif has_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def answer_bytes(status, headers=None, body=b"", reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpService:
    """An HTTP server on a port of its own that can end as a process ends."""

    def __init__(self):
        self.port = free_port()
        self.server = None
        self.open = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20)

    def stop(self):
        """Closes the listener and resets all connections, as a crash does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if await self.handle(request, reader, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(HttpService):
    """The platform's store: rows with versions, reads of ranges and feeds."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version)
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        method, target, _ = request.first_line.split(" ")
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if (method, url.path) == ("POST", "/rows-tx"):
            status, body = self._transact(json.loads(request.body))
        elif (method, url.path) == ("GET", "/rows-get"):
            status, body = 200, self._range(query)
        elif (method, url.path) == ("GET", "/rows-feed"):
            status, body = 200, await self._feed(query)
        else:
            status, body = 404, {}
        body.update(RowVersion=self.version, NowMs=int(time.monotonic() * 1000))
        writer.write(answer_bytes(status, {"Content-Type": "application/json"},
                                  json.dumps(body).encode()))
        await writer.drain()

    def _row(self, identity):
        table, part, key = identity
        value, version = self.rows[identity]
        row = {"TableName": table, "part": part, "Key": key, "RowVersion": version}
        row.update({"Deleted": True} if value is None else {"Value": value})
        return row

    def _transact(self, call):
        def identity(entry):
            return entry["TableName"], entry.get("part", ""), entry["Key"]

        for entry in call.get("IfRev", []):
            value, version = self.rows.get(identity(entry), (None, 0))
            if (version if value is not None else 0) != entry["RowVersion"]:
                return 412, {"Rows": []}
        writes = call.get("Puts", []) + call.get("Remove", [])
        if any(entry["TableName"] in ("op", "servers") for entry in writes):
            return 403, {}
        self.version += 1
        for entry in call.get("Puts", []):
            self.rows[identity(entry)] = (entry["Value"], self.version)
        for entry in call.get("Remove", []):
            self.rows[identity(entry)] = (None, self.version)
        self._notify()
        return 200, {}

    def _range(self, query):
        first, end = query.get("From", ""), query.get("Target", "")
        limit = min(int(query.get("MaxItems", 500)), 500)
        found = sorted(
            i for i, (value, _) in self.rows.items()
            if i[0] == query["TableName"] and i[1] == query.get("part", "")
            and value is not None and i[2] >= first and (not end or i[2] < end))
        return {"Rows": [self._row(i) for i in found[:limit]],
                "HasMore": len(found) > limit}

    async def _feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query["WaitMs"]), 30000) / 1000
        while True:
            found = sorted((version, i) for i, (_, version) in self.rows.items()
                           if i[0] == query["TableName"] and version > after)
            left = end - time.monotonic()
            if found or left <= 0:
                return {"Rows": [self._row(i) for _, i in found]}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker(HttpService):
    """A worker beside a node. It sends check-ins and runs requests."""

    def __init__(self, fleet, node, name, service, slots=3):
        super().__init__()
        self.fleet, self.node, self.name, self.service = fleet, node, name, service
        self.slots, self.sequence, self.work_s = slots, 0, 0.05
        self.running = 0
        self.born = int(time.time() * 1000)
        self.beats = None
        self.state = "ready"
        self.run = self.run_sound

    async def start(self):
        await self.listen()
        self.beats = asyncio.create_task(self._beat())

    async def start_again(self, name):
        """Starts anew after a crash: a new boot with a new id."""
        self.name, self.sequence, self.running = name, 0, 0
        self.born = int(time.time() * 1000)
        await self.start()

    def crash(self):
        if self.beats:
            self.beats.cancel()
        self.stop()

    async def _beat(self):
        while True:
            await self.check_in()
            await asyncio.sleep(HEARTBEAT_S)

    def next_check_in(self):
        self.sequence += 1
        return {"Address": self.address, "born": self.born,
                "Info": {"Service": self.service, "Version": "v1",
                         "Zone": self.node.zone, "Slots": self.slots},
                "Status": {"State": self.state, "Seq": self.sequence,
                           "ColdLeftMs": 0}}

    async def check_in(self, body=None):
        """Sends a check-in. Returns true if it was acknowledged."""
        body = body or self.next_check_in()
        return await self._call(f"/Instances.Heartbeat/{self.name}", body)

    async def leave(self):
        return await self._call(f"/Instances.Leave/{self.name}", None)

    async def _call(self, target, body):
        data = b"" if body is None else json.dumps(body).encode()
        try:
            status = await asyncio.wait_for(
                post(self.node.ports["Control"], target, data), 1)
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            return False
        return 200 <= status < 300

    async def handle(self, request, reader, writer):
        method, target, _ = request.first_line.split(" ")
        expected = request.header("Expect-Instance")
        echo = {"Request-Id": request.header("Request-Id")}
        if expected and expected != self.name:
            writer.write(answer_bytes(421, {**echo, "Instance-Id": self.name}))
            return True
        if self.running >= self.slots:
            writer.write(answer_bytes(503, {**echo, "Not-Executed": "1"}))
            return True
        self.running += 1
        try:
            return await self.run(method, target, request, echo, writer)
        finally:
            self.running -= 1

    async def run_sound(self, method, target, request, echo, writer):
        self.fleet.record.line(
            f"run {echo['Request-Id']} {method} {target} at {self.name}")
        await asyncio.sleep(self.work_s)
        body = f"{self.name} answers {echo['Request-Id']}".encode()
        head = answer_bytes(200, {
            **echo, "Server-Seal": f"seal.{echo['Request-Id']}",
            "Server-Load": f"{self.running},0,{self.slots}"}, body)
        # An answer to HEAD ends with its header.
        writer.write(head[:-len(body)] if method == "HEAD" else head)
        await writer.drain()
        return True


async def post(port, target, body):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write((f"POST {target} HTTP/1.1\r\nHost: node\r\n"
                      "Content-Type: application/json\r\nConnection: close\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        answer = await read_message(reader)
        return int(answer.first_line.split(" ")[1])
    finally:
        writer.close()


# --- Nodes --------------------------------------------------------------------


class Node:
    """A process of the system, started as the deploy file says, and started
    again after it has ended."""

    def __init__(self, fleet, index, service, zone):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.name = f"sidecar-{zone}-{index}"
        self.ports = {name: free_port()
                      for name in ("Inbound", "Outbound", "Ready", "Control")}
        self.process = None
        self.keeper = None
        self.is_stopping = False
        self.started_at = 0.0
        self.ends = 0

    def fields(self):
        fields = {"NodeName": self.name, "Zone": self.zone, "Region": "bretagne",
                  "Service": self.service,
                  "Platform.Address": self.fleet.store.address}
        fields.update({f"Listen.{name}": f"127.0.0.1:{port}"
                       for name, port in self.ports.items()})
        fields.update({f"Bounds.{name}": value for name, value in BOUNDS.items()})
        return fields

    async def start(self):
        self.keeper = asyncio.create_task(self._keep())

    async def _keep(self):
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(self.fleet.template, self.fields()))
        while not self.is_stopping:
            with open(os.path.join(self.fleet.folder, self.name + ".log"), "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *self.fleet.command, cwd=ROOT, stdout=log, stderr=log,
                    env={"PATH": os.environ["PATH"], "TEASELHITCH_CONFIG": path})
            self.started_at = time.monotonic()
            if self.is_stopping:
                self.process.kill()
            code = await self.process.wait()
            if self.is_stopping:
                break
            self.ends += 1
            self.fleet.record.line(f"{self.name} ended with {code}")
            await asyncio.sleep(RESTART_DELAY_S)

    async def stop(self):
        self.is_stopping = True
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.keeper:
            await self.keeper

    def signal(self, number):
        self.fleet.record.line(f"{self.name} gets signal {number}")
        self.process.send_signal(number)

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
            return int(found.group(1)) / 1024 if found else 0.0
        except OSError:
            return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["Ready"])
            try:
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: node\r\n"
                             b"Connection: close\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                return answer.first_line.split(" ")[1] == "200"
            finally:
                writer.close()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            return False


def render(template, fields):
    """Fills in a template: `{{a}}` and sections `{{#a}}..{{/a}}`."""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m.group(2) if fields.get(m.group(1)) else "",
                  template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(fields.get(m.group(1), "")), text)


class Fleet:
    """The store, nodes and workers of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = Store()
        self.nodes, self.workers = [], []
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        self.command = role["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("the deploy file is not built")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()

    def add(self, service, zone="bzh-a", slots=3):
        node = Node(self, len(self.nodes) + 1, service, zone)
        worker = Worker(self, node, f"i-{len(self.nodes) + 1:04x}", service, slots)
        self.nodes.append(node)
        self.workers.append(worker)
        return node, worker

    def publish(self, number, routes):
        """Stores a desired state. A route has a host, a prefix, a service, a
        kind, a time-out and a number of attempts."""
        services = sorted({worker.service for worker in self.workers})
        listeners = [
            {"Host": r["host"], "Rules": [
                {"Name": f"r-{r['host'].split('.')[0]}", "Kind": r["kind"],
                 "SloMs": 1000, "Priority": 1, "Match": {"Prefix": r["prefix"]},
                 "Action": {"Service": r["service"],
                            "TimeoutMs": r.get("timeout_ms", 2500),
                            "Attempts": r.get("attempts", 2)}}]}
            for r in routes]
        state = {"Version": f"r{number}", "Limits": LIMITS, "Listeners": listeners,
                 "Clusters": [{"Name": s, "HealthPath": "/health", "MaxConns": 330,
                               "Protocol": "h1", "Tls": False} for s in services]}
        self.store.put("op", "config", json.dumps(state).encode())

    async def start(self):
        await self.store.listen()
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            await node.start()
        await self.wait_ready()

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes did not become ready")

    async def stop(self):
        await asyncio.gather(*(node.stop() for node in self.nodes))
        for worker in self.workers:
            worker.crash()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for name in os.listdir(self.folder):
                with open(os.path.join(self.folder, name), "rb") as source, \
                        open(os.path.join(keep, name), "wb") as copy:
                    copy.write(source.read())
        self.temporary.cleanup()


# --- Consumers ----------------------------------------------------------------


class Consumer:
    """A connection of a consumer to the node of its machine."""

    def __init__(self, node):
        self.node = node
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.node.ports["Outbound"]), 1)

    async def request(self, method, host, target, request_id, body=b"",
                      deadline_ms=2500):
        """Sends a request and returns its answer."""
        if not self.writer or self.writer.is_closing():
            await self.open()
        head = [f"{method} {target} HTTP/1.1", f"Host: {host}",
                f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}"]
        if body or method in ("POST", "PUT"):
            head.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        answer = await asyncio.wait_for(
            read_message(self.reader, has_body=method != "HEAD"),
            deadline_ms / 1000 + 1)
        if answer.header("Connection").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


def main(folder, case):
    """Runs a case, which returns true if the rule held."""
    async def run():
        fleet = Fleet(folder)
        try:
            held = await asyncio.wait_for(case(fleet), 110)
            fleet.record.line("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except Exception as error:  # a fault of the case itself shows nothing
            fleet.record.line(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await fleet.stop()

    try:
        sys.exit(asyncio.run(run()))
    except CannotRun as error:
        print(error, file=sys.stderr)
        sys.exit(NOT_RUN)
