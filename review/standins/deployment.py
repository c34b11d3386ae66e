"""A small deployment on loopback addresses: the platform's store, backend servers and clients as stand-ins, and the hosts of
the deploy file as processes.

The stand-ins speak PROTOCOL.md and behave like a sound platform, sound servers and sound clients, except where a case changes
a hook on purpose. Everything that is sent, run and answered goes to record.txt.
"""

import base64
import http.client
import itertools
import json
import os
import random
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ROLE = "gateway"
HEARTBEAT_S = 1.5
SLOTS = 6
HOST_NAME = "clubs.example"
KEY = "2b9wu3fexd9dnn2ctnfz"
# Bounds of sites/klockbank.toml.
BOUNDS = {"drainS": 2, "stabilityWindowS": 3, "addrReuseS": 2, "graceS": 6, "configPropagationS": 2, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "retryBudgetSlack": 60, "quotaWindowS": 5, "quotaOvershoot": 0.1, "quotaSlack": 20, "floorShare": 0.7}
PORTS = (12000, 30000)


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """Lines of record.txt with the time in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            now = self.now()
            self.file.write(f"{now:9.3f} s  {text}\n")
            self.file.flush()
            return now


def wait_until(condition, what, seconds=15):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise CannotRun(f"timed out: {what}")


def free_ports(addresses, count):
    """Returns ports that are free on all of the addresses."""
    found = []
    for port in random.sample(range(*PORTS), PORTS[1] - PORTS[0]):
        sockets = []
        try:
            for address in addresses:
                sockets.append(socket.socket())
                sockets[-1].bind((address, port))
            found.append(port)
        except OSError:
            pass
        finally:
            for each in sockets:
                each.close()
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Listener(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Connections that the other side breaks off are no error here."""


class Store:
    """The platform's store. While `refuses` is set, every call gets 503."""

    def __init__(self, record, address, port):
        self.record = record
        self.endpoint = f"{address}:{port}"
        self.refuses = False
        self.topics = {}
        self.changed = threading.Condition()
        self.server = Listener((address, port), self._handler())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Appends a keyed record; a value of None drops the key."""
        content = bytes([len(key)]) + key.encode() + (b"" if value is None else json.dumps(value).encode())
        with self.changed:
            self.topics.setdefault(topic, []).append(content)
            self.changed.notify_all()

    def _records(self, topic, start, wait_s):
        deadline = time.monotonic() + wait_s
        with self.changed:
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < deadline:
                self.changed.wait(max(0.001, deadline - time.monotonic()))
            records = self.topics.get(topic, [])
            return struct.pack(">QQ", len(records), 0) + b"".join(struct.pack(">I", len(each)) + each for each in records[start:])

    def _newest(self, topic, after):
        with self.changed:
            records = list(self.topics.get(topic, []))
        keys = {}
        for offset, content in enumerate(records):
            keys[content[1:1 + content[0]].decode()] = (offset, content[1 + content[0]:])
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in sorted(keys.items()) if value and key > after]
        return {"items": items[:500], "more": len(items) > 500, "end": len(records)}

    def _handler(store):  # pylint: disable=no-self-argument
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                """Silent."""

            def reply(self, status, body, content_type="application/json"):
                self.send_response(status)
                self.send_header("Content-Type", content_type)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                url = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if store.refuses:
                    self.reply(503, b"{}")
                elif url.path == "/log-read":
                    self.reply(200, store._records(query["topic"], int(query["from"]), int(query.get("waitMs", 0)) / 1000), "application/octet-stream")
                elif url.path == "/log-newest":
                    self.reply(200, json.dumps(store._newest(query["topic"], query.get("after", ""))).encode())
                else:
                    self.reply(404, b"{}")

            def do_POST(self):
                url = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if store.refuses:
                    self.reply(503, b"{}")
                    return
                if url.path != "/log-append":
                    self.reply(404, b"{}")
                    return
                with store.changed:
                    records = store.topics.setdefault(query["topic"], [])
                    offset = len(records)
                    while body:
                        size = struct.unpack(">I", body[:4])[0]
                        records.append(body[4:4 + size])
                        body = body[4 + size:]
                    store.changed.notify_all()
                    end = len(records)
                self.reply(200, json.dumps({"offset": offset, "end": end}).encode())

        return Handler


class Server:
    """A backend server that registers itself in the store. `before_answer(server, handler, answers)` returns bytes that are
    sent before an answer; `answers` counts those that the connection has carried. `body(server, handler, body)` returns the body of
    the answer to a request. `runs` lists (time, attempt id) of the
    requests that it began to work on, and it drops a request when
    its connection closes."""

    def __init__(self, record, store, name, service, zone, address, port, work_s):
        self.record, self.store, self.name, self.service, self.zone, self.work_s = record, store, name, service, zone, work_s
        self.endpoint = f"{address}:{port}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.registered = True
        self.before_answer = lambda server, handler, answers: b""
        self.body = lambda server, handler, body: f"{server.name} {handler.path} ".encode() + body
        self.runs = []
        # When the work on each attempt ended.
        self.ends = {}
        self.running = 0
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = Listener((address, port), self._handler())
        threading.Thread(target=self.listener.serve_forever, daemon=True).start()
        self._beat()
        threading.Thread(target=self._beats, daemon=True).start()

    def _beat(self):
        with self.lock:
            if not self.registered:
                return
            self.sequence += 1
            self.store.put("keyed.servers", self.name, {
                "service": self.service, "address": self.endpoint, "zone": self.zone, "version": "v1", "slots": SLOTS,
                "state": "ready", "warmupLeftS": 0, "sequence": self.sequence, "born": self.born})

    def _beats(self):
        while self.registered:
            time.sleep(HEARTBEAT_S)
            self._beat()

    def leave(self):
        """Leaves without reporting `draining`: the entry is removed, and the server goes on serving. Returns the time of the
        store's confirmation."""
        with self.lock:
            self.registered = False
            self.store.put("keyed.servers", self.name, None)
        return self.record.write(f"server {self.name}: its entry is removed, confirmed by the store; it goes on serving")

    def exit(self):
        """Ends: nothing listens any more, and open connections are closed."""
        self.record.write(f"server {self.name} exits with {self.running} requests at work")
        self.listener.socket.close()
        for each in list(self.connections):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.listener.shutdown()

    def _handler(server):  # pylint: disable=no-self-argument
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            answers = 0

            def log_message(self, *_):
                """Silent."""

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                server.connections.add(self.connection)

            def finish(self):
                server.connections.discard(self.connection)
                super().finish()

            def answer(self, status, fields, body=b""):
                head = "".join(f"{name}: {value}\r\n" for name, value in fields if value is not None)
                message = f"HTTP/1.1 {status} {http.client.responses.get(status, 'X')}\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
                first = server.before_answer(server, self, self.answers)
                self.answers += 1
                if first:
                    self.wfile.write(first)
                self.wfile.write(message)

            def work(self):
                """Works on a request. Returns False once the connection has been closed."""
                deadline = time.monotonic() + server.work_s
                while (left := deadline - time.monotonic()) > 0:
                    readable, _, _ = select.select([self.connection], [], [], left)
                    if readable and not self.connection.recv(1, socket.MSG_PEEK):
                        return False
                    if readable:
                        time.sleep(max(0, deadline - time.monotonic()))
                return True

            def serve(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                attempt = self.headers.get("Attempt-Id")
                target = self.headers.get("Target-Instance")
                if self.path == "/health":
                    return self.answer(200, [("Instance-Id", server.name)])
                if target is not None and target != server.name:
                    return self.answer(421, [("Attempt-Id", attempt), ("Instance-Id", server.name), ("Not-Executed", 1)])
                if attempt is None:
                    return self.answer(400, [("Not-Executed", 1)])
                with server.lock:
                    full = server.running >= SLOTS * 2
                    server.running += 0 if full else 1
                if full:
                    server.record.write(f"server {server.name} refuses {attempt}: full")
                    return self.answer(503, [("Attempt-Id", attempt), ("Not-Executed", 1)])
                try:
                    at = server.record.write(f"server {server.name} runs {attempt} {self.command} {self.path}")
                    server.runs.append((at, attempt))
                    if not self.work():
                        server.record.write(f"server {server.name} drops {attempt}: its connection was closed")
                        self.close_connection = True
                        return None
                finally:
                    server.ends[attempt] = server.record.now()
                    with server.lock:
                        server.running -= 1
                return self.answer(200, [("Attempt-Id", attempt), ("Response-Signature", f"{server.name}.{attempt}"),
                                         ("Server-Load", f"{server.running + 1},0,{SLOTS}")], server.body(server, self, body))

            do_GET = do_POST = serve

        return Handler


class Host:
    """One host of the system, with the command, the template and the settings of the deploy file."""

    def __init__(self, deployment, name, zone, address, ports):
        self.deployment, self.name, self.zone, self.address = deployment, name, zone, address
        self.front, self.readiness, self.control = (f"{address}:{port}" for port in ports[:3])
        self.internal = ports[3]
        self.process = None
        self.ready_at = None

    def _settings(self):
        fields = {"node": self.name, "role": ROLE, "machineClass": "edge", "serves": ["edge", "control_plane"], "ip": self.address,
                  "zone": self.zone, "region": "mellansverige", "internalPortRange": [self.internal, self.internal],
                  "seeds": [host.control for host in self.deployment.hosts[:3]], "bootstrap": False, "discovery": "platform",
                  "heartbeatS": HEARTBEAT_S, "listen": {"front": self.front, "readiness": self.readiness, "control": self.control},
                  "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0}, "bounds": BOUNDS,
                  "platform": {"address": self.deployment.store.endpoint, "form": "log", "keep_s": 300}}

        def fill(match):
            value = fields
            for part in match[1].split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if match[2] else str(value)

        with open(os.path.join(ROOT, self.deployment.role["template"]), encoding="utf-8") as file:
            return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, file.read())

    def start(self):
        path = os.path.join(self.deployment.directory, f"{self.name}.settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self._settings())
        with open(os.path.join(self.deployment.directory, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(self.deployment.role["run"].split(" "), cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            env={**os.environ, "LACEWINGSAIL_CONFIG": path})
        return self.deployment.record.write(f"host {self.name} starts")

    def is_ready(self):
        connection = http.client.HTTPConnection(self.readiness, timeout=1)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except http.client.HTTPException:
            return False
        finally:
            connection.close()

    def await_ready(self):
        wait_until(self.is_ready, f"{self.name} to be ready")
        return self.deployment.record.write(f"host {self.name} is ready")

    def kill(self):
        self.process.kill()
        self.process.wait()
        return self.deployment.record.write(f"host {self.name} is killed")

    def stop(self):
        """A planned stop: SIGTERM, then SIGKILL after the grace period."""
        self.deployment.record.write(f"host {self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(BOUNDS["graceS"])
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        return self.deployment.record.write(f"host {self.name} has ended, exit code {self.process.returncode}")


class Deployment:
    """Hosts and servers in one or more zones, one service. A context manager that ends everything."""

    def __init__(self, record, zones, hosts, servers, work_s, timeout_s=2, tenants=None):
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="lacewingsail-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"][ROLE]
        block = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        addresses = [f"{block}.{10 + index}" for index in range(hosts)]
        ports = free_ports(addresses, 4)
        store_address, server_address = f"{block}.2", f"{block}.3"
        self.store = Store(record, store_address, free_ports([store_address], 1)[0])
        self.service = "lanedisk"
        self.timeout_s = timeout_s
        self.version = 7
        self.publish(tenants if tenants is not None else [{"name": "huka270", "apiKeys": [KEY], "priority": 1}])
        self.servers = [Server(record, self.store, f"i-{index:02d}a7f3", self.service, zones[index % len(zones)], server_address, port, work_s)
                        for index, port in enumerate(free_ports([server_address], servers))]
        self.hosts = []
        for index, address in enumerate(addresses):
            self.hosts.append(Host(self, f"edge-{zones[index % len(zones)]}-{index // len(zones) + 1}", zones[index % len(zones)], address, ports))

    def publish(self, tenants):
        """The operator writes a further version. Returns the time of the store's confirmation."""
        self.store.put("keyed.op", "config", {
            "version": f"r{self.version}", "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
            "tenants": tenants,
            "listeners": [{"host": HOST_NAME, "routeRules": [
                {"name": "book", "kind": "non_idempotent", "targetLatencyS": 1, "priority": 1, "public": False, "match": {"pathPrefix": "/book/"},
                 "action": {"service": self.service, "timeoutS": self.timeout_s, "maxAttempts": 2}},
                {"name": "look", "kind": "idempotent", "targetLatencyS": 1, "priority": 2, "public": False, "match": {"pathPrefix": "/look/"},
                 "action": {"service": self.service, "timeoutS": self.timeout_s, "maxAttempts": 2}}]}],
            "clusters": [{"name": self.service, "healthCheck": "/health", "maxConnections": 360, "protocol": "h1", "tls": False}]})
        self.version += 2
        return self.record.write(f"the operator's configuration r{self.version - 2} is confirmed, tenants {[each['name'] for each in tenants]}")

    def __enter__(self):
        return self

    def start(self):
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            host.await_ready()

    def __exit__(self, *_):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


class Clients:
    """Clients that send requests one after the other on kept connections, each request once. A client whose host does not take
    its connection goes to the next host of `others`, as the balancer would send it."""

    ids = itertools.count(1)

    def __init__(self, record, host, method, path, count, pause_s, deadline_ms=5000, key=KEY, others=()):
        self.record, self.host, self.method, self.path, self.pause_s, self.deadline_ms = record, host, method, path, pause_s, deadline_ms
        self.key, self.hosts = key, [host, *others]
        # Attempt id: (host, time of sending, status or None).
        self.sent = {}
        self.ended = False
        self.threads = [threading.Thread(target=self._run, daemon=True) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.ended = True
        for thread in self.threads:
            thread.join(10)

    def _run(self):
        connection = None
        hosts = itertools.cycle(self.hosts)
        while not self.ended:
            if connection is None:
                host = next(hosts)
                connection = http.client.HTTPConnection(host.front, timeout=self.deadline_ms / 1000)
            attempt = f"{next(Clients.ids):016x}"
            status = None
            at = self.record.now()
            try:
                connection.connect() if connection.sock is None else None
                at = self.record.write(f"client sends {attempt} {self.method} {self.path} to {host.name}")
                self.sent[attempt] = (host.name, at, None)
                connection.request(self.method, self.path, body=b"clock" if self.method == "POST" else None,
                                   headers={"Host": HOST_NAME, "Attempt-Id": attempt, "Deadline-Ms": str(self.deadline_ms), "Authorization": f"Token {self.key}"})
                response = connection.getresponse()
                response.read()
                status = response.status
                closes = response.will_close
            except (OSError, http.client.HTTPException):
                closes = True
            if attempt in self.sent:
                self.record.write(f"client gets {status or 'no answer'} for {attempt}")
                self.sent[attempt] = (host.name, at, status)
            if closes:
                connection.close()
                connection = None
            time.sleep(self.pause_s)


def run_case(case):
    """Runs `case(record, trouble)`, which returns a list of violations, and exits as the review asks for."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        violations, summary = case(record, trouble)
    except (CannotRun, OSError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in violations[:20]:
        record.write(f"VIOLATION {line}")
        print(line)
    record.write(summary)
    print(f"{summary}; {len(violations)} violations")
    sys.exit(1 if violations else 0)
