"""Loopback stand-ins for the platform, its store, servers and clients.

They follow the users' pages PROTOCOL.md and DEPLOY.md. Each case of the review
starts the front nodes as processes with the command of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HEARTBEAT_S = 1.2
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ENGINE, APP = "huvo11a", "wuno96b"
MODEL = "daka510000"
PAGE = 500


def deploy_command():
    """The run line of the deploy file; it uses no shell."""
    with open(os.path.join(ROOT, "deploy", "system.toml"),
              encoding="utf-8") as file:
        for line in file:
            if line.startswith("run = "):
                words = line.split("=", 1)[1].strip().strip('"').split()
                return [os.path.join(ROOT, words[0])] + words[1:]
    raise SystemExit(2)


async def read_message(reader):
    """Returns (start line, headers, body) or None if the peer has closed."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError, ValueError):
        return None


def response(status, fields, body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (f"HTTP/1.1 {status} Any\r\n{head}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects, conditional writes, lists and watches."""

    def __init__(self, address):
        self.address, self.revision = address, 1
        self.objects, self.events, self.era = {}, [], 1
        self.busy = set()
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision,
                             "finalizers": [], "deleting": False},
                "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.announce(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self.announce(kind, item, True)

    def announce(self, kind, item, deleted):
        self.events.append((self.revision, kind,
                            {"object": json.loads(json.dumps(item)),
                             "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """What a copy of the store holds: its revision and its objects."""
        return self.revision, json.loads(json.dumps(
            [[list(key), item] for key, item in self.objects.items()]))

    async def serve(self, reader, writer):
        self.busy.add(asyncio.current_task())
        try:
            message = await read_message(reader)
            if message:
                await asyncio.sleep(0.004)
                status, body = await self.handle(message)
                writer.write(response(status, {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era)},
                    json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.busy.discard(asyncio.current_task())
            writer.close()

    async def handle(self, message):
        method, target, _ = message[0].split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&")
                      if "=" in part)
        kind, _, name = path.split("/objects/", 1)[1].partition("/")
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "GET" and "watch" in fields:
            if int(fields["watch"]) > self.revision:
                return 410, {}
            return 200, await self.watch(kind, int(fields["watch"]),
                                         int(fields.get("wait_ms", 0)) / 1000)
        if method == "GET":
            items = [item for (other, key), item in sorted(
                self.objects.items())
                if other == kind and key > fields.get("after", "")]
            return 200, {"items": items[:PAGE],
                         "has_more": len(items) > PAGE,
                         "as_of": self.revision}
        body = json.loads(message[2] or b"{}")
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        known = self.objects.get((kind, name))
        if method == "POST":
            return (409, known) if known else (
                201, self.put(kind, name, body["spec"]))
        if not known:
            return 404, {}
        revision = metadata.get("revision", fields.get("revision"))
        if revision is not None and int(revision) != (
                known["metadata"]["revision"]):
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        return 200, self.put(kind, name, body["spec"])

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            changed = self.changed
            events = [event for revision, other, event in self.events
                      if other == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A sound backend server. Subclasses decide how a request is run."""

    def __init__(self, world, service, address, domain=None):
        self.world, self.service, self.address = world, service, address
        self.domain, self.group = domain, None
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.born, self.reports = int(time.time() * 1000), 0
        self.staged, self.state, self.orders = [], "ready", 0

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, *self.address, limit=1 << 20)
        self.write_entry()

    def write_entry(self):
        self.reports += 1
        entry = {"service": self.service,
                 "address": f"{self.address[0]}:{self.address[1]}",
                 "zone": "amman-a", "version": "v1", "slots": 26,
                 "state": self.state, "cold_remaining_ms": 0,
                 "stage": "both", "models": [], "seq_no": self.reports,
                 "born": self.born}
        if self.domain:
            entry.update(domain=self.domain, staged=list(self.staged),
                         group=self.group and {
                             key: self.group[key]
                             for key in ("name", "epoch", "rank", "state")})
        self.world.store.put("servers", self.id, entry)

    async def serve(self, reader, writer):
        try:
            message = await read_message(reader)
            if message:
                await self.answer(message, writer, reader)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, message, writer, reader):
        line, headers, body = message
        method, target, _ = line.split(" ")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(response(421, {"Instance-Id": self.id}))
        elif target == "/fulmarwinch/report":
            writer.write(response(200, {"Content-Type": "application/json"},
                                  b'{"stage":"both","models":[],"busy":false,'
                                  b'"seq_no":%d}' % self.orders))
        elif target == "/fulmarwinch/order":
            writer.write(response(self.order(json.loads(body)), {}))
        elif target == "/health":
            writer.write(response(200, {"Instance-Id": self.id}))
        else:
            await self.run(headers, method, target, body, writer)

    def order(self, order):
        op, self.orders = order.get("op"), self.orders + 1
        if op == "stage":
            self.staged = [order["model"]]
            self.write_entry()
            return 202
        group = self.group
        if op == "join":
            if group and order["epoch"] < group["epoch"]:
                return 412
            self.group = {"name": order["group"], "epoch": order["epoch"],
                          "rank": order["members"].index(self.id),
                          "state": "joining"}
            self.staged = [order["model"]]
            self.write_entry()
            self.later(0.2, self.group, "ready")
            return 202
        if not group or (order["group"], order["epoch"]) != (
                group["name"], group["epoch"]):
            return 200 if op == "leave" else 409
        if op == "leave":
            self.group = None
            self.write_entry()
        elif op == "open":
            if group["state"] not in ("ready", "open"):
                return 409
            self.later(0.3, group, "open")
        elif op == "close":
            self.later(0.0, group, "ready")
        return 202

    def later(self, delay, group, state):
        def change():
            if self.group is group:
                group["state"] = state
                self.write_entry()
        asyncio.get_running_loop().call_later(delay, change)

    def fields(self, headers):
        return {"Request-Id": headers.get("request-id", ""),
                "Response-Signature": f"{self.id}.01"}

    async def run(self, headers, method, target, body, writer):
        """Runs an engine's stream or an application's short answer."""
        self.world.ran(headers.get("request-id", ""), self, target)
        if self.domain is None:
            await asyncio.sleep(0.02)
            self.world.finished(headers.get("request-id", ""), self, 200)
            if method == "HEAD":
                writer.write(response(200, self.fields(headers), b"x" * 80)
                             [:-80])
                return
            writer.write(response(200, self.fields(headers), b"x" * 80))
            return
        await self.stream(headers, writer)

    async def stream(self, headers, writer, ids=range(1, 5)):
        fields = self.fields(headers)
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        after = int(headers.get("last-event-id", 0))
        for number in ids:
            if number <= after:
                continue
            await asyncio.sleep(0.01)
            event = f"id: {number}\ndata: piece {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.world.finished(headers.get("request-id", ""), self, 200)


class Node:
    """One front node as a process; the platform starts it again if it ends."""

    def __init__(self, world, index):
        self.world, self.index = world, index
        self.name = f"front-amman-{'abc'[index % 3]}-{index + 1}"
        self.ip = world.ip(10 + index)
        self.process, self.starts = None, 0
        self.log = os.path.join(world.folder, f"{self.name}.log")
        self.file = os.path.join(world.folder, f"{self.name}.conf")

    def write_settings(self, **changes):
        fields = {
            "node": self.name, "role": "node", "machine_class": "front",
            "serves": "front", "ip": self.ip,
            "zone": f"amman-{'abc'[self.index % 3]}", "region": "amman",
            "listen.front": f"{self.ip}:{self.world.port}",
            "listen.ready_address": f"{self.ip}:{self.world.port + 1}",
            "port_range": f"{self.world.port + 10},{self.world.port + 25}",
            "bootstrap": "true", "limits.cpu_share": 0.25, "limits.cores": 1,
            "limits.memory_mb": 260, "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0, "discovery": "platform",
            "entry": "vip", "heartbeat_ms": 1200,
            "fault_tolerance.machines": 2, "fault_tolerance.zones": 1,
            "bounds.contact_ms": 3000, "bounds.drain_ms": 2000,
            "bounds.grace_s": 8, "bounds.config_ms": 2000,
            "bounds.stall_ms": 5000, "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_window_s": 10, "bounds.budget_slack": 130,
            "platform.address": "{}:{}".format(*self.world.store.address),
            "platform.form": "objects", "platform.history_s": 20}
        fields.update(changes)
        with open(self.file, "w", encoding="ascii") as file:
            file.write("".join(f"{k}={v}\n" for k, v in fields.items()))

    def start(self):
        self.starts += 1
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["FULMARWINCH_NODE_FILE"] = self.file
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                deploy_command(), stdout=log, stderr=log, cwd=ROOT,
                env=environment)

    def resident_mb(self):
        """Resident memory, or 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    """Addresses, temporary folder and record of one run."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8")
        self.begin = time.monotonic()
        self.prefix, self.port = self.free_addresses()
        self.store = Store((self.ip(2), self.port + 3))
        self.servers, self.nodes = [], []
        self.runs, self.request_count = {}, 0

    @staticmethod
    def free_addresses():
        """A loopback prefix and a port from which 30 are free on it."""
        for _ in range(100):
            prefix = (f"127.{random.randrange(1, 250)}."
                      f"{random.randrange(1, 250)}")
            port = random.randrange(20000, 30000)
            try:
                for last in (2, 10, 11, 12):
                    for number in (port, port + 1, port + 3, port + 10, 9464):
                        with socket.socket() as probe:
                            probe.bind((f"{prefix}.{last}", number))
                return prefix, port
            except OSError:
                continue
        raise SystemExit(2)

    def ip(self, last):
        return f"{self.prefix}.{last}"

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text):
        self.record.write(f"{self.now():8.3f} s  {text}\n")
        self.record.flush()

    def new_id(self):
        self.request_count += 1
        return f"{self.request_count:016x}"

    def ran(self, request_id, server, target):
        self.runs.setdefault(request_id, []).append(server.id)
        if self.request_count < 3000:
            self.note(f"server {server.id} runs {request_id} {target}")

    def finished(self, request_id, server, status):
        if self.request_count < 3000:
            self.note(f"server {server.id} ends {request_id}: {status}")

    def configuration(self):
        routes = [
            ("explain", "streaming", ENGINE, 300, 8000, 2),
            ("payout", "non_idempotent", APP, 300, 3000, 1),
            ("price", "idempotent", APP, 300, 3000, 2)]
        return {
            "version": 7,
            "routes": [{
                "name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/",
                "kind": kind, "service": service, "slo_ms": aim,
                "timeout_ms": timeout, "priority": 1,
                "max_attempts": attempts, "public": False,
                "sticky_sessions": kind == "streaming",
                "resumable": kind == "streaming", "gap_aim_ms": 300}
                for name, kind, service, aim, timeout, attempts in routes],
            "services": [
                {"name": ENGINE, "health_path": "/health", "max_conns": 374,
                 "cold_start_s": 0.0, "cold_per_s": 0.0,
                 "engine": {
                     "slots": 26, "kv_capacity_tokens": 1590000, "stride": 7,
                     "models": [{"name": MODEL, "size": 2, "share": 1.0,
                                 "pace": 1.0, "load_s": 16.0, "warm_s": 1.6}],
                     "step_ms": 5.95, "per_seq_ms": 0.0445,
                     "context_per_k": 0.00813, "read_per_s": 50700.0,
                     "pairs_per_m": 0.368, "chunk": 2048,
                     "report_lag_ms": 200.0, "loads_per_s": 4.5,
                     "loads_at_once": 6, "keeps": 1, "far_x": 3.0,
                     "form_ms": 300.0}},
                {"name": APP, "health_path": "/health", "max_conns": 48,
                 "cold_start_s": 0.0, "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}

    async def start(self, nodes=3, engines=4, apps=3, server=Server):
        await self.store.start()
        self.store.put("config", "main", self.configuration())
        for index in range(engines):
            self.servers.append(server(self, ENGINE,
                                       (self.ip(40 + index), 8120), "d1"))
        for index in range(apps):
            self.servers.append(server(self, APP, (self.ip(80 + index), 8120)))
        for each in self.servers:
            await each.start()
        for index in range(nodes):
            self.nodes.append(Node(self, index))
            self.nodes[-1].write_settings()
            self.nodes[-1].start()
        for node in self.nodes:
            for route in ("explain", "price"):
                if not await self.is_served(node, route, 20):
                    self.note(f"{node.name} doesn't serve {route}")
                    return False
        self.note("all nodes serve")
        return True

    async def is_served(self, node, route, seconds):
        """True once a request of the route is served by the node."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _ = await self.request(node, route)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def message(self, route, request_id, method="POST", fields=(), body=b"{}"):
        names = {"Host": HOST, "Request-Id": request_id,
                 "Deadline-Ms": "8000" if route == "explain" else "3000",
                 "Credential": KEY}
        if route == "explain":
            names.update({"Model": MODEL, "Token-Counts": "1460,80",
                          "Prompt-Prefix": f"5c1e07a2:800,{request_id}:660"})
        names.update(fields)
        head = "".join(f"{k}: {v}\r\n" for k, v in names.items())
        return (f"{method} /{route}/2f HTTP/1.1\r\n{head}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def request(self, node, route, timeout=9.0, **more):
        """Sends one request on a connection of its own."""
        request_id = self.new_id()
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(node.ip, self.port), 1.0)
        except (OSError, asyncio.TimeoutError):
            return 0, request_id
        try:
            writer.write(self.message(route, request_id, **more))
            answer = await asyncio.wait_for(read_message(reader), timeout)
            return (int(answer[0].split(" ")[1]) if answer else 0), request_id
        except (ConnectionError, asyncio.TimeoutError):
            return 0, request_id
        finally:
            writer.close()

    def end(self):
        for node in self.nodes:
            node.kill()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case, seconds=115):
    """Runs `case(world)` and exits with what it returns: 0, 1 or 2."""
    async def play():
        # Connections that are still served when the run ends are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), seconds)
        except asyncio.TimeoutError:
            world.note("the case took too long")
            return 2
        except OSError as error:
            world.note(f"the case couldn't run: {error}")
            return 2
        finally:
            world.end()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = asyncio.run(play())
    print({0: "the rule held", 1: "the rule was broken",
           2: "the case couldn't run"}[code])
    sys.exit(code)
