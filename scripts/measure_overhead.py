#!/usr/bin/env python3
"""Measures the latency that a node adds to calls to an engine stand-in.

Calls to the engine and through the node alternate, with the same prompt and one
token each. Client processes keep their connections.
"""

import argparse
import http.client
import json
import multiprocessing
import os
import sys
import time

from loopback import Deployment

BOUND_MS = 1.0
PROMPT = "x" * 2000


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Caller:
    def __init__(self, port, key=None):
        self.connection = http.client.HTTPConnection("127.0.0.1", port,
                                                     timeout=20)
        self.headers = {"Content-Type": "application/json"}
        if key:
            self.headers["Authorization"] = "Bearer " + key
        self.body = json.dumps({
            "model": "chat", "stream": True, "max_tokens": 1,
            "messages": [{"role": "user", "content": PROMPT}]})

    def call(self):
        """Returns the milliseconds to the complete response."""
        started = time.perf_counter()
        self.connection.request("POST", "/v1/chat/completions", self.body,
                                self.headers)
        response = self.connection.getresponse()
        text = response.read()
        took = (time.perf_counter() - started) * 1000
        if response.status != 200 or b"[DONE]" not in text:
            raise RuntimeError(f"{response.status} {text[:300]}")
        return took


def alternate(engine_port, node_port, rounds, results):
    direct = Caller(engine_port)
    through = Caller(node_port, "acme-key")
    times = ([], [])
    for _ in range(rounds):
        times[0].append(direct.call())
        times[1].append(through.call())
    results.put(times)


def flood(node_port, rounds, results):
    through = Caller(node_port, "acme-key")
    results.put([through.call() for _ in range(rounds)])


def run_clients(target, arguments, clients):
    """Runs client processes; returns (their results, seconds)."""
    results = multiprocessing.Queue()
    started = time.perf_counter()
    processes = [multiprocessing.Process(target=target,
                                         args=(*arguments, results))
                 for _ in range(clients)]
    for process in processes:
        process.start()
    gathered = [results.get(timeout=120) for _ in processes]
    seconds = time.perf_counter() - started
    for process in processes:
        process.join()
    return gathered, seconds


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def compare(engine_port, node_port, clients, rounds):
    gathered, _ = run_clients(alternate, (engine_port, node_port, rounds),
                              clients)
    direct = [value for times in gathered for value in times[0]]
    through = [value for times in gathered for value in times[1]]
    middle = percentile(direct, 0.5), percentile(through, 0.5)
    return {"clients": clients, "calls": len(direct),
            "direct_p50_ms": round(middle[0], 3),
            "through_p50_ms": round(middle[1], 3),
            "added_p50_ms": round(middle[1] - middle[0], 3),
            "direct_p99_ms": round(percentile(direct, 0.99), 3),
            "through_p99_ms": round(percentile(through, 0.99), 3)}


def measure(deployment, rounds):
    node = deployment.nodes[0]
    engine_port = deployment.vm_port("vm-0-0")
    compare(engine_port, node.client_port, 1, 50)
    deployment.wait(lambda: all(g["warm"] for g in deployment.groups()), 30,
                    "the group to be warm")
    results = [compare(engine_port, node.client_port, clients,
                       rounds // clients) for clients in (1, 8)]
    before = cpu_seconds(node.process.pid)
    gathered, seconds = run_clients(flood, (node.client_port, rounds // 8), 8)
    calls = sum(len(times) for times in gathered)
    used = cpu_seconds(node.process.pid) - before
    return {"sequential": results[0], "eight_clients": results[1],
            "requests_per_s": round(calls / seconds),
            "cpu_ms_per_request": round(used * 1000 / calls, 3),
            "load_average": round(os.getloadavg()[0], 1),
            "ok": all(r["added_p50_ms"] < BOUND_MS for r in results)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=32000)
    parser.add_argument("--rounds", type=int, default=4000)
    arguments = parser.parse_args()
    deployment = Deployment(
        arguments.base_port, spares=0, zones=1, members=1,
        engine_defaults={"token_ms": 0, "prefill_us_per_kb": 0},
        node_settings={"drainGraceMs": 0, "seeds": []})
    try:
        deployment.start_standins()
        deployment.start_nodes(1)
        deployment.configure(["acme"], replicas=1)
        deployment.wait_serving(1, 60)
        result = measure(deployment, arguments.rounds)
    finally:
        deployment.close()
    print(json.dumps(result))
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
