#!/bin/sh
# Builds the stand-ins and clients of the cases; needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review review/harness/*.java
