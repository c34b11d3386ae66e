#!/usr/bin/env python3
"""Gateway hosts with callers whose request bodies together exceed the memory of a host."""

import os
import select
import socket
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import Caller, check, run_cases, send_request
from fleet.platform_standins import LARGE_BYTES, host_and_port
from fleet.processes import wait_until

BODY_BYTES = 1 << 20
# Together more than the smallest hosts have.
CALLERS = 240
HOST_MEMORY_BYTES = 160 << 20


def start_upload(endpoint, number, body):
    connection = socket.create_connection(host_and_port(endpoint), timeout=10)
    head = f"POST /book/upload HTTP/1.1\r\nHost: clubs.example\r\nAttempt-Id: upload-{number}\r\nDeadline-Ms: 20000\r\nAuthorization: Token key-n\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
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


CASES = [
    interim_response_is_not_written_into_another_response,
    caller_that_waits_for_an_interim_response_gets_it_after_earlier_responses,
    uploads_beyond_the_memory_are_refused_as_not_run,
    memory_of_ended_uploads_is_available_again,
]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
