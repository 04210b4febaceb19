"""Joins that are carried out late put a server into two groups."""

import asyncio
import collections
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import engine  # noqa: E402
import world as w  # noqa: E402

HOST, SERVICE = "ficu95.example", "huvo11a"
# One domain and the smaller model of the small sites.
SERVERS, DOMAIN = 9, "a-d1"
MODEL = {"name": "rada7437b5", "size": 3, "share": 1.0, "pace": 0.6,
         "load_s": 12.0, "warm_s": 1.1}
FORM_S, DOWN_S = 0.3, 2.0
# Late orders are carried out 2 to 12 s later: here the first and the second join
# of each member of one group.
LATE_S = (2.0, 5.0)


def configuration():
    return {
        "version": 7,
        "routes": [{"name": "r-2yhvz3p", "host": HOST,
                    "path_prefix": "/cufi504/", "kind": "idempotent",
                    "timeout_ms": 3000, "slo_ms": 300, "priority": 2,
                    "service": SERVICE, "max_attempts": 2, "public": True,
                    "sticky_sessions": True}],
        "services": [{
            "name": SERVICE, "health_path": "/health", "max_conns": 374,
            "protocol": "h1", "tls": False, "cold_start_s": 3.0,
            "cold_per_s": 36.0, "engine": {
                "slots": 26, "kv_capacity_tokens": 1590000,
                "kv_bytes": 327680, "link_mbps": 400000.0, "stride": 7,
                "models": [MODEL], "step_ms": 5.95, "per_seq_ms": 0.0445,
                "context_per_k": 0.00813, "read_per_s": 50700.0,
                "pairs_per_m": 0.368, "chunk": 2048, "report_lag_ms": 200.0,
                "loads_per_s": 4.5, "loads_at_once": 6, "delays": [],
                "usual": {"prompt": 1115, "answer": 178}, "keeps": 1,
                "far_x": 3.0, "form_ms": FORM_S * 1000}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Case:
    def __init__(self, world):
        self.world, self.violations = world, []
        self.late_members, self.joins_of = None, collections.Counter()
        self.orders = self.late_orders = 0
        self.are_orders_late = False
        world.on_join = self.on_join

    def head_of(self, group):
        return next((server for server in self.servers if server.group and
                     server.group["name"] == group["name"] and
                     server.group["rank"] == 0 and not server.is_down), None)

    def on_join(self, server, order):
        """TWO: the server takes a join of another group while the head of its
        group is open or closing."""
        if not server.group:
            return
        head = self.head_of(server.group)
        if head and head.group["state"] in ("open", "closing"):
            self.violations.append(
                f"server {server.id} takes a join of {order['group']} while "
                f"{server.group['name']} of {head.id}, which it hasn't left, "
                f"is {head.group['state']}")
            self.world.record.write("TWO: " + self.violations[-1])

    def late_by(self, server, order):
        """The members of the first group that is formed after the return don't
        answer their first two joins."""
        self.orders += 1
        if not self.are_orders_late or order["op"] != "join":
            return None
        self.late_members = self.late_members or order["members"]
        if server.id not in self.late_members:
            return None
        self.joins_of[server.id] += 1
        if self.joins_of[server.id] > len(LATE_S):
            return None
        self.late_orders += 1
        return LATE_S[self.joins_of[server.id] - 1]

    def open_groups(self):
        return sum(1 for server in self.servers if server.group and
                   server.group["state"] == "open")

    async def wait_for(self, condition, seconds, what):
        end = w.now() + seconds
        while not condition():
            if w.now() > end:
                raise w.CannotRun(what)
            await asyncio.sleep(0.01)

    async def ask_all(self):
        for node in self.nodes:
            await self.world.ask(node, HOST, "/cufi504/lo20/", headers=[
                ("Model", MODEL["name"]), ("Token-Counts", "1115,178"),
                ("Prompt-Prefix", "5c1e07a2:40,91bd3f06:1075")])

    async def run(self):
        world = self.world
        await world.start_store()
        world.store.put("config", "main", configuration())
        self.servers = [engine.EngineServer(world, SERVICE, DOMAIN, [MODEL],
                                            FORM_S) for _ in range(SERVERS)]
        for server, port in zip(self.servers, w.free_ports(SERVERS)):
            server.late_by = self.late_by
            await server.start(port)
        self.nodes = [w.Front(world, "front-a-1"),
                      w.Front(world, "front-c-1", "c")]
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_until_ready()
        await self.wait_for(lambda: self.open_groups() == 3, 15,
                            "the groups don't form")
        await asyncio.sleep(1.0)
        await self.ask_all()
        for server in self.servers:
            await server.crash()
        await asyncio.sleep(DOWN_S)
        self.orders = 0
        self.are_orders_late = w.TROUBLE
        for server in self.servers:
            await server.restart()
        end = w.now() + 12.0
        while w.now() < end:
            await self.ask_all()
            await asyncio.sleep(0.5)
        summary = (f"{len(self.violations)} joins of another group at a server "
                   f"of an open one; {self.late_orders} of {self.orders} orders "
                   f"since the return were late; {self.open_groups()} groups "
                   "open")
        world.record.write(summary)
        print(summary)
        for violation in self.violations:
            print(violation)
        return w.BROKEN if self.violations else w.HELD


async def case(world):
    return await Case(world).run()


w.run(FOLDER, case)
