"""Ownership of programs by rendezvous hashing over the member table."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.programs.program_ids import parse_program_id


def owner_of(program: str, table: MemberTable) -> MemberJoined | None:
    """Return the member that owns a program.

    The creator owns it as long as that incarnation is live. After that, the
    rendezvous hash selects one of the live members of the home domain, or of
    all live members if the domain has none. A creator that is missing in the
    table counts as retired: its record has expired, or was not read yet. In the
    latter case the selected member reads the log on when it gets a call.

    Parameters
    ----------
    program : str
        The program's id.
    table : MemberTable
        The member table.

    Returns
    -------
    owner : MemberJoined or None
        None if `program` is not a program id or the table is empty.
    """
    try:
        parts = parse_program_id(program)
    except ValueError:
        return None
    creator = table.find(parts.incarnation)
    if creator is not None:
        return creator
    members = table.live(parts.domain) or table.live()
    return rendezvous_winner(program, members)


def rendezvous_winner(key: str, members: Iterable[MemberJoined]) -> MemberJoined | None:
    """Return the member with the highest hash for a key, None if there is none."""
    ranking = rendezvous_order(key, members)
    return ranking[0] if ranking else None


def rendezvous_order(key: str, members: Iterable[MemberJoined]) -> list[MemberJoined]:
    """Return the members sorted by their hash for a key, the highest first."""

    def score(member: MemberJoined) -> tuple[int, str]:
        text = f"{key}|{member.incarnation}"
        return xxh64_intdigest(text.encode()), member.incarnation

    return sorted(members, key=score, reverse=True)
