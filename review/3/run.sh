#!/usr/bin/env bash
# BUDGET: a work item that crashes each executor 2.5 s after its start.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
name=budget-after-crashes
export TROUBLE="${TROUBLE:-1}"
. "$(dirname "$0")/../support/run_case.sh"
