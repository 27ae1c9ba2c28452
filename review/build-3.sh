#!/bin/sh
# Checks the stand-ins that the scripts start.  They are Python programs of the
# standard library, so that there is nothing to compile or to install.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=standins-3 exec python3 -c '
import platform3
import streams3

print("stand-ins load:", platform3.__name__, streams3.__name__)
'
