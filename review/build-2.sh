#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2/,
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -DASIO_STANDALONE
       -DASIO_DISABLE_STD_ALIGNED_ALLOC -I. -Isrc)
libraries=(target/libbambootack_platform.a target/libbambootack_net.a
           target/libbambootack.a -lhttp_parser -lcurl -lfmt -lxxhash -lsodium
           -lpthread)
objects=()
for source in review/rig-2.cc standin/platform/store.cc \
  bench/scenario/process.cc; do
  objects+=("$out/$(basename "$source" .cc).o")
  g++ "${flags[@]}" -c "$source" -o "${objects[-1]}"
done
for n in 6 7 8 9 10; do
  g++ "${flags[@]}" "review/$n/case.cc" "${objects[@]}" "${libraries[@]}" \
    -o "$out/case-$n"
done
