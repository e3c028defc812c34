#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15.  They are Python programs, as is
# test/platform/platform_site.py, which they use: nothing has to be compiled, so
# this only checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
python3 - review/common_3.py review/1[1-5]/case.py test/platform/platform_site.py <<'EOF'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOF
echo "stand-ins are ready"
