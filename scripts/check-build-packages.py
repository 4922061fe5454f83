#!/usr/bin/env python3
"""Checks that the packages named in deploy/system.toml are enough for a clean build.

    scripts/check-build-packages.py [--build build]

Computes the packages that apt would install for `packages` on an empty Debian system without recommended
packages (the closure). Fails if the build uses a file that belongs to no package of the closure. It checks:

- the files that cmake reads when the configuration command of `build` runs on a copy of the sources, with only
  the programs of the closure on its PATH;
- the headers that the build folder's dependency files list for the daemon;
- the libraries and object files that the linker reads for the daemon.

The daemon must have been built in the build folder (scripts/build.sh). Root is needed only if apt's package
lists are missing. Exit status: 0 all files belong to the closure, 1 some do not, 2 the check could not run.
"""
import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent
PROGRAM_FOLDERS = ("/usr/bin", "/bin", "/usr/sbin", "/sbin")
DAEMON = "switchsaddle"


class CheckFailed(Exception):
    """The check could not run."""


def output_of(command, **options):
    result = subprocess.run(command, capture_output=True, text=True, **options)
    if result.returncode != 0:
        raise CheckFailed(
            f"command failed with status {result.returncode}: {' '.join(map(str, command))}\n"
            f"{result.stdout}{result.stderr}"
        )
    return result.stdout


def required_packages():
    """The packages that are essential or of priority "required", which every Debian system has."""
    lines = output_of(["dpkg-query", "-W", "-f=${Package} ${Essential} ${Priority}\n"]).splitlines()
    return [line.split()[0] for line in lines if " yes " in line or line.endswith(" required")]


def closure_of(packages):
    """Returns the packages that apt would install for the given ones on an empty system."""
    with tempfile.NamedTemporaryFile() as empty_status:
        simulated = output_of(
            [
                "apt-get",
                "install",
                "--simulate",
                "--no-install-recommends",
                "-o",
                f"Dir::State::status={empty_status.name}",
                *packages,
            ]
        )
    return {line.split()[1] for line in simulated.splitlines() if line.startswith("Inst ")}


def files_of(packages):
    """Returns the real paths of all files of the packages. The build cannot use packages that are not installed."""
    installed = set(output_of(["dpkg-query", "-W", "-f=${Package}\n"]).split())
    listed = output_of(["dpkg-query", "-L", *sorted(packages & installed)]).splitlines()
    return {os.path.realpath(path) for path in listed if path.startswith("/")}


def link_programs(folder, allowed):
    """Creates links in `folder` to the allowed programs, also to those selected through /etc/alternatives."""
    for program_folder in PROGRAM_FOLDERS:
        for entry in os.scandir(program_folder):
            target = os.path.realpath(entry.path)
            link = folder / entry.name
            if target in allowed and not link.exists():
                link.symlink_to(entry.path)


def copy_sources(folder):
    for name in output_of(["git", "ls-files"], cwd=SOURCES).splitlines():
        if name.startswith("journal/") or not (SOURCES / name).is_file():
            continue
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(SOURCES / name, folder / name)


def configure(build_command, allowed):
    """Runs the configuration with the closure's programs. Returns the files that cmake read, and the errors."""
    configuration_command = build_command.split("&&")[0]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        programs = folder / "programs"
        sources = folder / "sources"
        programs.mkdir()
        sources.mkdir()
        link_programs(programs, allowed)
        copy_sources(sources)
        result = subprocess.run(
            ["/bin/sh", "-c", configuration_command],
            cwd=sources,
            text=True,
            capture_output=True,
            env={"PATH": str(programs), "HOME": name, "LANG": "C"},
        )
        if result.returncode != 0:
            return set(), [
                f"the configuration command fails with only the closure's programs:\n{result.stdout}{result.stderr}"
            ]
        lists = list(sources.glob("target/CMakeFiles/Makefile.cmake")) + list(sources.glob("target/build.ninja"))
        text = "".join(path.read_text() for path in lists)
    named = re.findall(r'"(/[^"]+\.cmake)"', text)
    return {path for path in named if not path.startswith(name)}, []


def headers_of(build):
    """Returns the headers outside the sources that the daemon's objects were compiled with."""
    inputs = output_of(["ninja", "-C", build, "-t", "inputs", DAEMON]).split()
    objects = {path for path in inputs if path.endswith(".o")}
    headers = set()
    wanted = False
    for line in output_of(["ninja", "-C", build, "-t", "deps"]).splitlines():
        if line and not line.startswith(" "):
            wanted = line.split(":")[0] in objects
        elif wanted and line.strip().startswith("/"):
            headers.add(line.strip())
    return {path for path in headers if not path.startswith(str(SOURCES))}


def linked_files_of(build):
    """Returns the files outside the sources that the linker read for the daemon."""
    commands = output_of(["ninja", "-C", build, "-t", "commands", DAEMON]).splitlines()
    link = next(line for line in reversed(commands) if f"-o programs/{DAEMON} " in line)
    with tempfile.NamedTemporaryFile() as program:
        command = link.replace(f"-o programs/{DAEMON} ", f"-Wl,--trace -o {program.name} ")
        traced = output_of(["/bin/sh", "-c", command], cwd=build)
    # The output format depends on the linker: "PATH", "PATH(MEMBER)" or "trace: PATH".
    paths = {re.sub(r"^trace: |\(.*", "", line.strip()) for line in traced.splitlines()}
    return {path for path in paths if path.startswith("/") and not path.startswith(str(SOURCES))}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument(
        "--build", default=os.environ.get("BUILD", "build"), help="build folder (default $BUILD or build)"
    )
    arguments = parser.parse_args()
    system = tomllib.loads((SOURCES / "deploy/system.toml").read_text())
    build = str(SOURCES / arguments.build)
    try:
        closure = closure_of([*system["packages"], *required_packages()])
        allowed = files_of(closure)
        cmake_files, faults = configure(system["build"], allowed)
        used = {"cmake": cmake_files, "header": headers_of(build), "linked": linked_files_of(build)}
    except CheckFailed as error:
        print(f"check-build-packages: {error}", file=sys.stderr)
        return 2
    for kind, paths in used.items():
        faults += [
            f"{kind} file belongs to no package of the closure: {path}"
            for path in sorted(paths)
            if os.path.realpath(path) not in allowed
        ]
    for fault in faults:
        print(f"check-build-packages: {fault}")
    print(
        f"build packages: {len(closure)} in the closure, "
        + ", ".join(f"{len(paths)} {kind} files" for kind, paths in used.items())
        + (f", {len(faults)} faults" if faults else ", all of them in it")
    )
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
