"""A small deployment on loopback addresses: the platform's store, runners, clients and the programs.

The store and the clients run in this process, each runner and each program of the project in a
process of its own. Everything that is sent, answered and run goes to record.txt of the case.
"""
import base64
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE = "target/platform/fescuegauge-node"
LIMIT_S = 110


class Store:
    """The platform's store: rows in tables, with a change feed. Linearizable; loses nothing."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.revision = 1
        self.rows = {}
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def reply(self, status, body):
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                if url.path == "/v1/rows-get":
                    self.reply(200, store.read(query["table"], query.get("from", "")))
                elif url.path == "/v1/rows-feed":
                    self.reply(200, store.feed(query["table"], int(query["afterRevision"]), int(query["waitMs"])))
                else:
                    self.reply(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
                self.reply(*store.transact(body))

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def _answer(self, rows):
        return {"rows": rows, "hasMore": False, "recordVersion": self.revision,
                "currentTimeMs": int(time.monotonic() * 1000)}

    @staticmethod
    def _row(table, key, value, version):
        if value is None:
            return {"table": table, "part": "", "key": key, "recordVersion": version, "deleted": True}
        return {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode(),
                "recordVersion": version}

    def read(self, table, first):
        with self.changed:
            return self._answer([self._row(table, key, value, version)
                                 for (t, key), (value, version) in sorted(self.rows.items())
                                 if t == table and value is not None and key >= first])

    def feed(self, table, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                found = sorted((version, key, value) for (t, key), (value, version) in self.rows.items()
                               if t == table and version > after)
                left = end - time.monotonic()
                if found or left <= 0:
                    return self._answer([self._row(table, key, value, version) for version, key, value in found])
                self.changed.wait(left)

    def transact(self, body):
        with self.changed:
            for each in body.get("precondition", []):
                known = self.rows.get((each["table"], each["key"]), (None, 0))
                if (known[1] if known[0] is not None else 0) != each["recordVersion"]:
                    return 412, self._answer([])
            self.revision += 1
            for each in body.get("write", []):
                self.rows[(each["table"], each["key"])] = (base64.b64decode(each["value"]), self.revision)
            for each in body.get("remove", []):
                self.rows[(each["table"], each["key"])] = (None, self.revision)
            self.changed.notify_all()
            return 200, self._answer([])

    def put(self, table, key, fields):
        with self.changed:
            self.revision += 1
            self.rows[(table, key)] = (None if fields is None else json.dumps(fields).encode(), self.revision)
            self.changed.notify_all()


class Deployment:
    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(self.case / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(64, 127)}.{random.randrange(256)}"
        self.processes = []
        self.runners = {}
        self.store = Store((f"{self.net}.7", 8007))
        self.version = 0
        # Whatever happens, the processes end, after LIMIT_S at the latest.
        sys.excepthook = lambda kind, error, _: self.finish(2, f"the case could not run: {kind.__name__} {error}")
        signal.signal(signal.SIGTERM, lambda *_: self.finish(2, "the case was ended"))
        watchdog = threading.Timer(LIMIT_S, self.finish, (2, f"the case took longer than {LIMIT_S} s"))
        watchdog.daemon = True
        watchdog.start()

    def note(self, text):
        with self.lock:
            self.record.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.record.flush()

    # The operator.

    def write_config(self, routes, services, tenants=None, limits=None):
        self.version += 3
        self.store.put("op", "config", {
            "version": self.version, "routes": routes, "services": services, "tenants": tenants or [],
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                 "idleTimeoutMs": 15000}})
        self.note(f"operator writes manifest {self.version}")

    # Processes.

    def _spawn(self, command, output, env=None):
        process = subprocess.Popen(command, cwd=ROOT, stdout=open(output, "ab"), stderr=subprocess.STDOUT,
                                   env=env, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def start_runner(self, name, service, host, zone="cartago-a", identity=None, **flags):
        """Starts a runner and lists it. Returns its process."""
        address = f"{self.net}.{host}:8740"
        identity = identity or name
        command = [sys.executable, str(ROOT / "review/standins/runner.py"), "--address", address, "--id", identity]
        for key, value in flags.items():
            command += ["--" + key.replace("_", "-"), str(value)]
        output = self.folder / f"{name}.log"
        before = output.read_text().count('"started"') if output.exists() else 0
        process = self._spawn(command, output)
        while output.read_text().count('"started"') == before:
            if process.poll() is not None:
                raise RuntimeError("a runner did not start")
            time.sleep(0.01)
        born = [json.loads(line)["born"] for line in output.read_text().splitlines() if '"started"' in line][-1]
        entry = {"service": service, "address": address, "zone": zone, "version": 1, "slots": flags.get("slots", 16),
                 "state": "ready", "coldRemainingMs": 0, "sequence": 0, "born": born, "phase": "combined",
                 "models": []}
        if flags.get("model"):
            entry["models"] = [{"name": flags["model"], "version": 1, "adapters": [],
                                "layers": {"from": 0, "target": 16, "version": 1}}]
        self.runners[name] = {"process": process, "entry": entry, "id": identity, "log": output}
        self.store.put("servers", identity, entry)
        self.note(f"runner {name} ({identity}) runs at {address}, born {born}")
        return process

    def set_state(self, name, state):
        runner = self.runners[name]
        runner["entry"]["state"] = state
        self.store.put("servers", runner["id"], runner["entry"])
        if state == "draining":
            runner["process"].send_signal(signal.SIGUSR1)
        self.note(f"runner {name} reports {state}")

    def unlist(self, name):
        self.store.put("servers", self.runners[name]["id"], None)
        self.note(f"the entry of runner {name} is removed")

    def kill_runner(self, name):
        self.runners[name]["process"].kill()
        self.runners[name]["process"].wait()
        self.note(f"runner {name} is killed")

    def _settings(self, name, machine, host, zone, extra):
        lines = {
            "nodeName": name, "machineClass": machine, "ip": f"{self.net}.{host}", "zone": zone,
            "region": "central-valley", "zones.cartago-a": "central-valley", "zones.liberia-a": "guanacaste",
            "internalPortRange": "7700,7715", "bootstrap": "true", "heartbeatMs": "1200",
            "limits.memoryMb": "260" if machine == "frontend" else "128",
            "limits.linkMbps": "1000.0" if machine == "frontend" else "7.3",
            "bounds.stableWindowMs": "3000", "bounds.drainMs": "2000", "bounds.graceS": "8",
            "bounds.lossSlackMs": "200", "bounds.configApplyMs": "2000", "bounds.version_ms": "8000",
            "platform.address": f"{self.net}.7:8007", **extra}
        path = self.folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["FESCUEGAUGE_SETTINGS"] = str(path)
        return env

    def start_entry(self, name, host, zone="cartago-a"):
        """Starts an entry instance. Returns its process."""
        ip = f"{self.net}.{host}"
        env = self._settings(name, "frontend", host, zone, {
            "role": "entry", "serves": "frontend", "listenAddresses.frontend": f"{ip}:8005",
            "listenAddresses.ready": f"{ip}:8002"})
        process = self._spawn([NODE], self.folder / f"{name}.log", env)
        self.note(f"entry {name} starts at {ip}")
        return process

    def start_agent(self, name, host, service, zone="cartago-a"):
        """Starts the agent beside the runner on the same address."""
        env = self._settings(name, "side", host, zone, {
            "role": "agent", "serves": "side", "app": f"{self.net}.{host}:8740", "service": service})
        return self._spawn([NODE], self.folder / f"{name}.log", env)

    def wait_ready(self, hosts, timeout=15):
        """Waits until the entries on these hosts report that they are ready."""
        end = time.monotonic() + timeout
        for host in hosts:
            while True:
                try:
                    with socket.create_connection((f"{self.net}.{host}", 8002), 1) as sock:
                        sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                        if sock.recv(64).startswith(b"HTTP/1.1 200"):
                            break
                except OSError:
                    pass
                if time.monotonic() > end:
                    self.finish(2, f"entry at host {host} did not become ready")
                time.sleep(0.1)

    # The end.

    def runs(self):
        """All events that the runners logged."""
        result = []
        for path in self.folder.glob("*.log"):
            for line in path.read_text(errors="replace").splitlines():
                if line.startswith("{") and '"runner"' in line:
                    try:
                        fields = json.loads(line)
                    except ValueError:
                        continue
                    if "what" in fields:
                        result.append(fields)
        return sorted(result, key=lambda fields: fields["t"])

    def finish(self, code, verdict):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for fields in self.runs():
            at = fields.pop("t") - self.start
            self.record.write(f"{at:8.3f} {json.dumps(fields)}\n")
        self.note(f"exit {code}: {verdict}")
        print(verdict)
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()
        sys.stdout.flush()
        os._exit(code)


class Answer:
    """What a client saw of one answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def event_ids(self):
        events = self.body.split(b"\n\n")[:-1]
        return [int(line[3:]) for each in events for line in each.split(b"\n") if line.startswith(b"id:")]


def call(address, method, target, host, headers, body=b"", patience=8.0, sock=None, keep=False):
    """Sends one request on a new channel, or on `sock`, and reads its answer to the end."""
    answer = Answer()
    try:
        if sock is None:
            sock = socket.create_connection(address, 1)
        sock.settimeout(patience)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"] + [f"{k}: {v}" for k, v in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        data = b""

        def more():
            nonlocal data
            part = sock.recv(65536)
            if not part:
                raise ConnectionError("closed")
            data += part

        while b"\r\n\r\n" not in data:
            more()
        raw, data = data.split(b"\r\n\r\n", 1)
        head = raw.decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        answer.headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:])}
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                while b"\r\n" not in data:
                    more()
                size_text, data = data.split(b"\r\n", 1)
                size = int(size_text, 16)
                while len(data) < size + 2:
                    more()
                answer.body += data[:size]
                data = data[size + 2:]
                if size == 0:
                    break
        else:
            length = int(answer.headers.get("content-length", 0))
            while len(data) < length:
                more()
            answer.body = data[:length]
        answer.complete = True
    except (OSError, ValueError) as error:
        answer.error = type(error).__name__ + " " + str(error)
    finally:
        if sock is not None and not (keep and answer.complete):
            sock.close()
    return answer
