"""Reads typed fields from document nodes and collects every problem found."""

from __future__ import annotations

import re
from collections.abc import Iterator

from fuchsiadale.config.documents import DocumentNode, Problem

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
"""Pattern of names, such as those of hosts, teams and pools; at most 63 characters."""


class MappingReader:
    """Reads the fields of one mapping.

    An invalid field, or a missing one that is required, adds a problem, and reading
    goes on with a usable value, so that all problems of a document are found at once.

    Parameters
    ----------
    node : DocumentNode
        The mapping.
    problems : list of Problem
        List that problems are appended to.
    """

    def __init__(self, node: DocumentNode, problems: list[Problem]) -> None:
        self._node = node
        self._problems = problems
        self._known_names: set[str] = set()
        if node.fields is None:
            self.add_problem("must be a mapping")

    @property
    def node(self) -> DocumentNode:
        """Node of the mapping."""
        return self._node

    def add_problem(self, message: str, name: str = "") -> None:
        """Add a problem of a field, or of the whole mapping if `name` is empty."""
        node = self._fields().get(name, self._node)
        path = node.path
        if name and name not in self._fields():
            path = f"{self._node.path}.{name}" if self._node.path else name
        self._problems.append(Problem(node.location, path, message))

    def read_text(self, name: str, default: str | None = None) -> str:
        """Return a text field, which is required if `default` is None."""
        node = self._get_field(name, required=default is None)
        if node is None:
            return default or ""
        if not isinstance(node.scalar, str):
            self.add_problem("must be text", name)
            return default or ""
        return node.scalar

    def read_name(self, name: str, default: str | None = None) -> str:
        """Return a text field whose value must match ``NAME_PATTERN``."""
        value = self.read_text(name, default)
        if value and not NAME_PATTERN.fullmatch(value):
            self.add_problem("must be lower-case letters, digits and hyphens", name)
        return value

    def read_integer(self, name: str, default: int, minimum: int, maximum: int) -> int:
        """Return an integer field, or `default` if it is missing or invalid.

        The value must be from `minimum` to `maximum`.
        """
        node = self._get_field(name)
        if node is None:
            return default
        value = node.scalar
        if not isinstance(value, int) or isinstance(value, bool):
            self.add_problem("must be a whole number", name)
            return default
        if not minimum <= value <= maximum:
            self.add_problem(f"must be from {minimum} to {maximum}", name)
            return default
        return value

    def read_number(
        self, name: str, default: float, minimum: float, maximum: float
    ) -> float:
        """Return a number field as a float, or `default` if it is missing or invalid.

        The value must be from `minimum` to `maximum`.
        """
        node = self._get_field(name)
        if node is None:
            return default
        value = node.scalar
        if not isinstance(value, int | float) or isinstance(value, bool):
            self.add_problem("must be a number", name)
            return default
        if not minimum <= value <= maximum:
            self.add_problem(f"must be from {minimum:g} to {maximum:g}", name)
            return default
        return float(value)

    def read_boolean(self, name: str, default: bool) -> bool:
        """Return a Boolean field, or `default` if it is missing or invalid."""
        node = self._get_field(name)
        if node is None:
            return default
        if not isinstance(node.scalar, bool):
            self.add_problem("must be true or false", name)
            return default
        return node.scalar

    def read_text_list(self, name: str) -> list[str]:
        """Return the texts in a list field; invalid items are left out.

        The result is empty if the field is missing or not a list.
        """
        node = self._get_field(name)
        if node is None:
            return []
        if node.items is None:
            self.add_problem("must be a list", name)
            return []
        texts: list[str] = []
        for item in node.items:
            if isinstance(item.scalar, str):
                texts.append(item.scalar)
            else:
                self._problems.append(Problem(item.location, item.path, "must be text"))
        return texts

    def read_mapping(self, name: str) -> MappingReader | None:
        """Return a reader of a field that is a mapping, or None if it is missing."""
        node = self._get_field(name)
        if node is None:
            return None
        return MappingReader(node, self._problems)

    def read_named_mappings(self, name: str) -> Iterator[tuple[str, MappingReader]]:
        """Yield the name and a reader of each mapping in a field.

        A value that is not a mapping adds a problem and is yielded as an empty mapping.
        """
        node = self._get_field(name)
        if node is None:
            return
        if node.fields is None:
            self.add_problem("must be a mapping", name)
            return
        for inner_name, value in node.fields.items():
            reader = MappingReader(value, self._problems)
            if not NAME_PATTERN.fullmatch(inner_name):
                reader.add_problem("names are lower-case letters, digits and hyphens")
            yield inner_name, reader

    def report_unknown_fields(self) -> None:
        """Add a problem for each field of the mapping that no method has read."""
        for name in self._fields():
            if name not in self._known_names:
                known = ", ".join(sorted(self._known_names))
                self.add_problem(f"unknown field; known are {known}", name)

    def _fields(self) -> dict[str, DocumentNode]:
        return self._node.fields or {}

    def _get_field(self, name: str, required: bool = False) -> DocumentNode | None:
        self._known_names.add(name)
        node = self._fields().get(name)
        if node is None and required:
            self.add_problem("is missing", name)
        return node
