#!/bin/bash
# Shared by the launch scripts: paths of the packaged programs.
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
