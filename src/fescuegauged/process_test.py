"""Process-level tests: run the programs on loopback and kill, terminate and pause processes.

A comment at each test states the failure that it guards against. Tests wait for observed
conditions, never for a fixed time.
"""

import collections
import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "scripts"))

from loopback_cluster import (TOKENS, WAIT_LIMIT_SECONDS, Cluster, call,  # noqa: E402
                              call_json, expected_answer, expected_plain_answer, outcome_of,
                              rollout, target, wait_until)

# The retry budget of an entry instance is a tenth of its traffic and is initially empty. After this
# number of requests over four entry instances, each can retry all requests running at one time.
REQUESTS_TO_FILL_RETRY_BUDGET = 500
# Tokens of a stream that lasts for longer than the processes pause, 2 ms a token.
TOKENS_OF_LONG_STREAM = 1500
PAUSES_SECONDS = (1.2, 1.9)
STOP_PAUSE_SECONDS = 0.7
# Time from the end of the drain to the end of the process.
MAX_STOP_SECONDS = 4


class LoadGenerator:
    """Sends requests of two classes from several threads until stopped; records each outcome."""

    # Makes idempotency keys unique, so that no request finds the claim of an earlier instance.
    instance_count = 0

    def __init__(self, cluster, roots, entries, threads=6):
        self.cluster = cluster
        self.roots = roots
        self.entries = entries
        self.results = []
        LoadGenerator.instance_count += 1
        self._name = f"load{LoadGenerator.instance_count}"
        self._lock = threading.Lock()
        self._number = 0
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(threads)]
        for thread in self._threads:
            thread.start()

    def _next_number(self):
        with self._lock:
            self._number += 1
            return self._number

    def _run(self):
        while not self._stop.is_set():
            number = self._next_number()
            result = self.send(number)
            with self._lock:
                self.results.append(result)

    def send(self, number):
        entry = self.entries[number % len(self.entries)]
        service, work_class = [("asistente", "quotation"), ("pedidos", "confirmation")][number % 2]
        prompt = f"{self._name} {number}"
        headers = {"Client-Account": f"account-{number % 5}"}
        execution = None
        if work_class == "confirmation":
            headers["Idempotency-Key"] = f"20426-{self._name}-{number}"
            execution = f"account-{number % 5}/20426-{self._name}-{number}"
        result = {"class": work_class, "execution": execution, "entry": entry.name}
        try:
            status, _, body = call(entry.ports["http"], "POST", f"/v1/{service}/{work_class}",
                                   {"prompt": prompt, "maxTokens": TOKENS}, headers)
        except (OSError, http.client.HTTPException) as error:
            return {**result, "outcome": "broken", "detail": repr(error)}
        outcome, detail = outcome_of(
            status, body, expected_answer(self.roots[service], prompt, TOKENS))
        return {**result, "outcome": outcome, "detail": detail}

    def count(self, outcome=None):
        with self._lock:
            return sum(1 for result in self.results if outcome in (None, result["outcome"]))

    def wait_for_more(self, more, outcome="complete"):
        goal = self.count(outcome) + more
        wait_until(lambda: self.count(outcome) >= goal,
                   f"{more} more requests have the outcome {outcome}")

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.results


class ProcessTest(unittest.TestCase):
    """Tests that share one deployment. Each test restarts the processes that it has stopped."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster()
        cluster = cls.cluster
        cluster.start_services()
        cls.roots = {"asistente": cluster.served(cluster.upstreams["asistente-0"]),
                     "pedidos": cluster.served(cluster.upstreams["pedidos-0"])}

    @classmethod
    def tearDownClass(cls):
        cls.cluster.__exit__(None, None, None)

    @classmethod
    def entry(cls, index):
        return list(cls.cluster.entries.values())[index]

    @classmethod
    def wait_until_serving(cls):
        cls.cluster.wait_until_serving()

    @classmethod
    def ask(cls, *arguments, **options):
        return cls.cluster.ask(*arguments, **options)

    def check_results(self, results):
        """Checks that no answer is wrong, no execution is repeated and no "not-run" request ran."""
        wrong = [result for result in results if result["outcome"] == "wrong"]
        self.assertEqual(wrong, [])
        executions = self.cluster.executions()
        repeated = {name: count for name, count in executions.items() if count > 1}
        self.assertEqual(repeated, {})
        falsely_not_run = [result for result in results if result["outcome"] == "not-run"
                           and executions.get(result["execution"])]
        self.assertEqual(falsely_not_run, [])

    def restart_agent(self, upstream):
        self.cluster.start_agent(upstream)
        self.wait_until_serving()

    # Guards against a repeated confirmation that is executed again or gets a different answer.
    def test_repeated_key_gets_the_recorded_answer(self):
        first = self.ask(self.entry(0), "pedidos", "confirmation", "jars", key="20426-repeat")
        again = self.ask(self.entry(3), "pedidos", "confirmation", "jars", key="20426-repeat")
        self.assertEqual(first, (200, expected_answer(self.roots["pedidos"], "jars", TOKENS)))
        self.assertEqual(again, first)
        self.assertEqual(self.cluster.executions()["account-0/20426-repeat"], 1)
        other = self.ask(self.entry(1), "pedidos", "confirmation", "lids", key="20426-repeat")
        self.assertEqual(other[0], 422)

    # Guards against a caller that cannot query the outcome of a confirmation.
    def test_outcome_can_be_asked_for_by_key(self):
        port = self.entry(2).ports["http"]
        headers = {"Client-Account": "account-0"}
        self.assertEqual(call_json(port, "GET", "/v1/outcomes/20426-ask", headers=headers)[1]
                         ["outcome"], "none")
        self.assertEqual(self.ask(self.entry(0), "pedidos", "confirmation", "jars",
                                  key="20426-ask")[0], 200)
        wait_until(lambda: call_json(port, "GET", "/v1/outcomes/20426-ask", headers=headers)[1]
                   ["outcome"] == "done", "the outcome is recorded")

    # Guards against a conversation whose generation or model version changes between two requests.
    def test_answers_carry_a_ticket_for_the_conversation(self):
        port = self.entry(0).ports["http"]
        body = {"prompt": "first", "maxTokens": 4}
        headers = {"Client-Account": "account-0"}
        status, answer, _ = call(port, "POST", "/v1/asistente/quotation", body, headers)
        self.assertEqual(status, 200)
        self.assertEqual(answer["Served-Digest"], self.roots["asistente"])
        headers["Generation-Ticket"] = answer["Generation-Ticket"]
        status, again, _ = call(port, "POST", "/v1/asistente/quotation", body, headers)
        self.assertEqual(status, 200)
        self.assertEqual(again["Served-Digest"], answer["Served-Digest"])
        headers["Generation-Ticket"] = "nonsense"
        self.assertEqual(call(port, "POST", "/v1/asistente/quotation", body, headers)[0], 400)

    # Guards against a rollback that reads chunks from the origin although they are still staged,
    # and against answers from a version other than the reported one.
    def test_rollback_draws_nothing_from_the_origin(self):
        upstreams = [u for u in self.cluster.upstreams.values() if u.service == "pedidos"]
        self.cluster.create_model("pedidos", "v2", 2 << 20, 23)
        old = self.roots["pedidos"]

        def roll_out(version, is_reached):
            status, answer = self.cluster.apply(self.entry(0), [rollout("pedidos", version)])
            self.assertEqual(status, 200, answer)
            for upstream in upstreams:
                wait_until(lambda u=upstream: is_reached(self.cluster.served(u)),
                           f"{upstream.name} serves {version}")
            self.wait_until_serving()

        roll_out("v2", lambda root: root != old)
        new = self.cluster.served(upstreams[0])
        status, body = self.ask(self.entry(0), "pedidos", "confirmation", "lids",
                                key="20426-version")
        self.assertEqual((status, body), (200, expected_answer(new, "lids", TOKENS)))
        before = self.cluster.origin_bytes()
        roll_out("v1", lambda root: root == old)
        self.assertEqual(self.cluster.origin_bytes(), before)

    # Guards against invalid input that crashes an instance or does not get the right error status.
    def test_bad_input_gets_a_clear_error(self):
        port = self.entry(0).ports["http"]
        cases = [
            ("POST", "/v1/asistente/quotation", b"{", {"Client-Account": "a"}, 400),
            ("POST", "/v1/asistente/quotation", b"{}", {}, 400),
            ("POST", "/v1/asistente/nothing", b"{}", {"Client-Account": "a"}, 404),
            ("POST", "/v1/pedidos/confirmation", b"{}", {"Client-Account": "a"}, 400),
            ("POST", "/v1/asistente/quotation", b"x" * (2 << 20), {"Client-Account": "a"}, 413),
            ("POST", "/v1/asistente/quotation", b"{}",
             {"Client-Account": "a", **{f"X-{i}": "v" for i in range(80)}}, 413),
            ("GET", "/operator/instances/nobody/dump", None, {}, 404),
        ]
        for method, path, body, headers, expected in cases:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
            try:
                connection.request(method, path, body, headers)
                self.assertEqual(connection.getresponse().status, expected, path)
            except (BrokenPipeError, ConnectionResetError):
                # The instance may close the connection before an oversized body is sent completely.
                self.assertEqual(expected, 413)
            finally:
                connection.close()
        with socket.create_connection(("127.0.0.1", port)) as garbage:
            garbage.sendall(b"\x00\xff" * 2000 + b"\r\n\r\n")
            garbage.recv(100)
        self.assertEqual(call(port, "GET", "/healthz")[0], 200)

    # Guards against lost confirmations, false "not run" answers and blocked requests of other
    # classes during an outage of the table.
    def test_table_outage_refuses_only_claims(self):
        try:
            self.cluster.faults(tableDown=True)
            status, body = self.ask(self.entry(0), "pedidos", "confirmation", "p",
                                    key="20426-outage")
            self.assertEqual(status, 503, body)
            self.assertIn(b'"run":"no"', body)
            status, body = self.ask(self.entry(0), "asistente", "quotation", "p")
            self.assertEqual((status, body),
                             (200, expected_answer(self.roots["asistente"], "p", TOKENS)))
        finally:
            self.cluster.faults(tableDown=False)
        self.assertNotIn("account-0/20426-outage", self.cluster.executions())
        wait_until(lambda: self.ask(self.entry(0), "pedidos", "confirmation", "p",
                                    key="20426-outage")[0] == 200,
                   "the confirmation runs after the outage")
        self.assertEqual(self.cluster.executions()["account-0/20426-outage"], 1)

    # Guards against a second execution when the answer to the write of the claim is lost.
    def test_lost_table_answers_never_double_a_confirmation(self):
        try:
            self.cluster.faults(tableLosesAnswers=True)
            self.ask(self.entry(0), "pedidos", "confirmation", "p", key="20426-lost")
        finally:
            self.cluster.faults(tableLosesAnswers=False)
        wait_until(lambda: self.ask(self.entry(1), "pedidos", "confirmation", "p",
                                    key="20426-lost")[0] in (200, 504),
                   "the repeated confirmation gets a final answer")
        self.assertLessEqual(self.cluster.executions().get("account-0/20426-lost", 0), 1)

    # Guards against two operators who overwrite each other's changes unnoticed.
    def test_stale_base_is_refused_and_names_the_author(self):
        change = call_json(self.entry(0).ports["http"], "GET", "/operator/targets")[1]["change"]
        put = [target("bodega", "stock-check", answerWithinMs=9000)]
        status, first = self.cluster.apply(self.entry(0), put, author="ana", base=change)
        self.assertEqual(status, 200, first)
        put = [target("bodega", "stock-check", answerWithinMs=8000)]
        status, second = self.cluster.apply(self.entry(2), put, author="eva", base=change)
        self.assertEqual(status, 409, second)
        self.assertEqual(second["conflicts"][0]["author"], "ana")
        for entry in self.cluster.entries.values():
            wait_until(lambda e=entry: call_json(e.ports["http"], "GET", "/operator/targets")[1]
                       ["change"] >= first["change"], f"{entry.name} has the change in force")

    # Guards against truncated or wrong answers and repeated executions when an engine is killed
    # under load.
    def test_killed_engine(self):
        load = LoadGenerator(self.cluster, self.roots, list(self.cluster.entries.values()))
        load.wait_for_more(REQUESTS_TO_FILL_RETRY_BUDGET)
        victim = self.cluster.upstreams["asistente-0"]
        port = victim.engine.ports["port"]
        victim.engine.kill()
        load.wait_for_more(40)
        self.cluster.start_engine(victim, port=port)
        self.wait_until_serving()
        results = load.stop()
        self.check_results(results)
        quotations = [result for result in results if result["class"] == "quotation"]
        self.assertEqual([r for r in quotations if r["outcome"] not in ("complete", "not-run")], [])

    # Guards against lost requests and repeated executions when agents are killed.
    def test_killed_agent(self):
        load = LoadGenerator(self.cluster, self.roots, list(self.cluster.entries.values()))
        load.wait_for_more(REQUESTS_TO_FILL_RETRY_BUDGET)
        for name in ("asistente-1", "pedidos-1"):
            self.cluster.upstreams[name].agent.kill()
        load.wait_for_more(40)
        for name in ("asistente-1", "pedidos-1"):
            self.cluster.start_agent(self.cluster.upstreams[name])
        self.wait_until_serving()
        results = load.stop()
        self.check_results(results)
        quotations = [result for result in results if result["class"] == "quotation"]
        self.assertEqual([r for r in quotations if r["outcome"] not in ("complete", "not-run")], [])

    # Guards against requests that hang at a paused process or are executed twice.
    def test_paused_agent(self):
        load = LoadGenerator(self.cluster, self.roots, list(self.cluster.entries.values()))
        load.wait_for_more(REQUESTS_TO_FILL_RETRY_BUDGET)
        victim = self.cluster.upstreams["asistente-2"]
        victim.agent.signal(signal.SIGSTOP)
        load.wait_for_more(60)
        victim.agent.signal(signal.SIGCONT)
        load.wait_for_more(20)
        self.wait_until_serving()
        results = load.stop()
        self.check_results(results)
        quotations = [result for result in results if result["class"] == "quotation"]
        self.assertEqual([r for r in quotations if r["outcome"] not in ("complete", "not-run")], [])

    # Guards against accepted requests that lose their answers because sound processes pause, beside a
    # change of the targets and without retries in the budget of their account.
    def test_pauses_cost_no_accepted_request_its_answer(self):
        upstreams = [u for u in self.cluster.upstreams.values() if u.kind == "engine"]
        cases = {"agents": [u.agent for u in upstreams], "engines": [u.engine for u in upstreams],
                 "agents and engines": [p for u in upstreams for p in (u.agent, u.engine)],
                 "entry": [self.entry(0)]}
        for number, (name, pause) in enumerate((n, p) for n in cases for p in PAUSES_SECONDS):
            with self.subTest(paused=name, seconds=pause):
                self.wait_until_serving()
                self.check_pause(f"pause{number}", cases[name], pause)

    def check_pause(self, name, paused, seconds):
        results = [None] * 12

        def send(index):
            service, work_class, key = (("asistente", "quotation", None) if index % 3 else
                                        ("pedidos", "confirmation", f"20426-{name}-{index}"))
            prompt = f"{name} {index}"
            expected = expected_answer(self.roots[service], prompt, TOKENS_OF_LONG_STREAM)
            try:
                status, body = self.ask(self.entry(0), service, work_class, prompt, key=key,
                                        account=name, tokens=TOKENS_OF_LONG_STREAM)
                results[index] = (index, *outcome_of(status, body, expected)[:1])
            except (OSError, http.client.HTTPException) as error:
                results[index] = (index, repr(error))

        agents = [u.agent for u in self.cluster.upstreams.values()]
        threads = [threading.Thread(target=send, args=(i,)) for i in range(len(results))]
        for thread in threads:
            thread.start()
        wait_until(lambda: sum(self.cluster.dump(a)["attempts"]["running"] for a in agents) >=
                   len(results), "all requests run")
        for process in paused:
            process.signal(signal.SIGSTOP)
        try:
            put = [target("bodega", "stock-check", answerWithinMs=10000 + int(1000 * seconds))]
            change = threading.Thread(target=self.cluster.apply, args=(self.entry(2), put))
            change.start()
            time.sleep(seconds)
        finally:
            for process in paused:
                process.signal(signal.SIGCONT)
        for thread in threads + [change]:
            thread.join()
        self.assertEqual([r for r in results if r[1] != "complete"], [])

    # Guards against cutting a stream whose connection is open because its agent, which was paused, was
    # declared dead.
    def test_stream_outlives_a_false_declaration_of_death(self):
        entry = self.cluster.add_entry("entry-patient", "dc-1",
                                       {"heartbeats": {"failureSeconds": WAIT_LIMIT_SECONDS}})
        self.cluster.wait_ready([entry])
        wait_until(lambda: self.ask(entry, "pedidos", "confirmation", "warm-up",
                                    key="20426-patient-warm-up")[0] == 200,
                   "the entry instance answers")
        results = []

        def send():
            try:
                results.append(self.ask(entry, "pedidos", "confirmation", "patient",
                                        key="20426-patient", tokens=TOKENS_OF_LONG_STREAM))
            except (OSError, http.client.HTTPException) as error:
                results.append(error)

        def is_dead(upstream):
            members = self.cluster.dump(entry)["membership"]["members"]
            return all(member["id"] != upstream.name for member in members)

        stream = threading.Thread(target=send)
        stream.start()
        victim = wait_until(
            lambda: next((u for u in self.cluster.upstreams.values()
                          if self.cluster.dump(u.agent)["attempts"]["running"]), None),
            "the stream has begun")
        victim.agent.signal(signal.SIGSTOP)
        try:
            wait_until(lambda: is_dead(victim), "the agent is declared dead")
            # The entry instance updates its connections every 0.1 s.
            time.sleep(0.5)
        finally:
            victim.agent.signal(signal.SIGCONT)
        stream.join()
        entry.stop()
        del self.cluster.entries[entry.name]
        self.wait_until_serving()
        self.assertEqual(results, [(200, expected_answer(self.roots["pedidos"], "patient",
                                                         TOKENS_OF_LONG_STREAM))])

    # Guards against a killed entry instance that breaks requests at other entry instances.
    def test_killed_entry(self):
        survivors = [self.entry(0), self.entry(2)]
        load = LoadGenerator(self.cluster, self.roots, survivors)
        victim = self.entry(1)
        other = LoadGenerator(self.cluster, self.roots, [victim], threads=3)
        load.wait_for_more(20)
        other.wait_for_more(5)
        victim.kill()
        load.wait_for_more(40)
        other.stop()
        results = load.stop()
        self.check_results(results + [r for r in other.results if r["outcome"] != "broken"])
        self.assertEqual([r for r in results if r["outcome"] not in ("complete", "not-run")], [])
        self.cluster.add_entry(victim.name, victim.data_centre)
        self.cluster.wait_ready()
        self.wait_until_serving()

    # Guards against a graceful shutdown of an agent that interrupts a request.
    def test_terminated_agent_cuts_nothing(self):
        load = LoadGenerator(self.cluster, self.roots, list(self.cluster.entries.values()))
        load.wait_for_more(20)
        victim = self.cluster.upstreams["asistente-3"]
        self.assertEqual(victim.agent.stop(), 0)
        load.wait_for_more(20)
        results = load.stop()
        self.restart_agent(victim)
        self.check_results(results)
        self.assertEqual([r for r in results if r["outcome"] not in ("complete", "not-run")], [])
        self.assertNotIn("attempt_interrupted", victim.agent.log())

    # Guards against a graceful shutdown of an entry instance that interrupts a request.
    def test_terminated_entry_cuts_nothing(self):
        victim = self.entry(3)
        load = LoadGenerator(self.cluster, self.roots, [victim])
        load.wait_for_more(10)
        victim.signal(signal.SIGTERM)
        self.assertEqual(victim.handle.wait(timeout=120), 0)
        results = load.stop()
        # After the drain the port is closed, so later callers cannot connect or are disconnected
        # before their request is read. No started answer may be truncated, and no request that
        # failed to connect may have been executed.
        executions = self.cluster.executions()
        interrupted = [r for r in results if r["outcome"] not in ("complete", "not-run")
                       and (executions.get(r["execution"])
                            or "IncompleteRead" in str(r["detail"])
                            or r["outcome"] != "broken")]
        self.assertEqual(interrupted, [])
        self.assertNotIn("request_interrupted", victim.log())
        self.check_results([r for r in results if r["outcome"] != "broken"])
        self.cluster.add_entry(victim.name, victim.data_centre)
        self.cluster.wait_ready()
        self.wait_until_serving()

    # Guards against callers whose connections end without an outcome when a drain is cut short.
    def test_second_signal_sends_an_outcome_for_each_request(self):
        victim = self.entry(3)
        engines = [u for u in self.cluster.upstreams.values() if u.service == "asistente"]
        answers = []

        def ask(number):
            with contextlib.suppress(OSError, http.client.HTTPException):
                answers.append(self.ask(victim, "asistente", "quotation", f"cut short {number}"))

        for upstream in engines:
            self.cluster.engine_faults(upstream, stalled=True)
        threads = [threading.Thread(target=ask, args=(number,)) for number in range(8)]
        for thread in threads:
            thread.start()
        wait_until(lambda: self.cluster.dump(victim)["requests"]["inProgress"] == len(threads),
                   "the requests are read")
        victim.signal(signal.SIGTERM)
        wait_until(lambda: "drain_started" in victim.log(), "the drain has begun")
        victim.signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        for upstream in engines:
            self.cluster.engine_faults(upstream, stalled=False)
        self.assertEqual(victim.handle.wait(timeout=WAIT_LIMIT_SECONDS), 0)
        self.cluster.add_entry(victim.name, victim.data_centre)
        self.cluster.wait_ready()
        self.wait_until_serving()
        self.assertEqual(len(answers), len(threads))
        for _, body in answers:
            self.assertIn(json.loads(body)["error"], ["outcome-unknown", "draining"])

    # Guards against a stop that resets connections which are not accepted yet, with the requests that
    # have arrived on them.
    def test_stop_answers_connections_that_are_not_accepted_yet(self):
        self.check_stop_answers_waiting_connections(pause_again=False)

    # The same if the process is paused again, for longer than its stop waits.
    def test_pause_during_a_stop_resets_no_waiting_connection(self):
        self.check_stop_answers_waiting_connections(pause_again=True)

    def check_stop_answers_waiting_connections(self, pause_again):
        victim = self.entry(3)
        # So many that the process gets to its stop before it has accepted them.
        connections = [http.client.HTTPConnection("127.0.0.1", victim.ports["http"],
                                                  timeout=WAIT_LIMIT_SECONDS) for _ in range(256)]
        statuses = collections.Counter()
        victim.signal(signal.SIGSTOP)
        for connection in connections:
            connection.request("POST", "/v1/asistente/quotation",
                               json.dumps({"prompt": "waiting", "maxTokens": TOKENS}),
                               {"Client-Account": "account-0"})
        victim.signal(signal.SIGTERM)
        victim.signal(signal.SIGCONT)
        if pause_again:
            wait_until(lambda: "event=drained" in victim.log(), "the stop has begun")
            victim.signal(signal.SIGSTOP)
            time.sleep(STOP_PAUSE_SECONDS)
            victim.signal(signal.SIGCONT)
        for connection in connections:
            with contextlib.closing(connection):
                try:
                    statuses[connection.getresponse().status] += 1
                except (OSError, http.client.HTTPException) as error:
                    statuses[repr(error)] += 1
        exit_code = victim.handle.wait(timeout=WAIT_LIMIT_SECONDS)
        self.cluster.add_entry(victim.name, victim.data_centre)
        self.cluster.wait_ready()
        self.wait_until_serving()
        self.assertEqual(exit_code, 0)
        # Requests that are read after the signal are refused.
        self.assertEqual(statuses[200] + statuses[503], len(connections), statuses)

    # Guards against a stop that waits for clients which are slow to send, while other connections
    # go on taking requests.
    def test_unfinished_request_does_not_delay_a_stop(self):
        victim = self.entry(3)
        stopped = threading.Event()
        with socket.create_connection(("127.0.0.1", victim.ports["http"])) as unfinished:
            unfinished.sendall(b"POST /v1/asistente/quotation HTTP/1.1\r\nHost")

            def send_slowly():
                with contextlib.suppress(OSError):
                    while not stopped.wait(0.5):
                        unfinished.sendall(b"x")

            sender = threading.Thread(target=send_slowly)
            sender.start()
            victim.signal(signal.SIGTERM)
            wait_until(lambda: "event=drained" in victim.log(), "the process is drained")
            drained_at = time.monotonic()
            exit_code = victim.handle.wait(timeout=WAIT_LIMIT_SECONDS)
            elapsed = time.monotonic() - drained_at
            stopped.set()
            sender.join()
        self.cluster.add_entry(victim.name, victim.data_centre)
        self.cluster.wait_ready()
        self.wait_until_serving()
        self.assertEqual(exit_code, 0)
        # The platform kills the process after its grace time.
        self.assertLess(elapsed, MAX_STOP_SECONDS)

    # Guards against a signal to read settings again that ends a process and interrupts its requests.
    def test_hangup_signal_cuts_nothing(self):
        processes = [self.entry(2), self.cluster.upstreams["asistente-0"].agent]
        load = LoadGenerator(self.cluster, self.roots, [self.entry(2)])
        load.wait_for_more(10)
        for process in processes:
            process.signal(signal.SIGHUP)
        time.sleep(0.2)
        survivors = [process.name for process in processes if process.is_running()]
        if self.entry(2).is_running():
            load.wait_for_more(10)
        results = load.stop()
        self.assertEqual(survivors, [process.name for process in processes])
        self.check_results(results)
        self.assertEqual([r for r in results if r["outcome"] not in ("complete", "not-run")], [])

    # Guards against a request that crashes one upstream after another.
    def test_crashing_request_is_refused_after_two_losses(self):
        victims = [u for u in self.cluster.upstreams.values() if u.service == "asistente"]
        ports = {u.name: u.engine.ports["port"] for u in victims}
        refused = False
        for _ in range(12):
            status, body = self.ask(self.entry(0), "asistente", "quotation", "crash-upstream now")
            if status == 422:
                refused = True
                break
        self.assertTrue(refused, body)
        dead = [u for u in victims if not u.engine.is_running()]
        self.assertLessEqual(len(dead), 2)
        # The other entry instance of the data centre receives the suspect by a message.
        wait_until(lambda: self.cluster.dump(self.entry(1))["requests"]["suspects"] > 0,
                   "the other entry instance knows the suspect")
        status, body = self.ask(self.entry(1), "asistente", "quotation", "crash-upstream now")
        self.assertEqual(status, 422, body)
        self.assertEqual([u for u in victims if not u.engine.is_running()], dead)
        for upstream in dead:
            self.cluster.start_engine(upstream, port=ports[upstream.name])
        self.wait_until_serving()

    # Guards against a process that returns to an older configuration when all entry instances
    # restart while the table answers reads with old rows.
    def test_restart_of_all_entries_keeps_the_change(self):
        self.cluster.faults(tableStaleReads=True)
        put = [target("bodega", "stock-check", answerWithinMs=7000)]
        status, answer = self.cluster.apply(self.entry(0), put, author="ana")
        try:
            self.assertEqual(status, 200, answer)
            for entry in self.cluster.entries.values():
                wait_until(lambda e=entry: call_json(e.ports["http"], "GET", "/operator/targets")
                           [1]["change"] >= answer["change"], f"{entry.name} has the change")
            for entry in list(self.cluster.entries.values()):
                entry.kill()
            restarted = [self.cluster.add_entry(entry.name, entry.data_centre)
                         for entry in list(self.cluster.entries.values())]
            for entry in restarted:
                def change(e=entry):
                    status, targets = call_json(e.ports["http"], "GET", "/operator/targets")
                    return targets["change"] if status == 200 else None
                restored = wait_until(change, f"{entry.name} has a configuration")
                self.assertGreaterEqual(restored, answer["change"])
        finally:
            self.cluster.faults(tableStaleReads=False)
        self.cluster.wait_ready()
        self.wait_until_serving()


class SettingsTest(unittest.TestCase):
    # Guards against a process that starts with invalid or unknown settings.
    def test_bad_settings_start_nothing(self):
        with Cluster() as cluster:
            path = cluster.folder / "bad.json"
            path.write_text('// comment first\n{"role": "king", "extra": 1 /* no */}')
            run = subprocess.run([str(cluster.build / "bin" / "fescuegauged"), "--settings",
                                  str(path)], capture_output=True, timeout=60, check=False)
            self.assertEqual(run.returncode, 2)
            text = run.stderr.decode()
            self.assertIn("role", text)
            self.assertIn("extra", text)

    # Guards against a process that a SIGHUP ends while it reads its settings.
    def test_hangup_signal_during_the_start(self):
        build = Cluster.default_build()
        with tempfile.TemporaryDirectory() as folder:
            settings = pathlib.Path(folder) / "settings.json"
            os.mkfifo(settings)
            process = subprocess.Popen([str(build / "bin" / "fescuegauged"), "--settings",
                                        str(settings)], stderr=subprocess.DEVNULL)
            self.addCleanup(process.kill)
            with open(settings, "w", encoding="utf-8") as file:
                process.send_signal(signal.SIGHUP)
                file.write("not JSON")
            # The exit code for invalid settings.
            self.assertEqual(process.wait(WAIT_LIMIT_SECONDS), 2)


@unittest.skipUnless(os.environ.get("FESCUEGAUGE_KNOWN_RED"), "listed in KNOWN-RED.txt")
class KnownRedTest(unittest.TestCase):
    # Guards against one unanswered query of an engine's status that ends all its attempts, although
    # the engine goes on.
    def test_one_failed_status_query_ends_no_attempt(self):
        with Cluster() as cluster:
            cluster.start_services()
            engines = [u for u in cluster.upstreams.values() if u.service == "pedidos"]
            entry = list(cluster.entries.values())[0]
            statuses = []

            def ask(number):
                with contextlib.suppress(OSError, http.client.HTTPException):
                    statuses.append(cluster.ask(entry, "pedidos", "confirmation", f"p{number}",
                                                key=f"20426-{number}")[0])

            for upstream in engines:
                cluster.engine_faults(upstream, stalled=True)
            threads = [threading.Thread(target=ask, args=(number,)) for number in range(12)]
            for thread in threads:
                thread.start()
            time.sleep(1.9)
            for upstream in engines:
                cluster.engine_faults(upstream, stalled=False)
            for thread in threads:
                thread.join()
            self.assertEqual(statuses, [200] * len(threads))


if __name__ == "__main__":
    unittest.main(verbosity=2)
