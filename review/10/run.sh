#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec java -XX:+UseSerialGC -cp target/review-2 case10.GoneBehind review/10
