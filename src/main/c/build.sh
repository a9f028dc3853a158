#!/bin/sh
# Builds the C libraries in a folder. If that fails, prints a warning and succeeds.
folder=$1
mkdir -p "$folder"
cc -O2 -Wall -Wextra -Werror -shared -fPIC -o "$folder/liblemondrift-hangup.so" "$(dirname "$0")/hangup.c" \
    || echo "liblemondrift-hangup.so not built: SIGHUP early in a start will end the process" >&2
