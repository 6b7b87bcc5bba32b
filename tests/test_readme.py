"""The example in the README runs in a new process."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_readme_example_runs_and_prints_its_decision() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert run.returncode == 0, run.stderr
    assert run.stdout.startswith("job 1 goes to 10.0.0.")
