"""Runs fulmarwinch nodes and stand-in services on the loopback interface."""

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

SOURCE_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# FULMARWINCH_BUILD selects another build, for example one with a sanitizer.
BUILD_FOLDER = os.environ.get("FULMARWINCH_BUILD",
                              os.path.join(SOURCE_ROOT, "build", "release"))
OPERATOR_KEY = "operator-key"
ZONE_COUNT = 3
MEMBERS_PER_GROUP = 4


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def http_call(url, body=None, key=None, headers=None, timeout=20):
    """Sends one HTTP request and returns (status, body text).

    Connection failures and timeouts raise OSError.
    """
    request = urllib.request.Request(
        url, data=None if body is None else json.dumps(body).encode(),
        headers=dict(headers or {}))
    if key:
        request.add_header("Authorization", "Bearer " + key)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class DeploymentError(Exception):
    """The deployment did not reach a required state or a request failed."""


class Node:
    def __init__(self, name, zone, process, ports):
        self.name = name
        self.zone = zone
        self.process = process
        self.client_port, self.operator_port, self.peer_port = ports
        self.is_ready = False
        # True while a test pauses, kills or stops the node.
        self.is_disturbed = False
        self.was_killed = False


class Deployment:
    """Runs the platform, engines, payout service and nodes as processes.

    Uses the ports from `base_port` up to `base_port` + 409.
    """

    def __init__(self, base_port, spares=1, zones=ZONE_COUNT,
                 members=MEMBERS_PER_GROUP, engine_defaults=None,
                 node_settings=None):
        self.base_port = base_port
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
        self._readiness_thread = None

    # VM addresses.

    def vm_port(self, vm):
        _, zone, index = vm.split("-")
        return self.base_port + 100 + 20 * int(zone) + int(index)

    def vm_at_address(self, address):
        for vm in self.vms:
            if address.endswith(f":{self.vm_port(vm)}"):
                return vm
        raise DeploymentError(f"no VM has the address {address}")

    def _url(self, port, path):
        return f"http://127.0.0.1:{port}{path}"

    # Child processes.

    def _start_process(self, name, *command):
        log = open(os.path.join(self.directory, name + ".log"), "ab")
        # A separate session shields the child processes from Ctrl-C;
        # close() stops them in order.
        process = subprocess.Popen(
            [os.path.join(BUILD_FOLDER, command[0]), *command[1:]], stderr=log,
            stdout=subprocess.DEVNULL, start_new_session=True)
        log.close()
        self.processes.append(process)
        return process

    def _write_json(self, name, value):
        path = os.path.join(self.directory, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file)
        return path

    def start_standins(self):
        rows = [{"vm": vm, "address": f"127.0.0.1:{self.vm_port(vm)}",
                 "zone": f"zone-{vm.split('-')[1]}",
                 "domain": f"domain-{vm.split('-')[1]}"} for vm in self.vms]
        engines = {"platform": f"127.0.0.1:{self.base_port}",
                   "control_port": self.base_port + 99,
                   "defaults": self.engine_defaults,
                   "engines": [{"vm": vm, "port": self.vm_port(vm)}
                               for vm in self.vms]}
        self._start_process("platform", "fulmarwinch-standin", "platform",
                            "--port", str(self.base_port), "--config",
                            self._write_json("platform.json", {"vms": rows}))
        self._start_process("engines", "fulmarwinch-standin", "engines",
                            "--config",
                            self._write_json("engines.json", engines))
        self._start_process("service", "fulmarwinch-standin", "service",
                            "--port", str(self.base_port + 50))
        for port in (self.base_port, self.base_port + 99, self.base_port + 50):
            self.wait_until(
                lambda port=port: http_call(self._url(port, "/control")),
                10, f"stand-in on port {port}")

    def start_node(self, node_index, name=None):
        name = name or f"node-{node_index}"
        ports = [self.base_port + offset + node_index
                 for offset in (200, 300, 400)]
        settings = {
            "node": name, "region": "loopback",
            "zone": f"zone-{node_index % self.zones}",
            "clientEndpoint": f"127.0.0.1:{ports[0]}",
            "operatorEndpoint": f"127.0.0.1:{ports[1]}",
            "peerEndpoint": f"127.0.0.1:{ports[2]}",
            "platformEndpoint": f"127.0.0.1:{self.base_port}",
            "seeds": [f"127.0.0.1:{self.base_port + 400 + seed}"
                      for seed in range(3)],
            "bootstrapKeySha256": sha256(OPERATOR_KEY),
            "expectedZones": self.zones, **self.node_settings}
        process = self._start_process(
            name, "fulmarwinchd", "--config",
            self._write_json(name + ".json", settings))
        node = Node(name, settings["zone"], process, ports)
        self.nodes.append(node)
        return node

    def start_nodes(self, count):
        for node_index in range(count):
            self.start_node(node_index)
        self._readiness_thread = threading.Thread(target=self._poll_readiness,
                                                  daemon=True)
        self._readiness_thread.start()
        self.wait_until(self._all_ready, 30, "all nodes to be ready")

    def _all_ready(self):
        for node in self.nodes:
            if node.process.poll() is not None:
                raise DeploymentError(f"{node.name} exited; logs are in "
                                      f"{self.directory}")
        return all(node.is_ready for node in self.nodes)

    def _poll_readiness(self):
        """Polls the readiness probe of each node, as a load balancer does."""
        while not self._stop.wait(0.2):
            for node in list(self.nodes):
                try:
                    status, _ = http_call(
                        self._url(node.operator_port, "/readyz"), timeout=0.5)
                    node.is_ready = status == 200
                except OSError:
                    node.is_ready = False
                if self._stop.is_set():
                    node.is_ready = False

    def choose_ready_node(self, rng, excluded=None):
        ready = [node for node in self.nodes if node.is_ready]
        others = [node for node in ready if node is not excluded]
        choice = others or ready
        return rng.choice(choice) if choice else None

    def remove_node(self, node):
        self.nodes.remove(node)

    def close(self):
        """Stops every child process, including paused ones.

        Stops the nodes before the engines so that in-flight requests can
        complete. Returns the number of processes that had to be killed.
        """
        self._stop.set()
        # Clients send requests only to ready nodes, so they stop now.
        for node in self.nodes:
            node.is_ready = False
        nodes = [p for p in self.processes if p.args[0].endswith("winchd")]
        standins = [p for p in self.processes if p not in nodes]
        return self._terminate(nodes) + self._terminate(standins)

    @staticmethod
    def _terminate(processes):
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

    # Operator endpoint and wait conditions.

    def wait_until(self, condition, seconds, description):
        deadline = time.monotonic() + seconds
        while True:
            try:
                value = condition()
                if value:
                    return value
            except OSError:
                pass
            if time.monotonic() >= deadline:
                raise DeploymentError(f"waited {seconds} s for {description}; "
                                      f"logs are in {self.directory}")
            time.sleep(0.1)

    def call_operator(self, path, body=None):
        """Sends an operator request to ready nodes until one accepts it."""
        last_error = None
        for node in [n for n in self.nodes if n.is_ready and
                     not n.is_disturbed]:
            try:
                status, text = http_call(self._url(node.operator_port, path),
                                         body, OPERATOR_KEY)
            except OSError as error:
                last_error = str(error)
                continue
            if status == 200:
                return json.loads(text)
            last_error = f"{status} {text}"
        raise DeploymentError(f"{path} failed: {last_error}")

    def apply_intent(self, entries):
        """Submits an intent and confirms its plan.

        Returns the plan, the response to the confirmation and the Unix time
        in seconds at which the confirmation was sent.
        """
        plan = self.call_operator("/v1/intents", {"entries": entries})
        plan_id = plan.get("id") or plan.get("plan")
        sent_at = time.time()
        confirmed = self.call_operator(f"/v1/plans/{plan_id}/confirm", {})
        return plan, confirmed, sent_at

    def groups(self):
        return self.call_operator("/v1/status")["groups"]

    def wait_for_serving_groups(self, count, seconds):
        def enough_groups_serve():
            groups = self.groups()
            return sum(g["serving"] for g in groups) >= count and groups
        return self.wait_until(enough_groups_serve, seconds,
                               f"{count} groups to serve")

    # Stand-in services.

    def vms_of_group(self, group):
        """Returns the VMs of a group in rank order, the head VM first."""
        states = {vm: row["state"] for vm, row in self.engines().items()}
        return sorted((vm for vm, state in states.items()
                       if state["group"] == group),
                      key=lambda vm: states[vm]["rank"])

    def engines(self, settings=None):
        _, text = http_call(self._url(self.base_port + 99, "/control"),
                            settings)
        return json.loads(text)["engines"]

    def service(self, settings=None):
        _, text = http_call(self._url(self.base_port + 50, "/control"),
                            settings)
        return json.loads(text)

    def platform(self, settings=None):
        _, text = http_call(self._url(self.base_port, "/control"), settings)
        return json.loads(text)

    def read_object(self, key):
        """Returns the JSON value of an object in the platform's store."""
        quoted = key.replace("/", "%2F")
        status, text = http_call(
            self._url(self.base_port, "/v1/objects/" + quoted))
        if status != 200:
            raise DeploymentError(f"object {key}: {status} {text}")
        value = json.loads(text)["value"]
        return json.loads(value) if isinstance(value, str) else value

    def kill_vm(self, vm):
        self.engines({"vm": vm, "kill": True})

    def start_vm(self, vm, incarnation):
        self.engines({"vm": vm, "start": True})
        self.platform({"vms": [{"vm": vm, "state": "live",
                                "incarnation": incarnation}]})

    def configure(self, organisations, replicas=ZONE_COUNT):
        entries = [{"kind": "deployment", "name": "chat", "model": "m",
                    "version": "1", "contextLength": 100000,
                    "vmsPerGroup": self.members, "replicas": replicas,
                    "engineChecksFencing": True},
                   {"kind": "service", "name": "payout",
                    "backends": [f"127.0.0.1:{self.base_port + 50}"],
                    "nonIdempotentRoutes": [{"method": "POST",
                                             "pathPrefix": "/payouts"}]}]
        entries += [{"kind": "organisation", "name": name,
                     "apiKeySha256": [sha256(name + "-key")]}
                    for name in organisations]
        return self.apply_intent(entries)


class GroupMonitor:
    """Counts the requests that engines accept in incomplete groups.

    Samples the engine stand-ins. A request is late if its group had been
    incomplete for longer than `bound` seconds. Times are exact to one sample
    period.
    """

    SAMPLE_PERIOD_S = 0.05

    def __init__(self, deployment, bound):
        self._deployment = deployment
        self.bound = bound
        self.late_requests = 0
        self.timely_requests = 0
        self.details = []
        self._previous_engines = None
        self._sample_end = 0.0
        self._incomplete_since = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join()

    def _run(self):
        while not self._stop.wait(self.SAMPLE_PERIOD_S):
            try:
                sample_start = time.monotonic()
                self._process_sample(self._deployment.engines(), sample_start)
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

    def _process_sample(self, engines, sample_start):
        complete = self._complete_groups(engines)
        previous = self._previous_engines or engines
        for vm, row in engines.items():
            state = row["state"]
            key = (state["group"], state["generation"])
            if not state["group"] or key in complete:
                self._incomplete_since.pop(vm, None)
            else:
                self._incomplete_since.setdefault(vm, sample_start)
            accepted_count = (row["accepted_while_incomplete"] -
                              previous[vm]["accepted_while_incomplete"])
            if accepted_count <= 0:
                continue
            # A stalled engine accepts its held requests when it resumes. They
            # were sent earlier and do not count as late.
            late_count = accepted_count - min(accepted_count,
                                              previous[vm]["held"])
            since = self._incomplete_since.get(vm)
            # The requests were accepted after the previous sample, so they are
            # certainly late if that sample was already beyond the bound.
            is_late = since is not None and self._sample_end - since > self.bound
            self.late_requests += late_count if is_late else 0
            self.timely_requests += accepted_count - (
                late_count if is_late else 0)
            self.details.append(
                {"vm": vm, "accepted": accepted_count,
                 "held": previous[vm]["held"],
                 "late": is_late and late_count > 0,
                 "after_s": None if since is None
                 else round(sample_start - since, 2)})
        self._previous_engines = engines
        self._sample_end = time.monotonic()


def seeded_random(seed, name):
    """Returns a random generator determined by `seed` and `name` only."""
    return random.Random(f"{seed}/{name}")
