#!/bin/sh
# Plays the case; TROUBLE=0 plays the same run without the disruptions.
cd "$(dirname "$0")" && exec timeout 115 python3 case.py
