"""The two workloads of an emulated server: a plain application's answers, and an engine's streams."""

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
from cloverrouter.lab.fleet.exchange import FULL, Exchange, RunRecorder
from cloverrouter.lab.fleet.judge import Run
from cloverrouter.lab.fleet.wire import render, render_chunk, render_event


class Application:
    """Answers with a body after a delay; the server's capacity limits the concurrent requests."""

    def __init__(self, recorder: RunRecorder) -> None:
        self._recorder = recorder
        self._slots = asyncio.Semaphore(recorder.spec.capacity)
        self.request_count = 0

    async def serve(self, exchange: Exchange) -> None:
        """Answers a request, or refuses it if the queue is full or its deadline has passed."""
        spec = self._recorder.spec
        if self.request_count >= spec.capacity + spec.queue_limit:
            await exchange.refuse(FULL)
            return
        deadline = self._recorder.clock() + exchange.deadline_s
        self.request_count += 1
        try:
            async with self._slots:
                if self._recorder.clock() >= deadline:
                    await exchange.refuse(FULL)
                    return
                if exchange.caller_disconnected:
                    return
                run = self._recorder.start_run(exchange)
                await asyncio.sleep(spec.work_ms / 1000 * self._recorder.random.uniform(0.7, 1.4))
            run.body = _filled(f"{run.subject} {run.signature} ".encode(), spec.body_bytes)
            await exchange.reply("200 OK", self._recorder.headers(run), run.body)
        finally:
            self.request_count -= 1


def _filled(text: bytes, size: int) -> bytes:
    return (text * (size // len(text) + 1))[:size]


class Generation:
    """Streams an engine's tokens, several per event. The answer's head is sent with the first progress."""

    def __init__(self, recorder: RunRecorder, shape: EngineShape) -> None:
        self.engine = Engine(shape)
        self._recorder = recorder
        self._progress: dict[str, asyncio.Queue[Progress]] = {}
        self._step_task: asyncio.Task[None] | None = None

    async def serve(self, exchange: Exchange) -> None:
        """Streams the tokens of a request, or refuses it if the engine is full or the request malformed."""
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
        self._ensure_stepping()
        try:
            async with asyncio.timeout(exchange.deadline_s):
                await self._stream(exchange, request)
        except TimeoutError:
            exchange.writer.close()
        finally:
            self.engine.cancel(attempt_id)
            del self._progress[attempt_id]

    def stop(self) -> None:
        """Stops the engine."""
        if self._step_task is not None:
            self._step_task.cancel()

    def _request(self, exchange: Exchange) -> GenerationRequest:
        _, _, output_tokens = exchange.head.get("Cypresswinch-Token-Usage", "0,10").partition(",")
        return GenerationRequest(
            request_id=exchange.attempt_id,
            parts=parse_prefix(exchange.head.get("Cypresswinch-Prompt-Prefix")),
            output_tokens=int(output_tokens),
            already_generated=self._recorder.spec.tokens_per_event
            * int(exchange.head.get("Last-Event-Id", "0")),
            priority=int(exchange.head.get("Priority", "5")),
        )

    async def _stream(self, exchange: Exchange, request: GenerationRequest) -> None:
        tokens_per_event = self._recorder.spec.tokens_per_event
        total = -(-request.output_tokens // tokens_per_event)
        sent = request.already_generated // tokens_per_event
        run: Run | None = None
        done = False
        while not done:
            progress = await self._progress[request.request_id].get()
            if exchange.caller_disconnected:
                return
            if run is None:
                run = self._recorder.start_run(exchange, total)
                exchange.writer.write(self._head(run, exchange))
            done = progress.done
            event_count = total if done else progress.generated // tokens_per_event
            for event_id in range(sent + 1, event_count + 1):
                event = Event(event_id, event_data(run.subject, event_id, run.signature))
                exchange.writer.write(render_chunk(render_event(event)))
            sent = max(sent, event_count)
            if done:
                exchange.writer.write(render_chunk(b""))
            await exchange.writer.drain()

    def _head(self, run: Run, exchange: Exchange) -> bytes:
        headers = [
            *self._recorder.headers(run),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            *exchange.connection_header(),
        ]
        return render("HTTP/1.1 200 OK", headers)

    def _ensure_stepping(self) -> None:
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._run_steps())

    async def _run_steps(self) -> None:
        while not self.engine.is_idle:
            await asyncio.sleep(self.engine.begin_step() / 1000)
            for progress in self.engine.end_step():
                queue = self._progress.get(progress.request_id)
                if queue is not None:
                    queue.put_nowait(progress)
