#!/usr/bin/env bash
# Starts the example site: the stand-ins and three routers. Ends them all on Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo build --quiet --bins
bin=target/debug
trap 'kill $(jobs -p) 2>/dev/null' EXIT
$bin/standin platform --listen 127.0.0.1:7000 &
$bin/standin engine --listen 127.0.0.1:9001 --model examples/site/engine.toml &
$bin/standin engine --listen 127.0.0.1:9002 --model examples/site/engine.toml &
$bin/standin service --listen 127.0.0.1:8001 &
for i in 1 2 3; do
    $bin/cloverpierd examples/site/vm-$i.toml 2>"target/vm-$i.log" &
done
echo "callers: 127.0.0.1:7101 to 7103; operators: 127.0.0.1:7201 to 7203; logs: target/vm-*.log"
wait
