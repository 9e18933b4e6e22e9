#!/bin/sh
exec "$(dirname "$0")/../standin-3/run.sh" "$(cd "$(dirname "$0")" && pwd)" case_cutstart
