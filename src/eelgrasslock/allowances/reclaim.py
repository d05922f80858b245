"""Reclaims tokens that other daemons hold and do not spend."""

from loguru import logger

from eelgrasslock.allowances.callbacks import RequestRelease
from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, PeerUnavailable

_log = logger.bind(part="allowances")


async def reclaim(
    program: str, ledger: DrawLedger, request_release: RequestRelease
) -> bool:
    """Reclaim unspent tokens of other daemons; return whether there were any."""
    log = _log.bind(program=program)
    reclaimed = 0
    for holder in ledger.other_holders(program):
        try:
            tokens = await request_release(holder, program)
            if tokens:
                await ledger.record_release(program, holder, tokens)
        except PeerUnavailable as error:
            log.info("Unspent tokens of peer {} were not released: {}", holder, error)
            continue
        except (LogUnavailable, AppendUnresolved) as error:
            log.info("Released tokens of peer {} are lost: {}", holder, error)
            continue
        reclaimed += tokens
    return reclaimed > 0
