#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10. The program of the deploy file is built by its own line.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin-2 ./review/_stand2
