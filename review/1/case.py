import pathlib
import signal
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Deployment, call

HOST = "hulo84.example"
CHANNELS = 24
WORK_MS = 100
LENGTH_S = 8
FAULT_AT_S = 3

d = Deployment(pathlib.Path(__file__).parent)
d.write_config(
    routes=[{"name": "check", "host": HOST, "prefix": "/boye614/", "service": "pedidos", "routeKind": "idempotent",
             "timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 2, "priority": 1, "public": True}],
    services=[{"name": "pedidos", "connectionLimit": 110, "healthPath": "/health"}])
for i in range(1, 8):
    d.start_runner(f"r{i}", "pedidos", 30 + i, identity=f"i-{i}", slots=6, work_ms=WORK_MS)
FAULTY = "r1"
entries = {name: d.start_entry(name, host) for name, host in (("frontend-1", 41), ("frontend-2", 42))}
d.wait_ready([41, 42])
time.sleep(1)

ends = []
stop = threading.Event()


def platform():
    """Starts a process that ended again after a short delay."""
    while not stop.is_set():
        for name, process in list(entries.items()):
            if process.poll() is not None and not stop.is_set():
                d.note(f"{name} ended by itself with code {process.returncode}")
                ends.append(name)
                time.sleep(0.5)
                entries[name] = d.start_entry(name, {"frontend-1": 41, "frontend-2": 42}[name])
        time.sleep(0.02)


threading.Thread(target=platform, daemon=True).start()
end = time.monotonic() + LENGTH_S
unanswered = []
served = [0]
lock = threading.Lock()


def client(number):
    """Keeps one channel; sends the next request when the answer is there."""
    address = (f"{d.net}.{41 + number % 2}", 8005)
    sock = None
    count = 0
    while time.monotonic() < end:
        try:
            if sock is None:
                sock, count = socket.create_connection(address, 1), 0
        except OSError:
            time.sleep(0.2)
            continue
        count += 1
        attempt = f"{number:04x}{time.monotonic_ns() & 0xffffffffffff:012x}"
        a = call(None, "GET", "/boye614/bo77/2f", HOST, {"Attempt-Id": attempt, "Deadline-Ms": "1500"}, b"", 3, sock,
                 keep=True)
        if a.complete:
            with lock:
                served[0] += a.status == 200
            if a.status != 200:
                time.sleep(0.1)
            if a.headers.get("connection") == "close":
                sock.close()
                sock = None
            continue
        d.note(f"channel {number} ends without an answer to {attempt}, its request {count}: {a.error}")
        if count > 1:
            with lock:
                unanswered.append(attempt)
        sock = None


threads = [threading.Thread(target=client, args=(n,)) for n in range(CHANNELS)]
for thread in threads:
    thread.start()
time.sleep(FAULT_AT_S)
if d.trouble:
    d.runners[FAULTY]["process"].send_signal(signal.SIGUSR2)
    d.note(f"runner {FAULTY} ends its next answer with a trailer of 70,000 bytes")
for thread in threads:
    thread.join()
stop.set()
ran = {fields["attempt"]: fields["runner"] for fields in d.runs() if fields["what"] == "runs"}
sound = [each for each in unanswered if ran.get(each, "i-1") != "i-1"]
d.note(f"{served[0]} served; processes ended {len(ends)} times; {len(sound)} requests of kept channels were passed on to "
       f"sound runners and got no answer: {sound}")
if served[0] < 200:
    d.finish(2, f"too few requests were served: {served[0]}")
d.finish(1 if len(sound) > 3 else 0,
         f"{len(ends)} ends of entry instances; {len(sound)} requests of kept channels were passed on to sound runners "
         "and got no answer")
