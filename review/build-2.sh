#!/bin/sh
# Builds the cases 6 to 10 into review/bin/, each with its stand-ins (clients, warehouse nodes, change log, proxies),
# which are part of the same program.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for number in 6 7 8 9 10; do
  [ -f "$number/case.cpp" ] || continue
  c++ -std=c++20 -O1 -Wall -Wextra -pthread "$number/case.cpp" -o "bin/$number"
done
