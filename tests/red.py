"""red.py: the tests that KNOWN-RED.txt lists."""
import os


def bound_sanitizer():
    """Lets builds with the address sanitizer keep 8 MB of freed memory in place of
    256 MB, so that bounds on the memory of processes hold for them as well."""
    options = [o for o in [os.environ.get("ASAN_OPTIONS")] if o]
    os.environ["ASAN_OPTIONS"] = ":".join(options + ["quarantine_size_mb=8"])


def known_red():
    """The tests that may fail, by name. Each line has a name, then the details."""
    path = os.path.join(os.path.dirname(__file__), "..", "KNOWN-RED.txt")
    if not os.path.exists(path):
        return {}
    with open(path) as lines:
        return dict(line.split(" ", 1) for line in lines if line.strip())
