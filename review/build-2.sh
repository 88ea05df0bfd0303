#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into review/bin-2.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf bin-2
mkdir bin-2
echo '*' > bin-2/.gitignore
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
objects=()
jobs=()
for source in standins-2/*.cc; do
  object="bin-2/$(basename "${source%.cc}").o"
  objects+=("$object")
  c++ "${flags[@]}" -c -o "$object" "$source" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
jobs=()
for source in 6 7 8 9 10; do
  [ -f "$source/case.cc" ] || continue
  c++ "${flags[@]}" -o "bin-2/case-$source" "$source/case.cc" "${objects[@]}" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
