#!/usr/bin/env python3
"""Gateway hosts as separate processes before stand-ins of the users' platform, under the faults of its pages.

Each case sets one fault and checks what callers and backend servers see. Waits are for conditions, not for times.
"""

import json
import os
import shutil
import socket
import sys
import tempfile
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.processes import ROOT, free_ports, wait_until
from fleet.platform_standins import LARGE_BYTES, Backend, Gateway, Store, configuration, tuple_of

ROUTES = [("/look/", "idempotent", "desk", 3, 3, False), ("/book/", "non_idempotent", "desk", 3, 3, False),
          ("/open/", "idempotent", "desk", 3, 3, True), ("/brief/", "non_idempotent", "desk", 0.4, 2, False),
          ("/quick/", "idempotent", "desk", 2, 2, False)]
BUILD = os.environ.get("LACEWINGSAIL_BUILD", os.path.join(ROOT, "build"))
ACCOUNTS = [{"name": "norrland", "apiKeys": ["key-n"], "priority": 1}, {"name": "skane", "apiKeys": ["key-s"], "ratePerS": 5, "burst": 10}]


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Caller:
    """One connection of a caller."""

    count = 0
    lock = threading.Lock()

    def __init__(self, endpoint):
        self.socket = socket.create_connection(tuple_of(endpoint), timeout=10)
        self.file = self.socket.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.file.close()
        self.socket.close()

    def send(self, method, path, key="key-n", body=b"", headers=()):
        with Caller.lock:
            Caller.count += 1
            request_id = f"attempt-{Caller.count}"
        lines = [f"{method} {path} HTTP/1.1", "Host: clubs.example", f"Attempt-Id: {request_id}", "Deadline-Ms: 5000", *headers]
        if key:
            lines.append(f"Authorization: Token {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return request_id

    def receive(self):
        status_line = self.file.readline()
        if not status_line:
            return None
        headers = {}
        while (line := self.file.readline()) not in (b"\r\n", b""):
            name, value = line.decode().split(":", 1)
            headers[name] = value.strip()
        return Answer(int(status_line.split()[1]), headers, self.file.read(int(headers.get("Content-Length", 0))))


def ask(endpoint, method, path, key="key-n", body=b"", headers=()):
    with Caller(endpoint) as caller:
        request_id = caller.send(method, path, key, body, headers)
        answer = caller.receive()
        answer.request_id = request_id
        return answer


class World:
    """Two gateway hosts in one zone, three backend servers, the store."""

    def __init__(self):
        self.directory = tempfile.mkdtemp(prefix="lacewingsail-gateway-")
        self.store = Store(free_ports(1)[0])
        self.version = 1
        self.publish(ROUTES, ACCOUNTS)
        self.backends = [Backend(self.store, f"i-{index}", "desk", "a") for index in range(3)]
        self.hosts = [Gateway(f"host-{index}", "a", self.store, self.directory, BUILD) for index in range(2)]
        for host in self.hosts:
            host.await_ready()

    def publish(self, routes, accounts):
        self.version += 3
        self.store.put("keyed.op", "config", configuration(self.version, routes, accounts))

    def behave(self, behaviour):
        for backend in self.backends:
            backend.behaviour = behaviour

    def runs(self, request_id):
        return [run for backend in self.backends for run in backend.runs if run[0] == request_id]

    def close(self):
        for host in self.hosts:
            if host.process.alive():
                host.process.kill()
        shutil.rmtree(self.directory, ignore_errors=True)


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def check_hosts_live(world):
    ended = [host for host in world.hosts if not host.process.alive()]
    for host in ended:
        # With what ended it, such as a sanitizer's report.
        print("\n".join(host.log_lines()[-60:]), flush=True)
    check(not ended, f"ended: {[host.name for host in ended]}")


def request_is_served_for_its_account(world):
    answer = ask(world.hosts[0].callers, "POST", "/book/7?x=1", body=b"clock", headers=["Tenant: forged"])
    check(answer.status == 200 and answer.body.endswith(b"/book/7?x=1 clock"), f"answer {answer.status} {answer.body}")
    check(answer.headers["Response-Signature"] == "s1", "signature is missing")
    runs = world.runs(answer.request_id)
    check(len(runs) == 1 and runs[0][1] == "norrland" and runs[0][3] is None, f"runs {runs}")


def wrong_keys_and_paths_are_refused(world):
    endpoint = world.hosts[0].callers
    check(ask(endpoint, "GET", "/look/1", key="other").status == 401, "unknown key")
    check(ask(endpoint, "GET", "/look/1", key=None).status == 401, "no key")
    check(ask(endpoint, "GET", "/nowhere/1").status == 404, "unknown path")
    answer = ask(endpoint, "GET", "/open/1", key=None, headers=["Tenant: forged"])
    check(answer.status == 200 and world.runs(answer.request_id)[0][1] is None, "open route")


def pipelined_requests_are_answered_in_order(world):
    with Caller(world.hosts[0].callers) as caller:
        sent = [caller.send("GET", f"/look/{index}") for index in range(5)]
        answers = [caller.receive() for _ in sent]
    check([answer.headers["Attempt-Id"] for answer in answers] == sent, "order of answers")
    check([answer.status for answer in answers] == [200] * 5, "status of answers")


def broken_answers_are_never_passed_on(world):
    for behaviour in ("truncate", "reset", "unsigned"):
        world.backends[0].behaviour = world.backends[1].behaviour = world.backends[2].behaviour = behaviour
        answer = ask(world.hosts[0].callers, "POST", "/book/1")
        check(answer.status == 502, f"{behaviour}: status {answer.status}")
        check(len(world.runs(answer.request_id)) == 1, f"{behaviour}: booking ran {len(world.runs(answer.request_id))} times")
    world.behave("good")


def repeatable_request_survives_a_failing_server(world):
    for behaviour in ("error", "reset", "truncate", "shed"):
        world.behave("good")
        world.backends[1].behaviour = behaviour
        answers = [ask(world.hosts[0].callers, "GET", "/look/1") for _ in range(6)]
        check(all(answer.status == 200 for answer in answers), f"{behaviour}: {[answer.status for answer in answers]}")
    world.behave("good")


def shed_booking_goes_to_another_server_or_is_said_not_to_have_run(world):
    world.behave("shed")
    answer = ask(world.hosts[1].callers, "POST", "/book/1")
    check(answer.status == 503 and "Retry-After" in answer.headers, f"status {answer.status}")
    check(not world.runs(answer.request_id), "a refused booking ran")
    world.behave("good")
    wait_until(lambda: ask(world.hosts[1].callers, "POST", "/book/1").status == 200, "bookings to be served again")


def surplus_answers_reach_nobody(world):
    world.behave("extra")
    with Caller(world.hosts[0].callers) as caller:
        for index in range(6):
            request_id = caller.send("GET", f"/look/{index}")
            answer = caller.receive()
            check(answer.headers.get("Attempt-Id") == request_id, f"answer of {answer.headers.get('Attempt-Id')}")
            check(answer.body.endswith(f"/look/{index} ".encode()), f"body {answer.body}")
    world.behave("good")


def answer_without_length_is_whole(world):
    world.behave("unframed")
    answer = ask(world.hosts[0].callers, "GET", "/look/3")
    check(answer.status == 200 and answer.body.endswith(b"/look/3 "), f"answer {answer.status} {answer.body}")
    world.behave("good")


def slow_reader_gets_its_whole_closing_answer(world):
    world.behave("large")
    with Caller(world.hosts[0].callers) as caller:
        caller.send("GET", "/look/1", headers=["Connection: close"])
        # Longer than a closed connection is read on: the answer is still being written then.
        time.sleep(1.5)
        answer = caller.receive()
    check(answer.status == 200 and len(answer.body) == LARGE_BYTES, f"{len(answer.body)} bytes")
    world.behave("good")


def booking_past_its_time_ends_and_is_not_repeated(world):
    world.behave("slow")
    answer = ask(world.hosts[0].callers, "POST", "/brief/1")
    check(answer.status == 504, f"status {answer.status}")
    check(len(world.runs(answer.request_id)) == 1, "runs")
    world.behave("good")
    wait_until(lambda: ask(world.hosts[0].callers, "GET", "/look/1").status == 200, "servers to be in use again")


def account_above_its_rate_is_refused_on_all_hosts_together(world):
    answers = [ask(world.hosts[index % 2].callers, "GET", "/look/1", key="key-s") for index in range(60)]
    served = sum(answer.status == 200 for answer in answers)
    refused = [answer for answer in answers if answer.status == 429]
    check(served + len(refused) == 60, f"{sorted({answer.status for answer in answers})}")
    check(refused, "nothing was refused")
    check(all(float(answer.headers["Retry-After"]) > 0 for answer in refused), "no time to come back")
    check(not any(world.runs(answer.request_id) for answer in refused), "a refused request ran")


def configuration_and_key_changes_reach_all_hosts(world):
    accounts = [{**ACCOUNTS[0], "apiKeys": ["key-new"]}, ACCOUNTS[1]]
    world.publish(ROUTES + [("/added/", "idempotent", "desk", 3, 3, False)], accounts)
    for host in world.hosts:
        wait_until(lambda host=host: ask(host.callers, "GET", "/added/1", key="key-new").status == 200, "the new route")
        check(ask(host.callers, "GET", "/look/1", key="key-n").status == 401, "a withdrawn key works")
    world.store.put("keyed.op", "config", configuration(1, ROUTES, ACCOUNTS))
    world.publish(ROUTES, accounts + [{"name": "mark", "apiKeys": ["key-mark"]}])
    for host in world.hosts:
        wait_until(lambda host=host: ask(host.callers, "GET", "/look/1", key="key-mark").status == 200, "the newest version")
        check(ask(host.callers, "GET", "/look/1", key="key-n").status == 401, "an older version came back")
    world.publish(ROUTES, ACCOUNTS)
    for host in world.hosts:
        wait_until(lambda host=host: ask(host.callers, "GET", "/look/1").status == 200, "the old key")


def leaving_server_gets_no_new_work(world):
    leaving = Backend(world.store, "i-leaving", "desk", "a")
    world.backends.append(leaving)
    served = {host.name: 0 for host in world.hosts}
    errors = []
    ended = threading.Event()

    def call_on(host):
        try:
            with Caller(host.callers) as caller:
                while not ended.is_set():
                    caller.send("GET", "/look/1")
                    served[host.name] += caller.receive().status == 200
        except Exception as error:  # pylint: disable=broad-except
            errors.append(error)

    threads = [threading.Thread(target=call_on, args=(host,)) for host in world.hosts]
    for thread in threads:
        thread.start()
    try:
        wait_until(lambda: errors or (leaving.runs and all(served.values())), "the new server to get work")
        bound = max(host.bounds["drain"] for host in world.hosts)
        leaving.drain()
        # Work may come up to the bound, so a calm time before it proves nothing. Requests go on meanwhile.
        time.sleep(bound)
        since, runs, before = time.monotonic(), len(leaving.runs), dict(served)

        def watched():
            # The first answer may be that of a request sent before.
            return time.monotonic() >= since + 2 and all(served[name] > before[name] + 20 for name in served)

        wait_until(lambda: errors or len(leaving.runs) > runs or watched(), "requests to be served without the leaving server")
        check(not errors, f"callers ended: {errors}")
        check(len(leaving.runs) == runs, f"the leaving server got work again {time.monotonic() - since:.2f} s after the bound")
    finally:
        ended.set()
        for thread in threads:
            thread.join()
        leaving.leave()
        world.backends.remove(leaving)


def store_outages_stop_nothing(world):
    for mode in ("busy", "reset", "silent"):
        world.store.mode = mode
        calls = len(world.store.calls)
        wait_until(lambda calls=calls: len(world.store.calls) > calls + 3, f"hosts to notice {mode}")
        for host in world.hosts:
            check(ask(host.callers, "GET", "/look/1").status == 200, f"{mode}: not served")
        world.store.mode = "up"
    world.store.forget("keyed.op")
    world.store.forget("keyed.servers")
    world.publish(ROUTES + [("/after/", "idempotent", "desk", 3, 3, False)], ACCOUNTS)
    for host in world.hosts:
        wait_until(lambda host=host: ask(host.callers, "GET", "/after/1").status == 200, "news after the outage")


def host_that_knows_nothing_says_so(world):
    world.store.mode = "busy"
    lonely = Gateway("lonely", "b", world.store, world.directory, BUILD)
    world.hosts.append(lonely)
    wait_until(lambda: ask(lonely.callers, "GET", "/look/1").status == 503, "the truth")
    check(not lonely.ready(), "ready without a configuration")
    world.store.mode = "up"
    lonely.await_ready()
    wait_until(lambda: ask(lonely.callers, "GET", "/look/1").status == 200, "service")


def calls_to_the_store_wait_for_their_connection(world):
    # A host that knows no other one reads the list of hosts and enters itself at the same time.
    store = Store(free_ports(1)[0])
    store.mode = "busy"
    store.delay_s = store.body_delay_s = 0.1
    newcomer = Gateway("newcomer", "a", store, world.directory, BUILD)
    try:
        wait_until(lambda: store.calls.count("/log-append") > 2 or not newcomer.process.alive(), "the new host to try again")
        store.mode = "up"
        wait_until(lambda: "newcomer" in store.newest("keyed.hosts") or not newcomer.process.alive(), "the new host to enter itself")
        if not newcomer.process.alive():
            print("\n".join(newcomer.log_lines()[-60:]), flush=True)
        check(newcomer.process.alive(), "the new host ended")
        check(not store.crossed, f"next call before the answer: {store.crossed}")
    finally:
        newcomer.process.kill()


def settings_are_reloaded_on_sighup(world):
    host = world.hosts[0]
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


def planned_stop_cuts_nothing(world):
    host = world.hosts.pop()
    world.behave("slow")
    answers = []
    ended = threading.Event()

    def call_on():
        with Caller(host.callers) as caller:
            while True:
                caller.send("POST", "/book/1")
                answer = caller.receive()
                answers.append(answer)
                if answer is None or answer.headers.get("Connection") == "close":
                    break
        ended.set()

    thread = threading.Thread(target=call_on)
    thread.start()
    wait_until(lambda: answers, "a first answer")
    host.process.terminate()
    check(host.process.wait() == 0, "exit code")
    thread.join()
    check(all(answer and answer.status == 200 for answer in answers), f"{[answer and answer.status for answer in answers]}")
    check(any("event=host-stopped" in line for line in host.log_lines()), "no line tells of the stop")
    world.behave("good")


def planned_stop_waits_for_a_slow_answer(world):
    host = world.hosts[-1]
    world.behave("slower")
    with Caller(host.callers) as caller:
        caller.send("GET", "/quick/1")
        wait_until(lambda: any(run[2] == "/quick/1" for backend in world.backends for run in backend.runs), "the server to be at work")
        host.process.terminate()
        answer = caller.receive()
    check(answer.status == 200, f"status {answer.status}")
    check(host.process.wait() == 0, "exit code")
    world.hosts.pop()
    world.behave("good")


def refused_request_is_told_in_the_log(world):
    answer = ask(world.hosts[0].callers, "GET", "/nowhere/2")
    wait_until(lambda: any(f"request={answer.request_id}" in line and "code=no-route" in line for line in world.hosts[0].log_lines()),
               "the line of the refused request")


CASES = [request_is_served_for_its_account, wrong_keys_and_paths_are_refused, pipelined_requests_are_answered_in_order,
         broken_answers_are_never_passed_on, repeatable_request_survives_a_failing_server,
         shed_booking_goes_to_another_server_or_is_said_not_to_have_run, surplus_answers_reach_nobody, answer_without_length_is_whole,
         slow_reader_gets_its_whole_closing_answer,
         booking_past_its_time_ends_and_is_not_repeated, account_above_its_rate_is_refused_on_all_hosts_together,
         configuration_and_key_changes_reach_all_hosts, leaving_server_gets_no_new_work, refused_request_is_told_in_the_log, settings_are_reloaded_on_sighup,
         store_outages_stop_nothing, host_that_knows_nothing_says_so, calls_to_the_store_wait_for_their_connection, planned_stop_cuts_nothing,
         planned_stop_waits_for_a_slow_answer]


def main():
    failed = 0
    world = World()
    try:
        for case in CASES:
            if len(sys.argv) > 1 and case.__name__ not in sys.argv[1:]:
                continue
            try:
                case(world)
                check_hosts_live(world)
                print(f"passed {case.__name__}", flush=True)
            except Exception as error:  # pylint: disable=broad-except
                failed += 1
                print(f"FAILED {case.__name__}: {error!r}", flush=True)
                world.behave("good")
                world.store.mode = "up"
    finally:
        world.close()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
