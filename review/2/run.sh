#!/usr/bin/env bash
# Exits with 1 if a server got a booking too late, 0 if it did not, 2 if the case could not run.
exec python3 "$(dirname "$0")/case.py"
