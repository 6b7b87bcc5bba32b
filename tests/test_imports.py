"""What may import what: the contracts in pyproject.toml hold."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
LINT = "from importlinter.cli import lint_imports_command; lint_imports_command()"


def test_the_layers_are_kept() -> None:
    command = [sys.executable, "-c", LINT, "--no-cache"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert run.returncode == 0, run.stdout + run.stderr
    assert "5 kept, 0 broken" in run.stdout
