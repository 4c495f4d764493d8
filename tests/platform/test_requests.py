"""Parse callers' headers and build those for backend servers."""

from hypothesis import given
from hypothesis import strategies as st

from bramleyturn.core.catalog.prompt import PromptPart
from bramleyturn.platform.requests import (
    MAX_NAME_BYTES,
    BadHeader,
    CallerHead,
    ServerHead,
    read_caller_head,
    server_headers,
)

ID = (b"bramleyturn-attempt-id", b"9c41")
HEAD = ServerHead("i-1", 900, "north", (), None, None)


def read(*headers: tuple[bytes, bytes]) -> CallerHead:
    """Parse the headers, which must be valid."""
    head = read_caller_head([ID, *headers])
    assert isinstance(head, CallerHead)
    return head


class TestCallerHead:
    """Headers of a caller's request."""

    def test_headers_of_a_streaming_request(self) -> None:
        head = read(
            (b"bramleyturn-token-counts", b"1460,80"),
            (b"bramleyturn-prompt-prefix", b"5C1e:800,91bd:410"),
            (b"bramleyturn-pieces", b"1,8,16"),
            (b"bramleyturn-piece-key", b"7c1e"),
            (b"bramleyturn-deadline-ms", b"15007"),
            (b"last-event-id", b"12"),
            (b"authorization", b"Bearer KEY"),
        )
        assert head.prompt == (PromptPart("5c1e", 800), PromptPart("91bd", 410))
        assert (head.prompt_tokens, head.output_tokens) == (1460, 80)
        assert head.piece_counts == (1, 8, 16)
        assert (head.wait_ms, head.last_event_id, head.key) == (15007, 12, "KEY")

    def test_missing_attempt_id_is_refused(self) -> None:
        assert read_caller_head([]) == BadHeader("Bramleyturn-Attempt-Id")

    def test_long_names_which_tables_would_keep_are_refused(self) -> None:
        long = b"a" * (MAX_NAME_BYTES + 1)
        bad = read_caller_head([(ID[0], long)])
        assert bad == BadHeader("Bramleyturn-Attempt-Id")
        bad = read_caller_head([ID, (b"bramleyturn-piece-key", long)])
        assert bad == BadHeader("Bramleyturn-Piece-Key")

    def test_negative_deadline_is_refused(self) -> None:
        bad = read_caller_head([ID, (b"bramleyturn-deadline-ms", b"-5")])
        assert bad == BadHeader("Bramleyturn-Deadline-Ms")

    def test_pieces_out_of_range_are_refused(self) -> None:
        bad = read_caller_head([ID, (b"bramleyturn-pieces", b"1,999999")])
        assert bad == BadHeader("Bramleyturn-Pieces")

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        b"bramleyturn-attempt-id",
                        b"bramleyturn-deadline-ms",
                        b"bramleyturn-pieces",
                        b"bramleyturn-token-counts",
                        b"bramleyturn-prompt-prefix",
                        b"last-event-id",
                        b"authorization",
                    ]
                ),
                st.binary(max_size=40),
            )
        )
    )
    def test_any_bytes_are_parsed_or_refused(
        self, headers: list[tuple[bytes, bytes]]
    ) -> None:
        head = read_caller_head(headers)
        assert isinstance(head, CallerHead | BadHeader)


class TestServerHeaders:
    """Headers sent to a backend server."""

    def test_reserved_headers_of_the_caller_are_replaced(self) -> None:
        caller = [
            ID,
            (b"bramleyturn-tenant", b"other"),
            (b"bramleyturn-hold", b"h"),
            (b"kv-from", b"10.0.0.1:1/x"),
            (b"authorization", b"Bearer KEY"),
            (b"bramleyturn-deadline-ms", b"5000"),
            (b"x-own", b"1"),
        ]
        sent = server_headers(caller, HEAD, 0)
        names = [name.lower() for name, _ in sent]
        assert names.count(b"bramleyturn-tenant") == 1
        assert (b"Bramleyturn-Tenant", b"north") in sent
        assert (b"Bramleyturn-Deadline-Ms", b"900") in sent
        assert (b"x-own", b"1") in sent
        assert not {b"authorization", b"bramleyturn-hold", b"kv-from"} & set(names)

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        caller = [ID, (b"connection", b"x-hop, close"), (b"x-hop", b"1"), (b"te", b"t")]
        names = [name for name, _ in server_headers(caller, HEAD, 0)]
        assert not {b"connection", b"x-hop", b"te"} & set(names)

    def test_resumed_stream_sends_one_last_event_id(self) -> None:
        caller = [ID, (b"last-event-id", b"3")]
        resumed = HEAD._replace(resume_after=9)
        sent = server_headers(caller, resumed, 0)
        values = [value for name, value in sent if name.lower() == b"last-event-id"]
        assert values == [b"9"]

    def test_empty_body_keeps_its_content_length(self) -> None:
        sent = server_headers([ID, (b"content-length", b"0")], HEAD, 0)
        assert (b"Content-Length", b"0") in sent
