"""builds.py: builds the version in production, for tests that run it alongside
this one.

Its commit is the one that deploy/system.toml names, or that of the environment
variable BESIDE. A shallow clone may lack it."""
import os
import re
import shutil
import subprocess
import tempfile

from fleet import BUILD

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
NEW = os.path.join(BUILD, "bin", "loftpathd")


def production():
    if os.environ.get("BESIDE"):
        return os.environ["BESIDE"]
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        return re.search(r'^production = "(\w+)"', f.read(), re.M).group(1)


def git(*args, **more):
    return subprocess.run(["git", "-C", ROOT] + list(args), capture_output=True,
                          **more)


def build_old(commit):
    """The path of that commit's program, built once in BUILD; None if the history
    lacks the commit."""
    build_dir = os.path.join(BUILD, "production-" + commit)
    program = os.path.join(build_dir, "target", "bin", "loftpathd")
    if os.path.exists(program):
        return program
    archive = git("archive", commit)
    if archive.returncode != 0:
        return None
    work_dir = tempfile.mkdtemp(dir=BUILD)
    subprocess.run(["tar", "-x", "-C", work_dir], input=archive.stdout, check=True)
    subprocess.run(["sh", "deploy/build.sh"], cwd=work_dir, check=True,
                   stdout=subprocess.DEVNULL)
    shutil.rmtree(build_dir, ignore_errors=True)
    os.rename(work_dir, build_dir)
    return program


def beside_production(play):
    """Calls `play` with the program of the build in production and returns the
    exit status. If the history lacks that build, prints "not run" and succeeds."""
    commit = production()
    old = build_old(commit)
    if not old:
        print("not run: %s is not in this history" % commit)
        return 0
    print("%s and this build side by side" % commit[:7], flush=True)
    return play(old)
