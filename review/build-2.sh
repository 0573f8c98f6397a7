#!/usr/bin/env bash
# Builds the programs of the cases 4 to 8 into target/review-2. The build of the
# deploy file comes first: they are linked with its libraries.
set -euo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -pthread -DMSGPACK_NO_BOOST -I. -Iinclude -Itests
  -Ireview/standins-2)
parts=(review/standins-2/Wire.cpp review/standins-2/Site.cpp
  tests/standins/lib/UsersStoreStandin.cpp)
libraries=(target/libpoplartrack_platform.a target/libpoplartrack_core.a)
packages=(libmicrohttpd libcurl libnghttp2 liburcu-bp libglog libcrypto simdjson)
objects=()
for part in "${parts[@]}"; do
  object=target/review-2/$(basename "$part" .cpp).o
  g++ "${flags[@]}" -c "$part" -o "$object"
  objects+=("$object")
done
for main in review/standins-2/[a-z]*.cpp; do
  # shellcheck disable=SC2046
  g++ "${flags[@]}" "$main" "${objects[@]}" "${libraries[@]}" \
    $(pkg-config --libs "${packages[@]}") -lxxhash \
    -o "target/review-2/$(basename "$main" .cpp)"
done
