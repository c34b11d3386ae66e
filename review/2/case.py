"""All hosts are killed at once and start again; then a server leaves without reporting `draining`. It must get no request later
than drainS after the store has confirmed that it is gone."""

import collections
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins"))

from deployment import BOUNDS, Clients, Deployment, run_case

CLIENTS_A_HOST = 10
PAUSE_S = 0.03
WORK_S = 0.25
DOWN_S = 0.5
# From the hosts' readiness to the removal of the server's entry.
LEAVES_AFTER_S = 1.8
# A leaving server serves for drainS after the confirmation "and a little longer", and then exits.
LONGER_S = 0.25


def case(record, trouble):
    with Deployment(record, ["zon-a", "zon-b", "zon-c"], hosts=3, servers=9, work_s=WORK_S) as deployment:
        deployment.start()
        time.sleep(8)
        started = record.now() - 8
        if trouble:
            for host in deployment.hosts:
                host.kill()
            time.sleep(DOWN_S)
            for host in deployment.hosts:
                started = host.start()
            for host in deployment.hosts:
                host.await_ready()
        clients = [Clients(record, host, "POST", "/book/7", CLIENTS_A_HOST, PAUSE_S) for host in deployment.hosts]
        time.sleep(LEAVES_AFTER_S)
        leaving = deployment.servers[0]
        confirmed = leaving.leave()
        time.sleep(BOUNDS["drainS"] + LONGER_S)
        leaving.exit()
        time.sleep(2)
        for each in clients:
            each.stop()
    sent = {attempt: entry for each in clients for attempt, entry in each.sent.items()}
    violations, lost = [], 0
    for at, attempt in leaving.runs:
        host, sent_at, status = sent[attempt]
        if at <= confirmed + BOUNDS["drainS"] or sent_at < started + BOUNDS["stabilityWindowS"]:
            continue
        lost += status != 200
        violations.append(f"DRAIN: booking {attempt} reached {leaving.name} {at - confirmed:.3f} s after the store confirmed that it is gone "
                          f"(bound {BOUNDS['drainS']} s), sent on by {host}, {sent_at - started:.1f} s after the start of the hosts; the client got {status}")
    statuses = dict(collections.Counter(status for _, _, status in sent.values()))
    return violations, f"{len(sent)} bookings, statuses {statuses}; {lost} of the late ones ran and were answered otherwise than 200"


run_case(case)
