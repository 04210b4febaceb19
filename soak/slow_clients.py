#!/usr/bin/env python3
"""Memory and descriptors of fulmarwinch-front when clients do not read.

Usage: slow_clients.py [--patterns NAME,NAME] [--known-red NAME,NAME]

Guards against a front node that exceeds the memory or the descriptors of its
machine, ends or hangs, because many clients read their answers slowly or not at
all. For each pattern of clients, one fresh process of fulmarwinch-front runs on
loopback with the lowered limits below. Checked are only that the process is
alive, that its peak memory, with the bytes that it has received and not read,
and its open sockets stay within the limits, and that an ordinary request is
answered while the clients are still connected. The clients and limits are
fixed; they are not adjusted to the program. Exits with 1 if a check failed; the
folder with the logs of that process is kept and printed. Patterns of
--known-red are run and printed as well, but do not count.
"""

import argparse
import asyncio
import random
import shutil
import socket
import tempfile
from dataclasses import dataclass
from typing import Callable

from clients import Clients, is_answered, run_patterns
from process_usage import UsageWatch
from world import (CLIENT_PORT, READY_PORT, Node, Server, Store, http_response,
                   now, read_message)

MEMORY_MB, LARGE_MEMORY_MB, MAX_FDS, RESERVED_FDS = 48, 160, 500, 200
MAX_BODY_BYTES = 1 << 20
SERVERS = 4
# Time for which the clients of a pattern behave as described, and time after
# which a server terminates a response that stays unread.
PATTERN_S, UNREAD_S = 8.0, 4.0
EVENT, EVENTS_PER_CHUNK, STREAM_CHUNKS = b"x" * 4000, 16, 250
METRICS_PORT = 9464
# A head just below the limit, of as many fields as possible.
MANY_FIELDS = b"a:\r\n" * 3900
PARTS_PER_PROMPT = 2500
# Time after which the server of waiting requests answers.
LATE_S = 7


def make_chunk(first):
    events = b"".join(b"id: %d\ndata: %s\n\n" % (number, EVENT)
                      for number in range(first, first + EVENTS_PER_CHUNK))
    return b"%x\r\n%s\r\n" % (len(events), events)


# Chunks of the one stream that all servers send, of 16 MB.
STREAM = [make_chunk(1 + EVENTS_PER_CHUNK * i) for i in range(STREAM_CHUNKS)]


def prompt_parts(number):
    """Returns a header field with prompt parts that no other prompt has."""
    first = number * PARTS_PER_PROMPT
    return b"Prompt-Prefix: " + b",".join(
        b"%05x" % part for part in range(first, first + PARTS_PER_PROMPT)
    ) + b"\r\n"


class LargeServer(Server):
    """Backend server that answers /whole/BYTES with that many bytes,
    /chunked/BYTES with as many in chunks, /whole/BYTES/SECONDS after that time
    and /stream/ with a stream."""

    def write_entry(self):
        self.reports += 1
        self.world.store.put("servers", self.id, {
            "service": "echo", "address": f"{self.ip}:{self.port}",
            "zone": "a", "version": "v1", "slots": 500, "born": self.born,
            "cold_remaining_ms": 0, "seq_no": self.reports, "state": "ready"})

    async def answer(self, message, writer):
        start_line, headers, _, _ = message
        fields = {"Request-Id": headers.get("request-id", ""),
                  "Response-Signature": self.id, "Connection": "close"}
        path = start_line.split(" ")[1].split("/")
        if start_line.startswith("GET /fulmarwinch/report "):
            writer.write(http_response(200, fields, b"{}"))
            return
        if path[1] == "stream":
            fields["Content-Type"] = "text/event-stream"
            fields["Transfer-Encoding"] = "chunked"
            head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
            for chunk in STREAM:
                writer.write(chunk)
                await self.drain(writer)
            writer.write(b"0\r\n\r\n")
        elif path[1] == "chunked":
            fields["Transfer-Encoding"] = "chunked"
            head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
            for _ in range(0, int(path[2]), 65536):
                writer.write(b"10000\r\n" + b"y" * 65536 + b"\r\n")
                await self.drain(writer)
            writer.write(b"0\r\n\r\n")
        else:
            if len(path) > 3:
                await asyncio.sleep(int(path[3]))
            # The bytes are written in parts, as the copies that the event loop
            # of Python makes would take much of the time otherwise.
            size = int(path[2])
            head = http_response(200, fields, b"").replace(
                b"Content-Length: 0", b"Content-Length: %d" % size)
            writer.write(head)
            for begin in range(0, size, 65536):
                writer.write(b"y" * min(65536, size - begin))
                await self.drain(writer)
        await self.drain(writer)

    async def drain(self, writer):
        if writer.transport.is_closing():
            raise ConnectionResetError
        if writer.transport.get_write_buffer_size() < 65536:
            return
        try:
            await asyncio.wait_for(writer.drain(), UNREAD_S)
        except asyncio.TimeoutError as error:
            writer.transport.abort()
            raise ConnectionResetError from error


class World:
    def __init__(self, index, pattern):
        self.pattern = pattern
        self.random = random.Random(1)
        self.prefix = f"127.{200 + index}.0"
        self.directory = tempfile.mkdtemp(prefix="slow-clients-")
        self.violations, self.server_count, self.request_count = [], 0, 0
        self.store = Store(f"{self.prefix}.2")
        self.servers = [LargeServer(self, f"{self.prefix}.{100 + i}", 8080)
                        for i in range(SERVERS)]
        self.node = Node(self, 0, f"limits.memory_mb={pattern.memory_mb}\n"
                                  f"limits.max_fds={MAX_FDS}\n")
        self.clients = Clients(self.node.ip)

    def violation(self, text):
        self.violations.append(text)

    def write_configuration(self):
        self.store.put("config", "main", {
            "version": 1, "routes": [
                {"name": name, "host": "h.example", "path_prefix": f"/{name}/",
                 "kind": kind, "service": "echo", "timeout_ms": 20000,
                 "slo_ms": 400, "max_attempts": 2, "priority": 1,
                 "public": False}
                for name, kind in (("whole", "idempotent"),
                                   ("chunked", "idempotent"),
                                   ("stream", "streaming"))],
            "services": [{"name": "echo", "health_path": "/health"}],
            "limits": {"max_header_bytes": 16384,
                       "max_body_bytes": MAX_BODY_BYTES,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 30000},
            "tenants": [{"name": "org", "api_keys": ["key"]}]})

    # Clients

    def request(self, path, body_bytes=0):
        self.request_count += 1
        return (f"POST /{path} HTTP/1.1\r\nHost: h.example\r\n"
                f"Request-Id: r{self.request_count:06d}\r\n"
                f"Deadline-Ms: 20000\r\nCredential: key\r\n"
                f"Content-Length: {body_bytes}\r\n\r\n").encode()

    async def connect(self, port=CLIENT_PORT):
        return await self.clients.connect(port)

    async def send(self, client, data):
        await self.clients.send(client, data)

    async def receive(self, client, size):
        return await self.clients.receive(client, size)

    async def trickle_client(self):
        """Reads a stream byte by byte, and another one if it ends."""
        while now() < self.ends_at:
            client = await self.connect()
            await self.send(client, self.request("stream/"))
            while client and await self.receive(client, 1):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)

    async def unread_client(self, delay):
        await asyncio.sleep(delay)
        client = await self.connect()
        await self.send(client, self.request("whole/4000000"))

    def burst(self, count, path):
        return [self.clients.burst_client(CLIENT_PORT, self.request(path),
                                          reads=number % 2 == 0)
                for number in range(count)]

    async def many_fields_client(self):
        client = await self.connect()
        await self.send(client, b"POST /whole/1000 HTTP/1.1\r\n" + MANY_FIELDS)

    async def waiting_head_client(self, fields):
        """Sends a request with a long head, which its server answers late."""
        client = await self.connect()
        path = f"whole/1000/{LATE_S}"
        await self.send(client, self.request(path).replace(
            b"\r\n\r\n", b"\r\n" + fields + b"\r\n"))

    async def waiting_body_client(self):
        client = await self.connect()
        await self.send(client, self.request(f"whole/1000/{LATE_S}",
                                             MAX_BODY_BYTES)
                        + b"b" * MAX_BODY_BYTES)

    async def returning_client(self):
        """Reads 64 KB of a stream, pauses, and goes on."""
        while now() < self.ends_at:
            client = await self.connect()
            await self.send(client, self.request("stream/"))
            while client and await self.read_some(client, 65536):
                await asyncio.sleep(1.5)
            await asyncio.sleep(0.2)

    async def read_some(self, client, size):
        for _ in range(0, size, 4096):
            if not await self.receive(client, 4096):
                return False
        return True

    async def repeating_client(self):
        """Sends requests one after the other without reading."""
        client = await self.connect()
        while client and now() < self.ends_at:
            await self.send(client, self.request("whole/1000000"))
            await asyncio.sleep(0.1)

    async def pipelining_client(self):
        client = await self.connect()
        await self.send(client, b"".join(self.request("whole/1000000")
                                         for _ in range(20)))

    async def slow_head_client(self):
        client = await self.connect()
        for byte in self.request("whole/1000"):
            if not client or now() > self.ends_at:
                break
            await self.send(client, bytes([byte]))
            await asyncio.sleep(0.05)

    async def slow_body_client(self):
        client = await self.connect()
        await self.send(client, self.request("whole/1000", MAX_BODY_BYTES))
        while client and now() < self.ends_at:
            await self.send(client, b"b" * 20000)
            await asyncio.sleep(0.05)

    async def half_closing_client(self, path):
        client = await self.connect()
        await self.send(client, self.request(path))
        await asyncio.sleep(0.2)
        try:
            client.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError):
            pass

    async def short_connections(self):
        while now() < self.ends_at:
            try:
                _, writer = await asyncio.open_connection(self.node.ip,
                                                          CLIENT_PORT)
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.01)

    # Checks

    async def ordinary_request(self):
        """Returns whether the node answers a request in the end."""
        size = self.pattern.ordinary_bytes
        return await is_answered(
            lambda: asyncio.open_connection(self.node.ip, CLIENT_PORT),
            lambda: self.request(f"whole/{size}"), b"y" * size)

    async def wait_until_served(self):
        for _ in range(600):
            try:
                reader, writer = await asyncio.open_connection(self.node.ip,
                                                               READY_PORT)
                writer.write(b"GET /fulmarwinch/ready HTTP/1.1\r\n"
                             b"Host: r\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message and " 200 " in message[0]:
                    break
            except OSError:
                pass
            await asyncio.sleep(0.05)
        if not await self.ordinary_request():
            self.violation("no request is served before the clients come")

    async def run(self):
        await self.store.start()
        self.write_configuration()
        for server in self.servers:
            await server.start()
        self.node.start()
        await self.wait_until_served()
        self.usage = UsageWatch(self.node.process.pid)
        watch = asyncio.create_task(self.usage.run())
        self.ends_at = now() + PATTERN_S
        tasks = [asyncio.create_task(client)
                 for client in self.pattern.clients(self)]
        await asyncio.sleep(PATTERN_S)
        if not await self.ordinary_request():
            self.violation("an ordinary request was not answered")
        if self.node.process.poll() is not None:
            self.violation(f"ended with {self.node.process.returncode}")
        else:
            if self.usage.peak_mb() > self.pattern.memory_mb:
                self.violation(f"{self.usage.peak_mb():.0f} MB of "
                               f"{self.pattern.memory_mb}")
        if self.usage.most_sockets > MAX_FDS - RESERVED_FDS:
            self.violation(f"{self.usage.most_sockets} sockets of "
                           f"{MAX_FDS - RESERVED_FDS}")
        self.peak_mb = self.usage.peak_mb()
        for task in tasks + [watch]:
            task.cancel()
        await asyncio.gather(*tasks, watch, return_exceptions=True)
        self.clients.close()


@dataclass
class Pattern:
    # Returns the coroutines of the clients in a world.
    clients: Callable
    memory_mb: int = MEMORY_MB
    # Size of the answer to the ordinary request.
    ordinary_bytes: int = 1000


PATTERNS = {
    "trickle": Pattern(lambda world: [
        world.trickle_client() for _ in range(80)]),
    "unread": Pattern(lambda world: [
        world.unread_client(0.05 * i) for i in range(60)]),
    "returning": Pattern(lambda world: [
        world.returning_client() for _ in range(60)]),
    "repeating": Pattern(lambda world: (
        [world.repeating_client() for _ in range(40)]
        + [world.pipelining_client() for _ in range(40)])),
    "slow_requests": Pattern(lambda world: (
        [world.unread_client(0.05 * i) for i in range(25)]
        + [world.trickle_client() for _ in range(25)]
        + [world.slow_head_client() for _ in range(50)]
        + [world.slow_body_client() for _ in range(50)])),
    "half_closed": Pattern(lambda world: (
        [world.half_closing_client("stream/") for _ in range(50)]
        + [world.half_closing_client("whole/4000000") for _ in range(40)])),
    "connections": Pattern(lambda world: (
        [world.clients.silent_client(CLIENT_PORT)
         for _ in range(600)]
        + [world.short_connections() for _ in range(10)]
        + [world.trickle_client() for _ in range(20)])),
    # Answers that arrive at the same moment.
    "burst": Pattern(lambda world: world.burst(20, "whole/4000000")),
    "burst_many": Pattern(lambda world: world.burst(60, "whole/4000000"),
                          LARGE_MEMORY_MB),
    "burst_long": Pattern(lambda world: world.burst(40, "whole/15000000"),
                          LARGE_MEMORY_MB),
    # Their length is not known before they end.
    "burst_chunked": Pattern(lambda world: world.burst(20, "chunked/4000000")),
    # Clients that read, but would hold the memory for minutes.
    "drip": Pattern(lambda world: [
        world.clients.drip_client(CLIENT_PORT, world.request("whole/4000000"),
                                  4096)
        for _ in range(20)], ordinary_bytes=4000000),
    "many_fields": Pattern(lambda world: [
        world.many_fields_client() for _ in range(200)]),
    "waiting_fields": Pattern(lambda world: [
        world.waiting_head_client(MANY_FIELDS[:15200]) for _ in range(120)]),
    # Parts of prompts that servers could share.
    "prompt_parts": Pattern(lambda world: [
        world.waiting_head_client(prompt_parts(i)) for i in range(120)]),
    "waiting_bodies": Pattern(lambda world: [
        world.waiting_body_client() for _ in range(240)]),
    "readiness_connections": Pattern(lambda world: [
        world.clients.silent_client(READY_PORT) for _ in range(400)]),
    "metrics_connections": Pattern(lambda world: [
        world.clients.silent_client(METRICS_PORT) for _ in range(400)]),
}


def run_pattern(name):
    pattern = PATTERNS[name]
    world = World(list(PATTERNS).index(name), pattern)
    world.peak_mb = 0.0
    try:
        asyncio.run(world.run())
    finally:
        if world.node.process and world.node.process.poll() is None:
            world.node.kill()
    print(f"{name}: {world.peak_mb:.0f} MB of {pattern.memory_mb}, of these "
          f"{world.usage.most_unread_mb:.1f} MB unread at most, "
          f"{world.usage.most_sockets} sockets of {MAX_FDS - RESERVED_FDS}: "
          + ("; ".join(world.violations) or "passed"), flush=True)
    if not world.violations:
        shutil.rmtree(world.directory)
        return True
    print(f"  logs: {world.directory}", flush=True)
    return False


def main():
    run_patterns(argparse.ArgumentParser(description=__doc__), PATTERNS,
                 lambda name, _: run_pattern(name))


if __name__ == "__main__":
    main()
