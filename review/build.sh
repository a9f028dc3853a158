#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review. Needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -Xlint:all,-try -Werror -d target/review $(find review -name '*.java')
