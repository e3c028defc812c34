#!/bin/sh
# Checks that the stand-ins of the second review can run.  They are written in
# Python and need nothing but its standard library, so that nothing is built;
# the program under test comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
test -x target/platform/peridotrouter
PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import sys
assert sys.version_info >= (3, 9), sys.version
for path in ("test/platform/platform_site.py", "review/common_2.py"):
    compile(open(path, encoding="utf-8").read(), path, "exec")
EOF
