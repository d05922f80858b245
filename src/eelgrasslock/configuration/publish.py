"""Publishes a configuration and finds out whether it counts."""

import attrs
from attrs import frozen

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.controller import ConfigurationController, Tail
from eelgrasslock.configuration.folder import load_configuration
from eelgrasslock.configuration.version_fold import Outcome
from eelgrasslock.configuration.version_keeper import Writer
from eelgrasslock.exceptions import (
    AppendUnresolved,
    EelgrassError,
    Finding,
    LogUnavailable,
    SettingsError,
)
from eelgrasslock.log.records import CONFIG_STREAM, ConfigVersion

_TIMEOUT_SECONDS = 10.0


class VersionConflict(EelgrassError):
    """Another operator's version is in force instead.

    Parameters
    ----------
    version : int
        Its number.
    author : str
        Who published it.
    """

    def __init__(self, version: int, author: str) -> None:
        if version:
            message = f"Version {version} by {author} is in force instead."
        else:
            message = "No version is in force yet, so none can be replaced."
        super().__init__(message)
        self.version = version
        self.author = author


class PublishUnresolved(EelgrassError):
    """It can't be told whether the version counts; repeating it is safe."""


@frozen(kw_only=True)
class Publication:
    """A configuration that an operator wants in force.

    Attributes
    ----------
    id : str
        The record id; the same on each try, which makes trying again safe.
    author : str
        The operator.
    files : dict of str to str
        The whole folder: names and texts.
    replaces : str
        The record id of the version that the operator started from, empty if
        there was none.
    """

    id: str
    author: str
    files: dict[str, str]
    replaces: str


class Publisher:
    """Appends versions and reads back whether they count.

    Parameters
    ----------
    configuration : ConfigurationController
        Reads the stream.
    writer : LogWriter
        Appends to it.
    tail : LogTail
        Tells how far it has been read.
    clock : Clock
        The source of time.
    """

    def __init__(
        self,
        configuration: ConfigurationController,
        writer: Writer,
        tail: Tail,
        clock: Clock,
    ) -> None:
        self.configuration = configuration
        self.writer = writer
        self.tail = tail
        self.clock = clock

    async def publish(
        self, publication: Publication, timeout: float = _TIMEOUT_SECONDS
    ) -> ConfigVersion:
        """Put a configuration in force and return its version.

        Raises
        ------
        SettingsError
            If it has findings.
        VersionConflict
            If the version that it replaces is not in force any more.
        LogUnavailable
            If nothing was published.
        PublishUnresolved
            If that can't be told; the same publication may be tried again.
        """
        load_configuration(publication.files)
        await self.configuration.catch_up(timeout)
        if self.configuration.verdict(publication.id) is not None:
            return self._resolve(publication)
        self._check_replaced(publication)
        record = self._make_record(publication)
        await self._append(record, timeout)
        return self._resolve(publication)

    def _check_replaced(self, publication: Publication) -> None:
        current = self.configuration.record
        if publication.replaces == (current.id if current else ""):
            return
        if current is None:
            raise VersionConflict(0, "")
        raise VersionConflict(current.version, current.author)

    def _make_record(self, publication: Publication) -> ConfigVersion:
        record = ConfigVersion(
            id=publication.id,
            author=publication.author,
            time=self.clock.now(),
            version=self.configuration.version + 1,
            replaces=publication.replaces,
            files=publication.files,
        )
        current = self.configuration.record
        if current is not None:
            return _only_changes(record, current)
        if self.configuration.fold.complete:
            return record
        return self._make_base(record)

    def _make_base(self, record: ConfigVersion) -> ConfigVersion:
        # Retention has dropped what the stream once held and no peer knows
        # better, so this version says for itself what is in force.
        return attrs.evolve(
            record,
            version=self.configuration.fold.highest_seen + 1,
            replaces=record.id,
            republished=True,
            in_force_at=self.tail.position(CONFIG_STREAM),
        )

    async def _append(self, record: ConfigVersion, timeout: float) -> None:
        try:
            offset = await self.writer.append(CONFIG_STREAM, record, timeout)
        except AppendUnresolved as error:
            raise PublishUnresolved("The log's answer was lost.") from error
        try:
            await self.tail.wait_for_offset(CONFIG_STREAM, offset, timeout)
        except LogUnavailable as error:
            raise PublishUnresolved("The version was not read back.") from error

    def _resolve(self, publication: Publication) -> ConfigVersion:
        current = self.configuration.record
        if current is not None and current.id == publication.id:
            return current
        verdict = self.configuration.verdict(publication.id)
        if verdict is None:
            raise PublishUnresolved("The stream does not tell what counts yet.")
        if verdict.outcome is Outcome.REJECTED:
            finding = Finding("The readers of the stream reject these files.")
            raise SettingsError("The settings have findings.", [finding])
        if verdict.outcome is Outcome.VOID:
            raise VersionConflict(verdict.version, verdict.author)
        return self._accepted(publication, verdict.version)

    def _accepted(self, publication: Publication, version: int) -> ConfigVersion:
        return ConfigVersion(
            id=publication.id,
            author=publication.author,
            time=self.clock.now(),
            version=version,
            replaces=publication.replaces,
            files=publication.files,
        )


def _only_changes(record: ConfigVersion, current: ConfigVersion) -> ConfigVersion:
    changed = {
        name: text
        for name, text in record.files.items()
        if current.files.get(name) != text
    }
    removed = [name for name in current.files if name not in record.files]
    return attrs.evolve(record, files=changed, partial=True, removed=removed)
