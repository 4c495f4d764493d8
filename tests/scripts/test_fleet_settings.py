"""Check the settings that the fleet script writes."""

from pathlib import Path

from bramleyturn.core.process_settings import RefusedSettings, parse_process_settings
from scripts.fleet import LAKESHORE
from scripts.fleet_settings import (
    ini_text,
    published_servers_text,
    read_folder,
    servers_in_zones,
    standin_text,
)


class TestServersInZones:
    def test_takes_the_servers_of_the_zones_only(self) -> None:
        servers = servers_in_zones(read_folder(LAKESHORE), ["duluth"])
        assert {server.zone for server in servers} == {"duluth"}
        assert {server.pool for server in servers} == {
            "encoders",
            "retrievers",
            "rerankers",
            "drafting",
            "roster",
            "printing",
        }

    def test_knows_what_a_server_runs(self) -> None:
        servers = servers_in_zones(read_folder(LAKESHORE), ["toledo"])
        engine = next(server for server in servers if server.pool == "drafting")
        assert (engine.kind, engine.model) == ("engine", "draft-7b")


class TestTexts:
    def test_later_file_overrides_a_key(self) -> None:
        files = {
            **read_folder(LAKESHORE),
            "60-more.ini": "[pool drafting]\nmodel = draft-9b\n",
        }
        servers = servers_in_zones(files, ["toledo"])
        assert "draft-9b" in {server.model for server in servers}

    def test_standin_text_names_every_server(self) -> None:
        servers = servers_in_zones(read_folder(LAKESHORE), ["rochester"])
        text = standin_text(servers, Path("ledgers"), {"service_ms": "3"})
        assert all(f"[server {server.name}]" in text for server in servers)
        assert text.count("service_ms = 3") == len(servers)

    def test_published_text_has_the_addresses(self) -> None:
        servers = servers_in_zones(read_folder(LAKESHORE), ["rochester"])
        addresses = {server.name: "127.0.0.1:9" for server in servers}
        text = published_servers_text(servers, addresses)
        assert text.count("address = 127.0.0.1:9") == len(servers)

    def test_process_text_is_accepted(self) -> None:
        values = {"name": "watch-duluth-1", "zone": "duluth", "listen": "127.0.0.1:0"}
        text = ini_text({"process": {**values, "platform": "127.0.0.1:7000"}})
        settings = parse_process_settings(text, "watch.ini")
        assert not isinstance(settings, RefusedSettings), settings
