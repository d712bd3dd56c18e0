"""The two kinds of work at an emulated server: a plain application's answers, and an engine's streams."""

from __future__ import annotations

import asyncio

from cloverrouter.lab.fleet.contract import Event, event_data
from cloverrouter.lab.fleet.engine import (
    Admission,
    Engine,
    EngineShape,
    GenerationRequest,
    Progress,
    parse_prefix,
)
from cloverrouter.lab.fleet.exchange import FULL, Exchange, RunBook
from cloverrouter.lab.fleet.judge import Run
from cloverrouter.lab.fleet.wire import render, render_chunk, render_event


class Application:
    """Answers with a body after some work, in as many slots as the server has."""

    def __init__(self, book: RunBook) -> None:
        self._book = book
        self._slots = asyncio.Semaphore(book.spec.capacity)
        self.held = 0

    async def serve(self, exchange: Exchange) -> None:
        spec = self._book.spec
        if self.held >= spec.capacity + spec.queue_limit:
            await exchange.refuse(FULL)
            return
        deadline = self._book.clock() + exchange.deadline_s
        self.held += 1
        try:
            async with self._slots:
                if self._book.clock() >= deadline:
                    await exchange.refuse(FULL)
                    return
                if exchange.caller_is_gone:
                    return
                run = self._book.begin(exchange)
                await asyncio.sleep(spec.work_ms / 1000 * self._book.random.uniform(0.7, 1.4))
            run.body = _filled(f"{run.subject} {run.stamp} ".encode(), spec.body_bytes)
            await exchange.reply("200 OK", self._book.headers(run), run.body)
        finally:
            self.held -= 1


def _filled(text: bytes, size: int) -> bytes:
    return (text * (size // len(text) + 1))[:size]


class Generation:
    """Streams an engine's tokens, several in each event; the answer starts with the first of them."""

    def __init__(self, book: RunBook, shape: EngineShape) -> None:
        self.engine = Engine(shape)
        self._book = book
        self._progress: dict[str, asyncio.Queue[Progress]] = {}
        self._stepping: asyncio.Task[None] | None = None

    async def serve(self, exchange: Exchange) -> None:
        try:
            request = self._request(exchange)
        except ValueError:
            await exchange.refuse("400 Bad Request")
            return
        attempt_id = exchange.attempt_id
        if attempt_id in self._progress or self.engine.submit(request) is Admission.FULL:
            await exchange.refuse(FULL)
            return
        self._progress[attempt_id] = asyncio.Queue()
        self._keep_stepping()
        try:
            async with asyncio.timeout(exchange.deadline_s):
                await self._stream(exchange, request)
        except TimeoutError:
            exchange.writer.close()
        finally:
            self.engine.cancel(attempt_id)
            del self._progress[attempt_id]

    def stop(self) -> None:
        if self._stepping is not None:
            self._stepping.cancel()

    def _request(self, exchange: Exchange) -> GenerationRequest:
        _, _, most = exchange.head.get("Cypresswinch-Token-Usage", "0,10").partition(",")
        return GenerationRequest(
            request_id=exchange.attempt_id,
            parts=parse_prefix(exchange.head.get("Cypresswinch-Prompt-Prefix")),
            output_tokens=int(most),
            already_made=self._book.spec.tokens_per_event * int(exchange.head.get("Last-Event-Id", "0")),
            priority=int(exchange.head.get("Priority", "5")),
        )

    async def _stream(self, exchange: Exchange, request: GenerationRequest) -> None:
        tokens_per_event = self._book.spec.tokens_per_event
        total = -(-request.output_tokens // tokens_per_event)
        sent = request.already_made // tokens_per_event
        run: Run | None = None
        done = False
        while not done:
            progress = await self._progress[request.request_id].get()
            if exchange.caller_is_gone:
                return
            if run is None:
                run = self._book.begin(exchange, total)
                exchange.writer.write(self._head(run, exchange))
            done = progress.done
            made = total if done else progress.made // tokens_per_event
            for event_id in range(sent + 1, made + 1):
                event = Event(event_id, event_data(run.subject, event_id, run.stamp))
                exchange.writer.write(render_chunk(render_event(event)))
            sent = max(sent, made)
            if done:
                exchange.writer.write(render_chunk(b""))
            await exchange.writer.drain()

    def _head(self, run: Run, exchange: Exchange) -> bytes:
        headers = [
            *self._book.headers(run),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            *exchange.connection_header(),
        ]
        return render("HTTP/1.1 200 OK", headers)

    def _keep_stepping(self) -> None:
        if self._stepping is None or self._stepping.done():
            self._stepping = asyncio.create_task(self._step_on())

    async def _step_on(self) -> None:
        while not self.engine.is_idle:
            await asyncio.sleep(self.engine.begin_step() / 1000)
            for progress in self.engine.end_step():
                queue = self._progress.get(progress.request_id)
                if queue is not None:
                    queue.put_nowait(progress)
