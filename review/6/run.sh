#!/usr/bin/env bash
exec "$(dirname "$0")/../rig/run.sh" 6
