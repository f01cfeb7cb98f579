#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bronzeyard ] || [ ! -x review/three/bin/longid ]; then
	echo "build first: the deploy file's build and review/build-3.sh"
	exit 2
fi
exec review/three/bin/longid review/three/names.json review/14/record.txt
