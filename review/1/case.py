"""A prompt part that crashes servers is not recognised behind the 16th part."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from client_standins import Client
from platform_standins import CASE_NOT_RUN, Node, Path, Store, now, run_case
from server_standins import Fleet, Server, configuration

# 1: the part crashes servers; 0: it is sound.
TROUBLE = os.environ.get("TROUBLE", "1")
# Shared parts before the request's own; the last of them is the deadly one.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "18"))
DEADLY_PART = "dead0001"
GROUP_SIZE, DOMAINS, SERVERS_PER_DOMAIN = 2, 2, 9
DOWN_S = 3.0
CONTACT_S = 3.0
# A deadly request for each of these many sound ones.
SOUND_PER_DEADLY = 10
LOAD_TIME_S = 30
MAX_LATE_REQUESTS = 3


def prompt(number, is_deadly):
    parts = [f"{0x5c1e0000 + index:08x}:30"
             for index in range(SHARED_PARTS - 1)]
    parts.append(f"{DEADLY_PART if is_deadly else '50a1d001'}:30")
    parts.append(f"{0x10000 + number:08x}:200")
    return ",".join(parts)


async def run(record, nodes):
    store = Store()
    await store.start()
    fleet = Fleet(store, record)
    fleet.is_deadly = lambda fields: TROUBLE != "0" and (
        f"{DEADLY_PART}:" in fields.get("prompt-prefix", ""))
    store.put("config", "main", configuration(GROUP_SIZE))
    for index in range(2):
        path = Path(store)
        await path.start()
        nodes.append(Node(f"front-{index}", path, 17340))
    count = 0
    for domain in range(DOMAINS):
        for _ in range(SERVERS_PER_DOMAIN):
            count += 1
            await Server(fleet, f"i-{count:010x}", f"domain-{domain}").start()

    async def replace(server):
        """Starts a crashed server again, with a new id."""
        nonlocal count
        await asyncio.sleep(DOWN_S)
        count += 1
        await Server(fleet, f"i-{count:010x}", server.domain, server.port,
                     server.staged).start()

    fleet.on_crash = lambda server: tasks.append(
        asyncio.create_task(replace(server)))
    tasks = []
    for node in nodes:
        node.start()
    groups = DOMAINS * (SERVERS_PER_DOMAIN // GROUP_SIZE)
    await fleet.wait_for_open_groups(groups)

    client = Client(record)
    deadly, sound = [], []
    begun_at = now()
    number = 0
    while now() < begun_at + LOAD_TIME_S:
        number += 1
        is_deadly = number % SOUND_PER_DEADLY == 0
        fields = {"Model": "m0", "Token-Counts": "770,70",
                  "Prompt-Prefix": prompt(number, is_deadly)}
        task = asyncio.create_task(client.request(
            nodes[number // SOUND_PER_DEADLY % len(nodes)], "/llm/x", fields,
            f"{{{number}}}".encode()))
        (deadly if is_deadly else sound).append((number, task))
        await asyncio.sleep(0.06)
    await asyncio.gather(*[task for _, task in deadly + sound])

    deadly_ids = {f"{index:016x}" for index, _ in deadly}
    served = sum(1 for _, task in sound if task.result()["status"] == 200)
    fifth = sorted(fleet.crashes)[4] if len(fleet.crashes) > 4 else None
    late = [] if fifth is None else [
        arrival for arrival in fleet.arrivals
        if arrival[1] in deadly_ids and arrival[0] > fifth + CONTACT_S]
    for arrival in late:
        record.write("BUDGET:", arrival[1], "reached", arrival[2])
    print(f"{len(deadly)} requests with the part, {len(fleet.crashes)} "
          f"crashes; {len(late)} reached servers later than contact_ms after "
          f"the fifth; {served} of {len(sound)} sound requests served")
    if not served:
        return CASE_NOT_RUN
    return 1 if len(late) > MAX_LATE_REQUESTS else 0


run_case(FOLDER, run)
