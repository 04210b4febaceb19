"""Sound requests, and requests with a prompt part that crashes each server
that begins to write an answer on it."""

import asyncio

from client_standins import Client
from platform_standins import CASE_NOT_RUN, Node, Path, Store, now
from server_standins import Fleet, Server, configuration

DEADLY_PART, SOUND_PART = "dead0001", "50a1d001"
GROUP_SIZE, DOMAINS, SERVERS_PER_DOMAIN = 2, 2, 9
DOWN_S = 3.0
CONTACT_S = 3.0
# One request in this many has the deadly part.
DEADLY_PERIOD = 10
REQUEST_PERIOD_S = 0.06
LOAD_TIME_S = 30
MAX_LATE_REQUESTS = 3


def prompt(number, shared_parts, is_deadly):
    """Parts of a prompt; the last shared one may be deadly."""
    parts = [f"{0x5c1e0000 + index:08x}:30"
             for index in range(shared_parts - 1)]
    parts.append(f"{DEADLY_PART if is_deadly else SOUND_PART}:30")
    parts.append(f"{0x10000 + number:08x}:200")
    return ",".join(parts)


async def run(record, nodes, has_trouble, shared_parts, events_before_crash):
    """Returns the result of the case. Without trouble the part is sound."""
    store = Store()
    await store.start()
    fleet = Fleet(store, record)
    fleet.events_before_crash = events_before_crash
    fleet.is_deadly = lambda fields: has_trouble and (
        f"{DEADLY_PART}:" in fields.get("prompt-prefix", ""))
    store.put("config", "main", configuration(GROUP_SIZE))
    for index in range(2):
        path = Path(store)
        await path.start()
        nodes.append(Node(f"front-{index}", path))
    started = 0
    returns = []

    async def start_server(domain, port=0, staged=()):
        nonlocal started
        started += 1
        await Server(fleet, f"i-{started:010x}", domain, port, staged).start()

    async def replace(server):
        await asyncio.sleep(DOWN_S)
        await start_server(server.domain, server.port, server.staged)

    fleet.on_crash = lambda server: returns.append(
        asyncio.create_task(replace(server)))
    for domain in range(DOMAINS):
        for _ in range(SERVERS_PER_DOMAIN):
            await start_server(f"domain-{domain}")
    for node in nodes:
        node.start()
    await fleet.wait_for_open_groups(
        DOMAINS * (SERVERS_PER_DOMAIN // GROUP_SIZE))

    client, tasks, deadly_ids = Client(record), [], set()
    begun_at = now()
    while now() < begun_at + LOAD_TIME_S:
        number = len(tasks) + 1
        is_deadly = number % DEADLY_PERIOD == 0
        fields = {"Model": "m0", "Token-Counts": "770,70", "Prompt-Prefix":
                  prompt(number, shared_parts, is_deadly)}
        tasks.append(asyncio.create_task(client.request(
            nodes[number // DEADLY_PERIOD % len(nodes)], "/llm/x", fields,
            f"{{{number}}}".encode())))
        await asyncio.sleep(0)
        if is_deadly:
            deadly_ids.add(client.last_id)
        await asyncio.sleep(REQUEST_PERIOD_S)
    await asyncio.gather(*tasks)

    sound = [entry for request_id, entry in client.requests.items()
             if request_id not in deadly_ids]
    served = sum(1 for entry in sound if entry["status"] == 200 and
                 entry["outcome"] == "answered")
    crashes = sorted(fleet.crashes)
    late = [arrival for arrival in fleet.arrivals if len(crashes) > 4 and
            arrival[1] in deadly_ids and arrival[0] > crashes[4] + CONTACT_S]
    for _, request_id, server, _ in late:
        record.write("BUDGET:", request_id, "reached", server)
    print(f"{len(deadly_ids)} requests with the part, {len(crashes)} crashes; "
          f"{len(late)} reached servers later than contact_ms after the "
          f"fifth; {served} of {len(sound)} sound requests served")
    if not served:
        return CASE_NOT_RUN
    return 1 if len(late) > MAX_LATE_REQUESTS else 0
