"""Configuration folders and settings files, from data files of cases."""

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


def cases(folder: str) -> list[str]:
    """Return the names of the cases in a folder."""
    return sorted(path.stem for path in (DATA / folder).glob("*.input"))


def compare(folder: str, name: str, shown: str) -> None:
    """Compare with the expected file, or write it when recording."""
    expected = DATA / folder / f"{name}.expected"
    if os.environ.get("FUCHSIADALE_RECORD"):
        expected.write_text(shown, "utf-8")
    assert shown == expected.read_text("utf-8")


def source_files(text: str) -> list[SourceFile]:
    """Return the files of a case: each begins with a line ``--- <name>``."""
    files = []
    for part in text.split("--- ")[1:]:
        name, _, body = part.partition("\n")
        files.append(SourceFile(name, body))
    return files


@pytest.mark.parametrize("name", cases("config"))
def test_configuration_case(name: str) -> None:
    text = (DATA / "config" / f"{name}.input").read_text("utf-8")
    read = read_configuration(source_files(text))
    if isinstance(read, Err):
        shown = "".join(f"{problem}\n" for problem in read.err_value)
    else:
        shown = json.dumps(cattrs.unstructure(read.ok_value), indent=1) + "\n"
    compare("config", name, shown)


@pytest.mark.parametrize("name", cases("settings"))
def test_settings_case(name: str) -> None:
    text = (DATA / "settings" / f"{name}.input").read_text("utf-8")
    read = read_settings(SourceFile("entry.yaml", text))
    if isinstance(read, Err):
        shown = "".join(f"{problem}\n" for problem in read.err_value)
    else:
        shown = json.dumps(cattrs.unstructure(read.ok_value), indent=1) + "\n"
    compare("settings", name, shown)


@pytest.mark.parametrize("user", ["guild", "typha"])
def test_example_folder_is_valid(user: str) -> None:
    configuration = read_configuration(read_yaml_files(EXAMPLES / user)).unwrap()
    assert len(configuration.teams) == 6
    assert len(configuration.pools) == 2
