#!/bin/sh
# Builds the stand-ins and drivers of the scripts into review/bin. Needs g++
# only. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in */main.cc; do
  case=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -o "bin/case-$case" "$source" -pthread
done
