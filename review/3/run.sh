#!/usr/bin/env bash
# Runs case 3; TROUBLE=0 leaves the disruption out. See claim.txt and ../run-case.sh.
exec bash "$(dirname "$0")/../run-case.sh" 3
