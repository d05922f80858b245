"""What daemons tell each other and write to the log can be read by other builds.

A change that fails here would be misread by a build that runs beside this one: a
renumbered field, a renamed key, another ranking. Additions are made here, too.
"""

import random

import pytest

from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.draws import Draw, decode_draw, encode_draw
from eelgrasslock.clock import ManualClock
from eelgrasslock.conversations.turn import turn_key
from eelgrasslock.conversations.turn_log import TurnLog
from eelgrasslock.failures.crash_records import decode_crash_record
from eelgrasslock.log.keyed_log import KeyedRecord
from eelgrasslock.peers.daemon_ranking import DaemonRanking
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.peer_schema import schema
from eelgrasslock.streams.stream_table import stream_key

# Fields in the order of their numbers.
STRUCTS = {
    "Field": "name value",
    "Request": "id method path query headers body forwardedBy trace",
    "Beat": "configVersion membersOffset retired waiting names counts marked digests"
    " breakers",
    "StreamOrigin": "key service version seconds",
    "TurnPlace": "key offset size holder seconds",
    "FetchedTurn": "records offset size storedAt",
    "UnrecordedDraw": "program budget tokens",
    "OfflineDraw": "holder sequence tokens recorded",
    "KeptProgram": "program isClosed draws",
}
# Calls in the order of their numbers, with the fields of question and answer.
CALLS = {
    "Gate": [
        ("hello", "nonce incarnation", "nonce incarnation proofs"),
        ("login", "proof", "peer"),
    ],
    "Sink": [
        ("start", "status headers", ""),
        ("write", "chunk", ""),
        ("finish", "", ""),
    ],
    "Peer": [
        ("ping", "", ""),
        ("heartbeat", "beat", "beat"),
        ("forward", "request sink", ""),
        ("disown", "id", "started"),
        ("hold", "stream records", ""),
        ("held", "stream", "records"),
        ("config", "", "data"),
        ("members", "", "data"),
        ("reach", "incarnation", "reached"),
        ("appendAt", "topic partition records expectedEnd", "outcome end"),
        (
            "readFrom",
            "topic partition offset maxKilobytes",
            "outcome records offset end",
        ),
        ("release", "program", "tokens"),
        ("offline", "program", "spent drawn fullHistory"),
        (
            "grantRequests",
            "endpoint asker count urgency limited perSecond age",
            "isOwner count waitSeconds askers limited perSecond age",
        ),
        ("tellStreams", "streams", ""),
        ("findStream", "key service", "service version onlyVersion"),
        ("tellTurns", "turns", ""),
        (
            "findTurn",
            "key readsLog",
            "isKnown isAbsent offset size holder seconds",
        ),
        ("fetchTurns", "ids", "turns"),
        ("adoptDraws", "draws", ""),
        (
            "keepDraw",
            "program holder sequence tokens recorded closes",
            "counts known keepers",
        ),
        ("giveDraws", "programs", ""),
        ("fetchDraws", "joiner domain", "counts programs"),
        ("tellSilent", "owner endpoint digests", ""),
        ("leaseRequests", "workspace needed extra", "isOwner count waitSeconds"),
    ],
}
OUTCOMES = ["done", "moved", "unavailable", "unresolved"]

# Messages as the first build that has them wrote them.
MESSAGES = {
    "StreamOrigin": {
        "key": 2**63 + 5,
        "service": "lm",
        "version": "v1",
        "seconds": 2.5,
    },
    "TurnPlace": {
        "key": 2**63 + 5,
        "offset": 70_000,
        "size": 19_000,
        "holder": "a-1-0f",
        "seconds": 0.25,
    },
    "FetchedTurn": {
        "records": [b"ab", b"c"],
        "offset": 70_000,
        "size": 19_000,
        "storedAt": 1_700_000_000.5,
    },
    "Field": {"name": "n", "value": "v"},
}
RECORDED = {
    "StreamOrigin": "10075002028105800c204011051a11051a036c6d037631",
    "TurnPlace": "10075004018105800770110103384ac0d03f11013a3f612d312d3066",
    "FetchedTurn": "10095003010770110103384afc2040fc54d94111011611051211050a0361620163",
    "Field": "10054002110512110512016e0176",
    "draw": "5b312c2270222c22313730303030303030303530302d3722"
    "2c22612d312d3066222c3232302c3636302c22692d31225d",
    "ranked i-1": [4, 7, 6, 8, 1, 5, 0, 3, 2],
    "ranked 12345": [3, 8, 6, 4, 0, 2, 7, 5, 1],
    "ranked turns-3/2": [0, 2, 1, 8, 3, 6, 7, 5, 4],
    "partition of p-1": ["allowances-60", 2],
    "partition of r-1": "turns-6/9",
    "key of r-1": 9755394075265725009,
}

ENTRY = b'{"name":"a-1","incarnation":"a-1-0f","domain":"a","address":"10.1.0.3:7380"}'
DRAW = Draw(
    program="p",
    id="1700000000500-7",
    holder="a-1-0f",
    tokens=220,
    total=660,
    preferred_endpoint="i-1",
)
NAMES = [f"edge-{domain}-{number}" for domain in "abc" for number in range(1, 4)]


def field_names(struct):
    fields = struct.node.struct.fields
    return [one.name for one in sorted(fields, key=lambda one: one.ordinal.explicit)]


def method_fields(struct):
    """Return the names of parameters or results, in the order of their numbers."""
    return [one.name for one in struct.node.struct.fields]


class TestCalls:
    @pytest.mark.parametrize("name", STRUCTS)
    def test_fields_keep_their_numbers(self, name):
        assert field_names(getattr(schema, name).schema) == STRUCTS[name].split()

    @pytest.mark.parametrize("name", CALLS)
    def test_calls_keep_their_numbers_and_fields(self, name):
        interface = getattr(schema, name).schema
        methods = list(interface.node.interface.methods)
        assert [one.name for one in methods] == [one[0] for one in CALLS[name]]
        for call, question, answer in CALLS[name]:
            method = interface.methods[call]
            assert method_fields(method.param_type) == question.split()
            assert method_fields(method.result_type) == answer.split()

    def test_outcomes_keep_their_numbers(self):
        assert list(schema.Outcome.schema.enumerants) == OUTCOMES

    @pytest.mark.parametrize("name", MESSAGES)
    def test_recorded_messages_are_read(self, name):
        kind = getattr(schema, name)
        written = kind.new_message(**MESSAGES[name]).to_bytes_packed()
        assert written.hex() == RECORDED[name]
        read = kind.from_bytes_packed(bytes.fromhex(RECORDED[name])).to_dict()
        assert read == MESSAGES[name]


class TestRecords:
    def test_the_entry_of_a_daemon(self):
        """A build up to 2f72a64 ignores an entry with any further key."""
        registry = DaemonRegistry(
            DaemonEntry(name="x", incarnation="x-1", domain="a", address="1:1"),
            random.Random(1),
        )
        registry.apply((KeyedRecord(key="a-1", value=ENTRY),))
        assert registry.entries["a-1"].encode() == ENTRY

    def test_a_crash(self):
        key, value = "00ab/b-2-1f", b'{"crashes": 2, "at": 1796433600.25}'
        record = decode_crash_record(KeyedRecord(key=key, value=value))
        assert (record.digest, record.author) == ("00ab", "b-2-1f")
        assert (record.crashes, record.at) == (2, 1796433600.25)
        assert (record.key, record.encode()) == (key, value)

    def test_keys_of_a_crash_that_a_newer_build_adds_are_ignored(self):
        value = b'{"crashes": 2, "at": 1.5, "of_a_newer_build": []}'
        assert decode_crash_record(KeyedRecord(key="d/a", value=value)).crashes == 2

    def test_a_draw(self):
        assert encode_draw(DRAW).hex() == RECORDED["draw"]
        assert decode_draw(bytes.fromhex(RECORDED["draw"])) == DRAW


class TestPlaces:
    """Builds that rank daemons in another way would each name an owner of their own."""

    def ranked(self, key):
        entries = [
            DaemonEntry(name=name, incarnation=name, domain=name[5], address="1:1")
            for name in NAMES
        ]
        registry = DaemonRegistry(entries[0], random.Random(1))
        registry.entries = {one.name: one for one in entries[1:]}
        ranking = DaemonRanking.__new__(DaemonRanking)
        ranking.registry = registry
        return [NAMES.index(one.name) for one in ranking.ranked(key)]

    @pytest.mark.parametrize("key", ["i-1", "12345", "turns-3/2"])
    def test_daemons_are_ranked_alike(self, key):
        assert self.ranked(key) == RECORDED[f"ranked {key}"]

    def test_keys_and_partitions_stay(self):
        ledger = DrawLedger(None, 12, "h", ManualClock(), 300.0)
        draws = ledger.partition("p-1")
        turns = TurnLog(None, 12).partition(turn_key("r-1"))
        assert [draws.topic, draws.number] == RECORDED["partition of p-1"]
        assert str(turns) == RECORDED["partition of r-1"]
        assert stream_key("r-1") == turn_key("r-1") == RECORDED["key of r-1"]
