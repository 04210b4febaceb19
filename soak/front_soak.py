#!/usr/bin/env python3
"""Seeded fault soak of fulmarwinch-front as real processes on loopback.

Usage: front_soak.py [--seeds 1,2,3] [--seconds 12]

Clients use open connections until the process is gone, while signals,
restarts, configuration changes and troubles of servers and of the store come
in series and overlap; the store may return from a copy. Exits with 1 if a promise was broken; the folder with
the logs of that run is kept and printed. Runs on 127.SEED.0.0/16, so several
runs with different seeds may share a machine.
"""

import argparse
import asyncio
import json
import random
import shutil
import signal
import sys
import tempfile

from world import (CLIENT_PORT, DRAIN_S, HEARTBEAT_S, LAPSE_S, READY_PORT,
                   STREAM_EVENTS, Node, Server, Store, now, read_message)

NODES, SERVERS, CONNECTIONS = 3, 6, 8
# Length of a server's rate limit, the time from which it holds, and the window
# in which its requests are counted.
LIMIT_S, CONTACT_S, LIMIT_WINDOW_S = 7.5, 3.0, 4.0
ROUTES = {"once": "non_idempotent", "often": "idempotent",
          "stream": "streaming", "slow": "non_idempotent"}
SLOW_TIMEOUT_MS = 7000
# Time in which a client gets an answer, also from a node that is frozen
# meanwhile, by route: the route's timeout and 5.6 s.
ANSWER_S = {"slow": 12.6}
DEFAULT_ANSWER_S = 8
# One in this many requests of a client takes the slow route.
SLOW_PERIOD = 25


class Record:
    """What happened to one request of a client."""

    def __init__(self, node, route):
        self.node, self.route, self.sent_at = node, route, None
        self.process, self.ended_at = None, None
        self.runs, self.finished, self.arrivals = [], [], []
        self.broken = False
        self.outcome, self.status = None, 0


class World:
    def __init__(self, seed, seconds):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.prefix = f"127.{seed % 250 + 1}.{seed // 250}"
        self.directory = tempfile.mkdtemp(prefix=f"front-soak-{seed}-")
        self.violations, self.records = [], {}
        self.server_count, self.request_count, self.version = 0, 0, 0
        self.pauses, self.notices, self.faults = [], [], []
        # Limits as (server, requests per second, begin, end), and the time at
        # which each process was told of the limit of a server.
        self.limits, self.told_limits = [], {}
        self.store = Store(f"{self.prefix}.2")
        self.servers = [Server(self, f"{self.prefix}.{100 + i}", 8080)
                        for i in range(SERVERS)]
        self.nodes = [Node(self, i) for i in range(NODES)]
        self.ends_at = 0.0

    def violation(self, text):
        self.violations.append(text)

    def arrival(self, request_id, server):
        record = self.records.get(request_id)
        if not record:
            self.violation(f"{request_id} reached {server.id}, nobody sent it")
            record = self.records[request_id] = Record(self.nodes[0], "often")
        record.arrivals.append((now(), server.id))
        return record

    def write_configuration(self):
        self.version += 1
        routes = [{"name": name, "host": "h.example",
                   "path_prefix": f"/{name}/", "kind": kind, "service": "echo",
                   "timeout_ms": SLOW_TIMEOUT_MS if name == "slow" else (
                       2000 + self.version % 3 * 200),
                   "slo_ms": 400,
                   "max_attempts": 2, "priority": 1, "public": False}
                  for name, kind in ROUTES.items()]
        # A route of this version only shows which one is in force.
        routes.append(dict(routes[1], name="version",
                           path_prefix=f"/version-{self.version}/"))
        self.configuration = {
            "version": self.version, "routes": routes,
            "services": [{"name": "echo", "health_path": "/health"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 4000},
            "tenants": [{"name": "org", "api_keys": ["key"]}]}
        self.store.put("config", "main", self.configuration)

    # Clients

    async def client(self, node):
        while now() < self.ends_at:
            try:
                reader, writer = await asyncio.open_connection(node.ip,
                                                               CLIENT_PORT)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while now() < self.ends_at and await self.request(
                        node, reader, writer):
                    await asyncio.sleep(self.random.choice([0, 0.01, 0.2]))
            except (ConnectionError, asyncio.TimeoutError):
                pass
            writer.close()

    async def request(self, node, reader, writer):
        """Sends one request; returns whether the connection stays open."""
        self.request_count += 1
        request_id = f"r{self.request_count:06d}"
        route = self.random.choice(["once", "once", "often", "stream"])
        deadline_ms = 3000
        if self.random.randrange(SLOW_PERIOD) == 0:
            route, deadline_ms = "slow", SLOW_TIMEOUT_MS
        record = self.records[request_id] = Record(node, route)
        body = request_id * self.random.choice([1, 20])
        data = (f"POST /{route}/x HTTP/1.1\r\nHost: h.example\r\n"
                f"Request-Id: {request_id}\r\n"
                f"Deadline-Ms: {deadline_ms}\r\n"
                f"Credential: key\r\nContent-Length: {len(body)}\r\n\r\n"
                f"{body}").encode()
        process = node.process
        cut = self.random.choice([0, 0, 0, 1, len(data) // 2, len(data) - 1])
        writer.write(data[:cut])
        if cut:
            await asyncio.sleep(self.random.choice([0, 0.005, 0.1]))
        writer.write(data[cut:])
        record.sent_at = now()
        record.process = process
        try:
            message = await asyncio.wait_for(
                read_message(reader), ANSWER_S.get(route, DEFAULT_ANSWER_S))
        except asyncio.TimeoutError:
            record.outcome = "silence"
            return False
        finally:
            record.ended_at = now()
        if not message:
            record.outcome = "closed"
            return False
        self.judge_answer(request_id, record, message, body)
        return message[3] and message[1].get("connection") != "close"

    def judge_answer(self, request_id, record, message, body):
        start_line, headers, content, is_complete = message
        record.status = int(start_line.split(" ")[1])
        record.outcome = "answer" if is_complete else "cut"
        if headers.get("request-id", request_id) != request_id:
            self.violation(f"{request_id} got the answer of "
                           f"{headers['request-id']}")
        if record.status == 200 and is_complete:
            expected = f"{request_id}:{body}".encode()
            if record.route == "stream":
                expected = b"".join(
                    f"id: {number}\ndata: {request_id}\n\n".encode()
                    for number in range(1, STREAM_EVENTS + 1))
            if content != expected or "response-signature" not in headers:
                self.violation(f"{request_id}: success with other content")
        if "server-leaving" in headers:
            self.notices.append((headers["response-signature"], record.node,
                                 record.process, now()))
        if record.status in (401, 403, 404):
            self.violation(f"{request_id}: {record.status} for a route and a "
                           "key of every version")

    # Faults

    async def stop_node(self, node):
        if node.stopping or not node.has_signal_handlers():
            return
        node.stopping, node.term_at, node.frozen_for = True, now(), 0.0
        node.stopped_processes.add(node.process)
        node.signal(signal.SIGTERM)
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0, 1))
            node.signal(self.random.choice([signal.SIGTERM, signal.SIGHUP]))
        await node.wait_for_end()
        await asyncio.sleep(self.random.uniform(0, 0.5))
        node.start()

    async def kill_node(self, node):
        if node.stopping:
            return
        # Another fault must not start the node a second time.
        node.stopping = True
        node.kill()
        await asyncio.sleep(self.random.uniform(0, 0.5))
        node.start()

    async def freeze_node(self, node):
        pause = self.random.choice([0.1, 0.6, 2.5])
        node.frozen_for += pause
        node.signal(signal.SIGSTOP)
        node.freezes.append((now(), now() + pause + 0.1))
        await asyncio.sleep(pause)
        node.signal(signal.SIGCONT)

    async def hang_up(self, node):
        for _ in range(self.random.choice([1, 3])):
            if node.has_signal_handlers():
                node.signal(signal.SIGHUP)
            await asyncio.sleep(0.02)

    async def leave_server(self, server):
        if server.leaving:
            return
        server.leaving = True
        await asyncio.sleep(self.random.choice([0, 0.3, DRAIN_S + 2]))
        server.write_entry()
        await asyncio.sleep(DRAIN_S + 0.5)
        await server.stop()
        await asyncio.sleep(self.random.uniform(0, 0.5))
        await server.start()

    async def crash_server(self, server):
        if server.leaving:
            return
        server.leaving = True
        for record in self.records.values():
            record.broken = record.broken or server.id in record.runs
        await server.stop()
        await asyncio.sleep(self.random.uniform(0.2, 1))
        await server.start()

    async def pause_server(self, server):
        server.pause_until = now() + self.random.choice([0.8, 2.0])

    async def limit_server(self, server):
        if server.leaving or now() < server.limit_until:
            return
        server.limit = self.random.choice([0.5, 2.0, 8.0])
        server.limit_until = now() + LIMIT_S
        self.limits.append((server.id, server.limit, now(),
                            server.limit_until))
        await asyncio.sleep(LIMIT_S)

    async def reset_server(self, server):
        server.reset_until = now() + self.random.uniform(0.1, 0.6)

    async def break_store(self, _):
        until = now() + self.random.uniform(0.3, 2.5)
        if self.random.random() < 0.5:
            self.store.silent_until = until
        else:
            self.store.busy_until = until

    async def restore_store(self, _):
        """The store is away and returns from a copy; what the operator and the
        servers wrote is written again."""
        until = now() + self.random.uniform(0.1, 2.0)
        self.store.silent_until = max(self.store.silent_until, until)
        await asyncio.sleep(until - now())
        if not self.store.copies:
            return
        self.store.restore(self.random.uniform(0.5, 8.0))
        era = self.store.era
        await asyncio.sleep(self.random.uniform(0, 0.2))
        self.store.put("config", "main", self.configuration)
        for server in self.servers:
            asyncio.create_task(self.write_entry_again(server))
        await asyncio.sleep(LAPSE_S)
        living = {server.id for server in self.servers if not server.has_ended}
        for kind, name in list(self.store.objects):
            if era == self.store.era and kind == "servers" and (
                    name not in living):
                self.store.delete(kind, name)

    async def write_entry_again(self, server):
        await asyncio.sleep(self.random.uniform(0, HEARTBEAT_S))
        if not server.has_ended:
            server.write_entry()

    async def change_configuration(self, _):
        for _ in range(self.random.choice([1, 4])):
            self.write_configuration()
            await asyncio.sleep(0.1)

    async def run_faults(self):
        kinds = [(self.stop_node, self.nodes), (self.stop_node, self.nodes),
                 (self.kill_node, self.nodes), (self.freeze_node, self.nodes),
                 (self.hang_up, self.nodes), (self.leave_server, self.servers),
                 (self.leave_server, self.servers),
                 (self.crash_server, self.servers),
                 (self.pause_server, self.servers),
                 (self.limit_server, self.servers),
                 (self.reset_server, self.servers), (self.break_store, [None]),
                 (self.restore_store, [None]),
                 (self.change_configuration, [None])]
        tasks = []
        while now() < self.ends_at - 5:
            fault, targets = self.random.choice(kinds)
            target = self.random.choice(targets)
            self.faults.append((round(now() - self.starts_at, 2),
                                fault.__name__, getattr(target, "ip", "")))
            tasks.append(asyncio.create_task(fault(target)))
            await asyncio.sleep(self.random.choice([0, 0.05, 0.4, 1.0]))
        await asyncio.gather(*tasks)

    # Verdict

    def judge_records(self):
        for request_id, record in self.records.items():
            if record.route != "often" and len(record.runs) > 1:
                self.violation(f"{request_id} ran {len(record.runs)} times")
            if record.outcome == "answer" and (
                    record.status in (408, 421, 429, 503)) and record.runs:
                self.violation(f"{request_id}: {record.status}, and it ran")
            was_killed = record.node.killed_processes.get(record.process,
                                                          False)
            # A process that is frozen after SIGTERM may reach the end of its
            # grace period with streams that it could not pass on.
            stood_still = record.process in record.node.stopped_processes and (
                record.node.was_frozen(record.sent_at, record.ended_at))
            if record.outcome in ("closed", "cut") and record.finished and not (
                    record.broken or was_killed or stood_still):
                self.violation(f"{request_id}: {record.outcome}, though "
                               f"{record.finished[0]} had finished it")
            # A planned stop gives each request that it has passed on an answer.
            if record.outcome == "closed" and record.arrivals and not (
                    record.broken or was_killed or stood_still):
                self.violation(f"{request_id} ({record.route}): closed, though "
                               f"{record.arrivals[0][1]} had received it")
            if record.outcome == "silence" and not was_killed:
                self.violation(f"{request_id} ({record.route}): no answer")

    def arrivals_from(self, process, begin, end):
        """Arrivals before `end` of requests that clients sent to `process`
        after `begin`."""
        return [(at, server) for record in self.records.values()
                if record.process is process
                and begin < record.sent_at
                for at, server in record.arrivals if at < end]

    def judge_notices(self):
        for server, node, process, at in self.notices:
            late = [arrival for arrival, other in self.arrivals_from(
                process, at + DRAIN_S, float("inf")) if other == server]
            if late and not node.was_frozen(at, late[0]):
                self.violation(f"{server} got {len(late)} requests from "
                               f"{node.name} after its notice")

    def judge_pauses(self):
        for server, record, at, until in self.pauses:
            early = [arrival for arrival, other in self.arrivals_from(
                record.process, 0, until)
                     if other == server and arrival > at + 0.5]
            if len(early) > 2 and not record.node.was_frozen(at, until):
                self.violation(f"{server} got {len(early)} requests from "
                               f"{record.node.name} in the pause that it had "
                               "asked for")

    def judge_limits(self):
        for server, limit, begin, end in self.limits:
            arrivals = sorted(
                at for record in self.records.values()
                for at, other in record.arrivals
                if other == server and begin + CONTACT_S < at < end
                and at > 0.5 + self.told_limits.get(
                    (server, record.process), float("inf"))
                and not record.node.was_frozen(begin, at))
            allowed = 1.5 * limit * LIMIT_WINDOW_S + 5
            for first, at in enumerate(arrivals):
                count = sum(at <= other < at + LIMIT_WINDOW_S
                            for other in arrivals[first:])
                if count > allowed:
                    self.violation(f"{server} got {count} requests in 4 s, "
                                   f"{allowed} are allowed")
                    break

    def judge_leases(self):
        """No lease epoch is held by two processes."""
        holders = {}
        for node in self.nodes:
            process = 0
            with open(node.log_path, encoding="utf-8") as log:
                for line in log:
                    try:
                        event = json.loads(line)
                    except json.JSONDecodeError:
                        continue  # a killed process may cut its last line
                    process += event.get("event") == "started"
                    if event.get("event") == "lease_taken":
                        holders.setdefault(event["epoch"], set()).add(
                            (node.name, process))
        for epoch, processes in holders.items():
            if len(processes) > 1:
                self.violation(f"lease epoch {epoch} was held by "
                               f"{sorted(processes)}")

    async def status_of(self, node, path):
        """Status of a request that is sent on a connection of its own; 0 if
        there is no answer."""
        try:
            reader, writer = await asyncio.open_connection(node.ip,
                                                           CLIENT_PORT)
            self.request_count += 1
            request_id = f"r{self.request_count:06d}"
            self.records[request_id] = Record(node, "often")
            writer.write(f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
                         f"Request-Id: {request_id}\r\nDeadline-Ms: 3000\r\n"
                         "Credential: key\r\nContent-Length: 0\r\n\r\n"
                         .encode())
            message = await asyncio.wait_for(read_message(reader),
                                             DEFAULT_ANSWER_S)
            writer.close()
            return int(message[0].split(" ")[1]) if message else 0
        except (OSError, asyncio.TimeoutError):
            return 0

    async def check_configuration(self):
        """The version that was confirmed last is in force on all nodes."""
        for node in self.nodes:
            statuses = [await self.status_of(
                node, f"/version-{self.version - age}/x") for age in (0, 1)]
            if statuses[0] == 404 or statuses[1] == 200:
                self.violation(f"{node.name} answers {statuses} on the routes "
                               f"of versions {self.version} and "
                               f"{self.version - 1}")

    async def check_recovery(self):
        for node in self.nodes:
            served = 0
            for _ in range(20):
                try:
                    reader, writer = await asyncio.open_connection(
                        node.ip, CLIENT_PORT)
                    record_id = f"r{self.request_count + 1:06d}"
                    await self.request(node, reader, writer)
                    served += self.records[record_id].status == 200
                    writer.close()
                except OSError:
                    await asyncio.sleep(0.05)
            if served < 15:
                self.violation(f"{node.name} served {served} of 20 requests "
                               "after the last fault")

    async def run(self):
        await self.store.start()
        self.write_configuration()
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            node.start()
        self.starts_at = now()
        for node in self.nodes:
            await self.wait_until_ready(node)
        self.ends_at = now() + self.seconds
        clients = [asyncio.create_task(self.client(node))
                   for node in self.nodes for _ in range(CONNECTIONS)]
        await self.run_faults()
        self.ends_at = now()
        await asyncio.gather(*clients)
        for node in self.nodes:
            await self.wait_until_ready(node)
        self.write_configuration()
        await asyncio.sleep(2.5)
        await self.check_configuration()
        await self.check_recovery()
        self.judge_records()
        self.judge_notices()
        self.judge_pauses()
        self.judge_limits()
        for node in self.nodes:
            node.kill()
        self.judge_leases()

    async def wait_until_ready(self, node):
        for _ in range(600):
            try:
                reader, writer = await asyncio.open_connection(node.ip,
                                                               READY_PORT)
                writer.write(b"GET /fulmarwinch/ready HTTP/1.1\r\n"
                             b"Host: r\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message and " 200 " in message[0]:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        self.violation(f"{node.name} is not ready after 30 s")


def run_seed(seed, seconds):
    world = World(seed, seconds)
    try:
        asyncio.run(world.run())
    finally:
        for node in world.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
    outcomes = {}
    for record in world.records.values():
        key = f"{record.outcome} {record.status}"
        outcomes[key] = outcomes.get(key, 0) + 1
    print(f"seed {seed}: {len(world.records)} requests "
          f"{json.dumps(outcomes, sort_keys=True)}, {len(world.faults)} "
          f"faults, {len(world.notices)} notices, {len(world.pauses)} pauses, "
          f"{len(world.limits)} limits, {world.store.era - 1} restorations: "
          f"{len(world.violations)} violations", flush=True)
    if not world.violations:
        shutil.rmtree(world.directory)
        return True
    for text in world.violations[:10]:
        print(f"  {text}")
    print(f"  faults: {world.faults}\n  logs: {world.directory}", flush=True)
    return False


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--seconds", type=float, default=12.0)
    options = parser.parse_args()
    results = [run_seed(int(seed), options.seconds)
               for seed in options.seeds.split(",")]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
