#!/usr/bin/env python3
"""Configuration and keys across real hosts: withdrawals and boot while the log is away, a host cut off from the log,
racing operators with lost answers, and records that expire."""

import json
import os
import sys
import time
import unittest

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from fleet import klockbanken
from fleet.processes import Fleet, call, free_ports, address, wait_until

KEYS_STALE = 204
RATE_EXCEEDED = 301
LOST_RACE_EXIT = 24


class FleetTest(unittest.TestCase):
    """Starts a fleet of five hosts with one published configuration."""

    settings = {}

    def setUp(self):
        self.fleet = Fleet(hosts=5, services={"loan-desk": 2, "archive": 2}, settings={"limit_slots": 5, **self.settings})
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.begin()

    def begin(self):
        """Brings up the hosts; some tests do so otherwise."""
        self.fleet.start_hosts()
        wait_until(self.slots_are_held, "every limit slot to be held")
        self.publish_first()

    def slots_are_held(self):
        """Without a held slot nothing can be admitted, so a log that goes away before is another matter."""
        holders = self.status(self.fleet.hosts[0])["limit_slots"]["holders"]
        return holders and all(each["incarnation"] for each in holders)

    def publish_first(self):
        self.configuration = klockbanken.configuration(self.fleet.servers, self.fleet.zones)
        self.fleet.ctl("publish", self.fleet.write("first.json", self.configuration))

    def status(self, host):
        return self.fleet.operator(host, "GET", "/status")[1]

    def lookup(self, host, account="gotland"):
        """Returns the status and the result code of a lookup."""
        headers = {"Authorization": f"Bearer {klockbanken.secret_of(account)}"}
        status, _, body = call(host.callers, "GET", "/clocks/free", headers=headers)
        return status, 0 if status == 200 else json.loads(body)["code"]

    def assert_key_works(self, host, secret):
        """Until an account's pooler has its slices a request may be refused by the limit, but never for its key."""
        def answered():
            status, _, body = call(host.callers, "GET", "/clocks/free", headers={"Authorization": f"Bearer {secret}"})
            if status != 200:
                self.assertEqual(json.loads(body)["code"], RATE_EXCEEDED)
            return status == 200
        wait_until(answered, "a request with a good key to be answered")

    def changed(self, deadline):
        self.configuration["routes"][0]["deadline_ms"] = deadline
        return self.fleet.write(f"change-{deadline}.json", self.configuration)

    def set_log(self, **faults):
        self.fleet.control(self.fleet.log, faults)

    def restart(self, host):
        host.process.kill()
        self.fleet.start_host(host)


class LogAwayTest(FleetTest):
    """The log is away."""

    def test_withdraw_log_away_refused_everywhere_and_logged_later(self):
        hosts = self.fleet.hosts
        self.set_log(outage=True)
        result = self.fleet.ctl("keys", "withdraw", "key-gotland")
        self.assertIn("logged=unknown", result.stdout)
        wait_until(lambda: all(self.lookup(host) == (401, 203) for host in hosts), "the key to be refused everywhere")
        self.set_log(outage=False)
        wait_until(lambda: all(self.status(host)["withdrawn_keys_not_logged"] == 0 for host in hosts), "the withdrawal to reach the log")
        self.restart(hosts[0])
        wait_until(lambda: self.lookup(hosts[0]) == (401, 203), "a restarted host to refuse the key")

    def test_boot_log_away_takes_version_and_keys_from_peers(self):
        # The first host to start holds every slot for a moment; if it died then, nothing could be admitted.
        wait_until(lambda: all(self.status(host)["limit_slots"]["held"] for host in self.fleet.hosts[1:3]), "two other hosts to hold a limit slot", 30)
        self.fleet.ctl("keys", "withdraw", "key-gotland")
        self.set_log(outage=True)
        self.restart(self.fleet.hosts[0])
        wait_until(lambda: self.fleet.ready(self.fleet.hosts[0]), "the restarted host to be ready")
        self.assertEqual(self.status(self.fleet.hosts[0])["configuration_version"], 1)
        self.assertEqual(self.lookup(self.fleet.hosts[0]), (401, 203))
        self.assert_key_works(self.fleet.hosts[0], klockbanken.secret_of("norrland"))

    def test_publish_log_away_exits_with_its_own_code(self):
        self.set_log(outage=True)
        result = self.fleet.ctl("publish", self.changed(1700), "--timeout", "1", check=False)
        self.assertEqual(result.returncode, 25, result.stderr)
        status, _, _ = call(self.fleet.hosts[0].operators, "GET", "/status")
        self.assertEqual(status, 403)


class CutOffTest(FleetTest):
    """One host has a dead port for the log from its start."""

    def begin(self):
        cut = self.fleet.hosts[0]
        dead = address(free_ports(1)[0])
        self.fleet.extra_settings["log"] = dead
        self.fleet.start_host(cut)
        self.fleet.extra_settings.pop("log")
        for host in self.fleet.hosts[1:]:
            self.fleet.start_host(host)
        self.fleet.announce()
        wait_until(lambda: all(call(host.operators, "GET", "/healthz")[0] == 200 for host in self.fleet.hosts), "hosts to listen")
        self.publish_first()

    def test_publish_and_withdraw_host_cut_off_from_the_log_follows_its_peers(self):
        self.fleet.ctl("publish", self.changed(1800))
        cut = self.fleet.hosts[0]
        self.assertEqual(self.status(cut)["configuration_version"], 2)
        self.fleet.ctl("keys", "withdraw", "key-gotland")
        wait_until(lambda: self.lookup(cut) == (401, 203), "the cut-off host to refuse the key")
        self.assertEqual(self.lookup(cut, "norrland"), (200, 0))


class IsolatedTest(FleetTest):
    """Hosts that hear nothing, with a short bound."""

    settings = {"key_staleness_ms": 3000}

    def test_request_neither_log_nor_peers_for_the_bound_is_refused_as_not_run(self):
        last = self.fleet.hosts[0]
        for host in self.fleet.hosts[1:]:
            host.process.kill()
        self.set_log(outage=True)
        wait_until(lambda: self.lookup(last)[1] == KEYS_STALE, "keyed requests to be refused")
        self.assertFalse(self.fleet.ready(last))
        status, _, _ = call(last.callers, "GET", "/hours")
        self.assertEqual(status, 200)
        self.set_log(outage=False)
        wait_until(lambda: self.fleet.ready(last), "the host to be ready again")

    def test_request_after_a_freeze_longer_than_the_bound_is_refused_first(self):
        frozen = self.fleet.hosts[0]
        frozen.process.freeze()
        self.set_log(outage=True)
        for host in self.fleet.hosts[1:]:
            host.process.freeze()
        time.sleep(4)
        frozen.process.thaw()
        self.assertEqual(self.lookup(frozen), (503, KEYS_STALE))
        for host in self.fleet.hosts[1:]:
            host.process.thaw()


class OperatorsTest(FleetTest):
    """Operators race, and answers of the log are lost."""

    def test_publish_based_on_an_old_version_names_the_winner(self):
        self.fleet.ctl("publish", self.changed(1600), "--author", "anna", "--replaces", "1")
        result = self.fleet.ctl("publish", self.changed(1900), "--author", "bertil", "--replaces", "1", check=False)
        self.assertEqual(result.returncode, LOST_RACE_EXIT)
        self.assertIn("version 2 by anna", result.stderr)

    def test_publish_answer_lost_is_accepted_once(self):
        self.set_log(lose_answers=1)
        result = self.fleet.ctl("publish", self.changed(1600), "--output", "json")
        self.assertEqual(json.loads(result.stdout)["version"], 2)
        self.assertEqual({self.status(host)["configuration_version"] for host in self.fleet.hosts}, {2})

    def test_publish_text_with_a_withdrawn_key_is_refused(self):
        self.fleet.ctl("keys", "withdraw", "key-gotland")
        result = self.fleet.ctl("publish", self.changed(1600), check=False)
        self.assertEqual(result.returncode, 23)
        self.assertIn("key-gotland of account gotland", result.stderr)

    def test_issued_key_works_and_its_secret_is_shown_once(self):
        issued = json.loads(self.fleet.ctl("keys", "issue", "--account", "norrland", "--output", "json").stdout)
        headers = {"Authorization": f"Bearer {issued['secret']}"}
        for host in self.fleet.hosts:
            self.assert_key_works(host, headers["Authorization"].removeprefix("Bearer "))
        listed = self.fleet.ctl("keys", "list").stdout
        self.assertIn(issued["key"], listed)
        self.assertNotIn(issued["secret"], listed)

    def test_drain_host_tells_its_peers_and_stops(self):
        leaving = self.fleet.hosts[4]
        # A host that the peers have not read from the list yet cannot be marked.
        wait_until(lambda: all(len(self.status(host)["links"]) == 4 for host in self.fleet.hosts), "every host to list the others")
        self.fleet.ctl("drain", leaving.name)
        self.assertEqual(leaving.process.wait(), 0)
        marked = lambda host: any(link["host"] == leaving.name and link["leaving"] for link in self.status(host)["links"])
        wait_until(lambda: all(marked(host) for host in self.fleet.hosts[:4]), "the peers to know that the host leaves")


class RetentionTest(FleetTest):
    """Records expire after a few more, and checkpoints are due within seconds."""

    settings = {"log_retention_ms": 8000}

    def test_restart_after_the_first_records_expired_reaches_the_same_version(self):
        self.fleet.ctl("keys", "withdraw", "key-gotland")
        self.configuration["accounts"] = [each for each in self.configuration["accounts"] if each["name"] != "gotland"]
        for deadline in (1501, 1502, 1503):
            self.fleet.ctl("publish", self.changed(deadline))
        time.sleep(5)
        self.set_log(retain_records=2)
        self.fleet.ctl("publish", self.changed(1504))
        restarted = self.fleet.hosts[0]
        self.restart(restarted)
        wait_until(lambda: self.status(restarted)["configuration_version"] == 5, "the restarted host to reach the version in force")
        wait_until(lambda: self.status(restarted)["withdrawn_keys"] == 1, "the restarted host to know the withdrawn key")


if __name__ == "__main__":
    unittest.main()
