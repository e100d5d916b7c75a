#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs, with the JDK alone. The hosts are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./find-jdk.sh
rm -rf review/target
mkdir -p review/target/classes
"$JAVA_HOME/bin/javac" -Xlint:all -d review/target/classes review/standins/*.java review/[1-5]/*.java
