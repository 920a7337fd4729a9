#!/bin/sh
# Builds the stand-ins and clients of the cases review/6 and up into target/review-2. Needs the JDK
# only; run it after the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/src/review/*.java
