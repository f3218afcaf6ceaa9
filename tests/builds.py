"""builds.py: the program of the build in production, for tests that play it
beside this one.

It is the commit that deploy/system.toml names, or BESIDE=COMMIT of the
environment; it may be missing in the history (a shallow clone)."""
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


def git(*words, **more):
    return subprocess.run(["git", "-C", ROOT] + list(words), capture_output=True,
                          **more)


def build_old(commit):
    """The program of that commit, built once in BUILD; None: it is not in the
    history."""
    made = os.path.join(BUILD, "production-" + commit)
    program = os.path.join(made, "target", "bin", "loftpathd")
    if os.path.exists(program):
        return program
    got = git("archive", commit)
    if got.returncode != 0:
        return None
    into = tempfile.mkdtemp(dir=BUILD)
    subprocess.run(["tar", "-x", "-C", into], input=got.stdout, check=True)
    subprocess.run(["sh", "deploy/build.sh"], cwd=into, check=True,
                   stdout=subprocess.DEVNULL)
    shutil.rmtree(made, ignore_errors=True)
    os.rename(into, made)
    return program


def beside_production(play):
    """play(program of the build in production); the status of the process. Says
    "not run" and fails nothing where that build is not in the history."""
    commit = production()
    old = build_old(commit)
    if not old:
        print("not run: %s is not in this history" % commit)
        return 0
    print("%s and this build side by side" % commit[:7], flush=True)
    return play(old)
