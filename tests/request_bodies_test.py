#!/usr/bin/env python3
"""Gateway hosts with callers whose request bodies together exceed the memory of a host."""

import os
import select
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import ACCOUNTS, ROUTES, Caller, check, run_cases, send_request
from fleet.platform_standins import LARGE_BYTES, host_and_port
from fleet.processes import wait_until

BODY_BYTES = 1 << 20
# Together more than the smallest hosts have.
CALLERS = 240
HOST_MEMORY_BYTES = 160 << 20
# Together more than a host holds of bodies.
REFUSED_UPLOADS = 24
RESPONSE_S = 1
SMALL_BYTES = 2000
# Longer than a host reads on after its last response, in steps shorter than the pause that ends this earlier.
TRICKLE_S = 13
TRICKLE_INTERVAL_S = 0.3
# A caller may read the response only after it has sent its body.
SENT_BEFORE_END = 10


def start_upload(endpoint, number, body, path="/book/upload", key="key-n", headers="", length=BODY_BYTES):
    connection = socket.create_connection(host_and_port(endpoint), timeout=10)
    head = f"POST {path} HTTP/1.1\r\nHost: clubs.example\r\nAttempt-Id: upload-{number}\r\nDeadline-Ms: 20000\r\nAuthorization: Token {key}\r\n{headers}Content-Length: {length}\r\n\r\n"
    try:
        connection.sendall(head.encode() + body)
    except OSError:
        # Refused before all of it was sent.
        pass
    return connection


def peak_bytes(host):
    with open(f"/proc/{host.process.child.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) << 10 for line in file if line.startswith("VmHWM:"))


def received_status(connection, number):
    """Returns the status of a response that has come, or what else became of the connection."""
    if not select.select([connection], [], [], 0)[0]:
        return None
    try:
        head = connection.recv(4096).decode()
    except OSError:
        return "reset"
    if not head.startswith("HTTP/1.1 "):
        return "closed"
    check(f"Attempt-Id: upload-{number}\r\n" in head and "Retry-After: " in head, f"upload {number}: {head}")
    return int(head.split()[1])


def uploads_beyond_the_memory_are_refused_as_not_run(fixture):
    host = fixture.hosts[0]
    uploads = [start_upload(host.callers, number, bytes(BODY_BYTES - 1)) for number in range(CALLERS)]
    time.sleep(1)
    statuses = [received_status(upload, number) for number, upload in enumerate(uploads)]
    counts = {status: statuses.count(status) for status in set(statuses)}
    print(f"peak {peak_bytes(host) >> 20} MB, {counts}", flush=True)
    check(host.process.alive() and peak_bytes(host) < HOST_MEMORY_BYTES, f"peak {peak_bytes(host) >> 20} MB")
    check(counts.get(503, 0) > 0 and set(counts) <= {503, None}, f"{counts}")
    # Uploads that have not ended hold no slot of a server.
    response = send_request(host.callers, "POST", "/book/1", body=b"1234")
    check(response.status == 200 and response.body.endswith(b"1234"), f"status {response.status}")
    for number, (upload, status) in enumerate(zip(uploads, statuses)):
        if status is None:
            upload.sendall(b"x")
            upload.settimeout(10)
            check(upload.recv(64).startswith(b"HTTP/1.1 200"), f"upload {number} was taken and not served")
        else:
            check(not fixture.executions(f"upload-{number}"), f"upload {number} was refused and has run")
        upload.close()


def memory_of_ended_uploads_is_available_again(fixture):
    host = fixture.hosts[0]
    for number in range(40):
        response = send_request(host.callers, "POST", "/book/1", body=bytes(BODY_BYTES))
        check(response.status == 200, f"upload {number} after the others: status {response.status}")
    check(peak_bytes(host) < HOST_MEMORY_BYTES, f"peak {peak_bytes(host) >> 20} MB")


def interim_response_is_not_written_into_another_response(fixture):
    fixture.set_behaviour("large")
    with Caller(fixture.hosts[0].callers) as caller:
        first = caller.send("GET", "/look/1")
        wait_until(lambda: fixture.executions(first), "the download to begin")
        # Until the response fills what the network takes.
        time.sleep(0.3)
        second = caller.send("POST", "/look/2", body=b"x" * 300, headers=["Expect: 100-continue"])
        time.sleep(0.3)
        response = caller.receive()
        check(response.headers["Attempt-Id"] == first and response.body == b"x" * LARGE_BYTES, "the download holds other bytes")
        response = caller.receive()
        while response.status == 100:
            response = caller.receive()
        check(response.status == 200 and response.headers["Attempt-Id"] == second, f"status {response.status} for {response.headers.get('Attempt-Id')}")
    fixture.set_behaviour("good")


def caller_that_waits_for_an_interim_response_gets_it_after_earlier_responses(fixture):
    fixture.set_behaviour("slow")
    with Caller(fixture.hosts[0].callers) as caller:
        first = caller.send("GET", "/look/1")
        lines = ["POST /look/2 HTTP/1.1", "Host: clubs.example", "Attempt-Id: waiting", "Authorization: Token key-n", "Content-Length: 4", "Expect: 100-continue"]
        caller.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        response = caller.receive()
        check(response.status == 200 and response.headers["Attempt-Id"] == first, f"status {response.status} for the first request")
        check(caller.receive().status == 100, "no interim response")
        caller.socket.sendall(b"1234")
        response = caller.receive()
        check(response.status == 200 and response.body.endswith(b"1234"), f"status {response.status} for the second request")
    fixture.set_behaviour("good")


def receive_status(connection, timeout_s):
    """Returns the status of the next response, None if there is none in time, or 0 if the connection has ended."""
    connection.settimeout(timeout_s)
    try:
        line = connection.recv(4096).decode().split("\r\n")[0]
    except TimeoutError:
        return None
    return int(line.split()[1]) if line else 0


def check_refused_before_the_end(fixture, path, key, expected):
    """Starts more uploads at once than the host has memory for, and reads the responses before their bodies end."""
    host = fixture.hosts[0]
    uploads = [None] * REFUSED_UPLOADS

    def upload(number):
        uploads[number] = start_upload(host.callers, f"refused-{number}", bytes(BODY_BYTES - 1), path, key)

    threads = [threading.Thread(target=upload, args=(number,)) for number in range(REFUSED_UPLOADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ends_at = time.monotonic() + RESPONSE_S
    statuses = [receive_status(connection, max(ends_at - time.monotonic(), 0.01)) for connection in uploads]
    for connection in uploads:
        connection.close()
    counts = {status: statuses.count(status) for status in set(statuses)}
    check(counts == {expected: REFUSED_UPLOADS}, f"{counts}")


def uploads_with_an_unknown_key_are_refused_before_their_end(fixture):
    check_refused_before_the_end(fixture, "/book/upload", "key-unknown", 401)


def uploads_on_an_unknown_route_are_refused_before_their_end(fixture):
    check_refused_before_the_end(fixture, "/nowhere/upload", "key-n", 404)


def uploads_with_a_key_are_served_beside_those_without(fixture):
    host = fixture.hosts[0]
    unknown = [start_upload(host.callers, f"unknown-{number}", bytes(BODY_BYTES - 1), key="key-unknown") for number in range(REFUSED_UPLOADS)]
    known = [start_upload(host.callers, f"known-{number}", bytes(BODY_BYTES - 1)) for number in range(4)]
    for connection in known:
        connection.sendall(b"x")
    statuses = [receive_status(connection, 5) for connection in known]
    check(statuses == [200] * len(known), f"with a key: {statuses}")
    statuses = [receive_status(connection, RESPONSE_S) for connection in unknown]
    check(statuses == [401] * len(unknown), f"without: {statuses}")
    for connection in known + unknown:
        connection.close()


def refused_caller_that_waits_for_an_interim_response_gets_none(fixture):
    connection = start_upload(fixture.hosts[0].callers, "expecting", b"", key="key-unknown", headers="Expect: 100-continue\r\n")
    status = receive_status(connection, RESPONSE_S)
    check(status == 401, f"status {status}")
    check(receive_status(connection, RESPONSE_S) == 0, "the connection was kept, though its caller may leave the body out")
    connection.close()


def refused_upload_gets_its_response_after_earlier_ones(fixture):
    fixture.set_behaviour("slow")
    with Caller(fixture.hosts[0].callers) as caller:
        first = caller.send("GET", "/look/1")
        head = f"POST /book/1 HTTP/1.1\r\nHost: clubs.example\r\nAttempt-Id: behind\r\nAuthorization: Token key-unknown\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        caller.socket.sendall(head.encode() + bytes(BODY_BYTES // 2))
        response = caller.receive()
        check(response.status == 200 and response.headers["Attempt-Id"] == first, f"first status {response.status}")
        response = caller.receive()
        check(response.status == 401 and response.headers["Connection"] == "close", f"second status {response.status}: {response.headers}")
        check(caller.receive() is None, "the connection was kept")
    fixture.set_behaviour("good")


def small_body_of_a_refused_request_keeps_the_connection(fixture):
    body = bytes(SMALL_BYTES)
    for parts in ([body], [b"", body], [body[:1], body[1:-1], body[-1:]]):
        for path, key, expected in (("/book/1", "key-unknown", 401), ("/nowhere/1", "key-n", 404)):
            connection = start_upload(fixture.hosts[0].callers, "small", parts[0], path, key, length=SMALL_BYTES)
            for part in parts[1:]:
                time.sleep(0.02)
                connection.sendall(part)
            status = receive_status(connection, RESPONSE_S)
            check(status == expected, f"status {status} for {path}")
            connection.sendall(b"GET /look/1 HTTP/1.1\r\nHost: clubs.example\r\nAttempt-Id: behind-small\r\nAuthorization: Token key-n\r\n\r\n")
            status = receive_status(connection, RESPONSE_S)
            check(status == 200, f"status {status} behind {path} in {len(parts)} parts")
            connection.close()


def key_that_is_withdrawn_during_an_upload_is_refused(fixture):
    host = fixture.hosts[0]
    connection = start_upload(host.callers, "withdrawn", bytes(BODY_BYTES - 1), key="key-s")
    fixture.publish(ROUTES, ACCOUNTS[:1])
    wait_until(lambda: send_request(host.callers, "GET", "/look/1", key="key-s").status == 401, "the key to be withdrawn")
    connection.sendall(b"x")
    status = receive_status(connection, RESPONSE_S)
    connection.close()
    fixture.publish(ROUTES, ACCOUNTS)
    check(status == 401, f"status {status}")
    check(not fixture.executions("upload-withdrawn"), "the upload was passed on")


def refused_upload_that_goes_on_is_ended(fixture):
    connection = start_upload(fixture.hosts[0].callers, "trickling", b"x", key="key-unknown")
    check(receive_status(connection, RESPONSE_S) == 401, "not refused")
    sent, ends_at = 0, time.monotonic() + TRICKLE_S
    try:
        while time.monotonic() < ends_at:
            connection.sendall(b"x")
            sent += 1
            time.sleep(TRICKLE_INTERVAL_S)
    except OSError:
        check(sent > SENT_BEFORE_END, f"ended after {sent} bytes")
        return
    finally:
        connection.close()
    check(False, f"still read after {TRICKLE_S} s")


def trace_request_with_a_body_is_malformed(fixture):
    response = send_request(fixture.hosts[0].callers, "TRACE", "/look/1", body=b"1234")
    check(response.status == 400, f"status {response.status}")
    check(not fixture.executions(response.request_id), "the request was passed on")


CASES = [
    refused_upload_that_goes_on_is_ended,
    trace_request_with_a_body_is_malformed,
    uploads_with_an_unknown_key_are_refused_before_their_end,
    uploads_on_an_unknown_route_are_refused_before_their_end,
    uploads_with_a_key_are_served_beside_those_without,
    refused_caller_that_waits_for_an_interim_response_gets_none,
    refused_upload_gets_its_response_after_earlier_ones,
    small_body_of_a_refused_request_keeps_the_connection,
    key_that_is_withdrawn_during_an_upload_is_refused,
    interim_response_is_not_written_into_another_response,
    caller_that_waits_for_an_interim_response_gets_it_after_earlier_responses,
    uploads_beyond_the_memory_are_refused_as_not_run,
    memory_of_ended_uploads_is_available_again,
]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
