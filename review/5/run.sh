#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. ./find-jdk.sh || exit 2
[ -x target/runtime/bin/java ] && [ -d review/.classes ] || { echo "build first: deploy/build and review/build.sh" >&2; exit 2; }
timeout --kill-after=3 114 "$JAVA_HOME/bin/java" -Xmx1g -cp review/.classes SettingsChange review/5/record.txt
code=$?
tail -n 1 review/5/record.txt
[ "$code" -le 1 ] || code=2
exit "$code"
