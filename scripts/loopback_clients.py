"""Clients that load a loopback deployment and check every response."""

import http.client
import json
import threading
import time

from loopback import seeded_random
from xxh64 import ExpectedText

ORGANISATIONS = ["acme", "birch", "cedar", "dunes"]
PREFIX_BYTES = 20000
# Longest time in seconds for which a client resends one request.
RESEND_LIMIT_S = 60.0


class AttemptResult:
    """Outcome of one attempt to send a request."""

    def __init__(self, kind, status=0, text="", request_id="", retry_after=1.0,
                 note=""):
        # One of: complete, not_run, unknown, partial, unsent.
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


def _parse_error(status, response, body):
    try:
        error = json.loads(body)["error"]
    except (ValueError, KeyError, TypeError):
        return AttemptResult("unknown", status, note=body[:200])
    wait = max(error.get("retry_after_ms", 0) / 1000.0,
               float(response.getheader("Retry-After") or 0))
    outcome = error.get("outcome", "unknown")
    return AttemptResult("not_run" if outcome == "not_run" else "unknown",
                         status, request_id=error.get("request_id", ""),
                         retry_after=wait or 1.0,
                         note=f"{error.get('type')}: {error.get('message')}")


def _read_stream(response, request_id):
    text = []
    is_complete = False
    note = "the stream ended without [DONE]"
    try:
        for line in response:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                is_complete = True
                continue
            event = json.loads(data)
            if "error" in event:
                note = f"{event['error']}"
                break
            if event["id"] != request_id:
                note = f"received a chunk of request {event['id']}"
                break
            text.append(event["choices"][0]["delta"]["content"])
    except (OSError, http.client.HTTPException) as error:
        note = repr(error)
        is_complete = False
    kind = "complete" if is_complete else "partial"
    return AttemptResult(kind, 200, "".join(text), request_id,
                         note="" if is_complete else note)


def _send_post(port, path, body, headers, read_response):
    try:
        connection = _connect(port)
    except OSError as error:
        return AttemptResult("unsent", note=repr(error))
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        if response.status != 200:
            return _parse_error(response.status, response,
                                response.read().decode())
        return read_response(response)
    except (OSError, http.client.HTTPException) as error:
        return AttemptResult("unknown", note=repr(error))
    finally:
        connection.close()


def send_stream(port, organisation, prompt, tokens):
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": tokens,
                       "messages": [{"role": "user", "content": prompt}]})
    return _send_post(
        port, "/v1/chat/completions", body,
        {"Authorization": f"Bearer {organisation}-key",
         "Content-Type": "application/json"},
        lambda response: _read_stream(
            response, response.getheader("X-Request-Id")))


def send_payout(port, organisation, key):
    body = json.dumps({"payout": key, "amount": 100})

    def read_response(response):
        return AttemptResult("complete", 200, response.read().decode(),
                             response.getheader("X-Request-Id"))
    return _send_post(port, "/services/payout/payouts", body,
                      {"Authorization": f"Bearer {organisation}-key",
                       "Content-Type": "application/json",
                       "Idempotency-Key": key}, read_response)


class Counters:
    """Counters shared by all clients; count_violations() verifies them."""

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

    def add_note(self, text):
        with self.lock:
            self.notes.append(text)


class Clients:
    """Sends streaming requests and payouts to random nodes at random times."""

    def __init__(self, deployment, counters, seed, tokens):
        self.deployment = deployment
        self.counters = counters
        self.seed = seed
        self.tokens = tokens
        self.threads = []
        self.errors = []
        self._prefixes = {}
        self._expected = {}
        for name in ORGANISATIONS:
            rng = seeded_random(seed, "prefix " + name)
            words = " ".join(f"{name}{rng.randrange(10**6):06d}"
                             for _ in range(PREFIX_BYTES // 12 + 200))
            prefix = words[:PREFIX_BYTES]
            self._prefixes[name] = prefix
            self._expected[name] = ExpectedText(prefix.encode(), tokens)

    def schedule_load(self, streams, payouts, seconds, label=""):
        """Starts a thread that sends the requests spread over `seconds`."""
        thread = threading.Thread(
            target=self._send_scheduled,
            args=(streams, payouts, seconds, label),
            daemon=True)
        thread.start()
        self.threads.append(thread)

    def _send_scheduled(self, streams, payouts, seconds, label):
        rng = seeded_random(self.seed, "arrivals " + label)
        arrivals = [(rng.uniform(0, seconds), "stream", i)
                    for i in range(streams)]
        arrivals += [(rng.uniform(0, seconds), "payout", i)
                     for i in range(payouts)]
        started = time.monotonic()
        workers = []
        for send_offset, kind, index in sorted(arrivals):
            time.sleep(max(0.0, started + send_offset - time.monotonic()))
            target = self.run_stream if kind == "stream" else self.run_payout
            worker = threading.Thread(
                target=self._run_recording_errors,
                args=(target, f"{label}{index}"),
                daemon=True)
            worker.start()
            workers.append(worker)
        for worker in workers:
            worker.join()

    def _run_recording_errors(self, target, name):
        try:
            target(name)
        except Exception as error:  # an exception in a client fails the run
            self.errors.append(f"{name}: {error!r}")

    def join(self):
        for thread in self.threads:
            thread.join()
        self.threads.clear()

    def run_stream(self, name):
        rng = seeded_random(self.seed, "stream " + name)
        organisation = rng.choice(ORGANISATIONS)
        prompt = f"{self._prefixes[organisation]} question {name}"
        # The node builds the prompt from the contents of the chat messages,
        # one line each.
        expected = self._expected[organisation].text(
            (prompt + "\n").encode(), self.tokens)
        counters = self.counters
        counters.add("requests")
        deadline = time.monotonic() + RESEND_LIMIT_S
        node = None
        while time.monotonic() < deadline:
            node = self.deployment.choose_ready_node(rng, excluded=node)
            if node is None:
                time.sleep(0.2)
                continue
            attempt = send_stream(node.client_port, organisation, prompt,
                                 self.tokens)
            if self._record_stream_attempt(name, node, attempt, expected):
                return
            time.sleep(attempt.retry_after if attempt.kind == "not_run"
                       else 0.2)
        counters.add("gave_up")
        counters.add_note(f"stream {name}: no complete response in time")

    def _record_stream_attempt(self, name, node, attempt, expected):
        counters = self.counters
        if attempt.kind == "complete":
            if attempt.text == expected:
                counters.add("complete")
            else:
                counters.add("wrong_or_partial")
                counters.add_note(
                    f"stream {name} via {node.name}: wrong text, "
                    f"{len(attempt.text)} of {len(expected)} bytes")
            return True
        if attempt.kind == "not_run":
            counters.add("refused_not_run")
            with counters.lock:
                counters.not_run_ids.add(attempt.request_id)
            return False
        if attempt.kind == "unsent":
            return False
        if not expected.startswith(attempt.text):
            counters.add("wrong_or_partial")
            counters.add_note(
                f"stream {name} via {node.name}: wrong partial text")
            return True
        # The connections of a killed or paused node break; a completion is
        # idempotent, so the client resends it.
        if node.is_disturbed and node.was_killed:
            counters.add("resent_after_node_loss")
            return False
        if attempt.kind == "partial":
            counters.add("wrong_or_partial")
            counters.add_note(f"stream {name} via {node.name}: partial, "
                              f"{len(attempt.text)} of {len(expected)} bytes, "
                              f"{attempt.request_id}: {attempt.note}")
            return True
        counters.add("unknown")
        counters.add_note(f"stream {name} via {node.name}: unknown, "
                              f"{attempt.status} {attempt.request_id} "
                              f"{attempt.note}")
        return False

    def run_payout(self, name):
        rng = seeded_random(self.seed, "payout " + name)
        organisation = rng.choice(ORGANISATIONS)
        key = f"{int(time.time())}-{self.seed}-{name}"
        counters = self.counters
        counters.add("payouts")
        with counters.lock:
            counters.payout_keys.add(key)
        deadline = time.monotonic() + RESEND_LIMIT_S
        node = None
        all_attempts_not_run = True
        unknown_attempts = 0
        while time.monotonic() < deadline and unknown_attempts < 5:
            node = self.deployment.choose_ready_node(rng, excluded=node)
            if node is None:
                time.sleep(0.2)
                continue
            attempt = send_payout(node.client_port, organisation, key)
            if attempt.kind == "complete":
                counters.add("payouts_done")
                with counters.lock:
                    counters.payout_done_keys.add(key)
                return
            if attempt.kind == "not_run":
                counters.add("refused_not_run")
                if all_attempts_not_run:
                    self._check_not_run(key)
                time.sleep(attempt.retry_after)
            elif attempt.kind == "unsent":
                time.sleep(0.2)
            else:
                all_attempts_not_run = False
                # A payout that is in progress gets an outcome later; only other
                # unknown outcomes may be final, so only these are counted.
                unknown_attempts += not attempt.note.startswith("in_progress")
                time.sleep(attempt.retry_after)
        counters.add("payouts_unknown")
        counters.add_note(f"payout {key}: no recorded outcome, {attempt.note}")

    def _check_not_run(self, key):
        """Checks that a payout refused as not run was not executed.

        Requires that every attempt with this key was refused as not run.
        """
        if self.deployment.service()["executions"].get(key, 0):
            self.counters.add("not_run_payout_executed")
            self.counters.add_note(
                f"payout {key}: refused as not run but executed")


def count_violations(counters, deployment):
    """Compares the client counters with the executions at the stand-ins.

    Returns the number of violations by kind.
    """
    executed = set()
    for row in deployment.engines().values():
        executed.update(row["executions"])
    executed_not_run_ids = counters.not_run_ids & executed
    executions = deployment.service()["executions"]
    executed_twice = [key for key in counters.payout_keys
                      if executions.get(key, 0) > 1]
    not_executed_once = [key for key in counters.payout_done_keys
                         if executions.get(key, 0) != 1 and
                         key not in executed_twice]
    for item in executed_not_run_ids:
        counters.add_note(f"request {item}: refused as not run but executed")
    return {"not_run_but_executed": len(executed_not_run_ids) +
            counters.not_run_payout_executed,
            "payouts_executed_twice": len(executed_twice),
            "payouts_done_but_not_executed": len(not_executed_once)}
