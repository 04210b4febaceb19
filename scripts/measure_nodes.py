#!/usr/bin/env python3
"""Measures the control-plane cost of a node at several deployment sizes.

Starts a loopback deployment for each size, waits until its groups serve, and
then reads, over a fixed time without client load, the CPU time, memory
and peer traffic of the nodes and the calls that the platform stand-in counted.
Prints one JSON line per size.
"""
import argparse
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

OPERATOR_KEY = "operator-key"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def http_call(url, body=None):
    request = urllib.request.Request(
        url,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Authorization": "Bearer " + OPERATOR_KEY},
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def wait_until(condition, description, timeout_s=60):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.1)
    raise RuntimeError("timed out waiting for " + description)


class Deployment:
    def __init__(self, programs, port, nodes, groups, members):
        self.programs, self.port = programs, port
        self.nodes, self.groups, self.members = nodes, groups, members
        self.folder = tempfile.mkdtemp()
        self.processes = []
        self.node_processes = []

    def write_json(self, name, value):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            json.dump(value, file)
        return path

    def start_process(self, *arguments):
        process = subprocess.Popen(
            [os.path.join(self.programs, arguments[0]), *arguments[1:]],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def start_and_wait(self):
        vms, engines = [], []
        for group in range(self.groups):
            for member in range(self.members):
                port = self.port + 1000 + group * self.members + member
                name = f"vm-{group}-{member}"
                vms.append({"vm": name, "address": f"127.0.0.1:{port}",
                            "zone": f"zone-{group % 3}",
                            "domain": f"domain-{group}"})
                engines.append({"vm": name, "port": port})
        platform = self.write_json("platform.json", {"vms": vms})
        self.start_process("fulmarwinch-standin", "platform", "--port",
                           str(self.port),
                           "--config", platform)
        engines_file = self.write_json("engines.json", {
            "platform": f"127.0.0.1:{self.port}", "control_port": self.port + 1,
            "defaults": {"weight_bytes": 1e6}, "engines": engines})
        self.start_process("fulmarwinch-standin", "engines", "--config",
                           engines_file)
        time.sleep(1)
        for node in range(self.nodes):
            settings = self.write_json(f"node-{node}.json", {
                "node": f"node-{node}", "region": "r", "zone": f"zone-{node % 3}",
                "clientEndpoint": f"127.0.0.1:{self.port + 100 + node}",
                "operatorEndpoint": f"127.0.0.1:{self.port + 300 + node}",
                "peerEndpoint": f"127.0.0.1:{self.port + 500 + node}",
                "platformEndpoint": f"127.0.0.1:{self.port}",
                "seeds": [f"127.0.0.1:{self.port + 500}"],
                "expectedZones": 3, "drainGraceMs": 0, "httpThreads": 1,
                "logLevel": "error",
                "bootstrapKeySha256": hashlib.sha256(
                    OPERATOR_KEY.encode()).hexdigest()})
            self.node_processes.append(
                self.start_process("fulmarwinchd", "--config", settings))
        operator_url = f"http://127.0.0.1:{self.port + 300}"
        wait_until(lambda: http_call(operator_url + "/readyz")[0] == 200,
                   "a ready node")
        status, body = http_call(operator_url + "/v1/intents", {"entries": [{
            "kind": "deployment", "name": "chat", "model": "m", "version": "1",
            "contextLength": 10000, "vmsPerGroup": self.members,
            "replicas": self.groups, "engineChecksFencing": True}]})
        if status != 200:
            raise RuntimeError(body)
        plan = json.loads(body)
        status, body = http_call(
            f"{operator_url}/v1/plans/{plan['id']}/confirm", {})
        if status != 200:
            raise RuntimeError(body)
        wait_until(lambda: self.serving_groups(operator_url) == self.groups,
                   "the groups to serve", 120)

    @staticmethod
    def serving_groups(operator_url):
        groups = json.loads(
            http_call(operator_url + "/v1/status")[1])["groups"]
        return sum(group["serving"] for group in groups)

    def sample(self):
        cpu, memory, peer_bytes_sent = [], [], []
        for index, process in enumerate(self.node_processes):
            with open(f"/proc/{process.pid}/stat") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            cpu.append((int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND)
            memory.append(int(fields[21]) * PAGE_BYTES)
            text = http_call(
                f"http://127.0.0.1:{self.port + 300 + index}/metrics")[1]
            peer_bytes_sent.append({line.split()[0]: float(line.split()[1])
                                    for line in text.splitlines()
                                    if line.startswith(
                                        "fulmarwinch_peer_bytes_sent_total")})
        counts = json.loads(
            http_call(f"http://127.0.0.1:{self.port}/control")[1])["counts"]
        return cpu, memory, peer_bytes_sent, counts

    def stop(self):
        for process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for process in reversed(self.processes):
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()


def mean(values):
    return sum(values) / len(values)


def measure(deployment, seconds):
    deployment.start_and_wait()
    time.sleep(5)
    before = deployment.sample()
    time.sleep(seconds)
    after = deployment.sample()
    cpu = [(b - a) / seconds * 100 for a, b in zip(before[0], after[0])]
    channels = {}
    for before_bytes, last in zip(before[2], after[2]):
        for name, value in last.items():
            channel = name.split('"')[1]
            rate = (value - before_bytes.get(name, 0)) / seconds
            channels.setdefault(channel, []).append(rate)
    calls = {kind: round((value - before[3].get(kind, 0)) / seconds, 1)
             for kind, value in after[3].items()}
    return {
        "nodes": deployment.nodes,
        "vms": deployment.groups * deployment.members,
        "cpu_percent_mean": round(mean(cpu), 2),
        "cpu_percent_max": round(max(cpu), 2),
        "memory_mb_mean": round(mean(after[1]) / 1e6, 1),
        "peer_bytes_per_s_mean": {
            channel: round(sum(rates) / deployment.nodes)
            for channel, rates in sorted(channels.items())},
        "store_calls_per_s": calls,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", default="build/release")
    parser.add_argument("--port", type=int, default=40000)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--members", type=int, default=4)
    parser.add_argument("--sizes", default="3x3,9x3,27x3,9x9,9x27",
                        help="nodes x groups, separated by commas")
    arguments = parser.parse_args()
    for size in arguments.sizes.split(","):
        nodes, groups = (int(part) for part in size.split("x"))
        deployment = Deployment(arguments.programs, arguments.port, nodes,
                                groups, arguments.members)
        try:
            print(json.dumps(measure(deployment, arguments.seconds)),
                  flush=True)
        finally:
            deployment.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
