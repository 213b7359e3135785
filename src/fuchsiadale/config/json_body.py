"""Parses JSON request bodies into document nodes.

The nodes hold the path of each field, so that problems name the field.
"""

from __future__ import annotations

import json

from result import Err, Ok, Result

from fuchsiadale.config.documents import DocumentNode, Location, Problem

BODY_FILE_NAME = "body"
"""File name in the locations of values that come from a request body."""


def parse_json_object(body: bytes) -> Result[DocumentNode, list[Problem]]:
    """Return the root node of a JSON body, which must be an object."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err([Problem(Location(BODY_FILE_NAME, 1), "", f"is not JSON: {error}")])
    if not isinstance(value, dict):
        return Err([Problem(Location(BODY_FILE_NAME, 1), "", "must be an object")])
    return Ok(_build_node(value, ""))


def _build_node(value: object, path: str) -> DocumentNode:
    location = Location(BODY_FILE_NAME, 1)
    if isinstance(value, dict):
        fields = {
            name: _build_node(inner, f"{path}.{name}" if path else name)
            for name, inner in value.items()
        }
        return DocumentNode(location, path, fields=fields)
    if isinstance(value, list):
        items = [
            _build_node(inner, f"{path}[{index}]") for index, inner in enumerate(value)
        ]
        return DocumentNode(location, path, items=items)
    return DocumentNode(location, path, scalar=value)
