"""Parses YAML into document nodes that hold the file and line of each value."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import yaml
from attrs import define, field, frozen
from result import Err, Ok, Result


@frozen(order=True)
class Location:
    """Location of a value in a file.

    Attributes
    ----------
    file : str
        Name of the file.
    line : int
        Line number, starting at 1.
    """

    file: str
    line: int


@frozen(order=True)
class Problem:
    """Problem found in a document.

    Attributes
    ----------
    location : Location
        Location of the invalid value, or of the mapping that lacks a required field.
    field : str
        Dotted path of the invalid field; empty for the whole document.
    message : str
        Description that follows the field's path, such as ``must be a number``.
    """

    location: Location
    field: str
    message: str

    def __str__(self) -> str:
        """Return ``file:line: field: message``."""
        position = f"{self.location.file}:{self.location.line}"
        return f"{position}: {self.field or '(document)'}: {self.message}"


@frozen
class SourceFile:
    """Name and content of one file."""

    name: str
    text: str


@define
class DocumentNode:
    """Value in a document: a scalar, a list or a mapping.

    Attributes
    ----------
    location : Location
        Location of the value.
    path : str
        Dotted path of the value from the root of the document; empty for the root.
    scalar : object
        The value, if it is a scalar.
    items : list of DocumentNode or None
        The items, if the value is a list.
    fields : dict of str to DocumentNode or None
        The fields by name, if the value is a mapping.
    """

    location: Location
    path: str
    scalar: object = None
    items: list[DocumentNode] | None = None
    fields: dict[str, DocumentNode] | None = field(default=None)


def parse_yaml(source: SourceFile) -> Result[DocumentNode, list[Problem]]:
    """Return the root node of a YAML file, which must be a mapping or empty."""
    try:
        node = yaml.compose(source.text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark is not None else 1
        return Err([Problem(Location(source.name, line), "", str(error.problem))])
    except yaml.YAMLError as error:
        return Err([Problem(Location(source.name, 1), "", str(error))])
    if node is None:
        return Ok(DocumentNode(Location(source.name, 1), "", fields={}))
    problems: list[Problem] = []
    document = _build_node(node, source.name, "", problems)
    if document.fields is None:
        problems.append(Problem(document.location, "", "must be a mapping"))
    return Err(problems) if problems else Ok(document)


def merge_documents(documents: Iterable[DocumentNode]) -> DocumentNode:
    """Merge mappings; later scalars and lists replace those at the same path."""
    merged = DocumentNode(Location("", 1), "", fields={})
    for document in documents:
        _merge_into(merged, document)
    return merged


def _merge_into(target: DocumentNode, source: DocumentNode) -> None:
    if target.fields is None or source.fields is None:
        target.scalar = source.scalar
        target.items = source.items
        target.fields = source.fields
        target.location = source.location
        return
    target.location = source.location
    for name, value in source.fields.items():
        existing = target.fields.get(name)
        if existing is None:
            target.fields[name] = value
        else:
            _merge_into(existing, value)


def _build_node(
    node: yaml.Node, file: str, path: str, problems: list[Problem]
) -> DocumentNode:
    location = Location(file, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        fields: dict[str, DocumentNode] = {}
        for name, value in _iterate_fields(node):
            inner_path = f"{path}.{name}" if path else name
            if name in fields:
                line = value.start_mark.line + 1
                problems.append(
                    Problem(Location(file, line), inner_path, "given twice")
                )
            fields[name] = _build_node(value, file, inner_path, problems)
        return DocumentNode(location, path, fields=fields)
    if isinstance(node, yaml.SequenceNode):
        items = [
            _build_node(item, file, f"{path}[{index}]", problems)
            for index, item in enumerate(node.value)
        ]
        return DocumentNode(location, path, items=items)
    try:
        scalar = yaml.SafeLoader("").construct_object(node)
    except (yaml.YAMLError, ValueError) as error:
        problems.append(Problem(location, path, f"is not a valid YAML value: {error}"))
        scalar = None
    return DocumentNode(location, path, scalar=scalar)


def _iterate_fields(node: yaml.MappingNode) -> Iterator[tuple[str, yaml.Node]]:
    for key, value in node.value:
        yield str(key.value), value
