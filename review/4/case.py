"""A lease that is regained with its epoch makes the planner name a second
group like one that serves."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from client_standins import Client
from platform_standins import CASE_NOT_RUN, Node, Path, Store, run_case
from server_standins import Fleet, Server, configuration

# 1: cut and crash; crash: the crash only; 0: neither.
TROUBLE = os.environ.get("TROUBLE", "1")
CUT_S = 1.3
# The crashed server is back after the lease has run out and before the cut
# ends.
RETURN_S = 1.17
# Ids are the platform's to choose; what matters is their order.
DOMAIN_A = ["i-1a00000001", "i-9a00000002", "i-9a00000003", "i-9a00000004"]
DOMAIN_B = ["i-5b00000001", "i-5b00000002", "i-5b00000003", "i-5b00000004"]
RETURNED = "i-5b00000005"
GROUP_SIZE = 4


async def run(record, nodes):
    store = Store()
    await store.start()
    fleet = Fleet(store, record)
    store.put("config", "main", configuration(GROUP_SIZE))
    paths = []
    for index in range(2):
        path = Path(store)
        await path.start()
        paths.append(path)
        nodes.append(Node(f"front-{index}", path))
    for server_id in DOMAIN_B:
        await Server(fleet, server_id, "domain-b").start()
    for node in nodes:
        node.start()
    await fleet.wait_for_open_groups(1)

    def holder():
        taken = [(event["time_ms"], node) for node in nodes
                 for event in node.events("lease_taken")]
        return max(taken, key=lambda entry: entry[0])[1]

    # Planned restart of the lease's holder, so that the lease changes hands.
    first = holder()
    record.write("planned restart of", first.name)
    await first.terminate()
    first.start()
    await first.wait_until_ready()
    # Planned growth: four servers of a second domain form a group.
    for server_id in DOMAIN_A:
        await Server(fleet, server_id, "domain-a").start()
    await fleet.wait_for_open_groups(2)
    record.write("groups open; lease held by", holder().name)

    client, end = Client(record), asyncio.Event()
    load = asyncio.create_task(client.load(nodes, end))
    await asyncio.sleep(4)
    if TROUBLE == "0":
        await asyncio.sleep(2.6 + CUT_S)
    else:
        member = fleet.servers[DOMAIN_B[3]]
        member.crash()
        await asyncio.sleep(2.6)
        if TROUBLE == "1":
            path = holder().path
            record.write("cut of", holder().name, "from the store for", CUT_S)
            cut = asyncio.create_task(path.cut_after_renewal(CUT_S))
            while path.is_open.is_set():
                await asyncio.sleep(0.001)
            await asyncio.sleep(RETURN_S)
        await Server(fleet, RETURNED, "domain-b", member.port,
                     ["m0"]).start()
        record.write("server", RETURNED, "starts in the place of", member.id)
        if TROUBLE == "1":
            await cut
            record.write("the cut ends")
    await asyncio.sleep(8)
    end.set()
    await load
    for node in nodes:
        for event in node.events("lease_taken", "lease_lost"):
            record.write(node.name, event)
    served = client.count(200)
    print(f"{len(client.requests)} requests, {served} served; "
          f"{len(fleet.partial_runs)} began to run in a group with a member "
          "that had never been ready")
    if served == 0:
        return CASE_NOT_RUN
    for at, request_id, group, members in fleet.partial_runs:
        record.write("PARTIAL:", request_id, "ran in", group, members)
    return 1 if fleet.partial_runs else 0


run_case(FOLDER, run)
