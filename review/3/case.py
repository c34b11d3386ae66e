"""The operator takes away the only tenant. Requests with its key, or with a key that no configuration ever held, must not run
later than configPropagationS after the confirmation."""

import collections
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins"))

from deployment import BOUNDS, KEY, Clients, Deployment, run_case

TENANT = {"name": "huka270", "apiKeys": [KEY], "priority": 1}
UNKNOWN_KEY = "zz9qk7never0held0by0any"
PAUSE_S = 0.1
WORK_S = 0.05
BEFORE_S = 3.0
AFTER_S = 8.0


def case(record, trouble):
    with Deployment(record, ["zon-a", "zon-b", "zon-c"], hosts=3, servers=6, work_s=WORK_S, tenants=[TENANT]) as deployment:
        deployment.start()
        time.sleep(5)
        holders = [Clients(record, host, "POST", "/book/7", 2, PAUSE_S) for host in deployment.hosts]
        strangers = [Clients(record, host, "GET", "/look/7", 2, PAUSE_S, key=UNKNOWN_KEY) for host in deployment.hosts]
        time.sleep(BEFORE_S)
        # Without the disruption the further version leaves the tenant as it is.
        confirmed = deployment.publish([] if trouble else [TENANT])
        time.sleep(AFTER_S)
        for each in holders + strangers:
            each.stop()
        runs = collections.defaultdict(list)
        for server in deployment.servers:
            for at, attempt in server.runs:
                runs[attempt].append((at, server.name))
    violations, statuses = [], []
    for group, rule in ((holders, "CONFIG: the key was taken away"), (strangers, "ROUTE: no configuration ever held the key")):
        sent = {attempt: entry for each in group for attempt, entry in each.sent.items()}
        late = [entry for entry in sent.values() if entry[1] > confirmed + BOUNDS["configPropagationS"]]
        statuses.append(dict(collections.Counter(status for _, _, status in late)))
        for attempt, (host, at, status) in sorted(sent.items()):
            dropped = trouble and at > confirmed + BOUNDS["configPropagationS"]
            if runs[attempt] and (dropped or group is strangers):
                ran_at, server = runs[attempt][0]
                violations.append(f"{rule}: request {attempt}, sent {at - confirmed:+.3f} s from the confirmation to {host}, ran on {server} at {ran_at:.3f} s; the client got {status}")
    return violations, (f"answers to requests sent later than {BOUNDS['configPropagationS']} s after the confirmation: "
                        f"{statuses[0]} with the tenant's key, {statuses[1]} with an unknown one")


run_case(case)
