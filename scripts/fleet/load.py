"""Callers that send through every host at a mean rate, with gaps drawn from a seed."""

import http.client
import queue
import random
import threading
import time
from dataclasses import dataclass

from . import klockbanken

WORKERS_PER_HOST = 6
CALLER_TIMEOUT_SECONDS = 5


@dataclass
class Result:
    """What one caller saw; status 0 stands for no whole answer."""
    account: str
    sent_at: float
    seconds: float
    status: int
    code: str


class Load:
    """Callers of several accounts; use it as a context manager."""

    def __init__(self, endpoints, accounts, rate_per_host, path, seed, skew):
        self.accounts = accounts
        self.weights = [skew.get(account, 1) for account in accounts]
        self.rate = rate_per_host
        self.path = path
        self.results = []
        self.stopping = threading.Event()
        self.threads = []
        for index, endpoint in enumerate(endpoints):
            # A late answer must not delay the requests behind it, so several workers serve one host's queue.
            waiting = queue.Queue()
            self.threads.append(threading.Thread(target=self.generate, args=(random.Random(seed * 1000 + index), waiting), daemon=True))
            for _ in range(WORKERS_PER_HOST):
                self.threads.append(threading.Thread(target=self.work, args=(endpoint, waiting), daemon=True))

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def generate(self, source, waiting):
        at = time.monotonic()
        while not self.stopping.is_set():
            at += source.expovariate(self.rate)
            delay = at - time.monotonic()
            if delay > 0 and self.stopping.wait(delay):
                break
            waiting.put((at, source.choices(self.accounts, self.weights)[0]))
        for _ in range(WORKERS_PER_HOST):
            waiting.put(None)

    def work(self, endpoint, waiting):
        connection = None
        while (item := waiting.get()) is not None:
            sent_at, account = item
            if connection is None:
                connection = http.client.HTTPConnection(endpoint, timeout=CALLER_TIMEOUT_SECONDS)
            status, code = 0, ""
            try:
                connection.request("GET", self.path, headers={"Authorization": f"Bearer {klockbanken.secret_of(account)}"})
                response = connection.getresponse()
                response.read()
                status, code = response.status, response.getheader("X-Lacewingsail-Code") or ""
                if response.will_close:
                    connection = None
            except (OSError, http.client.HTTPException):
                connection = None
            self.results.append(Result(account, sent_at, time.monotonic() - sent_at, status, code))

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
