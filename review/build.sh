#!/usr/bin/env bash
# The stand-ins are Python modules; checks that they and what they import can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins"
