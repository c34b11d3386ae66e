#!/usr/bin/env bash
# Prepares the stand-ins of the scripted cases. They are Python programs without dependencies, so that nothing is compiled:
# this checks that they can be loaded, and that the build of the deploy file has left its program.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins python3 -c 'import deployment'
test -x target/bin/lacewingd
