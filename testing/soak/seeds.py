"""Command line of the runs that play one seed after the other."""

import argparse
import asyncio


def play_seeds(description, run_seed, add_options=None):
    """Runs run_seed(options, seed) for each seed asked for. Returns the exit code."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1")
    if add_options:
        add_options(parser)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    results = [asyncio.run(run_seed(options, seed))
               for seed in range(int(first), int(last or first) + 1)]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1
