#!/bin/sh
# The stand-ins are Python and need no build; checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c '
import sys
sys.dont_write_bytecode = True
sys.path.insert(0, "review")
import common
'
