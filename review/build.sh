#!/usr/bin/env bash
# review/build.sh: builds the program of the deploy file, unless it is there,
# and the stand-ins of the cases into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
exec 9>build-review.lock
flock 9
if [ ! -x target/poplartrack ]; then
  bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
mkdir -p build-review
libraries=$(pkg-config --libs libnghttp2 libmicrohttpd libcurl liburcu-bp \
  libglog libcrypto simdjson)
compile="g++ -std=c++20 -O1 -Wall -Wextra -Iinclude -Isrc -I. -Itests
  -DMSGPACK_NO_BOOST"
shared=()
jobs=()
for source in review/standins/{RawConnection,PlainReplica,Caller,RelayProcess,Deployment}.cpp \
  tests/standins/lib/UsersStoreStandin.cpp; do
  object=build-review/$(basename "$source" .cpp).o
  $compile -c "$source" -o "$object" &
  jobs+=($!)
  shared+=("$object")
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for case in slow_replicas slow_callers cut_streams; do
  $compile "review/standins/$case.cpp" "${shared[@]}" \
    target/libpoplartrack_platform.a target/libpoplartrack_core.a $libraries \
    -lxxhash -lpthread -o "build-review/$case"
done
