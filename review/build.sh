#!/bin/sh
# Builds the driver of each script, with its stand-ins, into the case's folder.
# Needs g++ only. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for source in */main.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "$(dirname "$source")/driver" "$source" -pthread
done
