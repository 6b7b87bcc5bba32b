"""The files of the decision module are formatted by ruff, without exceptions, and have short lines."""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]


def test_lines_of_the_decision_module_have_at_most_110_characters() -> None:
    assert "robinhill/logic.py" in POLICY
    lines = [line for name in POLICY for line in (ROOT / name).read_text().splitlines()]
    assert max(map(len, lines)) <= 110


def test_decision_module_is_formatted_by_ruff_without_exceptions() -> None:
    assert not [name for name in POLICY if "# fmt:" in (ROOT / name).read_text()]
    command = [sys.executable, "-m", "ruff", "format", "--check", *POLICY]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stdout + run.stderr
