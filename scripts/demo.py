#!/usr/bin/env python3
"""Runs a loopback deployment under load and checks its guarantees.

Exits with 0 only if every guarantee held, counted at the stand-ins.
"""

import argparse
import json
import signal
import sys
import threading
import time

from loopback import Deployment, DeploymentError, EngineWatch
from loopback_clients import ORGANISATIONS, Clients, Figures, check

NODES = 6
GROUPS = 3
STREAMS = 200
PAYOUTS = 50
TOKENS = 120
LOAD_SECONDS = 40
# Bound of design 1.2 (I4) for new work after a zone was taken out.
ZONE_BOUND = 3.0
# Design 4.3: the serving view of a group expires after 1.5 s.
INCOMPLETE_BOUND = 1.5
MOVED_ZONE = "zone-1"


def raise_interrupt(_signal, _frame):
    raise KeyboardInterrupt


def cut_by_order(engines):
    return sum(row["cut_by_order"] for row in engines.values())


class Demo:
    def __init__(self, seed, base_port):
        self.deployment = Deployment(
            base_port, engine_defaults={"token_ms": 10},
            node_settings={"drainGraceMs": 1000})
        self.figures = Figures()
        self.seed = seed
        self.started = time.monotonic()
        self.cut = 0
        self.new_work_after = 0.0
        self.watch = EngineWatch(self.deployment, INCOMPLETE_BOUND)

    def say(self, text):
        print(f"[{time.monotonic() - self.started:5.1f} s] {text}", flush=True)

    def start(self):
        self.say(f"logs are in {self.deployment.directory}")
        self.say(f"starting the stand-ins and {NODES} nodes in 3 zones")
        self.deployment.start_standins()
        self.deployment.start_nodes(NODES)
        self.say("the nodes are ready; stating the intent")
        plan, confirmed, _ = self.deployment.configure(ORGANISATIONS, GROUPS)
        self.say(f"confirmed plan {plan.get('id') or plan.get('plan')} at "
                 f"revision {confirmed['revision']}")
        self.deployment.wait_serving(GROUPS, 60)
        self.say(f"{GROUPS} groups serve")
        self.watch.start()

    def lose_member(self):
        groups = self.deployment.groups()
        group = next(g for g in groups if g["zone"] == "zone-0")
        vm = self.deployment.members_of(group["group"])[1]
        self.say(f"killing member VM {vm} of group {group['group']}")
        at = time.monotonic()
        self.deployment.stop_vm(vm)
        self.deployment.wait(
            lambda: not all(g["serving"] for g in self.deployment.groups()),
            10, "the group to be withdrawn")
        self.say(f"the group was withdrawn within "
                 f"{time.monotonic() - at:.1f} s")
        self.deployment.wait_serving(GROUPS, 60)
        self.say(f"{GROUPS} groups serve again after "
                 f"{time.monotonic() - at:.1f} s")
        return vm

    @staticmethod
    def rows_of_zone(engines):
        return [row for vm, row in engines.items()
                if vm.startswith("vm-" + MOVED_ZONE[-1] + "-")]

    def running_in(self, engines):
        return sum(row["state"]["running"]
                   for row in self.rows_of_zone(engines))

    def move_zone(self):
        # A zone without work in progress would not test the graceful stop.
        self.deployment.wait(
            lambda: self.running_in(self.deployment.engines()) > 0, 20,
            f"work in {MOVED_ZONE}")
        before = self.deployment.engines()
        _, confirmed, sent_at = self.deployment.apply(
            [{"kind": "zone", "name": MOVED_ZONE, "inService": False}])
        self.say(f"took {MOVED_ZONE} out at revision {confirmed['revision']} "
                 f"while it ran {self.running_in(before)} requests")
        time.sleep(8)
        engines = self.deployment.engines()
        zone = self.rows_of_zone(engines)
        last = max(row["last_accepted_unix_ms"] for row in zone) / 1000.0
        self.new_work_after = max(0.0, last - sent_at)
        self.cut += cut_by_order(engines) - cut_by_order(before)
        self.say(f"the last request was accepted there "
                 f"{self.new_work_after:.2f} s after the confirm was sent; "
                 f"{self.running_in(engines)} still run")
        before = self.deployment.engines()
        self.deployment.apply(
            [{"kind": "zone", "name": MOVED_ZONE, "inService": True}])
        at = time.monotonic()
        self.deployment.wait_serving(GROUPS, 60)
        self.cut += (cut_by_order(self.deployment.engines()) -
                     cut_by_order(before))
        self.say(f"{MOVED_ZONE} serves again after "
                 f"{time.monotonic() - at:.1f} s")

    def replace_node(self):
        node = self.deployment.nodes[2]
        before = self.deployment.engines()
        partial = self.figures.wrong_or_partial + self.figures.unknown
        self.say(f"stopping {node.name} by SIGTERM")
        node.process.send_signal(signal.SIGTERM)
        self.deployment.start_node(8, "node-8")
        self.deployment.wait(lambda: node.process.poll() is not None, 60,
                             f"{node.name} to stop")
        self.deployment.remove_node(node)
        self.cut += (cut_by_order(self.deployment.engines()) -
                     cut_by_order(before))
        self.cut += (self.figures.wrong_or_partial + self.figures.unknown -
                     partial)
        self.say(f"{node.name} stopped with exit code "
                 f"{node.process.returncode}; node-8 takes its place")
        if node.process.returncode != 0:
            raise DeploymentError(f"{node.name} did not stop cleanly")

    def show_progress(self, stop):
        while not stop.wait(5):
            f = self.figures
            self.say(f"  requests {f.complete}/{f.requests} complete, payouts "
                     f"{f.payouts_done}/{f.payouts}, not run "
                     f"{f.refused_not_run}")

    def run_load(self):
        clients = Clients(self.deployment, self.figures, self.seed, TOKENS)
        stop = threading.Event()
        progress = threading.Thread(target=self.show_progress, args=(stop,),
                                    daemon=True)
        progress.start()
        self.say(f"sending {STREAMS} streaming requests and {PAYOUTS} payouts "
                 f"over {LOAD_SECONDS} s")
        clients.schedule(STREAMS, PAYOUTS, LOAD_SECONDS)
        time.sleep(4)
        vm = self.lose_member()
        time.sleep(2)
        self.deployment.start_vm(vm, 2)
        self.say(f"started {vm} again")
        time.sleep(2)
        self.move_zone()
        time.sleep(1)
        self.replace_node()
        clients.join()
        stop.set()
        if clients.faults:
            raise DeploymentError(f"a client failed: {clients.faults[0]}")

    def result(self):
        self.watch.stop()
        f = self.figures
        counted = check(f, self.deployment)
        result = {
            "requests": f.requests, "complete": f.complete,
            "wrong_or_partial": f.wrong_or_partial,
            "refused_not_run": f.refused_not_run,
            "not_run_but_executed": counted["not_run_but_executed"],
            "unknown": f.unknown + f.payouts_unknown, "payouts": f.payouts,
            "payouts_executed_twice": counted["payouts_executed_twice"],
            "served_while_incomplete": self.watch.late,
            "new_work_in_zone_after_s": round(self.new_work_after, 2),
            "cut_by_planned_stop": self.cut}
        result["ok"] = (
            f.requests == STREAMS and f.complete == STREAMS and
            f.payouts == PAYOUTS and f.payouts_done == PAYOUTS and
            counted["payouts_done_but_not_executed"] == 0 and
            self.new_work_after <= ZONE_BOUND and
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
    # Set even if the caller ignores SIGINT, as shells do for background jobs.
    signal.signal(signal.SIGINT, raise_interrupt)
    signal.signal(signal.SIGTERM, raise_interrupt)
    demo = Demo(arguments.seed, arguments.base_port)
    result = {"ok": False}
    try:
        demo.start()
        demo.run_load()
        result = demo.result()
        for note in demo.figures.notes + demo.watch.details:
            print(f"  note: {note}")
    except DeploymentError as error:
        result = {**demo.result(), "ok": False, "error": str(error)}
    except KeyboardInterrupt:
        result = {"ok": False, "error": "interrupted"}
    finally:
        # A second Ctrl-C must not leave processes behind.
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
