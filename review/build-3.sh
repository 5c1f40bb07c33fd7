#!/bin/sh
# Compiles the stand-ins of the third review, which need the standard library
# only. The scripts start nothing else but the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=target/review-3 exec python3 -m compileall -q \
    review/rig3 review/1[1-5]
