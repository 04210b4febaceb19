#!/usr/bin/env python3
"""Injects process faults into a loopback deployment under load.

After each phase the counters are checked at the stand-ins and one JSON line is
printed; the last line sums up. The seed decides the requests, the arrivals and
the chosen nodes and VMs.
"""

import argparse
import json
import random
import signal
import sys
import time

from loopback import Deployment, DeploymentError, EngineWatch, new_random
from loopback_clients import (ORGANISATIONS, Clients, Figures, check,
                              send_stream)

NODES = 6
GROUPS = 3
TOKENS = 80
LIMIT_SECONDS = 175
# Design 4.3: a view expires after 1.5 s, and a delayed view prolongs this by
# at most the link timeout of 2 s, which a paused node may cause.
INCOMPLETE_BOUND = 1.5
INCOMPLETE_BOUND_PAUSED = 3.5
# Design 4.8: a guilty request costs at most 3 backend servers.
MAX_CRASHES = 3
CRASH_MARK = "crash-marked-request"
ZERO_COUNTS = ("wrong_or_partial", "not_run_but_executed", "gave_up",
               "payouts_executed_twice", "payouts_done_but_not_executed",
               "served_while_incomplete")


def raise_interrupt(_signal, _frame):
    raise KeyboardInterrupt


class Faults:
    def __init__(self, seed, base_port):
        self.seed = seed
        self.started = time.monotonic()
        self.deployment = Deployment(
            base_port, engine_defaults={"token_ms": 10},
            node_settings={"drainGraceMs": 200})
        self.figures = Figures()
        self.watch = EngineWatch(self.deployment, INCOMPLETE_BOUND)
        self.rng = new_random(seed, "faults")
        self.clients = None
        self.incarnation = 1
        self.phase_extra = {}

    def say(self, text):
        print(f"[{time.monotonic() - self.started:5.1f} s] {text}", flush=True)

    def start(self):
        self.say(f"logs are in {self.deployment.directory}")
        self.deployment.start_standins()
        self.deployment.start_nodes(NODES)
        self.deployment.configure(ORGANISATIONS, GROUPS)
        self.deployment.wait_serving(GROUPS, 60)
        self.say(f"{NODES} nodes run, {GROUPS} groups serve")
        self.clients = Clients(self.deployment, self.figures, self.seed,
                               TOKENS)
        self.watch.start()

    # Helpers.

    def a_node(self):
        return self.rng.choice(self.deployment.nodes)

    def holder_of(self, domain):
        """Returns the node that wrote the domain's assignment last."""
        value = self.deployment.object(f"assignment/{domain}")
        writer = value["writer"].split(".")[0]
        return next(n for n in self.deployment.nodes if n.name == writer)

    def kill_member(self, domain=None):
        groups = [g for g in self.deployment.groups() if g["serving"]]
        if domain is not None:
            groups = [g for g in groups if domain in g["group"]]
        group = self.rng.choice(sorted(g["group"] for g in groups))
        vm = self.rng.choice(self.deployment.members_of(group)[1:])
        self.deployment.stop_vm(vm)
        self.say(f"  killed member {vm} of {group}")
        return vm

    def restart_member(self, vm):
        self.incarnation += 1
        self.deployment.start_vm(vm, self.incarnation)

    def a_head(self):
        group = self.rng.choice(sorted(
            g["group"] for g in self.deployment.groups() if g["serving"]))
        return self.deployment.members_of(group)[0]

    # Phases.

    def kill_nodes(self):
        """kill -9 of two nodes, one after the other, and their restart."""
        for _ in range(2):
            node = self.a_node()
            number = node.client_port - self.deployment.base - 200
            node.was_killed = node.is_disturbed = True
            node.process.kill()
            node.process.wait()
            self.deployment.remove_node(node)
            self.say(f"  killed {node.name}")
            time.sleep(2)
            self.deployment.start_node(number, node.name)
            time.sleep(2)

    def pause_holder(self):
        """A shard holder is paused beyond its lease while a member dies."""
        domain = f"domain-{self.rng.randrange(3)}"
        node = self.holder_of(domain)
        node.is_disturbed = True
        node.process.send_signal(signal.SIGSTOP)
        self.say(f"  paused {node.name}, the holder of {domain}")
        vm = self.kill_member(domain)
        time.sleep(9)
        node.process.send_signal(signal.SIGCONT)
        self.say(f"  {node.name} continues")
        time.sleep(1)
        node.is_disturbed = False
        self.deployment.wait_serving(GROUPS, 20)
        self.restart_member(vm)

    def platform_outage(self):
        """The platform fails for 20 s and a member is lost meanwhile."""
        self.deployment.platform({"outage": True})
        time.sleep(4)
        vm = self.kill_member()
        time.sleep(16)
        serving = sum(g["serving"] for g in self.deployment.groups())
        self.phase_extra["serving_at_end_of_outage"] = serving
        self.deployment.platform({"outage": False})
        at = time.monotonic()
        self.deployment.wait_serving(GROUPS, 25)
        self.phase_extra["repaired_after_s"] = round(time.monotonic() - at, 1)
        self.restart_member(vm)

    def lost_answers(self):
        """A third of the platform's write answers are lost."""
        self.deployment.platform({"lose_answers": 0.33,
                                  "lost_answer_delay_ms": 100})
        vm = self.kill_member()
        time.sleep(8)
        self.deployment.platform({"lose_answers": 0.0})
        self.restart_member(vm)

    def stalled_engine(self):
        vm = self.a_head()
        self.deployment.engines({"vm": vm, "stall": True})
        self.say(f"  stalled {vm}")
        time.sleep(5)
        self.deployment.engines({"vm": vm, "stall": False})

    def cold_engine(self):
        falls = sum(r["falls"] for r in self.deployment.engines().values())
        for _ in range(3):
            vm = self.a_head()
            self.deployment.engines({"vm": vm, "go_cold": True})
            self.say(f"  {vm} went cold")
            time.sleep(2)
        now = sum(r["falls"] for r in self.deployment.engines().values())
        self.phase_extra["falls"] = now - falls

    def crash_marked(self):
        """One request that crashes each engine is sent again and again."""
        before = sum(r["crashes"] for r in self.deployment.engines().values())
        self.deployment.engines({"crash_mark": CRASH_MARK})
        kinds = {}
        deadline = time.monotonic() + 14
        while time.monotonic() < deadline:
            node = self.deployment.pick_node(self.rng)
            answer = send_stream(node.client_port, ORGANISATIONS[0],
                                 CRASH_MARK, 5)
            kind = answer.kind + " " + answer.note.split(":")[0][:30]
            kinds[kind] = kinds.get(kind, 0) + 1
            time.sleep(min(0.5, answer.retry_after))
        self.deployment.engines({"crash_mark": ""})
        now = sum(r["crashes"] for r in self.deployment.engines().values())
        self.phase_extra["crashes"] = now - before
        self.phase_extra["answers"] = kinds

    # Running.

    PHASES = (("kill_nodes", 8, 30, 12), ("pause_holder", 10, 30, 12),
              ("platform_outage", 20, 50, 15), ("lost_answers", 8, 20, 30),
              ("stalled_engine", 6, 25, 8), ("cold_engine", 6, 40, 5),
              ("crash_marked", 14, 40, 8))

    def run_phase(self, name, seconds, streams, payouts):
        self.say(f"phase {name}")
        self.phase_extra = {}
        self.watch.bound = (INCOMPLETE_BOUND_PAUSED if name == "pause_holder"
                            else INCOMPLETE_BOUND)
        notes, details = len(self.figures.notes), len(self.watch.details)
        before = dict(vars(self.figures))
        self.clients.schedule(streams, payouts, seconds, name + "-")
        error = None
        try:
            getattr(self, name)()
        except DeploymentError as fault:
            error = str(fault)
        self.clients.join()
        try:
            self.deployment.wait_serving(GROUPS, 20)
        except DeploymentError as fault:
            error = error or str(fault)
        line = {"phase": name, "seed": self.seed, **self.counts(before),
                **self.phase_extra}
        if self.clients.faults:
            error = error or self.clients.faults[0]
        line["ok"] = error is None and self.is_good(line)
        if error:
            line["error"] = error
        for note in (self.figures.notes[notes:] +
                     self.watch.details[details:])[:12]:
            print(f"    note: {note}")
        print(json.dumps(line), flush=True)
        return line["ok"]

    def counts(self, before=None):
        before = before or {}
        names = ("requests", "complete", "wrong_or_partial", "refused_not_run",
                 "unknown", "gave_up", "resent_after_node_loss", "payouts",
                 "payouts_done", "payouts_unknown")
        counts = {name: getattr(self.figures, name) - before.get(name, 0)
                  for name in names}
        # Counted over the whole run, so a late execution is found too.
        counts.update(check(self.figures, self.deployment))
        counts["served_while_incomplete"] = self.watch.late
        return counts

    @staticmethod
    def is_good(line):
        return (all(line[name] == 0 for name in ZERO_COUNTS) and
                line["complete"] == line["requests"] and
                line["payouts_done"] + line["payouts_unknown"] ==
                line["payouts"] and line.get("crashes", 0) <= MAX_CRASHES)

    def run(self, only):
        failed = []
        for name, seconds, streams, payouts in self.PHASES:
            if only and name not in only:
                continue
            if not self.run_phase(name, seconds, streams, payouts):
                failed.append(name)
        self.watch.stop()
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
    # Set even if the caller ignores SIGINT, as shells do for background jobs.
    signal.signal(signal.SIGINT, raise_interrupt)
    signal.signal(signal.SIGTERM, raise_interrupt)
    signal.signal(signal.SIGALRM, raise_interrupt)
    signal.alarm(LIMIT_SECONDS)
    faults = Faults(arguments.seed, arguments.base_port)
    result = {"seed": arguments.seed, "ok": False}
    try:
        faults.start()
        result = faults.run(arguments.phase)
    except DeploymentError as error:
        result["error"] = str(error)
    except KeyboardInterrupt:
        result["error"] = "interrupted, or over the limit of the run"
    finally:
        signal.alarm(0)
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)
        killed = faults.deployment.close()
        if killed:
            result.update(ok=False, did_not_stop=killed)
    result["seconds"] = round(time.monotonic() - faults.started)
    print(json.dumps(result), flush=True)
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
