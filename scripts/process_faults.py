#!/usr/bin/env python3
"""Injects process faults into a loopback deployment under load.

After each phase, checks the counters of the stand-ins and prints one JSON
line; the last line summarises the run. The seed determines the requests, their
arrival times and the affected nodes and VMs.
"""

import argparse
import json
import random
import signal
import sys
import time

from loopback import Deployment, DeploymentError, GroupMonitor, seeded_random
from loopback_clients import (ORGANISATIONS, Clients, Counters,
                              count_violations, send_stream)

NODE_COUNT = 6
GROUP_COUNT = 3
TOKENS_PER_STREAM = 80
RUN_LIMIT_S = 175
# Design 4.3: a node's view of a group as serving expires after 1.5 s. A paused
# node may delay the view by at most the link timeout of 2 s.
INCOMPLETE_BOUND_S = 1.5
INCOMPLETE_BOUND_PAUSED_S = 3.5
# Design 4.8: a request that crashes engines costs at most 3 backend servers.
MAX_CRASHED_SERVERS = 3
CRASH_MARK = "crash-marked-request"
ZERO_COUNTS = ("wrong_or_partial", "not_run_but_executed", "gave_up",
               "payouts_executed_twice", "payouts_done_but_not_executed",
               "served_while_incomplete")


def raise_interrupt(_signal, _frame):
    raise KeyboardInterrupt


class ProcessFaultRun:
    def __init__(self, seed, base_port):
        self.seed = seed
        self.started = time.monotonic()
        self.deployment = Deployment(
            base_port, engine_defaults={"token_ms": 10},
            node_settings={"drainGraceMs": 200})
        self.counters = Counters()
        self.group_monitor = GroupMonitor(self.deployment, INCOMPLETE_BOUND_S)
        self.rng = seeded_random(seed, "faults")
        self.clients = None
        self.incarnation = 1
        self.phase_details = {}

    def log(self, text):
        print(f"[{time.monotonic() - self.started:5.1f} s] {text}", flush=True)

    def start(self):
        self.log(f"logs are in {self.deployment.directory}")
        self.deployment.start_standins()
        self.deployment.start_nodes(NODE_COUNT)
        self.deployment.configure(ORGANISATIONS, GROUP_COUNT)
        self.deployment.wait_for_serving_groups(GROUP_COUNT, 60)
        self.log(f"{NODE_COUNT} nodes run, {GROUP_COUNT} groups serve")
        self.clients = Clients(self.deployment, self.counters, self.seed,
                               TOKENS_PER_STREAM)
        self.group_monitor.start()

    # Selection of nodes and VMs.

    def random_node(self):
        return self.rng.choice(self.deployment.nodes)

    def assignment_writer(self, domain):
        """Returns the node that last wrote the assignment of `domain`."""
        value = self.deployment.read_object(f"assignment/{domain}")
        writer = value["writer"].split(".")[0]
        return next(n for n in self.deployment.nodes if n.name == writer)

    def kill_random_member(self, domain=None):
        groups = [g for g in self.deployment.groups() if g["serving"]]
        if domain is not None:
            groups = [g for g in groups if domain in g["group"]]
        group = self.rng.choice(sorted(g["group"] for g in groups))
        vm = self.rng.choice(self.deployment.vms_of_group(group)[1:])
        self.deployment.kill_vm(vm)
        self.log(f"  killed member {vm} of {group}")
        return vm

    def restart_member(self, vm):
        self.incarnation += 1
        self.deployment.start_vm(vm, self.incarnation)

    def random_head_vm(self):
        group = self.rng.choice(sorted(
            g["group"] for g in self.deployment.groups() if g["serving"]))
        return self.deployment.vms_of_group(group)[0]

    # Phases; each method name is a value of --phase.

    def kill_nodes(self):
        """Runs kill -9 on two nodes in turn and restarts each."""
        for _ in range(2):
            node = self.random_node()
            node_index = node.client_port - self.deployment.base_port - 200
            node.was_killed = node.is_disturbed = True
            node.process.kill()
            node.process.wait()
            self.deployment.remove_node(node)
            self.log(f"  killed {node.name}")
            time.sleep(2)
            self.deployment.start_node(node_index, node.name)
            time.sleep(2)

    def pause_holder(self):
        """Pauses a lease holder beyond its lease and kills a member VM."""
        domain = f"domain-{self.rng.randrange(3)}"
        node = self.assignment_writer(domain)
        node.is_disturbed = True
        node.process.send_signal(signal.SIGSTOP)
        self.log(f"  paused {node.name}, the lease holder of {domain}")
        vm = self.kill_random_member(domain)
        time.sleep(9)
        node.process.send_signal(signal.SIGCONT)
        self.log(f"  {node.name} resumed")
        time.sleep(1)
        node.is_disturbed = False
        self.deployment.wait_for_serving_groups(GROUP_COUNT, 20)
        self.restart_member(vm)

    def platform_outage(self):
        """Fails the platform for 20 s and kills a member VM meanwhile."""
        self.deployment.platform({"outage": True})
        time.sleep(4)
        vm = self.kill_random_member()
        time.sleep(16)
        serving = sum(g["serving"] for g in self.deployment.groups())
        self.phase_details["serving_at_end_of_outage"] = serving
        self.deployment.platform({"outage": False})
        outage_ended_at = time.monotonic()
        self.deployment.wait_for_serving_groups(GROUP_COUNT, 25)
        self.phase_details["repaired_after_s"] = round(
            time.monotonic() - outage_ended_at, 1)
        self.restart_member(vm)

    def lost_answers(self):
        """Loses a third of the platform's responses to writes."""
        self.deployment.platform({"lose_answers": 0.33,
                                  "lost_answer_delay_ms": 100})
        vm = self.kill_random_member()
        time.sleep(8)
        self.deployment.platform({"lose_answers": 0.0})
        self.restart_member(vm)

    def stalled_engine(self):
        vm = self.random_head_vm()
        self.deployment.engines({"vm": vm, "stall": True})
        self.log(f"  stalled {vm}")
        time.sleep(5)
        self.deployment.engines({"vm": vm, "stall": False})

    def cold_engine(self):
        falls_before = sum(r["falls"]
                           for r in self.deployment.engines().values())
        for _ in range(3):
            vm = self.random_head_vm()
            self.deployment.engines({"vm": vm, "go_cold": True})
            self.log(f"  {vm} went cold")
            time.sleep(2)
        falls_after = sum(r["falls"]
                          for r in self.deployment.engines().values())
        self.phase_details["falls"] = falls_after - falls_before

    def crash_marked(self):
        """Repeatedly sends a request that crashes the engine that runs it."""
        crashes_before = sum(r["crashes"]
                             for r in self.deployment.engines().values())
        self.deployment.engines({"crash_mark": CRASH_MARK})
        outcome_counts = {}
        deadline = time.monotonic() + 14
        while time.monotonic() < deadline:
            node = self.deployment.choose_ready_node(self.rng)
            attempt = send_stream(node.client_port, ORGANISATIONS[0],
                                 CRASH_MARK, 5)
            outcome = attempt.kind + " " + attempt.note.split(":")[0][:30]
            outcome_counts[outcome] = outcome_counts.get(outcome, 0) + 1
            time.sleep(min(0.5, attempt.retry_after))
        self.deployment.engines({"crash_mark": ""})
        crashes_after = sum(r["crashes"]
                            for r in self.deployment.engines().values())
        self.phase_details["crashes"] = crashes_after - crashes_before
        self.phase_details["answers"] = outcome_counts

    # Run and evaluation of the phases.

    PHASES = (("kill_nodes", 8, 30, 12), ("pause_holder", 10, 30, 12),
              ("platform_outage", 20, 50, 15), ("lost_answers", 8, 20, 30),
              ("stalled_engine", 6, 25, 8), ("cold_engine", 6, 40, 5),
              ("crash_marked", 14, 40, 8))

    def run_phase(self, name, seconds, streams, payouts):
        self.log(f"phase {name}")
        self.phase_details = {}
        self.group_monitor.bound = (
            INCOMPLETE_BOUND_PAUSED_S if name == "pause_holder"
            else INCOMPLETE_BOUND_S)
        note_count, detail_count = len(self.counters.notes), len(
            self.group_monitor.details)
        before = dict(vars(self.counters))
        self.clients.schedule_load(streams, payouts, seconds, name + "-")
        error = None
        try:
            getattr(self, name)()
        except DeploymentError as exception:
            error = str(exception)
        self.clients.join()
        try:
            self.deployment.wait_for_serving_groups(GROUP_COUNT, 20)
        except DeploymentError as exception:
            error = error or str(exception)
        phase_result = {"phase": name, "seed": self.seed,
                        **self.counts(before), **self.phase_details}
        if self.clients.errors:
            error = error or self.clients.errors[0]
        phase_result["ok"] = error is None and self.meets_guarantees(
            phase_result)
        if error:
            phase_result["error"] = error
        for note in (self.counters.notes[note_count:] +
                     self.group_monitor.details[detail_count:])[:12]:
            print(f"    note: {note}")
        print(json.dumps(phase_result), flush=True)
        return phase_result["ok"]

    def counts(self, before=None):
        before = before or {}
        names = ("requests", "complete", "wrong_or_partial", "refused_not_run",
                 "unknown", "gave_up", "resent_after_node_loss", "payouts",
                 "payouts_done", "payouts_unknown")
        counts = {name: getattr(self.counters, name) - before.get(name, 0)
                  for name in names}
        # Executions are counted over the whole run to include late ones.
        counts.update(count_violations(self.counters, self.deployment))
        counts["served_while_incomplete"] = self.group_monitor.late_requests
        return counts

    @staticmethod
    def meets_guarantees(phase_result):
        return (all(phase_result[name] == 0 for name in ZERO_COUNTS) and
                phase_result["complete"] == phase_result["requests"] and
                phase_result["payouts_done"] + phase_result["payouts_unknown"]
                == phase_result["payouts"] and
                phase_result.get("crashes", 0) <= MAX_CRASHED_SERVERS)

    def run(self, selected_phases):
        failed = []
        for name, seconds, streams, payouts in self.PHASES:
            if selected_phases and name not in selected_phases:
                continue
            if not self.run_phase(name, seconds, streams, payouts):
                failed.append(name)
        self.group_monitor.stop()
        return {"seed": self.seed, **self.counts(), "failed_phases": failed,
                "ok": not failed}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int,
                        default=random.SystemRandom().randrange(10**6))
    parser.add_argument("--base-port", type=int, default=32500)
    parser.add_argument("--phase", action="append",
                        help="run this phase only; may be repeated")
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}; replay with --seed {arguments.seed}")
    # Background jobs of a shell ignore SIGINT by default, so set a handler.
    signal.signal(signal.SIGINT, raise_interrupt)
    signal.signal(signal.SIGTERM, raise_interrupt)
    signal.signal(signal.SIGALRM, raise_interrupt)
    signal.alarm(RUN_LIMIT_S)
    faults = ProcessFaultRun(arguments.seed, arguments.base_port)
    result = {"seed": arguments.seed, "ok": False}
    try:
        faults.start()
        result = faults.run(arguments.phase)
    except DeploymentError as error:
        result["error"] = str(error)
    except KeyboardInterrupt:
        result["error"] = "interrupted, or the run exceeded its time limit"
    finally:
        signal.alarm(0)
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(signal_number, signal.SIG_IGN)
        killed = faults.deployment.close()
        if killed:
            result.update(ok=False, did_not_stop=killed)
    result["seconds"] = round(time.monotonic() - faults.started)
    print(json.dumps(result), flush=True)
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
