#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the build of the deploy file. Their stand-ins
# (review/standin-2/standin.py) and callers are Python 3 programs of the standard library alone; nothing is compiled, so this
# only checks that they can be read by the python3 on this machine.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 (3.8 or later) is needed"; exit 2; }
for file in standin-2/standin.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 2
done
