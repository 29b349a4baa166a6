#!/usr/bin/env bash
name=limit-after-restart
. "$(dirname "$0")/../support/run_case.sh"
