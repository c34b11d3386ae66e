#!/usr/bin/env python3
"""Real hosts while another writer leaves entries in the store that name no usable server or host."""

import json
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import BUILD, check, run_cases, send_request
from fleet.platform_standins import Backend, Gateway, Store
from fleet.processes import free_ports, wait_until

GOOD = {"service": "desk", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 6, "state": "ready", "warmupLeftS": 0,
        "sequence": 1, "born": 1700000000000}
NESTED = b"[" * 100000 + b"]" * 100000
TEXTS = [b"{", b"\xff\xfe\x00", b"null", b"[]", NESTED, b"{" + b" " * (1 << 19),
         *(json.dumps({name: value for name, value in GOOD.items() if name != missing}).encode() for missing in GOOD if missing not in ("version", "born"))]
VALUES = [("service", 7), ("service", ""), ("service", "desk\r\nX-Odd: 1"), ("address", 80), ("address", "127.0.0.1:0"), ("address", "127.0.0.1:65536"),
          ("address", "127.0.0.1:99999999999"), ("address", "127.0.0.1:-1"), ("address", "nowhere:80"), ("address", ":80"), ("zone", None), ("zone", ""),
          ("zone", "a\u0000"), ("slots", 0), ("slots", -1), ("slots", 2000000000), ("slots", 10 ** 30), ("slots", "6"), ("state", "resting"), ("state", 1),
          ("warmupLeftS", 1e300), ("warmupLeftS", -1e300), ("warmupLeftS", "1"), ("sequence", -1), ("sequence", 2 ** 64 - 1), ("sequence", 10 ** 400),
          ("born", -1), ("born", 2 ** 63 - 1), ("born", -2 ** 63), ("born", 0.5)]
# The entries themselves are complete; only their keys are odd.
KEYS = [b"", b"\xff\xfe", b"i-\xc3(", b"i-1\r\nTenant: other", b"i 1", b"i\x00", "i-\u00e5".encode()]
REQUESTS = 40


def put_odd_entries(store):
    for index, text in enumerate(TEXTS):
        store.put("keyed.servers", f"odd-text-{index}", text)
    for index, (name, value) in enumerate(VALUES):
        store.put("keyed.servers", f"odd-value-{index}", json.dumps({**GOOD, name: value}).encode())
    for key in KEYS:
        store.put("keyed.servers", key, json.dumps(GOOD).encode())
        store.put("keyed.servers", key + b"-removed", b"{")
        store.put("keyed.servers", key + b"-removed", None)


def check_served(host):
    statuses = [send_request(host.callers, "GET", "/look/1").status for _ in range(REQUESTS)]
    check(all(status == 200 for status in statuses), f"{host.name}: {statuses}")


def check_followed(fixture, hosts, name):
    """A server that joins now gets requests of every host, and no more once it drains."""
    backend = Backend(fixture.store, name, "desk", "a")
    for host in hosts:
        before = len(backend.executions)
        wait_until(lambda host=host, before=before: send_request(host.callers, "GET", "/look/1").status == 200 and len(backend.executions) > before,
                   f"requests of {host.name} to reach {name}")
    drain_bound = max(host.bounds["drain"] for host in hosts)
    backend.drain()
    # Requests may reach the server until the bound, so their absence before it proves nothing.
    time.sleep(drain_bound)
    executions = len(backend.executions)
    for host in hosts:
        check_served(host)
    check(len(backend.executions) == executions, f"{name} got requests after it drained")
    backend.leave()


def check_no_odd_server_used(host):
    lines = [line for line in host.log_lines() if "event=connect-failed" in line]
    check(not lines, f"{host.name}: {lines[:3]}")


def hosts_follow_the_store_beside_odd_entries(fixture):
    put_odd_entries(fixture.store)
    check_followed(fixture, fixture.hosts, "i-added")
    for host in fixture.hosts:
        check_no_odd_server_used(host)


def host_that_starts_among_odd_entries_becomes_ready(fixture):
    host = Gateway("late", "a", fixture.store, fixture.directory, BUILD)
    fixture.hosts.append(host)
    host.await_ready()
    check_followed(fixture, [host], "i-late")
    check_no_odd_server_used(host)


def host_that_follows_another_one_gets_every_change(fixture):
    # It reads the host records only.
    store = Store(free_ports(1)[0])
    store.refused_topics = {"keyed.op", "keyed.servers"}
    for key, (_, value) in fixture.store.newest("keyed.hosts").items():
        store.put("keyed.hosts", key, value)
    host = Gateway("follower", "a", store, fixture.directory, BUILD)
    fixture.hosts.append(host)
    host.await_ready()
    put_odd_entries(fixture.store)
    check_followed(fixture, [host], "i-followed")
    check_no_odd_server_used(host)


def entry_that_turns_odd_and_good_again_is_followed(fixture):
    backend = Backend(fixture.store, "i-turning", "desk", "a")
    host = fixture.hosts[0]

    def reached():
        before = len(backend.executions)
        for _ in range(REQUESTS):
            response = send_request(host.callers, "GET", "/look/1")
            check(response.status == 200, f"status {response.status}")
        return len(backend.executions) > before

    wait_until(reached, "requests to reach the server")
    backend.alive = False
    for text in (b"{", json.dumps({**GOOD, "sequence": 2 ** 64 - 1}).encode(), json.dumps({**GOOD, "born": 2 ** 63 - 1}).encode()):
        # A heartbeat that was on its way would make the entry good again.
        time.sleep(1)
        backend.store.put("keyed.servers", "i-turning", text)
        wait_until(lambda: not reached(), "the server to be out of use")
        check_served(host)
        backend.register()
        wait_until(reached, "the server to be used again")
    backend.leave()


def odd_host_records_change_no_limit(fixture):
    good = {"zone": "a", "peers": "127.0.0.1:9", "fleetSize": 2}
    store = Store(free_ports(1)[0])
    for topic in ("keyed.op", "keyed.servers"):
        for key, (_, value) in fixture.store.newest(topic).items():
            store.put(topic, key.encode(errors="surrogateescape"), value)
    for index, text in enumerate([b"{", NESTED, b"\xff", json.dumps({**good, "peers": "127.0.0.1:65536"}).encode(), json.dumps({**good, "zone": "a\r\nb"}).encode(),
                                  json.dumps({**good, "fleetSize": -1}).encode(), json.dumps({**good, "fleetSize": 4 * 10 ** 9}).encode()]):
        store.put("keyed.hosts", f"odd-{index}", text)
    for key in (b"\xff\xfe", b"h\r\n"):
        store.put("keyed.hosts", key, json.dumps(good).encode())
    first = Gateway("first", "a", store, fixture.directory, BUILD)
    second = Gateway("second", "a", store, fixture.directory, BUILD)
    fixture.hosts += [first, second]
    for host in (first, second):
        host.await_ready()
        wait_until(lambda host=host: send_request(host.callers, "GET", "/look/1", key="key-s").status == 200, "a request within the account's rate to be served")
    time.sleep(2)
    for host in (first, second):
        check(send_request(host.callers, "GET", "/look/1", key="key-s").status == 200, "a request within the account's rate was refused")


CASES = [hosts_follow_the_store_beside_odd_entries, host_that_starts_among_odd_entries_becomes_ready, host_that_follows_another_one_gets_every_change,
         entry_that_turns_odd_and_good_again_is_followed, odd_host_records_change_no_limit]


if __name__ == "__main__":
    sys.exit(run_cases(CASES))
