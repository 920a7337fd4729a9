#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3. Needs a JDK 17 only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3/classes
javac -d target/review-3/classes review/standins-3/*.java
