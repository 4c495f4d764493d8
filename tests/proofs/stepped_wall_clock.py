"""Run a program whose wall clock jumps by up to a day at every reading."""

import sys
import time
from importlib import import_module
from random import Random

DAY_S = 86_400
SEED = 4

if __name__ == "__main__":
    random, wall_s = Random(SEED), time.time

    def stepped_s() -> float:
        return wall_s() + random.uniform(-DAY_S, DAY_S)

    time.time = stepped_s
    time.time_ns = lambda: int(stepped_s() * 1e9)
    module = sys.argv.pop(1)
    import_module(module).main()
