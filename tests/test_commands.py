"""The command line and the operators' file: errors name the faulty key, and no partly valid file is used."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from robinhill import config
from robinhill.admission.options import AdmissionOptions
from robinhill.commands import FLAGS, cli
from robinhill.commands.modelling import version
from robinhill.config_types import ConfigError

from .test_config import GIVEN
from .test_exchanges import ROOT


@pytest.mark.parametrize(
    "document, key",
    [
        ("[]", "(whole file)"),
        ('{"admissions": {}}', "admissions"),
        ('{"admission": {"enabled": 1}}', "admission.enabled"),
        ('{"admission": {"queus": 3}}', "queus"),
        ('{"admission": {"queues": 0}}', "admission.queues"),
        ('{"admission": {"hand": 9, "queues": 4}}', "hand"),
        ('{"admission": {"newcomers": 1}}', "admission.newcomers"),
        ('{"admission": {"tenant_header": "X Y"}}', "admission.tenant_header"),
        ('{"admission": {"limits": {"open": 0}}}', "admission.limits.open"),
        ('{"admission": {"limits": {"work_per_s": -1}}}', "admission.limits.work_per_s"),
        ('{"admission": {"tenants": {"a": {"weight": 0}}}}', "admission.tenants[...].weight"),
        ('{"admission": {"networks": [{"network": "10.0.0.1/8"}]}}', "admission.networks[0]"),
        ('{"admission": {"networks": [{"network": "10.0.0.0/8"}, {"network": "10.0.0.0/8"}]}}', "twice"),
        ('{"log": {"format": "xml"}}', "log.format"),
        ('{"log": ', "GW_OPERATOR"),
    ],
)
def test_error_of_a_faulty_operators_file_names_the_key(document: str, key: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.json"
    path.write_text(document)
    with pytest.raises(ConfigError) as caught:
        config.read_operator(str(path))
    assert key in str(caught.value)
    done = CliRunner().invoke(cli, ["check-config", str(path)], standalone_mode=False)
    assert done.return_value == 2


def test_deprecated_key_is_read_with_a_warning(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    old, current = tmp_path / "old.json", tmp_path / "current.json"
    current.write_text('{"admission": {"enabled": true, "queued": 7}, "log": {"format": "json"}}')
    old.write_text('{"door": {"enabled": true, "queued": 7}, "log": {"format": "json"}}')
    assert config.read_operator(str(current)).admission.queued == 7
    assert not caplog.records
    assert config.read_operator(str(old)) == config.read_operator(str(current))
    (record,) = caplog.records
    assert record.levelname == "WARNING" and record.msg == "deprecated_key"
    fields = vars(record)
    assert (fields["file"], fields["key"], fields["write"]) == (str(old), "door", "admission")


def test_check_config_logs_the_replacement_of_a_deprecated_key_on_stderr(tmp_path: Path) -> None:
    path = tmp_path / "operator.json"
    path.write_text('{"door": {"queued": 7}}')
    done = _command("check-config", str(path))
    assert done.returncode == 0
    assert '"admission"' in done.stdout and '"queued": 7' in done.stdout and '"door"' not in done.stdout
    assert "event=deprecated_key" in done.stderr and "key=door write=admission" in done.stderr


@pytest.mark.parametrize(
    "document, key",
    [
        ('{"door": {}, "admission": {}}', "door"),
        ('{"admission": {"enabled": true}, "door": {"enabled": true}}', "door"),
        ('{"door": {"queues": 0}}', "door.queues"),
        ('{"door": 3}', "door"),
    ],
)
def test_error_names_the_deprecated_key_if_the_file_uses_it(document: str, key: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.json"
    path.write_text(document)
    with pytest.raises(ConfigError) as caught:
        config.read_operator(str(path))
    assert caught.value.key == f"{path}: {key}"


def test_key_under_both_names_ends_the_program_with_one_error_line(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(GIVEN))
    path = tmp_path / "operator.json"
    path.write_text('{"door": {}, "admission": {}}')
    done = _command("run", "--operator", str(path), GW_CONFIG=str(tmp_path / "config.json"))
    assert done.returncode == 2
    assert done.stderr == (
        f"robinhill: {path}: door: is the deprecated name of admission, which is present too; remove door\n"
    )


@pytest.mark.parametrize("settings", ["", '"settings": {"max_attempts": 1}, ', '"log": {"level": "info"}, '])
def test_side_of_a_comparison_accepts_the_deprecated_key_of_admission(
    settings: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    old, current = tmp_path / "old.json", tmp_path / "current.json"
    old.write_text(f'{{{settings}"door": {{"enabled": true, "queued": 7}}}}')
    current.write_text(f'{{{settings}"admission": {{"enabled": true, "queued": 7}}}}')
    with version(str(current)) as side:
        assert side.admission == AdmissionOptions(enabled=True, queued=7)
        assert not caplog.records
        with version(str(old)) as same:
            assert (same.admission, same.settings) == (side.admission, side.settings)
    assert [record.msg for record in caplog.records] == ["deprecated_key"]


def _command(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "robinhill", *arguments]
    return subprocess.run(command, env=environment, cwd=ROOT, capture_output=True, text=True, check=False)


def test_shipped_operators_file_has_every_key_with_its_default() -> None:
    path = ROOT / "deploy" / "operator.json"
    assert config.read_operator(str(path)) == config.OperatorFile()
    assert set(json.loads(path.read_text())["admission"]) == set(AdmissionOptions.__struct_fields__)


def test_faulty_operators_file_ends_the_program_with_one_error_line(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(GIVEN))
    (tmp_path / "operator.json").write_text('{"admission": {"enabled": "yes"}}')
    done = subprocess.run(
        [sys.executable, "-m", "robinhill", "run", "--operator", str(tmp_path / "operator.json")],
        env={"GW_CONFIG": str(tmp_path / "config.json")}, cwd=ROOT,
        capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert done.returncode == 2 and "admission.enabled" in done.stderr and done.stderr.count("\n") == 1


def test_every_flag_overrides_its_environment_variable(tmp_path: Path) -> None:
    assert all(variable.startswith("GW_") for variable, _ in FLAGS.values())
    (tmp_path / "config.json").write_text(json.dumps(GIVEN))
    done = subprocess.run(
        [sys.executable, "-m", "robinhill", "run", "--listen", "nowhere"],
        env={"GW_CONFIG": str(tmp_path / "config.json"), "GW_LISTEN": "127.0.0.1:1"}, cwd=ROOT,
        capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert done.returncode == 2 and done.stderr.startswith("robinhill: GW_LISTEN: ")


def test_check_config_prints_the_classes_of_a_platform_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GIVEN))
    done = CliRunner().invoke(cli, ["check-config", str(path)], standalone_mode=False)
    assert done.return_value == 0 and "renewal-charge (aim 750 ms, unsafe)" in done.output


def test_explain_prints_tenant_weight_and_limits(tmp_path: Path) -> None:
    path = tmp_path / "operator.json"
    path.write_text(json.dumps({"admission": {
        "networks": [{"network": "10.1.0.0/16", "tenant": "north", "limits": {"open": 9}}],
        "tenants": {"north": {"weight": 3, "limits": {"open": 4}}}, "limits": {"queued": 7},
    }}))  # fmt: skip
    arguments = ["admission", "explain", str(path), "--address", "10.1.2.3"]
    lines = CliRunner().invoke(cli, arguments, standalone_mode=False).output.splitlines()
    assert lines[1:3] == ["tenant    north (by address 10.1.2.3)", "weight    3"]
    assert "open 4" in lines[3] and "queued 7" in lines[3] and "open 9" in lines[5]
    too_long = CliRunner().invoke(cli, [*arguments, "--tenant", "x" * 65], standalone_mode=False)
    assert too_long.return_value == 2


def test_deprecated_sub_command_prints_the_same_with_a_warning(tmp_path: Path) -> None:
    path = tmp_path / "operator.json"
    path.write_text('{"admission": {"tenants": {"north": {"weight": 3}}}}')
    arguments = ["explain", str(path), "--tenant", "north"]
    current, old = _command("admission", *arguments), _command("door", *arguments)
    assert current.returncode == old.returncode == 0
    assert current.stdout == old.stdout and "weight    3" in old.stdout
    assert current.stderr == ""
    assert "'door' is deprecated" in old.stderr and "robinhill admission explain" in old.stderr
    assert "door" not in _command("--help").stdout


@pytest.mark.skipif(not hasattr(os, "killpg"), reason="needs process groups")
def test_demo_prints_a_table_and_stops_its_scheduler_on_ctrl_c() -> None:
    """Guards against a demo whose scheduler process continues to run after the demo has ended."""
    demo = subprocess.Popen(
        [sys.executable, "-u", "-m", "robinhill", "demo", "--seconds", "60", "--workers", "2"], cwd=ROOT,
        stdout=subprocess.PIPE, text=True, start_new_session=True,
    )  # fmt: skip
    assert demo.stdout
    assert "2 workers, 9 tenants" in demo.stdout.readline()
    demo.send_signal(signal.SIGINT)
    out, _ = demo.communicate(timeout=30)
    assert demo.returncode == 0 and "rules broken: 0" in out and "w1" in out
    with pytest.raises(ProcessLookupError):
        os.killpg(demo.pid, 0)


def test_start_does_not_import_ssl_admission_or_numpy(tmp_path: Path) -> None:
    """A restart is an outage for the requests that arrive meanwhile.

    Importing ssl, which loads the certificates of the machine, and the code of admission took a fifth of the
    time to start, although a scheduler uses no TLS and, by default, no admission.
    """
    (tmp_path / "config.json").write_text("{}")
    code = (
        "import sys, robinhill.__main__ as m; code = m.main(['run']);"
        "heavy = ('ssl', 'robinhill.admission.admission', 'numpy');"
        "print(code, sorted(n for n in heavy if sys.modules.get(n)))"
    )
    environment = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json")}
    done = subprocess.run(
        [sys.executable, "-c", code], env=environment, cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert done.stdout.splitlines()[-1] == "2 []"
