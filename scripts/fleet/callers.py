"""Concurrent callers: each has a thread and kept connections, and records every request it makes."""

import hashlib
import http.client
import itertools
import json
import random
import threading
import time
from dataclasses import dataclass, field

from .checkers import REQUEST_SECONDS
from .history import ANSWERED, BROKEN, REFUSED, UNSENT, Operation

CODE_FIELD = "X-Lacewingsail-Code"
EXECUTION_FIELD = "X-Lacewingsail-Execution"
ARCHIVE_FILES = [("season", 300_000), ("spring", 40_000), ("clocks", 5_000)]

_connection_ids = itertools.count(1)


@dataclass
class Credentials:
    """What a caller presents; `account` is empty if the secret belongs to no account."""
    account: str = ""
    key: str = ""
    secret: str = ""


@dataclass(frozen=True)
class Plan:
    """What a caller sends: how often, and with which weights the kinds of requests come."""
    rate: float = 20.0
    lookups: int = 6
    bookings: int = 2
    keyed_bookings: int = 2
    downloads: int = 1
    opens: int = 1
    repeats: int = 3


@dataclass
class _Request:
    kind: str
    method: str
    path: str
    body: bytes = b""
    booking: str = ""
    fields: dict = field(default_factory=dict)


class _Connection:
    """One kept connection to a host."""

    def __init__(self, endpoint):
        self.number = next(_connection_ids)
        self.http = http.client.HTTPConnection(endpoint, timeout=REQUEST_SECONDS)
        self.http.connect()
        self.connected = time.monotonic()
        self.last_used = self.connected


class Caller(threading.Thread):
    """Sends requests of one kind of plan to the hosts in turn until it is stopped."""

    def __init__(self, name, credentials, hosts, plan, seed):
        super().__init__(daemon=True)
        self.caller = name
        self.credentials = credentials
        self.hosts = hosts  # a function that returns the hosts to call now: (name, endpoint, whether new connections are for it)
        self.plan = plan
        self.random = random.Random(seed)
        self.operations = []
        self.connections = {}
        self.count = 0
        self.pending_bookings = []
        self.stop_requested = threading.Event()

    def run(self):
        next_at = time.monotonic()
        while not self.stop_requested.is_set():
            hosts = [(name, endpoint) for name, endpoint, accepting in self.hosts() if accepting or endpoint in self.connections]
            if hosts:
                name, endpoint = self.random.choice(hosts)
                self.operations.append(self.perform(name, endpoint, self.make_request()))
            next_at = max(next_at + self.random.expovariate(self.plan.rate), time.monotonic() - 0.1)
            self.stop_requested.wait(max(next_at - time.monotonic(), 0))
        for connection in self.connections.values():
            connection.http.close()

    def make_request(self):
        self.count += 1
        mark = f"{self.caller}-{self.count}"
        plan = self.plan
        weights = [plan.lookups, plan.bookings, plan.keyed_bookings, plan.downloads, plan.opens]
        kind = self.random.choices(["lookup", "booking", "keyed", "download", "open"], weights)[0]
        if kind == "lookup":
            return _Request(kind, "GET", f"/clocks/free?op={mark}")
        if kind == "open":
            return _Request(kind, "GET", f"/hours?op={mark}")
        if kind == "download":
            name, size = self.random.choice(ARCHIVE_FILES)
            return _Request(kind, "GET", f"/archive/{name}?bytes={size}&op={mark}")
        if kind == "booking":
            return _Request(kind, "POST", f"/loans/{mark}", b"{}")
        return self.make_keyed_booking(mark)

    def make_keyed_booking(self, mark):
        """Repeats an earlier booking now and then, as a caller does who got no clear answer."""
        if self.pending_bookings and self.random.random() < 0.6:
            booking = self.pending_bookings.pop(0)
        else:
            booking = f"key-{mark}"
            self.pending_bookings += [booking] * self.plan.repeats
        return _Request("booking", "POST", f"/loans/{booking}", b"{}", booking, {"Idempotency-Key": booking})

    def perform(self, host, endpoint, request):
        invoked = time.monotonic()
        entry = {"id": f"{self.caller}-{self.count}", "kind": request.kind, "host": host, "path": request.path, "booking": request.booking,
                 "account": self.credentials.account, "key": self.credentials.key}
        if request.kind == "open":
            entry["account"] = entry["key"] = ""
        try:
            connection = self.connections.get(endpoint) or _Connection(endpoint)
        except OSError as error:
            return Operation(**entry, invoked=invoked, returned=time.monotonic(), outcome=UNSENT, problem=repr(error))
        entry |= {"connection": connection.number, "connected": connection.connected, "idle": invoked - connection.last_used}
        self.connections[endpoint] = connection
        try:
            return self.exchange(connection, endpoint, request, entry, invoked)
        except (OSError, http.client.HTTPException) as error:
            connection.http.close()
            del self.connections[endpoint]
            return Operation(**entry, invoked=invoked, returned=time.monotonic(), outcome=BROKEN, problem=repr(error))

    def exchange(self, connection, endpoint, request, entry, invoked):
        fields = dict(request.fields)
        if self.credentials.secret and request.kind != "open":
            fields["Authorization"] = f"Bearer {self.credentials.secret}"
        connection.http.request(request.method, request.path, request.body or None, fields)
        answer = connection.http.getresponse()
        body = answer.read()
        returned = connection.last_used = time.monotonic()
        if answer.will_close:
            connection.http.close()
            del self.connections[endpoint]
        code = int(answer.getheader(CODE_FIELD, "0"))
        entry |= {"status": answer.status, "code": code, "execution": answer.getheader(EXECUTION_FIELD, ""), "request_id": answer.getheader("X-Request-Id", "")}
        outcome = REFUSED if code else ANSWERED
        return Operation(**entry, invoked=invoked, returned=returned, outcome=outcome, content="" if code else content_of(request.kind, answer.status, body))

    def stop(self):
        self.stop_requested.set()


def content_of(kind, status, body):
    """Returns what identifies the content: a digest for downloads, else the path that the backend server named."""
    if status not in (200, 201):
        return ""
    if kind == "download":
        return hashlib.sha256(body).hexdigest()
    try:
        answer = json.loads(body)
    except ValueError:
        return "unreadable"
    return " ".join([answer.get("path") or answer.get("booked", ""), answer.get("server") or answer.get("by", "")])
