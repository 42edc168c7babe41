"""Tests the callers' application over real connections with the public client.

The application runs in a thread with a scripted `Serving`.  The path through
separate processes is tested in standins/openai_client_test.py.
"""

import socket
import threading
from contextlib import contextmanager

import httpcore
import openai
import pytest
import trio
from expression import Error, Ok

from radishfield.core import Finished, Receipt, ResultCode, SystemClock, Token, fault
from radishfield.edges import CallerApp, CallerLimits, ListenerConfig, serve_app
from radishfield.edges.caller_test import CHAT, HELLO, Profiles, ScriptedServing

MESSAGES = [{"role": "user", "content": "hello"}]


@contextmanager
def served(app, tls_cert="", tls_key=""):
    """Serve an application in a thread; yield its address, then stop gracefully."""
    config = ListenerConfig.from_settings("127.0.0.1:0", tls_cert, tls_key, drain_s=5.0)
    ready = threading.Event()
    handles = []

    async def main():
        stop = trio.Event()
        handles.extend([trio.lowlevel.current_trio_token(), stop])
        async with trio.open_nursery() as nursery:
            handles.extend(await nursery.start(serve_app, app, config, stop))
            ready.set()

    thread = threading.Thread(target=trio.run, args=(main,))
    thread.start()
    assert ready.wait(10)
    token, stop, address = handles
    try:
        yield address
    finally:
        token.run_sync_soon(stop.set)
        thread.join(20)
        assert not thread.is_alive()


def serve_caller_edge(serving):
    """Serve the callers' application over a scripted `Serving`."""
    return served(CallerApp(serving, Profiles(), SystemClock(), CallerLimits()))


def make_client(address):
    return openai.OpenAI(
        base_url=f"{address}/v1", api_key="not-checked", max_retries=0, timeout=10
    )


def test_public_client_reads_complete_and_streamed_answers_and_model_list():
    with serve_caller_edge(ScriptedServing(["one", " two", " three"])) as address:
        client = make_client(address)
        completion = client.chat.completions.create(model="review", messages=MESSAGES)
        assert completion.choices[0].message.content == "one two three"
        assert completion.usage.completion_tokens == 3
        stream = client.chat.completions.create(
            model="review",
            messages=MESSAGES,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = list(stream)
        texts = [c.choices[0].delta.content or "" for c in chunks if c.choices]
        assert "".join(texts) == "one two three"
        assert chunks[-2].choices[0].finish_reason == "length"
        assert chunks[-1].usage.completion_tokens == 3
        text = client.completions.create(model="review", prompt="hello")
        assert text.choices[0].text == "one two three"
        assert [model.id for model in client.models.list()] == ["review", "portal"]
        client.close()


def test_public_client_raises_error_for_broken_stream():
    """The client raises an error; it never returns a truncated answer as complete."""
    broken = Error(fault(ResultCode.STREAM_BROKEN, "stage died"))
    with serve_caller_edge(ScriptedServing(["one"], broken, pause_s=0.05)) as address:
        client = make_client(address)
        stream = client.chat.completions.create(
            model="review", messages=MESSAGES, stream=True
        )
        with pytest.raises(openai.APIError) as caught:
            list(stream)
        assert caught.value.body["code"] == int(ResultCode.STREAM_BROKEN)
        client.close()


def test_connection_of_a_broken_stream_is_closed_without_the_last_chunk():
    broken = Error(fault(ResultCode.STREAM_BROKEN, "stage died"))
    with serve_caller_edge(ScriptedServing(["one"], broken, pause_s=0.05)) as address:
        with httpcore.ConnectionPool() as pool:
            content = b'{"model":"review","stream":true,"messages":'
            content += b'[{"role":"user","content":"hello"}]}'
            with pytest.raises(httpcore.RemoteProtocolError):
                pool.request("POST", address + CHAT, content=content)


def test_public_client_retries_when_answer_allows_it():
    class FullOnce(ScriptedServing):
        async def generate(self, request, sink):
            if not self.requests:
                self.requests.append(request)
                return Error(fault(ResultCode.QUEUE_FULL, "full", retry_after_s=0.05))
            return await super().generate(request, sink)

    serving = FullOnce(["one"])
    with serve_caller_edge(serving) as address:
        client = make_client(address).with_options(max_retries=1)
        completion = client.chat.completions.create(model="review", messages=MESSAGES)
        assert completion.choices[0].message.content == "one"
        client.close()
    assert len(serving.requests) == 2


def test_closed_caller_connection_cancels_request():
    """A caller closes its connection during a stream; its request is cancelled."""
    serving = ScriptedServing(["word"] * 10_000, Ok(Finished("length")), pause_s=0.01)
    with serve_caller_edge(serving) as address:
        client = make_client(address)
        stream = client.chat.completions.create(
            model="review", messages=MESSAGES, stream=True
        )
        next(iter(stream))
        stream.close()
        client.close()
        assert wait_until(lambda: serving.cancelled == 1)


def test_oversized_body_is_answered_without_connection_error():
    with serve_caller_edge(ScriptedServing()) as address:
        with httpcore.ConnectionPool() as pool:
            answer = pool.request("POST", address + CHAT, content=b" " * (3 << 20))
    assert answer.status == 413


def test_invalid_http_gets_error_and_host_keeps_serving():
    with serve_caller_edge(ScriptedServing(["one"])) as address:
        host, _, port = address.removeprefix("http://").rpartition(":")
        for garbage in (
            b"\x00" * 64,
            b"GET\r\n\r\n",
            b"\x16\x03\x01" * 40 + b"\r\n\r\n",
        ):
            with socket.create_connection((host, int(port)), timeout=5) as raw:
                raw.sendall(garbage)
                raw.shutdown(socket.SHUT_WR)
                assert raw.recv(1000)[:12] in (b"", b"HTTP/1.1 400")
        client = make_client(address)
        completion = client.chat.completions.create(**HELLO)
        assert completion.choices[0].message.content == "one"
        client.close()


def test_tokens_reach_the_caller_without_waiting_for_the_end():
    class PausingServing(ScriptedServing):
        async def generate(self, request, sink):
            await sink.push(Token(0, "one", Receipt(request.id, 1, 0, ())))
            await trio.sleep(0.5)
            return self.ending

    with serve_caller_edge(PausingServing()) as address:
        client = make_client(address)
        stream = client.chat.completions.create(
            model="review", messages=MESSAGES, stream=True
        )
        started = SystemClock().now()
        next(iter(stream))
        assert SystemClock().now() - started < 0.4
        client.close()


def test_caller_that_stops_reading_is_disconnected(monkeypatch):
    """The host drops the connection; other callers are not affected.

    A caller requests a long stream and never reads it.  Its TCP window fills, and
    the server's send, which cannot be cancelled, blocks.  The kernel closes the
    connection after the send timeout, which frees the request's slot.
    """
    monkeypatch.setattr("radishfield.web._listener.SEND_TIMEOUT_MS", 500)
    words = ["word" * 4000] * 2000
    serving = ScriptedServing(words, pause_s=0)
    app = CallerApp(serving, Profiles(), SystemClock(), CallerLimits())
    body = b'{"model":"review","stream":true,"messages":'
    body += b'[{"role":"user","content":"hello"}]}'
    head = f"POST {CHAT} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
    with served(app) as address:
        host, _, port = address.removeprefix("http://").rpartition(":")
        with socket.create_connection((host, int(port)), timeout=5) as raw:
            raw.sendall(head.encode() + body)
            assert wait_until(lambda: app.in_flight == 1)
            assert wait_until(lambda: app.in_flight == 0)
            assert serving.cancelled == 1


def wait_until(condition, timeout_s=10.0):
    for _ in range(int(timeout_s / 0.02)):
        if condition():
            return True
        threading.Event().wait(0.02)
    return False
