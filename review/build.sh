#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
for source in standins/*.cc [1-5]/case.cc; do
  [ -f "$source" ] || continue
  c++ "${flags[@]}" -c -o "bin/$(echo "${source%.cc}" | tr / -).o" "$source" &
done
for job in $(jobs -p); do wait "$job"; done
for source in [1-5]/case.cc; do
  [ -f "$source" ] || continue
  c++ "${flags[@]}" -o "bin/case-${source%%/*}" "bin/${source%%/*}-case.o" bin/standins-*.o
done
