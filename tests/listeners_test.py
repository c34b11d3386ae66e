#!/usr/bin/env python3
"""Listeners of gateway hosts whose ports are taken or whose descriptors have run out, and signals at the start."""

import os
import resource
import signal
import socket
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet.gateway_fixture import BUILD, check, run_cases, send_request
from fleet.platform_standins import Gateway, host_and_port
from fleet.processes import wait_until

PORTS = ("callers", "readiness", "operators", "peers")
TAKEN_S = 3
# Shorter than the time for which a host waits for its ports.
START_S = 10
FEW_DESCRIPTORS = 89
# Fewer than a host has open.
NO_DESCRIPTORS = 3
IDLE_CALLERS = 300
IDLE_S = 2
# An HTTP/2 server sends its settings to each connection that begins like this.
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0"
SIGNAL_S = 0.1


class TakenPorts:
    """Listens on ports of a host that is to be started."""

    def __init__(self):
        self.sockets = []

    def take(self, endpoint):
        taken = socket.socket()
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind(host_and_port(endpoint))
        taken.listen()
        self.sockets.append(taken)

    def free(self):
        while self.sockets:
            self.sockets.pop().close()


class StartedHost:
    """A host of its own, started while some of its ports are taken."""

    count = 0

    def __init__(self, fixture, taken_ports=(), descriptors=None, before_start=lambda host: None):
        StartedHost.count += 1
        self.taken = TakenPorts()

        def prepare(host):
            before_start(host)
            for port in taken_ports:
                self.taken.take(getattr(host, port))

        usual = resource.getrlimit(resource.RLIMIT_NOFILE)
        try:
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, usual[1]))
            self.host = Gateway(f"listening-{StartedHost.count}", "a", fixture.store, fixture.directory, BUILD,
                                before_start=prepare)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, usual)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.taken.free()
        if self.host.process.alive():
            self.host.process.kill()

    def events(self, name):
        return [line for line in self.host.log_lines() if f"event={name} " in line + " "]


def answers_http2(endpoint):
    with socket.create_connection(host_and_port(endpoint), timeout=1) as connection:
        connection.sendall(HTTP2_PREFACE)
        return bool(connection.recv(9))


def is_ready(host):
    try:
        return host.ready()
    except OSError:
        return False


def host_whose_port_is_taken_at_the_start_starts_once_it_is_free(fixture):
    started = [(port, StartedHost(fixture, [port])) for port in PORTS]
    try:
        time.sleep(TAKEN_S)
        for port, each in started:
            check(each.host.process.alive(), f"the host whose port for {port} is taken ended with {each.host.process.child.returncode}")
            check(port == "readiness" or not is_ready(each.host), f"ready though the port for {port} is taken")
            endpoint = getattr(each.host, port)
            failures = each.events("listen-failed")
            check(len(failures) == 1 and f"endpoint={endpoint} " in failures[0] and "Address already in use" in failures[0], f"{port}: {failures}")
            each.taken.free()
        for port, each in started:
            wait_until(each.host.ready, f"the host whose port for {port} was taken to be ready", START_S)
            check(send_request(each.host.callers, "GET", "/look/1").status == 200, f"request to the host whose port for {port} was taken")
            check(answers_http2(each.host.peers), f"port between hosts of the host whose port for {port} was taken")
            each.host.process.terminate()
        for port, each in started:
            check(each.host.process.wait() == 0, f"exit code of the host whose port for {port} was taken")
    finally:
        for _, each in started:
            each.__exit__()


def host_that_waits_for_a_port_heeds_signals(fixture):
    with StartedHost(fixture, ["callers"]) as started:
        wait_until(lambda: started.events("listen-failed"), "the host to find its port taken")
        started.host.process.reload()
        wait_until(lambda: started.events("settings-reloaded"), "the settings to be reloaded")
        started.host.process.terminate()
        check(started.host.process.wait(2) == 0, "exit code")


def host_whose_descriptors_ran_out_answers_other_hosts_again(fixture):
    with StartedHost(fixture, descriptors=FEW_DESCRIPTORS) as started:
        host = started.host
        host.await_ready()
        check(answers_http2(host.peers), "port between hosts at the start")
        idle = []
        for _ in range(IDLE_CALLERS):
            idle.append(socket.create_connection(host_and_port(host.callers), timeout=2))
        usual = resource.prlimit(host.process.child.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(host.process.child.pid, resource.RLIMIT_NOFILE, (NO_DESCRIPTORS, usual[1]))
        # In this time the host finds no descriptor for the other host.
        with socket.create_connection(host_and_port(host.peers), timeout=2):
            wait_until(lambda: any(host.peers in line for line in started.events("accept-failed")), "the host to lack descriptors", START_S)
            time.sleep(IDLE_S)
        resource.prlimit(host.process.child.pid, resource.RLIMIT_NOFILE, usual)
        for connection in idle:
            connection.close()
        wait_until(lambda: answers_http2(host.peers), "the port between hosts to be served", START_S)
        wait_until(host.ready, "the host to be ready", START_S)
        check(send_request(host.callers, "GET", "/look/1").status == 200, "request after the idle callers have left")


def signal_while_starting(fixture, number):
    """Returns a host that got a signal while it read its settings."""
    def hold_settings(host):
        os.rename(host.settings_path, host.settings_path + ".held")
        os.mkfifo(host.settings_path)

    started = StartedHost(fixture, before_start=hold_settings)
    path = started.host.settings_path
    # Waits until the host opens it too.
    with open(path, "w", encoding="utf-8") as held:
        os.rename(path + ".held", path)
        started.host.process.child.send_signal(number)
        time.sleep(SIGNAL_S)
        with open(path, encoding="utf-8") as settings:
            content = settings.read()
        if started.host.process.alive():
            held.write(content)
    return started


def host_that_is_told_to_reload_while_it_starts_reloads(fixture):
    with signal_while_starting(fixture, signal.SIGHUP) as started:
        check(started.host.process.alive(), f"the host ended with {started.host.process.child.returncode}")
        wait_until(lambda: started.events("settings-reloaded"), "the settings to be reloaded")
        started.host.await_ready()


def host_that_is_told_to_stop_while_it_starts_stops_as_planned(fixture):
    with signal_while_starting(fixture, signal.SIGTERM) as started:
        check(started.host.process.wait() == 0, f"exit code {started.host.process.child.returncode}")
        check(len(started.events("host-stopped")) == 1, "no host-stopped in the log")


CASES = [host_whose_port_is_taken_at_the_start_starts_once_it_is_free, host_that_waits_for_a_port_heeds_signals,
         host_whose_descriptors_ran_out_answers_other_hosts_again, host_that_is_told_to_reload_while_it_starts_reloads,
         host_that_is_told_to_stop_while_it_starts_stops_as_planned]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
