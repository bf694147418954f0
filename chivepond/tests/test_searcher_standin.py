"""The stand-in of a searcher."""

import subprocess
import sys


def test_first_query_at_a_started_stand_in_imports_nothing():
    """Guards against late first replies while a stand-in imports modules."""
    completed = subprocess.run(
        [sys.executable, '-m', 'chivepond.tests.standin_imports'],
        check=True,
        capture_output=True,
        text=True,
    )
    assert completed.stdout.split() == []
