"""red.py: the tests that KNOWN-RED.txt lists."""
import os


def known_red():
    """Tests that may fail: one a line, name first."""
    path = os.path.join(os.path.dirname(__file__), "..", "KNOWN-RED.txt")
    if not os.path.exists(path):
        return {}
    with open(path) as lines:
        return dict(line.split(" ", 1) for line in lines if line.strip())
