"""Starts the programs of a small deployment on 127.0.0.1, for the main job, measurements and
process tests.

The kernel assigns the ports, which are read from the standard output of each program. All waits are
on conditions; their timeouts only end a failed run.
"""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Timeout of every wait. It only ends a failed run: no check passes because time has elapsed.
WAIT_LIMIT_SECONDS = 60
# Tokens of the requests that tests send.
TOKENS = 20
ANSWER_WITHIN_MS = 20000


def wait_until(condition, what, limit=WAIT_LIMIT_SECONDS):
    """Returns the first true value of condition(); raises AssertionError after `limit` seconds."""
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"not reached within {limit} s: {what}")


def call(port, method, path, body=None, headers=None, timeout=60):
    """Sends an HTTP request and returns (status, headers, body bytes). Raises if the response is
    malformed or truncated."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body).encode() if body is not None else None
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def call_json(port, method, path, body=None, headers=None, timeout=60):
    status, _, content = call(port, method, path, body, headers, timeout)
    return status, json.loads(content) if content else None


class Process:
    """A running program of the deployment."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        self._log = open(log_path, "wb")
        self.handle = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self._log)
        self.ports = {}
        while True:
            line = self.handle.stdout.readline().decode()
            if not line:
                raise AssertionError(f"{name} did not start; see {log_path}:\n{self.log()}")
            if line.startswith("listening "):
                for part in line.split()[1:]:
                    key, value = part.split("=")
                    self.ports[key] = int(value)
                return

    def signal(self, number):
        self.handle.send_signal(number)

    def kill(self):
        self.handle.send_signal(signal.SIGKILL)
        self.handle.wait()

    def stop(self):
        """Sends SIGTERM, waits for the process to end and returns its exit code."""
        if self.handle.poll() is None:
            self.handle.send_signal(signal.SIGTERM)
        return self.handle.wait(timeout=WAIT_LIMIT_SECONDS)

    def is_running(self):
        return self.handle.poll() is None

    def log(self):
        return pathlib.Path(self.log_path).read_text(errors="replace")


class Upstream:
    """An engine or plain service with its agent."""

    def __init__(self, name, data_centre, service, kind, generation):
        self.name = name
        self.data_centre = data_centre
        self.service = service
        self.kind = kind
        self.generation = generation
        self.engine = None
        self.agent = None


class Cluster:
    """A deployment on loopback: platform stand-in, upstreams with agents, entry instances."""

    def __init__(self, build=None, origin_rate=100e6, list_lag_ms=200):
        self.build = build or self.default_build()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescuegauge-"))
        self.processes = []
        self.upstreams = {}
        self.entries = {}
        self.platform = self._start(
            "platform",
            ["fescuegauge-standin-platform", "--origin-bytes-per-second", str(origin_rate),
             "--list-lag-ms", str(list_lag_ms)])

    @staticmethod
    def default_build():
        return pathlib.Path(os.environ.get("FESCUEGAUGE_BUILD", ROOT / "build"))

    def __enter__(self):
        return self

    def __exit__(self, kind, _error, _trace):
        for process in reversed(self.processes):
            if process.is_running():
                process.signal(signal.SIGCONT)
                process.handle.kill()
                process.handle.wait()
        if kind:
            print(f"logs are in {self.folder}")

    @property
    def platform_port(self):
        return self.platform.ports["port"]

    def _start(self, name, command):
        program = str(self.build / "bin" / command[0])
        # A restarted process has a log of its own.
        earlier = sum(1 for process in self.processes if process.name == name)
        suffix = f".{earlier + 1}" if earlier else ""
        process = Process(name, [program] + command[1:], self.folder / f"{name}{suffix}.log")
        self.processes.append(process)
        return process

    def _settings(self, name, role, data_centre, extra=None):
        platform = f"127.0.0.1:{self.platform_port}"
        settings = {
            "role": role, "id": name, "region": f"region-{data_centre}",
            "dataCentre": data_centre, "deployment": "loopback",
            "logLevel": os.environ.get("FESCUEGAUGE_LOG_LEVEL", "info"),
            "listen": {"http": "127.0.0.1:0", "rpc": "127.0.0.1:0"},
            "platform": {"table": platform, "objects": platform, "origin": platform,
                         "instanceList": platform},
            "links": {"regionBytesPerSecond": 50000000},
        }
        for key, value in (extra or {}).items():
            settings.setdefault(key, {}).update(value)
        path = self.folder / f"{name}.json"
        path.write_text("// Written by the loopback cluster.\n" + json.dumps(settings, indent=2))
        return str(path)

    def _register(self, name, role, data_centre, port, state="live", **attributes):
        call_json(self.platform_port, "POST", "/instances",
                  {"id": name, "role": role, "dataCentre": data_centre,
                   "region": f"region-{data_centre}", "host": "127.0.0.1", "port": port,
                   "state": state, **attributes})

    def add_upstream(self, name, data_centre, service, kind="engine", generation="old",
                     engine_options=(), extra=None):
        upstream = Upstream(name, data_centre, service, kind, generation)
        self.upstreams[name] = upstream
        self.start_engine(upstream, engine_options)
        self.start_agent(upstream, extra)
        return upstream

    def start_engine(self, upstream, options=(), port=0):
        command = ["fescuegauge-standin-engine", "--port", str(port)] + list(options)
        if upstream.kind == "plain":
            command.append("--plain")
        upstream.engine = self._start(f"{upstream.name}-engine", command)

    def start_agent(self, upstream, extra=None):
        agent = {"engine": f"127.0.0.1:{upstream.engine.ports['port']}",
                 "service": upstream.service, "generation": upstream.generation,
                 "kind": upstream.kind, "capacity": 16, "stagingLimitBytes": 512 << 20}
        settings = self._settings(upstream.name, "agent", upstream.data_centre,
                                  {"agent": agent, **(extra or {})})
        upstream.agent = self._start(upstream.name, ["fescuegauged", "--settings", settings])
        self._register(upstream.name, "agent", upstream.data_centre, upstream.agent.ports["rpc"],
                       service=upstream.service, generation=upstream.generation)

    def add_entry(self, name, data_centre, extra=None):
        settings = self._settings(name, "entry", data_centre, extra)
        entry = self._start(name, ["fescuegauged", "--settings", settings])
        entry.data_centre = data_centre
        self.entries[name] = entry
        self._register(name, "entry", data_centre, entry.ports["rpc"])
        return entry

    def start_services(self):
        """Starts two services with models, a plain one and four entry instances in two data
        centres, and puts targets and the first versions in force."""
        for index, data_centre in enumerate(["dc-1", "dc-2", "dc-1", "dc-2"]):
            self.add_upstream(f"asistente-{index}", data_centre, "asistente")
        for index, data_centre in enumerate(["dc-1", "dc-2"]):
            self.add_upstream(f"pedidos-{index}", data_centre, "pedidos")
            self.add_entry(f"entry-{index}-a", data_centre)
            self.add_entry(f"entry-{index}-b", data_centre)
        self.add_upstream("bodega-0", "dc-1", "bodega", kind="plain")
        self.wait_ready()
        self.wait_membership()
        self.create_model("asistente", "v1", 4 << 20, 21)
        self.create_model("pedidos", "v1", 2 << 20, 22)
        status, answer = self.apply(list(self.entries.values())[0], [
            target("asistente", "quotation", answerWithinMs=ANSWER_WITHIN_MS),
            target("pedidos", "confirmation", answerWithinMs=ANSWER_WITHIN_MS, nonIdempotent=True,
                   neverLost=True),
            target("bodega", "stock-check", answerWithinMs=10000),
            rollout("asistente", "v1"), rollout("pedidos", "v1")])
        assert status == 200, answer
        self.wait_until_serving()

    def wait_until_serving(self):
        """Waits until every upstream is routable and every entry instance answers each class."""
        for upstream in self.upstreams.values():
            wait_until(lambda u=upstream: call(u.agent.ports["http"], "GET", "/readyz")[0] == 200,
                       f"{upstream.name} is ready")
        for entry in self.entries.values():
            for service, work_class in (("asistente", "quotation"), ("bodega", "stock-check")):
                wait_until(lambda e=entry, s=service, w=work_class:
                           self.ask(e, s, w, "warm-up")[0] == 200,
                           f"{entry.name} answers {work_class}")

    def ask(self, entry, service, work_class, prompt, key=None, account="account-0",
            tokens=TOKENS):
        """Sends a request and returns (status, body bytes)."""
        headers = {"Client-Account": account}
        if key:
            headers["Idempotency-Key"] = key
        status, _, body = call(entry.ports["http"], "POST", f"/v1/{service}/{work_class}",
                               {"prompt": prompt, "maxTokens": tokens}, headers)
        return status, body

    def faults(self, **changes):
        call_json(self.platform_port, "POST", "/faults", changes)

    def engine_faults(self, upstream, **changes):
        call_json(upstream.engine.ports["port"], "POST", "/faults", changes)

    def wait_ready(self, entries=None):
        for entry in entries or self.entries.values():
            wait_until(lambda: call(entry.ports["http"], "GET", "/readyz")[0] == 200,
                       f"{entry.name} is ready")

    def wait_membership(self):
        """Waits until every process has discovered every other one."""
        others = len(self.upstreams) + len(self.entries) - 1
        processes = [upstream.agent for upstream in self.upstreams.values()]
        for process in processes + list(self.entries.values()):
            wait_until(lambda: len(self.dump(process)["membership"]["members"]) >= others,
                       f"{process.name} has discovered all others")

    def create_model(self, service, version, size, seed, chunk_bytes=1 << 20):
        status, manifest = call_json(
            self.platform_port, "POST", "/origin/models",
            {"service": service, "version": version, "bytes": size, "seed": seed,
             "chunkBytes": chunk_bytes}, timeout=WAIT_LIMIT_SECONDS)
        assert status == 200, manifest
        return manifest

    def apply(self, entry, puts, author="demo", change_id=None, base=None):
        body = {"changeId": change_id or os.urandom(8).hex(), "author": author, "puts": puts,
                "deletes": []}
        if base is not None:
            body["base"] = base
        return call_json(entry.ports["http"], "POST", "/operator/targets", body)

    def served(self, upstream):
        """Returns the root digest of the version that the engine serves, computed by the engine."""
        return call_json(upstream.engine.ports["port"], "GET", "/status")[1]["rootDigest"]

    def origin_bytes(self):
        return call_json(self.platform_port, "GET", "/origin/stats")[1]["bytesServed"]

    def executions(self):
        """Returns the number of started executions by name, over all running engines."""
        total = {}
        for upstream in self.upstreams.values():
            if not upstream.engine.is_running():
                continue
            for name, count in call_json(upstream.engine.ports["port"], "GET",
                                         "/executions")[1].items():
                total[name] = total.get(name, 0) + count
        return total

    def dump(self, process):
        return call_json(process.ports["http"], "GET", "/dump")[1]


def outcome_of(status, body, expected):
    """Returns the outcome of a request and its detail: the error kind, or an answer's first bytes."""
    if status == 200:
        return "complete" if body == expected else "wrong", body[:200]
    answer = json.loads(body)
    outcomes = {"no": "not-run", "yes": "refused", "unknown": "unknown"}
    return outcomes[answer["run"]], answer["error"]


def target(service, work_class, **spec):
    return {"kind": "target", "spec": {"service": service, "class": work_class, **spec}}


def rollout(service, version, prefer="origin-bytes", **spec):
    return {"kind": "rollout",
            "spec": {"service": service, "version": version, "prefer": prefer, **spec}}


def expected_answer(root, prompt, tokens):
    """Returns what an engine that serves root digest `root` streams for a prompt."""
    parts = [hashlib.sha256(f"{root}:{prompt}:{i}".encode()).hexdigest()[:7] + " "
             for i in range(tokens)]
    return "".join(parts).encode()


def expected_plain_answer(prompt):
    return json.dumps({"result": hashlib.sha256(f"plain:{prompt}".encode()).hexdigest()},
                      separators=(",", ":")).encode()
