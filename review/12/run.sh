#!/bin/sh
# TROUBLE=0 does the same without the disruptions.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../standin-3/run.sh" "$(cd "$(dirname "$0")" && pwd)" case_cutstart
