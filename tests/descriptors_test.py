#!/usr/bin/env python3
"""Gateway hosts whose file descriptors run short."""

import contextlib
import os
import resource
import socket
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import ACCOUNTS, BUILD, ROUTES, Caller, check, run_cases, send_request
from fleet.platform_standins import Backend, Gateway, host_and_port
from fleet.processes import wait_until

DESCRIPTORS = 128
IDLE_CALLERS = 300
PIPELINED = 16
KEPT_INTERVAL_S = 0.2
SHORTAGE_S = 1.0
# The host gives idle callers some time for their first request before it closes their connections.
NEW_CALLER_S = 8


@contextlib.contextmanager
def running_host(fixture, name, descriptors=DESCRIPTORS):
    host = Gateway(name, "a", fixture.store, fixture.directory, BUILD, descriptors=descriptors)
    try:
        host.await_ready()
        yield host
    finally:
        if host.process.alive():
            host.process.kill()


def open_descriptors(host):
    return len(os.listdir(f"/proc/{host.process.child.pid}/fd"))


def lines_of(host, event):
    return [line for line in host.log_lines() if f"event={event} " in line]


def connect_idly(host, count):
    return [socket.create_connection(host_and_port(host.callers), timeout=10) for _ in range(count)]


def requests_among_idle_callers_are_answered(fixture):
    with running_host(fixture, "crowded") as host, Caller(host.callers) as kept:
        statuses = []

        def request_on_kept_connection():
            kept.send("POST", "/book/1", body=b"clock")
            response = kept.receive()
            statuses.append(response and response.status)

        request_on_kept_connection()
        idle = connect_idly(host, IDLE_CALLERS)
        try:
            while len(statuses) < 10:
                time.sleep(KEPT_INTERVAL_S)
                request_on_kept_connection()
            check(set(statuses) == {200}, f"on the connection from before: {statuses}")
            started = time.monotonic()
            response = send_request(host.callers, "POST", "/book/1", body=b"clock", deadline_ms=NEW_CALLER_S * 1000)
            took = time.monotonic() - started
            check(response.status == 200 and took < NEW_CALLER_S, f"on a new connection: {response.status} after {took:.1f} s")
            check(host.ready(), "not ready")
            check(open_descriptors(host) < DESCRIPTORS, f"{open_descriptors(host)} descriptors")
            check(not lines_of(host, "accept-failed"), "no descriptor left for a caller")
            check(1 <= len(lines_of(host, "caller-connections-limited")) <= 3, "lines on the limit")
        finally:
            for each in idle:
                each.close()
        # The host still follows the store.
        fixture.publish(ROUTES + [("/late/", "idempotent", "desk", 3, 3, False)], ACCOUNTS)
        wait_until(lambda: send_request(host.callers, "GET", "/late/1").status == 200, "the new route")


def pipelined_requests_leave_descriptors_to_the_host(fixture):
    """Every caller that may connect has as many requests under way as it may pipeline; the servers do not answer."""
    wide = Backend(fixture.store, "i-wide", "archive", "a", slots=600)
    wide.hanging_paths = {"/shelf/hang"}
    fixture.publish(ROUTES + [("/shelf/", "idempotent", "archive", 3, 1, False)], ACCOUNTS)
    with running_host(fixture, "pipelined") as host:
        callers = []
        try:
            for _ in range(40):
                callers.append(Caller(host.callers))
                for _ in range(PIPELINED):
                    callers[-1].send("GET", "/shelf/hang", deadline_ms=2500)
            highest = 0
            ends_at = time.monotonic() + SHORTAGE_S
            while time.monotonic() < ends_at:
                highest = max(highest, open_descriptors(host))
                time.sleep(0.02)
            check(highest < DESCRIPTORS - 10, f"{highest} descriptors")
            check(host.ready(), "not ready")
        finally:
            for caller in callers:
                caller.socket.close()
            wide.leave()


def idle_connections_to_servers_make_room_for_new_ones(fixture):
    servers = [Backend(fixture.store, f"i-shelf-{index}", "archive", "a", slots=50) for index in range(8)]
    for server in servers:
        server.slow_paths = {"/shelf/slow": 0.5}
    for backend in fixture.backends:
        backend.slow_paths = {"/look/slow": 0.5}
    fixture.publish(ROUTES + [("/shelf/", "idempotent", "archive", 3, 1, False)], ACCOUNTS)
    with running_host(fixture, "many-servers") as host, contextlib.ExitStack() as stack:
        callers = [stack.enter_context(Caller(host.callers)) for _ in range(13)]
        # Nearly as many as the host may have to all servers, and then some to other servers.
        for path, count in (("/shelf/slow", 3), ("/look/slow", 1)):
            for caller in callers:
                for _ in range(count):
                    caller.send("GET", path)
            statuses = [caller.receive().status for caller in callers for _ in range(count)]
            check(set(statuses) == {200}, f"{path}: {statuses}")
        check(open_descriptors(host) < DESCRIPTORS - 10, f"{open_descriptors(host)} descriptors")
    for server in servers:
        server.leave()
    for backend in fixture.backends:
        backend.slow_paths = {}


def connection_that_fails_for_lack_of_descriptors_is_not_held_against_the_server(fixture):
    with running_host(fixture, "short", descriptors=512) as host, Caller(host.callers) as caller:
        pid = host.process.child.pid
        hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)[1]
        # Shows that the connection has been accepted, and opens none to a server.
        caller.send("GET", "/nowhere/1")
        check(caller.receive().status == 404, "status before the lack")
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, hard))
        try:
            for _ in range(5):
                caller.send("POST", "/book/1", body=b"clock", deadline_ms=400)
                response = caller.receive()
                check(response and response.status == 503 and "Retry-After" in response.headers, f"without descriptors: {response and response.status}")
        finally:
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (512, hard))
        caller.send("POST", "/book/1", body=b"clock")
        response = caller.receive()
        check(response and response.status == 200, f"with descriptors again: {response and response.status}")


def host_that_could_not_accept_logs_it_a_bounded_number_of_times_and_goes_on(fixture):
    with running_host(fixture, "refusing", descriptors=512) as host:
        pid = host.process.child.pid
        hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, hard))
        try:
            with Caller(host.callers) as caller:
                caller.send("POST", "/book/1", body=b"clock", deadline_ms=5000)
                time.sleep(SHORTAGE_S)
                resource.prlimit(pid, resource.RLIMIT_NOFILE, (512, hard))
                response = caller.receive()
            check(response and response.status == 200, f"status {response and response.status}")
        finally:
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (512, hard))
        wait_until(lambda: lines_of(host, "accept-failed"), "the event")
        check(len(lines_of(host, "accept-failed")) == 1, f"{len(lines_of(host, 'accept-failed'))} lines")


CASES = [requests_among_idle_callers_are_answered, pipelined_requests_leave_descriptors_to_the_host, idle_connections_to_servers_make_room_for_new_ones,
         connection_that_fails_for_lack_of_descriptors_is_not_held_against_the_server,
         host_that_could_not_accept_logs_it_a_bounded_number_of_times_and_goes_on]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
