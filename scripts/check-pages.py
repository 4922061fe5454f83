#!/usr/bin/env python3
"""Checks that the files and C++ names mentioned in the documentation pages exist.

    scripts/check-pages.py [PAGE...]

Reads the code spans of the pages. A path must be an existing file or folder, or the end of a tracked file's path.
Each component of a qualified name such as `sessions::SessionTable::readLive` must occur as a word in the C++ sources.
Exit status: 0 if all exist; otherwise 1, with one line for each that does not.
"""
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGES = ["docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/OPERATIONS.md", "CONTRIBUTING.md"]
CODE_SPAN = re.compile(r"`([^`\n]+)`")
PATH = re.compile(r"[\w./-]+\.(?:cc|h|py|sh|md|yaml|toml|txt|html)|(?:libraries|programs|scripts|docs)/[\w./-]+")
QUALIFIED_NAME = re.compile(r"[a-zA-Z_]\w*(?:::\w+)+")
WORD = re.compile(r"[A-Za-z_]\w*")


def tracked_files():
    listed = subprocess.run(["git", "ls-files"], cwd=ROOT, capture_output=True, text=True, check=True)
    return [name for name in listed.stdout.split("\n") if not name.startswith("journal/")]


def source_words(files):
    words = set()
    for name in files:
        if name.endswith((".cc", ".h")) and (ROOT / name).is_file():
            words.update(WORD.findall((ROOT / name).read_text(encoding="utf-8")))
    return words


def path_exists(path, files):
    path = path.rstrip("/")
    return (ROOT / path).exists() or any(name == path or name.endswith("/" + path) for name in files)


def faults_of(page, files, words):
    for number, line in enumerate((ROOT / page).read_text(encoding="utf-8").split("\n"), 1):
        for span in CODE_SPAN.findall(line):
            if PATH.fullmatch(span) and not path_exists(span, files):
                yield f"{page}:{number}: no such file or folder: {span}"
            for name in QUALIFIED_NAME.findall(span):
                missing = [part for part in name.split("::") if part not in words]
                if missing:
                    yield f"{page}:{number}: not found in the C++ sources: {'::'.join(missing)} (in {name})"


def main():
    files = tracked_files()
    words = source_words(files)
    faults = [fault for page in sys.argv[1:] or PAGES for fault in faults_of(page, files, words)]
    for fault in faults:
        print(fault)
    print(f"pages: {len(faults)} names or files that do not exist")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
