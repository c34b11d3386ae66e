#!/usr/bin/env python3
"""Planned stops of gateway hosts while callers keep their connections and pipeline requests."""

import itertools
import os
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import ACCOUNTS, BUILD, ROUTES, Caller, check, run_cases, send_request
from fleet.platform_standins import Gateway
from fleet.processes import wait_until

# Its requests may outlast the grace period of a planned stop.
LONG_ROUTES = [("/long/", "idempotent", "desk", 20, 1, False), ("/order/", "non_idempotent", "desk", 20, 1, False)]
LONG_MS = 20000
# Callers are sent to a stopping host until the balancer has removed it; the host still accepts connections after that.
BALANCER_REACTION_S = 2.3
# Bookings of a stop in calm: one each CALL_INTERVAL_S, from before the stop until the host has exited.
SLOW_S = 0.8
CALL_INTERVAL_S = 0.03
CALLS_BEFORE_STOP = 20
CALLS_DURING_S = 12
# Short, so that some connections come in the very moment of the exit.
IDLE_CALL_INTERVAL_S = 0.004
IDLE_STOPS = 3
# Kept connections, more than a host handles in one turn of its event loop.
KEPT_CONNECTIONS = 300
# A host is frozen from this long before it would close idle connections.
FREEZE_S = 0.4
# Longer than from one look of a stopping host at its connections to the next.
CHECK_INTERVAL_S = 0.15


class StoppingHost:
    """A host of its own that a case stops, with routes whose requests may outlast the stop."""

    count = 0

    def __init__(self, fixture):
        self.fixture = fixture
        fixture.publish(ROUTES + LONG_ROUTES, ACCOUNTS)
        # Hosts of one name share a log.
        StoppingHost.count += 1
        self.host = Gateway(f"stopping-{StoppingHost.count}", "a", fixture.store, fixture.directory, BUILD)
        self.host.await_ready()
        for backend in fixture.backends:
            backend.hanging_paths = {"/long/hang", "/order/hang"}

    def __enter__(self):
        return self.host

    def __exit__(self, *_):
        if self.host.process.alive():
            self.host.process.kill()
        for backend in self.fixture.backends:
            backend.hanging_paths = set()
            backend.slow_paths = {}


def executed(fixture, request_id):
    return bool(fixture.executions(request_id))


def await_execution(fixture, request_id):
    wait_until(lambda: executed(fixture, request_id), f"{request_id} to reach a server")


def finished_response_behind_an_unfinished_one_is_sent_before_the_stop_ends(fixture):
    with StoppingHost(fixture) as host, Caller(host.callers) as caller:
        first = caller.send("GET", "/long/hang", deadline_ms=LONG_MS)
        await_execution(fixture, first)
        second = caller.send("GET", "/long/1", deadline_ms=LONG_MS)
        await_execution(fixture, second)
        host.process.terminate()
        responses = [caller.receive(), caller.receive()]
        check(responses[0] and responses[0].status == 504, f"unfinished request: {responses[0] and responses[0].status}")
        check(responses[1] and responses[1].status == 200 and responses[1].headers["Attempt-Id"] == second, f"finished request: {responses[1] and responses[1].status}")
        check(responses[1].headers.get("Connection") == "close", "the last response does not close the connection")
        check(host.process.wait() == 0, "exit code")


def unfinished_booking_is_answered_before_the_stop_ends(fixture):
    with StoppingHost(fixture) as host, Caller(host.callers) as caller:
        request_id = caller.send("POST", "/order/hang", body=b"clock", deadline_ms=LONG_MS)
        await_execution(fixture, request_id)
        host.process.terminate()
        response = caller.receive()
        # The server may still run the booking, so that it must not be reported as not run.
        check(response and response.status == 504, f"status {response and response.status}")
        check(host.process.wait() == 0, "exit code")
    check(len(fixture.executions(request_id)) == 1, "number of executions")


def request_pipelined_after_the_start_of_a_stop_is_not_passed_on(fixture):
    with StoppingHost(fixture) as host, Caller(host.callers) as caller:
        fixture.set_behaviour("slower")
        first = caller.send("GET", "/long/1", deadline_ms=LONG_MS)
        await_execution(fixture, first)
        host.process.terminate()
        wait_until(lambda: any("event=host-draining" in line for line in host.log_lines()), "the stop to begin")
        second = caller.send("GET", "/long/2", deadline_ms=LONG_MS)
        response = caller.receive()
        check(response and response.status == 200 and response.headers["Attempt-Id"] == first, f"first request: {response and response.status}")
        check(response.headers.get("Connection") == "close", "the connection is not closed after the first request")
        check(caller.receive() is None, "the second request got a response after the closing one")
        check(host.process.wait() == 0, "exit code")
        check(not executed(fixture, second), "the second request was passed on")
    fixture.set_behaviour("good")


def request_that_may_outlast_a_stop_is_refused_late_in_it(fixture):
    with StoppingHost(fixture) as host, Caller(host.callers) as occupant:
        # Keeps the host from ending early.
        await_execution(fixture, occupant.send("GET", "/long/hang", deadline_ms=LONG_MS))
        host.process.terminate()
        time.sleep(BALANCER_REACTION_S + 0.2)
        outlasting = send_request(host.callers, "POST", "/order/hang", body=b"clock", deadline_ms=LONG_MS)
        check(outlasting.status == 503 and "Retry-After" in outlasting.headers, f"status {outlasting.status}")
        check(not executed(fixture, outlasting.request_id), "a refused request ran")
        in_time = send_request(host.callers, "POST", "/book/1", body=b"clock", deadline_ms=1500)
        check(in_time.status == 200, f"status {in_time.status} for a request whose deadline lies within the stop")
        check(host.process.wait() == 0, "exit code")


def upload_that_may_outlast_a_stop_is_refused_before_its_end(fixture):
    with StoppingHost(fixture) as host, Caller(host.callers) as occupant:
        # Keeps the host from ending early.
        await_execution(fixture, occupant.send("GET", "/long/hang", deadline_ms=LONG_MS))
        host.process.terminate()
        time.sleep(BALANCER_REACTION_S + 0.2)
        with Caller(host.callers) as caller:
            caller.socket.settimeout(1)
            request_id = caller.send("POST", "/order/1", deadline_ms=LONG_MS, headers=["Content-Length: 100000"])
            response = caller.receive()
            check(response.status == 503 and response.headers.get("Connection") == "close", f"status {response.status}: {response.headers}")
            check(caller.receive() is None, "the connection was kept")
        check(host.process.wait() == 0, "exit code")
        check(not executed(fixture, request_id), "a refused request ran")


def request_on_a_connection_accepted_late_in_a_stop_is_answered(fixture):
    with StoppingHost(fixture) as host, Caller(host.callers) as occupant:
        # Keeps the host from ending early.
        await_execution(fixture, occupant.send("GET", "/long/hang", deadline_ms=LONG_MS))
        host.process.terminate()
        time.sleep(BALANCER_REACTION_S + 0.2)
        for _ in range(3):
            with Caller(host.callers) as caller:
                # Longer than from one look at idle connections to the next.
                time.sleep(0.15)
                caller.send("POST", "/book/1", body=b"clock", deadline_ms=1000)
                response = caller.receive()
            check(response and response.status == 200, f"status {response and response.status}")
        check(host.process.wait() == 0, "exit code")


def booking_of_a_half_closed_connection_is_answered_during_a_stop(fixture):
    with StoppingHost(fixture) as host, Caller(host.callers) as caller:
        for backend in fixture.backends:
            backend.slow_paths = {"/order/slow": BALANCER_REACTION_S + 1}
        request_id = caller.send("POST", "/order/slow", body=b"clock", deadline_ms=LONG_MS)
        caller.socket.shutdown(socket.SHUT_WR)
        await_execution(fixture, request_id)
        host.process.terminate()
        response = caller.receive()
        check(response and response.status == 200, f"status {response and response.status}")
        check(host.process.wait() == 0, "exit code")


def call_during_stop(fixture, host, path, deadlines, interval_s=CALL_INTERVAL_S):
    """Sends a booking each `interval_s` on a connection of its own, from before the stop until the host has exited. Returns
    (time of sending, request id, status) of each; without an id the host did not take the connection, without a status it gave
    no response."""
    results = []

    def book(deadline_ms):
        sent_at, request_id, status = time.monotonic(), None, None
        try:
            with Caller(host.callers) as caller:
                request_id = caller.send("POST", path, body=b"clock", deadline_ms=deadline_ms)
                response = caller.receive()
                status = response and response.status
        except OSError:
            """The host has stopped listening, or it reset the connection."""
        results.append((sent_at, request_id, status))

    callers = []
    for index in range(CALLS_BEFORE_STOP + int(CALLS_DURING_S / interval_s)):
        if index == CALLS_BEFORE_STOP:
            host.process.terminate()
        callers.append(threading.Thread(target=book, args=(next(deadlines),)))
        callers[-1].start()
        time.sleep(interval_s)
        if not host.process.alive():
            break
    check(host.process.wait() == 0, "exit code")
    ended_at = time.monotonic()
    for caller in callers:
        caller.join()
    statuses = [status for _, request_id, status in results if request_id]
    print(f"answers: { {status: statuses.count(status) for status in set(statuses)} }", flush=True)
    for sent_at, request_id, status in results:
        executions = len(fixture.executions(request_id)) if request_id else 0
        told = f"{request_id} sent {ended_at - sent_at:.2f} s before the end: status {status}, {executions} executions"
        check(executions <= 1 and (executions == 0 or status != 503), told)
        check(status is not None or not request_id, told)
    return statuses


def bookings_that_come_during_the_whole_stop_are_answered(fixture):
    """Callers that come late in the grace period, on new connections, get their answer or a refusal before the host exits."""
    with StoppingHost(fixture) as host, Caller(host.callers) as occupant:
        for backend in fixture.backends:
            backend.slow_paths = {"/order/slow": SLOW_S}
        # Keeps the host from ending early.
        await_execution(fixture, occupant.send("GET", "/long/hang", deadline_ms=LONG_MS))
        statuses = call_during_stop(fixture, host, "/order/slow", itertools.cycle((900, 1500, 3000, LONG_MS)))
    check(statuses.count(200) > CALLS_BEFORE_STOP and statuses.count(503) > 0, f"{statuses}")


def connections_that_come_while_an_idle_host_exits_are_answered(fixture):
    """A host without open connections exits early; the kernel takes connections for it until it stops listening."""
    for _ in range(IDLE_STOPS):
        with StoppingHost(fixture) as host:
            statuses = call_during_stop(fixture, host, "/order/1", itertools.repeat(LONG_MS), IDLE_CALL_INTERVAL_S)
        check(statuses.count(200) > CALLS_BEFORE_STOP, f"{statuses}")


def request_that_arrives_before_a_stopping_host_closes_its_connection_is_answered(fixture):
    """A host that was frozen finds at once that idle connections are due to be closed and that requests have arrived on them."""
    with StoppingHost(fixture) as host:
        callers = [Caller(host.callers) for _ in range(KEPT_CONNECTIONS)]
        try:
            for caller in callers:
                caller.send("GET", "/long/1")
                check(caller.receive().status == 200, "a request before the stop")
            host.process.terminate()
            time.sleep(BALANCER_REACTION_S - FREEZE_S)
            host.process.freeze()
            # The host's next look at its connections is due before the requests arrive.
            time.sleep(CHECK_INTERVAL_S)
            for caller in callers:
                caller.send("POST", "/order/1", body=b"clock", deadline_ms=2000)
            time.sleep(2 * FREEZE_S)
            host.process.thaw()
            unanswered = sum(not caller.first_byte() for caller in callers)
        finally:
            for caller in callers:
                caller.__exit__()
        check(host.process.wait() == 0, "exit code")
    check(unanswered == 0, f"{unanswered} of {len(callers)} without an answer")


def signals_until_the_exit_of_a_host_leave_its_exit_code(fixture):
    for _ in range(IDLE_STOPS):
        with StoppingHost(fixture) as host:
            while host.process.alive():
                host.process.terminate()
            check(host.process.wait() == 0, f"exit code {host.process.wait()}")


CASES = [finished_response_behind_an_unfinished_one_is_sent_before_the_stop_ends, unfinished_booking_is_answered_before_the_stop_ends,
         request_pipelined_after_the_start_of_a_stop_is_not_passed_on, request_that_may_outlast_a_stop_is_refused_late_in_it, upload_that_may_outlast_a_stop_is_refused_before_its_end, request_on_a_connection_accepted_late_in_a_stop_is_answered,
         booking_of_a_half_closed_connection_is_answered_during_a_stop, bookings_that_come_during_the_whole_stop_are_answered,
         connections_that_come_while_an_idle_host_exits_are_answered,
         request_that_arrives_before_a_stopping_host_closes_its_connection_is_answered,
         signals_until_the_exit_of_a_host_leave_its_exit_code]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
