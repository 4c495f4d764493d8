"""Test the settings files of the stand-ins and the fault proxy."""

import pytest

from bramleyturn.standin.fault_proxy_http import ProxySettings, parse_proxy_settings
from bramleyturn.standin.settings import (
    Listen,
    SettingsFaults,
    StandinSettings,
    describe,
    parse_settings,
)

SERVER = "[server a]\nkind = engine\nmodel = m\nlisten = 127.0.0.1:0\n"


class TestParseSettings:
    def test_reads_servers_and_platform(self) -> None:
        text = SERVER + "checks_fencing = yes ; by choice\n"
        text += "[platform]\nlisten = 127.0.0.1:7000\nreads_per_s = 5\n"
        parsed = parse_settings(text)
        assert isinstance(parsed, StandinSettings)
        assert parsed.servers[0].checks_fencing
        assert parsed.platform is not None
        assert parsed.platform.listen == Listen("127.0.0.1", 7000)
        assert parsed.platform.reads_per_s == 5

    @pytest.mark.parametrize(
        ("text", "section", "key"),
        [
            ("", "", ""),
            ("[server", "", ""),
            ("[sever a]\n", "sever a", ""),
            ("[server a]\nkind = engine\nmodel = m\n", "server a", "listen"),
            (SERVER + "colour = red\n", "server a", "colour"),
            (SERVER.replace("engine", "motor"), "server a", "kind"),
            (SERVER.replace(":0", ":99999"), "server a", "listen"),
            (SERVER + "concurrency = 0\n", "server a", "concurrency"),
            (SERVER + "checks_fencing = maybe\n", "server a", "checks_fencing"),
            ("[platform]\nlisten = 7000\n", "platform", "listen"),
        ],
    )
    def test_reports_the_place_of_a_fault(
        self, text: str, section: str, key: str
    ) -> None:
        parsed = parse_settings(text)
        assert isinstance(parsed, SettingsFaults)
        assert [fault[:2] for fault in parsed.faults] == [(section, key)]

    def test_reports_all_faults_at_once(self) -> None:
        parsed = parse_settings("[server a]\nkind = x\nqueue = -1\n")
        assert isinstance(parsed, SettingsFaults)
        assert len(parsed.faults) == 4
        assert "f.ini: [server a] model: is missing" in describe(parsed, "f.ini")


class TestParseProxySettings:
    def test_reads_links(self) -> None:
        text = "[link a]\nlisten = 127.0.0.1:0\ntarget = 127.0.0.2:9\n"
        parsed = parse_proxy_settings(text)
        assert isinstance(parsed, ProxySettings)
        assert parsed.links[0].target == Listen("127.0.0.2", 9)

    def test_reports_all_faults_at_once(self) -> None:
        parsed = parse_proxy_settings("[link a]\nlisten = x\nhue = 1\n[lnk b]\n")
        assert isinstance(parsed, SettingsFaults)
        places = {fault[:2] for fault in parsed.faults}
        assert places == {
            ("link a", "listen"),
            ("link a", "target"),
            ("link a", "hue"),
            ("lnk b", ""),
        }
