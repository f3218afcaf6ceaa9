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


def build_old(commit, into):
    """The program of that commit; None: it is not in the history."""
    got = git("archive", commit)
    if got.returncode != 0:
        return None
    subprocess.run(["tar", "-x", "-C", into], input=got.stdout, check=True)
    subprocess.run(["sh", "deploy/build.sh"], cwd=into, check=True,
                   stdout=subprocess.DEVNULL)
    return os.path.join(into, "target", "bin", "loftpathd")


def beside_production(play):
    """play(program of the build in production); the status of the process. Says
    "not run" and fails nothing where that build is not in the history."""
    commit = production()
    into = tempfile.mkdtemp()
    try:
        old = build_old(commit, into)
        if not old:
            print("not run: %s is not in this history" % commit)
            return 0
        print("%s and this build side by side" % commit[:7], flush=True)
        return play(old)
    finally:
        shutil.rmtree(into)
