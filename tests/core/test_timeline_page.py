"""Tests of rendering a merged timeline."""

from bramleyturn.core.timeline_merge import MergedEvent
from bramleyturn.core.timeline_page import timeline_page, timeline_text


def merged(process: str, request_id: str, detail: str = "") -> MergedEvent:
    return MergedEvent(
        process, "entry", 0, 5, 1_500, "draining", request_id, "", "a1", detail, ""
    )


class TestText:
    def test_one_line_for_each_event(self) -> None:
        text = timeline_text([merged("one", "r", "two\nlines"), merged("second", "")])
        assert text == (
            "1970-01-01T00:00:01.500Z  one     draining request=r attempt=a1 "
            "(two\\nlines)\n"
            "1970-01-01T00:00:01.500Z  second  draining attempt=a1\n"
        )


class TestPage:
    def test_has_a_column_for_each_process(self) -> None:
        page = timeline_page([merged("one", "r"), merged("two", "")], "r")
        assert page.count('scope="col"') == 3
        assert page.count('data-requests="r"') == 2
        assert 'value="r"' in page

    def test_escapes_values_of_events(self) -> None:
        page = timeline_page([merged("one", "<b>", "<script>x</script>")], '"><i>')
        assert "<script>x" not in page
        assert '"><i>' not in page
