#!/bin/sh
# Checks and compiles the stand-ins of cases 4 to 8; run it after the build of
# the deploy file, whose libraries the project's own programs need.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first'; exit 1; }
python3 -m compileall -q review/standins2 || exit 1
for case in review/[4-8]; do
    [ ! -f "$case/case.py" ] || python3 -m py_compile "$case/case.py" || exit 1
done
PYTHONPATH=target/deps:review/standins2 python3 -c 'import fleet' || exit 1
echo 'the stand-ins of cases 4 to 8 are built'
