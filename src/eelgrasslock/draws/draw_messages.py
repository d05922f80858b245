"""Draws without the log as daemons tell them to each other."""

from typing import Any

from eelgrasslock.allowances.kept_draws import KeptProgram, OfflineDraw


def encode_kept(program: str, kept: KeptProgram) -> dict[str, Any]:
    """Return what is known of a program as a message."""
    return {
        "program": program,
        "isClosed": kept.is_closed,
        "draws": [
            {
                "holder": one.holder,
                "sequence": one.sequence,
                "tokens": one.tokens,
                "recorded": one.recorded,
            }
            for one in kept.draws.values()
        ],
    }


def decode_kept(message: Any) -> KeptProgram:
    """Return what a message tells of a program."""
    known = KeptProgram(is_closed=message.isClosed)
    for one in message.draws:
        draw = OfflineDraw(
            holder=one.holder,
            sequence=one.sequence,
            tokens=one.tokens,
            recorded=one.recorded,
        )
        known.put(draw)
    return known
