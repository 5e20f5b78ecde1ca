#!/bin/sh
# The cases' stand-ins are Python programs of the standard library alone: nothing is compiled. This checks that they can
# be read here, and that the program which they start is built. It writes nothing.
cd "$(dirname "$0")/.." || exit 1
command -v python3 > /dev/null || { echo "review: python3 (3.11 or later) is missing" >&2; exit 1; }
python3 -B - review/common/rig.py review/*/case.py << 'CHECK' || exit 1
import sys
if sys.version_info < (3, 11):
    sys.exit("review: python3 is older than 3.11")
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
test -x target/release/ploverport || { echo "review: build the program first (deploy/balancer.toml)" >&2; exit 1; }
