"""Stand-ins for the platform, the servers and the clients of the cases 11 to 15.

They follow the users' pages. Everything runs on loopback addresses with free
ports and a temporary folder. The front node is started with the command of
deploy/system.toml.
"""

import asyncio
import collections
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
# Address of the stand-ins. Each node has one of its own, since all of them use
# the port for metrics that the deploy file names.
NETWORK = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
IP = f"{NETWORK}.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
HISTORY_S = 20.0
VALUE_BYTES = 1048576
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be set up, so it shows nothing."""


def to_json(value):
    return json.dumps(value, separators=(",", ":"))


def now():
    return time.monotonic()


USED_PORTS = set()


def free_ports(count):
    """Returns ports that are free for TCP and UDP, below those that the system
    gives to outgoing connections."""
    ports = []
    for port in random.sample(range(20000, 32000), 12000):
        if len(ports) == count:
            return ports
        if port in USED_PORTS:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((IP, port))
                udp.bind((IP, port))
            except OSError:
                continue
        USED_PORTS.add(port)
        ports.append(port)
    raise CannotRun("no free ports")


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = now()

    def write(self, text):
        self.file.write(f"{now() - self.start:8.3f} s  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_message(reader):
    """Returns (start line, headers in lower case, body, is whole), or None if
    the connection ends before the head does."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body, whole = b"", True
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        elif lines[0].startswith("HTTP/"):
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        whole = False
    return lines[0], headers, body, whole


def message(start_line, headers, body=b""):
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (f"{start_line}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
            ).encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        # (time, revision, kind, event as JSON text)
        self.history = collections.deque()
        self.dropped = 0
        self.changed = asyncio.Event()
        self.largest_answer = 0

    async def start(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, IP, port,
                                                 limit=1 << 23)

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        item = {"metadata": {
            "name": name, "revision": self.revision,
            "create_rev": known["metadata"]["create_rev"] if known
            else self.revision, "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.announce(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            item = json.loads(to_json(item))
            item["metadata"]["revision"] = self.revision
            self.announce(kind, item, True)

    def announce(self, kind, item, deleted):
        text = to_json({"object": item, "deleted": deleted})
        self.history.append((now(), self.revision, kind, text))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def forget(self):
        while self.history and self.history[0][0] < now() - HISTORY_S:
            self.dropped = self.history.popleft()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if not request:
                    break
                await asyncio.sleep(0.004)
                status, text = await self.handle(request)
                body = text.encode()
                self.largest_answer = max(self.largest_answer, len(body))
                writer.write(message(
                    f"HTTP/1.1 {status} Any",
                    [("Content-Type", "application/json"),
                     ("Store-Era", "1")], body))
                await writer.drain()
                if request[1].get("connection", "").lower() == "close":
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, request):
        method, target, _ = request[0].split(" ")
        path, _, query = target.partition("?")
        parameters = dict(part.partition("=")[::2] for part in query.split("&"))
        kind, _, name = path.partition("/objects/")[2].partition("/")
        name = name.partition("/")[0]
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, to_json(item)) if item else (404, "{}")
        if method == "GET" and "watch" in parameters:
            return await self.watch(kind, int(parameters["watch"]),
                                    int(parameters.get("wait_ms", 0)) / 1000)
        if method == "GET":
            items = [item for (other, each), item in sorted(
                self.objects.items(), key=lambda entry: entry[0])
                if other == kind and each > parameters.get("after", "")]
            page, size = [], 0
            for item in items:
                size += len(to_json(item))
                if page and (len(page) == 500 or size > VALUE_BYTES):
                    break
                page.append(item)
            return 200, to_json({"items": page,
                                    "has_more": len(page) < len(items),
                                    "as_of": self.revision})
        body = json.loads(request[2] or b"{}")
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        known = self.objects.get((kind, name))
        if method == "POST":
            return (409, to_json(known)) if known else (
                201, to_json(self.put(kind, name, body["spec"])))
        if not known:
            return 404, "{}"
        revision = metadata.get("revision", parameters.get("revision"))
        if revision is not None and int(revision) != known["metadata"][
                "revision"]:
            return 409, to_json(known)
        if method == "DELETE":
            self.delete(kind, name)
            return 200, to_json(known)
        return 200, to_json(self.put(kind, name, body["spec"]))

    async def watch(self, kind, since, wait):
        end = now() + wait
        while True:
            self.forget()
            if since < self.dropped:
                return 410, "{}"
            events = [text for _, revision, other, text in self.history
                      if other == kind and revision > since]
            if events or now() >= end:
                return 200, ('{"events":[' + ",".join(events) +
                             f'],"as_of":{self.revision}}}')
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass


class Server:
    """A server without groups. `arrivals` holds what it has run."""

    count = 0

    def __init__(self, world, service, slots, work_s=0.03):
        Server.count += 1
        self.world, self.service, self.slots = world, service, slots
        self.id = f"i-{Server.count:010x}"
        self.work_s, self.in_trouble = work_s, None
        self.connections = set()

    async def start(self, port):
        self.port = port
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, IP, port)
        self.world.store.put("servers", self.id, {
            "service": self.service, "address": f"{IP}:{port}", "zone": "a",
            "version": "v1", "slots": self.slots, "born": self.born,
            "cold_remaining_ms": 0, "seq_no": 1, "state": "ready"})

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            request = await read_message(reader)
            if request and request[3]:
                await self.answer(request, writer)
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        start_line, headers, _, _ = request
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 [("Instance-Id", self.id)]))
            return
        if start_line.startswith("GET /fulmarwinch/report "):
            writer.write(message("HTTP/1.1 200 OK", [
                ("Content-Type", "application/json")], b"{}"))
            return
        request_id = headers.get("request-id", "")
        if self.in_trouble:
            self.world.ran(request_id, self, headers, "answers in trouble")
            await self.in_trouble(writer)
            return
        self.world.ran(request_id, self, headers, "runs it")
        await asyncio.sleep(self.work_s)
        writer.write(message("HTTP/1.1 200 OK", [
            ("Request-Id", request_id),
            ("Response-Signature", f"{self.id}.{request_id}"),
            ("Content-Type", "text/plain")], b"answer to " +
            request_id.encode() + b"." * 780))
        await writer.drain()


class Front:
    """One front node, started with the command of the deploy file."""

    count = 0

    def __init__(self, world, name, zone="a", memory_mb=260):
        self.world, self.name, self.memory_mb = world, name, memory_mb
        Front.count += 1
        self.ip = f"{NETWORK}.{10 + Front.count}"
        ports = free_ports(4)
        self.port, self.ready_port, self.control_port, self.peer_port = ports
        self.settings = os.path.join(world.folder, name + ".conf")
        with open(self.settings, "w", encoding="ascii") as file:
            file.write(f"""node={name}
role=node
machine_class=front
serves=front
ip={self.ip}
zone={zone}
region=r
zones.a=r
zones.b=r
zones.c=r
listen.front={self.ip}:{self.port}
listen.ready_address={self.ip}:{self.ready_port}
port_range={self.peer_port},{self.peer_port}
seeds=
bootstrap=true
counts_as_loss=false
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb={memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.revert_ms=250
bounds.outer_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=130
bounds.cold_overage=1.5
bounds.cold_slack=5
bounds.evac_ms=5000
bounds.recover_s=12
bounds.stall_ms=5000
bounds.fencing_enforced=false
platform.address={IP}:{world.store.port}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes={VALUE_BYTES}
""")

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as file:
            command = shlex.split(re.search(r'^run = "(.*)"$', file.read(),
                                            re.MULTILINE).group(1))
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        self.log = open(os.path.join(self.world.folder, self.name + ".log"),
                        "ab")
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FULMARWINCH_NODE_FILE"] = self.settings
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=self.log,
                                        stderr=self.log, env=environment)
        self.world.processes.append(self.process)
        self.world.record.write(f"{self.name}: process started with "
                                f"'{' '.join(command)}'")

    def signal(self, number):
        self.world.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def has_ended(self):
        return self.process.poll() is not None

    def memory_now_mb(self):
        """Resident memory of the process; 0 once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
        except OSError:
            return 0.0
        return int(found.group(1)) / 1024 if found else 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip,
                                                           self.ready_port)
            writer.write(b"GET /fulmarwinch/ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self):
        end = now() + 15.0
        while not await self.is_ready():
            if now() > end or self.has_ended():
                with open(self.log.name, encoding="utf-8") as file:
                    self.world.record.write(file.read()[-2000:])
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)
        self.world.record.write(f"{self.name}: ready")


class World:
    """All stand-ins and processes of one case."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.store = Store()
        self.sent = 0
        # Request id -> [(server id, headers as received)]
        self.runs = collections.defaultdict(list)

    async def start_store(self):
        await self.store.start(free_ports(1)[0])

    async def start_servers(self, service, count, slots, work_s=0.03):
        servers = []
        for port in free_ports(count):
            servers.append(Server(self, service, slots, work_s))
            await servers[-1].start(port)
        return servers

    def ran(self, request_id, server, headers, what):
        self.runs[request_id].append((server.id, headers))
        self.record.write(f"{request_id} at server {server.id}: {what}")

    async def ask(self, front, host, path, method="GET", headers=(),
                  deadline_ms=3000, body=b""):
        """Sends one request on a new connection. Returns the id of the request
        and (status, headers, body, is whole), or None for no answer."""
        self.sent += 1
        request_id = f"{self.sent:016x}"
        self.record.write(f"{request_id} sent to {front.name}: {method} "
                          f"{host}{path}")
        answer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(front.ip, front.port), 1.0)
            try:
                writer.write(message(
                    f"{method} {path} HTTP/1.1",
                    [("Host", host), ("Request-Id", request_id),
                     ("Deadline-Ms", deadline_ms), *headers], body))
                found = await asyncio.wait_for(read_message(reader),
                                               deadline_ms / 1000 + 0.5)
                if found:
                    answer = (int(found[0].split(" ")[1]), found[1], found[2],
                              found[3])
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, ValueError):
            pass
        self.record.write(f"{request_id} answered: " + (
            f"{answer[0]}, {'whole' if answer[3] else 'broken off'}"
            if answer else "nothing"))
        return request_id, answer

    def stop_processes(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def stop(self):
        self.stop_processes()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run(case_folder, case):
    """Runs `case`, a coroutine function that returns BROKEN or HELD, and exits
    with its result."""
    world = World(case_folder)

    async def limited():
        # Connections that are still open when the case ends are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            return await asyncio.wait_for(case(world), 110)
        finally:
            world.stop_processes()
            for _ in range(5):
                others = asyncio.all_tasks() - {asyncio.current_task()}
                for task in others:
                    task.cancel()
                await asyncio.gather(*others, return_exceptions=True)
                await asyncio.sleep(0.02)

    result = NOT_RUN
    try:
        result = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        world.record.write(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
    finally:
        world.stop()
    print({BROKEN: "the rule was broken", HELD: "the rule held",
           NOT_RUN: "the case could not run"}[result])
    sys.exit(result)
