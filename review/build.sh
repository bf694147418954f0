#!/bin/sh
# Compiles the stand-ins and the scripts of the cases. They need nothing but
# CPython's own library.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 2 3
