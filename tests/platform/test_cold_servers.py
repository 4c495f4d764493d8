"""Read what the platform says of cold servers."""

import orjson

from bramleyturn.core.catalog.model import PublishedConfiguration
from bramleyturn.platform.answers import caller_headers, read_answer_head
from bramleyturn.platform.configuration import decode_configuration
from bramleyturn.platform.settings import ServingSettings, parse_serving_settings
from bramleyturn.standin.site.site import configuration
from tests.platform.test_settings import TEXT

COLD_BOUNDS = "bounds.coldOverage=1.5\nbounds.coldSlack=5\n"


class TestColdFields:
    """Fields of the configuration, the settings and answers."""

    def test_pools_have_their_cold_rate(self) -> None:
        """Without it every server would count as warm."""
        document = configuration(1)
        document["services"][0] |= {"coldStartS": 3.0, "coldPerS": 5.9}
        published = decode_configuration(orjson.dumps(document))
        assert isinstance(published, PublishedConfiguration)
        cold, other = list(published.pools.values())[:2]
        assert (cold.cold_start_ms, cold.cold_per_s) == (3_000, 5.9)
        assert (other.cold_start_ms, other.cold_per_s) == (0, 0.0)

    def test_bounds_are_in_force_only_where_the_settings_have_both(self) -> None:
        """The part must stay off where the platform does not ask for it."""
        for added, found in (
            (COLD_BOUNDS, (1.5, 5.0)),
            ("bounds.coldSlack=5\n", (None, None)),
            ("", (None, None)),
        ):
            settings = parse_serving_settings(TEXT + added, "local.conf")
            assert isinstance(settings, ServingSettings)
            bounds = settings.bounds
            assert (bounds.cold_overage, bounds.cold_slack) == found

    def test_answers_name_how_long_a_server_stays_cold(self) -> None:
        """A malformed header must not make a server cold, and callers get none."""
        name = b"bramleyturn-cold-remaining-ms"
        for value, found in ((b" 1200 ", 1_200), (b"0", 0), (b"-1", None), (b"", None)):
            assert read_answer_head(200, [(name, value)]).cold_ms == found
        assert caller_headers([(name, b"5")]) == []
