#!/usr/bin/env python3
"""Sends the same idempotency keys through several hosts under faults and counts the effects at the backend servers.

Checks for every key: at most one effect; none if all callers got "not-run"; exactly one if a caller got a response.
"""

import concurrent.futures
import json
import os
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet import klockbanken
from fleet.processes import Fleet, FleetError, call, wait_until

SEED = 20260401
HOSTS = 4
NO_ANSWER = "no-answer"


class Call:
    """The response that one caller received, if any."""

    def __init__(self, key, status, headers, body):
        self.key = key
        self.status = status
        self.code = headers.get("X-Lacewingsail-Code", "0")
        self.execution = headers.get("X-Lacewingsail-Execution", "answered" if status else NO_ANSWER)
        self.replayed = headers.get("X-Lacewingsail-Replayed") == "true"
        self.body = body


def violations(calls, effects):
    """Returns the violations in a history, which is a list of calls and the keys of the effects."""
    found = []
    for key in sorted({each.key for each in calls} | set(effects)):
        count = effects.count(key)
        executions = {each.execution for each in calls if each.key == key}
        if count > 1:
            found.append(f"{key}: {count} effects")
        if count > 0 and executions == {"not-run"}:
            found.append(f"{key}: an effect although every caller got not-run")
        if count != 1 and "answered" in executions:
            found.append(f"{key}: a caller got a response, but there are {count} effects")
    return found


def check_violations():
    """Fails unless violations() rejects one invalid history of each kind and accepts a valid one."""
    answered = Call("k", 201, {}, b"")
    refused = Call("k", 503, {"X-Lacewingsail-Execution": "not-run"}, b"")
    invalid = [([answered], ["k", "k"]), ([refused], ["k"]), ([answered], [])]
    if any(not violations(*history) for history in invalid) or violations([answered, refused], ["k"]):
        raise FleetError("the checker accepts an invalid history or rejects a valid one")


class Run:
    """A fleet and the history of its calls."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.calls = []
        self.random = random.Random(SEED)
        self.pool = concurrent.futures.ThreadPoolExecutor(max_workers=32)

    def book(self, host, key, body=b"{}"):
        headers = {"Authorization": f"Bearer {klockbanken.secret_of('norrland')}", "Idempotency-Key": key}
        try:
            status, response_headers, response = call(host.callers, "POST", "/loans/7", body, headers, timeout=10)
        except OSError:
            status, response_headers, response = 0, {}, b""
        return Call(key, status, response_headers, response)

    def book_everywhere(self, keys, hosts, times=1):
        """Sends every key through every host concurrently and returns the futures."""
        work = [(host, key) for key in keys for host in hosts for _ in range(times)]
        self.random.shuffle(work)
        return [self.pool.submit(self.book, host, key) for host, key in work]

    def collect(self, futures):
        calls = [future.result() for future in futures]
        self.calls += calls
        return calls

    def effects(self):
        return [each["key"] for each in json.loads(call(self.fleet.backend_control, "GET", "/effects")[2])["effects"]]

    def slow_servers(self, milliseconds):
        for server in self.fleet.servers["loan-desk"]:
            self.fleet.fault(server, slow_ms=milliseconds)

    def expect(self, condition, what):
        if not condition:
            for each in self.calls[-40:]:
                print(f"  {each.key}: {each.status} {each.code} {each.execution} {each.body[:120]!r}", file=sys.stderr)
            raise FleetError(f"expected {what}")


def keys_of(name, count):
    return [f"{name}-{index}" for index in range(count)]


def concurrent_callers(run):
    keys = keys_of("concurrent", 20)
    run.collect(run.book_everywhere(keys, run.fleet.hosts))
    repeated = run.collect([run.pool.submit(run.book, run.fleet.hosts[3], key) for key in keys])
    run.expect(all(run.effects().count(key) == 1 for key in keys), "one effect for each key")
    run.expect(all(each.status == 201 and each.replayed for each in repeated), "the recorded responses to be replayed")


def reused_key(run):
    run.collect([run.pool.submit(run.book, run.fleet.hosts[0], "reused")])
    refused = run.book(run.fleet.hosts[1], "reused", b'{"another":true}')
    run.expect((refused.status, refused.code, refused.execution) == (422, "604", "not-run"), "a reused key to be refused with 422, 604 and not-run")


def lost_answers(run):
    run.fleet.control(run.fleet.log, {"lose_answers": 12})
    run.collect(run.book_everywhere(keys_of("lost", 20), run.fleet.hosts))
    run.fleet.control(run.fleet.log, {"lose_answers": 0})
    calls = run.collect(run.book_everywhere(keys_of("lost", 20), run.fleet.hosts[:1]))
    run.expect(all(each.status in (201, 409, 503) for each in calls), "status 201, 409 or 503 for each key")


def log_outage(run):
    keys = keys_of("outage", 6)
    run.fleet.control(run.fleet.log, {"outage": True})
    calls = run.collect(run.book_everywhere(keys, run.fleet.hosts))
    run.expect(all((each.code, each.execution) == ("603", "not-run") for each in calls), "603 and not-run while the log is unavailable")
    run.expect(not set(keys) & set(run.effects()), "no effect while the log is unavailable")
    run.fleet.control(run.fleet.log, {"outage": False})
    wait_until(lambda: run.collect([run.pool.submit(run.book, run.fleet.hosts[2], keys[0])])[0].status == 201, "bookings after the log is available again")


def frozen_host(run):
    keys = keys_of("frozen", 12)
    frozen = run.fleet.hosts[1]
    run.slow_servers(300)
    first = run.book_everywhere(keys, [frozen])
    wait_until(lambda: set(keys) & set(run.effects()) or any(future.done() for future in first), "a booking to take effect or to end")
    frozen.process.freeze()
    run.collect(run.book_everywhere(keys, [run.fleet.hosts[0], run.fleet.hosts[2]]))
    frozen.process.thaw()
    run.collect(first)
    run.slow_servers(0)


def killed_host(run):
    keys = keys_of("killed", 12)
    killed = run.fleet.hosts[3]
    run.slow_servers(300)
    first = run.book_everywhere(keys, [killed])
    wait_until(lambda: set(keys) & set(run.effects()) or any(future.done() for future in first), "a booking to take effect or to end")
    killed.process.kill()
    run.collect(first)
    run.collect(run.book_everywhere(keys, run.fleet.hosts[:3]))
    run.slow_servers(0)
    run.fleet.start_host(killed)
    wait_until(lambda: run.fleet.ready(killed), "the host to be ready again")
    run.collect(run.book_everywhere(keys, [killed]))


def planned_stop(run):
    """A planned stop records the outcomes of the bookings that finished during it."""
    keys = keys_of("stopped", 6)
    stopped = run.fleet.hosts[0]
    run.slow_servers(300)
    first = run.book_everywhere(keys, [stopped])
    wait_until(lambda: set(keys) & set(run.effects()) or any(future.done() for future in first), "a booking to take effect or to end")
    stopped.process.terminate()
    calls = run.collect(first)
    run.expect(all(each.status == 201 for each in calls), "a response to every booking of the stopping host")
    run.expect(stopped.process.wait() == 0, "the host to exit with 0")
    repeated = run.collect(run.book_everywhere(keys, [run.fleet.hosts[2]]))
    run.expect(all(each.replayed for each in repeated), "the outcomes to be recorded before the host stopped")


SCENARIOS = [concurrent_callers, reused_key, lost_answers, log_outage, frozen_host, killed_host, planned_stop]


def main():
    check_violations()
    with Fleet(hosts=HOSTS, services=klockbanken.SERVICES, settings={"limit_slots": HOSTS}) as fleet:
        fleet.start_platform()
        fleet.start_hosts()
        configuration = klockbanken.configuration(fleet.servers, fleet.zones, rate=100000, burst=100000)
        fleet.ctl("publish", fleet.write("configuration.json", configuration), "--author", "test")
        for host in fleet.hosts:
            wait_until(lambda host=host: fleet.ready(host), f"{host.name} to be ready")
        run = Run(fleet)
        for host in fleet.hosts:
            wait_until(lambda host=host: run.book(host, f"first-{host.name}").status == 201, f"{host.name} to take bookings")
        for scenario in SCENARIOS:
            scenario(run)
            found = violations(run.calls, run.effects())
            print(f"{scenario.__name__}: {len(run.calls)} calls, {len(run.effects())} effects, {len(found)} violations", flush=True)
            if found:
                print("\n".join(found))
                return 1
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"bookings test failed: {error}", file=sys.stderr)
        sys.exit(1)
