#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../../.." && pwd)
export BORAGEHILL=$top/target/boragehill
export BORAGEHILL_STANDIN=$top/target/review/standin
export RECORD=$here/record.txt TROUBLE=${TROUBLE:-1}
timeout -k 2 110 "$top/target/review/gone"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
