#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Writes record.txt beside it.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../run-case.sh" cut-answer "$folder/record.txt"
