"""Which daemon owns a program: a pure function of the member table."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.programs.program_ids import parse_program_id


def owner_of(program: str, table: MemberTable) -> MemberJoined | None:
    """Return the member that owns a program.

    It is the creator while that incarnation lives. Then it is the
    rendezvous-hash winner among the live members of the home domain and, when
    that has none, among all live members. A creator that the table doesn't
    know counts as retired: its record has expired, or it is not read yet, and
    then the winner that is asked reads on.

    Parameters
    ----------
    program : str
        The program's id.
    table : MemberTable
        The members.

    Returns
    -------
    MemberJoined or None
        None if the text is no program id, or no member is known.
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
    """Return the member with the highest hash for a key, None without members."""
    ranking = rendezvous_order(key, members)
    return ranking[0] if ranking else None


def rendezvous_order(key: str, members: Iterable[MemberJoined]) -> list[MemberJoined]:
    """Return members by their hash for a key, the highest first."""

    def score(member: MemberJoined) -> tuple[int, str]:
        text = f"{key}|{member.incarnation}"
        return xxh64_intdigest(text.encode()), member.incarnation

    return sorted(members, key=score, reverse=True)
