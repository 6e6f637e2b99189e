"""Stand-in for a model runner or a plain service runner: one process, one address.

Answers requests, liveness checks and reports. Each answer is derived from the id of the request, so
that a client can tell whether it is whole. Events are written to standard output as JSON lines.
"""
import argparse
import hashlib
import json
import os
import signal
import socket
import sys
import threading
import time

parser = argparse.ArgumentParser()
parser.add_argument("--address", required=True)
parser.add_argument("--id", required=True)
parser.add_argument("--model", default="")
parser.add_argument("--engine", type=int, default=0, help="1: needs a model to run requests")
parser.add_argument("--slots", type=int, default=16)
parser.add_argument("--unframed-every", type=int, default=0, help="each n-th answer has no length")
parser.add_argument("--pieces", type=int, default=0, help="number of pieces of the model's weights; 0: not staged")
parser.add_argument("--load-ms", type=int, default=300)
parser.add_argument("--spoil-bytes", type=int, default=70000)
parser.add_argument("--event-ms", type=int, default=100)
parser.add_argument("--work-ms", type=int, default=15)
options = parser.parse_args()

BORN = int(time.time() * 1000)
lock = threading.Lock()
answers = 0
active = 0
leaving = False


# Weights: the staged pieces by number, and what was staged when the last order was accepted.
sequence = 0
busy = False
version = 1


def piece(of_version, number):
    """The bytes of one piece of a version."""
    seed = hashlib.sha256(f"{options.model}/{of_version}/{number}".encode()).digest()
    return seed * (24576 // len(seed))


staged = {}
loaded = {}


def bad_pieces():
    """The pieces of the loaded weights that are missing or not those of the loaded version."""
    return [number for number in range(options.pieces) if loaded.get(number) != piece(version, number)]


def log(**fields):
    with lock:
        sys.stdout.write(json.dumps({"t": round(time.monotonic(), 4), "runner": options.id, **fields}) + "\n")
        sys.stdout.flush()


def on_leaving(*_):
    global leaving
    leaving = True


spoil_next = False


def on_spoil(*_):
    global spoil_next
    spoil_next = True


signal.signal(signal.SIGUSR1, on_leaving)
signal.signal(signal.SIGUSR2, on_spoil)


class Reader:
    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def more(self):
        part = self.sock.recv(65536)
        if not part:
            raise ConnectionError("closed")
        self.data += part

    def head(self):
        while b"\r\n\r\n" not in self.data:
            self.more()
        raw, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def body(self, length):
        while len(self.data) < length:
            self.more()
        taken, self.data = self.data[:length], self.data[length:]
        return taken


def event(number, attempt):
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


def plain_body(attempt, size):
    return (attempt * (size // len(attempt) + 1))[:size].encode()


def http_answer(status, body=b"", kind="application/octet-stream"):
    return f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def finish_load(snapshot, of_version):
    """Puts the weights in use that were staged when the order was accepted."""
    global busy, version, loaded
    time.sleep(options.load_ms / 1000)
    loaded, version, busy = snapshot, of_version, False
    wrong = bad_pieces()
    log(what="loaded", version=version, pieces=options.pieces, wrong=len(wrong), first_wrong=wrong[:1])


def weights_call(method, target, body):
    global sequence, busy
    path, _, query = target.partition("?")
    number = int(query.partition("number=")[2] or -1)
    if path.startswith("/v1/stage-put/") and method == "PUT":
        staged[number] = body
        return http_answer(200)
    if path.startswith("/v1/stage-get/"):
        return http_answer(200, staged[number]) if number in staged else http_answer(404)
    if path == "/v1/order":
        order = json.loads(body)
        with lock:
            if busy or order.get("precondition", sequence) != sequence:
                return http_answer(409)
            if order["version"] == version:
                return http_answer(200)
            sequence += 1
            busy = True
            snapshot = dict(staged)
        log(what="order", version=order["version"])
        threading.Thread(target=finish_load, args=(snapshot, order["version"]), daemon=True).start()
        return http_answer(202)
    return http_answer(404)


def serve(sock):
    global answers, active, spoil_next
    reader = Reader(sock)
    try:
        while True:
            line, headers = reader.head()
            method, target, _ = line.split(" ", 2)
            body = reader.body(int(headers.get("content-length", 0)))
            if target == "/health":
                status = "503 Service Unavailable" if leaving else "200 OK"
                sock.sendall(f"HTTP/1.1 {status}\r\nInstance-Id: {options.id}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            if target.startswith(("/v1/stage-", "/v1/order")):
                sock.sendall(weights_call(method, target, body))
                continue
            if target.startswith("/v1/report"):
                models = []
                if options.model:
                    models = [{"name": options.model, "version": version, "adapters": [],
                               "layers": {"from": 0, "target": 16, "version": version}}]
                text = json.dumps({"born": BORN, "phase": "combined", "models": models, "busy": busy,
                                   "sequence": sequence, "queued": 0, "active": active, "kvCacheUsed": 0,
                                   "kvCacheTotal": 1180000, "handlers": 0}).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(text) + text)
                continue
            attempt = headers.get("attempt-id", "")
            if headers.get("expected-instance", options.id) != options.id or options.engine and not options.model:
                sock.sendall(f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\n"
                             f"Instance-Id: {options.id}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            with lock:
                full = active >= options.slots
                if not full:
                    active += 1
                    answers += 1
                    number = answers
            if full:
                sock.sendall(f"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\n"
                             "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            unframed = options.unframed_every and number % options.unframed_every == 0
            log(what="runs", attempt=attempt, target=target, unframed=bool(unframed),
                after=headers.get("last-event-id", ""), version=version, wrong=len(bad_pieces()))
            common = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {options.id}.{attempt}\r\n"
            if options.model:
                common += f"Weight-Versions: {version}\r\n"
            if leaving:
                common += "Server-Leaving: 1\r\n"
            try:
                if target.rstrip("/").split("/")[-1].startswith("stream"):
                    total = int(target.rstrip("/").split("-")[-1])
                    first = int(headers.get("last-event-id") or 0) + 1
                    frame = "Connection: close\r\n" if unframed else "Transfer-Encoding: chunked\r\n"
                    sock.sendall((common + "Content-Type: text/event-stream\r\n" + frame + "\r\n").encode())
                    for each in range(first, total + 1):
                        time.sleep(options.event_ms / 1000)
                        piece = event(each, attempt)
                        sock.sendall(piece if unframed else b"%x\r\n" % len(piece) + piece + b"\r\n")
                    if not unframed:
                        sock.sendall(b"0\r\n\r\n")
                else:
                    time.sleep(options.work_ms / 1000)
                    body = plain_body(attempt, 800)
                    with lock:
                        spoiled, spoil_next = spoil_next, False
                    if spoiled:
                        # A chunked body whose trailer has one long field.
                        log(what="spoils", attempt=attempt)
                        sock.sendall((common + "Transfer-Encoding: chunked\r\n\r\n").encode()
                                     + b"%x\r\n" % len(body) + body + b"\r\n0\r\nX-Trace: "
                                     + b"q" * options.spoil_bytes + b"\r\n\r\n")
                        continue
                    frame = "Connection: close\r\n" if unframed else f"Content-Length: {len(body)}\r\n"
                    sock.sendall((common + frame + "\r\n").encode() + body)
                log(what="ended", attempt=attempt)
            finally:
                with lock:
                    active -= 1
            if unframed:
                return
    except (ConnectionError, OSError, ValueError):
        pass
    finally:
        sock.close()


if options.pieces:
    staged = {number: piece(1, number) for number in range(options.pieces)}
    loaded = dict(staged)
host, port = options.address.rsplit(":", 1)
listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listener.bind((host, int(port)))
listener.listen(256)
log(what="started", pid=os.getpid(), born=BORN)
while True:
    connection, _ = listener.accept()
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=serve, args=(connection,), daemon=True).start()
