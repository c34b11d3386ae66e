#!/usr/bin/env python3
"""Planned stops of gateway hosts while callers keep their connections and pipeline requests."""

import itertools
import os
import select
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
# Kept connections that are used once around the time at which a stopping host closes the idle ones.
KEPT_CONNECTIONS = 1500
KEPT_USE_S = (BALANCER_REACTION_S - 0.1, BALANCER_REACTION_S + 0.3)
# A close that a caller sees within this time of its request may have been sent before the request arrived.
CROSSING_S = 0.003
ANSWER_S = 4


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


def use_kept_connections(host, callers):
    """Stops the host, sends a request on each connection that is still open at a time of its own within KEPT_USE_S, and returns
    (request id, seconds until the first byte or the end, whether a byte came) of each."""
    times = [KEPT_USE_S[0] + (KEPT_USE_S[1] - KEPT_USE_S[0]) * index / len(callers) for index in range(len(callers))]
    poll, sent, results, closed = select.epoll(), {}, [], set()
    by_descriptor = {caller.socket.fileno(): caller for caller in callers}
    for descriptor in by_descriptor:
        poll.register(descriptor, select.EPOLLIN)
    host.process.terminate()
    started, upcoming = time.monotonic(), 0
    while upcoming < len(callers) or (sent and time.monotonic() < started + KEPT_USE_S[1] + ANSWER_S):
        due = started + times[upcoming] - time.monotonic() if upcoming < len(callers) else 0.1
        for descriptor, _ in poll.poll(max(0, due)):
            poll.unregister(descriptor)
            closed.add(descriptor)
            if descriptor in sent:
                request_id, sent_at = sent.pop(descriptor)
                elapsed = time.monotonic() - sent_at
                results.append((request_id, elapsed, by_descriptor[descriptor].first_byte()))
        while upcoming < len(callers) and started + times[upcoming] <= time.monotonic():
            caller = callers[upcoming]
            upcoming += 1
            if caller.socket.fileno() not in closed:
                sent[caller.socket.fileno()] = (caller.send("POST", "/order/1", body=b"clock", deadline_ms=1000), time.monotonic())
    return results + [(request_id, ANSWER_S, False) for request_id, _ in sent.values()]


def request_that_arrives_before_a_stopping_host_closes_its_connection_is_answered(fixture):
    with StoppingHost(fixture) as host:
        callers = [Caller(host.callers) for _ in range(KEPT_CONNECTIONS)]
        try:
            for caller in callers:
                caller.send("GET", "/long/1")
                check(caller.receive().status == 200, "a request before the stop")
            results = use_kept_connections(host, callers)
        finally:
            for caller in callers:
                caller.__exit__()
        check(host.process.wait() == 0, "exit code")
    unanswered = [each for each in results if not each[2]]
    print(f"{len(results)} requests, {len(unanswered)} without an answer", flush=True)
    check(len(results) > KEPT_CONNECTIONS / 10, f"{len(results)} requests were sent")
    check(all(elapsed < CROSSING_S for _, elapsed, _ in unanswered), f"{unanswered}")


CASES = [finished_response_behind_an_unfinished_one_is_sent_before_the_stop_ends, unfinished_booking_is_answered_before_the_stop_ends,
         request_pipelined_after_the_start_of_a_stop_is_not_passed_on, request_that_may_outlast_a_stop_is_refused_late_in_it, upload_that_may_outlast_a_stop_is_refused_before_its_end, request_on_a_connection_accepted_late_in_a_stop_is_answered,
         booking_of_a_half_closed_connection_is_answered_during_a_stop, bookings_that_come_during_the_whole_stop_are_answered,
         connections_that_come_while_an_idle_host_exits_are_answered,
         request_that_arrives_before_a_stopping_host_closes_its_connection_is_answered]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
