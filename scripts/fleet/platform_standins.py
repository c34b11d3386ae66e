"""Stand-ins of the deployment platform on loopback: its store and its backend servers, with faults set by the test.

They implement the platform's published protocol (a log with keyed topics; HTTP/1.1 backend servers) and run in the process
of the test, which reads their recorded state directly.
"""

import base64
import json
import os
import resource
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from fleet.processes import Process, address, free_ports, wait_until

HEARTBEAT_S = 0.5
HANG_S = 30
SIGNED_HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s1\r\n"
CHUNKED_HEAD = SIGNED_HEAD + "Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * 65536
FILLER_FIELDS = (b"X-Filler: " + b"x" * 1000 + b"\r\n") * 64
# Responses without end: their start, the piece that is repeated, and the pause after each piece in seconds.
ENDLESS = {
    "endless-version": ("HTTP/1.", FILLER, 0),
    "endless-status": ("HTTP/1.1 2", b"0" * 65536, 0),
    "endless-head-line": ("HTTP/1.1 200 ", FILLER, 0),
    "endless-head": (SIGNED_HEAD, FILLER_FIELDS, 0),
    "endless-field-name": (SIGNED_HEAD, FILLER, 0),
    "endless-field-value": (SIGNED_HEAD + "X-Filler: ", FILLER, 0),
    "endless-folded-field": (SIGNED_HEAD + "X-Filler: x", b"\r\n " * 20000, 0),
    "endless-empty-lines": ("", b"\r\n" * 32768, 0),
    "endless-interim": ("", b"HTTP/1.1 100 Continue\r\n\r\n", 0),
    "endless-interim-fields": ("HTTP/1.1 100 Continue\r\n", FILLER_FIELDS, 0),
    "endless-body": (SIGNED_HEAD + "\r\n", FILLER, 0),
    "endless-chunks": (CHUNKED_HEAD, b"10000\r\n" + FILLER + b"\r\n", 0),
    "endless-small-chunks": (CHUNKED_HEAD, b"1;x=y\r\nx\r\n" * 6000, 0),
    "endless-extended-chunks": (CHUNKED_HEAD, b"1;" + b"x" * 60000 + b"\r\nx\r\n", 0),
    "endless-chunk-size": (CHUNKED_HEAD, b"0" * 65536, 0),
    "endless-chunk-extension": (CHUNKED_HEAD + "1;", FILLER, 0),
    "endless-last-chunk-extension": (CHUNKED_HEAD + "0;", FILLER, 0),
    "endless-chunk-end": (CHUNKED_HEAD + "1\r\nx", FILLER, 0),
    "endless-trailer": (CHUNKED_HEAD + "0\r\n", FILLER_FIELDS, 0),
    "endless-trailer-name": (CHUNKED_HEAD + "0\r\n", FILLER, 0),
    "endless-slow-head": (SIGNED_HEAD + "X-Filler: ", b"x", 0.02),
    "endless-slow-body": (SIGNED_HEAD + "\r\n", b"x", 0.02),
}
LARGE_BYTES = 12 << 20


class Listener(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignores errors: tests break connections on purpose."""


class EndlessSender:
    """Part of a handler that sends without end. `owner` counts in `endless` the messages that were begun, in `abandoned` those
    of them that the receiver ended; it sends while `alive`."""

    def send_endlessly(self, owner, start, piece, pause_s):
        """Sends `start` and then `piece` again and again until the receiver closes the connection."""
        owner.endless += 1
        self.close_connection = True
        try:
            self.wfile.write(start.replace("ID", self.headers.get("Attempt-Id", "")).encode())
            while owner.alive:
                self.wfile.write(piece)
                time.sleep(pause_s)
        except OSError:
            owner.abandoned += 1


class Store:
    """The platform's store. `mode` is up, busy, reset, silent or one of ENDLESS; `delay_s` delays responses, `body_delay_s` their bodies;
    `lose_writes` drops the responses to writes that took effect; reads of `refused_topics` get 503. `overlapping_calls` lists
    the calls during which another one arrived on the same connection: a client must wait for the response first. `era` counts
    the restorations from a copy and is in every response; `gone` counts the reads that were refused since their records did
    not exist."""

    def __init__(self, port):
        self.address = address(port)
        self.topics = {}
        self.first = {}
        self.mode = "up"
        self.endless = self.abandoned = 0
        self.alive = True
        self.delay_s = 0
        self.body_delay_s = 0
        self.lose_writes = False
        self.refused_topics = set()
        self.calls = []
        self.overlapping_calls = []
        self.era = 1
        self.gone = 0
        self.changed = threading.Condition()
        self.server = Listener(("127.0.0.1", port), self._handler())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Appends a keyed record; a value of None deletes the key. A key may be given as bytes. Returns its offset."""
        encoded = key if isinstance(key, bytes) else key.encode()
        content = bytes([len(encoded)]) + encoded + (b"" if value is None else value)
        return self.append(topic, [content])

    def append(self, topic, contents):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            offset = len(records)
            records.extend(contents)
            self.changed.notify_all()
            return offset

    def delete_history(self, topic):
        """Deletes the records of a topic, except that the newest one of each key can still be read with /log-newest."""
        with self.changed:
            self.first[topic] = len(self.topics.get(topic, []))

    def copy(self):
        """Returns a copy of all records, to be given to `restore`."""
        with self.changed:
            return {topic: list(records) for topic, records in self.topics.items()}, dict(self.first)

    def restore(self, copy, then=lambda: None):
        """Loses all records since the copy; their offsets are given out again. Writes of `then` come before any other."""
        with self.changed:
            self.topics, self.first = {topic: list(records) for topic, records in copy[0].items()}, dict(copy[1])
            self.era += 1
            then()
            self.changed.notify_all()

    def newest(self, topic):
        keys = {}
        for offset, content in enumerate(self.topics.get(topic, [])):
            length = content[0]
            keys[content[1:1 + length].decode(errors="surrogateescape")] = (offset, content[1 + length:])
        return {key: entry for key, entry in keys.items() if entry[1]}

    def read(self, topic, start, wait_s):
        """Returns the era and the body of the response, or no body if the records do not exist."""
        deadline = time.monotonic() + wait_s
        with self.changed:
            while len(self.topics.get(topic, [])) == start and time.monotonic() < deadline:
                self.changed.wait(max(0.001, deadline - time.monotonic()))
            records = self.topics.get(topic, [])
            if not self.first.get(topic, 0) <= start <= len(records):
                self.gone += 1
                return self.era, None
            body = struct.pack(">QQ", len(records), self.first.get(topic, 0))
            return self.era, body + b"".join(struct.pack(">I", len(each)) + each for each in records[start:])

    def read_newest(self, topic, after):
        """Returns the era and one page of the newest records."""
        with self.changed:
            items = [{"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
                     for key, (offset, value) in sorted(self.newest(topic).items()) if key > after]
            return self.era, {"items": items[:2], "more": len(items) > 2, "end": len(self.topics.get(topic, []))}

    def _handler(store):  # pylint: disable=no-self-argument
        class Handler(EndlessSender, BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                """Silent."""

            def reply(self, status, body, content_type="application/json", era=None):
                self.send_response(status)
                self.send_header("Store-Era", str(store.era if era is None else era))
                self.send_header("Content-Type", content_type)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                time.sleep(store.body_delay_s)
                self.wfile.write(body)

            def record_overlap(self):
                self.connection.setblocking(False)
                try:
                    if self.rfile.peek(1):
                        store.overlapping_calls.append(self.path)
                except OSError:
                    """Tests break connections on purpose."""
                finally:
                    self.connection.setblocking(True)

            def apply_fault(self):
                time.sleep(store.delay_s)
                self.record_overlap()
                if store.mode == "busy":
                    self.reply(503, b"{}")
                elif store.mode == "reset":
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.close_connection = True
                elif store.mode == "silent":
                    time.sleep(HANG_S)
                    self.close_connection = True
                elif store.mode in ENDLESS:
                    self.send_endlessly(store, *ENDLESS[store.mode])
                return store.mode != "up"

            def do_GET(self):
                url = urlsplit(self.path)
                query = {key: values[0] for key, values in parse_qs(url.query, errors="surrogateescape").items()}
                store.calls.append(url.path)
                if self.apply_fault():
                    return
                if query["topic"] in store.refused_topics:
                    self.reply(503, b"{}")
                    return
                if url.path == "/log-read":
                    era, body = store.read(query["topic"], int(query["from"]), int(query.get("waitMs", 0)) / 1000)
                    if body is None:
                        self.reply(410, json.dumps({"first": store.first.get(query["topic"], 0)}).encode(), era=era)
                    else:
                        self.reply(200, body, "application/octet-stream", era)
                    return
                era, page = store.read_newest(query["topic"], query.get("after", ""))
                self.reply(200, json.dumps(page, ensure_ascii=False).encode(errors="surrogateescape"), era=era)

            def do_POST(self):
                url = urlsplit(self.path)
                query = {key: values[0] for key, values in parse_qs(url.query).items()}
                body = self.rfile.read(int(self.headers["Content-Length"]))
                store.calls.append(url.path)
                if self.apply_fault():
                    return
                contents = []
                while body:
                    size = struct.unpack(">I", body[:4])[0]
                    contents.append(body[4:4 + size])
                    body = body[4 + size:]
                offset = store.append(query["topic"], contents)
                if store.lose_writes:
                    self.close_connection = True
                    return
                self.reply(200, json.dumps({"offset": offset, "end": offset + len(contents)}).encode())

        return Handler


class Backend:
    """A backend server that registers itself. `behaviour` is good, error, slow, slower, large, hang, reset, truncate, extra,
    unframed, unsigned, shed, one of ENDLESS, or a function that responds by itself: it gets the handler of the connection and
    the body of a complete response, and says by `handler.record_execution()` that it runs the request; one with the attribute
    `before_body` is called before the body of the request has been read. Requests for
    `hanging_paths` get no response for a long time otherwise, `slow_paths` gives the seconds that others take. `executions` lists (id, account, path, Authorization) of every
    request that it ran. `endless` counts the endless responses that were begun, `abandoned` those of them that the receiver
    ended."""

    def __init__(self, store, name, service, zone, slots=6):
        self.store, self.name, self.service, self.zone, self.slots = store, name, service, zone, slots
        self.behaviour = "good"
        self.state = "ready"
        self.born = 1700000000000
        self.hanging_paths = set()
        self.slow_paths = {}
        self.executions = []
        self.heartbeats = 0
        self.endless = self.abandoned = 0
        self.alive = True
        self.address = address(free_ports(1)[0])
        self.server = Listener(("127.0.0.1", int(self.address.split(":")[1])), self._handler())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.register()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def register(self):
        self.heartbeats += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": self.state, "warmupLeftS": 0, "sequence": self.heartbeats, "born": self.born}
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def _send_heartbeats(self):
        while self.alive:
            time.sleep(HEARTBEAT_S)
            if self.alive:
                self.register()

    def drain(self):
        self.state = "draining"
        self.register()

    def leave(self):
        self.alive = False
        self.store.put("keyed.servers", self.name, None)

    def _handler(backend):  # pylint: disable=no-self-argument
        class Handler(EndlessSender, BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                """Silent."""

            def raw(self, status, body, length=None, extra=b"", signed=True, executed=True):
                lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {self.headers['Attempt-Id']}", "Server-Load: 1,0,6"]
                if signed:
                    lines.append("Response-Signature: s1")
                if not executed:
                    lines.append("Not-Executed: 1")
                if length is not None:
                    lines.append(f"Content-Length: {length}")
                self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body + extra)
                self.wfile.flush()

            def record_execution(self):
                backend.executions.append((self.headers["Attempt-Id"], self.headers.get("Tenant"), self.path, self.headers.get("Authorization")))

            def serve(self):
                behaviour = backend.behaviour
                if getattr(behaviour, "before_body", False) and self.headers.get("Target-Instance") == backend.name:
                    return behaviour(self, f"{backend.name} {self.path} ".encode())
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.headers.get("Target-Instance") != backend.name:
                    return self.raw(421, b"", 0, signed=False, executed=False)
                if behaviour == "shed":
                    return self.raw(503, b"", 0, signed=False, executed=False)
                response_body = f"{backend.name} {self.path} ".encode() + body
                if callable(behaviour):
                    return behaviour(self, response_body)
                self.record_execution()
                if behaviour == "hang" or self.path in backend.hanging_paths:
                    time.sleep(HANG_S)
                time.sleep(backend.slow_paths.get(self.path, 0))
                if behaviour == "slow":
                    time.sleep(0.6)
                if behaviour == "slower":
                    time.sleep(1.4)
                if behaviour == "large":
                    response_body = b"x" * LARGE_BYTES
                if behaviour == "error":
                    return self.raw(500, b"broken", 6)
                if behaviour == "unsigned":
                    return self.raw(200, response_body, len(response_body), signed=False)
                if behaviour == "reset":
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.close_connection = True
                    return self.connection.close()
                if behaviour == "truncate":
                    self.close_connection = True
                    return self.raw(200, response_body[:3], len(response_body))
                if behaviour == "unframed":
                    self.close_connection = True
                    return self.raw(200, response_body)
                if behaviour in ENDLESS:
                    return self.send_endlessly(backend, *ENDLESS[behaviour])
                extra = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 4\r\n\r\nlate" if behaviour == "extra" else b""
                return self.raw(200, response_body, len(response_body), extra)

            do_GET = do_POST = do_HEAD = serve

        return Handler


class Gateway:
    """One process of a gateway host. `before_start` is called with it once its ports are known."""

    def __init__(self, name, zone, store, directory, build, seeds=(), address_space=resource.RLIM_INFINITY, descriptors=None, before_start=lambda host: None):
        self.name = name
        self.callers, self.readiness, self.operators, self.peers = (address(port) for port in free_ports(4))
        self.bounds = {"drain": 2, "stop_grace": 6}
        settings = {"host": name, "zone": zone, "callers": self.callers, "readiness": self.readiness, "operators": self.operators,
                    "peers": self.peers, "store": store.address, "seeds": list(seeds), "bounds": self.bounds}
        self.settings_path = os.path.join(directory, f"{name}.json")
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.environ["LACEWINGSAIL_CONFIG"] = self.settings_path
        before_start(self)
        self.process = Process(name, [os.path.join(build, "bin", "lacewingd"), "--role", "gateway"], directory, address_space, descriptors)

    def ready(self):
        with socket.create_connection(host_and_port(self.readiness), timeout=2) as connection:
            connection.sendall(b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n")
            return b" 200 " in connection.recv(200).split(b"\r\n")[0]

    def await_ready(self):
        wait_until(self.ready, f"{self.name} to be ready")

    def log_lines(self):
        with open(self.process.log_path, encoding="utf-8") as file:
            return file.read().splitlines()


def host_and_port(endpoint):
    host, port = endpoint.split(":")
    return host, int(port)


def configuration(version, routes, accounts, services=("desk", "archive"), idle_timeout_s=15, max_body_bytes=1 << 20):
    """Returns a configuration as the operators publish it. `routes` are (prefix, kind, service or split, timeout, attempts,
    open)."""
    rules = []
    for index, (prefix, kind, target, timeout, attempts, is_open) in enumerate(routes):
        action = {"timeoutS": timeout, "maxAttempts": attempts}
        action["service" if isinstance(target, str) else "trafficSplit"] = target
        rules.append({"name": f"route-{index}", "kind": kind, "targetLatencyS": 1, "priority": 1, "public": is_open,
                      "match": {"pathPrefix": prefix}, "action": action})
    return json.dumps({
        "version": f"r{version}",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body_bytes, "headerTimeoutS": 3, "idleTimeoutS": idle_timeout_s},
        "tenants": accounts,
        "listeners": [{"host": "clubs.example", "routeRules": rules}],
        "clusters": [{"name": name, "healthCheck": "/health", "maxConnections": 360, "protocol": "h1", "tls": False} for name in services],
    }).encode()
