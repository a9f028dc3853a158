#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. Needs nothing but
# the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all,-try -Werror -d target/review-2 \
    $(find review/common2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
