#!/bin/sh
# Exits with 1 if the rule DRAIN was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../standins exec python3 ../standins/case.py
