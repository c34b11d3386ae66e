"""The configuration of a shrunken Klockbanken: a loan desk, an archive and eight client accounts."""

import hashlib

ACCOUNTS = ["norrland", "svealand", "gotaland", "stockholm", "skane", "dalarna", "jamtland", "gotland"]
SERVICES = {"loan-desk": 6, "archive": 4}


def secret_of(account):
    """The demo's secret for an account; real ones come from `lacewingctl keys issue`."""
    return f"demo-secret-{account}"


def configuration(servers, zones, rate=200, burst=200):
    """Returns the configuration for the given addresses of backend servers, by service."""
    def backend_servers(name):
        return [{"name": f"{name}-{index}", "zone": zones[index % len(zones)], "address": each, "slots": 6}
                for index, each in enumerate(servers[name])]

    def account(name):
        digest = hashlib.sha256(secret_of(name).encode()).hexdigest()
        return {"name": name, "rate_per_second": rate, "burst": burst, "keys": [{"id": f"key-{name}", "sha256": digest}]}

    return {
        "services": [
            {"name": "archive", "floor_percent": 50, "backend_servers": backend_servers("archive")},
            {"name": "loan-desk", "depends_on": ["archive"], "floor_percent": 60, "backend_servers": backend_servers("loan-desk")},
        ],
        "routes": [
            {"name": "free-clocks", "method": "GET", "path_prefix": "/clocks", "service": "loan-desk", "repeatable": True, "deadline_ms": 2000},
            {"name": "book-loan", "method": "POST", "path_prefix": "/loans", "service": "loan-desk", "deadline_ms": 5000},
            {"name": "archive-files", "method": "GET", "path_prefix": "/archive", "service": "archive", "repeatable": True, "deadline_ms": 60000},
            {"name": "opening-hours", "method": "GET", "path_prefix": "/hours", "service": "loan-desk", "access": "open", "repeatable": True},
        ],
        "accounts": [account(name) for name in ACCOUNTS],
    }
