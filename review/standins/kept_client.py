"""Stand-in for a client that keeps its connection open for many requests."""

import asyncio

from platform_standins import now, read_message
from server_standins import KEY

DEADLINE_MS = 8000


class KeptClient:
    def __init__(self, record, name, nodes, node):
        self.record, self.name, self.nodes, self.node = (record, name, nodes,
                                                         node)
        self.reader = self.writer = None
        self.entries = []

    async def use(self, body, ends_at):
        """Sends requests one after the other, the first of them a small one
        that opens the connection."""
        await asyncio.sleep(self.name * 0.05)
        await self.request(b"{}")
        while now() < ends_at:
            await self.request(body)
            await asyncio.sleep(0.1)

    async def request(self, body):
        entry = {"id": f"{self.name:08x}{len(self.entries):08x}",
                 "kept": False, "outcome": "open"}
        self.entries.append(entry)
        try:
            entry["outcome"] = await self.send(entry, body)
        except (OSError, asyncio.TimeoutError):
            entry["outcome"] = "closed"
        self.record.write("request", entry["id"], entry["outcome"])
        if entry["outcome"] == "closed":
            if self.writer:
                self.writer.close()
            self.writer = None
            await asyncio.sleep(0.3)

    async def send(self, entry, body):
        if self.node.is_lost:
            self.node, self.writer = self.nodes[0], None
        entry["node"], entry["kept"] = self.node, self.writer is not None
        if not self.writer:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.node.ip, self.node.front_port),
                1)
        self.record.write("request", entry["id"], "sent to", self.node.name,
                          len(body), "bytes, kept connection:", entry["kept"])
        self.writer.write((
            "POST /llm/x HTTP/1.1\r\nHost: review.example\r\n"
            f"Request-Id: {entry['id']}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
            f"Credential: {KEY}\r\nModel: m0\r\nToken-Counts: 700,560\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode())
        self.writer.write(body)
        answer = await asyncio.wait_for(read_message(self.reader),
                                        DEADLINE_MS / 1000 + 1)
        if not answer:
            return "closed"
        return "served" if " 200 " in answer[0] else "refused"
