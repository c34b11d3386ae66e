#!/usr/bin/env python3
"""Gateway hosts of three availability zones while the operators evacuate zones. One host is refused by the store all the time
and hears of everything from the others.

Tests wait for conditions, not for fixed times, except where a comment says why.
"""

import http.client
import os
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import ACCOUNTS, BUILD, ROUTES, Fixture, check, run_cases, send_request
from fleet.platform_standins import Backend, Gateway, Listener, Store, address
from fleet.processes import free_ports, wait_until
from restored_store_test import callers_on_all_hosts

ZONES = ("a", "b", "c")
# The operators' bound for an evacuation.
BOUND_S = 5
REQUESTS = 40


class RefusingStore:
    """Passes on the calls about host records, by which hosts find each other, and answers all others with 503."""

    def __init__(self, store):
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                """Silent."""

            def do_GET(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                status, content = 503, b""
                if "topic=keyed.hosts" in self.path:
                    connection = http.client.HTTPConnection(store.address, timeout=5)
                    connection.request(self.command, self.path, body)
                    response = connection.getresponse()
                    status, content = response.status, response.read()
                    connection.close()
                self.send_response(status)
                self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_POST = do_GET

        port = free_ports(1)[0]
        self.address = address(port)
        self.server = Listener(("127.0.0.1", port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class ThreeZones(Fixture):
    """A gateway host and two backend servers in each of three availability zones; the store refuses the host of zone c."""

    def __init__(self):  # pylint: disable=super-init-not-called
        self.directory = tempfile.mkdtemp(prefix="lacewingsail-evacuation-")
        self.store = Store(free_ports(1)[0])
        self.refusing = RefusingStore(self.store)
        self.version = 1
        self.publish(ROUTES, ACCOUNTS)
        self.backends = [Backend(self.store, f"i-{zone}-{index}", "desk", zone) for zone in ZONES for index in range(2)]
        self.hosts = []
        for zone in ZONES:
            self.start_host(zone, self.refusing if zone == "c" else self.store)
        try:
            for host in self.hosts:
                host.await_ready()
        except Exception:
            self.close()
            raise

    def start_host(self, zone, store):
        host = Gateway(f"host-{zone}-{len(self.hosts)}", zone, store, self.directory, BUILD)
        self.hosts.append(host)
        return host

    def evacuate(self, zone):
        self.store.put("keyed.op", f"evacuate/{zone}", b"{}")

    def take_back(self, zone):
        self.store.put("keyed.op", f"evacuate/{zone}", None)

    def restore(self, copy):
        """The store is away for a moment and comes back from a copy."""
        self.store.mode = "reset"
        # Reads that wait for a record end meanwhile.
        time.sleep(0.3)
        self.store.restore(copy)
        self.store.mode = "up"

    def executed(self, zone):
        return sum(len(backend.executions) for backend in self.backends if backend.zone == zone)

    def await_use(self, zone):
        before = self.executed(zone)
        wait_until(lambda: self.executed(zone) > before, f"requests to reach zone {zone}")


def check_gets_no_requests(fixture, zone, statuses, what):
    """Waits until each host has served further requests, then checks that none of them reached the zone's servers."""
    executed, before = fixture.executed(zone), dict(statuses)
    wait_until(lambda: all(statuses[name] > before[name] + REQUESTS for name in statuses), f"requests, {what}")
    check(fixture.executed(zone) == executed, f"{what}: {fixture.executed(zone) - executed} requests")


def check_served_elsewhere(fixture, host, zone, what):
    executed = fixture.executed(zone)
    for _ in range(REQUESTS):
        check(send_request(host.callers, "GET", "/look/1").status == 200, f"{what}: a request was not served")
    check(fixture.executed(zone) == executed, f"{what}: {fixture.executed(zone) - executed} requests")


def has_line(host, *parts):
    return any(all(part in line for part in parts) for line in host.log_lines())


def metrics(host):
    connection = http.client.HTTPConnection(host.operators, timeout=5)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    return text


def evacuated_zone_gets_no_requests_until_it_is_taken_back(fixture):
    with callers_on_all_hosts(fixture) as statuses:
        for zone in ZONES:
            fixture.await_use(zone)
        fixture.evacuate("b")
        # Requests may reach the zone until the bound, so their absence before it proves nothing.
        time.sleep(BOUND_S)
        check_gets_no_requests(fixture, "b", statuses, "after the bound")
        for host in fixture.hosts:
            check(has_line(host, "evacuation-learned", "zone=b"), f"{host.name} has not learned of it")
            check('lacewingsail_zone_evacuated{zone="b"} 1' in metrics(host), f"{host.name} does not count it")
        check(has_line(fixture.hosts[2], "evacuation-learned", "zone=b", "source=host-"), "the refused host heard of it from the store")
        newcomers = [fixture.start_host("b", fixture.store), fixture.start_host("c", fixture.refusing)]
        for newcomer in newcomers:
            newcomer.await_ready()
            check_served_elsewhere(fixture, newcomer, "b", "newly started host")
        fixture.store.mode = "busy"
        check_gets_no_requests(fixture, "b", statuses, "while the store is away")
        fixture.store.mode = "up"
        fixture.take_back("b")
        fixture.await_use("b")
        wait_until(lambda: all(has_line(host, "evacuation-over", "zone=b") for host in fixture.hosts), "all hosts to hear of the end")


def spoilt_records_change_nothing(fixture):
    with callers_on_all_hosts(fixture) as statuses:
        fixture.evacuate("a")
        time.sleep(BOUND_S)
        for key, value in (("evacuate/a", b"nonsense"), ("evacuate/", b"{}"), ("evacuate/nowhere", b"{}"), (b"evacuate/\xff\x00", b"{}")):
            fixture.store.put("keyed.op", key, value)
        wait_until(lambda: has_line(fixture.hosts[0], "evacuation-in-effect", "zone=nowhere", "servers=0"), "the zone without servers to be known")
        check_gets_no_requests(fixture, "a", statuses, "after spoilt records")
        fixture.take_back("a")
        fixture.await_use("a")


def service_without_other_servers_is_refused_at_once(fixture):
    for zone in ZONES:
        fixture.evacuate(zone)
    time.sleep(BOUND_S)
    executed = [fixture.executed(zone) for zone in ZONES]
    for host in fixture.hosts:
        response = send_request(host.callers, "POST", "/book/1", body=b"x")
        check(response.status == 503 and "Retry-After" in response.headers, f"status {response.status} {response.headers}")
        wait_until(lambda host=host, response=response: has_line(host, "request-ended", f"request={response.request_id} ", "attempts=0"), "the refusal without an attempt")
    check(executed == [fixture.executed(zone) for zone in ZONES], "a refused request ran")
    for zone in ZONES:
        fixture.take_back(zone)
    wait_until(lambda: all(send_request(host.callers, "GET", "/look/1").status == 200 for host in fixture.hosts), "all hosts to serve again")


def copy_of_the_store_neither_brings_an_evacuation_back_nor_ends_it(fixture):
    with callers_on_all_hosts(fixture) as statuses:
        fixture.evacuate("b")
        time.sleep(BOUND_S)
        copy = fixture.store.copy()
        fixture.take_back("b")
        fixture.await_use("b")
        time.sleep(BOUND_S)
        fixture.restore(copy)
        # Long enough for the copy to reach all hosts.
        time.sleep(BOUND_S)
        fixture.await_use("b")
        copy = fixture.store.copy()
        fixture.evacuate("a")
        time.sleep(BOUND_S)
        fixture.restore(copy)
        time.sleep(BOUND_S)
        check_gets_no_requests(fixture, "a", statuses, "after the copy that lacks the evacuation")
        fixture.take_back("a")
        fixture.await_use("a")


CASES = [evacuated_zone_gets_no_requests_until_it_is_taken_back, spoilt_records_change_nothing,
         copy_of_the_store_neither_brings_an_evacuation_back_nor_ends_it, service_without_other_servers_is_refused_at_once]


if __name__ == "__main__":
    sys.exit(run_cases(CASES, ThreeZones))
