"""Writes lycheepin/generated/ from the files in schema/.

Run with `--check` to compare only: exit status 1 when a committed file differs.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
from typing import Any

import black
import json5
from thriftpy2.parser import parse
from thriftpy2.thrift import TType

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "lycheepin" / "generated"
LINE_LENGTH = 100

# Annotation and default value of each scalar thrift type.
_THRIFT_TYPES = {
    TType.BOOL: ("bool", "False"),
    TType.I32: ("int", "0"),
    TType.I64: ("int", "0"),
    TType.STRING: ("str", '""'),
    TType.BINARY: ("bytes", 'b""'),
}
# Names of the thrift type codes; UTF7 shares its code with STRING.
_THRIFT_NAMES = {
    code: name for name, code in vars(TType).items() if isinstance(code, int) and name != "UTF7"
}


def generate_messages(source: pathlib.Path) -> str:
    """Returns the source of the module of message classes for a thrift file."""
    module = parse(str(source), module_name="messages_thrift")
    structs = module.__thrift_meta__["structs"]
    names = sorted(struct.__name__ for struct in structs)
    lines = [
        '"""Messages between daemons. Generated from schema/messages.thrift: do not edit."""',
        "from __future__ import annotations",
        "from dataclasses import dataclass, field",
        "from typing import Any, ClassVar",
        "from thriftpy2.thrift import TType",
        f"__all__ = {names!r}",
        "class Message:",
        '    """Base of all messages; reads and writes itself through a thrift protocol."""',
        "    thrift_spec: ClassVar[Any] = {}",
        "    def read(self, protocol: Any) -> None:",
        '        """Fills the fields from `protocol`."""',
        "        protocol.read_struct(self)",
        "    def write(self, protocol: Any) -> None:",
        '        """Writes the fields to `protocol`."""',
        "        protocol.write_struct(self)",
    ]
    for struct in structs:
        lines += _generate_message_class(struct)
    return "\n".join(lines) + "\n"


def _generate_message_class(struct: Any) -> list[str]:
    """Returns the source lines of one message class."""
    lines = ["@dataclass", f"class {struct.__name__}(Message):"]
    lines.append(f'    """Thrift struct {struct.__name__}."""')
    specs = []
    for number, spec in sorted(struct.thrift_spec.items()):
        annotation, default, spec_source = _generate_message_field(spec)
        lines.append(f"    {spec[1]}: {annotation} = {default}")
        specs.append(f"{number}: {spec_source}")
    lines.append("    thrift_spec: ClassVar[Any] = {" + ", ".join(specs) + "}")
    return lines


def _generate_message_field(spec: tuple[Any, ...]) -> tuple[str, str, str]:
    """Returns the sources of the annotation, default and thrift spec of one message field."""
    type_code, name, *rest = spec
    type_name = f"TType.{_THRIFT_NAMES[type_code]}"
    if type_code == TType.LIST:
        item_code, item_class = rest[0]
        item_spec = f"(TType.{_THRIFT_NAMES[item_code]}, {item_class.__name__})"
        annotation = f"list[{item_class.__name__}]"
        return (
            annotation,
            "field(default_factory=list)",
            f"({type_name}, {name!r}, {item_spec}, False)",
        )
    if type_code == TType.STRUCT:
        struct_name = rest[0].__name__
        return f"{struct_name} | None", "None", f"({type_name}, {name!r}, {struct_name}, False)"
    annotation, default = _THRIFT_TYPES[type_code]
    return annotation, default, f"({type_name}, {name!r}, False)"


def generate_settings(source: pathlib.Path) -> str:
    """Returns the source of the module of settings classes for a settings schema."""
    schema = json5.loads(source.read_text(encoding="utf-8"))
    lines = [
        '"""Settings and configuration. Generated from schema/settings.jsonc: do not edit."""',
        "from __future__ import annotations",
        "from dataclasses import dataclass, field",
        "from lycheepin.fields import FieldRule",
        f"__all__ = {sorted([*schema, 'RULES'])!r}",
    ]
    for name, struct in schema.items():
        lines += _generate_settings_class(name, struct)
    lines.append("RULES: dict[type, tuple[FieldRule, ...]] = {")
    for name, struct in schema.items():
        rules = ", ".join(_generate_field_rule(*item) for item in struct["fields"].items())
        lines.append(f"    {name}: ({rules},),")
    lines.append("}")
    return "\n".join(lines) + "\n"


def _generate_settings_class(name: str, struct: dict[str, Any]) -> list[str]:
    """Returns the source lines of one settings class; fields without a default come first."""
    lines = ["@dataclass(frozen=True)", f"class {name}:", f'    """{struct["doc"]}"""']
    fields = sorted(struct["fields"].items(), key=lambda item: "default" in item[1])
    for field_name, rule in fields:
        annotation = rule["type"].replace("list<", "tuple[").replace(">", ", ...]")
        default = ""
        if "default" in rule:
            value = rule["default"]
            default = f" = {tuple(value) if isinstance(value, list) else value!r}"
        lines.append(f"    {field_name}: {annotation}{default}")
    return lines


def _generate_field_rule(name: str, rule: dict[str, Any]) -> str:
    """Returns the source of the `FieldRule` of one settings field."""
    declared_type = rule["type"]
    is_list = declared_type.startswith("list<")
    item_type = declared_type[5:-1] if is_list else declared_type
    arguments = [
        f"name={name!r}",
        f"type={item_type}",
        f"is_list={is_list}",
        f"doc={rule['doc']!r}",
    ]
    arguments.append(f"required={'default' not in rule}")
    if "min" in rule:
        arguments.append(f"minimum={rule['min']}, maximum={rule['max']}")
    if "pattern" in rule:
        arguments.append(f"pattern={rule['pattern']!r}")
    if "choices" in rule:
        arguments.append(f"choices={tuple(rule['choices'])!r}")
    return f"FieldRule({', '.join(arguments)})"


def main() -> int:
    """Writes the generated files, or compares them with `--check`; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare only, write no files")
    check = parser.parse_args().check
    outputs = {
        "messages.py": generate_messages(ROOT / "schema" / "messages.thrift"),
        "settings.py": generate_settings(ROOT / "schema" / "settings.jsonc"),
    }
    stale = []
    for name, text in outputs.items():
        formatted = black.format_str(text, mode=black.Mode(line_length=LINE_LENGTH))
        path = OUTPUT / name
        if check and (not path.exists() or path.read_text(encoding="utf-8") != formatted):
            stale.append(name)
        if not check:
            path.write_text(formatted, encoding="utf-8")
    if stale:
        print(f"generated files differ from the schema: {', '.join(stale)}; run make generate")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
