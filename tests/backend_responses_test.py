#!/usr/bin/env python3
"""Gateway hosts before backend servers whose responses are cut off, or follow responses to other requests on the same connection.

A caller may be told that its request did not run only if no server ran it, and a success must be one server's complete response.
"""

import contextlib
import http.client
import itertools
import os
import socket
import struct
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import ACCOUNTS, BUILD, ROUTES, check, run_cases
from fleet.platform_standins import Gateway, host_and_port
from fleet.processes import wait_until

# Statuses by which the platform's callers learn that a request did not run.
NOT_RUN = (408, 421, 429, 503)
REQUESTS = 24
PAUSE_S = 0.003


class Exchange:
    """One request on a connection of its own, and what the caller received."""

    count = itertools.count(1)

    def __init__(self, endpoint, method, path, request_id=None):
        self.method, self.path = method, path
        self.request_id = request_id or f"request-{next(Exchange.count)}"
        headers = {"Host": "clubs.example", "Deadline-Ms": "2500", "Authorization": "Token key-n", "Attempt-Id": self.request_id}
        connection = http.client.HTTPConnection(*host_and_port(endpoint), timeout=10)
        with contextlib.closing(connection):
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            self.status, self.headers, self.body = response.status, response.headers, response.read()

    def check(self, fixture, what, earlier=0):
        """Checks what the caller was told against what the servers ran, after `earlier` executions under the same id. Returns
        the number of executions."""
        executions = len(fixture.executions(self.request_id)) - earlier
        told = f"{what}: {self.method} {self.path}, status {self.status}, {executions} executions, body {self.body!r}"
        check(executions == 0 or self.status not in NOT_RUN, told)
        check(executions <= 1 or self.path.startswith("/look/"), told)
        if 200 <= self.status < 300:
            check(executions >= 1 and self.headers["Response-Signature"] == "s1", told)
            check(self.headers["Attempt-Id"] == self.request_id, told)
            check(self.method == "HEAD" or self.body.endswith(f"{self.path} ".encode()), told)
        return executions


def refusal(fields, status=503):
    return f"HTTP/1.1 {status} X\r\n{fields}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()


def naming(request_id):
    return f"Attempt-Id: {request_id}\r\n"


def complete_response(handler, body):
    head = f"HTTP/1.1 200 OK\r\n{naming(handler.headers['Attempt-Id'])}Response-Signature: s1\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode(), b"" if handler.command == "HEAD" else body


def write_pieces(handler, pieces):
    for piece in pieces:
        handler.wfile.write(piece)
        handler.wfile.flush()
        time.sleep(PAUSE_S)


class LateResponses:
    """Behaviour of servers that write `make(previous id, id)` before the response to each further request of a connection.
    `hits` counts them, `kept_after` the requests that followed one of them on the same connection."""

    def __init__(self, make):
        self.make, self.hits, self.kept_after = make, 0, 0

    def __call__(self, handler, body):
        request_id = handler.headers["Attempt-Id"]
        previous = getattr(handler, "previous", None)
        handler.previous = request_id
        handler.record_execution()
        head, content = complete_response(handler, body)
        if previous is None:
            return write_pieces(handler, [head + content])
        self.kept_after += getattr(handler, "hit", False)
        handler.hit = True
        self.hits += 1
        return write_pieces(handler, [piece for piece in self.make(previous, request_id, head + content) if piece])


def send_bookings(fixture, behaviour, what, path="/book/1", method="POST"):
    fixture.set_behaviour(behaviour)
    exchanges = []
    for _ in range(REQUESTS):
        exchanges.append(Exchange(fixture.hosts[0].callers, method, path))
        exchanges[-1].check(fixture, what)
    fixture.set_behaviour("good")
    check(behaviour.hits > 0, f"{what}: no late response was written")
    return [exchange.status for exchange in exchanges]


LATE_REFUSALS = {
    "of the previous request": lambda previous, current: refusal(naming(previous)),
    "without an id": lambda previous, current: refusal(""),
    "with an empty id": lambda previous, current: refusal("Attempt-Id: \r\n"),
    "with two ids": lambda previous, current: refusal(naming(current) + naming(previous)),
    "with the id twice": lambda previous, current: refusal(naming(current) + naming(current)),
    "with a list of ids": lambda previous, current: refusal(naming(f"{current}, {previous}")),
    "without an id, status 400": lambda previous, current: refusal("", 400),
    "without an id, status 421": lambda previous, current: refusal("", 421),
    "without an id, status 429": lambda previous, current: refusal("", 429),
    "two of them": lambda previous, current: refusal(naming(previous)) + refusal(""),
    "interim, with the id": lambda previous, current: f"HTTP/1.1 103 X\r\n{naming(current)}Not-Executed: 1\r\n\r\n".encode(),
}


def late_refusals_are_not_taken_for_the_response(fixture):
    for name, make in LATE_REFUSALS.items():
        late = LateResponses(lambda previous, current, response, make=make: [make(previous, current) + response])
        statuses = send_bookings(fixture, late, name)
        check(statuses == [200] * REQUESTS, f"{name}: {statuses}")


def late_refusals_in_pieces_are_not_taken_for_the_response(fixture):
    for split in (1, 9, 14, 30, -2, -1):
        late = LateResponses(lambda previous, current, response, split=split: [refusal("")[:split], refusal("")[split:] + response[:40], response[40:]])
        statuses = send_bookings(fixture, late, f"split at {split}")
        check(statuses == [200] * REQUESTS, f"split at {split}: {statuses}")


def connection_with_a_late_response_is_not_kept(fixture):
    for name in ("of the previous request", "without an id"):
        late = LateResponses(lambda previous, current, response, name=name: [LATE_REFUSALS[name](previous, current) + response])
        send_bookings(fixture, late, name)
        check(late.kept_after == 0, f"{name}: {late.kept_after} requests on connections with a late response")


def late_refusals_without_a_response_leave_the_outcome_open(fixture):
    closing = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    for name, pieces in {"closing": [closing], "too many": [refusal("") * 8]}.items():
        late = LateResponses(lambda previous, current, response, pieces=pieces: pieces)
        statuses = send_bookings(fixture, late, name)
        check(set(statuses) <= {200, 502} and 502 in statuses, f"{name}: {statuses}")


def refusal_on_a_new_connection_without_an_id_leaves_the_outcome_open(fixture):
    def refuse(handler, _):
        handler.record_execution()
        handler.close_connection = True
        handler.wfile.write(refusal(""))

    fixture.set_behaviour(refuse)
    for _ in range(4):
        exchange = Exchange(fixture.hosts[0].callers, "POST", "/book/1")
        check(exchange.check(fixture, "new connection") == 1 and exchange.status == 502, f"status {exchange.status}")
    fixture.set_behaviour("good")


def status_and_statement_that_differ_leave_the_outcome_open(fixture):
    for status, statement in [(status, "") for status in NOT_RUN] + [(200, "Not-Executed: 1\r\n")]:
        def respond(handler, _, status=status, fields=f"{statement}Response-Signature: s1\r\nContent-Length: 0\r\n"):
            handler.record_execution()
            handler.wfile.write(f"HTTP/1.1 {status} X\r\n{naming(handler.headers['Attempt-Id'])}{fields}\r\n".encode())

        fixture.set_behaviour(respond)
        exchange = Exchange(fixture.hosts[0].callers, "POST", "/book/1")
        check(exchange.check(fixture, f"{status} {statement}") == 1 and exchange.status == 502, f"{status}: {exchange.status}")
    fixture.set_behaviour("good")


def late_refusals_at_any_moment_are_not_taken_for_the_response(fixture):
    hits = itertools.count()

    def respond(handler, body):
        """Writes a late refusal from another thread, so that it comes before the next request, with it or in its response."""
        handler.record_execution()
        head, content = complete_response(handler, body)
        handler.wfile.write(head + content)
        delay_s = next(hits) % 40 * 0.0001

        def write_late():
            time.sleep(delay_s)
            with contextlib.suppress(OSError, ValueError):
                handler.connection.sendall(refusal(""))

        threading.Thread(target=write_late, daemon=True).start()

    fixture.set_behaviour(respond)
    statuses = []
    for _ in range(400):
        exchange = Exchange(fixture.hosts[0].callers, "POST", "/book/1")
        exchange.check(fixture, "any moment")
        statuses.append(exchange.status)
    fixture.set_behaviour("good")
    check(statuses.count(200) > 300, f"{ {status: statuses.count(status) for status in set(statuses)} }")


def late_refusal_inside_the_response_is_not_taken_for_it(fixture):
    def make(_, __, response):
        head, body = response.split(b"\r\n\r\n", 1)
        return [head + b"\r\n\r\n", refusal("") + body]

    fixture.set_behaviour(late := LateResponses(make))
    statuses = [Exchange(fixture.hosts[0].callers, "POST", "/book/1").status for _ in range(REQUESTS)]
    fixture.set_behaviour("good")
    # The bytes of the refusal stand where the body should: only the signature, which callers check, tells.
    check(late.hits > 0 and not set(statuses) & set(NOT_RUN), f"{statuses}")


def refusals_that_run_into_the_response_leave_the_outcome_open(fixture):
    """A refusal that is broken off at any byte, or the start of a success, is taken by a parser for the start of the response."""
    chunked = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: "
    starts = [refusal("X-Filler: 1\r\n")[:size] for size in range(1, len(refusal("X-Filler: 1\r\n")))]
    starts += [b"HTTP/1.1 503 X\r\nNot-Executed: 1", b"HTTP/1.1 503 X\r\nNot-Executed:", chunked, chunked + b"1\r\n "]
    for start in starts:
        fixture.set_behaviour(late := LateResponses(lambda previous, current, response, start=start: [start + response]))
        for _ in range(8):
            exchange = Exchange(fixture.hosts[0].callers, "POST", "/book/1")
            exchange.check(fixture, f"{start}")
            check(exchange.status in (200, 502), f"{start}: status {exchange.status}")
        check(late.hits > 0, f"{start}: no late response was written")
    fixture.set_behaviour("good")


def failure_behind_the_start_of_a_success_stays_a_failure(fixture):
    def make(_, __, response):
        return [b"HTTP/1.1 200 ", response.replace(b"HTTP/1.1 200 OK", b"HTTP/1.1 500 X")]

    fixture.set_behaviour(late := LateResponses(make))
    statuses = [Exchange(fixture.hosts[0].callers, "POST", "/book/1").status for _ in range(REQUESTS)]
    fixture.set_behaviour("good")
    check(late.hits > 0 and 502 in statuses and statuses.count(200) == REQUESTS - late.hits, f"{late.hits} failures: {statuses}")


def repeated_id_is_not_answered_by_its_earlier_refusal(fixture):
    """A caller uses an id again. The refusal of its first use must not answer the second one, which the server runs."""
    refused, late = {}, []

    def respond(handler, body):
        request_id = handler.headers["Attempt-Id"]
        key = handler.headers["Target-Instance"], request_id
        if key not in refused:
            refused[key] = handler.client_address
            return handler.wfile.write(refusal(naming(request_id)))
        handler.record_execution()
        late.append(refused[key] == handler.client_address)
        return handler.wfile.write((refusal(naming(request_id)) if late[-1] else b"") + b"".join(complete_response(handler, body)))

    for index in range(4):
        request_id = f"again-{index}"
        fixture.set_behaviour(respond)
        refused_use = Exchange(fixture.hosts[0].callers, "POST", "/book/1", request_id)
        check(refused_use.check(fixture, "first use") == 0 and refused_use.status == 503, f"status {refused_use.status}")
        # The servers are avoided for a while after their refusals.
        statuses = []
        while 200 not in statuses and len(statuses) < 40:
            before = len(fixture.executions(request_id))
            statuses.append((again := Exchange(fixture.hosts[0].callers, "POST", "/book/1", request_id)).status)
            again.check(fixture, "further use", before)
            time.sleep(0.02)
        check(200 in statuses, f"{statuses}")
    fixture.set_behaviour("good")


SIGNED = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s1\r\n"
CHUNKED = SIGNED + "Transfer-Encoding: chunked\r\n"
CUTS = {
    "nothing": "",
    "status line, first byte": "H",
    "status line, version": "HTTP/1.1",
    "status line, status": "HTTP/1.1 200",
    "status line, before its end": "HTTP/1.1 200 OK",
    "status line, inside its end": "HTTP/1.1 200 OK\r",
    "after the status line": "HTTP/1.1 200 OK\r\n",
    "field name": SIGNED + "Content-Le",
    "field colon": SIGNED + "Content-Length:",
    "field value": SIGNED + "Content-Length: 1",
    "field end": SIGNED + "Content-Length: 0\r",
    "between fields": SIGNED,
    "after the length": SIGNED + "Content-Length: 0\r\n",
    "after the length, inside the empty line": SIGNED + "Content-Length: 0\r\n\r",
    "length and further field": SIGNED + "Content-Length: 0\r\nX-Filler: 1",
    "after the coding": CHUNKED,
    "after the coding, inside the empty line": CHUNKED + "\r",
    "after an interim response": "HTTP/1.1 100 Continue\r\n\r\n",
    "in the head after an interim response": "HTTP/1.1 100 Continue\r\n\r\n" + SIGNED,
    "in the head of an interim response": "HTTP/1.1 100 Continue\r\nX-Filler: 1\r\n",
}
BODY_CUTS = {
    "before the body": SIGNED + "Content-Length: 4\r\n\r\n",
    "in the body": SIGNED + "Content-Length: 4\r\n\r\nabc",
    "before the chunks": CHUNKED + "\r\n",
    "chunk size": CHUNKED + "\r\n4",
    "chunk extension": CHUNKED + "\r\n4;a=",
    "chunk header end": CHUNKED + "\r\n4\r\n",
    "in a chunk": CHUNKED + "\r\n4\r\nabc",
    "after a chunk's data": CHUNKED + "\r\n4\r\nabcd",
    "before the last chunk": CHUNKED + "\r\n4\r\nabcd\r\n",
    "in the last chunk": CHUNKED + "\r\n4\r\nabcd\r\n0",
    "after the last chunk": CHUNKED + "\r\n4\r\nabcd\r\n0\r\n",
    "in the trailers": CHUNKED + "\r\n4\r\nabcd\r\n0\r\nX-Filler: 1",
    "after the trailers": CHUNKED + "\r\n4\r\nabcd\r\n0\r\nX-Filler: 1\r\n",
}


class CutResponses:
    """Behaviour of servers that cut the first response to each request whose path contains "cut"."""

    def __init__(self, start, reset):
        self.start, self.reset, self.cut, self.kept = start, reset, set(), 0

    def __call__(self, handler, body):
        request_id = handler.headers["Attempt-Id"]
        handler.record_execution()
        served = getattr(handler, "served", False)
        handler.served = True
        if "cut" not in handler.path or request_id in self.cut:
            return handler.wfile.write(b"".join(complete_response(handler, body)))
        self.cut.add(request_id)
        self.kept += served
        handler.close_connection = True
        handler.wfile.write(self.start.replace("ID", request_id).encode())
        handler.wfile.flush()
        if self.reset:
            # Until the bytes have been read: a reset discards what the receiver has not read.
            time.sleep(PAUSE_S)
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            handler.connection.close()
        return None


def check_cut(fixture, name, start, method, path, counts):
    for reset, kept in itertools.product((False, True), repeat=2):
        what = f"{name}, {'reset' if reset else 'closed'}, {'kept' if kept else 'new'} connection"
        fixture.set_behaviour(cut := CutResponses(start, reset))
        if kept:
            Exchange(fixture.hosts[0].callers, "GET", "/look/1").check(fixture, what)
        exchange = Exchange(fixture.hosts[0].callers, method, path)
        exchange.check(fixture, what)
        counts[exchange.status] = counts.get(exchange.status, 0) + 1
        counts["kept"] = counts.get("kept", 0) + cut.kept
        if path.startswith("/book/"):
            check(exchange.status == 502 or not cut.cut, f"{what}: status {exchange.status}")
    fixture.set_behaviour("good")


def cut_responses_to_bookings_leave_the_outcome_open(fixture):
    counts = {}
    for name, start in (CUTS | BODY_CUTS).items():
        check_cut(fixture, name, start, "POST", "/book/cut", counts)
    print(f"bookings: {counts}", flush=True)
    check(counts.get(502, 0) > 100 and counts["kept"] > 10, f"{counts}")


def cut_responses_to_reads_are_replaced_or_fail(fixture):
    for method in ("GET", "HEAD"):
        counts = {}
        for name, start in (CUTS if method == "HEAD" else CUTS | BODY_CUTS).items():
            check_cut(fixture, name, start, method, "/look/cut", counts)
        print(f"{method}: {counts}", flush=True)
        check(counts.get(200, 0) > 0 and counts["kept"] > 0, f"{method}: {counts}")


def surplus_responses_of_the_store_are_not_taken_for_later_ones(fixture):
    """The store sends each response twice. A host that starts then reads its configuration and servers all the same."""
    handler = fixture.store.server.RequestHandlerClass
    surplus = []

    class Repeating(handler):
        def reply(self, *arguments, **named):
            super().reply(*arguments, **named)
            surplus.append(self.path)
            super().reply(*arguments, **named)

    fixture.store.server.RequestHandlerClass = Repeating
    host = Gateway("host-surplus", "a", fixture.store, fixture.directory, BUILD)
    try:
        host.await_ready()
        for _ in range(10):
            exchange = Exchange(host.callers, "GET", "/look/1")
            check(exchange.check(fixture, "surplus responses of the store") == 1 and exchange.status == 200, f"status {exchange.status}")
        for index in range(3):
            fixture.publish(ROUTES + [(f"/look/added-{index}/", "idempotent", "desk", 3, 3, False)], ACCOUNTS)
            wait_until(lambda: any(f"event=configuration-activated version={fixture.version} " in line for line in host.log_lines()), "the new version")
        malformed = [line for line in host.log_lines() if "malformed" in line or "not-decoded" in line]
        check(surplus and not malformed, f"{len(surplus)} surplus responses, {malformed}")
    finally:
        fixture.store.server.RequestHandlerClass = handler
        fixture.publish(ROUTES, ACCOUNTS)
        host.process.kill()


CASES = [
    late_refusals_are_not_taken_for_the_response,
    late_refusals_in_pieces_are_not_taken_for_the_response,
    connection_with_a_late_response_is_not_kept,
    late_refusals_without_a_response_leave_the_outcome_open,
    refusal_on_a_new_connection_without_an_id_leaves_the_outcome_open,
    status_and_statement_that_differ_leave_the_outcome_open,
    late_refusals_at_any_moment_are_not_taken_for_the_response,
    late_refusal_inside_the_response_is_not_taken_for_it,
    refusals_that_run_into_the_response_leave_the_outcome_open,
    failure_behind_the_start_of_a_success_stays_a_failure,
    repeated_id_is_not_answered_by_its_earlier_refusal,
    cut_responses_to_bookings_leave_the_outcome_open,
    cut_responses_to_reads_are_replaced_or_fail,
    surplus_responses_of_the_store_are_not_taken_for_later_ones,
]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
