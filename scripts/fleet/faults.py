"""A fleet whose links run through relays, the faults it can suffer, and schedules of faults drawn from a seed."""

import random
import threading
import time
from dataclasses import dataclass

from .history import Fault, Leaving, PlannedStop
from .processes import Fleet, FleetError, address, bound_socket, call, wait_until
from .relays import BACKWARD, BOTH, FORWARD, Relays

FREEZE_SECONDS = (3.0, 5.0)
CUT_SECONDS = (2.0, 5.0)
OUTAGE_SECONDS = (3.0, 6.0)
KILL_SECONDS = (0.5, 3.0)
SLOW_LOG_MILLISECONDS = 400
LOST_ANSWERS = 3


@dataclass(frozen=True)
class PlannedFault:
    """A fault to come: `at` and `length` in seconds from the start of the schedule."""
    at: float
    length: float
    kind: str
    target: str


class FaultyFleet(Fleet):
    """A fleet with a relay in each directed link between hosts, and from each host to the log and the list of hosts.
    The last `spares` hosts are not started: they replace others."""

    def __init__(self, history, spares=0, relay_servers=False, **options):
        super().__init__(**options)
        self.history = history
        self.spares = self.hosts[len(self.hosts) - spares:]
        self.active = self.hosts[:len(self.hosts) - spares]
        self.incarnations = {host.name: 0 for host in self.hosts}
        self.stopping = set()
        self.relays = Relays()
        self.lock = threading.Lock()
        names = [f"{a.name}>{b.name}" for a in self.hosts for b in self.hosts if a is not b]
        names += [f"{host.name}>{service}" for host in self.hosts for service in ("log", "list")]
        servers = [each for group in self.servers.values() for each in group] if relay_servers else []
        # Held from here on, so that no one else can take their ports.
        self.listeners = {name: bound_socket() for name in names + servers}
        self.relay_addresses = {name: address(listener.getsockname()[1]) for name, listener in self.listeners.items()}

    def close(self):
        super().close()
        self.relays.close()

    def host(self, name):
        return next(host for host in self.hosts if host.name == name)

    def server_addresses(self):
        """Returns the addresses of backend servers as the configuration names them, by service."""
        return {service: [self.relay_addresses.get(each, each) for each in group] for service, group in self.servers.items()}

    def settings_of(self, host):
        relayed = {"log": self.relay_addresses[f"{host.name}>log"], "host_list": self.relay_addresses[f"{host.name}>list"]}
        return {**super().settings_of(host), **relayed}

    def start_relays(self):
        targets = {f"{a.name}>{b.name}": b.peers for a in self.hosts for b in self.hosts if a is not b}
        for host in self.hosts:
            targets |= {f"{host.name}>log": self.log, f"{host.name}>list": self.host_list}
        for name, listener in self.listeners.items():
            self.relays.add(name, listener, targets.get(name, name))
        views = {a.name: {b.name: self.relay_addresses[f"{a.name}>{b.name}"] for b in self.hosts if a is not b} for a in self.hosts}
        self.control(self.host_list, {"views": views})

    def start(self):
        """Starts the platform, the relays and the hosts that are not spares."""
        self.start_platform()
        self.start_relays()
        for host in self.active:
            self.start_host(host)
        self.announce()
        for host in self.active:
            wait_until(lambda host=host: call(host.operators, "GET", "/healthz")[0] == 200, f"{host.name} to listen")

    def await_ready(self, host):
        wait_until(lambda: self.ready(host), f"{host.name} to be ready", 30)
        self.history.starts.append((host.name, self.incarnations[host.name], time.monotonic()))

    def reachable_hosts(self):
        """Returns name, address and whether new connections go there, as a balancer would know the hosts."""
        return [(host.name, host.callers, host.name not in self.stopping) for host in list(self.active) if host.process and host.process.alive()]

    # Faults. Each takes the target's name and returns what ends it.

    def kill(self, name):
        host = self.host(name)
        host.process.kill()

        def restart():
            self.incarnations[name] += 1
            self.start_host(host)
            self.await_ready(host)
        return restart

    def freeze(self, name):
        process = self.host(name).process
        process.freeze()
        return process.thaw

    def links_of(self, name):
        """Returns the relays and the directions that carry bytes towards the host, and those that carry them away."""
        others = [host.name for host in self.hosts if host.name != name]
        inward = [(f"{name}>{other}", BACKWARD) for other in others] + [(f"{other}>{name}", FORWARD) for other in others]
        outward = [(f"{name}>{other}", FORWARD) for other in others] + [(f"{other}>{name}", BACKWARD) for other in others]
        return inward, outward

    def cut_links(self, links, drop=False):
        for name, direction in links:
            self.relays.cut(name, (direction,))

        def heal():
            for name, _ in links:
                self.relays.heal(name, drop)
        return heal

    def deafen(self, name):
        """The host hears no peer, but its peers hear it."""
        return self.cut_links(self.links_of(name)[0])

    def mute(self, name):
        """No peer hears the host, but it hears its peers."""
        return self.cut_links(self.links_of(name)[1])

    def cut_peers(self, name):
        inward, outward = self.links_of(name)
        return self.cut_links(inward + outward, drop=True)

    def cut_log(self, name):
        return self.cut_links([(f"{name}>log", direction) for direction in BOTH])

    def mute_log(self, name):
        """What the host appends takes effect, but it hears no answer."""
        return self.cut_links([(f"{name}>log", BACKWARD)])

    def isolate(self, name):
        inward, outward = self.links_of(name)
        platform = [(f"{name}>{service}", direction) for service in ("log", "list") for direction in BOTH]
        return self.cut_links(inward + outward + platform, drop=True)

    def log_outage(self, _):
        self.control(self.log, {"outage": True})
        return lambda: self.control(self.log, {"outage": False})

    def lose_answers(self, _):
        self.control(self.log, {"lose_answers": LOST_ANSWERS})
        return lambda: self.control(self.log, {"lose_answers": 0})

    def slow_log(self, _):
        self.control(self.log, {"slow_ms": SLOW_LOG_MILLISECONDS})
        return lambda: self.control(self.log, {"slow_ms": 0})

    def replace(self, name):
        """A planned stop, and a new host in place of the old."""
        host = self.host(name)
        self.start_spare()
        self.stopping.add(name)
        asked = time.monotonic()
        host.leaving = True
        self.announce()
        host.process.terminate()
        exit_code = host.process.wait(30)
        self.history.stops.append(PlannedStop(name, asked, exit_code))
        host.process = None
        self.active.remove(host)
        self.announce()
        return lambda: None

    def start_spare(self):
        if not self.spares:
            raise FleetError("no spare host left")
        spare = self.spares.pop(0)
        self.start_host(spare)
        self.announce()
        self.await_ready(spare)
        self.active.append(spare)

    def leave(self, server):
        """A backend server starts to refuse new work because it leaves."""
        self.fault(server, leaving=True)
        self.history.leavings.append(Leaving(server, time.monotonic()))
        return lambda: None

    def backend(self, fault):
        """A fault of a backend server, as "IP:PORT fault value"."""
        server, name, value = fault.split(" ")
        off = {"true": False}.get(value, -1 if name.endswith(("_after", "_says")) else 0)
        self.fault(server, **{name: True if value == "true" else int(value)})
        return lambda: self.fault(server, **{name: off})


LENGTHS = {"kill": KILL_SECONDS, "freeze": FREEZE_SECONDS, "deafen": CUT_SECONDS, "mute": CUT_SECONDS, "cut_peers": CUT_SECONDS,
           "cut_log": OUTAGE_SECONDS, "mute_log": CUT_SECONDS, "isolate": FREEZE_SECONDS, "log_outage": OUTAGE_SECONDS,
           "lose_answers": CUT_SECONDS, "slow_log": CUT_SECONDS, "replace": (3.0, 3.0), "leave": (0.0, 0.0), "backend": CUT_SECONDS}
FLEET_WIDE = ("log_outage", "lose_answers", "slow_log")


def draw_schedule(seed, kinds, hosts, seconds, together=2):
    """Draws faults of each kind in random order; up to `together` of them overlap, never twice at one target.
    `kinds` may hold "kind" for a random host, or "kind target"."""
    generator = random.Random(seed)
    order = list(kinds)
    generator.shuffle(order)
    step = seconds / max(len(order), 1)
    faults = []
    for index, entry in enumerate(order):
        kind, _, target = entry.partition(" ")
        at = step * index + generator.uniform(0, step / 2)
        length = min(generator.uniform(*LENGTHS[kind]), step * together)
        busy = {fault.target for fault in faults if fault.at + fault.length + 0.5 >= at}
        free = [name for name in hosts if name not in busy] or hosts
        if not target:
            target = "fleet" if kind in FLEET_WIDE else generator.choice(free)
        if kind == "replace":
            hosts = [name for name in hosts if name != target]
        faults.append(PlannedFault(at, length, kind, target))
    return faults


class FaultRun(threading.Thread):
    """Runs a schedule; each fault has a thread of its own, since faults overlap."""

    def __init__(self, fleet, schedule):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.schedule = schedule
        self.problems = []

    def run(self):
        start = time.monotonic()
        threads = [threading.Thread(target=self.inject, args=(fault, start), daemon=True) for fault in self.schedule]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def inject(self, fault, start):
        try:
            time.sleep(max(start + fault.at - time.monotonic(), 0))
            begun = time.monotonic()
            end = getattr(self.fleet, fault.kind)(fault.target)
            time.sleep(fault.length)
            end()
            self.fleet.history.faults.append(Fault(fault.kind, fault.target, begun, time.monotonic()))
        except (FleetError, OSError) as error:
            self.problems.append(f"{fault.kind} {fault.target}: {error}")
