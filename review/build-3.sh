#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python programs that use only the standard library. Checks them; nothing is fetched.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 is expected"
for path in sorted(glob.glob("standin-3/*.py") + glob.glob("1[1-5]/*.py")):
    with open(path, encoding="utf-8") as f:
        ast.parse(f.read(), path)
CHECK
test -x ../target/release/lagoon-node || echo "note: the scripts need target/release/lagoon-node, which the build of deploy/system.toml makes" >&2
