#!/usr/bin/env python3
"""Gateway hosts of two availability zones while the store comes back from a copy: what it acknowledged since the copy is
gone, and the offsets of the lost records are given out again.

Tests wait for conditions, not for fixed times, except where a comment says why.
"""

import contextlib
import os
import shutil
import sys
import tempfile
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import ACCOUNTS, BUILD, ROUTES, Caller, Fixture, check, run_cases, send_request
from fleet.platform_standins import Backend, Gateway, Store
from fleet.processes import FleetError, free_ports, wait_until

ZONES = ("a", "b")
# The operators' bound for a configuration and for a leaving server.
BOUND_S = 2
AWAY_S = 0.3
PAUSE_S = 0.02
# Calls that a host may make in a second: a long poll, a poll of the servers with up to five pages, and the host records.
CALLS_PER_HOST_S = 20


class TwoZones(Fixture):
    """Two gateway hosts and two backend servers in each of two availability zones."""

    def __init__(self):  # pylint: disable=super-init-not-called
        self.directory = tempfile.mkdtemp(prefix="lacewingsail-restored-")
        self.store = Store(free_ports(1)[0])
        self.version = 1
        self.routes = list(ROUTES)
        self.publish(self.routes, ACCOUNTS)
        self.backends = [Backend(self.store, f"i-{zone}-{index}", "desk", zone) for zone in ZONES for index in range(2)]
        self.hosts = []
        for zone in ZONES:
            for _ in range(2):
                self.start_host(zone)
        for host in self.hosts:
            host.await_ready()
        self.await_exchange()

    def start_host(self, zone):
        host = Gateway(f"host-{zone}-{len(self.hosts)}", zone, self.store, self.directory, BUILD)
        self.hosts.append(host)
        return host

    def await_exchange(self):
        """Waits until hosts hear of a configuration through each other."""
        for _ in range(20):
            self.publish(self.routes, ACCOUNTS)
            version = f" version={self.version} "
            wait_until(lambda version=version: all(any("configuration-activated" in line and version in line for line in host.log_lines()) for host in self.hosts),
                       "all hosts to have the configuration")
            from_hosts = sum(any("configuration-activated" in line and version in line and "source=store" not in line for line in host.log_lines()) for host in self.hosts)
            if from_hosts >= 2:
                return
            time.sleep(0.3)
        raise FleetError("hosts do not exchange")

    def add_route(self, prefix):
        self.routes.append((prefix, "idempotent", "desk", 3, 3, False))
        self.publish(self.routes, ACCOUNTS)

    def add_backend(self, name, zone="a"):
        backend = Backend(self.store, name, "desk", zone)
        self.backends.append(backend)
        return backend

    def remove_backend(self, backend):
        if backend.alive:
            backend.leave()
        self.backends.remove(backend)

    def restore(self, copy, then=lambda: None):
        """The store is away for a moment and comes back from a copy."""
        self.store.mode = "reset"
        # Reads that wait for a record end meanwhile, or span the restoration.
        time.sleep(AWAY_S)
        self.store.restore(copy, then)
        self.store.mode = "up"

    def serves(self, path):
        return all(send_request(host.callers, "GET", path).status == 200 for host in self.hosts)


@contextlib.contextmanager
def callers_on_all_hosts(fixture, path="/look/1"):
    """Sends requests to every host until the end of the block, then checks that all of them were served."""
    statuses, errors, refused, ended = {}, [], [], threading.Event()

    def send_requests(host):
        try:
            with Caller(host.callers) as caller:
                while not ended.is_set():
                    request_id = caller.send("GET", path)
                    status = caller.receive().status
                    statuses[host.name] = statuses.get(host.name, 0) + 1
                    if status != 200:
                        errors.append(f"{host.name}: status {status} {request_id}")
                        refused.append(request_id)
                    time.sleep(PAUSE_S)
        except Exception as error:  # pylint: disable=broad-except
            errors.append(f"{host.name}: {error!r}")

    threads = [threading.Thread(target=send_requests, args=(host,)) for host in fixture.hosts]
    for thread in threads:
        thread.start()
    try:
        yield statuses
    finally:
        ended.set()
        for thread in threads:
            thread.join()
    if refused:
        # Hosts write their lines with a delay.
        time.sleep(1)
    for line in (line for host in fixture.hosts for line in host.log_lines() if any(f"request={each} " in line for each in refused)):
        print(line, flush=True)
    check(not errors, f"callers failed: {errors[:5]} and {max(0, len(errors) - 5)} more")


def check_gets_no_requests(backend, statuses, what):
    """Waits for the bound, then checks that none of the requests that follow reaches the server."""
    # Requests may reach the server until the bound, so their absence before it proves nothing.
    time.sleep(BOUND_S)
    executions, before = len(backend.executions), dict(statuses)
    wait_until(lambda: len(backend.executions) > executions or all(statuses[name] > before[name] + 40 for name in statuses), f"requests, {what}")
    check(len(backend.executions) == executions, f"{what}: {len(backend.executions) - executions} requests after the bound")


def confirmed_configuration_stays_and_the_next_one_is_in_force(fixture):
    copy = fixture.store.copy()
    fixture.add_route("/kept/")
    wait_until(lambda: fixture.serves("/kept/1"), "the confirmed route")
    with callers_on_all_hosts(fixture, "/kept/1"):
        # The offset of the next version is that of the one that was lost.
        fixture.restore(copy, lambda: fixture.add_route("/next/"))
        time.sleep(BOUND_S)
        served = [host.name for host in fixture.hosts if send_request(host.callers, "GET", "/next/1").status == 200]
        check(len(served) == len(fixture.hosts), f"the next version is in force on {served} only")


def lost_configuration_stays_until_it_is_written_again(fixture):
    copy = fixture.store.copy()
    fixture.add_route("/lost/")
    wait_until(lambda: fixture.serves("/lost/1"), "the confirmed route")
    with callers_on_all_hosts(fixture, "/lost/1"):
        fixture.restore(copy)
        newcomer = fixture.start_host("b")
        newcomer.await_ready()
        wait_until(lambda: send_request(newcomer.callers, "GET", "/lost/1").status == 200, "the new host to have the newest configuration")
        fixture.add_route("/again/")
        time.sleep(BOUND_S)
        check(fixture.serves("/again/1"), "the next version is not in force on all hosts")


def servers_that_left_before_stay_without_work(fixture):
    draining, gone = fixture.add_backend("i-draining", "a"), fixture.add_backend("i-gone", "b")
    with callers_on_all_hosts(fixture) as statuses:
        wait_until(lambda: draining.executions and gone.executions, "requests to reach the servers")
        copy = fixture.store.copy()
        draining.drain()
        gone.leave()
        check_gets_no_requests(draining, statuses, "draining before the restoration")
        check_gets_no_requests(gone, statuses, "gone before the restoration")
        executions = len(draining.executions), len(gone.executions)
        # From here on neither writes: only the copy speaks of them, and shows both ready.
        draining.alive = False
        fixture.restore(copy)
        newcomer = fixture.start_host("b")
        newcomer.await_ready()
        check_gets_no_requests(draining, statuses, "draining after the restoration")
        check(executions == (len(draining.executions), len(gone.executions)), f"{executions} requests before, {len(draining.executions), len(gone.executions)} after")
        wait_until(lambda: send_request(newcomer.callers, "GET", "/look/1").status == 200, "the new host to serve")
        executions = len(draining.executions), len(gone.executions)
        for _ in range(40):
            send_request(newcomer.callers, "GET", "/look/1")
        check(executions == (len(draining.executions), len(gone.executions)), "the new host uses servers that left")
    for backend in (draining, gone):
        fixture.store.put("keyed.servers", backend.name, None)
        fixture.backends.remove(backend)


def servers_that_leave_after_the_return_get_no_work(fixture):
    draining, gone = fixture.add_backend("i-drains", "b"), fixture.add_backend("i-leaves", "a")
    with callers_on_all_hosts(fixture) as statuses:
        wait_until(lambda: draining.executions and gone.executions, "requests to reach the servers")
        copy = fixture.store.copy()
        time.sleep(BOUND_S)
        # The removal is written at an offset that the hosts have read already.
        fixture.restore(copy, gone.leave)
        draining.drain()
        check_gets_no_requests(draining, statuses, "draining after the return")
        # A removal so soon after the return may come from an expired registration, which the server may still renew.
        check_gets_no_requests(gone, statuses, "gone after the return")
    fixture.remove_backend(draining)
    fixture.remove_backend(gone)


def servers_that_the_copy_lacks_are_used_and_leave(fixture):
    copy = fixture.store.copy()
    known = fixture.add_backend("i-known", "a")
    with callers_on_all_hosts(fixture) as statuses:
        wait_until(lambda: known.executions, "requests to reach the server")
        fixture.restore(copy)
        new = fixture.add_backend("i-new", "b")
        executions = len(known.executions)
        wait_until(lambda: new.executions, "requests to reach the new server")
        wait_until(lambda: len(known.executions) > executions + 10, "requests to reach the server that the copy lacks")
        time.sleep(BOUND_S)
        executions = len(known.executions)
        wait_until(lambda: len(known.executions) > executions, "requests to reach that server still")
        known.drain()
        check_gets_no_requests(known, statuses, "a server that the copy lacks drains")
    fixture.remove_backend(known)
    fixture.remove_backend(new)


def restored_twice_within_seconds_calls_do_not_pile_up(fixture):
    copy = fixture.store.copy()
    fixture.add_route("/twice/")
    backend = fixture.add_backend("i-twice", "a")
    with callers_on_all_hosts(fixture) as statuses:
        wait_until(lambda: backend.executions and fixture.serves("/twice/1"), "the route and the server")
        # Long enough for heartbeats to move the offsets far from those of the copy.
        time.sleep(BOUND_S)
        gone = fixture.store.gone
        fixture.restore(copy)
        time.sleep(0.7)
        fixture.restore(copy)
        calls, since = len(fixture.store.calls), time.monotonic()
        # A span over which calls are counted.
        time.sleep(3)
        limit = CALLS_PER_HOST_S * len(fixture.hosts) * (time.monotonic() - since)
        made = len(fixture.store.calls) - calls
        check(made <= limit, f"{made} calls, {limit:.0f} allowed")
        # Each host may meet each restoration once with each of its two streams.
        check(fixture.store.gone - gone <= 4 * len(fixture.hosts), f"{fixture.store.gone - gone} reads of records that do not exist")
        check(fixture.serves("/twice/1"), "the confirmed route is lost")
        fixture.add_route("/thrice/")
        backend.drain()
        check_gets_no_requests(backend, statuses, "draining after two restorations")
        check(fixture.serves("/thrice/1"), "the next version is not in force")
    fixture.remove_backend(backend)


def hosts_register_again(fixture):
    wait_until(lambda: fixture.store.newest("keyed.hosts"), "host records")
    copy = fixture.store.copy()
    del copy[0]["keyed.hosts"]
    fixture.restore(copy)
    wait_until(lambda: {host.name.split("-")[1] for host in fixture.hosts if host.name in fixture.store.newest("keyed.hosts")} == set(ZONES),
               "hosts of all zones to register again")


CASES = [confirmed_configuration_stays_and_the_next_one_is_in_force, servers_that_leave_after_the_return_get_no_work,
         servers_that_the_copy_lacks_are_used_and_leave, restored_twice_within_seconds_calls_do_not_pile_up,
         hosts_register_again, servers_that_left_before_stay_without_work, lost_configuration_stays_until_it_is_written_again]


if __name__ == "__main__":
    sys.exit(run_cases(CASES, TwoZones))
