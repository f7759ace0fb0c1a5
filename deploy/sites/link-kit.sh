#!/usr/bin/env bash
# Links the kit's files beside the deployments written here, so that its bench can play them.
# Usage: deploy/sites/link-kit.sh KIT        (the kit's folder; the links are ignored by git)
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
kit=$(cd "${1:?the folder of the kit is missing: link-kit.sh KIT}" && pwd)
for file in real.json wire.json unlock.txt; do
  [ -f "$kit/sites/$file" ] || { echo "link-kit.sh: $kit/sites/$file does not exist: is $kit the kit?" >&2; exit 1; }
  ln -sfn "$kit/sites/$file" "$here/$file"
done
