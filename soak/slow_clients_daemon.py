#!/usr/bin/env python3
"""Memory and descriptors of fulmarwinchd when clients do not behave.

Usage: slow_clients_daemon.py [--patterns NAME,NAME] [--known-red NAME,NAME]
                              [--without-limits]

Guards against a node that exceeds the memory or the descriptors of its machine,
ends or hangs. For each pattern of clients, two fresh nodes run on loopback with
the lowered limits below, and the clients connect to one of them. Checked are
only that its process is alive, that its peak memory, with the bytes that it has
received and not read, and its open descriptors stay within the limits, and that
an ordinary request is answered while the clients are still connected. The
clients and limits are fixed; they are not adjusted to the program. Exits with 1
if a check failed; the folder with the logs is kept and printed. Patterns of
--known-red are run and printed as well, but do not count. --without-limits
leaves the limits out of the settings of the nodes, but not out of the checks.
"""

import argparse
import asyncio
import os
import shutil
import sys
from dataclasses import dataclass
from typing import Callable

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "scripts"))

from clients import Clients, is_answered, run_patterns
from loopback import Deployment
from process_usage import UsageWatch
from world import http_response, read_message

MEMORY_MB, MAX_DESCRIPTORS, MANY_DESCRIPTORS = 160, 400, 4000
BASE_PORT = 24100
SERVICE_PORT = BASE_PORT + 60
# The largest body that the default settings allow, and what a client sends of
# it before it stops.
BODY_BYTES, SENT_BYTES = 8 << 20, 7 << 20
LONG_ANSWER_BYTES = 7_000_000
PATTERN_S, UNREAD_S, LATE_S = 8.0, 4.0, 7


class LargeService:
    """Service that answers /whole/BYTES with that many bytes, and
    /whole/BYTES/SECONDS after that time. It terminates a response that remains
    unread."""

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1",
                                                   SERVICE_PORT)

    async def serve(self, reader, writer):
        try:
            message = await read_message(reader)
            if not message or not message[3]:
                return
            path = message[0].split(" ")[1].split("/")
            size = int(path[2])
            if len(path) > 3:
                await asyncio.sleep(int(path[3]))
            writer.write(http_response(200, {"Connection": "close"}).replace(
                b"Content-Length: 0", b"Content-Length: %d" % size))
            for begin in range(0, size, 65536):
                writer.write(b"y" * min(65536, size - begin))
                await asyncio.wait_for(writer.drain(), UNREAD_S)
        except (ConnectionError, asyncio.TimeoutError):
            writer.transport.abort()
        finally:
            writer.close()


class World:
    def __init__(self, pattern, has_limits):
        self.pattern, self.violations = pattern, []
        settings = {"memoryMb": MEMORY_MB, "maxDescriptors": pattern.max_descriptors}
        self.deployment = Deployment(
            BASE_PORT, node_settings=settings if has_limits else {})
        self.clients = Clients("127.0.0.1")
        self.most_mb = self.most_unread_mb = self.most_descriptors = 0

    def start_nodes(self):
        self.deployment.start_standins()
        self.deployment.start_nodes(2)
        self.deployment.configure(["org"])
        self.deployment.apply_intent([
            {"kind": "service", "name": "large",
             "backends": [f"127.0.0.1:{SERVICE_PORT}"]}])
        self.node = self.deployment.nodes[0]

    def request(self, path, body_bytes=0):
        return (f"POST /services/large/{path} HTTP/1.1\r\nHost: h.example\r\n"
                "Authorization: Bearer org-key\r\n"
                f"Content-Length: {body_bytes}\r\n\r\n").encode()

    def burst(self, count):
        return [self.clients.burst_client(
            self.node.client_port,
            self.request(f"whole/{LONG_ANSWER_BYTES}"), reads=number % 2 == 0)
                for number in range(count)]

    async def partial_body_client(self):
        client = await self.clients.connect(self.node.client_port)
        await self.clients.send(client, self.request("whole/1000", BODY_BYTES)
                                + b"b" * SENT_BYTES)

    async def waiting_client(self):
        client = await self.clients.connect(self.node.client_port)
        await self.clients.send(client, self.request(f"whole/1000/{LATE_S}"))

    async def json_client(self, body):
        """Sends a request for a completion whose body takes many times its
        size once it is parsed."""
        client = await self.clients.connect(self.node.client_port)
        await self.clients.send(client, (
            "POST /v1/completions HTTP/1.1\r\nHost: h.example\r\n"
            "Authorization: Bearer org-key\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    async def ordinary_request(self):
        """Returns whether the node answers a request in the end."""
        return await is_answered(
            lambda: asyncio.open_connection("127.0.0.1", self.node.client_port),
            lambda: self.request("whole/1000"), b"y" * 1000)

    async def run(self):
        service = LargeService()
        await service.start()
        # The deployment waits for its nodes in blocking calls.
        await asyncio.get_running_loop().run_in_executor(None,
                                                         self.start_nodes)
        if not await self.ordinary_request():
            self.violations.append("no request is served before the clients "
                                   "come")
        process = self.node.process
        usage = UsageWatch(process.pid)
        watch = asyncio.create_task(usage.run())
        tasks = [asyncio.create_task(client)
                 for client in self.pattern.clients(self)]
        await asyncio.sleep(PATTERN_S)
        if not await self.ordinary_request():
            self.violations.append("an ordinary request was not answered")
        if process.poll() is not None:
            self.violations.append(f"ended with {process.returncode}")
        self.most_mb, self.most_unread_mb = usage.peak_mb(), usage.most_unread_mb
        self.most_descriptors = usage.most_descriptors
        if self.most_mb > MEMORY_MB:
            self.violations.append(f"{self.most_mb:.0f} MB of {MEMORY_MB}")
        if self.most_descriptors > self.pattern.max_descriptors:
            self.violations.append(f"{self.most_descriptors} descriptors of "
                                   f"{self.pattern.max_descriptors}")
        for task in tasks + [watch]:
            task.cancel()
        await asyncio.gather(*tasks, watch, return_exceptions=True)
        self.clients.close()
        service.listener.close()


@dataclass
class Pattern:
    # Returns the coroutines of the clients in a world.
    clients: Callable
    max_descriptors: int = MAX_DESCRIPTORS


PATTERNS = {
    "partial_bodies": Pattern(lambda world: [
        world.partial_body_client() for _ in range(60)]),
    "connections": Pattern(lambda world: [
        world.clients.silent_client(world.node.client_port)
        for _ in range(900)]),
    "operator_connections": Pattern(lambda world: [
        world.clients.silent_client(world.node.operator_port)
        for _ in range(900)]),
    "waiting_requests": Pattern(lambda world: [
        world.waiting_client() for _ in range(1500)], MANY_DESCRIPTORS),
    "nested_bodies": Pattern(lambda world: [
        world.json_client(b"[" * SENT_BYTES) for _ in range(10)]),
    "listed_bodies": Pattern(lambda world: [
        world.json_client(b"[" + b"0," * (SENT_BYTES // 2) + b"0]")
        for _ in range(10)]),
    "burst": Pattern(lambda world: world.burst(60)),
}


def run_pattern(name, has_limits):
    world = World(PATTERNS[name], has_limits)
    try:
        asyncio.run(world.run())
    finally:
        world.deployment.close()
    print(f"{name}: {world.most_mb:.0f} MB of {MEMORY_MB}, of these "
          f"{world.most_unread_mb:.1f} MB unread at most, "
          f"{world.most_descriptors} descriptors of "
          f"{world.pattern.max_descriptors}: "
          + ("; ".join(world.violations) or "passed"), flush=True)
    if not world.violations:
        shutil.rmtree(world.deployment.directory)
        return True
    print(f"  logs: {world.deployment.directory}", flush=True)
    return False


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--without-limits", action="store_true")
    run_patterns(parser, PATTERNS, lambda name, options: run_pattern(
        name, not options.without_limits))


if __name__ == "__main__":
    main()
