#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3/; needs a JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./find-jdk.sh
rm -rf target/review-3
mkdir -p target/review-3
shopt -s nullglob
javac --release 21 -Xlint:all -Werror -d target/review-3 review/stand-ins-3/*.java review/1[1-5]/*.java
