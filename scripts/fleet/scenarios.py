"""Named scenarios: a small fleet under load, faults and operators, and the history that it leaves."""

import copy
import hashlib
import json
import random
import threading
import time
from dataclasses import dataclass

from . import klockbanken
from .callers import ARCHIVE_FILES, Caller, Credentials, Plan
from .faults import FaultRun, FaultyFleet, draw_schedule
from .history import Account, Effect, History, HostStatus, PlannedStop, Publication, ServerRequest, ServiceStatus, Withdrawal
from .processes import FleetError, call, wait_until

STATUS_INTERVAL = 0.2
SETTLE_SECONDS = 30
SECRET_TEXT = "demo-secret-"


@dataclass(frozen=True)
class Scenario:
    """What runs: the fleet's size, the load, the faults (see draw_schedule) and what operators do meanwhile."""
    name: str
    about: str
    faults: tuple = ()
    hosts: int = 5
    spares: int = 0
    seconds: float = 12.0
    rate: int = 60
    burst: int = 30
    callers_per_account: int = 1
    accounts: int = 4
    plan: Plan = Plan()
    racers: int = 0
    withdrawals: int = 0
    server_faults: tuple = ()
    settings: tuple = ()


# A host that hears neither the log nor peers refuses keyed requests well within checkers.KEY_SECONDS.
SHORT_STALENESS = (("key_staleness_ms", 1500),)

# Leases of limit slots that lapse within a freeze.
SHORT_LEASES = (("slot_lease_ms", 2500), ("loan_term_ms", 1000), ("block_term_ms", 300))
GREEDY = Plan(rate=80.0, bookings=0, keyed_bookings=0, downloads=0)

SCENARIOS = {scenario.name: scenario for scenario in (
    Scenario("calm", "no fault; every promise under load", racers=2, withdrawals=1),
    Scenario("greedy", "callers far above their rate, hosts killed and frozen", ("kill", "freeze"), rate=40, burst=20,
             callers_per_account=2, accounts=3, plan=GREEDY),
    Scenario("lapsed-leases", "hosts paused, killed and cut from the log for longer than their leases, under greedy callers",
             ("freeze", "kill", "mute_log", "freeze", "cut_log", "cut_peers"), rate=40, burst=20, callers_per_account=2, accounts=3, plan=GREEDY,
             seconds=20.0, settings=SHORT_LEASES),
    Scenario("cuts", "one-way and two-way cuts between hosts while operators race and withdraw", ("deafen", "mute", "cut_peers"), racers=3, withdrawals=2, settings=SHORT_STALENESS),
    Scenario("log-away", "the log is away, slow, and loses answers", ("log_outage", "lose_answers", "slow_log"), racers=2, withdrawals=2),
    Scenario("isolated", "a host hears neither log nor peers while keys are withdrawn", ("isolate", "isolate"), withdrawals=3, settings=SHORT_STALENESS),
    Scenario("bookings", "bookings repeated at other hosts, hosts killed, appended claims without an answer", ("kill", "lose_answers", "mute_log", "kill"),
             plan=Plan(rate=25.0, lookups=1, bookings=3, keyed_bookings=8, downloads=0, opens=0)),
    Scenario("replacement", "hosts stopped as planned and replaced under load", ("replace", "replace"), hosts=6, spares=2),
    Scenario("gray-servers", "stalls, errors, wrong and broken answers of backend servers", server_faults=("loan-desk stall true", "loan-desk error true", "loan-desk wrong true", "archive truncate_after 30000", "archive stall_after 30000"),
             plan=Plan(downloads=4)),
    Scenario("crossed", "answers that come crossed, late and twice, from flapping and cold servers",
             server_faults=("loan-desk wrong true", "loan-desk surplus true", "loan-desk flap_ms 500", "loan-desk cold_ms 4000", "archive load_says 0"),
             plan=Plan(lookups=8, bookings=3, keyed_bookings=0)),
    Scenario("broken-downloads", "backend servers break off in the middle of answers",
             server_faults=("archive truncate_after 30000", "archive truncate_after 100", "archive truncate_after 0"), plan=Plan(lookups=2, bookings=0, keyed_bookings=0, downloads=4)),
    Scenario("leaving", "backend servers leave", server_faults=("loan-desk leave", "archive leave")),
    Scenario("pairs", "pairs of faults of every kind", ("kill", "freeze", "deafen", "mute", "log_outage", "lose_answers", "cut_log"), racers=2, withdrawals=2, seconds=18.0, settings=SHORT_STALENESS),
)}


class StatusPoll(threading.Thread):
    """Asks one host for its status again and again."""

    def __init__(self, fleet, host, history, stop):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.host = host
        self.history = history
        self.stop = stop

    def run(self):
        while not self.stop.wait(STATUS_INTERVAL):
            if not self.host.process or not self.host.process.alive():
                continue
            incarnation = self.fleet.incarnations[self.host.name]
            asked = time.monotonic()
            try:
                status, answer = self.fleet.operator(self.host, "GET", "/status")
            except (OSError, ValueError):
                continue
            if status == 200 and incarnation == self.fleet.incarnations[self.host.name]:
                services = tuple(service_status(each) for each in answer["services"])
                self.history.statuses.append(HostStatus(self.host.name, incarnation, asked, time.monotonic(), answer["configuration_version"], services))


def service_status(answer):
    standings = {}
    for server in answer["backend_servers"]:
        standings[server["standing"]] = standings.get(server["standing"], 0) + 1
    return ServiceStatus(answer["name"], answer["floor_percent"], standings)


class Operators:
    """Operators who publish changes, several at once, and withdraw keys."""

    def __init__(self, fleet, configuration, history, generator):
        self.fleet = fleet
        self.configuration = configuration
        self.history = history
        self.generator = generator
        self.count = 0
        self.withdrawn = set()
        self.lock = threading.Lock()

    def publish(self, author):
        with self.lock:
            self.count += 1
            changed = copy.deepcopy(self.configuration)
            changed["routes"][0]["deadline_ms"] = 2000 + self.count
            # A text that names a withdrawn key is refused.
            for account in changed["accounts"]:
                account["keys"] = [key for key in account["keys"] if key["id"] not in self.withdrawn]
            path = self.fleet.write(f"change-{self.count}.json", changed)
        begun = time.monotonic()
        result = self.fleet.ctl("publish", path, "--author", author, "--no-wait", check=False)
        version = 0
        if result.returncode == 0:
            version = next(int(word.split("=")[1]) for word in result.stdout.split() if word.startswith("version="))
        self.history.publications.append(Publication(author, begun, time.monotonic(), version))

    def race(self, racers):
        threads = [threading.Thread(target=self.publish, args=(f"operator-{index}",), daemon=True) for index in range(racers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def withdraw(self, key):
        """Withdraws through the log and every host, or through the log alone if hosts are out of the operator's reach."""
        self.withdrawn.add(key)
        options = ["--host-list", "127.0.0.1:1"] if self.generator.random() < 0.5 else []
        result = self.fleet.ctl("keys", "withdraw", key, *options, check=False)
        if result.returncode == 0 and "logged=yes" in result.stdout or "hosts_told=0" not in result.stdout and result.returncode == 0:
            self.history.withdrawals.append(Withdrawal(key, time.monotonic()))


def operate(operators, scenario, keys, stop):
    """Spreads the operators' actions over the scenario."""
    step = scenario.seconds / (max(scenario.withdrawals, 1) + 1)
    for key in keys:
        if stop.wait(step):
            return
        if scenario.racers:
            operators.race(scenario.racers)
        operators.withdraw(key)
    while scenario.racers and not stop.wait(step):
        operators.race(scenario.racers)


def read_contents(fleet):
    """Reads each file of the archive from a backend server itself."""
    contents = {}
    for name, size in ARCHIVE_FILES:
        path = f"/archive/{name}?bytes={size}"
        status, _, body = call(fleet.servers["archive"][0], "GET", path)
        if status != 200 or len(body) != size:
            raise FleetError(f"no reference content for {path}")
        contents[path] = hashlib.sha256(body).hexdigest()
    return contents


def make_callers(fleet, scenario, withdrawn, seed):
    accounts = klockbanken.ACCOUNTS[:scenario.accounts]
    credentials = [Credentials(name, f"key-{name}", klockbanken.secret_of(name)) for name in accounts for _ in range(scenario.callers_per_account)]
    credentials += [Credentials(name, f"key-{name}", klockbanken.secret_of(name)) for name in withdrawn]
    credentials += [Credentials(), Credentials(secret="demo-secret-nobody")]
    callers = []
    for index, each in enumerate(credentials):
        plan = scenario.plan if each.account else Plan(rate=3.0)
        callers.append(Caller(f"c{index}", each, fleet.reachable_hosts, plan, f"{seed}/{index}"))
    return callers


def collect(fleet, history):
    """Adds what the backend servers saw."""
    def read(path):
        return json.loads(call(fleet.backend_control, "GET", path, timeout=30)[2])
    history.server_requests = [ServerRequest(each["server"], each["request"], each["path"], each["received"], each["ran"])
                               for each in read("/requests")["requests"] if "op=" in each["path"] or each["path"].startswith("/loans/")]
    history.effects = [Effect(each["server"], each["request"], each["key"], each["path"]) for each in read("/effects")["effects"]]
    history.requests_with_key = read("/seen")["requests_with_key"]


def settle(fleet, history):
    """Waits until every host has the latest accepted version; the checkers judge a host that never has it."""
    latest = max((publication.version for publication in history.publications), default=0)
    def agreed():
        return all(fleet.operator(host, "GET", "/status")[1]["configuration_version"] >= latest for host in fleet.active)
    try:
        wait_until(agreed, "every host to have the latest version", SETTLE_SECONDS)
    except FleetError:
        pass


def server_fault_kinds(fleet, scenario, generator):
    """Gives each of the scenario's faults of backend servers a server of its service, sparing the first of each."""
    servers = {service: group[1:] for service, group in fleet.servers.items()}
    for group in servers.values():
        generator.shuffle(group)
    kinds = []
    for entry in scenario.server_faults:
        service, fault = entry.split(" ", 1)
        server = servers[service].pop()
        kinds.append(f"leave {server}" if fault == "leave" else f"backend {server} {fault}")
    return kinds


def stop_all(fleet, history):
    """A planned stop of every host at once, under load."""
    hosts = list(fleet.active)
    for host in hosts:
        fleet.stopping.add(host.name)
    asked = time.monotonic()
    for host in hosts:
        host.process.terminate()
    for host in hosts:
        history.stops.append(PlannedStop(host.name, asked, host.process.wait(30)))


def begin(fleet, scenario, history, seed):
    """Starts the fleet, publishes the first configuration and waits until every host is ready."""
    fleet.start()
    fleet.control(fleet.backend_control, {"text": SECRET_TEXT}, "/watch")
    history.contents = read_contents(fleet)
    configuration = klockbanken.configuration(fleet.server_addresses(), fleet.zones, scenario.rate, scenario.burst)
    history.accounts = [Account(each["name"], each["rate_per_second"], each["burst"]) for each in configuration["accounts"]]
    operators = Operators(fleet, configuration, history, random.Random(f"{seed}/operators"))
    operators.publish("first")
    for host in fleet.active:
        fleet.await_ready(host)
    return operators


def run(scenario, seed, build=None):
    """Runs a scenario. Returns the history and problems of the run itself, such as a host that did not come back."""
    history = History()
    generator = random.Random(f"{seed}/{scenario.name}")
    settings = {"limit_slots": scenario.hosts + scenario.spares, **dict(scenario.settings)}
    with FaultyFleet(history, spares=scenario.spares, build=build, hosts=scenario.hosts + scenario.spares,
                     services=klockbanken.SERVICES, settings=settings) as fleet:
        operators = begin(fleet, scenario, history, seed)
        withdrawn = klockbanken.ACCOUNTS[-scenario.withdrawals:] if scenario.withdrawals else []
        callers = make_callers(fleet, scenario, withdrawn, seed)
        stop = threading.Event()
        polls = [StatusPoll(fleet, host, history, stop) for host in fleet.hosts]
        kinds = list(scenario.faults) + server_fault_kinds(fleet, scenario, generator)
        schedule = draw_schedule(f"{seed}/{scenario.name}", kinds, [host.name for host in fleet.active], scenario.seconds)
        faults = FaultRun(fleet, schedule)
        operation = threading.Thread(target=operate, args=(operators, scenario, [f"key-{name}" for name in withdrawn], stop), daemon=True)
        for thread in (*callers, *polls, faults, operation):
            thread.start()
        time.sleep(scenario.seconds)
        faults.join()
        settle(fleet, history)
        stop.set()
        operation.join()
        stop_all(fleet, history)
        for caller in callers:
            caller.stop()
        for thread in (*callers, *polls):
            thread.join()
        history.operations = [operation for caller in callers for operation in caller.operations]
        collect(fleet, history)
        return history, faults.problems
