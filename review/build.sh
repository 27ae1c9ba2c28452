#!/bin/bash
# Check that the stand-ins of the scripts can be used after the build of the
# deploy file.  They are Python and need no further packages.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:review
python3 -m compileall -q src/magnoliaflow_standins review/harness
python3 -c 'import harness.clients, harness.runner'
