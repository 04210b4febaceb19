"""Clients of a loopback deployment that check every answer."""

import http.client
import json
import threading
import time

from loopback import new_random
from xxh64 import ExpectedText

ORGANISATIONS = ["acme", "birch", "cedar", "dunes"]
PREFIX_BYTES = 20000
# Longest time that a client goes on sending one request again.
PATIENCE = 60.0


class Answer:
    """Result of one attempt."""

    def __init__(self, kind, status=0, text="", request_id="", retry_after=1.0,
                 note=""):
        # complete, not_run, unknown, partial or unsent
        self.kind = kind
        self.status = status
        self.text = text
        self.request_id = request_id
        self.retry_after = retry_after
        self.note = note


def _connect(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    connection.connect()
    return connection


def _error_answer(status, response, body):
    try:
        error = json.loads(body)["error"]
    except (ValueError, KeyError, TypeError):
        return Answer("unknown", status, note=body[:200])
    wait = max(error.get("retry_after_ms", 0) / 1000.0,
               float(response.getheader("Retry-After") or 0))
    outcome = error.get("outcome", "unknown")
    return Answer("not_run" if outcome == "not_run" else "unknown", status,
                  request_id=error.get("request_id", ""),
                  retry_after=wait or 1.0,
                  note=f"{error.get('type')}: {error.get('message')}")


def _read_stream(response, request_id):
    text = []
    is_done = False
    note = "the stream ended early"
    try:
        for line in response:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                is_done = True
                continue
            event = json.loads(data)
            if "error" in event:
                note = f"{event['error']}"
                break
            if event["id"] != request_id:
                note = f"a chunk of {event['id']}"
                break
            text.append(event["choices"][0]["delta"]["content"])
    except (OSError, http.client.HTTPException) as error:
        note = repr(error)
        is_done = False
    kind = "complete" if is_done else "partial"
    return Answer(kind, 200, "".join(text), request_id,
                  note="" if is_done else note)


def _exchange(port, path, body, headers, read):
    try:
        connection = _connect(port)
    except OSError as error:
        return Answer("unsent", note=repr(error))
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        if response.status != 200:
            return _error_answer(response.status, response,
                                 response.read().decode())
        return read(response)
    except (OSError, http.client.HTTPException) as error:
        return Answer("unknown", note=repr(error))
    finally:
        connection.close()


def send_stream(port, organisation, prompt, tokens):
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": tokens,
                       "messages": [{"role": "user", "content": prompt}]})
    return _exchange(
        port, "/v1/chat/completions", body,
        {"Authorization": f"Bearer {organisation}-key",
         "Content-Type": "application/json"},
        lambda response: _read_stream(
            response, response.getheader("X-Request-Id")))


def send_payout(port, organisation, key):
    body = json.dumps({"payout": key, "amount": 100})

    def read(response):
        return Answer("complete", 200, response.read().decode(),
                      response.getheader("X-Request-Id"))
    return _exchange(port, "/services/payout/payouts", body,
                     {"Authorization": f"Bearer {organisation}-key",
                      "Content-Type": "application/json",
                      "Idempotency-Key": key}, read)


class Figures:
    """Counts of all clients, checked against the stand-ins by check()."""

    def __init__(self):
        self.lock = threading.Lock()
        self.requests = 0
        self.complete = 0
        self.wrong_or_partial = 0
        self.refused_not_run = 0
        self.unknown = 0
        self.gave_up = 0
        self.resent_after_node_loss = 0
        self.payouts = 0
        self.payouts_done = 0
        self.payouts_unknown = 0
        self.not_run_payout_executed = 0
        self.not_run_ids = set()
        self.payout_done_keys = set()
        self.payout_keys = set()
        self.notes = []

    def add(self, name, count=1):
        with self.lock:
            setattr(self, name, getattr(self, name) + count)

    def note(self, text):
        with self.lock:
            self.notes.append(text)


class Clients:
    """Sends streams and payouts at random times through random nodes."""

    def __init__(self, deployment, figures, seed, tokens):
        self.deployment = deployment
        self.figures = figures
        self.seed = seed
        self.tokens = tokens
        self.threads = []
        self.faults = []
        self._prefixes = {}
        self._expected = {}
        for name in ORGANISATIONS:
            rng = new_random(seed, "prefix " + name)
            words = " ".join(f"{name}{rng.randrange(10**6):06d}"
                             for _ in range(PREFIX_BYTES // 12 + 200))
            prefix = words[:PREFIX_BYTES]
            self._prefixes[name] = prefix
            self._expected[name] = ExpectedText(prefix.encode(), tokens)

    def schedule(self, streams, payouts, seconds, label=""):
        """Starts a thread that sends them spread over `seconds`."""
        thread = threading.Thread(
            target=self._arrivals, args=(streams, payouts, seconds, label),
            daemon=True)
        thread.start()
        self.threads.append(thread)

    def _arrivals(self, streams, payouts, seconds, label):
        rng = new_random(self.seed, "arrivals " + label)
        due = [(rng.uniform(0, seconds), "stream", i) for i in range(streams)]
        due += [(rng.uniform(0, seconds), "payout", i) for i in range(payouts)]
        started = time.monotonic()
        workers = []
        for at, kind, index in sorted(due):
            time.sleep(max(0.0, started + at - time.monotonic()))
            target = self.stream if kind == "stream" else self.payout
            worker = threading.Thread(
                target=self._guarded, args=(target, f"{label}{index}"),
                daemon=True)
            worker.start()
            workers.append(worker)
        for worker in workers:
            worker.join()

    def _guarded(self, target, name):
        try:
            target(name)
        except Exception as error:  # a fault of the script fails the run
            self.faults.append(f"{name}: {error!r}")

    def join(self):
        for thread in self.threads:
            thread.join()
        self.threads.clear()

    def stream(self, name):
        rng = new_random(self.seed, "stream " + name)
        organisation = rng.choice(ORGANISATIONS)
        prompt = f"{self._prefixes[organisation]} question {name}"
        # The chat prompt is the messages' contents, one line each.
        expected = self._expected[organisation].text(
            (prompt + "\n").encode(), self.tokens)
        figures = self.figures
        figures.add("requests")
        deadline = time.monotonic() + PATIENCE
        node = None
        while time.monotonic() < deadline:
            node = self.deployment.pick_node(rng, avoid=node)
            if node is None:
                time.sleep(0.2)
                continue
            answer = send_stream(node.client_port, organisation, prompt,
                                 self.tokens)
            if self._settle_stream(name, node, answer, expected):
                return
            time.sleep(answer.retry_after if answer.kind == "not_run" else 0.2)
        figures.add("gave_up")
        figures.note(f"stream {name}: gave up")

    def _settle_stream(self, name, node, answer, expected):
        figures = self.figures
        if answer.kind == "complete":
            if answer.text == expected:
                figures.add("complete")
            else:
                figures.add("wrong_or_partial")
                figures.note(f"stream {name} via {node.name}: wrong text, "
                             f"{len(answer.text)} of {len(expected)} bytes")
            return True
        if answer.kind == "not_run":
            figures.add("refused_not_run")
            with figures.lock:
                figures.not_run_ids.add(answer.request_id)
            return False
        if answer.kind == "unsent":
            return False
        if not expected.startswith(answer.text):
            figures.add("wrong_or_partial")
            figures.note(f"stream {name} via {node.name}: wrong part")
            return True
        # The connection of a killed or paused node breaks; a completion is
        # idempotent, so the client sends it again.
        if node.is_disturbed and node.was_killed:
            figures.add("resent_after_node_loss")
            return False
        if answer.kind == "partial":
            figures.add("wrong_or_partial")
            figures.note(f"stream {name} via {node.name}: partial, "
                         f"{len(answer.text)} of {len(expected)} bytes, "
                         f"{answer.request_id}: {answer.note}")
            return True
        figures.add("unknown")
        figures.note(f"stream {name} via {node.name}: unknown, "
                     f"{answer.status} {answer.request_id} {answer.note}")
        return False

    def payout(self, name):
        rng = new_random(self.seed, "payout " + name)
        organisation = rng.choice(ORGANISATIONS)
        key = f"{int(time.time())}-{self.seed}-{name}"
        figures = self.figures
        figures.add("payouts")
        with figures.lock:
            figures.payout_keys.add(key)
        deadline = time.monotonic() + PATIENCE
        node = None
        only_not_run = True
        unknown_answers = 0
        while time.monotonic() < deadline and unknown_answers < 5:
            node = self.deployment.pick_node(rng, avoid=node)
            if node is None:
                time.sleep(0.2)
                continue
            answer = send_payout(node.client_port, organisation, key)
            if answer.kind == "complete":
                figures.add("payouts_done")
                with figures.lock:
                    figures.payout_done_keys.add(key)
                return
            if answer.kind == "not_run":
                figures.add("refused_not_run")
                if only_not_run:
                    self._check_not_run(key)
                time.sleep(answer.retry_after)
            elif answer.kind == "unsent":
                time.sleep(0.2)
            else:
                only_not_run = False
                # An attempt in progress will settle; "unknown" may be final.
                unknown_answers += not answer.note.startswith("in_progress")
                time.sleep(answer.retry_after)
        figures.add("payouts_unknown")
        figures.note(f"payout {key}: no recorded outcome, {answer.note}")

    def _check_not_run(self, key):
        """Nothing else has sent this key, so it must not have run."""
        if self.deployment.service()["executions"].get(key, 0):
            self.figures.add("not_run_payout_executed")
            self.figures.note(f"payout {key}: refused as not run but executed")


def check(figures, deployment):
    """Returns the counts that are taken at the stand-ins."""
    executed = set()
    for row in deployment.engines().values():
        executed.update(row["executions"])
    ran_ids = figures.not_run_ids & executed
    executions = deployment.service()["executions"]
    twice = [key for key in figures.payout_keys if executions.get(key, 0) > 1]
    missing = [key for key in figures.payout_done_keys
               if executions.get(key, 0) != 1 and key not in twice]
    for item in ran_ids:
        figures.note(f"request {item}: refused as not run but executed")
    return {"not_run_but_executed": len(ran_ids) +
            figures.not_run_payout_executed,
            "payouts_executed_twice": len(twice),
            "payouts_done_but_not_executed": len(missing)}
