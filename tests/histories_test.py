#!/usr/bin/env python3
"""Shows that every checker takes a good history and rejects a planted bad one."""

import dataclasses
import os
import random
import sys
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))

from fleet import checkers
from fleet.history import Account, Effect, Fault, History, HostStatus, Leaving, Operation, PlannedStop, Publication, ServerRequest, ServiceStatus, Withdrawal


def operation(identity, invoked, returned, **fields):
    base = Operation(id=identity, kind="lookup", host="host-0", path=f"/clocks/free?op={identity}", invoked=invoked, returned=returned,
                     outcome="answered", account="norrland", key="key-norrland", status=200, content=f"/clocks/free?op={identity} s", request_id=f"r-{identity}")
    return dataclasses.replace(base, **fields)


def refused(identity, execution="not-run", **fields):
    return operation(identity, 1, 2, outcome="refused", status=503, code=302, execution=execution, content="", **fields)


def booking(identity, **fields):
    fields = {"kind": "booking", "path": f"/loans/{identity}", "status": 201, "content": f"/loans/{identity} s", **fields}
    return operation(identity, 1, 2, **fields)


def ran(path, request_id="r", at=1.5, server="s"):
    return ServerRequest(server, request_id, path, at, at)


def status(version, asked, incarnation=0, services=(), host="host-0"):
    return HostStatus(host, incarnation, asked, asked + 0.1, version, services)


class CheckerTest(unittest.TestCase):
    def good(self, checker, history, checked=1):
        verdict = checker(history)
        self.assertEqual(verdict.violations, ())
        self.assertGreaterEqual(verdict.checked, checked)

    def bad(self, checker, history):
        self.assertNotEqual(checker(history).violations, ())


class RateAndBurstTest(CheckerTest):
    accounts = [Account("norrland", 10, 5)]

    def history(self, operations, requests=()):
        return History(accounts=self.accounts, operations=list(operations), server_requests=list(requests))

    def test_burst_then_rate_holds(self):
        burst = [operation(f"b{i}", 1.0, 1.01) for i in range(5)]
        steady = [operation(f"s{i}", 1.1 + i / 10, 1.11 + i / 10) for i in range(50)]
        self.good(checkers.check_rate_and_burst, self.history(burst + steady), 55)

    def test_one_above_burst_at_once_is_rejected(self):
        self.bad(checkers.check_rate_and_burst, self.history(operation(f"b{i}", 1.0, 1.01) for i in range(6)))

    def test_excess_that_only_a_middle_interval_shows_is_rejected(self):
        before = [operation(f"a{i}", float(i), i + 0.01) for i in range(20)]
        burst = [operation(f"b{i}", 30.0, 30.2) for i in range(8)]
        after = [operation(f"c{i}", 40.0 + i, 40.01 + i) for i in range(20)]
        self.bad(checkers.check_rate_and_burst, self.history(before + burst + after))

    def test_long_windows_that_may_be_spread_out_hold(self):
        self.good(checkers.check_rate_and_burst, self.history(operation(f"b{i}", 1.0, 3.0) for i in range(20)), 20)

    def test_runs_at_the_backend_narrow_the_windows_so_that_excess_is_rejected(self):
        operations = [operation(f"b{i}", 1.0, 3.0) for i in range(8)]
        self.bad(checkers.check_rate_and_burst, self.history(operations, [ran(each.path, at=1.05) for each in operations]))

    def test_requests_proved_not_run_do_not_count(self):
        operations = [operation(f"b{i}", 1.0, 1.01) for i in range(5)] + [refused(f"n{i}") for i in range(50)]
        self.good(checkers.check_rate_and_burst, self.history(operations), 5)

    def test_refusals_of_unknown_outcome_count(self):
        operations = [operation(f"u{i}", 1.0, 1.01, outcome="refused", code=501, execution="unknown") for i in range(6)]
        self.bad(checkers.check_rate_and_burst, self.history(operations))

    def test_broken_requests_that_ran_count(self):
        operations = [operation(f"u{i}", 1.0, 9.0, outcome="broken", status=0) for i in range(6)]
        self.good(checkers.check_rate_and_burst, self.history(operations), 0)
        self.bad(checkers.check_rate_and_burst, self.history(operations, [ran(each.path, at=1.01) for each in operations]))

    def test_sweep_agrees_with_trying_every_interval(self):
        generator = random.Random(7)
        for _ in range(200):
            windows = []
            for _ in range(generator.randint(1, 12)):
                start = generator.randint(0, 20) / 4
                windows.append((start, start + generator.randint(0, 8) / 4))
            rate = generator.choice([0.5, 1, 3])
            tried = [sum(a <= s and e <= b for s, e in windows) - rate * (b - a) for a, _ in windows for _, b in windows if a <= b]
            self.assertAlmostEqual(checkers.largest_excess(windows, rate), max(0.0, *tried))


class BookingTest(CheckerTest):
    def test_one_effect_for_each_request_holds(self):
        effects = [Effect("s", "r1", "k1", "/loans/k1"), Effect("s", "r2", "", "/loans/2")]
        self.good(checkers.check_booking_once, History(effects=effects), 2)

    def test_two_effects_of_one_key_are_rejected(self):
        self.bad(checkers.check_booking_once, History(effects=[Effect("s", "r1", "k1", "/loans/a"), Effect("t", "r2", "k1", "/loans/b")]))

    def test_two_effects_of_one_request_without_key_are_rejected(self):
        self.bad(checkers.check_booking_once, History(effects=[Effect("s", "r1", "", "/loans/1"), Effect("t", "r1", "", "/loans/1")]))

    def test_done_booking_and_equal_replays_hold(self):
        operations = [booking("k", booking="k"), booking("k", booking="k", id="again")]
        self.good(checkers.check_answered_bookings_ran, History(operations=operations, effects=[Effect("s", "r", "k", "/loans/k")]), 2)

    def test_booking_answered_but_not_done_is_rejected(self):
        self.bad(checkers.check_answered_bookings_ran, History(operations=[booking("1")]))

    def test_different_answers_to_one_key_are_rejected(self):
        operations = [booking("k", booking="k"), booking("k", booking="k", content="/loans/k t")]
        self.bad(checkers.check_answered_bookings_ran, History(operations=operations, effects=[Effect("s", "r", "k", "/loans/k")]))


class NotRunTest(CheckerTest):
    def test_refusals_that_did_not_run_hold(self):
        shed = ServerRequest("s", "r-1", "/clocks/free?op=1", 1.5, 0)
        self.good(checkers.check_not_run_is_true, History(operations=[refused("1")], server_requests=[shed]))

    def test_refusal_that_ran_is_rejected(self):
        self.bad(checkers.check_not_run_is_true, History(operations=[refused("1")], server_requests=[ran("/other", "r-1")]))
        self.bad(checkers.check_not_run_is_true, History(operations=[refused("1")], server_requests=[ran("/clocks/free?op=1", "another")]))

    def test_refusal_with_an_effect_is_rejected(self):
        self.bad(checkers.check_not_run_is_true, History(operations=[refused("1")], effects=[Effect("s", "r-1", "", "/loans/1")]))

    def test_repeated_booking_that_another_attempt_ran_holds(self):
        repeat = refused("2", booking="k", kind="booking", path="/loans/k")
        self.good(checkers.check_not_run_is_true, History(operations=[repeat], server_requests=[ran("/loans/k", "r-1")], effects=[Effect("s", "r-1", "k", "/loans/k")]))


class KeyTest(CheckerTest):
    withdrawals = [Withdrawal("key-norrland", 10.0)]

    def test_use_before_the_bound_and_refusals_after_hold(self):
        operations = [operation("1", 11.0, 14.0), operation("2", 13.0, 13.1, outcome="refused", code=203, execution="not-run", content="")]
        self.good(checkers.check_withdrawn_keys, History(operations=operations, withdrawals=self.withdrawals))

    def test_answer_after_the_bound_is_rejected(self):
        self.bad(checkers.check_withdrawn_keys, History(operations=[operation("1", 12.1, 12.2)], withdrawals=self.withdrawals))

    def test_run_after_the_bound_without_an_answer_is_rejected(self):
        late = operation("1", 12.1, 12.2, outcome="broken", status=0)
        self.bad(checkers.check_withdrawn_keys, History(operations=[late], withdrawals=self.withdrawals, server_requests=[ran(late.path, at=12.15)]))

    def test_request_without_an_account_must_be_refused(self):
        self.good(checkers.check_key_required, History(operations=[refused("1", account="", key=""), operation("2", 1, 2, kind="open", account="", key="")]))
        self.bad(checkers.check_key_required, History(operations=[operation("1", 1, 2, account="", key="")]))

    def test_key_seen_by_a_backend_server_is_rejected(self):
        self.good(checkers.check_keys_hidden, History(server_requests=[ran("/x")]))
        self.bad(checkers.check_keys_hidden, History(server_requests=[ran("/x")], requests_with_key=1))


class WholeAnswerTest(CheckerTest):
    contents = {"/archive/season?bytes=10": "digest"}

    def download(self, **fields):
        return operation("1", 1, 2, kind="download", path="/archive/season?bytes=10&op=1", **fields)

    def test_right_answers_and_visible_cuts_hold(self):
        operations = [operation("2", 1, 2), self.download(content="digest"), self.download(outcome="broken", content="")]
        self.good(checkers.check_whole_answers, History(operations=operations, contents=self.contents), 2)

    def test_another_requests_answer_is_rejected(self):
        self.bad(checkers.check_whole_answers, History(operations=[operation("1", 1, 2, content="/clocks/free?op=2 s")]))

    def test_wrong_bytes_taken_for_whole_are_rejected(self):
        self.bad(checkers.check_whole_answers, History(operations=[self.download(content="other")], contents=self.contents))


class EndTest(CheckerTest):
    def endless(self, **fields):
        return operation("1", 1, 9.5, outcome="broken", status=0, **fields)

    def test_visible_cut_and_stalled_download_hold(self):
        stall = [Fault("backend", "127.0.0.1:1 stall_after 30000", 0.5, 3.0)]
        self.good(checkers.check_ends_are_visible, History(operations=[operation("2", 1, 1.5, outcome="broken")]))
        self.good(checkers.check_ends_are_visible, History(operations=[self.endless(kind="download")], faults=stall))

    def test_caller_of_a_frozen_host_holds(self):
        self.good(checkers.check_ends_are_visible, History(operations=[self.endless()], faults=[Fault("freeze", "host-0", 2.0, 12.0)]))

    def test_download_that_a_server_cut_but_no_one_ended_is_rejected(self):
        cut = [Fault("backend", "127.0.0.1:1 truncate_after 30000", 0.5, 3.0)]
        self.bad(checkers.check_ends_are_visible, History(operations=[self.endless(kind="download")], faults=cut))

    def test_lookup_without_end_is_rejected(self):
        self.bad(checkers.check_ends_are_visible, History(operations=[self.endless()]))


class ConfigurationTest(CheckerTest):
    accepted = [Publication("a", 0.5, 1.0, 2)]

    def test_growing_versions_and_a_restarted_host_hold(self):
        self.good(checkers.check_versions_monotonic, History(statuses=[status(1, 1), status(2, 2), status(0, 3, incarnation=1)]), 3)

    def test_version_that_goes_back_is_rejected(self):
        self.bad(checkers.check_versions_monotonic, History(statuses=[status(2, 1), status(1, 2)]))

    def test_one_version_acknowledged_to_two_operators_is_rejected(self):
        self.bad(checkers.check_versions_monotonic, History(publications=[Publication("a", 0, 1, 2), Publication("b", 0, 1, 2)]))

    def test_version_in_force_in_time_holds(self):
        self.good(checkers.check_configuration_in_force, History(publications=self.accepted, statuses=[status(1, 3), status(2, 9)]))

    def test_old_version_after_the_bound_is_rejected(self):
        self.bad(checkers.check_configuration_in_force, History(publications=self.accepted, statuses=[status(1, 9)]))

    def test_isolated_host_is_late_but_only_until_the_bound_after_its_return(self):
        isolated = [Fault("isolate", "host-0", 2.0, 8.0)]
        self.good(checkers.check_configuration_in_force, History(publications=self.accepted, faults=isolated, statuses=[status(1, 9)]), 0)
        self.bad(checkers.check_configuration_in_force, History(publications=self.accepted, faults=isolated, statuses=[status(1, 14)]))


class BackendServerTest(CheckerTest):
    def service(self, **standings):
        return (ServiceStatus("loan-desk", 60, standings),)

    def test_ejection_down_to_the_floor_holds(self):
        self.good(checkers.check_floor, History(statuses=[status(1, 1, services=self.service(serving=3, ejected=2))]))

    def test_service_below_its_floor_by_leaving_alone_holds(self):
        self.good(checkers.check_floor, History(statuses=[status(1, 1, services=self.service(serving=2, leaving=3))]))

    def test_ejection_below_the_floor_is_rejected(self):
        self.bad(checkers.check_floor, History(statuses=[status(1, 1, services=self.service(serving=2, ejected=3))]))

    def test_ejection_beside_leaving_servers_below_the_floor_is_rejected(self):
        self.bad(checkers.check_floor, History(statuses=[status(1, 1, services=self.service(serving=2, ejected=1, leaving=2))]))

    def test_work_within_seconds_of_leaving_and_probes_hold(self):
        requests = [ran("/clocks/free?op=1", at=12.0), ran("/health", at=50.0)]
        self.good(checkers.check_leaving, History(leavings=[Leaving("s", 10.0)], server_requests=requests))

    def test_new_work_long_after_leaving_is_rejected(self):
        self.bad(checkers.check_leaving, History(leavings=[Leaving("s", 10.0)], server_requests=[ran("/clocks/free?op=1", at=16.0)]))


class PlannedStopTest(CheckerTest):
    stops = [PlannedStop("host-0", 10.0, 0)]

    def cut(self, invoked, **fields):
        return operation("1", invoked, invoked + 1, outcome="broken", status=0, connected=5.0, **fields)

    def test_answered_requests_hold(self):
        self.good(checkers.check_planned_stop, History(stops=self.stops, operations=[operation("1", 9.0, 11.0, connected=5.0)]))

    def test_request_under_way_that_is_cut_is_rejected(self):
        self.bad(checkers.check_planned_stop, History(stops=self.stops, operations=[self.cut(9.5)]))

    def test_request_on_a_busy_kept_connection_that_is_cut_is_rejected(self):
        self.bad(checkers.check_planned_stop, History(stops=self.stops, operations=[self.cut(10.5, idle=0.2)]))

    def test_failed_exit_is_rejected(self):
        self.bad(checkers.check_planned_stop, History(stops=[PlannedStop("host-0", 10.0, 1)]))

    def test_request_cut_by_another_fault_holds(self):
        self.good(checkers.check_planned_stop, History(stops=self.stops, operations=[self.cut(9.5)], faults=[Fault("kill", "host-0", 9.6, 12.0)]), 0)


if __name__ == "__main__":
    unittest.main()
