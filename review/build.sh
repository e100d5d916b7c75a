#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs, with the JDK alone. The hosts are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./find-jdk.sh
rm -rf review/.classes
mkdir -p review/.classes
"$JAVA_HOME/bin/javac" -Xlint:all -d review/.classes review/*.java review/[1-5]/*.java
