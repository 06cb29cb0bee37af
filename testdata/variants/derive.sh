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
# Servers of uneven speed.
variant uneven 's/speeds = \[[0-9., ]*\]/speeds = [1.0, 1.6, 2.2]/'
# Answers twice as long.
variant long 's/pieces = \{ mean = 1[0-9.]+, spread = ([0-9.]+), max = [0-9.]+ \}/pieces = { mean = 260.0, spread = \1, max = 360.0 }/'
# Short prompts.
variant prompts-1500 's/prompt_tokens = \{ mean = [0-9.]+, spread = ([0-9.]+), max = [0-9.]+ \}/prompt_tokens = { mean = 1500.0, spread = \1, max = 2700.0 }/'
variant prompts-3000 's/prompt_tokens = \{ mean = [0-9.]+, spread = ([0-9.]+), max = [0-9.]+ \}/prompt_tokens = { mean = 3000.0, spread = \1, max = 5400.0 }/'
# Engines that send no running copies; copies by a call are made.
variant nobackups 's/backups = true, moves = true/backups = false, moves = true/'
# Half the memory, and half the engines' speed.
variant halfmemory 's/kv_tokens = 88000/kv_tokens = 44000/'
variant halfspeed 's/step_ms = 5.95,/step_ms = 11.9,/; s/prefill_tokens_per_ms = [0-9.]+/prefill_tokens_per_ms = 4.0/'
# Twice the requests.
awk '/mix = / { for (i = 1; i < NF; i++) if ($i == "per_s" && $(i+1) == "=") { sub(/,$/, "", $(i+2)); $(i+2) = 2 * $(i+2) "," } } { print }' "$site" >"$out/twice.toml"
echo "$out/twice.toml"
