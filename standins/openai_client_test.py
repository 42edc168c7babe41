"""Tests of the public OpenAI client against a fleet of separate processes."""

import openai

from standins.fleet import MODEL_LAYERS, SmallFleet
from standins.launcher import PROMPT
from standins.model import expected_words


def test_public_client_receives_complete_answers_with_and_without_streaming(tmp_path):
    fleet = SmallFleet(tmp_path)
    try:
        fleet.start()
        address = f"http://127.0.0.1:{fleet.entry_ports[0]}/v1"
        with openai.OpenAI(base_url=address, api_key="not-checked") as client:
            messages = [{"role": "user", "content": PROMPT}]
            complete = client.chat.completions.create(
                model="review", messages=messages, max_tokens=12
            )
            stream = client.chat.completions.create(
                model="review", messages=messages, max_tokens=12, stream=True
            )
            chunks = list(stream)
    finally:
        fleet.stop()
    expected = "".join(expected_words("small", PROMPT, MODEL_LAYERS, 12))
    assert complete.choices[0].message.content == expected
    streamed = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    assert streamed == expected
    assert chunks[-1].choices[0].finish_reason == "length"
