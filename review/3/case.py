"""A replica crashes behind a cut and starts again under its id; then the cut heals.

The entry takes the end of the broken stream, which has no length, for its whole end.
"""

import asyncio
import subprocess
import sys
import threading
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
STANDINS = FOLDER.parent / "standins"
sys.path.insert(0, str(STANDINS))

from fleet import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST_NAME,
    Answer,
    Fleet,
    Record,
    configuration,
    run_case,
)
from link import Link  # noqa: E402

ENGINES = 5
EVENTS = 40
PAUSE_S = 0.1
STREAMS = 15
CUT_AT_S = 1.0
# The cut lasts for less time than clients wait for an event, 4 x 1.3 s.
CUT_S = 4.0
CRASH_AFTER_S = 0.5
DOWN_S = 2.0


class Engine:
    """Hold a replica's process, and the link to it."""

    def __init__(self, fleet: Fleet, server_id: str) -> None:
        self.fleet = fleet
        self.server_id = server_id
        self.host = fleet.next_host()
        self.port = 8749
        self.link = Link((self.host, self.port))
        self.process: subprocess.Popen[str] | None = None
        self.born_ms = 0
        self.reading: threading.Thread | None = None

    async def start(self) -> None:
        """Start the process, and wait until it listens."""
        command = [
            sys.executable,
            str(STANDINS / "engine.py"),
            self.host,
            str(self.port),
        ]
        command += [self.server_id, str(EVENTS), str(PAUSE_S)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        line = await asyncio.to_thread(self.process.stdout.readline)
        self.born_ms = int(line.rpartition(" ")[2])
        self.reading = threading.Thread(target=self._copy_output, daemon=True)
        self.reading.start()

    def _copy_output(self) -> None:
        process = self.process
        if process is not None and process.stdout is not None:
            for line in process.stdout:
                self.fleet.record.write(f"{self.server_id} {line.strip()}")

    def register(self) -> None:
        """Write the replica's entry into the store, with the time of its start."""
        self.fleet.register(
            self.server_id, "huvo11a", self.link.address, slots=64, born=self.born_ms
        )

    def crash(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.reading is not None:
            self.reading.join()


async def case(record: Record, has_trouble: bool) -> int:
    """Send streams to five replicas; cut one off and crash it behind the cut."""
    fleet = Fleet(record)
    engines = [Engine(fleet, f"i-5c1e07a{number}") for number in range(ENGINES)]
    try:
        for engine in engines:
            await engine.link.listen(fleet.next_host())
            await engine.start()
            engine.register()
        route = {
            "name": "drafts",
            "host": HOST_NAME,
            "prefix": "/puxa400/",
            "kind": "streaming",
            "timeoutMs": 12000,
            "targetLatencyMs": 1300,
            "priority": 1,
            "service": "huvo11a",
            "maxAttempts": 2,
            "stages": [],
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapAimMs": 250,
        }
        service = {
            "name": "huvo11a",
            "healthPath": "/health",
            "maxConnections": 720,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 581741,
                "models": [{"name": "m"}],
            },
        }
        fleet.store.put("op/config", configuration([route], [service]))
        await fleet.start_entries()
        await asyncio.sleep(1.0)

        async def draft(place: int) -> Answer:
            attempt_id = f"5b2907c14da6{place:04x}"
            headers = {
                "Bramleyturn-Model": "m",
                "Bramleyturn-Token-Counts": f"1460,{3 * EVENTS}",
                "Bramleyturn-Prompt-Prefix": f"b{place:03x}:350,a{place:03x}:1110",
            }
            entry = fleet.entries[place % len(fleet.entries)]
            answer = await fleet.call(
                entry,
                "POST",
                f"/puxa400/{place}",
                attempt_id,
                12000,
                headers,
                b"x" * 1500,
            )
            record.write(
                f"client of {attempt_id} gets {answer.status},"
                f" {answer.body.count(b'id: ')} of {EVENTS} events,"
                f" {'whole' if answer.is_whole else 'broken off'},"
                f" after {answer.took_ms} ms"
            )
            return answer

        record.write(f"{STREAMS} clients ask for drafts")
        tasks = [asyncio.create_task(draft(place)) for place in range(STREAMS)]
        await asyncio.sleep(CUT_AT_S)
        if has_trouble:
            victim = engines[0]
            record.write(f"{victim.server_id} is cut off")
            victim.link.cut()
            await asyncio.sleep(CRASH_AFTER_S)
            record.write(f"{victim.server_id} crashes")
            victim.crash()
            await asyncio.sleep(DOWN_S)
            await victim.start()
            record.write(f"{victim.server_id} has started again")
            await asyncio.sleep(CUT_S - CRASH_AFTER_S - DOWN_S)
            victim.register()
            record.write("the cut heals")
            victim.link.heal()
        answers = await asyncio.gather(*tasks)
        short = [
            answer
            for answer in answers
            if answer.status == 200
            and answer.is_whole
            and answer.body.count(b"id: ") < EVENTS
        ]
        whole = sum(
            answer.is_whole and answer.body.count(b"id: ") == EVENTS
            for answer in answers
        )
        record.write(
            f"{whole} of {STREAMS} streams were whole; {len(short)} ended as complete"
            " before their last piece"
        )
        if not has_trouble and whole != STREAMS:
            return COULD_NOT_RUN
        return BROKEN if short else HELD
    finally:
        fleet.stop()
        for engine in engines:
            engine.crash()
            engine.link.close()


run_case(FOLDER, case)
