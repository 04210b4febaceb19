"""Stand-in for a server of a service without replica groups."""

import asyncio
import time

from platform_standins import message, now, read_message

WORK_S = 0.03


class PlainServer:
    def __init__(self, fleet, server_id):
        self.fleet, self.id = fleet, server_id
        self.tasks = set()

    async def start(self):
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        self.fleet.store.put("servers", self.id, {
            "service": "ledger", "address": f"127.0.0.1:{port}", "zone": "a",
            "version": "1", "slots": 30, "state": "ready", "seq_no": 0,
            "cold_remaining_ms": 0, "born": int(time.time() * 1000)})

    async def serve(self, reader, writer):
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
            writer.close()

    async def answer(self, request, writer):
        start_line, fields, _ = request
        own = {"Instance-Id": self.id}
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Any", own))
            return
        if start_line.startswith("GET /"):
            writer.write(message("HTTP/1.1 200 OK", own, b"{}"))
            return
        request_id = fields.get("request-id", "")
        self.fleet.arrivals.append((now(), request_id, self.id, ""))
        self.fleet.runs.append((now(), request_id, self.id))
        self.fleet.record.write("request", request_id, "runs at", self.id)
        await asyncio.sleep(WORK_S)
        writer.write(message("HTTP/1.1 200 OK", {
            **own, "Request-Id": request_id,
            "Response-Signature": f"{self.id}.{request_id}"}, b"x" * 800))
        await writer.drain()
