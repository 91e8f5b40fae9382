#!/bin/sh
# Lays beside the sites here what the operators' bench wants there, from the folder of a site that it knows:
#   deploy/sites/lay.sh GIVEN/kit/more/mass/other
# What is laid is not kept in the repository (see .gitignore).
set -eu
from=${1:?"usage: lay.sh FOLDER, where real.json, wire.json and unlock.txt lie"}
here=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
    if [ ! -r "$from/$file" ]; then
        echo "lay.sh: $from/$file is not there: the operators' kit is needed to play a site" >&2
        exit 1
    fi
    cp "$from/$file" "$here/$file"
    chmod u+w "$here/$file"
done
