"""red.py: the tests that KNOWN-RED.txt lists."""
import os


def known_red():
    """The tests that may fail, by name. Each line has a name, then the details."""
    path = os.path.join(os.path.dirname(__file__), "..", "KNOWN-RED.txt")
    if not os.path.exists(path):
        return {}
    with open(path) as lines:
        return dict(line.split(" ", 1) for line in lines if line.strip())
