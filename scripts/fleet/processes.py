"""Processes of a fleet on loopback, each ended by its own id."""

import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FLEET_SECRET = "demo-fleet-secret-0123456789"
START_SECONDS = 15
LISTEN_PORTS = (10000, 28000)
PORTS_A_PROCESS = 1500
HANDED_OUT = set()
STOP_SECONDS = 20


class FleetError(Exception):
    """Something that the run cannot go on without."""


def bound_socket():
    """Returns a socket bound to a free port below those that the system gives to outgoing connections. No port comes
    twice in one run: whom it was meant for may not have bound it yet."""
    while True:
        port = random.randrange(*own_ports())
        if port in HANDED_OUT:
            continue
        candidate = socket.socket()
        try:
            candidate.bind(("127.0.0.1", port))
            HANDED_OUT.add(port)
            return candidate
        except OSError:
            candidate.close()


def own_ports():
    """Returns the range of ports of this process, so that fleets of neighbouring processes do not meet."""
    ranges = (LISTEN_PORTS[1] - LISTEN_PORTS[0]) // PORTS_A_PROCESS
    first = LISTEN_PORTS[0] + os.getpid() % ranges * PORTS_A_PROCESS
    return first, first + PORTS_A_PROCESS


def free_ports(count):
    """Returns `count` different ports that were free a moment ago."""
    sockets = [bound_socket() for _ in range(count)]
    try:
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def address(port):
    return f"127.0.0.1:{port}"


def call(endpoint, method, path, body=None, headers=None, timeout=5):
    """Sends one request and returns (status, headers, body); HTTP errors are answers, not exceptions."""
    request = urllib.request.Request(f"http://{endpoint}{path}", data=body, method=method, headers=headers or {})
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_until(condition, what, seconds=START_SECONDS):
    """Polls `condition` until it is true; raises FleetError after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise FleetError(f"timed out: {what}")


class Process:
    """One process with its log file. `address_space` limits it in bytes, `descriptors` its open files."""

    def __init__(self, name, command, log_directory, address_space=resource.RLIM_INFINITY, descriptors=None):
        def limit():
            resource.setrlimit(resource.RLIMIT_AS, (address_space, address_space))
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        self.name = name
        self.log_path = os.path.join(log_directory, f"{name}.log")
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, preexec_fn=limit)

    def alive(self):
        return self.child.poll() is None

    def kill(self):
        self.child.kill()
        self.child.wait()

    def freeze(self):
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.child.send_signal(signal.SIGCONT)

    def reload(self):
        self.child.send_signal(signal.SIGHUP)

    def terminate(self):
        self.child.send_signal(signal.SIGTERM)

    def wait(self, seconds=STOP_SECONDS):
        """Returns the exit code; raises FleetError if the process does not end."""
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise FleetError(f"{self.name} did not stop in {seconds} s") from error


class Host:
    """One entry host: its identity, addresses and process."""

    def __init__(self, name, zone, ports):
        self.name = name
        self.zone = zone
        self.callers, self.operators, self.peers = (address(port) for port in ports)
        self.leaving = False
        self.process = None

    def entry(self):
        """Its row in the platform's list."""
        return {"host": self.name, "zone": self.zone, "callers": self.callers, "operators": self.operators,
                "peers": self.peers, "leaving": self.leaving}


class Fleet:
    """The stand-ins and the hosts of one run; use it as a context manager."""

    def __init__(self, build=None, hosts=4, zones=("z1", "z2", "z3"), services=None, settings=None):
        self.binaries = os.path.join(build or os.path.join(ROOT, "build"), "bin")
        self.directory = tempfile.mkdtemp(prefix="lacewingsail-")
        self.zones = zones
        self.extra_settings = settings or {}
        ports = free_ports(3 + 3 * hosts + sum((services or {}).values()))
        take = iter(ports)
        self.log, self.host_list, self.backend_control = (address(next(take)) for _ in range(3))
        self.hosts = [Host(f"host-{index}", zones[index % len(zones)], [next(take) for _ in range(3)]) for index in range(hosts)]
        self.servers = {name: [address(next(take)) for _ in range(count)] for name, count in (services or {}).items()}
        self.standins = {}
        self.control_lines = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def binary(self, name):
        return os.path.join(self.binaries, name)

    def start_platform(self):
        servers = [argument for group in self.servers.values() for each in group for argument in ("--listen", each)]
        self.standins["log"] = Process("log", [self.binary("standin-log"), "--listen", self.log], self.directory)
        self.standins["host-list"] = Process("host-list", [self.binary("standin-host-list"), "--listen", self.host_list], self.directory)
        self.standins["backend"] = Process("backend", [self.binary("standin-backend"), *servers, "--control", self.backend_control], self.directory)
        wait_until(lambda: call(self.log, "POST", "/control", b"{}")[0] == 200, "log stand-in")
        wait_until(lambda: call(self.host_list, "POST", "/control", b"{}")[0] == 200, "host list stand-in")
        wait_until(lambda: call(self.backend_control, "GET", "/seen")[0] == 200, "backend stand-in")
        self.announce()

    def announce(self, **more):
        """Sets the platform's list to the hosts that have a process."""
        listed = [host.entry() for host in self.hosts if host.process]
        self.control(self.host_list, {"hosts": listed, **more})

    def control(self, endpoint, settings, path="/control"):
        status, _, body = call(endpoint, "POST", path, json.dumps(settings).encode())
        if status != 200:
            raise FleetError(f"control of {endpoint} failed: {body!r}")

    def fault(self, server, **faults):
        self.control(self.backend_control, {"server": server, **faults}, "/faults")

    def settings_of(self, host):
        return {"host": host.name, "zone": host.zone, "callers": host.callers, "operators": host.operators,
                "peers": host.peers, "log": self.log, "host_list": self.host_list, "fleet_secret": FLEET_SECRET,
                **self.extra_settings}

    def start_host(self, host):
        path = os.path.join(self.directory, f"{host.name}.json")
        settings = self.settings_of(host)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        host.process = Process(host.name, [self.binary("lacewingd"), "--settings", path], self.directory)

    def start_hosts(self):
        for host in self.hosts:
            self.start_host(host)
        self.announce()
        for host in self.hosts:
            wait_until(lambda host=host: call(host.operators, "GET", "/healthz")[0] == 200, f"{host.name} to listen")

    def ready(self, host):
        return call(host.operators, "GET", "/readyz")[0] == 200

    def operator(self, host, method, path, body=None):
        headers = {"Authorization": f"Bearer {FLEET_SECRET}"}
        status, _, answer = call(host.operators, method, path, body, headers)
        return status, json.loads(answer)

    def ctl(self, *arguments, check=True):
        """Runs lacewingctl; returns the completed process."""
        command = [self.binary("lacewingctl"), *arguments, "--log", self.log, "--host-list", self.host_list]
        result = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60,
                                env={**os.environ, "LACEWINGSAIL_FLEET_SECRET": FLEET_SECRET})
        if check and result.returncode != 0:
            raise FleetError(f"lacewingctl {' '.join(arguments)}: exit {result.returncode}: {result.stderr}")
        return result

    def write(self, name, value):
        path = os.path.join(self.directory, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file, indent=2)
        return path

    def stop_hosts(self):
        """A planned stop of every host; returns the exit codes by name."""
        running = [host for host in self.hosts if host.process and host.process.alive()]
        for host in running:
            host.process.terminate()
        return {host.name: host.process.wait() for host in running}

    def close(self):
        processes = [host.process for host in self.hosts if host.process] + list(self.standins.values())
        for process in processes:
            if process.alive():
                process.kill()
        shutil.rmtree(self.directory, ignore_errors=True)
