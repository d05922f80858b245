from eelgrasslock.programs.journal_records import ProgramEnded
from eelgrasslock.requests.exchange import Exchange, Request, RequestKind
from eelgrasslock.requests.homes import Home, HomeFilter, Homes


class FakePeerRecords:
    def __init__(self):
        self.kept = []

    def add(self, stream, records):
        self.kept += records

    def records(self, stream):
        return self.kept


class FakePrograms:
    def __init__(self, domain):
        self.domain = domain
        self.peer_records = FakePeerRecords()
        self.running = False

    async def start(self):
        self.running = True

    async def stop(self):
        self.running = False


class Notes:
    """A filter that notes which home it belongs to."""

    name = "notes"

    def __init__(self, domain, seen):
        self.domain = domain
        self.seen = seen

    async def handle(self, exchange, proceed):
        self.seen.append(self.domain)
        await proceed(exchange)


class Bench:
    def __init__(self):
        self.seen = []
        self.homes = Homes("a", self.make)

    def make(self, domain):
        programs = FakePrograms(domain)
        return Home(programs, [programs], [Notes(domain, self.seen)])

    async def call(self, program, kind=RequestKind.MODEL):
        request = Request(method="POST", path="/")
        exchange = Exchange(request=request, responder=None, kind=kind, program=program)
        served = []

        async def proceed(one):
            served.append(one)

        await HomeFilter(self.homes).handle(exchange, proceed)
        assert served == [exchange]


class TestHomeFilter:
    async def test_a_programs_home_serves_it(self):
        bench = Bench()
        await bench.homes.start()
        for program in ("", "a~d~1", "b~d~1", "b~d~2"):
            await bench.call(program)
        assert bench.seen == ["a", "a", "b", "b"]
        assert all(one.programs.running for one in bench.homes.homes.values())
        await bench.homes.stop()
        assert not any(one.programs.running for one in bench.homes.homes.values())

    async def test_a_plain_call_adopts_no_domain(self):
        bench = Bench()
        await bench.call("b~d~1", RequestKind.PLAIN)
        assert list(bench.homes.homes) == ["a"]


class TestHoldings:
    async def test_records_are_kept_by_the_home_of_their_stream(self):
        bench = Bench()
        record = ProgramEnded(author="x", time=0.0, program="a~d~1", reason="finished")
        bench.homes.hold("journal.a", [record])
        bench.homes.hold("journal.b", [record])
        assert bench.homes.held("journal.a") == [record]
        assert bench.homes.held("journal.b") == []
