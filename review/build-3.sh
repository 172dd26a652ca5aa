#!/bin/bash
# Builds the stand-ins of the third review into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/fakes-3"
go build -o ../../target/review3 .
