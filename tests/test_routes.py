"""What the table of routes knows of a service's routes together."""

from eelgrasslock.gateway.routes import Route, RouteKind, RouteTable, WeightedService


def route(name, priority, service="llm", is_turn=True):
    return Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        kind=RouteKind.STREAM if is_turn else RouteKind.SAFE,
        services=(WeightedService(service=service, weight=1.0),),
        timeout_seconds=3.0,
        target_seconds=0.3,
        priority=priority,
        is_turn=is_turn,
    )


class TestUrgency:
    def test_the_lowest_rank_of_a_services_turns_is_the_most_urgent(self):
        review, draft = route("review", 1), route("draft", 2)
        lookup, other = route("lookup", 0, is_turn=False), route("other", 3, "llm2")
        table = RouteTable((draft, review, lookup, other))
        assert table.is_urgent(review, "llm")
        assert not table.is_urgent(draft, "llm")
        assert table.is_urgent(other, "llm2")
        assert table.is_urgent(lookup, "app")
