"""Stand-ins for clients."""

import asyncio

from platform_standins import now, read_message
from server_standins import KEY


class Client:
    """Sends requests to a node, each one on a connection of its own."""

    def __init__(self, record):
        self.record, self.sent, self.last_id = record, 0, ""
        # Sending time, node, status (0: no complete answer) of each request.
        self.requests = {}

    async def request(self, node, path, fields, body=b"", deadline_ms=5000):
        self.sent += 1
        request_id = self.last_id = f"{self.sent:016x}"
        head = {"Host": "review.example", "Request-Id": request_id,
                "Deadline-Ms": deadline_ms, "Credential": KEY,
                "Content-Length": len(body), **fields}
        data = (f"POST {path} HTTP/1.1\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in head.items()) +
                "\r\n").encode() + body
        entry = self.requests[request_id] = {
            "at": now(), "node": node.name, "path": path, "status": 0,
            "outcome": "closed"}
        self.record.write("request", request_id, "sent to", node.name, path)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(node.ip, node.front_port), 1.0)
        except (OSError, asyncio.TimeoutError):
            entry["outcome"] = "not connected"
            return entry
        try:
            writer.write(data)
            answer = await asyncio.wait_for(read_message(reader),
                                            deadline_ms / 1000 + 1.0)
            if answer:
                entry["status"] = int(answer[0].split(" ")[1])
                entry["outcome"] = "answered"
                entry["fields"] = answer[1]
        except asyncio.TimeoutError:
            entry["outcome"] = "silence"
        except ConnectionError:
            pass
        finally:
            writer.close()
        entry["ended_at"] = now()
        self.record.write("request", request_id, entry["outcome"],
                          entry["status"])
        return entry

    async def load(self, nodes, end, per_second=20):
        """Sends streaming requests until `end` is set, then waits for them."""
        tasks = []
        while not end.is_set():
            number = len(tasks)
            fields = {"Model": "m0", "Token-Counts": "700,70",
                      "Prompt-Prefix": f"5c1e07a2:40,{number + 4096:08x}:660"}
            tasks.append(asyncio.create_task(self.request(
                nodes[number % len(nodes)], "/llm/x", fields, b"{}")))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    def count(self, status):
        return sum(1 for entry in self.requests.values()
                   if entry["status"] == status)
