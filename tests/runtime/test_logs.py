"""Test which parts of an exception are logged."""

from bramleyturn.runtime.logs import error_fields


class TestErrorFields:
    def test_leave_the_message_out(self) -> None:
        try:
            raise ValueError("what a caller sent")
        except ValueError as error:
            fields = error_fields(error)
        assert fields["error"] == "ValueError"
        assert fields["place"].startswith("test_logs.py:")
        assert "caller" not in str(fields)

    def test_of_an_error_that_was_never_raised(self) -> None:
        assert error_fields(KeyError("x")) == {"error": "KeyError", "place": ""}
