"""Soak: runs the programs on loopback under load while processes are killed, paused and restarted
and configuration changes, all at the same time, and checks what callers and engines see.

Usage: scripts/soak.py [--seed N] [--runs N] [--seconds S] [--pause-seconds S] [--actors N]
                       [--callers N]

Engines pause for up to 2 s beside all other actions, and after them beside planned changes only. A
pause is no reason to give up a request: each one that was accepted and that no other disturbance
overlaps must be answered.

A run is repeated with its seed, which determines the series of actions; their timing also depends
on the machine. Callers keep using open connections until the process behind them is gone. The exit
code is 1 if a check fails, and the command that repeats the run is printed.
"""

import argparse
import collections
import contextlib
import http.client
import json
import pathlib
import random
import re
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from loopback_cluster import (ANSWER_WITHIN_MS, TOKENS, WAIT_LIMIT_SECONDS, Cluster,  # noqa: E402
                              call_json, expected_answer, outcome_of, rollout, target, wait_until)

# What a response may take beyond its deadline, because the caller and the instance share the
# machine with all others and the instance may be paused meanwhile.
LATE_SECONDS = 10
# Shortest and longest pause of an engine.
PAUSE_SECONDS = (0.2, 2)
# A request may suffer from a disturbance that ended this long before it was sent, because other
# processes learn of the restart later.
AFTERMATH_SECONDS = 5
# A request that ends without a response later than this after its last byte counts as read.
LOSS_SLACK_SECONDS = 0.2
# Marks the requests of callers in the logs of instances.
ACCOUNT_PREFIX = "soak-account-"
REQUEST_LINE = re.compile(r'event=(request_finished|request_interrupted) .*?\brequest="?([^ "]+)"? '
                          r'.*account=' + ACCOUNT_PREFIX)
# Day of the epoch that idempotency keys begin with.
DAY = 20426


class Caller(threading.Thread):
    """Sends requests one after the other over connections that it keeps open."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.number = number
        self.random = random.Random(f"{soak.seed}/caller/{number}")
        self.connections = {}
        self.results = []

    def run(self):
        sent = 0
        while not self.soak.stopped.is_set():
            sent += 1
            self.results.append(self.send(f"{self.number}-{sent}"))
            time.sleep(self.random.uniform(0, 0.02))

    def connection(self, name):
        """Returns the open connection to an entry instance and its process, which may be an earlier
        one of the same name, or opens a connection to the current process."""
        known = self.connections.get(name)
        if known and known[0].sock:
            return known
        process = self.soak.cluster.entries[name]
        opened = http.client.HTTPConnection("127.0.0.1", process.ports["http"],
                                            timeout=ANSWER_WITHIN_MS / 1000 + LATE_SECONDS)
        opened.connect()
        self.connections[name] = (opened, process)
        return opened, process

    def send(self, request):
        name = self.random.choice(self.soak.entry_names)
        is_keyed = self.random.random() < 0.5
        account = f"{ACCOUNT_PREFIX}{self.random.randrange(5)}"
        path, headers = "/v1/asistente/quotation", {"Client-Account": account}
        result = {"request": request, "entry": name, "execution": None, "begin": time.monotonic()}
        if is_keyed:
            path = "/v1/pedidos/confirmation"
            headers["Idempotency-Key"] = f"{DAY}-{request}"
            result["execution"] = f"{account}/{DAY}-{request}"
        try:
            connection, result["process"] = self.connection(name)
        except OSError:
            time.sleep(0.02)
            return {**result, "outcome": "unsent"}
        result["outcome"] = "broken"
        try:
            connection.request("POST", path,
                               json.dumps({"prompt": request, "maxTokens": TOKENS}), headers)
            result["sent"] = time.monotonic()
            response = connection.getresponse()
            result["outcome"] = "truncated"
            result["id"] = response.getheader("Request-Id")
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return {**result, "detail": repr(error), "end": time.monotonic()}
        result["end"] = time.monotonic()
        expected = expected_answer(response.getheader("Served-Digest"), request, TOKENS)
        outcome, detail = outcome_of(response.status, body, expected)
        return {**result, "outcome": outcome, "detail": detail}


class Actor(threading.Thread):
    """Takes one action after the other. Actions of several actors overlap, but only one at a time
    applies to a process."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.random = random.Random(f"{soak.seed}/actor/{number}")
        self.actions = [self.kill_engine, self.stall_engine, self.kill_agent, self.pause_agent,
                        self.terminate_agent, self.kill_entry, self.pause_entry,
                        self.terminate_entry, self.terminate_entry, self.disturb_table,
                        self.change_target, self.roll_out, self.pause_engines,
                        self.pause_engines]
        # Beside these, every accepted request must be answered.
        self.harmless_actions = [self.pause_engines, self.pause_engines, self.pause_engines,
                                 self.drain_entry, self.change_target, self.roll_out]

    def run(self):
        try:
            while not self.soak.stopped.is_set():
                is_calm = self.soak.is_calm.is_set()
                action = self.random.choice(self.harmless_actions if is_calm else self.actions)
                if action in self.harmless_actions:
                    action()
                else:
                    with self.soak.disturbances.record():
                        action()
                self.soak.stopped.wait(self.random.uniform(0.1, 1.0))
        except Exception as error:
            self.soak.violate("action failed", repr(error))

    def pause(self, longest):
        time.sleep(self.random.uniform(0, longest))

    def kill_engine(self):
        with self.soak.victim(self.random, "engine") as name:
            if name:
                upstream = self.soak.cluster.upstreams[name]
                upstream.engine.kill()
                self.pause(2)
                self.soak.cluster.start_engine(upstream, port=upstream.engine.ports["port"])

    def stall_engine(self):
        with self.soak.victim(self.random, "engine") as name:
            if name:
                upstream = self.soak.cluster.upstreams[name]
                self.soak.cluster.engine_faults(upstream, stalled=True)
                self.pause(3)
                self.soak.cluster.engine_faults(upstream, stalled=False)

    def pause_engines(self):
        """Pauses one or several engines, at once or one shortly after the other, some of them
        several times."""
        group = self.random.choice(["engine", "engine", "keyed-engine"])
        with self.soak.victims(self.random, group, self.random.randrange(1, 5)) as names:
            threads = [threading.Thread(target=self.pause_engine, args=(name, *self.pause_series()))
                       for name in names]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def pause_series(self):
        """Returns a delay and the lengths of the pauses after it."""
        delay = self.random.choice([0, self.random.uniform(0, 1)])
        count = self.random.choice([1, 1, 2, 3])
        return delay, [self.random.uniform(*PAUSE_SECONDS) for _ in range(count)]

    def pause_engine(self, name, delay, lengths):
        engine = self.soak.cluster.upstreams[name].engine
        time.sleep(delay)
        for length in lengths:
            with self.soak.pauses.record():
                engine.signal(signal.SIGSTOP)
                time.sleep(length)
                engine.signal(signal.SIGCONT)
            # Responses go on for a moment between the pauses.
            time.sleep(0.05)

    def with_agent(self, action):
        with self.soak.victim(self.random, "agent") as name:
            if name:
                action(self.soak.cluster.upstreams[name])

    def kill_agent(self):
        def action(upstream):
            upstream.agent.kill()
            self.pause(2)
            self.soak.cluster.start_agent(upstream)
        self.with_agent(action)

    def terminate_agent(self):
        def action(upstream):
            if upstream.agent.stop() != 0:
                self.soak.violate("exit code", upstream.name)
            self.pause(1)
            self.soak.cluster.start_agent(upstream)
        self.with_agent(action)

    def pause_agent(self):
        self.with_agent(lambda upstream: self.stop_and_continue(upstream.agent, 4))

    def stop_and_continue(self, process, longest):
        process.signal(signal.SIGSTOP)
        self.pause(longest)
        process.signal(signal.SIGCONT)

    def with_entry(self, action):
        with self.soak.victim(self.random, "entry") as name:
            if name:
                action(self.soak.cluster.entries[name])

    def restart_entry(self, entry):
        self.pause(1)
        self.soak.cluster.add_entry(entry.name, entry.data_centre)

    def kill_entry(self):
        def action(entry):
            self.soak.killed.add(entry)
            entry.kill()
            self.restart_entry(entry)
        self.with_entry(action)

    def pause_entry(self):
        self.with_entry(lambda entry: self.stop_and_continue(entry, 2))

    def terminate_entry(self):
        self.end_entry(self.random.choice(["plain", "paused", "second signal"]))

    def drain_entry(self):
        self.end_entry("plain")

    def end_entry(self, kind):
        def action(entry):
            self.soak.terminated.add(entry)
            entry.signal(signal.SIGTERM)
            if kind == "paused":
                self.stop_and_continue(entry, 1)
            elif kind == "second signal":
                self.pause(0.5)
                entry.signal(signal.SIGTERM)
            exit_code = entry.handle.wait(timeout=WAIT_LIMIT_SECONDS)
            if kind != "second signal" and exit_code != 0:
                self.soak.violate("exit code", f"{entry.name} {exit_code}")
            if kind != "second signal" and "request_interrupted" in entry.log():
                self.soak.violate("interrupted by a drain", entry.log_path)
            self.restart_entry(entry)
        self.with_entry(action)

    def disturb_table(self):
        fault = self.random.choice(["tableDown", "tableLosesAnswers", "tableStaleReads"])
        with self.soak.victim(self.random, "table") as name:
            if name:
                self.soak.cluster.faults(**{fault: True})
                self.pause(2)
                self.soak.cluster.faults(**{fault: False})

    def apply(self, puts):
        entry = self.random.choice(list(self.soak.cluster.entries.values()))
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.soak.cluster.apply(entry, puts)

    def change_target(self):
        self.apply([target("bodega", "stock-check",
                           answerWithinMs=self.random.randrange(5000, 10000))])

    def roll_out(self):
        self.apply([rollout("asistente", self.random.choice(["v1", "v2"]))])


class Intervals:
    """Times at which actions were under way."""

    def __init__(self):
        self._intervals = []

    @contextlib.contextmanager
    def record(self):
        interval = [time.monotonic(), float("inf")]
        self._intervals.append(interval)
        try:
            yield
        finally:
            interval[1] = time.monotonic()

    def __len__(self):
        return len(self._intervals)

    def are_over(self):
        return all(end < float("inf") for _, end in self._intervals)

    def overlap(self, result, aftermath=0):
        """Whether an action, or `aftermath` seconds after it, overlaps a request."""
        return any(begin <= result["end"] and result["begin"] <= end + aftermath
                   for begin, end in self._intervals)


class Soak:
    """One seeded run."""

    def __init__(self, seed, seconds, pause_seconds, actors, callers):
        self.seed = seed
        self.seconds = seconds
        self.pause_seconds = pause_seconds
        self.stopped = threading.Event()
        # Set while only harmless actions take place.
        self.is_calm = threading.Event()
        self.pauses = Intervals()
        self.disturbances = Intervals()
        self.killed = set()
        self.logged_requests = 0
        self.terminated = set()
        self.violations = []
        self.entry_names = []
        self._lock = threading.Lock()
        self._free = {}
        # Number of processes of a group that stay free of actions at any time.
        self._least_free = {"engine": 2, "agent": 2, "entry": 1, "table": 0}
        self.beside_pauses = collections.Counter()
        self.cluster = Cluster()
        self.actors = [Actor(self, number) for number in range(actors)]
        self.callers = [Caller(self, number) for number in range(callers)]

    def violate(self, rule, detail):
        with self._lock:
            self.violations.append(f"{rule}: {detail}")

    @contextlib.contextmanager
    def victim(self, chooser, group):
        """Reserves a process of a group for one action, or yields None if too few are free."""
        with self._lock:
            free = self._free[group]
            name = chooser.choice(sorted(free)) if len(free) > self._least_free[group] else None
            free.discard(name)
        try:
            yield name
        finally:
            if name:
                with self._lock:
                    free.add(name)

    @contextlib.contextmanager
    def victims(self, chooser, group, count):
        """Reserves up to `count` processes of a group that all others may lack meanwhile."""
        with self._lock:
            free = self._free[group]
            names = chooser.sample(sorted(free), min(count, len(free)))
            free.difference_update(names)
        try:
            yield names
        finally:
            with self._lock:
                free.update(names)

    def start(self):
        cluster = self.cluster
        cluster.start_services()
        cluster.create_model("asistente", "v2", 4 << 20, 23)
        self.entry_names = list(cluster.entries)
        # Engines of keyed work are not killed, because the counts of its executions would be lost.
        engines = [name for name in cluster.upstreams if name.startswith("asistente")]
        keyed_engines = [name for name in cluster.upstreams if name.startswith("pedidos")]
        self._free = {"engine": set(engines), "keyed-engine": set(keyed_engines),
                      "agent": set(cluster.upstreams) - {"bodega-0"},
                      "entry": set(self.entry_names), "table": {"table"}}

    def check_recovery(self):
        """Checks that a rollout ordered after the faults is carried out by every upstream."""
        def is_accepted():
            status, _ = self.cluster.apply(self.cluster.entries[self.entry_names[0]],
                                           [rollout("asistente", "v2")])
            return status == 200
        try:
            wait_until(is_accepted, "a change is accepted after the faults")
            self.cluster.wait_until_serving()
            wait_until(lambda: self.loaded_versions("asistente") == {"v2"},
                       "all engines have loaded the last version")
        except (AssertionError, OSError, http.client.HTTPException) as error:
            self.violate("recovery", error)
            self.save_dumps()

    def save_dumps(self):
        processes = [upstream.agent for upstream in self.cluster.upstreams.values()]
        for process in processes + list(self.cluster.entries.values()):
            path = self.cluster.folder / f"{process.name}.dump.json"
            with contextlib.suppress(OSError, http.client.HTTPException):
                path.write_text(json.dumps(self.cluster.dump(process), indent=1))

    def loaded_versions(self, service):
        return {call_json(upstream.engine.ports["port"], "GET", "/status")[1]["version"]
                for upstream in self.cluster.upstreams.values() if upstream.service == service}

    def check_results(self, results):
        executions = self.cluster.executions()
        for name, count in executions.items():
            if count > 1:
                self.violate("executed twice", f"{name} {count}")
        for result in results:
            outcome, process = result["outcome"], result.get("process")
            has_run = bool(executions.get(result["execution"]))
            shown = {key: value for key, value in result.items() if key != "process"}
            if outcome == "wrong":
                self.violate("wrong answer", shown)
            if result.get("detail") == "malformed-request":
                self.violate("sound request refused as malformed", shown)
            if outcome == "not-run" and has_run:
                self.violate("executed, but reported as not run", shown)
            if outcome == "complete" and result["execution"] and not has_run:
                self.violate("reported as complete, but not executed", shown)
            # A response that an upstream began and lost is truncated visibly if the retry budget is
            # empty.
            if outcome == "broken" and process not in self.killed and (
                    process not in self.terminated or has_run or self.was_read(result)):
                self.violate("connection lost", shown)
            self.check_beside_pauses(result, shown)
            limit = ANSWER_WITHIN_MS / 1000 + LATE_SECONDS
            if outcome not in ("unsent", "broken") and result["end"] - result["begin"] > limit:
                self.violate("late", shown)

    @staticmethod
    def was_read(result):
        """Whether a request that ended without a response did not merely cross the close of its
        connection by a process that ends."""
        return result["end"] - result.get("sent", result["end"]) > LOSS_SLACK_SECONDS

    def check_answered(self, results):
        """Checks that each request that a process has logged got a response."""
        answered = {result["id"] for result in results if "id" in result}
        for process in self.cluster.processes:
            if process.name not in self.entry_names or process in self.killed:
                continue
            for event, request in REQUEST_LINE.findall(process.log()):
                self.logged_requests += 1
                if request not in answered:
                    self.violate("read without a response",
                                 f"{event} request={request} {process.log_path}")

    def check_beside_pauses(self, result, shown):
        """A request that overlaps a pause and no other disturbance is answered or refused."""
        outcome = result["outcome"]
        if (outcome == "unsent" or not self.pauses.overlap(result)
                or self.disturbances.overlap(result, AFTERMATH_SECONDS)):
            return
        self.beside_pauses[outcome] += 1
        # A broken connection is judged like all others; see check_results().
        if outcome in ("truncated", "unknown", "refused"):
            self.violate("lost beside a pause", shown)

    def run(self):
        """Returns whether all checks hold."""
        with self.cluster:
            self.start()
            for thread in self.callers + self.actors:
                thread.start()
            self.stopped.wait(self.seconds)
            self.is_calm.set()
            wait_until(self.disturbances.are_over, "the disturbances are over")
            self.stopped.wait(AFTERMATH_SECONDS + self.pause_seconds)
            self.stopped.set()
            for thread in self.actors + self.callers:
                thread.join(3 * WAIT_LIMIT_SECONDS)
                if thread.is_alive():
                    self.violate("hang", thread.name)
            self.check_recovery()
            results = [result for caller in self.callers for result in caller.results]
            self.check_results(results)
            self.check_answered(results)
            if self.pause_seconds > AFTERMATH_SECONDS and not self.beside_pauses:
                self.violate("never evaluated", "requests beside pauses")
            if not self.logged_requests:
                self.violate("never evaluated", "requests that a process has logged")
            outcomes = collections.Counter(result["outcome"] for result in results)
            reasons = collections.Counter(result["detail"] for result in results
                                          if result["outcome"] in ("not-run", "unknown"))
            print(f"seed={self.seed} result={'failed' if self.violations else 'passed'} "
                  f"terminated={len(self.terminated)} killed={len(self.killed)} "
                  f"pauses={len(self.pauses)} beside_pauses="
                  + ",".join(f"{name}:{count}"
                             for name, count in sorted(self.beside_pauses.items())) + " "
                  + " ".join(f"{name}={count}" for name, count in sorted(outcomes.items()))
                  + " reasons="
                  + ",".join(f"{name}:{count}" for name, count in reasons.most_common()),
                  flush=True)
            for violation in self.violations[:20]:
                print(f"  {violation}")
            if self.violations:
                print(f"  logs: {self.cluster.folder}\n  repeat: scripts/soak.py "
                      f"--seed {self.seed} --seconds {self.seconds} "
                      f"--pause-seconds {self.pause_seconds} --actors {len(self.actors)} "
                      f"--callers {len(self.callers)}", flush=True)
        return not self.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=1, help="runs, with one seed after the other")
    parser.add_argument("--seconds", type=float, default=30, help="length of the faults of a run")
    parser.add_argument("--pause-seconds", type=float, default=15,
                        help="time after them in which only engines pause, beside planned changes")
    parser.add_argument("--actors", type=int, default=4, help="series of actions that overlap")
    parser.add_argument("--callers", type=int, default=8, help="callers with open connections")
    chosen = parser.parse_args()
    # Ends the programs that were started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = [seed for seed in range(chosen.seed, chosen.seed + chosen.runs)
              if not Soak(seed, chosen.seconds, chosen.pause_seconds, chosen.actors,
                           chosen.callers).run()]
    if failed:
        print(f"failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
