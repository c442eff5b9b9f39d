#!/bin/sh
cd "$(dirname "$0")" && exec timeout -k 5 118 node case.mjs
