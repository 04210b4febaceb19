"""Platform store, backend servers and front nodes of a soak run on loopback."""

import asyncio
import json
import os
import signal
import subprocess
import zlib

SOURCE_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(
    os.environ.get("FULMARWINCH_BUILD",
                   os.path.join(SOURCE_ROOT, "build", "release")),
    "fulmarwinch-front")
GRACE_S = 4.0
DRAIN_S = 2.0
CLIENT_PORT, READY_PORT, PEER_PORT, STORE_PORT = 8601, 8602, 7680, 8609
STREAM_EVENTS = 6
# Time between two copies of the store, and age of the oldest one.
COPY_PERIOD_S, OLDEST_COPY_S = 0.25, 9.0
# Period in which servers write their entries, and time after which the entry of
# one that has ended is removed.
HEARTBEAT_S, LAPSE_S = 1.2, 3.6
# Longest time in which a server answers on the slow route.
SLOW_S = 6.0


def now():
    return asyncio.get_running_loop().time()


async def read_message(reader):
    """Returns (start line, headers in lower case, body, is complete).

    Returns None if the connection ends before the whole head has arrived.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body, is_complete = b"", True
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
    except (asyncio.IncompleteReadError, ConnectionError):
        is_complete = False
    return lines[0], headers, body, is_complete


def http_response(status, headers, body=b""):
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return (f"HTTP/1.1 {status} Any\r\n{fields}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """Object store of the platform, kept in memory."""

    def __init__(self, ip):
        self.ip = ip
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.silent_until = 0.0
        self.busy_until = 0.0
        self.era = 1
        # Earlier states as (time, revision, objects).
        self.copies = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 STORE_PORT)
        self.copier = asyncio.create_task(self.keep_copies())

    async def keep_copies(self):
        while True:
            self.copies.append((now(), self.revision,
                                json.loads(json.dumps(list(
                                    self.objects.items())))))
            self.copies = [copy for copy in self.copies
                           if copy[0] > now() - OLDEST_COPY_S]
            await asyncio.sleep(COPY_PERIOD_S)

    def restore(self, age):
        """Returns to the copy that is about `age` seconds old."""
        _, self.revision, objects = min(
            self.copies, key=lambda copy: abs(now() - age - copy[0]))
        self.objects = {tuple(key): item for key, item in objects}
        self.events = [event for event in self.events
                       if event[0] <= self.revision]
        self.copies = []
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision},
                "spec": spec}
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
        try:
            message = await read_message(reader)
            if message and now() >= self.silent_until:
                status, body = 503, {}
                if now() >= self.busy_until:
                    status, body = await self.handle(message)
                writer.write(http_response(
                    status, {"Content-Type": "application/json",
                             "Store-Era": str(self.era)},
                    json.dumps(body).encode()))
                await writer.drain()
            elif message:
                await asyncio.sleep(self.silent_until - now())
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, message):
        method, target, _ = message[0].split(" ")
        path, _, query = target.partition("?")
        parameters = dict(part.split("=", 1) for part in query.split("&")
                          if "=" in part)
        kind, _, name = path.split("/objects/", 1)[1].partition("/")
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "GET" and "watch" in parameters:
            if int(parameters["watch"]) > self.revision:
                return 410, {}
            return 200, await self.watch(kind, int(parameters["watch"]),
                                         int(parameters["wait_ms"]) / 1000)
        if method == "GET":
            items = [item for (other, _), item in sorted(self.objects.items())
                     if other == kind]
            return 200, {"items": items, "has_more": False,
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
        if "revision" in metadata and (
                metadata["revision"] != known["metadata"]["revision"]):
            return 409, known
        return 200, self.put(kind, name, body["spec"])

    async def watch(self, kind, since, wait):
        end, era = now() + wait, self.era
        while True:
            if era != self.era:
                raise ConnectionResetError
            events = [event for revision, other, event in self.events
                      if other == kind and revision > since]
            if events or now() >= end:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass


class Server:
    """Backend server that executes requests and records what it has done."""

    def __init__(self, world, ip, port):
        self.world, self.ip, self.port = world, ip, port
        self.id, self.listener, self.connections = "", None, set()

    async def start(self):
        self.world.server_count += 1
        self.id = f"i-{self.world.server_count:04d}"
        self.born, self.reports = self.world.server_count, 0
        self.leaving, self.has_ended = False, False
        self.pause_until = self.reset_until = self.limit_until = 0.0
        self.limit = 0.0
        self.listener = await asyncio.start_server(self.serve, self.ip,
                                                   self.port)
        self.write_entry()

    def write_entry(self):
        self.reports += 1
        self.world.store.put("servers", self.id, {
            "service": "echo", "address": f"{self.ip}:{self.port}",
            "zone": "a", "version": "v1", "slots": 64, "born": self.born,
            "cold_remaining_ms": 0, "seq_no": self.reports,
            "state": "draining" if self.leaving else "ready"})

    async def stop(self):
        """Ends the process; requests in progress are reset."""
        self.has_ended = True
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.world.store.delete("servers", self.id)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            message = await read_message(reader)
            if message and message[3]:
                await self.answer(message, writer)
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message, writer):
        start_line, headers, body, _ = message
        request_id = headers.get("request-id", "")
        fields = {"Request-Id": request_id, "Response-Signature": self.id}
        if self.leaving:
            fields["Server-Leaving"] = "1"
            fields["Connection"] = "close"
        is_limited = now() < self.limit_until
        if is_limited:
            fields["Server-Limit"] = str(self.limit)
        if start_line.startswith("GET /fulmarwinch/report "):
            writer.write(http_response(200, fields, b"{}"))
            return
        record = self.world.arrival(request_id, self)
        if headers.get("expect-instance") != self.id:
            writer.write(http_response(421, fields))
            return
        if "credential" in headers or headers.get("tenant") != "org":
            self.world.violation(f"{request_id}: key passed on or no tenant")
        if is_limited:
            self.world.told_limits.setdefault((self.id, record.process), now())
        if now() < self.pause_until:
            self.world.pauses.append((self.id, record, now(),
                                      self.pause_until))
            fields["Not-Executed"] = "1"
            fields["Retry-After"] = f"{self.pause_until - now():.2f}"
            writer.write(http_response(503, fields))
            return
        record.runs.append(self.id)
        delay = self.world.random.uniform(0.003, 0.08)
        if start_line.split(" ")[1].startswith("/slow/"):
            delay = self.world.random.uniform(0.3, SLOW_S)
        if start_line.split(" ")[1].startswith("/stream/"):
            fields["Content-Type"] = "text/event-stream"
            fields["Transfer-Encoding"] = "chunked"
            head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
            for number in range(1, STREAM_EVENTS + 1):
                event = f"id: {number}\ndata: {request_id}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(delay)
            writer.write(b"0\r\n\r\n")
        else:
            await asyncio.sleep(delay)
            if now() < self.reset_until:
                self.fail(record, request_id, fields, writer)
                return
            writer.write(http_response(200, fields,
                                       request_id.encode() + b":" + body))
        record.finished.append(self.id)
        await writer.drain()


    def fail(self, record, request_id, fields, writer):
        """Ends a request that has run with a reset or with an error, which
        does not say that it has not run even if its status does."""
        ending = zlib.crc32(request_id.encode()) % 8
        if ending < 4:
            record.broken = True
            writer.transport.abort()
            return
        writer.write(http_response((500, 408, 429, 503)[ending - 4], fields))


class Node:
    """One front node as a process."""

    def __init__(self, world, index, limits="limits.memory_mb=256\n"):
        self.world, self.name = world, f"n{index}"
        self.ip = f"{world.prefix}.{index + 10}"
        self.process, self.killed, self.stopping = None, False, False
        self.term_at, self.frozen_for = None, 0.0
        # Processes that were killed or told to stop, and the times in which
        # the node stood still.
        self.killed_processes, self.stopped_processes = {}, set()
        self.freezes = []
        self.log_path = os.path.join(world.directory, f"{self.name}.log")
        self.settings = os.path.join(world.directory, f"{self.name}.conf")
        with open(self.settings, "w", encoding="ascii") as file:
            file.write(f"node={self.name}\nzone=a\nip={self.ip}\n"
                       f"listen.front={self.ip}:{CLIENT_PORT}\n"
                       f"listen.ready_address={self.ip}:{READY_PORT}\n"
                       f"port_range={PEER_PORT},{PEER_PORT + 9}\n"
                       f"platform.address={world.store.ip}:{STORE_PORT}\n"
                       f"bounds.grace_s={GRACE_S}\n{limits}"
                       "bounds.stall_ms=5000\nbounds.retry_budget_ratio=0.2\n"
                       "bounds.budget_slack=100\nbounds.budget_window_s=10\n"
                       "limits.link_mbps=100\n"
                       f"heartbeat_ms={HEARTBEAT_S * 1000:.0f}\n")

    def start(self):
        self.killed = self.stopping = False
        self.term_at, self.started_at = None, now()
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "--settings", self.settings], stdout=log, stderr=log)

    def has_signal_handlers(self):
        """False for a process that may not have reached its main function."""
        since = max([self.started_at] + [until for _, until in self.freezes])
        return now() > since + 0.3

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.killed = True
        self.killed_processes[self.process] = True
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def wait_for_end(self):
        """Waits for a node that was told to stop, and checks how it ends."""
        while self.process.poll() is None and (
                now() - self.term_at < GRACE_S + 1.0 + self.frozen_for):
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.world.violation(f"{self.name} runs on after its grace period")
            self.kill()
        elif self.process.returncode != 0 and not self.killed:
            self.world.violation(
                f"{self.name} ended with {self.process.returncode}")
    def was_frozen(self, begin, end):
        return any(begin < until and since < end
                   for since, until in self.freezes)
