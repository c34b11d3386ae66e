#!/usr/bin/env python3
"""Gateway hosts before backend servers, and a store, whose responses are no valid or no complete HTTP/1.1 messages.

A caller gets a whole response of one server or none: what cannot be one is refused, with a line in the log, and what is one is
passed on, whether its end is stated by a length, by chunks or by the end of the connection.
"""

import contextlib
import http.client
import os
import socket
import struct
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from backend_responses_test import CHUNKED, PAUSE_S, SIGNED, Exchange, complete_response
from fleet.gateway_fixture import ACCOUNTS, ROUTES, check, run_cases, send_request
from fleet.processes import FleetError, wait_until

UPLOAD_BYTES = 12 << 20
# Small, so that the upload is still being written when its response ends.
RECEIVE_BUFFER_BYTES = 4096
RESETS = 12
NOT_RUN_RETRIES = 40
NOT_RUN_PAUSE_S = 0.05
REQUEST_FIELDS = "Attempt-Id: ID\r\nResponse-Signature: s1\r\n"

INVALID_STATUSES = ("000", "001", "099", "101", "600", "999")

MALFORMED_FIELDS = {
    "blank in a name": "X Filler: 1",
    "blank behind a name": "X-Filler : 1",
    "tab behind a name": "X-Filler\t: 1",
    "blank before a name": " X-Filler: 1",
    "tab before a name": "\tX-Filler: 1",
    "blank line that is no end": " ",
    "control byte in a name": "X-\x01Filler: 1",
    "control byte before a name": "\x02X-Filler: 1",
    "control byte behind a name": "X-Filler\x1f: 1",
    "null byte in a name": "X-\0Filler: 1",
    "delete byte in a name": "X-\x7fFiller: 1",
    "control byte in a value": "X-Filler: \x01",
    "null byte in a value": "X-Filler: a\0b",
    "bare carriage return": "X-Filler: a\rb",
    "bare line feed": "X-Filler: a\nX-Other: b",
    "no name": ": 1",
    "no colon": "X-Filler",
}
LENGTHS = ("Content-Length: 4", "Transfer-Encoding: chunked")


def malformed_heads():
    for name, field in MALFORMED_FIELDS.items():
        yield f"{name}, first", f"HTTP/1.1 200 OK\r\n{field}\r\n{REQUEST_FIELDS}Content-Length: 4\r\n\r\nbody"
        yield f"{name}, last", f"{SIGNED}Content-Length: 4\r\n{field}\r\n\r\nbody"
        yield f"{name}, behind another field", f"{SIGNED}X-Other: a\r\n{field}\r\nContent-Length: 4\r\n\r\nbody"
    for field in LENGTHS:
        name, value = field.split(": ")
        body = "4\r\nbody\r\n0\r\n\r\n" if value == "chunked" else "body"
        for what, line in {"blank before": f" {field}", "tab before": f"\t{field}", "blank behind": f"{name} : {value}",
                           "blank in": f"{name.replace('-', ' ')}: {value}", "control byte before": f"\x03{field}", "control byte behind": f"{name}\x01: {value}"}.items():
            yield f"{what} {name}", f"{SIGNED}{line}\r\n\r\n{body}"


def malformed_trailers():
    for name, field in MALFORMED_FIELDS.items():
        yield f"{name}, only one", f"{CHUNKED}\r\n4\r\nbody\r\n0\r\n{field}\r\n\r\n"
        yield f"{name}, last", f"{CHUNKED}\r\n4\r\nbody\r\n0;a=b\r\nX-Filler: 1\r\n{field}\r\n\r\n"


AMBIGUOUS_FRAMINGS = {
    "two lengths": "Content-Length: 4\r\nContent-Length: 3\r\n\r\nbody",
    "list of lengths": "Content-Length: 4, 3\r\n\r\nbody",
    "length with a sign": "Content-Length: +4\r\n\r\nbody",
    "negative length": "Content-Length: -4\r\n\r\nbody",
    "hexadecimal length": "Content-Length: 0x4\r\n\r\nbody",
    "empty length": "Content-Length:\r\n\r\nbody",
    "length beyond 64 bits": "Content-Length: 18446744073709551620\r\n\r\nbody",
    "length and chunks": "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "chunks and length": "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "chunks twice": "Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "chunked field twice": "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "other coding": "Transfer-Encoding: gzip\r\n\r\nbody",
    "other coding and length": "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
    "other coding in chunks": "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "chunks in another coding": "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "no coding": "Transfer-Encoding: identity\r\n\r\nbody",
    "unknown coding": "Transfer-Encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "empty coding": "Transfer-Encoding:\r\n\r\nbody",
    "coding in the trailer": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTransfer-Encoding: gzip\r\n\r\n",
    "chunk size without digits": "Transfer-Encoding: chunked\r\n\r\n;a=b\r\nbody\r\n0\r\n\r\n",
    "chunk longer than its size": "Transfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n",
    "chunk size with a sign": "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n",
}


def ambiguous_framings():
    for name, rest in AMBIGUOUS_FRAMINGS.items():
        yield name, SIGNED + rest
    yield "chunks with HTTP/1.0", (CHUNKED + "\r\n4\r\nbody\r\n0\r\n\r\n").replace("HTTP/1.1", "HTTP/1.0")
    yield "length of a body without one", (SIGNED + "Content-Length: 4\r\n\r\nbody").replace("200 OK", "204 X")
    yield "chunks of a body without one", (CHUNKED + "\r\n4\r\nbody\r\n0\r\n\r\n").replace("200 OK", "204 X")
    yield "interim response with a length", "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\n" + SIGNED + "Content-Length: 4\r\n\r\nbody"


class BrokenOnce:
    """Behaviour of servers that write `text` as the first response to each request, and then end the connection; further ones to
    the same id are good."""

    def __init__(self, text):
        self.text, self.broken = text, set()

    def __call__(self, handler, body):
        request_id = handler.headers["Attempt-Id"]
        handler.record_execution()
        if request_id in self.broken:
            return handler.wfile.write(b"".join(complete_response(handler, body)))
        self.broken.add(request_id)
        handler.close_connection = True
        return handler.wfile.write(self.text.replace("ID", request_id).encode("latin-1"))


def await_refusals(fixture, request_ids, what):
    """Waits for the lines that say which responses were refused and why."""
    def logged(request_id):
        lines = [line for host in fixture.hosts for line in host.log_lines() if f" request={request_id} " in line]
        return any(" server=i-" in line and " reason=" in line and (" event=attempt-failed " in line or " event=response-refused " in line) for line in lines)

    wait_until(lambda: all(logged(request_id) for request_id in request_ids), f"{what}: the lines of the refusals")


def send_until_run(fixture, send):
    """Sends a request again while it is rejected as not run: after many failures servers may be avoided for a while."""
    for _ in range(NOT_RUN_RETRIES):
        response = send()
        if response.status != 503 or fixture.executions(response.request_id):
            break
        time.sleep(NOT_RUN_PAUSE_S)
    return response


def check_refused(fixture, name, text):
    fixture.set_behaviour(BrokenOnce(text))
    booking = send_until_run(fixture, lambda: Exchange(fixture.hosts[0].callers, "POST", "/book/1"))
    check(booking.check(fixture, name) == 1 and booking.status == 502, f"{name}: booking has status {booking.status}, body {booking.body!r}")
    read = send_until_run(fixture, lambda: Exchange(fixture.hosts[0].callers, "GET", "/look/1"))
    # After many failures no further server may be tried. What is passed on is the second response only.
    replaced = read.check(fixture, name) == 2 and read.status == 200 and read.body.startswith(b"i-") and "X-Filler" not in read.headers
    check(replaced or read.status == 502, f"{name}: read has status {read.status}, {read.headers}, body {read.body!r}")
    # One response after the other, as the number of log lines a second is limited.
    await_refusals(fixture, (booking.request_id, read.request_id), name)
    fixture.set_behaviour("good")
    return read.status


def check_all_refused(fixture, responses):
    """Says of all responses which are passed on, not of the first one only."""
    wrong, statuses = [], []
    for name, text in responses:
        try:
            statuses.append(check_refused(fixture, name, text))
        except (AssertionError, FleetError, http.client.HTTPException) as error:
            wrong.append(f"{name}: {error!r}")
    check(not wrong, "\n  " + "\n  ".join(wrong))
    check(200 in statuses, "no read was served by another server")


def responses_with_an_invalid_status_are_refused(fixture):
    check_all_refused(fixture, ((status, f"HTTP/1.1 {status} X\r\n{REQUEST_FIELDS}Content-Length: 4\r\n\r\nbody") for status in INVALID_STATUSES))


def responses_with_a_malformed_head_are_refused(fixture):
    check_all_refused(fixture, malformed_heads())


def responses_with_a_malformed_trailer_are_refused(fixture):
    check_all_refused(fixture, malformed_trailers())


def responses_with_ambiguous_framing_are_refused(fixture):
    check_all_refused(fixture, ambiguous_framings())


def responses_without_a_signature_or_id_are_refused(fixture):
    check_all_refused(fixture, {
        "no signature": "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nContent-Length: 4\r\n\r\nbody",
        "signature for one connection": SIGNED + "Connection: Response-Signature\r\nContent-Length: 4\r\n\r\nbody",
        "id for one connection": SIGNED + "Connection: close, attempt-id\r\nContent-Length: 4\r\n\r\nbody",
        "content coding": SIGNED + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
        "no id": "HTTP/1.1 200 OK\r\nResponse-Signature: s1\r\nContent-Length: 4\r\n\r\nbody",
        "status line in a field": SIGNED + "X-Filler: HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    }.items())


def sound_responses_are_passed_on(fixture):
    body = "whole body"
    framed = f"Content-Length: {len(body)}\r\n\r\n{body}"
    chunks = f"\r\n4;a=\"b c\"\r\n{body[:4]}\r\n{len(body) - 4:x}\r\n{body[4:]}\r\n0\r\n"
    responses = {
        "length": SIGNED + framed,
        "length twice": SIGNED + f"Content-Length: {len(body)}\r\n" + framed,
        "no reason": SIGNED.replace("200 OK", "200 ") + framed,
        "reason beyond ASCII": SIGNED.replace("200 OK", "200 \xe9t\xe9") + framed,
        "names in lower case": SIGNED.replace("Attempt-Id", "attempt-id") + framed.lower(),
        "tabs and blanks in values": SIGNED + "X-Filler:\ta \t b \t\r\n" + framed,
        "no blank before a value": SIGNED.replace(": ", ":") + framed,
        "value beyond ASCII": SIGNED + "X-Filler: \xe9\xff\r\n" + framed,
        "empty value": SIGNED + "X-Filler:\r\n" + framed,
        "all characters of names": SIGNED + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + framed,
        "ninety fields": SIGNED + "".join(f"X-Filler-{index}: 1\r\n" for index in range(90)) + framed,
        "chunks": CHUNKED + chunks + "\r\n",
        "chunks, coding in capitals": CHUNKED.replace("chunked", "Chunked") + chunks + "\r\n",
        "chunks and a trailer": CHUNKED + chunks + "X-Filler: 1\r\nX-Other: a:b\r\n\r\n",
        "end of the connection": SIGNED + "\r\n" + body,
        "end of the connection, HTTP/1.0": (SIGNED + "\r\n" + body).replace("HTTP/1.1", "HTTP/1.0"),
        "end of the connection, stated": SIGNED + "Connection: close\r\n\r\n" + body,
        "length, HTTP/1.0": (SIGNED + framed).replace("HTTP/1.1", "HTTP/1.0"),
        "after interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nX-Filler: 1\r\n\r\n" + SIGNED + framed,
        "failure": SIGNED.replace("200 OK", "599 X") + framed,
        "refusal by the server itself": SIGNED.replace("200 OK", "404 X") + framed,
    }
    for name, text in responses.items():
        for pieces in (1, len(text)):
            def respond(handler, _, text=text, pieces=pieces):
                handler.record_execution()
                handler.close_connection = True
                data = text.replace("ID", handler.headers["Attempt-Id"]).encode("latin-1")
                size = -(-len(data) // pieces)
                for start in range(0, len(data), size):
                    handler.wfile.write(data[start:start + size])

            fixture.set_behaviour(respond)
            booking = Exchange(fixture.hosts[0].callers, "POST", "/book/1")
            status = {"failure": 599, "refusal by the server itself": 404}.get(name, 200)
            check(booking.status == status and booking.body.decode().lower() == body.lower(), f"{name}, {pieces} pieces: status {booking.status}, body {booking.body!r}")
            check(len(fixture.executions(booking.request_id)) == 1, f"{name}: executions")
    fixture.set_behaviour("good")


def sound_responses_without_a_body_are_passed_on(fixture):
    for method, status, field in (("HEAD", 200, "Content-Length: 10"), ("HEAD", 200, "Transfer-Encoding: chunked"), ("POST", 204, "X-Filler: 1"),
                                  ("POST", 204, "Content-Length: 0"), ("GET", 304, "Content-Length: 10"), ("GET", 304, "Transfer-Encoding: chunked")):
        def respond(handler, _, status=status, field=field):
            handler.record_execution()
            handler.wfile.write(SIGNED.replace("200 OK", f"{status} X").replace("ID", handler.headers["Attempt-Id"]).encode() + f"{field}\r\n\r\n".encode())

        fixture.set_behaviour(respond)
        exchange = Exchange(fixture.hosts[0].callers, method, "/look/1")
        check(exchange.status == status and not exchange.body, f"{method} {status} {field}: status {exchange.status}, body {exchange.body!r}")
    fixture.set_behaviour("good")


class EarlyResponse:
    """Behaviour of servers that respond to a request without having read its body, and end the connection by `end`. Without
    `fields` this is the end of the response, too. Further requests of the same id get a good response."""

    before_body = True

    def __init__(self, end, fields=""):
        self.end, self.fields, self.ended = end, fields, set()

    def __call__(self, handler, body):
        request_id = handler.headers["Attempt-Id"]
        handler.record_execution()
        handler.close_connection = True
        if request_id in self.ended:
            with contextlib.suppress(OSError):
                handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
                handler.wfile.write(b"".join(complete_response(handler, body)))
            return
        self.ended.add(request_id)
        handler.wfile.write(f"{SIGNED}{self.fields}\r\nearly".replace("ID", request_id).encode())
        # Until the bytes have been read: a reset may discard what the receiver has not read.
        time.sleep(PAUSE_S * 10)
        self.end(handler)


def reset(handler):
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    handler.connection.close()


def close_without_reading(handler):
    # With unread data this resets the connection.
    handler.connection.close()


def end_and_read_on(handler):
    handler.connection.shutdown(socket.SHUT_WR)
    with contextlib.suppress(OSError):
        while handler.connection.recv(1 << 20):
            continue


def end_and_reset_later(handler):
    handler.connection.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE_S * 10)
    reset(handler)


def end_and_reset_at_once(handler):
    handler.connection.shutdown(socket.SHUT_WR)
    reset(handler)


@contextlib.contextmanager
def uploads(fixture):
    """Allows large bodies, and lets the servers take in little of them."""
    listeners = [backend.server.socket for backend in fixture.backends]
    before = [listener.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) for listener in listeners]
    for listener in listeners:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    fixture.publish(ROUTES, ACCOUNTS, UPLOAD_BYTES)
    upload = bytes(UPLOAD_BYTES)
    wait_until(lambda: send_request(fixture.hosts[0].callers, "POST", "/look/1", body=upload).status == 200, "large bodies to be accepted")
    try:
        yield upload
    finally:
        fixture.set_behaviour("good")
        for listener, size in zip(listeners, before):
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // 2)
        fixture.publish(ROUTES, ACCOUNTS)


def early_response_that_is_reset_is_refused(fixture):
    with uploads(fixture) as upload:
        for end in (reset, close_without_reading):
            seen = []
            for _ in range(RESETS):
                fixture.set_behaviour(EarlyResponse(end))
                response = send_until_run(fixture, lambda: send_request(fixture.hosts[0].callers, "POST", "/book/1", body=upload))
                seen.append((response.status, response.body))
                check(len(fixture.executions(response.request_id)) == 1, f"{end.__name__}: executions")
            check({status for status, _ in seen} == {502}, f"{end.__name__}: {sorted(set(seen))}")
            await_refusals(fixture, (response.request_id,), end.__name__)


def response_without_a_length_that_is_reset_is_refused(fixture):
    for _ in range(RESETS):
        fixture.set_behaviour(EarlyResponse(reset))
        response = send_until_run(fixture, lambda: send_request(fixture.hosts[0].callers, "POST", "/book/1"))
        check(response.status == 502 and len(fixture.executions(response.request_id)) == 1, f"status {response.status}, body {response.body!r}")
    await_refusals(fixture, (response.request_id,), "response without a length")
    fixture.set_behaviour("good")


def early_response_with_a_length_is_passed_on(fixture):
    """Whatever becomes of the upload and the connection behind it."""
    with uploads(fixture) as upload:
        for end in (reset, end_and_read_on):
            for _ in range(RESETS):
                fixture.set_behaviour(EarlyResponse(end, "Content-Length: 5\r\n"))
                response = send_until_run(fixture, lambda: send_request(fixture.hosts[0].callers, "POST", "/book/1", body=upload))
                check(response.status == 200 and response.body == b"early", f"{end.__name__}: status {response.status}, body {response.body!r}")


def early_response_that_is_reset_is_replaced_on_a_repeatable_route(fixture):
    with uploads(fixture) as upload:
        statuses = []
        for _ in range(RESETS):
            fixture.set_behaviour(EarlyResponse(reset))
            response = send_until_run(fixture, lambda: send_request(fixture.hosts[0].callers, "POST", "/look/1", body=upload))
            statuses.append(response.status)
            # After many failures no further server may be tried.
            check(response.status == 502 or (response.status == 200 and response.body.startswith(b"i-")), f"status {response.status}, body {response.body!r}")
        check(200 in statuses, f"no other server was tried: {statuses}")


def early_response_that_ends_with_its_connection_is_passed_on(fixture):
    with uploads(fixture) as upload:
        for end in (end_and_read_on, end_and_reset_later, end_and_reset_at_once):
            for _ in range(RESETS):
                fixture.set_behaviour(EarlyResponse(end))
                response = send_until_run(fixture, lambda: send_request(fixture.hosts[0].callers, "POST", "/book/1", body=upload))
                check(response.status == 200 and response.body == b"early", f"{end.__name__}: status {response.status}, body {response.body!r}")


STORE_FAULTS = {
    "invalid status": (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 000 OK\r\n"),
    "interim status": (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 100 OK\r\n"),
    "blank before a name": (b"\r\nContent-Length: ", b"\r\n X-Filler: 1\r\nContent-Length: "),
    "blank in a name": (b"\r\nContent-Length: ", b"\r\nX Filler: 1\r\nContent-Length: "),
    "control byte in a name": (b"\r\nContent-Length: ", b"\r\nX-\x01Filler: 1\r\nContent-Length: "),
    "other coding": (b"\r\nContent-Length: ", b"\r\nTransfer-Encoding: gzip\r\nContent-Length: "),
    "two lengths": (b"\r\nContent-Length: ", b"\r\nContent-Length: 3\r\nContent-Length: "),
    "status line in a field": (b"\r\nContent-Length: ", b"\r\nX-Filler: HTTP/1.1 200 OK\r\nContent-Length: "),
}


def refusals_of_the_store(host):
    return sum("event=response-refused " in line and " server=" in line and " request=" in line and " reason=" in line for line in host.log_lines())


def broken_responses_of_the_store_are_refused(fixture):
    """No configuration is taken from them; it is read once they are sound again."""
    handler = fixture.store.server.RequestHandlerClass
    flush = handler.flush_headers
    host = fixture.hosts[0]
    accepted = []
    for name, (sound, broken) in STORE_FAULTS.items():
        def flush_broken(self, sound=sound, broken=broken):
            self._headers_buffer = [b"".join(self._headers_buffer).replace(sound, broken)]
            flush(self)

        activated = f"event=configuration-activated version={fixture.version + 3} "
        refused = refusals_of_the_store(host)
        handler.flush_headers = flush_broken
        try:
            fixture.publish(ROUTES, ACCOUNTS)
            wait_until(lambda: refusals_of_the_store(host) >= refused + 3 or any(activated in line for line in host.log_lines()), f"{name}: refusals")
            if any(activated in line for line in host.log_lines()):
                accepted.append(name)
        except FleetError as error:
            accepted.append(f"{name}: {error}")
        finally:
            handler.flush_headers = flush
        wait_until(lambda: any(activated in line for line in host.log_lines()), f"{name}: the new configuration")
    check(not accepted, f"accepted: {accepted}")


CASES = [
    sound_responses_are_passed_on,
    sound_responses_without_a_body_are_passed_on,
    responses_with_an_invalid_status_are_refused,
    responses_with_a_malformed_head_are_refused,
    responses_with_a_malformed_trailer_are_refused,
    responses_with_ambiguous_framing_are_refused,
    responses_without_a_signature_or_id_are_refused,
    early_response_that_is_reset_is_refused,
    early_response_that_is_reset_is_replaced_on_a_repeatable_route,
    response_without_a_length_that_is_reset_is_refused,
    early_response_with_a_length_is_passed_on,
    early_response_that_ends_with_its_connection_is_passed_on,
    broken_responses_of_the_store_are_refused,
]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
