#!/bin/sh
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec python3 ../lib/guard.py
