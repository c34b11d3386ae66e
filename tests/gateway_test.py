#!/usr/bin/env python3
"""Gateway hosts as separate processes against stand-ins of the deployment platform, under the faults of its specification.

Each case injects one fault and checks what callers and backend servers observe. Tests wait for conditions, not for fixed
times, except where a comment says why.
"""

import contextlib
import json
import os
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import ACCOUNTS, BUILD, ROUTES, Caller, check, run_cases, send_request
from fleet.platform_standins import ENDLESS, LARGE_BYTES, Backend, Gateway, Store, configuration
from fleet.processes import free_ports, wait_until

ENDLESS_CALLERS = 12
# Of the smallest hosts of the users' deployments.
HOST_MEMORY_MB = 160
IDLE_TIMEOUT_S = 3
# Of the operators, for a configuration.
BOUND_S = 2
# Callers reuse a connection for up to four fifths of the idle timeout.
REUSE_S = IDLE_TIMEOUT_S * 4 / 5


def request_is_served_for_its_account(fixture):
    response = send_request(fixture.hosts[0].callers, "POST", "/book/7?x=1", body=b"clock", headers=["Tenant: forged"])
    check(response.status == 200 and response.body.endswith(b"/book/7?x=1 clock"), f"response {response.status} {response.body}")
    check(response.headers["Response-Signature"] == "s1", "signature is missing")
    executions = fixture.executions(response.request_id)
    check(len(executions) == 1 and executions[0][1] == "norrland" and executions[0][3] is None, f"executions {executions}")


def wrong_keys_and_paths_are_refused(fixture):
    endpoint = fixture.hosts[0].callers
    check(send_request(endpoint, "GET", "/look/1", key="other").status == 401, "unknown key")
    check(send_request(endpoint, "GET", "/look/1", key=None).status == 401, "no key")
    check(send_request(endpoint, "GET", "/nowhere/1").status == 404, "unknown path")
    response = send_request(endpoint, "GET", "/open/1", key=None, headers=["Tenant: forged"])
    check(response.status == 200 and fixture.executions(response.request_id)[0][1] is None, "open route")


def pipelined_requests_are_answered_in_order(fixture):
    with Caller(fixture.hosts[0].callers) as caller:
        sent = [caller.send("GET", f"/look/{index}") for index in range(5)]
        responses = [caller.receive() for _ in sent]
    check([response.headers["Attempt-Id"] for response in responses] == sent, "order of responses")
    check([response.status for response in responses] == [200] * 5, "status of responses")


def broken_responses_are_never_passed_on(fixture):
    for behaviour in ("truncate", "reset", "unsigned"):
        fixture.backends[0].behaviour = fixture.backends[1].behaviour = fixture.backends[2].behaviour = behaviour
        response = send_request(fixture.hosts[0].callers, "POST", "/book/1")
        check(response.status == 502, f"{behaviour}: status {response.status}")
        check(len(fixture.executions(response.request_id)) == 1, f"{behaviour}: booking ran {len(fixture.executions(response.request_id))} times")
    fixture.set_behaviour("good")


def repeatable_request_survives_a_failing_server(fixture):
    for behaviour in ("error", "reset", "truncate", "shed"):
        fixture.set_behaviour("good")
        fixture.backends[1].behaviour = behaviour
        responses = [send_request(fixture.hosts[0].callers, "GET", "/look/1") for _ in range(6)]
        check(all(response.status == 200 for response in responses), f"{behaviour}: {[response.status for response in responses]}")
    fixture.set_behaviour("good")


def shed_booking_is_reported_as_not_run(fixture):
    fixture.set_behaviour("shed")
    response = send_request(fixture.hosts[1].callers, "POST", "/book/1")
    check(response.status == 503 and "Retry-After" in response.headers, f"status {response.status}")
    check(not fixture.executions(response.request_id), "a refused booking ran")
    fixture.set_behaviour("good")
    wait_until(lambda: send_request(fixture.hosts[1].callers, "POST", "/book/1").status == 200, "bookings to be served again")


def surplus_responses_are_discarded(fixture):
    fixture.set_behaviour("extra")
    with Caller(fixture.hosts[0].callers) as caller:
        for index in range(6):
            request_id = caller.send("GET", f"/look/{index}")
            response = caller.receive()
            check(response.headers.get("Attempt-Id") == request_id, f"response to {response.headers.get('Attempt-Id')}")
            check(response.body.endswith(f"/look/{index} ".encode()), f"body {response.body}")
    fixture.set_behaviour("good")


def response_without_length_is_complete(fixture):
    fixture.set_behaviour("unframed")
    response = send_request(fixture.hosts[0].callers, "GET", "/look/3")
    check(response.status == 200 and response.body.endswith(b"/look/3 "), f"response {response.status} {response.body}")
    fixture.set_behaviour("good")


def slow_reader_gets_complete_closing_response(fixture):
    fixture.set_behaviour("large")
    with Caller(fixture.hosts[0].callers) as caller:
        caller.send("GET", "/look/1", headers=["Connection: close"])
        # Longer than the host reads from a connection after its last response: the response is still being written then.
        time.sleep(1.5)
        response = caller.receive()
    check(response.status == 200 and len(response.body) == LARGE_BYTES, f"{len(response.body)} bytes")
    fixture.set_behaviour("good")


def peak_memory_mb(host):
    with open(f"/proc/{host.process.child.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:")) / 1024


def endless_responses_fail_and_memory_stays_bounded(fixture):
    host = fixture.hosts[0]
    for behaviour in ENDLESS:
        fixture.set_behaviour("good")
        # The response without end comes on a connection that was used before.
        check(send_request(host.callers, "GET", "/look/1").status == 200, f"{behaviour}: not served before")
        fixture.set_behaviour(behaviour)
        with contextlib.ExitStack() as stack:
            callers = [stack.enter_context(Caller(host.callers)) for _ in range(ENDLESS_CALLERS)]
            ids = [caller.send("POST", "/book/1") for caller in callers]
            responses = [caller.receive() for caller in callers]
        check(all(response.status in (502, 503, 504) for response in responses), f"{behaviour}: {sorted(response.status for response in responses)}")
        check([response.headers["Attempt-Id"] for response in responses] == ids, f"{behaviour}: responses to other requests")
        check(all(len(fixture.executions(request_id)) <= 1 for request_id in ids), f"{behaviour}: a booking ran twice")
        check(any(len(fixture.executions(request_id)) == 1 for request_id in ids), f"{behaviour}: no booking ran")
        wait_until(lambda: all(backend.abandoned == backend.endless for backend in fixture.backends), f"{behaviour}: connections to be closed")
        check(peak_memory_mb(host) <= HOST_MEMORY_MB, f"{behaviour}: {peak_memory_mb(host):.0f} MB")
        wait_until(lambda: any("event=attempt-failed" in line and f"request={request_id} " in line for line in host.log_lines() for request_id in ids),
                   f"{behaviour}: the log line of the failed attempt")
        fixture.set_behaviour("good")
        wait_until(lambda: send_request(host.callers, "GET", "/look/1").status == 200, f"{behaviour}: servers to be used again")
    wait_until(lambda: any("event=gray-failure-suspected" in line for each in fixture.hosts for line in each.log_lines()),
               "the failures to count against the servers")


def booking_past_its_deadline_fails_and_is_not_repeated(fixture):
    fixture.set_behaviour("slow")
    response = send_request(fixture.hosts[0].callers, "POST", "/brief/1")
    check(response.status == 504, f"status {response.status}")
    check(len(fixture.executions(response.request_id)) == 1, "number of executions")
    fixture.set_behaviour("good")
    wait_until(lambda: send_request(fixture.hosts[0].callers, "GET", "/look/1").status == 200, "servers to accept requests again")


def deadline_beyond_all_time_is_that_of_the_route(fixture):
    for deadline_ms in (2 ** 63 - 1, 2 ** 62, 10 ** 13):
        response = send_request(fixture.hosts[0].callers, "GET", "/look/1", deadline_ms=deadline_ms)
        check(response.status == 200, f"status {response.status} with {deadline_ms} ms")


def account_above_its_rate_is_refused_on_all_hosts_together(fixture):
    responses = [send_request(fixture.hosts[index % 2].callers, "GET", "/look/1", key="key-s") for index in range(60)]
    served = sum(response.status == 200 for response in responses)
    refused = [response for response in responses if response.status == 429]
    check(served + len(refused) == 60, f"{sorted({response.status for response in responses})}")
    check(refused, "nothing was refused")
    check(all(float(response.headers["Retry-After"]) > 0 for response in refused), "no Retry-After")
    check(not any(fixture.executions(response.request_id) for response in refused), "a refused request ran")


def configuration_and_key_changes_reach_all_hosts(fixture):
    accounts = [{**ACCOUNTS[0], "apiKeys": ["key-new"]}, ACCOUNTS[1]]
    fixture.publish(ROUTES + [("/added/", "idempotent", "desk", 3, 3, False)], accounts)
    for host in fixture.hosts:
        wait_until(lambda host=host: send_request(host.callers, "GET", "/added/1", key="key-new").status == 200, "the new route")
        check(send_request(host.callers, "GET", "/look/1", key="key-n").status == 401, "a withdrawn key works")
    fixture.store.put("keyed.op", "config", configuration(1, ROUTES, ACCOUNTS))
    fixture.publish(ROUTES, accounts + [{"name": "mark", "apiKeys": ["key-mark"]}])
    for host in fixture.hosts:
        wait_until(lambda host=host: send_request(host.callers, "GET", "/look/1", key="key-mark").status == 200, "the newest configuration")
        check(send_request(host.callers, "GET", "/look/1", key="key-n").status == 401, "an older configuration is in force")
    fixture.publish(ROUTES, ACCOUNTS)
    for host in fixture.hosts:
        wait_until(lambda host=host: send_request(host.callers, "GET", "/look/1").status == 200, "the restored key")


# A configuration whose list of accounts is empty must not count as one without accounts, whose routes are open to all.
def withdrawal_of_the_last_account_closes_its_routes(fixture):
    fixture.publish(ROUTES + [("/open/marker/", "idempotent", "archive", 3, 3, True)], [])
    for host in fixture.hosts:
        wait_until(lambda host=host: send_request(host.callers, "GET", "/open/marker/1", key=None).status == 503, "the configuration without accounts")
        for key in ("key-n", "never-held", None):
            response = send_request(host.callers, "GET", "/look/1", key=key)
            check(response.status == 401, f"key {key}: status {response.status}")
            check(not fixture.executions(response.request_id), f"a request with key {key} ran")
        check(send_request(host.callers, "GET", "/open/1", key=None).status == 200, "open route")
    fixture.publish(ROUTES, ACCOUNTS)
    for host in fixture.hosts:
        wait_until(lambda host=host: send_request(host.callers, "GET", "/look/1").status == 200, "the restored key")


def activations(host, version):
    return [line for line in host.log_lines() if "configuration-activated" in line and f" version={version} " in line]


# A host that the store refuses, or to which it gives no response, learns of the withdrawal from the other hosts only.
def withdrawal_of_the_last_account_reaches_hosts_that_the_store_refuses(fixture):
    store = Store(free_ports(1)[0])
    store.topics, store.changed = fixture.store.topics, fixture.store.changed
    host = Gateway("refused", "a", store, fixture.directory, BUILD)

    def hears_of_others():
        fixture.publish(ROUTES, ACCOUNTS)
        wait_until(lambda: activations(host, fixture.version), "the configuration")
        return "source=store" not in activations(host, fixture.version)[0]

    try:
        host.await_ready()
        wait_until(hears_of_others, "an exchange with the other hosts")
        for mode in ("busy", "silent", "reset"):
            wait_until(lambda: send_request(host.callers, "GET", "/look/1").status == 200, f"{mode}: the key to be known")
            store.mode = mode
            # By then a read that waited for a record has ended.
            time.sleep(1)
            fixture.publish(ROUTES, [])
            wait_until(lambda: send_request(host.callers, "GET", "/look/1").status == 401, f"{mode}: the key to be withdrawn", seconds=BOUND_S)
            wait_until(lambda: activations(host, fixture.version), f"{mode}: the log")
            activated = activations(host, fixture.version)
            check(len(activated) == 1 and "source=store" not in activated[0], f"{mode}: activated by {activated}")
            response = send_request(host.callers, "GET", "/look/1", key="never-held")
            check(response.status == 401 and not fixture.executions(response.request_id), f"{mode}: an unknown key got {response.status}")
            fixture.publish(ROUTES, ACCOUNTS)
            wait_until(lambda: send_request(host.callers, "GET", "/look/1").status == 200, f"{mode}: the restored key")
            store.mode = "up"
    finally:
        host.process.kill()
        fixture.publish(ROUTES, ACCOUNTS)
    for each in fixture.hosts:
        wait_until(lambda each=each: send_request(each.callers, "GET", "/look/1").status == 200, "the restored key")


def draining_server_gets_no_new_requests(fixture):
    draining = Backend(fixture.store, "i-draining", "desk", "a")
    fixture.backends.append(draining)
    served = {host.name: 0 for host in fixture.hosts}
    errors = []
    ended = threading.Event()

    def send_requests(host):
        try:
            with Caller(host.callers) as caller:
                while not ended.is_set():
                    caller.send("GET", "/look/1")
                    served[host.name] += caller.receive().status == 200
        except Exception as error:  # pylint: disable=broad-except
            errors.append(error)

    threads = [threading.Thread(target=send_requests, args=(host,)) for host in fixture.hosts]
    for thread in threads:
        thread.start()
    try:
        wait_until(lambda: errors or (draining.executions and all(served.values())), "requests to reach the new server")
        drain_bound = max(host.bounds["drain"] for host in fixture.hosts)
        draining.drain()
        # Requests may reach the server until the bound, so their absence before it proves nothing. Callers continue meanwhile.
        time.sleep(drain_bound)
        since, executions, before = time.monotonic(), len(draining.executions), dict(served)

        def watched():
            # The first response may belong to a request that was sent before.
            return time.monotonic() >= since + 2 and all(served[name] > before[name] + 20 for name in served)

        wait_until(lambda: errors or len(draining.executions) > executions or watched(), "requests to be served without the draining server")
        check(not errors, f"callers failed: {errors}")
        check(len(draining.executions) == executions, f"the draining server got a request {time.monotonic() - since:.2f} s after the bound")
    finally:
        ended.set()
        for thread in threads:
            thread.join()
        draining.leave()
        fixture.backends.remove(draining)


def requests_are_served_during_store_outages(fixture):
    for mode in ("busy", "reset", "silent"):
        fixture.store.mode = mode
        calls = len(fixture.store.calls)
        wait_until(lambda calls=calls: len(fixture.store.calls) > calls + 3, f"calls to the store in mode {mode}")
        for host in fixture.hosts:
            check(send_request(host.callers, "GET", "/look/1").status == 200, f"{mode}: not served")
        fixture.store.mode = "up"
    fixture.store.delete_history("keyed.op")
    fixture.store.delete_history("keyed.servers")
    fixture.publish(ROUTES + [("/after/", "idempotent", "desk", 3, 3, False)], ACCOUNTS)
    for host in fixture.hosts:
        wait_until(lambda host=host: send_request(host.callers, "GET", "/after/1").status == 200, "the configuration published after the outage")


def host_without_configuration_is_not_ready(fixture):
    fixture.store.mode = "busy"
    isolated = Gateway("isolated", "b", fixture.store, fixture.directory, BUILD)
    fixture.hosts.append(isolated)
    wait_until(lambda: send_request(isolated.callers, "GET", "/look/1").status == 503, "status 503")
    check(not isolated.ready(), "ready without a configuration")
    fixture.store.mode = "up"
    isolated.await_ready()
    wait_until(lambda: send_request(isolated.callers, "GET", "/look/1").status == 200, "requests to be served")


def store_calls_wait_for_their_connection(fixture):
    # A host that knows no other host reads the host records and registers itself at the same time: both calls share a lane.
    store = Store(free_ports(1)[0])
    store.mode = "busy"
    store.delay_s = store.body_delay_s = 0.1
    newcomer = Gateway("newcomer", "a", store, fixture.directory, BUILD)
    try:
        wait_until(lambda: store.calls.count("/log-append") > 2 or not newcomer.process.alive(), "the new host to repeat its registration")
        store.mode = "up"
        wait_until(lambda: "newcomer" in store.newest("keyed.hosts") or not newcomer.process.alive(), "the new host to register")
        if not newcomer.process.alive():
            print("\n".join(newcomer.log_lines()[-60:]), flush=True)
        check(newcomer.process.alive(), "the new host ended")
        check(not store.overlapping_calls, f"calls sent before the previous response: {store.overlapping_calls}")
    finally:
        newcomer.process.kill()


def settings_are_reloaded_on_sighup(fixture):
    host = fixture.hosts[0]
    with open(host.settings_path, encoding="utf-8") as file:
        settings = json.load(file)

    def reload_with(text, event):
        before = len(host.log_lines())
        with open(host.settings_path, "w", encoding="utf-8") as file:
            file.write(text)
        host.process.reload()
        wait_until(lambda: any(event in line for line in host.log_lines()[before:]), event)

    with Caller(host.callers) as caller:
        caller.send("GET", "/look/1")
        check(caller.receive().status == 200, "before the reload")
        reload_with(json.dumps({**settings, "bounds": {**settings["bounds"], "retry_slack": 50}}), "event=settings-reloaded bounds_changed=yes restart_needed=no")
        reload_with(json.dumps({**settings, "zone": "other"}), "event=settings-reloaded bounds_changed=yes restart_needed=yes")
        reload_with("{ not json", "event=settings-not-reloaded")
        reload_with(json.dumps(settings), "event=settings-reloaded bounds_changed=no restart_needed=no")
        caller.send("GET", "/look/1")
        check(caller.receive().status == 200, "on the same connection after the reloads")


def planned_stop_completes_all_requests(fixture):
    host = fixture.hosts.pop()
    fixture.set_behaviour("slow")
    responses = []
    ended = threading.Event()

    def send_requests():
        with Caller(host.callers) as caller:
            while True:
                caller.send("POST", "/book/1")
                response = caller.receive()
                responses.append(response)
                if response is None or response.headers.get("Connection") == "close":
                    break
        ended.set()

    thread = threading.Thread(target=send_requests)
    thread.start()
    wait_until(lambda: responses, "a first response")
    host.process.terminate()
    check(host.process.wait() == 0, "exit code")
    thread.join()
    check(all(response and response.status == 200 for response in responses), f"{[response and response.status for response in responses]}")
    check(any("event=host-stopped" in line for line in host.log_lines()), "the stop is not logged")
    fixture.set_behaviour("good")


def planned_stop_waits_for_slow_response(fixture):
    host = fixture.hosts[-1]
    fixture.set_behaviour("slower")
    with Caller(host.callers) as caller:
        caller.send("GET", "/quick/1")
        wait_until(lambda: any(run[2] == "/quick/1" for backend in fixture.backends for run in backend.executions), "a server to receive the request")
        host.process.terminate()
        response = caller.receive()
    check(response.status == 200, f"status {response.status}")
    check(host.process.wait() == 0, "exit code")
    fixture.hosts.pop()
    fixture.set_behaviour("good")


# The platform may limit the address space of a process to its memory. Stacks and memory arenas of the threads take most of it.
def host_starts_and_serves_within_the_address_space_of_a_small_host(fixture):
    host = Gateway("confined", "a", fixture.store, fixture.directory, BUILD, [each.peers for each in fixture.hosts], HOST_MEMORY_MB << 20)
    fixture.hosts.append(host)
    host.await_ready()
    endings = []

    def send_requests():
        endings.extend(send_request(host.callers, "GET", "/look/1").status for _ in range(40))

    threads = [threading.Thread(target=send_requests) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check(endings.count(200) > len(endings) / 2, f"{sorted(endings)}")
    host.process.terminate()
    check(host.process.wait() == 0, "exit code")
    fixture.hosts.pop()


def crash_of_a_host_leaves_a_stack_trace(fixture):
    host = Gateway("crashing", "a", fixture.store, fixture.directory, BUILD)
    host.await_ready()
    host.process.child.send_signal(signal.SIGSEGV)
    check(host.process.wait() == -signal.SIGSEGV, "exit code")
    with open(host.process.log_path, encoding="utf-8") as log:
        check("*** SIGSEGV" in log.read(), "no stack trace")


def connection_is_kept_for_the_idle_timeout_after_a_slow_response(fixture):
    fixture.version += 3
    routes = ROUTES + [("/slow/", "idempotent", "desk", 20, 1, False)]
    fixture.store.put("keyed.op", "config", configuration(fixture.version, routes, ACCOUNTS, idle_timeout_s=IDLE_TIMEOUT_S))
    # Hosts keep connections for the longest idle timeout that they have seen.
    host = Gateway("patient", "a", fixture.store, fixture.directory, BUILD)
    fixture.hosts.append(host)
    host.await_ready()
    for backend in fixture.backends:
        backend.slow_paths = {"/slow/1": REUSE_S}
    with Caller(host.callers) as caller:
        for _ in range(2):
            caller.send("GET", "/slow/1")
            response = caller.receive()
            check(response and response.status == 200, f"status {response and response.status}")
            # The idle time that is tested.
            time.sleep(REUSE_S)
    for backend in fixture.backends:
        backend.slow_paths = {}
    fixture.hosts.pop().process.kill()
    fixture.publish(ROUTES, ACCOUNTS)


def refused_request_is_logged(fixture):
    response = send_request(fixture.hosts[0].callers, "GET", "/nowhere/2")
    wait_until(lambda: any(f"request={response.request_id}" in line and "code=no-route" in line for line in fixture.hosts[0].log_lines()),
               "the log line of the refused request")


CASES = [request_is_served_for_its_account, wrong_keys_and_paths_are_refused, pipelined_requests_are_answered_in_order,
         broken_responses_are_never_passed_on, repeatable_request_survives_a_failing_server,
         shed_booking_is_reported_as_not_run, surplus_responses_are_discarded, response_without_length_is_complete,
         slow_reader_gets_complete_closing_response, endless_responses_fail_and_memory_stays_bounded,
         booking_past_its_deadline_fails_and_is_not_repeated, deadline_beyond_all_time_is_that_of_the_route, account_above_its_rate_is_refused_on_all_hosts_together,
         configuration_and_key_changes_reach_all_hosts, withdrawal_of_the_last_account_closes_its_routes,
        withdrawal_of_the_last_account_reaches_hosts_that_the_store_refuses,
         host_starts_and_serves_within_the_address_space_of_a_small_host, connection_is_kept_for_the_idle_timeout_after_a_slow_response, draining_server_gets_no_new_requests, refused_request_is_logged, settings_are_reloaded_on_sighup,
         requests_are_served_during_store_outages, host_without_configuration_is_not_ready, store_calls_wait_for_their_connection, planned_stop_completes_all_requests,
         planned_stop_waits_for_slow_response, crash_of_a_host_leaves_a_stack_trace]


if __name__ == "__main__":
    sys.exit(run_cases(CASES))
