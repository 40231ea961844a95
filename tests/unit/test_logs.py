"""An event is logged as one line, and no value can inject a field."""

import io
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirelead.logs import format_pairs, log_event, quote, setup_logs
from sapphirelead.settings import LogSettings

FIELD = re.compile(r'(?:[^\s="]+|"(?:[^"\\]|\\.)*")=(?:[^\s="]+|"(?:[^"\\]|\\.)*")')


@pytest.mark.parametrize(
    ("value", "written"),
    [
        ("plain", "plain"),
        ("two words", '"two words"'),
        ("x\nevent=forged", '"x\\nevent=forged"'),
        ('say "hi"', '"say \\"hi\\""'),
        ("a=b", '"a=b"'),
        ("\x1b[31m", '"\\u001b[31m"'),
        ("line\u2028end", '"line\\u2028end"'),
        ("rub\x7fout", '"rub\\u007fout"'),
        ("{braces} <red>", '"{braces} <red>"'),
        (None, "null"),
        (False, "false"),
        (1.5, "1.5"),
    ],
)
def test_value_is_quoted_where_needed(value: object, written: str) -> None:
    assert quote(value) == written


@given(st.dictionaries(st.text(min_size=1), st.text(), max_size=4))
def test_fields_stay_one_line_with_same_number_of_fields(fields: dict[str, object]) -> None:
    text = format_pairs(fields)
    assert len(text.splitlines()) <= 1
    assert len(FIELD.findall(text)) == len(fields)
    assert FIELD.sub("", text).strip() == ""


def test_events_below_level_are_not_written() -> None:
    out = io.StringIO()
    setup_logs(LogSettings(level="INFO"), out)
    log_event("DEBUG", "hidden")
    log_event("INFO", "job_done", key="{0} <b>", reason="x\ny")
    lines = out.getvalue().splitlines()
    assert len(lines) == 1
    assert lines[0].startswith("at=")
    assert lines[0].endswith('level=info event=job_done key="{0} <b>" reason="x\\ny"')
