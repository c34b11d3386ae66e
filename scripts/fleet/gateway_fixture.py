"""Gateway hosts as separate processes before the stand-ins of the deployment platform, and what their tests share."""

import json
import os
import shutil
import socket
import sys
import tempfile
import threading

from fleet.platform_standins import Backend, Gateway, Store, configuration, host_and_port
from fleet.processes import ROOT, free_ports, wait_until

ROUTES = [("/look/", "idempotent", "desk", 3, 3, False), ("/book/", "non_idempotent", "desk", 3, 3, False),
          ("/open/", "idempotent", "desk", 3, 3, True), ("/brief/", "non_idempotent", "desk", 0.4, 2, False),
          ("/quick/", "idempotent", "desk", 2, 2, False)]
BUILD = os.environ.get("LACEWINGSAIL_BUILD", os.path.join(ROOT, "build"))
ACCOUNTS = [{"name": "norrland", "apiKeys": ["key-n"], "priority": 1}, {"name": "skane", "apiKeys": ["key-s"], "ratePerS": 5, "burst": 10}]


class Response:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Caller:
    """One connection of a caller."""

    count = 0
    lock = threading.Lock()

    def __init__(self, endpoint):
        self.socket = socket.create_connection(host_and_port(endpoint), timeout=10)
        self.file = self.socket.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.file.close()
        self.socket.close()

    def send(self, method, path, key="key-n", body=b"", headers=(), deadline_ms=5000):
        with Caller.lock:
            Caller.count += 1
            request_id = f"attempt-{Caller.count}"
        lines = [f"{method} {path} HTTP/1.1", "Host: clubs.example", f"Attempt-Id: {request_id}", f"Deadline-Ms: {deadline_ms}", *headers]
        if key:
            lines.append(f"Authorization: Token {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return request_id

    def first_byte(self):
        """Returns whether a response begins, as far as is known when the connection has something to read."""
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except ConnectionResetError:
            return False

    def receive(self):
        status_line = self.file.readline()
        if not status_line:
            return None
        headers = {}
        while (line := self.file.readline()) not in (b"\r\n", b""):
            name, value = line.decode().split(":", 1)
            headers[name] = value.strip()
        return Response(int(status_line.split()[1]), headers, self.file.read(int(headers.get("Content-Length", 0))))


def send_request(endpoint, method, path, key="key-n", body=b"", headers=(), deadline_ms=5000):
    with Caller(endpoint) as caller:
        request_id = caller.send(method, path, key, body, headers, deadline_ms)
        response = caller.receive()
        response.request_id = request_id
        return response


class Fixture:
    """Two gateway hosts without seeds in one zone, three backend servers and the store."""

    def __init__(self):
        self.directory = tempfile.mkdtemp(prefix="lacewingsail-gateway-")
        self.store = Store(free_ports(1)[0])
        self.version = 1
        self.publish(ROUTES, ACCOUNTS)
        self.backends = [Backend(self.store, f"i-{index}", "desk", "a") for index in range(3)]
        self.hosts = [Gateway(f"host-{index}", "a", self.store, self.directory, BUILD) for index in range(2)]
        for host in self.hosts:
            host.await_ready()

    def publish(self, routes, accounts, max_body_bytes=1 << 20):
        self.version += 3
        self.store.put("keyed.op", "config", configuration(self.version, routes, accounts, max_body_bytes=max_body_bytes))

    def set_behaviour(self, behaviour):
        for backend in self.backends:
            backend.behaviour = behaviour

    def executions(self, request_id):
        return [run for backend in self.backends for run in backend.executions if run[0] == request_id]

    def close(self):
        for host in self.hosts:
            if host.process.alive():
                host.process.kill()
        shutil.rmtree(self.directory, ignore_errors=True)


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def check_hosts_live(fixture):
    ended = [host for host in fixture.hosts if not host.process.alive()]
    for host in ended:
        # The end of the log says why the process ended, for example a sanitizer's report.
        print("\n".join(host.log_lines()[-60:]), flush=True)
    check(not ended, f"hosts that ended: {[host.name for host in ended]}")


def known_failures():
    """Returns the names of the cases that KNOWN-RED.txt lists, one a line as `tests/FILE CASE: what was seen`."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    prefix = f"tests/{os.path.basename(sys.argv[0])} "
    with open(path, encoding="utf-8") as file:
        return {line[len(prefix):].split(":")[0] for line in file if line.startswith(prefix)}


def run_cases(cases, make_fixture=Fixture):
    """Runs the cases named on the command line, or all, on one fixture. Returns the exit code. A case that KNOWN-RED.txt
    lists has to fail."""
    failed = 0
    known = known_failures()
    fixture = make_fixture()
    try:
        for case in cases:
            if len(sys.argv) > 1 and case.__name__ not in sys.argv[1:]:
                continue
            try:
                case(fixture)
                check_hosts_live(fixture)
                failed += case.__name__ in known
                print(f"{'PASSED, but is listed as failing' if case.__name__ in known else 'passed'} {case.__name__}", flush=True)
            except Exception as error:  # pylint: disable=broad-except
                failed += case.__name__ not in known
                print(f"{'known failure' if case.__name__ in known else 'FAILED'} {case.__name__}: {error!r}", flush=True)
                fixture.set_behaviour("good")
                fixture.store.mode = "up"
    finally:
        fixture.close()
    return 1 if failed else 0
