#!/bin/sh
# Builds the stand-ins and drivers of the review's cases into review/bin. Needs a C++ compiler alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for folder in [1-9]; do
  c++ -std=c++20 -O1 -Wall -Wextra -pthread "$folder/case.cpp" -o "bin/case-$folder"
done
