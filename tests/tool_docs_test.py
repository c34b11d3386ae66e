#!/usr/bin/env python3
"""Checks that docs/lacewingctl.md holds exactly what `lacewingctl --help` prints, for every command."""

import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TOOL = os.path.join(ROOT, "build", "bin", "lacewingctl")
PAGE = os.path.join(ROOT, "docs", "lacewingctl.md")


def help_of(*words):
    """Returns what the tool prints for a command."""
    return subprocess.run([TOOL, *words, "--help"], capture_output=True, text=True, check=True).stdout


def commands():
    """Returns the words of each command that the tool lists."""
    listing = help_of().split("Commands:\n")[1].split("\n\n")[0]
    return [re.match(r"  ([a-z]+(?: [a-z]+)?)", line)[1].split() for line in listing.splitlines()]


def main():
    with open(PAGE, encoding="utf-8") as file:
        page = file.read()
    sections = dict(re.findall(r"^## lacewingctl ?(.*?) ?--help\n\n```\n(.*?)```\n", page, re.MULTILINE | re.DOTALL))
    expected = {" ".join(words): help_of(*words) for words in [[], *commands()]}
    wrong = sorted(name for name in {*sections, *expected} if sections.get(name) != expected.get(name))
    for name in wrong:
        print(f"docs/lacewingctl.md differs from `lacewingctl {name} --help`", file=sys.stderr)
    print(f"{len(expected)} help texts compared, {len(wrong)} differ")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
