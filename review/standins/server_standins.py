"""Stand-ins for backend servers: model servers in replica groups, and the
configuration that describes them."""

import asyncio
import json
import time

from platform_standins import message, now, read_message

JOIN_SAME_MODEL_S, WARM_S, LOAD_S, FORM_S, STALL_S = 0.2, 1.6, 16.0, 0.3, 5.0
ENTRY_LIFETIME_S = 3.6
KEY = "review-key"


def configuration(group_size, max_body_bytes=4194304):
    """Configuration with one model service and one plain service."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    route = {"host": "review.example", "priority": 1, "public": False,
             "max_attempts": 2}
    return {
        "version": 1, "limits": limits,
        "tenants": [{"name": "tenant", "api_keys": [KEY], "priority": 1}],
        "routes": [
            {"name": "r-llm", "path_prefix": "/llm/", "kind": "streaming",
             "timeout_ms": 5000, "slo_ms": 200, "service": "llm",
             "sticky_sessions": True, "resumable": True, "gap_aim_ms": 200,
             **route},
            {"name": "r-pay", "path_prefix": "/pay/",
             "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 300,
             "service": "ledger", **route}],
        "services": [
            {"name": "llm", "health_path": "/health", "max_conns": 474,
             "cold_start_s": 0.0, "cold_per_s": 0.0, "engine": {
                 "slots": 26, "kv_capacity_tokens": 1590000, "stride": 7,
                 "step_ms": 5.95, "per_seq_ms": 0.0445,
                 "context_per_k": 0.00813, "read_per_s": 50700.0,
                 "pairs_per_m": 0.368, "chunk": 2048, "report_lag_ms": 200.0,
                 "loads_per_s": 4.5, "loads_at_once": 6, "keeps": 1,
                 "far_x": 3.0, "form_ms": FORM_S * 1000,
                 "usual": {"prompt": 1115, "answer": 178},
                 "models": [{"name": "m0", "size": group_size, "share": 1.0,
                             "pace": 1.0, "load_s": LOAD_S,
                             "warm_s": WARM_S}]}},
            {"name": "ledger", "health_path": "/health", "max_conns": 110}]}


class Fleet:
    """The servers that live, by id, and what all of them share."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.servers = {}
        self.has_traffic = False
        # Members that have been ready, as (server, name, epoch, members).
        self.ready = set()
        # (time, request, server, path) of each request that arrived.
        self.arrivals = []
        self.runs = []
        self.crashes = []
        # Members that were not ready when a request began to run.
        self.partial_runs = []
        # (time, server, its group, state of that group's head, new group) of
        # joins that a server took while the head of its group served.
        self.joins_of_two = []
        # Decides whether a request crashes its server.
        self.is_deadly = lambda fields: False
        self.on_crash = lambda server: None
        # Events that a server writes on a deadly request before it crashes.
        self.events_before_crash = 0
        # Events of an answer.
        self.events = 10


    async def wait_for_open_groups(self, count):
        while sum(1 for server in self.servers.values() if server.group and
                  server.group["state"] == "open") < count:
            await asyncio.sleep(0.05)


class Server:
    """One process of a model server."""

    def __init__(self, fleet, server_id, domain, port=0, staged=()):
        self.fleet, self.id, self.domain = fleet, server_id, domain
        self.port, self.staged = port, list(staged)
        self.born = int(time.time() * 1000)
        self.group = self.last_group = None
        self.last_model, self.highest_epoch, self.orders = None, 0, 0
        self.connections, self.tasks, self.running = set(), set(), 0
        self.is_alive = False
        self.broken_since = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1",
                                                   self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.is_alive = True
        self.fleet.servers[self.id] = self
        self.write_entry()

    def crash(self):
        """Ends the process. Its entry is removed after three heartbeats."""
        self.fleet.record.write("server", self.id, "crashes")
        self.fleet.crashes.append(now())
        self.is_alive = False
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for task in list(self.tasks):
            if task is not asyncio.current_task():
                task.cancel()
        del self.fleet.servers[self.id]
        self.fleet.on_crash(self)
        asyncio.get_running_loop().call_later(
            ENTRY_LIFETIME_S, self.fleet.store.delete, "servers", self.id)

    def state(self):
        result = {"stage": "both", "busy": False, "seq_no": self.orders,
                  "domain": self.domain, "staged": self.staged,
                  "models": []}
        if self.group:
            result["models"] = [{"name": self.group["model"], "version": 1,
                                 "adapters": []}]
            result["group"] = {
                "name": self.group["name"], "epoch": self.group["epoch"],
                "rank": self.group["members"].index(self.id),
                "state": self.group["state"]}
        return result

    def write_entry(self):
        if self.is_alive:
            self.fleet.store.put("servers", self.id, {
                "service": "llm", "address": f"127.0.0.1:{self.port}",
                "zone": "a", "version": "1", "slots": 26, "state": "ready",
                "cold_remaining_ms": 0, "born": self.born, **self.state()})

    def set_state(self, group, state):
        if not self.is_alive or self.group is not group:
            return
        group["state"] = state
        if state == "ready":
            self.fleet.ready.add((self.id, group["name"], group["epoch"],
                                  tuple(group["members"])))
        self.fleet.record.write("server", self.id, state, "in group",
                                group["name"], "epoch", group["epoch"])
        self.write_entry()

    def later(self, seconds, function, *arguments):
        async def run():
            await asyncio.sleep(seconds)
            function(*arguments)
        task = asyncio.create_task(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Orders

    def order(self, body):
        kind = body.get("op")
        if kind == "stage":
            return self.stage(body["model"])
        if kind == "join":
            return self.join(body)
        group = self.group
        fits = group and (group["name"], group["epoch"]) == (
            body.get("group"), body.get("epoch"))
        if kind == "leave":
            if fits:
                self.group = None
                self.write_entry()
            return 202 if fits else 200
        if kind not in ("open", "close"):
            return 400
        if not fits:
            return 409
        if kind == "open":
            if group["state"] == "open" or group.get("is_opening"):
                return 200
            if group["state"] != "ready" or group["members"][0] != self.id:
                return 409
            group["is_opening"] = True
            self.later(FORM_S, self.finish_opening, group)
            return 202
        if group["state"] != "open":
            return 409
        self.set_state(group, "closing")
        for task in list(self.tasks):
            if body.get("close_mode") == "preempt" and \
                    task.get_name() == "stream":
                task.cancel()
        self.later(0.01, self.finish_closing, group)
        return 202

    def finish_opening(self, group):
        group["is_opening"] = False
        self.set_state(group, "open")

    def finish_closing(self, group):
        if self.running and self.group is group:
            self.later(0.02, self.finish_closing, group)
        else:
            self.set_state(group, "ready")

    def stage(self, model):
        if model in self.staged:
            return 200
        self.later(LOAD_S, self.finish_staging, model)
        return 202

    def finish_staging(self, model):
        self.staged = [model]
        self.write_entry()

    def join(self, body):
        key = (body["group"], body["epoch"])
        own = self.group and (self.group["name"], self.group["epoch"])
        if body["epoch"] < self.highest_epoch or (
                key == own and body["members"] != self.group["members"]):
            return 412
        if key == own:
            return 200
        self.highest_epoch = body["epoch"]
        self.check_last_group(body["group"])
        seconds = WARM_S
        if body["model"] == self.last_model:
            seconds = JOIN_SAME_MODEL_S
        elif body["model"] not in self.staged:
            seconds = LOAD_S if self.fleet.has_traffic else LOAD_S / 10
            self.later(seconds, self.finish_staging, body["model"])
        self.last_model = body["model"]
        self.group = {"name": body["group"], "epoch": body["epoch"],
                      "model": body["model"], "members": body["members"],
                      "state": "joining"}
        self.last_group = self.group
        self.set_state(self.group, "joining")
        self.later(seconds, self.set_state, self.group, "ready")
        return 202

    def check_last_group(self, new_name):
        last = self.last_group
        head = self.fleet.servers.get(last["members"][0]) if last else None
        served = head.group if head else None
        if served and (served["name"], served["epoch"], served["members"]) == (
                last["name"], last["epoch"], last["members"]) and (
                served["state"] in ("open", "closing")):
            self.fleet.joins_of_two.append((now(), self.id, last["name"],
                                            served["state"], new_name))
            self.fleet.record.write(
                "TWO:", self.id, "takes a join of", new_name, "while", head.id,
                "is", served["state"], "as head of its group", last["name"])

    # Requests

    async def serve(self, reader, writer):
        self.connections.add(writer)
        self.tasks.add(asyncio.current_task())
        asyncio.current_task().add_done_callback(self.tasks.discard)
        try:
            while request := await read_message(reader):
                await self.answer(request, writer)
                if request[1].get("connection", "").lower() == "close":
                    break
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        start_line, fields, body = request
        method, path, _ = start_line.split(" ")
        expected = fields.get("expect-instance")
        own = {"Instance-Id": self.id}
        if expected and expected != self.id:
            writer.write(message("HTTP/1.1 421 Any", own))
        elif path == "/fulmarwinch/report":
            writer.write(message("HTTP/1.1 200 OK", own, json.dumps(
                {**self.state(), "waiting": 0, "running": self.running,
                 "kv_used": 0, "kv_total": 1590000, "handles": 0,
                 "pace": 1.0, "born": self.born}).encode()))
        elif path == "/fulmarwinch/order":
            order = json.loads(body)
            status = self.order(order)
            self.orders += status == 202
            self.fleet.record.write("order", order, "to", self.id, status)
            writer.write(message(f"HTTP/1.1 {status} Any", own))
        elif path == "/health":
            writer.write(message("HTTP/1.1 200 OK", own))
        else:
            await self.generate(fields, path, writer)
        if not writer.is_closing():
            await writer.drain()

    def missing_members(self, group):
        """Members that have ended or left this group."""
        result = []
        for member in group["members"]:
            server = self.fleet.servers.get(member)
            other = server.group if server else None
            if not other or (other["name"], other["epoch"],
                             other["members"]) != (
                    group["name"], group["epoch"], group["members"]):
                result.append(member)
        return result

    async def generate(self, fields, path, writer):
        request_id = fields.get("request-id", "")
        own = {"Request-Id": request_id, "Instance-Id": self.id}
        self.fleet.has_traffic = True
        self.fleet.arrivals.append((now(), request_id, self.id, path))
        self.fleet.record.write("request", request_id, "reaches", self.id)
        group = self.group
        if not group or group["members"][0] != self.id:
            writer.write(message("HTTP/1.1 421 Any", own))
            return
        if group["state"] != "open":
            writer.write(message("HTTP/1.1 503 Any",
                                 {**own, "Not-Executed": "1"}))
            return
        task = asyncio.create_task(self.stream(group, fields, writer, own),
                                   name="stream")
        self.tasks.add(task)
        self.running += 1
        try:
            await task
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.running -= 1
            self.tasks.discard(task)

    async def stream(self, group, fields, writer, own):
        request_id = own["Request-Id"]
        await asyncio.sleep(0.02)
        # Nothing moves while a member is missing; after STALL_S the group is
        # broken.
        begun_at = now()
        while self.missing_members(group) and group["state"] == "open":
            if now() - begun_at > STALL_S:
                self.set_state(group, "broken")
                writer.write(message("HTTP/1.1 503 Any", {
                    **own, "Not-Executed": "1",
                    "At-Server": self.missing_members(group)[0]}))
                return
            await asyncio.sleep(0.02)
        never_ready = [member for member in group["members"] if (
            member, group["name"], group["epoch"],
            tuple(group["members"])) not in self.fleet.ready]
        self.fleet.record.write("request", request_id, "begins to run at",
                                self.id, "in group", group["name"], "epoch",
                                group["epoch"], "never ready:", never_ready)
        self.fleet.runs.append((now(), request_id, self.id))
        if never_ready:
            self.fleet.partial_runs.append((now(), request_id, group["name"],
                                            never_ready))
        is_deadly = self.fleet.is_deadly(fields)
        if is_deadly and self.fleet.events_before_crash == 0:
            self.crash()
            return
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: {self.id}.{request_id}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode())
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, self.fleet.events + 1):
            event = f"id: {number}\ndata: {request_id}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.04)
            if is_deadly and \
                    number - first + 1 == self.fleet.events_before_crash:
                self.crash()
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()
