import hashlib
import http.server
import json
import pathlib
import sys
import threading
import time
import urllib.parse

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Deployment, call

HOST = "jepu9.example"
MODEL = "daka510000"
PIECES = 96
PIECE_BYTES = 24576
RUNNERS = 6
LENGTH_S = 14

d = Deployment(pathlib.Path(__file__).parent)


def piece(version, number):
    """The same bytes as in runner.py."""
    seed = hashlib.sha256(f"{MODEL}/{version}/{number}".encode()).digest()
    return seed * (PIECE_BYTES // len(seed))


class Origin(http.server.BaseHTTPRequestHandler):
    """The origin of weights. Sound, but for one answer."""
    protocol_version = "HTTP/1.1"
    spoil = d.trouble
    lock = threading.Lock()

    def log_message(self, *_):
        pass

    def reply(self, status, body, kind):
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        version = int(query.get("version", 2))
        if url.path == f"/v1/manifest/{MODEL}":
            digests = [hashlib.sha256(piece(version, number)).hexdigest() for number in range(PIECES)]
            with Origin.lock:
                spoil, Origin.spoil = Origin.spoil, False
            if spoil:
                digests = digests[:PIECES // 2]
            d.note(f"origin answers the digests of version {version}: {len(digests)} of {PIECES}")
            self.reply(200, json.dumps({"model": MODEL, "version": version, "chunkBytes": PIECE_BYTES, "layers": 16,
                                        "digests": digests}).encode(), "application/json")
        elif url.path == f"/v1/piece/{MODEL}":
            self.reply(200, piece(version, int(query["number"])), "application/octet-stream")
        else:
            self.reply(404, b"", "text/plain")


class OriginServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, *_):
        pass


threading.Thread(target=OriginServer((f"{d.net}.9", 8006), Origin).serve_forever, daemon=True).start()
d.write_config(
    routes=[{"name": "letters", "host": HOST, "prefix": "/lepu270/", "service": "asistente",
             "routeKind": "streaming", "streamResumption": True, "timeoutMs": 6000, "targetLatencyMs": 500,
             "targetGapMs": 400, "maxAttempts": 2, "priority": 1, "public": True}],
    services=[{"name": "asistente", "connectionLimit": 364, "healthPath": "/health",
               "inferenceEngine": {"slots": 16, "layers": 16, "chunks": PIECES, "chunkBytes": PIECE_BYTES,
                                   "step_ms": 8.87, "per_seq_ms": 0.0388, "read_per_s": 19100, "stride": 5,
                                   "models": [{"name": MODEL, "warmUpS": 0.3}],
                                   "usual": {"prompt": 977, "answer": 94}}},
              {"name": "bodega", "origin": f"{d.net}.9:8006", "zone": "cartago-a", "linkMbps": 7.3,
               "connectionLimit": 48}])
for i in range(1, RUNNERS + 1):
    d.start_runner(f"r{i}", "asistente", 30 + i, identity=f"i-{i}", model=MODEL, event_ms=50, engine=1, pieces=PIECES)
    d.start_agent(f"side-{i}", 30 + i, "asistente")
for i in (1, 2):
    d.start_entry(f"frontend-{i}", 40 + i)
d.wait_ready([41, 42])
time.sleep(2)


def heartbeats():
    """Each runner writes to the store which weights it holds."""
    known = {}
    while True:
        for fields in d.runs():
            if fields["what"] == "loaded" and known.get(fields["runner"]) != fields["version"]:
                known[fields["runner"]] = fields["version"]
                for runner in d.runners.values():
                    if runner["id"] == fields["runner"]:
                        runner["entry"]["models"] = [{"name": MODEL, "version": fields["version"], "adapters": [],
                                                      "layers": {"from": 0, "target": 16,
                                                                 "version": fields["version"]}}]
                        d.store.put("servers", runner["id"], runner["entry"])
        time.sleep(0.3)


threading.Thread(target=heartbeats, daemon=True).start()
d.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
d.note("operator names version 2")
served = [0]


def client(number):
    a = call((f"{d.net}.{41 + number % 2}", 8005), "POST", "/lepu270/stream-20", HOST,
             {"Attempt-Id": f"{number:016x}", "Model": MODEL, "Token-Usage": "600,100",
              "Prompt-Prefix": f"5c1e07a2:40,{number:08x}:560", "Deadline-Ms": "6000"}, b"x" * 500)
    d.note(f"client gets {number:016x}: status {a.status}, complete {a.complete}, "
           f"version {a.headers.get('weight-versions')}")
    served[0] += a.status == 200 and a.complete


threads = []
for number in range(1, LENGTH_S * 10 + 1):
    threads.append(threading.Thread(target=client, args=(number,)))
    threads[-1].start()
    time.sleep(0.1)
for thread in threads:
    thread.join()
events = d.runs()
loads = [fields for fields in events if fields["what"] == "loaded"]
mixed = [fields for fields in loads if fields["wrong"]]
runs = [fields["attempt"] for fields in events if fields["what"] == "runs" and fields["wrong"]]
d.note(f"{served[0]} served; {len(loads)} loads, {len(mixed)} of incomplete weights; {len(runs)} requests ran on those")
if served[0] < 50 or not loads:
    d.finish(2, f"too little was served or loaded: {served[0]}, {len(loads)} loads")
d.finish(1 if runs else 0, f"{len(mixed)} of {len(loads)} loads mixed two versions; {len(runs)} requests ran on such weights")
