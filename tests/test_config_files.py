"""Tests that read configuration folders and settings files from ``tests/data``."""

from __future__ import annotations

import json
import os
from pathlib import Path

import cattrs
import pytest
from result import Err

from fuchsiadale.config.documents import SourceFile
from fuchsiadale.config.folder import read_configuration, read_yaml_files
from fuchsiadale.config.settings import read_settings

DATA = Path(__file__).parent / "data"
EXAMPLES = Path(__file__).parent.parent / "examples"


def list_cases(folder: str) -> list[str]:
    """Return the names of the test cases in a folder of ``tests/data``."""
    return sorted(path.stem for path in (DATA / folder).glob("*.input"))


def assert_matches_expected(folder: str, name: str, output: str) -> None:
    """Check that the output equals the expected file.

    The file is written first if the variable ``FUCHSIADALE_RECORD`` is set.
    """
    expected = DATA / folder / f"{name}.expected"
    if os.environ.get("FUCHSIADALE_RECORD"):
        expected.write_text(output, "utf-8")
    assert output == expected.read_text("utf-8")


def split_source_files(text: str) -> list[SourceFile]:
    """Split the text of a case into files; each starts with a line ``--- <name>``."""
    files = []
    for part in text.split("--- ")[1:]:
        name, _, body = part.partition("\n")
        files.append(SourceFile(name, body))
    return files


@pytest.mark.parametrize("name", list_cases("config"))
def test_reading_configuration_gives_expected_output(name: str) -> None:
    text = (DATA / "config" / f"{name}.input").read_text("utf-8")
    reading = read_configuration(split_source_files(text))
    if isinstance(reading, Err):
        output = "".join(f"{problem}\n" for problem in reading.err_value)
    else:
        output = json.dumps(cattrs.unstructure(reading.ok_value), indent=1) + "\n"
    assert_matches_expected("config", name, output)


@pytest.mark.parametrize("name", list_cases("settings"))
def test_reading_settings_gives_expected_output(name: str) -> None:
    text = (DATA / "settings" / f"{name}.input").read_text("utf-8")
    reading = read_settings(SourceFile("entry.yaml", text))
    if isinstance(reading, Err):
        output = "".join(f"{problem}\n" for problem in reading.err_value)
    else:
        output = json.dumps(cattrs.unstructure(reading.ok_value), indent=1) + "\n"
    assert_matches_expected("settings", name, output)


@pytest.mark.parametrize("user", ["guild", "typha"])
def test_example_folder_is_valid(user: str) -> None:
    configuration = read_configuration(read_yaml_files(EXAMPLES / user)).unwrap()
    assert len(configuration.teams) == 6
    assert len(configuration.pools) == 2
