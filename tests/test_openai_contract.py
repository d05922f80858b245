"""The released openai client against two daemons of different failure domains.

A program lives at the first daemon, so that its calls through the second one
are forwarded.
"""

import contextlib
import json

import openai
import pytest
import pytest_asyncio

from deployment import Deployment
from processes import Processes, eventually

pytestmark = pytest.mark.asyncio(loop_scope="module")

HOME, OTHER = 0, 1
TOOLS = [{"type": "function", "function": {"name": "lookup", "parameters": {}}}]
both_daemons = pytest.mark.parametrize("daemon", [HOME, OTHER])
both_ways = pytest.mark.parametrize("stream", [False, True])


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("contract")
    async with Processes(folder) as processes:
        yield await Deployment(processes, ["a", "b"]).start(
            progress_seconds=2.0, retries_per_call=0
        )


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def clients(fleet):
    made = [
        openai.AsyncOpenAI(
            base_url=f"http://{address}/v1", api_key="unused", max_retries=0
        )
        for address in fleet.http
    ]
    yield made
    for client in made:
        await client.close()


@pytest_asyncio.fixture(loop_scope="module")
async def engine_faults(fleet):
    async def switch(**faults):
        await fleet.processes.control(fleet.engine, **faults)

    yield switch
    await switch(break_streams=0, refuse=0, fail=0, forget_streams=False, slow_factor=1)


def question(text):
    return [{"role": "user", "content": text}]


async def ask(client, messages, stream, **options):
    """Return the answer's text, usage and last finish reason."""
    request = {"model": "m", "messages": messages, **options}
    if not stream:
        answer = await client.chat.completions.create(**request)
        (choice,) = answer.choices
        return choice.message.content, answer.usage, choice.finish_reason
    text, usage, reason = "", None, None
    options = {"include_usage": True}
    async for chunk in await client.chat.completions.create(
        stream=True, stream_options=options, **request
    ):
        usage = chunk.usage or usage
        for choice in chunk.choices:
            text += choice.delta.content or ""
            reason = choice.finish_reason or reason
    return text, usage, reason


class TestAnswers:
    @both_daemons
    @both_ways
    async def test_a_single_call_needs_no_header(self, clients, daemon, stream):
        messages = question("[tokens=12] depth")
        text, usage, reason = await ask(clients[daemon], messages, stream)
        assert len(text) == 12 * 4
        assert usage.completion_tokens == 12
        assert reason == "stop"

    @both_daemons
    @both_ways
    async def test_max_tokens_cuts_the_answer(self, clients, daemon, stream):
        messages = question("[tokens=12] yield")
        text, _, reason = await ask(clients[daemon], messages, stream, max_tokens=5)
        assert (len(text), reason) == (5 * 4, "length")

    async def test_streamed_and_whole_answers_are_the_same(self, clients):
        messages = question("the same")
        answers = [
            (await ask(client, messages, stream))[0]
            for client in clients
            for stream in (False, True)
        ]
        assert len(set(answers)) == 1

    async def test_lists_the_models(self, clients):
        assert [model.id async for model in clients[OTHER].models.list()] == ["m"]


class TestPrograms:
    async def test_turns_through_both_daemons_build_on_each_other(self, fleet, clients):
        program = await fleet.create(daemon=HOME)
        messages = []
        for turn in range(4):
            messages += question(f"turn {turn} " + "x" * 200)
            text, usage, _ = await ask(
                clients[turn % 2],
                messages,
                stream=turn >= 2,
                extra_headers={**program.headers, "Eelgrass-Turn": str(turn)},
            )
            messages.append({"role": "assistant", "content": text})
        assert usage.prompt_tokens_details.cached_tokens > 0
        resumed = (await fleet.resume(program, daemon=OTHER)).body
        assert resumed["next_turn"] == 4
        assert resumed["messages"] == messages

    @both_daemons
    @both_ways
    async def test_tool_calls(self, fleet, clients, daemon, stream):
        program = await fleet.create(daemon=HOME)
        messages = question("[tool=lookup]")
        request = {
            "model": "m",
            "messages": messages,
            "tools": TOOLS,
            "extra_headers": program.headers,
        }
        completions = clients[daemon].chat.completions
        if stream:
            async with completions.stream(**request) as events:
                answer = await events.get_final_completion()
        else:
            answer = await completions.create(**request)
        message = answer.choices[0].message
        (call,) = message.tool_calls
        assert call.function.name == "lookup"
        assert json.loads(call.function.arguments)["seed"]
        result = {"role": "tool", "tool_call_id": call.id, "content": "84 m"}
        answered = {
            "role": "assistant",
            "tool_calls": [
                {
                    "id": call.id,
                    "type": "function",
                    "function": {
                        "name": call.function.name,
                        "arguments": call.function.arguments,
                    },
                }
            ],
        }
        text, _, _ = await ask(
            clients[daemon],
            [*messages, answered, result],
            stream,
            extra_headers=program.headers,
        )
        assert text

    @both_daemons
    @both_ways
    async def test_the_wrong_turn_is_a_conflict(self, fleet, clients, daemon, stream):
        program = await fleet.create(daemon=HOME)
        headers = {**program.headers, "Eelgrass-Turn": "5"}
        with pytest.raises(openai.ConflictError) as caught:
            await ask(clients[daemon], question("a"), stream, extra_headers=headers)
        assert caught.value.code == "turn_mismatch"
        assert caught.value.body["ran"] == "no"


class TestRefusals:
    @both_daemons
    @both_ways
    async def test_an_unknown_model_is_not_found(self, clients, daemon, stream):
        with pytest.raises(openai.NotFoundError) as caught:
            await ask(clients[daemon], question("a"), stream, model="no-such")
        assert caught.value.code == "unknown_model"

    @both_daemons
    @both_ways
    async def test_a_bad_request_is_told_as_such(self, clients, daemon, stream):
        with pytest.raises(openai.BadRequestError) as caught:
            await ask(clients[daemon], [], stream)
        assert caught.value.code == "invalid_request"

    @both_daemons
    @both_ways
    async def test_a_busy_engine_says_when_to_come_back(
        self, fleet, clients, engine_faults, daemon, stream
    ):
        await engine_faults(refuse=99, retry_after=1)
        program = await fleet.create(daemon=HOME)
        with pytest.raises(openai.InternalServerError) as caught:
            await ask(
                clients[daemon],
                question("a"),
                stream,
                extra_headers=program.headers,
            )
        assert caught.value.status_code == 503
        assert caught.value.body["ran"] == "no"
        assert int(caught.value.response.headers["Retry-After"]) >= 1

    @both_daemons
    async def test_a_stream_that_breaks_for_good_ends_in_an_error(
        self, fleet, clients, engine_faults, daemon
    ):
        await engine_faults(break_streams=99, fault_after_events=4, forget_streams=True)
        program = await fleet.create(daemon=HOME)
        received = []
        with pytest.raises(openai.APIError) as caught:
            await self._receive(clients[daemon], program, received)
        assert received
        assert not isinstance(caught.value, openai.APIConnectionError)
        assert caught.value.body["ran"] in ("yes", "unknown")

    async def _receive(self, client, program, received):
        async for chunk in await client.chat.completions.create(
            model="m",
            messages=question("[tokens=30]"),
            stream=True,
            extra_headers=program.headers,
        ):
            received.append(chunk)


class TestCallerLeaves:
    @both_daemons
    async def test_cancels_at_the_engine(self, fleet, clients, engine_faults, daemon):
        await engine_faults(slow_factor=20)
        program = await fleet.create(daemon=HOME)
        stream = await clients[daemon].chat.completions.create(
            model="m",
            messages=question("[tokens=400]"),
            stream=True,
            max_tokens=400,
            extra_headers=program.headers,
        )
        async with contextlib.aclosing(aiter(stream)) as chunks:
            await anext(chunks)
        await stream.close()

        async def idle():
            stats = await fleet.processes.get(fleet.engine, "/stats")
            return stats["running"] == 0 and stats["waiting"] == 0

        await eventually(idle, 8.0)
