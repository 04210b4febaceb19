"""A deployment of fulmarwinch on the loopback interface with its stand-ins."""

import hashlib
import json
import os
import random
import signal
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Another build, for example one with a sanitizer, can be named.
BUILD = os.environ.get("FULMARWINCH_BUILD",
                       os.path.join(ROOT, "build", "release"))
OPERATOR_KEY = "operator-key"
ZONES = 3
MEMBERS = 4


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def call(url, body=None, key=None, headers=None, timeout=20):
    """Returns (status, text) of one HTTP call."""
    request = urllib.request.Request(
        url, data=None if body is None else json.dumps(body).encode(),
        headers=dict(headers or {}))
    if key:
        request.add_header("Authorization", "Bearer " + key)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class DeploymentError(Exception):
    """The deployment did not reach the state that a step waits for."""


class Node:
    def __init__(self, name, zone, process, ports):
        self.name = name
        self.zone = zone
        self.process = process
        self.client_port, self.operator_port, self.peer_port = ports
        self.is_ready = False
        # True while a fault or a stop is applied to the node.
        self.is_disturbed = False
        self.was_killed = False


class Deployment:
    """Platform, engines, payout service and nodes as child processes.

    It uses the ports from `base_port` up to `base_port` + 409.
    """

    def __init__(self, base_port, spares=1, zones=ZONES, members=MEMBERS,
                 engine_defaults=None, node_settings=None):
        self.base = base_port
        self.zones = zones
        self.members = members
        self.node_settings = node_settings or {}
        self.engine_defaults = engine_defaults or {}
        self.directory = tempfile.mkdtemp(prefix="fulmarwinch-")
        self.processes = []
        self.nodes = []
        self.vms = [f"vm-{zone}-{index}" for zone in range(zones)
                    for index in range(members + spares)]
        self._stop = threading.Event()
        self._poller = None

    # Addresses.

    def vm_port(self, vm):
        _, zone, index = vm.split("-")
        return self.base + 100 + 20 * int(zone) + int(index)

    def vm_of(self, address):
        for vm in self.vms:
            if address.endswith(f":{self.vm_port(vm)}"):
                return vm
        raise DeploymentError(f"no VM has the address {address}")

    def _url(self, port, path):
        return f"http://127.0.0.1:{port}{path}"

    # Processes.

    def _spawn(self, name, *command):
        log = open(os.path.join(self.directory, name + ".log"), "ab")
        # A session of its own keeps Ctrl-C from reaching the children, which
        # are stopped in order by close().
        process = subprocess.Popen(
            [os.path.join(BUILD, command[0]), *command[1:]], stderr=log,
            stdout=subprocess.DEVNULL, start_new_session=True)
        log.close()
        self.processes.append(process)
        return process

    def _write(self, name, value):
        path = os.path.join(self.directory, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file)
        return path

    def start_standins(self):
        rows = [{"vm": vm, "address": f"127.0.0.1:{self.vm_port(vm)}",
                 "zone": f"zone-{vm.split('-')[1]}",
                 "domain": f"domain-{vm.split('-')[1]}"} for vm in self.vms]
        engines = {"platform": f"127.0.0.1:{self.base}",
                   "control_port": self.base + 99,
                   "defaults": self.engine_defaults,
                   "engines": [{"vm": vm, "port": self.vm_port(vm)}
                               for vm in self.vms]}
        self._spawn("platform", "fulmarwinch-standin", "platform", "--port",
                    str(self.base), "--config",
                    self._write("platform.json", {"vms": rows}))
        self._spawn("engines", "fulmarwinch-standin", "engines", "--config",
                    self._write("engines.json", engines))
        self._spawn("service", "fulmarwinch-standin", "service", "--port",
                    str(self.base + 50))
        for port in (self.base, self.base + 99, self.base + 50):
            self.wait(lambda port=port: call(self._url(port, "/control")),
                      10, f"stand-in on port {port}")

    def start_node(self, number, name=None):
        name = name or f"node-{number}"
        ports = [self.base + offset + number for offset in (200, 300, 400)]
        settings = {
            "node": name, "region": "loopback",
            "zone": f"zone-{number % self.zones}",
            "clientEndpoint": f"127.0.0.1:{ports[0]}",
            "operatorEndpoint": f"127.0.0.1:{ports[1]}",
            "peerEndpoint": f"127.0.0.1:{ports[2]}",
            "platformEndpoint": f"127.0.0.1:{self.base}",
            "seeds": [f"127.0.0.1:{self.base + 400 + seed}"
                      for seed in range(3)],
            "bootstrapKeySha256": sha256(OPERATOR_KEY),
            "expectedZones": self.zones, **self.node_settings}
        process = self._spawn(name, "fulmarwinchd", "--config",
                              self._write(name + ".json", settings))
        node = Node(name, settings["zone"], process, ports)
        self.nodes.append(node)
        return node

    def start_nodes(self, count):
        for number in range(count):
            self.start_node(number)
        self._poller = threading.Thread(target=self._poll_ready, daemon=True)
        self._poller.start()
        self.wait(self._all_ready, 30, "all nodes to be ready")

    def _all_ready(self):
        for node in self.nodes:
            if node.process.poll() is not None:
                raise DeploymentError(f"{node.name} ended; logs are in "
                                      f"{self.directory}")
        return all(node.is_ready for node in self.nodes)

    def _poll_ready(self):
        """Takes the part of the load balancer's health check."""
        while not self._stop.wait(0.2):
            for node in list(self.nodes):
                try:
                    status, _ = call(self._url(node.operator_port, "/readyz"),
                                     timeout=0.5)
                    node.is_ready = status == 200
                except OSError:
                    node.is_ready = False
                if self._stop.is_set():
                    node.is_ready = False

    def pick_node(self, rng, avoid=None):
        ready = [node for node in self.nodes if node.is_ready]
        others = [node for node in ready if node is not avoid]
        choice = others or ready
        return rng.choice(choice) if choice else None

    def remove_node(self, node):
        self.nodes.remove(node)

    def close(self):
        """Ends every child process, the paused ones too.

        The nodes go first, so that they can finish their work at the engines.
        Returns how many processes had to be killed.
        """
        self._stop.set()
        # The clients find no node any more and stop sending.
        for node in self.nodes:
            node.is_ready = False
        nodes = [p for p in self.processes if p.args[0].endswith("winchd")]
        standins = [p for p in self.processes if p not in nodes]
        return self._end(nodes) + self._end(standins)

    @staticmethod
    def _end(processes):
        running = [p for p in processes if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 15
        killed = 0
        for process in running:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed += 1
        return killed

    # Waiting.

    def wait(self, condition, seconds, what):
        deadline = time.monotonic() + seconds
        while True:
            try:
                value = condition()
                if value:
                    return value
            except OSError:
                pass
            if time.monotonic() >= deadline:
                raise DeploymentError(f"waited {seconds} s for {what}; logs "
                                      f"are in {self.directory}")
            time.sleep(0.1)

    def operator(self, path, body=None):
        """Calls the operator endpoint of a node that is ready."""
        last = None
        for node in [n for n in self.nodes if n.is_ready and
                     not n.is_disturbed]:
            try:
                status, text = call(self._url(node.operator_port, path), body,
                                    OPERATOR_KEY)
            except OSError as error:
                last = str(error)
                continue
            if status == 200:
                return json.loads(text)
            last = f"{status} {text}"
        raise DeploymentError(f"{path} failed: {last}")

    def apply(self, entries):
        """Intent, plan and confirm; returns (plan, seconds, sent at)."""
        plan = self.operator("/v1/intents", {"entries": entries})
        plan_id = plan.get("id") or plan.get("plan")
        sent_at = time.time()
        confirmed = self.operator(f"/v1/plans/{plan_id}/confirm", {})
        return plan, confirmed, sent_at

    def groups(self):
        return self.operator("/v1/status")["groups"]

    def wait_serving(self, count, seconds):
        def enough():
            groups = self.groups()
            return sum(g["serving"] for g in groups) >= count and groups
        return self.wait(enough, seconds, f"{count} groups to serve")

    # Stand-ins.

    def members_of(self, group):
        """Returns the VMs of a group, its head first."""
        states = {vm: row["state"] for vm, row in self.engines().items()}
        return sorted((vm for vm, state in states.items()
                       if state["group"] == group),
                      key=lambda vm: states[vm]["rank"])

    def engines(self, settings=None):
        _, text = call(self._url(self.base + 99, "/control"), settings)
        return json.loads(text)["engines"]

    def service(self, settings=None):
        _, text = call(self._url(self.base + 50, "/control"), settings)
        return json.loads(text)

    def platform(self, settings=None):
        _, text = call(self._url(self.base, "/control"), settings)
        return json.loads(text)

    def object(self, key):
        """Returns the value of an object of the platform, parsed."""
        quoted = key.replace("/", "%2F")
        status, text = call(self._url(self.base, "/v1/objects/" + quoted))
        if status != 200:
            raise DeploymentError(f"object {key}: {status} {text}")
        value = json.loads(text)["value"]
        return json.loads(value) if isinstance(value, str) else value

    def stop_vm(self, vm):
        self.engines({"vm": vm, "kill": True})

    def start_vm(self, vm, incarnation):
        self.engines({"vm": vm, "start": True})
        self.platform({"vms": [{"vm": vm, "state": "live",
                                "incarnation": incarnation}]})

    def configure(self, organisations, replicas=ZONES):
        entries = [{"kind": "deployment", "name": "chat", "model": "m",
                    "version": "1", "contextLength": 100000,
                    "vmsPerGroup": self.members, "replicas": replicas,
                    "engineChecksFencing": True},
                   {"kind": "service", "name": "payout",
                    "backends": [f"127.0.0.1:{self.base + 50}"],
                    "nonIdempotentRoutes": [{"method": "POST",
                                             "pathPrefix": "/payouts"}]}]
        entries += [{"kind": "organisation", "name": name,
                     "apiKeySha256": [sha256(name + "-key")]}
                    for name in organisations]
        return self.apply(entries)


class EngineWatch:
    """Samples the engines' counters and states.

    Counts what groups accept while a member has been missing for longer than
    `bound`, as seen by the stand-ins. One sample bounds the error of a time.
    """

    PERIOD = 0.05

    def __init__(self, deployment, bound):
        self._deployment = deployment
        self.bound = bound
        self.late = 0
        self.early = 0
        self.details = []
        self._last = None
        self._last_at = 0.0
        self._incomplete_since = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join()

    def _run(self):
        while not self._stop.wait(self.PERIOD):
            try:
                asked = time.monotonic()
                self._take(self._deployment.engines(), asked)
            except (OSError, ValueError):
                continue

    def _complete_groups(self, engines):
        ready = {}
        for row in engines.values():
            state = row["state"]
            if row["up"] and state["state"] == "ready":
                key = (state["group"], state["generation"])
                ready[key] = ready.get(key, 0) + 1
        return {key for key, count in ready.items()
                if count >= self._deployment.members}

    def _take(self, engines, asked):
        complete = self._complete_groups(engines)
        last = self._last or engines
        for vm, row in engines.items():
            state = row["state"]
            key = (state["group"], state["generation"])
            if not state["group"] or key in complete:
                self._incomplete_since.pop(vm, None)
            else:
                self._incomplete_since.setdefault(vm, asked)
            grown = (row["accepted_while_incomplete"] -
                     last[vm]["accepted_while_incomplete"])
            if grown <= 0:
                continue
            # A stalled engine accepts the calls that it holds when it goes on;
            # they were sent before.
            grown_late = grown - min(grown, last[vm]["held"])
            since = self._incomplete_since.get(vm)
            # The growth lies after the previous sample, so it is late for
            # certain if that sample was already beyond the bound.
            is_late = since is not None and self._last_at - since > self.bound
            self.late += grown_late if is_late else 0
            self.early += grown - (grown_late if is_late else 0)
            self.details.append(
                {"vm": vm, "accepted": grown, "held": last[vm]["held"],
                 "late": is_late and grown_late > 0,
                 "after_s": None if since is None
                 else round(asked - since, 2)})
        self._last = engines
        self._last_at = time.monotonic()


def new_random(seed, name):
    """Returns a generator that depends on the seed and the use only."""
    return random.Random(f"{seed}/{name}")
