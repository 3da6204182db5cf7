#!/usr/bin/env bash
# Builds the program that plays the cases, with all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand ./review/_stand
