"""Parse the settings file of a process."""

from bramleyturn.platform.settings import (
    RefusedServingSettings,
    ServingSettings,
    parse_serving_settings,
)

TEXT = """
nodeName=front-1
zone=north
listen.front=10.0.0.1:8625
listen.ready=10.0.0.1:8621
listen.control=10.0.0.1:8628
internalPortRange=7740,7755
seeds=10.0.0.1:8628,10.0.0.2:8628
heartbeatMs=1200
limits.cpuShare=0.731
limits.cores=1
limits.memoryMb=222
limits.fileDescriptors=1535
platform.address=10.9.0.1:8624
bounds.drainMs=2000
bounds.configApplyMs=2000
bounds.graceS=8
bounds.retryBudgetRatio=0.2
bounds.retryBudgetSlack=108
bounds.budgetWindowS=10
bounds.passMs=120
new.field=anything
"""


class TestSettings:
    """The settings file of KEY=VALUE lines."""

    def test_all_fields(self) -> None:
        settings = parse_serving_settings(TEXT, "local.conf")
        assert isinstance(settings, ServingSettings)
        assert settings.front.port == 8625
        assert settings.internal_port == 7740
        assert len(settings.seeds) == 2
        assert settings.bounds.grace_ms == 8_000

    def test_all_faults_are_reported_together(self) -> None:
        text = TEXT.replace("10.0.0.1:8625", "host:x").replace("0.2\n", "often\n")
        refused = parse_serving_settings(text + "no separator\n", "local.conf")
        assert isinstance(refused, RefusedServingSettings)
        keys = {fault.key for fault in refused.faults}
        assert keys == {"listen.front", "bounds.retryBudgetRatio", ""}
        assert all(fault.line for fault in refused.faults)

    def test_missing_field_is_reported(self) -> None:
        refused = parse_serving_settings(TEXT.replace("zone=north\n", ""), "f")
        assert isinstance(refused, RefusedServingSettings)
        assert [fault.key for fault in refused.faults] == ["zone"]
