#!/bin/sh
# Makes the C libraries in a folder; where they can't be made says so and goes on.
folder=$1
mkdir -p "$folder"
cc -O2 -Wall -Wextra -Werror -shared -fPIC -o "$folder/liblemondrift-hangup.so" "$(dirname "$0")/hangup.c" \
    || echo "liblemondrift-hangup.so not made: SIGHUP during the first moments of a start will end the process" >&2
