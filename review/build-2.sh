#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 6 7 8 9 10; do
	if [ -f "review/$n/main.go" ]; then
		go build -tags review -o "target/review/$n" "./review/$n"
	fi
done
