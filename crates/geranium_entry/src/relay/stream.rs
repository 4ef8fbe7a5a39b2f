//! Event streams, resumed at another backend server within the same response.

use bytes::Bytes;
use geranium_core::time::Timestamp;
use geranium_fleet::crash::HARMLESS_AFTER;
use hyper::Response;
use hyper::http::response::Parts;
use tokio::sync::mpsc;

use super::active_request::ActiveRequest;
use super::attempt::{self, AttemptError, BackendResponse};
use super::body::{RelayBody, StreamAborted};
use super::buffer_reservation::BufferReservation;
use super::event_reader::{EventReader, StreamRead};
use super::headers::caller_response;
use super::host_slot::{HostSlot, SelectedHop};
use super::next_hop::NextHop;
use super::stream_format::StreamFormat;
use crate::dialect::Dialect;
use crate::metrics::CauseLabel;

/// Number of chunks of events that are buffered for a slow caller.
const CHANNEL_CAPACITY: usize = 32;
/// Places of the channel that are free before more is read: for the events and for the error
/// that ends the stream, which is sent without waiting for the caller.
const FREE_PLACES: usize = 2;

/// A stream whose first events have arrived, with the reader for the rest.
struct StartedStream<D: Dialect> {
    head: Parts,
    first: Option<Bytes>,
    reader: EventReader<D>,
}

/// The first events, or a complete response that is not a stream.
enum FirstRead<D: Dialect> {
    Stream(Box<StartedStream<D>>),
    Buffered(Parts, Bytes),
}

/// Runs the attempts of a streaming request and returns the response.
pub(super) async fn run<D: Dialect>(mut request: ActiveRequest<D>) -> Response<RelayBody> {
    let last = client_last_event(&request);
    loop {
        let SelectedHop { hop, slot } = match request.select_hop() {
            Ok(chosen) => chosen,
            Err(why) => return request.no_host_refusal(why).into_response(&request.shared),
        };
        match start_stream(&request, &hop, slot, last).await {
            Ok(FirstRead::Stream(started)) => {
                record_start(&request, &hop);
                request.attempts.record_run();
                return forward(request, *started);
            }
            Ok(FirstRead::Buffered(head, body)) => return respond(&request, &hop, &head, body),
            Err(e) => {
                if let Err(refusal) = request.handle_failure(&hop, e).await {
                    return refusal.into_response(&request.shared);
                }
            }
        }
    }
}

fn record_start<D: Dialect>(request: &ActiveRequest<D>, hop: &NextHop) {
    let took = request.shared.now().since(request.arrived);
    log::info!(
        request = request.id(), route:% = request.route.name,
        account = request.account(), host:% = hop.id(), among = hop.candidates(), load = hop.load(),
        load_age_ms = hop.load_age().map(|d| d.as_millis() as u64), first_ms = took.as_millis() as u64,
        in_time_limit = request.admission.map(|l| l.in_time), priority = request.priority,
        objective_ms = request.route.objective.as_millis() as u64;
        "stream begins"
    );
    request.shared.metrics.record_first_answer(took);
    request.record_first_token(hop, took);
    let mut core = request.shared.core.borrow_mut();
    core.dispatcher.record_outcome(hop.id(), true, None);
}

fn respond<D: Dialect>(
    request: &ActiveRequest<D>,
    hop: &NextHop,
    head: &Parts,
    body: Bytes,
) -> Response<RelayBody> {
    log::info!(
        request = request.id(), route:% = request.route.name,
        host:% = hop.id(), status = head.status.as_u16();
        "request is answered without a stream"
    );
    request
        .shared
        .metrics
        .record_outcome(request.kind_name(), hop.answered_outcome());
    caller_response(head, RelayBody::buffered(body))
}

fn client_last_event<D: Dialect>(request: &ActiveRequest<D>) -> Option<u64> {
    let name = &request.shared.dialect.headers().last_event_id;
    request
        .headers
        .get(name)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

/// Sends the request and waits for the first event.
async fn start_stream<D: Dialect>(
    request: &ActiveRequest<D>,
    hop: &NextHop,
    slot: HostSlot<D>,
    last: Option<u64>,
) -> Result<FirstRead<D>, AttemptError> {
    let response = attempt::send(request, hop, slot, last).await?;
    let is_stream = response.res.status().is_success();
    let (head, mut reader) = EventReader::new(&request.shared, response, last);
    if !is_stream {
        return read_buffered(request, head, reader).await;
    }
    let reroute_signal = reader.reroute_signal.clone();
    let read = tokio::select! {
        read = reader.next() => read,
        () = reroute_signal.notified() => return Err(AttemptError::Silent),
        () = tokio::time::sleep(request.remaining_time()) => return Err(AttemptError::Deadline),
    };
    let first = match read {
        StreamRead::Events(events) => Some(events),
        StreamRead::End => None,
        StreamRead::Aborted(cause) => return Err(AttemptError::MayHaveRun(cause)),
    };
    Ok(FirstRead::Stream(Box::new(StartedStream {
        head,
        first,
        reader,
    })))
}

async fn read_buffered<D: Dialect>(
    request: &ActiveRequest<D>,
    head: Parts,
    reader: EventReader<D>,
) -> Result<FirstRead<D>, AttemptError> {
    let mut reservation = BufferReservation::new(&request.shared.response_memory);
    let read = reservation.read_to_end(reader.body, reader.framing);
    let body = match tokio::time::timeout(request.remaining_time(), read).await {
        Ok(body) => body?,
        Err(_) => return Err(AttemptError::Deadline),
    };
    if let Some(connection) = reader.connection {
        connection.return_to(&request.shared.pool, request.shared.now());
    }
    Ok(FirstRead::Buffered(head, body))
}

/// Responds with the first events and forwards the rest as it arrives.
fn forward<D: Dialect>(
    request: ActiveRequest<D>,
    started: StartedStream<D>,
) -> Response<RelayBody> {
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let res = caller_response(&started.head, RelayBody::Stream(rx));
    let ended = started.first.is_none();
    if let Some(first) = started.first
        && let Err(e) = tx.try_send(Ok(first))
    {
        // The channel is new and has capacity; sending fails only if the receiver was dropped.
        log::error!("failed to forward the first events: {e}");
    }
    if ended {
        request
            .shared
            .metrics
            .record_outcome(request.kind_name(), started.reader.hop.answered_outcome());
        return res;
    }
    let forwarder = StreamForwarder {
        request,
        format: StreamFormat::new(started.head.status, &started.head.headers),
        silence_reported: false,
        reader: started.reader,
        tx,
    };
    tokio::task::spawn_local(forwarder.run());
    res
}

/// Forwards the events of a stream until it ends.
struct StreamForwarder<D: Dialect> {
    request: ActiveRequest<D>,
    /// Format of the stream, as the caller knows it.
    format: StreamFormat,
    /// Whether the current backend server was already reported as silent, so that a
    /// replacement is being looked for.
    silence_reported: bool,
    reader: EventReader<D>,
    tx: mpsc::Sender<Result<Bytes, StreamAborted>>,
}

impl<D: Dialect> StreamForwarder<D> {
    async fn run(mut self) {
        let outcome = self.forward_events().await;
        let request = self.request.id();
        log::info!(
            request = request, outcome = outcome, host:% = self.reader.slot.guard.host(), last_event = self.reader.last_forwarded_id,
            took_ms = self.request.shared.now().since(self.request.arrived).as_millis() as u64;
            "stream ended"
        );
        self.request
            .shared
            .metrics
            .record_outcome(self.request.kind_name(), outcome);
    }

    async fn forward_events(&mut self) -> &'static str {
        let deadline = tokio::time::sleep(self.request.remaining_time());
        let mut deadline = std::pin::pin!(deadline);
        let mut last_forwarded_at = self.request.shared.now();
        loop {
            tokio::select! {
                biased;
                () = self.tx.closed() => return "caller_left",
                () = self.room_for_more() => {}
                () = &mut deadline => return self.abort(StreamAborted::Deadline).await,
            }
            let reroute_signal = self.reader.reroute_signal.clone();
            let read = tokio::select! {
                biased;
                () = self.tx.closed() => return "caller_left",
                read = self.reader.next() => read,
                () = reroute_signal.notified() => {
                    // The server may only be slow: keep reading from it unless another one takes
                    // over.
                    self.resume(AttemptError::Silent).await;
                    continue;
                }
                () = &mut deadline => return self.abort(StreamAborted::Deadline).await,
            };
            match read {
                StreamRead::Events(events) => {
                    let now = self.request.shared.now();
                    let pause = now.since(std::mem::replace(&mut last_forwarded_at, now));
                    let metrics = &self.request.shared.metrics;
                    metrics.event_pause.observe(pause.as_secs_f64());
                    self.check_harmless(now);
                    if self.tx.send(Ok(events)).await.is_err() {
                        return "caller_left";
                    }
                }
                StreamRead::End => {
                    self.request.record_answer();
                    return self.reader.hop.answered_outcome();
                }
                StreamRead::Aborted(cause) => {
                    let error = AttemptError::MayHaveRun(cause);
                    if !self.resume(error).await {
                        return self.abort(StreamAborted::Lost).await;
                    }
                }
            }
        }
    }

    /// Waits until the caller has taken so much that more may be read for it.
    async fn room_for_more(&self) {
        self.reader.room_for_more().await;
        // Fails if the caller has disconnected, which ends the stream.
        let _ = self.tx.reserve_many(FREE_PLACES).await;
    }

    /// Counts the request as answered once its backend server has been writing long enough.
    fn check_harmless(&mut self, now: Timestamp) {
        if self.request.sent_counts.is_empty() {
            return;
        }
        let writing_for = self.reader.slot.guard.writing_for(now);
        if writing_for >= Some(HARMLESS_AFTER) {
            self.request.record_answer();
            self.request.sent_counts.clear();
        }
    }

    async fn abort(&self, cause: StreamAborted) -> &'static str {
        // Fails if the caller has disconnected; then there is nobody to inform.
        let _ = self.tx.send(Err(cause)).await;
        match cause {
            StreamAborted::Lost => "lost",
            StreamAborted::Deadline => "late",
        }
    }

    /// Tries to resume the stream at another backend server after a failure of the current
    /// one; returns whether that succeeded.
    async fn resume(&mut self, error: AttemptError) -> bool {
        let last = self.reader.last_forwarded_id;
        let already_reported = std::mem::replace(&mut self.silence_reported, true);
        let first_report = error != AttemptError::Silent || !already_reported;
        if first_report {
            let writing_for = self
                .reader
                .slot
                .guard
                .writing_for(self.request.shared.now());
            self.request
                .record_failure(&self.reader.hop, error, writing_for);
            self.request
                .check_crash(&self.reader.hop, error, writing_for)
                .await;
        }
        if last.is_none() || !self.request.may_retry(error) {
            return false;
        }
        let mut error = error;
        loop {
            let SelectedHop { hop, slot } = match self.request.select_hop() {
                Ok(chosen) => chosen,
                Err(why) => {
                    if first_report {
                        let counts = self.request.count_candidates();
                        self.request.log_no_host(why, counts);
                    }
                    return false;
                }
            };
            let sending = attempt::send(&self.request, &hop, slot, last);
            let response = tokio::select! {
                response = sending => response,
                () = self.tx.closed() => return false,
            };
            error = match response {
                Ok(response) if self.format.is_continued_by(&response.res) => {
                    self.switch_to(response, error);
                    return true;
                }
                Ok(_) => AttemptError::MayHaveRun("refused_resume"),
                Err(e) => e,
            };
            if self.request.handle_failure(&hop, error).await.is_err() {
                return false;
            }
        }
    }

    /// Continues with the response of another backend server.
    fn switch_to(&mut self, response: BackendResponse<D>, error: AttemptError) {
        let last = self.reader.last_forwarded_id;
        let cause = error.as_str();
        self.request.attempts.record_run();
        log::info!(
            request = self.request.id(), cause = cause,
            from:% = self.reader.slot.guard.host(), to:% = response.hop.id(), after_event = last;
            "stream goes on at another backend server"
        );
        let resumes = &self.request.shared.metrics.resumes;
        resumes.get_or_create(&CauseLabel { cause }).inc();
        let (_, reader) = EventReader::new(&self.request.shared, response, last);
        self.reader = reader;
        self.silence_reported = false;
    }
}
