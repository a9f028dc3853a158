#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it
# does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
java -XX:+UseSerialGC -Dtrouble="${TROUBLE:-1}" -cp target/review-2 case7.CutAnswer review/7 &
test=$!
trap 'kill "$test"' INT TERM
wait "$test"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
