#!/usr/bin/env python3
"""Prints the preprocessed text of one source file, by the compile command of the build folder."""

import json
import shlex
import subprocess
import sys


def main() -> int:
    build, source = sys.argv[1:3]
    with open(f"{build}/compile_commands.json", encoding="utf-8") as file:
        commands = json.load(file)
    for entry in commands:
        if not entry["file"].endswith("/" + source):
            continue
        words = shlex.split(entry["command"])
        words = words[: words.index("-o")] + ["-E", "-P", entry["file"]]
        if "ccache" in words[0]:
            words = words[1:]
        return subprocess.run(words, cwd=entry["directory"], check=False, stderr=subprocess.DEVNULL).returncode
    print("not in the build:", source)
    return 0


if __name__ == "__main__":
    sys.exit(main())
