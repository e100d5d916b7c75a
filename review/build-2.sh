#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review; needs the build of the deploy file (target/lib).
set -euo pipefail
cd "$(dirname "$0")/.."
. ./find-jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/StandIns.java)
for folder in 6 7 8 9 10; do
  for source in review/$folder/*.java; do
    [ -f "$source" ] && sources+=("$source")
  done
done
javac --release 21 -Xlint:all,-processing,-classfile,-try -cp 'target/lib/*' -d target/review-2 "${sources[@]}"
