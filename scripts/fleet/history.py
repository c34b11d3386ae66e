"""The history of a run: what callers, operators and stand-ins saw. All times are seconds of the machine's monotonic clock."""

import dataclasses
import json
from dataclasses import dataclass, field

ANSWERED = "answered"
REFUSED = "refused"
BROKEN = "broken"
UNSENT = "unsent"


@dataclass(frozen=True)
class Operation:
    """One request of a caller. `outcome` is answered (by a backend server), refused (by the fleet, with a result code),
    broken (no whole answer) or unsent (no connection)."""
    id: str
    kind: str
    host: str
    path: str
    invoked: float
    returned: float
    outcome: str
    account: str = ""
    key: str = ""
    booking: str = ""
    connection: int = 0
    connected: float = 0.0
    idle: float = 0.0
    status: int = 0
    code: int = 0
    execution: str = ""
    request_id: str = ""
    content: str = ""
    problem: str = ""


@dataclass(frozen=True)
class ServerRequest:
    """One request as a backend server saw it; `ran` is 0 if the server refused it before doing anything."""
    server: str
    request_id: str
    path: str
    received: float
    ran: float


@dataclass(frozen=True)
class Effect:
    """Something that a backend server did and that cannot be undone."""
    server: str
    request_id: str
    booking: str
    path: str


@dataclass(frozen=True)
class Withdrawal:
    """A key's withdrawal and when the operator was told that it is done."""
    key: str
    acknowledged: float


@dataclass(frozen=True)
class Publication:
    """An operator's change; `version` is the one it became, or 0 if it was not accepted."""
    author: str
    begun: float
    acknowledged: float
    version: int


@dataclass(frozen=True)
class ServiceStatus:
    """A service in a host's snapshot: how many of its backend servers are in each standing."""
    name: str
    floor_percent: int
    standings: dict


@dataclass(frozen=True)
class HostStatus:
    """One answer of a host's operator listener."""
    host: str
    incarnation: int
    asked: float
    answered: float
    version: int
    services: tuple = ()


@dataclass(frozen=True)
class Fault:
    """A fault and the time in which it lasted."""
    kind: str
    target: str
    begun: float
    ended: float


@dataclass(frozen=True)
class PlannedStop:
    """A host that was asked to stop."""
    host: str
    asked: float
    exit_code: int


@dataclass(frozen=True)
class Leaving:
    """A backend server that began to leave."""
    server: str
    since: float


@dataclass(frozen=True)
class Account:
    """A client account's limits."""
    name: str
    rate: float
    burst: float


@dataclass
class History:
    """All that was seen in one run."""
    accounts: list = field(default_factory=list)
    operations: list = field(default_factory=list)
    server_requests: list = field(default_factory=list)
    effects: list = field(default_factory=list)
    requests_with_key: int = 0
    withdrawals: list = field(default_factory=list)
    publications: list = field(default_factory=list)
    statuses: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    leavings: list = field(default_factory=list)
    starts: list = field(default_factory=list)  # (host, incarnation, time it was ready)
    contents: dict = field(default_factory=dict)  # path without the operation's mark -> digest of the right content

    def write(self, path):
        """Writes one JSON line for each entry."""
        with open(path, "w", encoding="utf-8") as file:
            for name, value in dataclasses.asdict(self).items():
                for entry in value if isinstance(value, list) else [value]:
                    file.write(json.dumps({"kind": name, "entry": entry}) + "\n")


def content_path(path):
    """Returns `path` without the mark that makes each operation's path unique."""
    for mark in ("?op=", "&op="):
        path = path.split(mark)[0]
    return path
