#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/standins2 exec python3 review/5/case.py
