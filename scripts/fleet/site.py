"""A deployment that a site file describes, as real processes on loopback addresses: all hosts with the command, the template and
the settings of the deploy file, its backend servers and its callers as stand-ins."""

import asyncio
import collections
import json
import multiprocessing
import os
import random
import re
import resource
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

from fleet.platform_standins import Store
from fleet.processes import ROOT, FleetError, free_ports
from fleet.relays import Relays

ROLE = "gateway"
HOST_NAME = "site.example"
GRACE_S = 6.0
RESTART_DELAY_S = 0.5
QUEUE = 24
HEARTBEAT_S = 1.5
READINESS_INTERVAL_S = 1.0
# Two misses take a host out of the balancer's rotation.
MISSES = 2
# Chance that a caller closes its connection after a response.
CLOSE_SHARE = 0.1
BOUNDS = {"drainS": 2, "graceS": GRACE_S, "configPropagationS": 2, "retryBudgetRatio": 0.2, "retryBudgetSlack": 60, "budgetWindowS": 10,
          "quotaOvershoot": 0.1, "quotaSlack": 20, "quotaWindowS": 5, "floorShare": 0.7}


def fill(template, fields):
    """Fills the placeholders {{a.b}} and {{a.b|json}} of a settings template."""

    def value_of(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, template)


class BackendServer:
    """One backend server: `slots` requests at a time, QUEUE more wait, others are refused. Its responses are signed."""

    def __init__(self, store, name, service, zone, slots, runs):
        self.store, self.name, self.service, self.zone, self.slots, self.runs = store, name, service, zone, slots, runs
        self.running, self.waiting, self.sequence = 0, collections.deque(), 0
        self.address = None
        self.born = time.time_ns() // 1_000_000

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.name, json.dumps({
                "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "warmupLeftS": 0, "sequence": self.sequence, "born": self.born}).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                fields = dict(line.split(": ", 1) for line in head[1:] if line)
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                if not await self.respond(reader, writer, head[0].split(" ")[1], fields):
                    break
        except (OSError, asyncio.IncompleteReadError):
            """The host has closed the connection."""
        finally:
            writer.close()

    async def respond(self, reader, writer, path, fields):
        def send(status, extra, body=b""):
            lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {fields['Attempt-Id']}", f"Content-Length: {len(body)}", "Keep-Alive: timeout=10", *extra]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

        if fields.get("Target-Instance") != self.name:
            send(421, ["Not-Executed: 1"])
            return True
        if self.running >= self.slots and len(self.waiting) >= QUEUE:
            send(503, ["Not-Executed: 1"])
            return True
        if self.running >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        self.running += 1
        self.runs.write(fields["Attempt-Id"] + "\n")
        try:
            work_s, size = path.split("/")[-1].split("-")
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=float(work_s))
            if done:
                return False
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
        finally:
            self.running -= 1
            if self.waiting:
                self.waiting.popleft().set_result(None)
        send(200, ["Response-Signature: s1", f"Server-Load: {self.running + 1},{len(self.waiting)},{self.slots}"], b"x" * int(size))
        await writer.drain()
        return True


def run_platform(site, store_port, ready, runs_file, silence):
    """The store and all backend servers, in a process of their own. The store is silent for the second part of `silence`, in seconds,
    after each first part."""
    relays = Relays()
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", store_port))
    listener.listen(1024)
    own_port = free_ports(1)[0]
    store = Store(own_port)
    relays.add("store", listener, f"127.0.0.1:{own_port}")
    routes = [{"name": each["name"], "kind": {"safe": "idempotent", "unsafe": "non_idempotent"}.get(each["kind"], each["kind"]),
               "targetLatencyS": each["aim_ms"] / 1000, "priority": each["priority"], "public": False, "match": {"pathPrefix": f"/{each['name']}/"},
               "action": {"service": each["service"], "timeoutS": each.get("timeout_ms", each["deadline_ms"]) / 1000, "maxAttempts": 3}}
              for each in site["classes"]]
    accounts = [{"name": f"account-{index}", "apiKeys": [f"key-{index}"], "ratePerS": 0, "burst": 0} for index in range(8)]
    store.put("keyed.op", "config", json.dumps({
        "version": "r7", "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}, "tenants": accounts,
        "listeners": [{"host": HOST_NAME, "routeRules": routes}],
        "clusters": [{"name": each["name"], "healthCheck": "/health", "maxConnections": each["conn_cap"], "protocol": "h1", "tls": False}
                     for each in site["services"]]}).encode())

    async def alternate():
        while silence:
            await asyncio.sleep(silence[0])
            relays.cut("store")
            await asyncio.sleep(silence[1])
            relays.heal("store")

    async def serve():
        runs = open(runs_file, "w", encoding="utf-8", buffering=1)
        servers = [BackendServer(store, f"i-{each['name']}-{part['zone']}-{index}", each["name"], part["zone"], each["slots"], runs)
                   for each in site["services"] for part in each["servers"] for index in range(part["count"])]
        ready.set()
        await asyncio.gather(alternate(), *(server.start() for server in servers))

    asyncio.run(serve())


class Host:
    """One host as a process, with the limits of its machine. `stopping` says that its end was asked for."""

    def __init__(self, deployment, name, zone, address, limits):
        self.deployment, self.name, self.zone, self.address, self.limits = deployment, name, zone, address, limits
        self.front, self.readiness, self.control = (f"{address}:{port}" for port in deployment.ports[:3])
        self.process, self.stopping, self.starts, self.ended_at = None, False, 0, None
        self.settings = os.path.join(deployment.directory, f"{name}.settings")

    def write_settings(self):
        fields = {"node": self.name, "role": ROLE, "machineClass": "edge", "ip": self.address, "zone": self.zone, "heartbeatS": HEARTBEAT_S,
                  "internalPortRange": [self.deployment.ports[3], self.deployment.ports[3]], "seeds": self.deployment.seeds(),
                  "listen": {"front": self.front, "readiness": self.readiness, "control": self.control}, "limits": self.limits,
                  "bounds": BOUNDS, "platform": {"address": self.deployment.store_address}}
        with open(os.path.join(ROOT, self.deployment.role["template"]), encoding="utf-8") as template, open(self.settings, "w", encoding="utf-8") as file:
            file.write(fill(template.read(), fields))

    def limit_resources(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.limits["maxFds"], self.limits["maxFds"]))
        resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
        if self.deployment.cores:
            os.sched_setaffinity(0, range(self.deployment.cores))
        if self.deployment.address_space:
            resource.setrlimit(resource.RLIMIT_AS, (self.limits["memoryMb"] << 20,) * 2)

    def start(self):
        self.write_settings()
        self.stopping = False
        self.starts += 1
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        output = open(os.path.join(self.deployment.directory, f"{self.name}.log"), "ab") if self.deployment.output == "file" else subprocess.PIPE
        self.process = subprocess.Popen(self.deployment.role["run"].split(" "), cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT,
                                        env={**environment, "LACEWINGSAIL_CONFIG": self.settings}, preexec_fn=self.limit_resources)
        self.ended_at = None
        threading.Thread(target=self.await_end, args=(self.process,), daemon=True).start()
        if output is not subprocess.PIPE:
            output.close()
        elif self.deployment.output == "closed":
            self.process.stdout.close()

    def await_end(self, process):
        process.wait()
        self.ended_at = time.monotonic()

    def is_ready(self):
        """Returns whether the readiness address answers 200 within the interval of the balancer."""
        try:
            host, port = self.readiness.split(":")
            with socket.create_connection((host, int(port)), timeout=READINESS_INTERVAL_S) as connection:
                connection.settimeout(READINESS_INTERVAL_S)
                connection.sendall(b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def peak_memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                return next((int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM:")), 0)
        except OSError:
            return 0


class Callers:
    """Callers of all zones, on kept, fresh and pipelined connections. They use a connection until it ends."""

    def __init__(self, site, hosts, seconds, seed, latency):
        self.site, self.hosts, self.seconds, self.latency = site, hosts, seconds, latency
        self.random = random.Random(seed)
        self.in_rotation = {host["name"]: True for host in hosts}
        self.misses = collections.Counter()
        self.idle = collections.defaultdict(list)
        self.results = []
        self.count = 0

    async def poll_readiness(self, host):
        while True:
            status = b""
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*host["readiness"]), READINESS_INTERVAL_S)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                status = await asyncio.wait_for(reader.read(64), READINESS_INTERVAL_S)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                """Counts as a miss."""
            ready = status.startswith(b"HTTP/1.1 200")
            self.misses[host["name"]] = 0 if ready else self.misses[host["name"]] + 1
            self.in_rotation[host["name"]] = self.misses[host["name"]] < MISSES
            await asyncio.sleep(READINESS_INTERVAL_S)

    def choose_host(self, zone):
        local = [host for host in self.hosts if host["zone"] == zone]
        ready = [host for host in local if self.in_rotation[host["name"]]]
        return self.random.choice(ready if 2 * len(ready) >= len(local) else local)

    async def connect(self, zone):
        host = self.choose_host(zone)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*host["front"]), 1)
        return host, reader, writer

    def request(self, kind):
        work = min(self.random.expovariate(1000 / kind["work_ms"]["mean"]), kind["work_ms"]["max"] / 1000)
        size = int(min(self.random.expovariate(1 / max(1, kind["resp_bytes"]["mean"])), kind["resp_bytes"]["max"]))
        body = b"x" * 300 if kind["method"] == "POST" else b""
        self.count += 1
        head = (f"{kind['method']} /{kind['name']}/{work:.3f}-{size} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {self.count:016x}\r\n"
                f"Deadline-Ms: {int(kind['deadline_ms'])}\r\nAuthorization: Token key-{self.random.randrange(8)}\r\n")
        return head.encode() + (f"Content-Length: {len(body)}\r\n".encode() if body else b"") + b"\r\n" + body

    @staticmethod
    async def read_response(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(fields.get("Content-Length", 0)))
        return int(head[0].split(" ")[1]), fields

    async def send(self, zone, kind):
        """Sends one request, a burst of three on one connection if the kind is pipelined."""
        started = time.monotonic()
        count = 3 if kind["habit"] == "pipeline" else 1
        host, statuses, closes, first = None, [], True, 0
        pool = self.idle[zone] if kind["habit"] != "fresh" else []
        try:
            if pool:
                host, reader, writer = pool.pop(self.random.randrange(len(pool)))
            else:
                host, reader, writer = await self.connect(zone)
            if reader.at_eof():
                host = None
                host, reader, writer = await self.connect(zone)
            # What the host closes in this time crosses the request.
            await asyncio.sleep(self.latency)
            started = time.monotonic()
            first = self.count + 1
            for _ in range(count):
                writer.write(self.request(kind))
            for _ in range(count):
                status, fields = await asyncio.wait_for(self.read_response(reader), kind["deadline_ms"] / 1000 + 2)
                statuses.append(status)
                closes = fields.get("Connection", "").lower() == "close"
                if closes:
                    # What was sent behind a closing response counts as not read.
                    count = len(statuses)
                    break
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            statuses.append(f"{'none' if host else 'no connection'} ({type(error).__name__}, {len(getattr(error, 'partial', b''))} bytes)")
        ended = time.monotonic()
        for index, status in enumerate(statuses):
            self.results.append((started, ended, host["name"] if host else "", kind["name"], status, f"{first + index:016x}"))
        if host and (closes or self.random.random() < CLOSE_SHARE or not isinstance(statuses[-1], int)):
            writer.close()
        elif host:
            pool.append((host, reader, writer))

    async def generate(self, zone, kind, per_second, ends_at):
        tasks = set()
        batch = 3 if kind["habit"] == "pipeline" else 1
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.random.expovariate(per_second / batch))
            task = asyncio.ensure_future(self.send(zone, kind))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def run(self):
        polls = [asyncio.ensure_future(self.poll_readiness(host)) for host in self.hosts]
        ends_at = time.monotonic() + self.seconds
        kinds = {each["name"]: each for each in self.site["classes"]}
        streams = []
        for part in self.site["traffic"]:
            total = sum(part["mix"].values())
            for name, share in part["mix"].items():
                streams.append(self.generate(part["zone"], kinds[name], part["per_s"] * share / total, ends_at))
        await asyncio.gather(*streams)
        for poll in polls:
            poll.cancel()
        return self.results


def run_callers(site, hosts, seconds, seed, latency, results):
    results.put(asyncio.run(Callers(site, hosts, seconds, seed, latency).run()))


class Deployment:
    """All processes of a site. A context manager that ends what it started, by id."""

    def __init__(self, site_file, output="file", address_space=False, cores=None, silence=None):
        with open(site_file, "rb") as file:
            self.site = tomllib.load(file)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"][ROLE]
        self.output, self.address_space, self.cores = output, address_space, cores
        self.directory = tempfile.mkdtemp(prefix="lacewingsail-site-")
        self.runs_file = os.path.join(self.directory, "runs")
        self.ports = free_ports(4)
        store_port = free_ports(1)[0]
        self.store_address = f"127.0.0.1:{store_port}"
        block = random.randrange(16, 240)
        self.hosts = []
        for part in self.site["machines"]:
            limits = {"cpuShare": part["cpu_share"], "cores": part["cores"], "memoryMb": part["memory_mb"], "maxFds": part["fds"], "linkMbps": part["link_mbps"]}
            for index in range(part["count"]):
                number = len(self.hosts) + 1
                self.hosts.append(Host(self, f"edge-{part['zone']}-{index + 1}", part["zone"], f"127.{block}.{number // 200}.{number % 200 + 1}", limits))
        ready = multiprocessing.Event()
        self.platform = multiprocessing.Process(target=run_platform, args=(self.site, store_port, ready, self.runs_file, silence), daemon=True)
        self.platform.start()
        if not ready.wait(10):
            raise FleetError("the stand-ins did not start")

    def seeds(self):
        return [self.hosts[index * len(self.hosts) // 3].control for index in range(3)]

    def runs(self):
        """Returns the ids of the requests that servers have begun to work on."""
        with open(self.runs_file, encoding="utf-8") as file:
            return set(file.read().split())

    def start_callers(self, seconds, seed, latency=0.0):
        """Returns the process and the queue that receives its results."""
        hosts = [{"name": host.name, "zone": host.zone, "front": tuple(host.front.split(":")), "readiness": tuple(host.readiness.split(":"))} for host in self.hosts]
        results = multiprocessing.Queue()
        process = multiprocessing.Process(target=run_callers, args=(self.site, hosts, seconds, seed, latency, results), daemon=True)
        process.start()
        return process, results

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        self.platform.kill()
        self.platform.join()
