"""Tests of an entry host that receives a stop signal while it serves a stream."""

import json
import signal

import httpcore
import openai

from standins.fleet import ONE_ZONE, SmallFleet
from standins.launcher import PROMPT, expected_text

TOKENS = 60
STEP_MS = 10.0


def test_sigterm_in_the_middle_of_a_stream_lets_it_finish(tmp_path):
    """The caller receives its complete answer; only later callers are refused.

    SIGTERM arrives after the first token.  Readiness fails, new requests are still
    accepted for the notice time and then refused with a retry time, the stream
    continues to its end, and the process exits with status 0.
    """
    fleet = SmallFleet(tmp_path, ONE_ZONE, step_ms=STEP_MS)
    try:
        fleet.start()
        (entry,) = fleet.entries_by_id.values()
        address = f"http://127.0.0.1:{entry.caller_port}"
        with openai.OpenAI(base_url=f"{address}/v1", api_key="x") as client:
            stream = client.chat.completions.create(
                model="review",
                messages=[{"role": "user", "content": PROMPT}],
                max_tokens=TOKENS,
                stream=True,
            )
            chunks = iter(stream)
            texts = [next(chunks).choices[0].delta.content]
            entry.process.send_signal(signal.SIGTERM)
            refused = wait_for_refusal(address)
            texts += [chunk.choices[0].delta.content or "" for chunk in chunks]
        assert "".join(texts) == expected_text(PROMPT, TOKENS)
        assert refused["error"]["code"] == 3005
        assert refused["error"]["retry_after_s"] > 0
        assert entry.process.wait(timeout=20) == 0
    finally:
        fleet.stop()


def wait_for_refusal(address):
    """Send requests until one is not answered with 200; return the refusal."""
    content = json.dumps(
        {"model": "review", "prompt": "hello", "max_tokens": 1}
    ).encode()
    for _ in range(100):
        answer = httpcore.request("POST", f"{address}/v1/completions", content=content)
        if answer.status != 200:
            return json.loads(answer.content)
    raise AssertionError("the host refused none of 100 requests")
