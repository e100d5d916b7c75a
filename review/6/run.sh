#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
. ./find-jdk.sh || exit 2
exec java -cp 'target/review-2:target/lib/*' review.LostRemoval "$folder"
