"""An entry of another writer takes the place of the head of a group that
serves."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from client_standins import Client
from platform_standins import CASE_NOT_RUN, Node, Path, Store, run_case
from server_standins import Fleet, Server, configuration

# 1: another writer writes one entry; 0: it does not.
TROUBLE = os.environ.get("TROUBLE", "1")
# What is wrong with the entry: "rank" is missing from its group, or its
# "service" is not named in the configuration.
ODD_FIELD = os.environ.get("ODD_FIELD", "rank")
GROUP_SIZE, DOMAINS, SERVERS_PER_DOMAIN = 4, 2, 5
FOREIGN_ENTRY = "other-writer"


def odd_entry(head):
    entry = {"service": "llm", "address": "127.0.0.1:9", "zone": "a",
             "version": "1", "slots": 26, "state": "ready",
             "cold_remaining_ms": 0, "born": int(time.time() * 1000),
             "seq_no": 0, "domain": head.domain, "staged": [], "models": []}
    if ODD_FIELD == "rank":
        entry["group"] = {"name": head.group["name"],
                          "epoch": head.group["epoch"], "state": "broken"}
    else:
        entry["service"] = "not-named"
        entry["address"] = f"127.0.0.1:{head.port}"
    return entry


async def run(record, nodes):
    store = Store()
    await store.start()
    fleet = Fleet(store, record)
    store.put("config", "main", configuration(GROUP_SIZE))
    for index in range(2):
        path = Path(store)
        await path.start()
        nodes.append(Node(f"front-{index}", path))
    for domain in range(DOMAINS):
        for number in range(SERVERS_PER_DOMAIN):
            await Server(fleet, f"i-{domain + 1}a0000000{number}",
                         f"domain-{domain}", staged=["m0"]).start()
    for node in nodes:
        node.start()
    await fleet.wait_for_open_groups(DOMAINS)

    client, end = Client(record), asyncio.Event()
    load = asyncio.create_task(client.load(nodes, end))
    await asyncio.sleep(4)
    head = next(server for server in fleet.servers.values()
                if server.group and server.group["state"] == "open")
    if TROUBLE != "0":
        entry = odd_entry(head)
        store.put("servers", FOREIGN_ENTRY, entry)
        record.write("entry", FOREIGN_ENTRY, "is written:", entry)
    await asyncio.sleep(12)
    end.set()
    await load
    served = client.count(200)
    print(f"{len(client.requests)} requests, {served} served; "
          f"{len(fleet.joins_of_two)} joins taken while the head of the "
          "server's group served")
    if not served:
        return CASE_NOT_RUN
    return 1 if fleet.joins_of_two else 0


run_case(FOLDER, run)
