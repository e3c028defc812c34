#!/bin/sh
# Writes record.txt in this folder.  Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.  TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 -B "$here/case.py" "$here/record.txt"
