#!/bin/sh
# The stand-ins are Python 3.11 with its standard library only, so there is nothing to build; checks that they can be
# read. The scripts start target/release/lagoon-node, which the build of deploy/system.toml makes.
set -e
cd "$(dirname "$0")"
python3 -B - standin/world.py [2-5]/run.py <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
