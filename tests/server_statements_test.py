#!/usr/bin/env python3
"""Gateway hosts before backend servers that state in their responses that they leave, or refuse requests for a time.

Both statements hold for the host that received them, whatever the store lists.
"""

import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import check, run_cases, send_request

# A statement takes effect with the response that carries it; requests that are on their way then still arrive.
SETTLING_S = 0.5
REFUSED_S = 2.0


class Statement:
    """Behaviour of a server that adds `fields` to its responses of `status`, and counts the requests that reach it."""

    def __init__(self, status, fields, method=None):
        self.status, self.fields, self.method, self.arrivals = status, fields, method, []

    def __call__(self, handler, body):
        self.arrivals.append(time.monotonic())
        executed = self.status != 503
        if executed:
            handler.record_execution()
        signature = "Response-Signature: s1\r\n" if executed else "Not-Executed: 1\r\n"
        content = body if executed else b""
        head = f"HTTP/1.1 {self.status} X\r\nAttempt-Id: {handler.headers['Attempt-Id']}\r\n{signature}{self.fields}Content-Length: {len(content)}\r\n\r\n"
        handler.wfile.write(head.encode() + content)

    def arrivals_after(self, moment):
        return sum(arrival > moment for arrival in self.arrivals)


def send_until(fixture, done, host=0, path="/look/1", limit_s=10):
    """A server that refuses with free slots is suspected and gets about one request a second."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        send_request(fixture.hosts[host].callers, "GET", path)
        if done():
            return
    raise AssertionError(f"not reached in {limit_s} s")


def send_for(fixture, seconds, host=0):
    statuses, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        statuses.append(send_request(fixture.hosts[host].callers, "GET", "/look/1").status)
    return statuses


def leaving_server_gets_no_new_requests_while_the_store_is_down(fixture):
    fixture.store.mode = "reset"
    fixture.backends[0].behaviour = statement = Statement(200, "Server-Leaving: 1\r\n")
    send_until(fixture, lambda: statement.arrivals)
    time.sleep(SETTLING_S)
    moment = time.monotonic()
    statuses = send_for(fixture, 3)
    check(statement.arrivals_after(moment) == 0, f"{statement.arrivals_after(moment)} requests reached it of {len(statuses)}")
    check(set(statuses) == {200}, f"{ {status: statuses.count(status) for status in set(statuses)} }")
    fixture.store.mode = "up"
    # The store still lists the server as ready.
    time.sleep(2)
    moment = time.monotonic()
    send_for(fixture, 2)
    check(statement.arrivals_after(moment) == 0, f"{statement.arrivals_after(moment)} requests after the store's return")


def successor_of_a_leaving_server_is_used(fixture):
    backend = fixture.backends[0]
    backend.behaviour = "good"
    backend.born += 1
    backend.register()
    send_until(fixture, lambda: any(run[0] for run in backend.executions if run[2] == "/look/successor"), path="/look/successor")


def leaving_stated_in_a_failure_takes_effect(fixture):
    backend = fixture.backends[1]
    backend.behaviour = statement = Statement(500, "Response-Signature: s1\r\nServer-Leaving: 1\r\n")
    send_until(fixture, lambda: statement.arrivals)
    time.sleep(SETTLING_S)
    moment = time.monotonic()
    check(set(send_for(fixture, 2)) == {200}, "requests failed with other servers free")
    check(statement.arrivals_after(moment) == 0, f"{statement.arrivals_after(moment)} requests reached it")
    backend.behaviour = "good"
    backend.born += 1
    backend.register()
    time.sleep(2)


def server_that_refuses_for_a_time_gets_none_of_this_hosts_requests(fixture):
    backend = fixture.backends[2]
    backend.behaviour = statement = Statement(503, f"Retry-After: {REFUSED_S}\r\n")
    send_until(fixture, lambda: statement.arrivals)
    refused_at = statement.arrivals[0]
    check(set(send_for(fixture, refused_at + REFUSED_S - 0.1 - time.monotonic())) == {200}, "requests failed with other servers free")
    late = sum(refused_at + SETTLING_S < arrival < refused_at + REFUSED_S for arrival in statement.arrivals)
    check(late == 0, f"{late} requests reached it")
    backend.behaviour = "good"
    executions = len(backend.executions)
    send_until(fixture, lambda: len(backend.executions) > executions)


def malformed_periods_change_nothing(fixture):
    backend = fixture.backends[2]
    for value in ("-5", "soon", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT", "1e9", "0", ""):
        backend.behaviour = statement = Statement(503, f"Retry-After: {value}\r\n")
        send_until(fixture, lambda statement=statement: len(statement.arrivals) >= 2)
    backend.behaviour = "good"
    executions = len(backend.executions)
    send_until(fixture, lambda: len(backend.executions) > executions)


def all_servers_refuse_callers_learn_at_once_when_to_return(fixture):
    fixture.set_behaviour(statement := Statement(503, f"Retry-After: {REFUSED_S}\r\n"))
    send_until(fixture, lambda: len(statement.arrivals) >= 3, path="/book/1")
    time.sleep(SETTLING_S)
    before = len(statement.arrivals)
    started = time.monotonic()
    response = send_request(fixture.hosts[0].callers, "POST", "/book/1")
    check(response.status == 503 and time.monotonic() - started < 0.3, f"status {response.status} after {time.monotonic() - started} s")
    check(0 < float(response.headers["Retry-After"]) <= REFUSED_S + 1, response.headers["Retry-After"])
    check(len(statement.arrivals) == before, "a request was sent to a server that refuses them")
    fixture.set_behaviour("good")
    time.sleep(REFUSED_S)
    check(send_request(fixture.hosts[0].callers, "POST", "/book/1").status == 200, "servers are not used again")


CASES = [
    leaving_server_gets_no_new_requests_while_the_store_is_down,
    successor_of_a_leaving_server_is_used,
    leaving_stated_in_a_failure_takes_effect,
    server_that_refuses_for_a_time_gets_none_of_this_hosts_requests,
    malformed_periods_change_nothing,
    all_servers_refuse_callers_learn_at_once_when_to_return,
]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
