#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the command of deploy/system.toml, then review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/review/standin" ] && [ -x "$root/target/release/oriolecleat-platform" ] || {
  echo 'not built: run the build of deploy/system.toml and review/build.sh' >&2
  exit 2
}
exec "$root/target/review/standin" get_body "$root" "$here/record.txt"
