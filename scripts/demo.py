#!/usr/bin/env python3
"""Runs a loopback deployment under load and checks its guarantees.

Exits with 0 only if the counters of the stand-ins confirm every guarantee.
"""

import argparse
import json
import signal
import sys
import threading
import time

from loopback import Deployment, DeploymentError, GroupMonitor
from loopback_clients import ORGANISATIONS, Clients, Counters, count_violations

NODE_COUNT = 6
GROUP_COUNT = 3
STREAM_COUNT = 200
PAYOUT_COUNT = 50
TOKENS_PER_STREAM = 120
LOAD_DURATION_S = 40
# Design 1.2 (I4): longest time for which a zone may accept requests after it
# was taken out of service.
ZONE_STOP_BOUND_S = 3.0
# Design 4.3: a node's view of a group as serving expires after 1.5 s.
INCOMPLETE_BOUND_S = 1.5
DRAINED_ZONE = "zone-1"


def raise_interrupt(_signal, _frame):
    raise KeyboardInterrupt


def total_cut_by_order(engines):
    return sum(row["cut_by_order"] for row in engines.values())


class Demo:
    def __init__(self, seed, base_port):
        self.deployment = Deployment(
            base_port, engine_defaults={"token_ms": 10},
            node_settings={"drainGraceMs": 1000})
        self.counters = Counters()
        self.seed = seed
        self.started = time.monotonic()
        self.cut_requests = 0
        self.last_accept_delay_s = 0.0
        self.group_monitor = GroupMonitor(self.deployment, INCOMPLETE_BOUND_S)

    def log(self, text):
        print(f"[{time.monotonic() - self.started:5.1f} s] {text}", flush=True)

    def start(self):
        self.log(f"logs are in {self.deployment.directory}")
        self.log(f"starting the stand-ins and {NODE_COUNT} nodes in 3 zones")
        self.deployment.start_standins()
        self.deployment.start_nodes(NODE_COUNT)
        self.log("the nodes are ready; submitting the intent")
        plan, confirmed, _ = self.deployment.configure(ORGANISATIONS,
                                                       GROUP_COUNT)
        self.log(f"confirmed plan {plan.get('id') or plan.get('plan')} at "
                 f"revision {confirmed['revision']}")
        self.deployment.wait_for_serving_groups(GROUP_COUNT, 60)
        self.log(f"{GROUP_COUNT} groups serve")
        self.group_monitor.start()

    def kill_member(self):
        groups = self.deployment.groups()
        group = next(g for g in groups if g["zone"] == "zone-0")
        vm = self.deployment.vms_of_group(group["group"])[1]
        self.log(f"killing member VM {vm} of group {group['group']}")
        started_at = time.monotonic()
        self.deployment.kill_vm(vm)
        self.deployment.wait_until(
            lambda: not all(g["serving"] for g in self.deployment.groups()),
            10, "the group to be withdrawn")
        self.log(f"the group was withdrawn within "
                 f"{time.monotonic() - started_at:.1f} s")
        self.deployment.wait_for_serving_groups(GROUP_COUNT, 60)
        self.log(f"{GROUP_COUNT} groups serve again after "
                 f"{time.monotonic() - started_at:.1f} s")
        return vm

    @staticmethod
    def engines_in_zone(engines):
        return [row for vm, row in engines.items()
                if vm.startswith("vm-" + DRAINED_ZONE[-1] + "-")]

    def running_requests(self, engines):
        return sum(row["state"]["running"]
                   for row in self.engines_in_zone(engines))

    def drain_zone(self):
        # Without running requests in the zone, its drain would not be tested.
        self.deployment.wait_until(
            lambda: self.running_requests(self.deployment.engines()) > 0, 20,
            f"requests to run in {DRAINED_ZONE}")
        before = self.deployment.engines()
        _, confirmed, sent_at = self.deployment.apply_intent(
            [{"kind": "zone", "name": DRAINED_ZONE, "inService": False}])
        self.log(f"took {DRAINED_ZONE} out of service at revision "
                 f"{confirmed['revision']} while it ran "
                 f"{self.running_requests(before)} requests")
        time.sleep(8)
        engines = self.deployment.engines()
        zone_engines = self.engines_in_zone(engines)
        last_accepted_at = max(row["last_accepted_unix_ms"]
                               for row in zone_engines) / 1000.0
        self.last_accept_delay_s = max(0.0, last_accepted_at - sent_at)
        self.cut_requests += total_cut_by_order(engines) - total_cut_by_order(
            before)
        self.log(f"the zone accepted its last request "
                 f"{self.last_accept_delay_s:.2f} s after the confirmation "
                 f"was sent; {self.running_requests(engines)} still run")
        before = self.deployment.engines()
        self.deployment.apply_intent(
            [{"kind": "zone", "name": DRAINED_ZONE, "inService": True}])
        started_at = time.monotonic()
        self.deployment.wait_for_serving_groups(GROUP_COUNT, 60)
        self.cut_requests += (total_cut_by_order(self.deployment.engines()) -
                              total_cut_by_order(before))
        self.log(f"{DRAINED_ZONE} serves again after "
                 f"{time.monotonic() - started_at:.1f} s")

    def replace_stopped_node(self):
        node = self.deployment.nodes[2]
        before = self.deployment.engines()
        cut_before = self.counters.wrong_or_partial + self.counters.unknown
        self.log(f"stopping {node.name} by SIGTERM")
        node.process.send_signal(signal.SIGTERM)
        self.deployment.start_node(8, "node-8")
        self.deployment.wait_until(lambda: node.process.poll() is not None, 60,
                                   f"{node.name} to stop")
        self.deployment.remove_node(node)
        self.cut_requests += (total_cut_by_order(self.deployment.engines()) -
                              total_cut_by_order(before))
        self.cut_requests += (self.counters.wrong_or_partial +
                              self.counters.unknown - cut_before)
        self.log(f"{node.name} stopped with exit code "
                 f"{node.process.returncode}; node-8 replaces it")
        if node.process.returncode != 0:
            raise DeploymentError(f"{node.name} did not stop cleanly")

    def print_progress(self, stop):
        while not stop.wait(5):
            counters = self.counters
            self.log(f"  requests {counters.complete}/{counters.requests} "
                     f"complete, payouts "
                     f"{counters.payouts_done}/{counters.payouts}, not run "
                     f"{counters.refused_not_run}")

    def run_load(self):
        clients = Clients(self.deployment, self.counters, self.seed,
                          TOKENS_PER_STREAM)
        stop = threading.Event()
        progress = threading.Thread(target=self.print_progress, args=(stop,),
                                    daemon=True)
        progress.start()
        self.log(f"sending {STREAM_COUNT} streaming requests and "
                 f"{PAYOUT_COUNT} payouts over {LOAD_DURATION_S} s")
        clients.schedule_load(STREAM_COUNT, PAYOUT_COUNT, LOAD_DURATION_S)
        time.sleep(4)
        vm = self.kill_member()
        time.sleep(2)
        self.deployment.start_vm(vm, 2)
        self.log(f"started {vm} again")
        time.sleep(2)
        self.drain_zone()
        time.sleep(1)
        self.replace_stopped_node()
        clients.join()
        stop.set()
        if clients.errors:
            raise DeploymentError(f"a client failed: {clients.errors[0]}")

    def result(self):
        self.group_monitor.stop()
        counters = self.counters
        violations = count_violations(counters, self.deployment)
        result = {
            "requests": counters.requests, "complete": counters.complete,
            "wrong_or_partial": counters.wrong_or_partial,
            "refused_not_run": counters.refused_not_run,
            "not_run_but_executed": violations["not_run_but_executed"],
            "unknown": counters.unknown + counters.payouts_unknown,
            "payouts": counters.payouts,
            "payouts_executed_twice": violations["payouts_executed_twice"],
            "served_while_incomplete": self.group_monitor.late_requests,
            "new_work_in_zone_after_s": round(self.last_accept_delay_s, 2),
            "cut_by_planned_stop": self.cut_requests}
        result["ok"] = (
            counters.requests == STREAM_COUNT and
            counters.complete == STREAM_COUNT and
            counters.payouts == PAYOUT_COUNT and
            counters.payouts_done == PAYOUT_COUNT and
            violations["payouts_done_but_not_executed"] == 0 and
            self.last_accept_delay_s <= ZONE_STOP_BOUND_S and
            all(result[name] == 0 for name in (
                "wrong_or_partial", "not_run_but_executed", "unknown",
                "payouts_executed_twice", "served_while_incomplete",
                "cut_by_planned_stop")))
        return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=32000)
    arguments = parser.parse_args()
    # Background jobs of a shell ignore SIGINT by default, so set a handler.
    signal.signal(signal.SIGINT, raise_interrupt)
    signal.signal(signal.SIGTERM, raise_interrupt)
    demo = Demo(arguments.seed, arguments.base_port)
    result = {"ok": False}
    try:
        demo.start()
        demo.run_load()
        result = demo.result()
        for note in demo.counters.notes + demo.group_monitor.details:
            print(f"  note: {note}")
    except DeploymentError as error:
        result = {**demo.result(), "ok": False, "error": str(error)}
    except KeyboardInterrupt:
        result = {"ok": False, "error": "interrupted"}
    finally:
        # A second Ctrl-C must not interrupt the shutdown of the processes.
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        killed = demo.deployment.close()
        if killed:
            result["ok"] = False
            result["did_not_stop"] = killed
    print(json.dumps(result), flush=True)
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
