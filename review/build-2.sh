#!/bin/sh
# Builds every stand-in that the scripts of the second review start.  They are
# in review/standins/, in Python without libraries, so that there is nothing to
# fetch: this checks that they compile.  The entry processes use target/deps of
# the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins/*.py review/[6-9]/case.py review/10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
[ -d target/deps ] || { echo "target/deps is missing: build the deploy file" >&2; exit 1; }
