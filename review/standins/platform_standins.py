"""Stand-ins for the users' platform on loopback: object store, network path
and front nodes as processes.

Only what PROTOCOL.md and DEPLOY.md describe is implemented.
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
# The command of deploy/system.toml, run in the root of the repository.
PROGRAM = "target/fulmarwinch-front"
METRICS_PORT = 9464
# First port of port_range; the same on all machines.
PEER_PORT = 17340
STORE_ANSWER_S = 0.004


def now():
    return asyncio.get_running_loop().time()


async def read_message(reader):
    """Returns (start line, header fields in lower case, body), or None if the
    connection ends before the message does."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        return lines[0], fields, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError):
        return None


def message(start_line, fields, body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{start_line}\r\n{head}Content-Length: {len(body)}\r\n\r\n" \
        .encode() + body


class Record:
    """Writes what happened to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.begun_at = None

    def write(self, *words):
        self.begun_at = now() if self.begun_at is None else self.begun_at
        print(f"{now() - self.begun_at:8.3f}", *words, file=self.file,
              flush=True)


class Store:
    """The platform's object store: one revision counter, linearizable."""

    def __init__(self):
        self.tasks = set()
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    def put(self, kind, name, spec):
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision},
                "spec": json.loads(json.dumps(spec)), "status": {}}
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
        self.events.append((self.revision, kind, {
            "object": json.loads(json.dumps(item)), "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        asyncio.current_task().add_done_callback(self.tasks.discard)
        try:
            while request := await read_message(reader):
                await asyncio.sleep(STORE_ANSWER_S)
                status, body = await self.handle(request)
                writer.write(message(f"HTTP/1.1 {status} Any",
                                     {"Content-Type": "application/json"},
                                     json.dumps(body).encode()))
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
        parameters = dict(part.split("=", 1) for part in query.split("&")
                          if "=" in part)
        kind, _, name = path.split("/objects/", 1)[1].partition("/")
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "GET" and "watch" in parameters:
            return 200, await self.watch(kind, int(parameters["watch"]),
                                         int(parameters["wait_ms"]) / 1000)
        if method == "GET":
            return 200, {"items": [
                item for (other, _), item in sorted(self.objects.items())
                if other == kind], "has_more": False, "as_of": self.revision}
        body = json.loads(request[2] or b"{}")
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        known = self.objects.get((kind, name))
        if method == "POST":
            return (409, known) if known else (
                201, self.put(kind, name, body["spec"]))
        if not known:
            return 404, {}
        if "revision" in metadata and (
                metadata["revision"] != known["metadata"]["revision"]):
            return 409, known
        return 200, self.put(kind, name, body["spec"])

    async def watch(self, kind, since, wait):
        end = now() + wait
        while True:
            events = [event for revision, other, event in self.events
                      if other == kind and revision > since]
            if events or now() >= end:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass


class Path:
    """Network path of one machine to the store. A cut holds the bytes of both
    directions up; they arrive when it ends, as TCP repeats them."""

    def __init__(self, store):
        self.store = store
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.on_request = None
        self.tasks = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    async def serve(self, reader, writer):
        # Without a reference the garbage collector may end the task.
        self.tasks.add(asyncio.current_task())
        asyncio.current_task().add_done_callback(self.tasks.discard)
        try:
            peer_reader, peer_writer = await asyncio.open_connection(
                *self.store.address)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, peer_writer, True),
                             self.copy(peer_reader, writer, False))

    async def copy(self, reader, writer, is_request):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                if is_request and self.on_request:
                    self.on_request(data)
                await writer.drain()
            await self.is_open.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.close()
        if not is_request:
            writer.close()

    async def cut_after_renewal(self, seconds):
        """Cuts the path just after the lease's renewal has been sent."""
        sent = asyncio.Event()

        def on_request(data):
            if data.startswith(b"PUT /fulmarwinch/objects/lease/"):
                self.is_open.clear()
                sent.set()

        self.on_request = on_request
        await sent.wait()
        self.on_request = None
        await asyncio.sleep(seconds)
        self.is_open.set()


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((ip, 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


def free_loopback_ip():
    """Returns a loopback address on which the fixed ports are free."""
    while True:
        ip = f"127.{random.randint(64, 200)}.{random.randint(0, 250)}." \
             f"{random.randint(1, 250)}"
        with socket.socket() as metrics, \
                socket.socket(type=socket.SOCK_DGRAM) as peers:
            try:
                metrics.bind((ip, METRICS_PORT))
                peers.bind((ip, PEER_PORT))
                return ip
            except OSError:
                pass


class Node:
    """A front node as a process, with settings as in DEPLOY.md."""

    def __init__(self, name, path, memory_mb=260):
        self.name, self.path = name, path
        self.ip = free_loopback_ip()
        self.front_port, self.ready_port = free_ports(self.ip, 2)
        self.directory = tempfile.mkdtemp(prefix="fulmarwinch-review-")
        self.settings = os.path.join(self.directory, "local.conf")
        with open(self.settings, "w", encoding="ascii") as file:
            file.write(
                f"node={name}\nrole=node\nmachine_class=front\nserves=front\n"
                f"ip={self.ip}\nzone=a\nregion=r\nzones.a=r\n"
                f"listen.front={self.ip}:{self.front_port}\n"
                f"listen.ready_address={self.ip}:{self.ready_port}\n"
                f"port_range={PEER_PORT},{PEER_PORT + 15}\n"
                f"limits.memory_mb={memory_mb}\nlimits.max_fds=4100\n"
                "limits.link_mbps=1000.0\nheartbeat_ms=1200\n"
                "bounds.contact_ms=3000\nbounds.grace_s=8\n"
                "bounds.stall_ms=5000\nbounds.retry_budget_ratio=0.2\n"
                "bounds.budget_window_s=10\nbounds.budget_slack=136\n"
                f"platform.address={path.address[0]}:{path.address[1]}\n"
                "platform.form=objects\n")
        self.process, self.is_lost = None, False

    def start(self):
        with open(os.path.join(self.directory, "log.txt"), "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM], stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""),
                     "FULMARWINCH_NODE_FILE": self.settings})

    async def terminate(self):
        """Planned stop: SIGTERM, and SIGKILL after the grace period."""
        self.process.send_signal(signal.SIGTERM)
        for _ in range(800):
            if self.process.poll() is not None:
                return
            await asyncio.sleep(0.01)
        self.process.kill()
        self.process.wait()

    async def wait_until_ready(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready_port)
                writer.write(b"GET /fulmarwinch/ready HTTP/1.1\r\n"
                             b"Host: n\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer and " 200 " in answer[0]:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)

    def events(self, *names):
        """Returns the lines of the node's log for these events."""
        result = []
        with open(os.path.join(self.directory, "log.txt"),
                  encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    event = json.loads(line)
                except ValueError:
                    continue
                if event.get("event") in names:
                    result.append(event)
        return result

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def memory_mb(process):
    """Returns the resident memory of a process."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


CASE_NOT_RUN = 2
MAX_CASE_S = 110


def run_case(folder, run):
    """Runs a case and exits with its result: 1 if the rule was broken, 0 if
    it held, 2 if the case did not run. `run` gets the record and a list to
    which it adds the nodes that it creates."""
    nodes = []

    def end_at_once(*_):
        for node in nodes:
            node.end()
        os._exit(CASE_NOT_RUN)

    async def main():
        record = Record(folder)
        try:
            return await asyncio.wait_for(run(record, nodes), MAX_CASE_S)
        except asyncio.TimeoutError:
            print("the case did not end in time")
            return CASE_NOT_RUN
        finally:
            for node in nodes:
                node.end()
            sys.stdout.flush()

    async def main_and_exit():
        # Ends without closing the connections of the stand-ins one by one.
        os._exit(await main())

    signal.signal(signal.SIGTERM, end_at_once)
    try:
        asyncio.run(main_and_exit())
    except Exception as error:  # every failure of the case itself
        print("the case did not run:", repr(error))
        sys.exit(CASE_NOT_RUN)
