"""Generates the reference of all settings and configuration keys from their models.

``docs/CONFIGURATION.md`` contains this text after a marker, and a test compares the two.
"""

import inspect
import json
import re
from collections.abc import Iterator
from enum import Enum
from types import UnionType
from typing import Annotated, Any, Final, Literal, Union, get_args, get_origin

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from sapphirelead import model_config, settings
from sapphirelead.policy_rules_region import DOMAINS, FLAG, Range

IVAR: Final = re.compile(r"^:ivar (\w+):((?:.*\n?(?!:ivar|\n))*)", re.M)
PLAIN_TYPES: Final[dict[Any, str]] = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "flag",
}
ROOTS: Final[tuple[tuple[str, type[BaseModel]], ...]] = (
    ("Settings of `sapphirelead entry`", settings.EntrySettings),
    ("Settings of `sapphirelead agent`", settings.AgentSettings),
    ("Settings of `sapphirelead runner`", settings.RunnerSettings),
    ("The operators' configuration", model_config.ConfigDocument),
    ("A condition of a rule", model_config.Matcher),
)


def reference_text() -> str:
    """Return the reference as Markdown."""
    parts = [_section(title, model) for title, model in ROOTS]
    return "\n\n".join(parts)


def field_meanings(model: type[BaseModel]) -> dict[str, str]:
    """Return the meaning of each key of a model, from the ``:ivar`` fields of its docstring."""
    text = inspect.cleandoc(model.__doc__ or "")
    fields = {name: " ".join(body.split()) for name, body in IVAR.findall(text)}
    return {name: body.replace("``", "`").rstrip(".") for name, body in fields.items()}


def _section(title: str, model: type[BaseModel]) -> str:
    rows = "\n".join(_rows(model, ""))
    return f"## {title}\n\n| key | type | default | meaning |\n|---|---|---|---|\n{rows}"


def _rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    meanings = field_meanings(model)
    for name, field in model.model_fields.items():
        key = prefix + (field.alias or name)
        nested, suffix = _nested(field.annotation)
        if nested is model_config.Matcher:
            yield f"| `{key}` | {_condition(name)} | any | {meanings[name]} |"
        elif nested is not None:
            yield from _rows(nested, f"{key}{suffix}.")
        else:
            yield f"| `{key}` | {_type(field)} | {_default(field)} | {meanings[name]} |"


def _condition(name: str) -> str:
    domain = DOMAINS[name]
    if isinstance(domain, Range):
        return "condition on a number"
    return "condition on a flag" if domain == FLAG else "condition on a text"


def _nested(annotation: Any) -> tuple[type[BaseModel] | None, str]:
    """Return the model nested under a key, and the suffix of the key's name."""
    origin = get_origin(annotation)
    if origin is Annotated:
        return _nested(get_args(annotation)[0])
    if origin in (Union, UnionType):
        return _nested(get_args(annotation)[0])
    if origin is list:
        return _nested(get_args(annotation)[0])[0], "[]"
    if origin is dict:
        return _nested(get_args(annotation)[1])[0], ".<name>"
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation, ""
    return None, ""


def _type(field: FieldInfo) -> str:
    bounds = [_bound(item) for item in field.metadata]
    return ", ".join([_type_name(field.annotation), *(bound for bound in bounds if bound)])


def _type_name(annotation: Any) -> str:
    origin = get_origin(annotation)
    if origin is Annotated:
        base, *metadata = get_args(annotation)
        inner = [_bound(part) for item in metadata for part in getattr(item, "metadata", [item])]
        return ", ".join([_type_name(base), *(bound for bound in inner if bound)])
    if origin is Literal:
        return " or ".join(f"`{json.dumps(value)}`" for value in get_args(annotation))
    if origin in (Union, UnionType):
        names = [_type_name(item) for item in get_args(annotation) if item is not type(None)]
        return " or ".join(names)
    if origin is list:
        return f"list of {_type_name(get_args(annotation)[0])}"
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return " or ".join(f"`{item.value}`" for item in annotation)
    return PLAIN_TYPES[annotation]


def _bound(item: Any) -> str:
    for attribute, sign in (
        ("ge", "at least"),
        ("gt", "above"),
        ("le", "at most"),
        ("lt", "below"),
    ):
        value = getattr(item, attribute, None)
        if value is not None:
            return f"{sign} {value:g}"
    return ""


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if field.default is None:
        return "none"
    return f"`{json.dumps(field.default)}`"
