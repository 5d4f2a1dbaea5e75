"""Odd rows of the list of servers, as another writer may leave them."""

import json

MISTYPED = [None, True, [], {}, "x", -1, 1.5, "12", [["x"]]]
OUT_OF_RANGE = {
    "address": ["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1",
                "127.0.0.1:99999999999999999999", "", ":", "x" * 300 + ":80"],
    "slots": [-1, 2**32, 2**64, 10**400, 1e300],
    "sequence": [-1, 2**64, 10**400, 0.5],
    "born": [-1, 2**64, 10**30, 0.5],
    "coldMs": [-1, 2**64, 1e300],
    "state": ["", "odd", "READY"],
    "service": ["", "none-such"],
}
NESTING_LEVELS = [50, 2000, 40000]


def odd_row(random, row):
    """Returns the bytes of a row that names no server to use."""
    kind = random.choice(["missing", "mistyped", "range", "nested", "bytes"])
    name = random.choice(sorted(row))
    if kind == "missing":
        return json.dumps({k: v for k, v in row.items() if k != name}).encode()
    if kind == "mistyped":
        others = [v for v in MISTYPED if type(v) is not type(row[name])]
        return json.dumps(dict(row, **{name: random.choice(others)})).encode()
    if kind == "range":
        name = random.choice(sorted(OUT_OF_RANGE))
        odd = random.choice(OUT_OF_RANGE[name])
        return json.dumps(dict(row, **{name: odd})).encode()
    if kind == "nested":
        levels = random.choice(NESTING_LEVELS)
        opening, closing = random.choice([("[", "]"), ('{"a":', "}")])
        text = opening * levels + "0" + closing * levels
        return json.dumps(dict(row, **{name: "NESTED"})).replace(
            '"NESTED"', text).encode()
    data = json.dumps(row).encode()
    return random.choice([data[:random.randrange(len(data))], b"null", b"[]", b"7",
                          random.randbytes(40), data + data, b"\xff" + data])
