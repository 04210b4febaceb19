"""Model servers that form groups, for the cases that need them."""

import asyncio
import json
import time

import world as w

GROUP_FIELDS = ("name", "epoch", "rank", "state")


class EngineServer(w.Server):
    """A model server: takes orders as PROTOCOL.md says."""

    def __init__(self, world, service, domain, models, form_s, slots=26):
        super().__init__(world, service, slots)
        self.domain, self.form_s = domain, form_s
        self.models = {model["name"]: model for model in models}
        self.staged, self.reports = [], 0
        # Returns the seconds after which an order without an answer is carried
        # out, or None.
        self.late_by = lambda server, order: None
        self.begin_life()

    def begin_life(self):
        self.group, self.members, self.last_model = None, (), None
        self.seen_epoch, self.seq_no, self.is_down = 0, 0, False
        self.life = object()

    async def start(self, port):
        self.port = port
        self.born = int(time.time() * 1000)
        self.begin_life()
        self.listener = await asyncio.start_server(self.serve, w.IP, port)
        self.report()
        asyncio.get_running_loop().create_task(self.keep_reporting(self.life))

    async def keep_reporting(self, life):
        while self.life is life and not self.is_down:
            await asyncio.sleep(w.HEARTBEAT_S)
            if self.life is life and not self.is_down:
                self.report()

    def report(self):
        entry = {"service": self.service, "address": f"{w.IP}:{self.port}",
                 "zone": "a", "version": "v1", "slots": self.slots,
                 "state": "ready", "born": self.born, "cold_remaining_ms": 0,
                 "stage": "both", "domain": self.domain,
                 "staged": list(self.staged), "seq_no": self.seq_no,
                 "models": []}
        if self.group:
            entry["group"] = {name: self.group[name] for name in GROUP_FIELDS}
            entry["models"] = [{"name": self.group["model"], "version": 1,
                                "adapters": []}]
        self.world.store.put("servers", self.id, entry)

    async def crash(self):
        """The process ends; its entry lapses after three reports."""
        self.is_down, self.life = True, object()
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.world.record.write(f"server {self.id} crashes")
        asyncio.get_running_loop().create_task(self.lapse(self.id))

    async def lapse(self, server_id):
        await asyncio.sleep(3 * w.HEARTBEAT_S)
        if self.is_down or self.id != server_id:
            self.world.store.delete("servers", server_id)

    async def restart(self):
        """Starts again under a new id; the host has kept what it staged."""
        w.Server.count += 1
        old, self.id = self.id, f"i-{w.Server.count:010x}"
        await self.start(self.port)
        self.world.record.write(f"server {old} is back as {self.id}")

    async def answer(self, request, writer):
        start_line, headers, body, _ = request
        is_own = headers.get("expect-instance", self.id) == self.id
        if start_line.startswith("POST /fulmarwinch/order ") and is_own:
            await self.take_order(json.loads(body), writer)
            return
        if start_line.startswith("GET /fulmarwinch/report ") or not is_own:
            await super().answer(request, writer)
            return
        if not self.group or self.group["state"] != "open":
            writer.write(w.message("HTTP/1.1 421 Misdirected Request",
                                   [("Instance-Id", self.id)]))
            return
        await super().answer(request, writer)

    async def take_order(self, order, writer):
        late_s = self.late_by(self, order)
        if late_s is None:
            status = self.carry_out(order)
            writer.write(w.message(f"HTTP/1.1 {status} Any", [
                ("Content-Type", "application/json")], b"{}"))
            await writer.drain()
            return
        self.world.record.write(f"order {order} to {self.id}: no answer, "
                                f"carried out {late_s} s later")
        life = self.life

        async def later():
            await asyncio.sleep(late_s)
            if self.life is life:
                self.carry_out(order)

        asyncio.get_running_loop().create_task(later())
        # The caller gives up.
        while not writer.transport.is_closing():
            await asyncio.sleep(0.05)

    def carry_out(self, order):
        status = getattr(self, "do_" + order["op"])(order)
        self.world.record.write(f"order {order} at {self.id}: {status}")
        if status == 202:
            self.seq_no += 1
            self.report()
        return status

    def is_member(self, order):
        return self.group is not None and (
            self.group["name"], self.group["epoch"]) == (
                order["group"], order["epoch"])

    def do_join(self, order):
        if order["epoch"] < self.seen_epoch or (
                self.is_member(order) and
                self.members != tuple(order["members"])):
            return 412
        if self.is_member(order):
            return 200
        self.world.on_join(self, order)
        self.seen_epoch = order["epoch"]
        model = self.models[order["model"]]
        if self.last_model == model["name"]:
            duration = 0.2
        elif model["name"] in self.staged:
            duration = model["warm_s"]
        else:
            # Before the first request, loads take one tenth of the time.
            duration = model["load_s"] / (1 if self.world.sent else 10)
        self.last_model = model["name"]
        self.members = tuple(order["members"])
        self.group = {"name": order["group"], "epoch": order["epoch"],
                      "rank": self.members.index(self.id), "state": "joining",
                      "model": model["name"]}
        self.change_after(duration, self.group, "joining", "ready")
        return 202

    def change_after(self, delay, group, before, after):
        async def change():
            await asyncio.sleep(delay)
            if self.group is group and group["state"] == before:
                group["state"] = after
                if after == "ready":
                    self.staged = [group["model"]]
                self.world.record.write(f"group {group['name']} at {self.id}: "
                                        f"{after}")
                self.report()

        asyncio.get_running_loop().create_task(change())

    def do_open(self, order):
        if not self.is_member(order) or self.group["rank"] != 0:
            return 409
        if self.group["state"] == "open":
            return 200
        if self.group["state"] != "ready":
            return 409
        self.change_after(self.form_s, self.group, "ready", "open")
        return 202

    def do_close(self, order):
        if not self.is_member(order):
            return 409
        if self.group["state"] != "open":
            return 200
        self.group["state"] = "ready"
        return 202

    def do_leave(self, order):
        if not self.is_member(order):
            return 200
        self.group, self.members = None, ()
        return 202

    def do_stage(self, order):
        async def load(life):
            await asyncio.sleep(self.models[order["model"]]["load_s"])
            if self.life is life:
                self.staged = [order["model"]]
                self.report()

        if order["model"] in self.staged:
            return 200
        asyncio.get_running_loop().create_task(load(self.life))
        return 202
