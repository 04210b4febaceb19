#!/usr/bin/env python3
"""Measures the latency that a node adds to calls to an engine stand-in.

Each client alternates between calls to the engine and calls through the node,
with the same prompt and one token each, over persistent connections.
"""

import argparse
import http.client
import json
import multiprocessing
import os
import sys
import time

from loopback import Deployment

ADDED_LATENCY_BOUND_MS = 1.0
PROMPT = "x" * 2000


def percentile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class CompletionClient:
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
        """Sends one request; returns the milliseconds to the full response."""
        started = time.perf_counter()
        self.connection.request("POST", "/v1/chat/completions", self.body,
                                self.headers)
        response = self.connection.getresponse()
        text = response.read()
        elapsed_ms = (time.perf_counter() - started) * 1000
        if response.status != 200 or b"[DONE]" not in text:
            raise RuntimeError(f"{response.status} {text[:300]}")
        return elapsed_ms


def alternate_calls(engine_port, node_port, rounds, results):
    direct = CompletionClient(engine_port)
    via_node = CompletionClient(node_port, "acme-key")
    latencies = ([], [])
    for _ in range(rounds):
        latencies[0].append(direct.call())
        latencies[1].append(via_node.call())
    results.put(latencies)


def send_back_to_back(node_port, rounds, results):
    via_node = CompletionClient(node_port, "acme-key")
    results.put([via_node.call() for _ in range(rounds)])


def run_clients(target, arguments, clients):
    """Runs client processes; returns their results and the run time in s."""
    results = multiprocessing.Queue()
    started = time.perf_counter()
    processes = [multiprocessing.Process(target=target,
                                         args=(*arguments, results))
                 for _ in range(clients)]
    for process in processes:
        process.start()
    client_results = [results.get(timeout=120) for _ in processes]
    seconds = time.perf_counter() - started
    for process in processes:
        process.join()
    return client_results, seconds


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def compare_latency(engine_port, node_port, clients, rounds):
    client_results, _ = run_clients(alternate_calls,
                                    (engine_port, node_port, rounds), clients)
    direct = [value for latencies in client_results for value in latencies[0]]
    via_node = [value for latencies in client_results
                for value in latencies[1]]
    medians = percentile(direct, 0.5), percentile(via_node, 0.5)
    return {"clients": clients, "calls": len(direct),
            "direct_p50_ms": round(medians[0], 3),
            "through_p50_ms": round(medians[1], 3),
            "added_p50_ms": round(medians[1] - medians[0], 3),
            "direct_p99_ms": round(percentile(direct, 0.99), 3),
            "through_p99_ms": round(percentile(via_node, 0.99), 3)}


def measure(deployment, rounds):
    node = deployment.nodes[0]
    engine_port = deployment.vm_port("vm-0-0")
    compare_latency(engine_port, node.client_port, 1, 50)
    deployment.wait_until(lambda: all(g["warm"] for g in deployment.groups()),
                          30, "the group to be warm")
    results = [compare_latency(engine_port, node.client_port, clients,
                               rounds // clients) for clients in (1, 8)]
    before = cpu_seconds(node.process.pid)
    client_results, seconds = run_clients(send_back_to_back,
                                          (node.client_port, rounds // 8), 8)
    calls = sum(len(latencies) for latencies in client_results)
    cpu_used_s = cpu_seconds(node.process.pid) - before
    return {"sequential": results[0], "eight_clients": results[1],
            "requests_per_s": round(calls / seconds),
            "cpu_ms_per_request": round(cpu_used_s * 1000 / calls, 3),
            "load_average": round(os.getloadavg()[0], 1),
            "ok": all(r["added_p50_ms"] < ADDED_LATENCY_BOUND_MS
                      for r in results)}


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
        deployment.wait_for_serving_groups(1, 60)
        result = measure(deployment, arguments.rounds)
    finally:
        deployment.close()
    print(json.dumps(result))
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
