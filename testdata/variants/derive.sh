#!/usr/bin/env bash
# Derives deployments that nobody has seen from a site file into a temporary
# folder, and prints their paths: derive.sh SITE_FILE
# Nothing of the given files is kept in the repository.
set -euo pipefail
site="$1"
out="$(mktemp -d)"
cp "$(dirname "$site")"/wire.json "$out"/
variant() { # NAME SED-SCRIPT
  sed -E "$2" "$site" >"$out/$1.toml"
  echo "$out/$1.toml"
}
# Slower engines with less memory.
variant slow 's/step_ms = [0-9.]+,/step_ms = 9.0,/; s/prefill_tokens_per_ms = [0-9.]+/prefill_tokens_per_ms = 14.0/; s/kv_tokens = [0-9]+/kv_tokens = 60000/'
# Engines that copy and move nothing.
variant nocopies 's/backups = true, moves = true/backups = false, moves = false/'
# Engines that read prompts at half and at a quarter of the speed, with copies and without.
variant half 's/prefill_tokens_per_ms = [0-9.]+/prefill_tokens_per_ms = 4.0/'
variant half-nocopies 's/prefill_tokens_per_ms = [0-9.]+/prefill_tokens_per_ms = 4.0/; s/backups = true, moves = true/backups = false, moves = false/'
variant quarter 's/prefill_tokens_per_ms = [0-9.]+/prefill_tokens_per_ms = 2.0/'
variant quarter-nocopies 's/prefill_tokens_per_ms = [0-9.]+/prefill_tokens_per_ms = 2.0/; s/backups = true, moves = true/backups = false, moves = false/'
# Far smaller entry VMs.
variant small 's/class = "front", cpu_share = [0-9.]+/class = "front", cpu_share = 0.1/; s/memory_mb = (134|284)/memory_mb = 64/'
# Mostly small calls.
variant calls 's/(mix = \{ [a-z-]+ = )[0-9.]+(, [a-z-]+ = )[0-9.]+(, [a-z-]+ = )[0-9.]+/\10.6\20.7\30.5/'
# Shorter bounds: a second to apply and to drain, five of grace.
variant strict 's/^drain_ms = .*/drain_ms = 1500/; s/^config_ms = .*/config_ms = 1500/; s/^grace_s = .*/grace_s = 5.0/'
