//! Event streams, resumed at another backend server within one answer.

use bytes::Bytes;
use geranium_fleet::dispatch::Choice;
use geranium_fleet::host::Host;
use hyper::Response;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::http::response::Parts;
use tokio::sync::mpsc;

use super::attempt::{self, Answer, AttemptError};
use super::body::{RelayBody, StreamCut};
use super::event_reader::{EventReader, Piece};
use super::headers::end_to_end;
use super::held_bytes::HeldBytes;
use super::job::Job;
use super::place::{Chosen, Place};
use crate::dialect::Dialect;
use crate::metrics::CauseLabel;

/// Chunks of events that wait for a caller that reads slowly.
const CHANNEL: usize = 32;

/// The first events of a stream, with the reader of the rest.
struct Started<D: Dialect> {
    head: Parts,
    first: Option<Bytes>,
    reader: EventReader<D>,
}

/// A first piece, or an answer that is not a stream.
enum Start<D: Dialect> {
    Stream(Box<Started<D>>),
    Whole(Parts, Bytes),
}

/// Runs the attempts of a streamed request and returns the answer.
pub(super) async fn run<D: Dialect>(mut job: Job<D>) -> Response<RelayBody> {
    let last = client_last_event(&job);
    loop {
        let Chosen { choice, place } = match job.choose() {
            Ok(chosen) => chosen,
            Err(why) => return job.no_host(why).into_response(&job.shared),
        };
        match start(&job, &choice.host, place, last).await {
            Ok(Start::Stream(started)) => {
                note_start(&job, &choice);
                job.attempts.note_run();
                return pass_on(job, *started);
            }
            Ok(Start::Whole(head, body)) => return answer_whole(&job, &choice, &head, body),
            Err(e) => {
                if let Err(refusal) = job.after_failure(&choice.host, e) {
                    return refusal.into_response(&job.shared);
                }
            }
        }
    }
}

fn note_start<D: Dialect>(job: &Job<D>, choice: &Choice) {
    let took = job.shared.now().since(job.arrived);
    log::info!(
        request = job.id(), route:% = job.route.name,
        account = job.account(), host:% = choice.host.id, among = choice.candidates, load = choice.load,
        load_age_ms = choice.load_age.as_millis() as u64, first_ms = took.as_millis() as u64,
        objective_ms = job.route.objective.as_millis() as u64;
        "stream begins"
    );
    job.shared.metrics.record_attempt("answered");
    job.shared.metrics.first_answer.observe(took.as_secs_f64());
    let mut core = job.shared.core.borrow_mut();
    core.dispatcher.note_outcome(&choice.host.id, true, None);
}

fn answer_whole<D: Dialect>(
    job: &Job<D>,
    choice: &Choice,
    head: &Parts,
    body: Bytes,
) -> Response<RelayBody> {
    log::info!(
        request = job.id(), route:% = job.route.name,
        host:% = choice.host.id, status = head.status.as_u16();
        "request is answered without a stream"
    );
    job.shared
        .metrics
        .record_outcome(job.kind_word(), "answered");
    let mut res = Response::new(RelayBody::whole(body));
    *res.status_mut() = head.status;
    *res.headers_mut() = passed_headers(&head.headers);
    res
}

fn client_last_event<D: Dialect>(job: &Job<D>) -> Option<u64> {
    let name = &job.shared.dialect.headers().last_event_id;
    job.headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Sends the request and waits for the first event.
async fn start<D: Dialect>(
    job: &Job<D>,
    host: &Host,
    place: Place<D>,
    last: Option<u64>,
) -> Result<Start<D>, AttemptError> {
    let answer = attempt::send(job, host, place, last).await?;
    let is_stream = answer.res.status().is_success();
    let (head, mut reader) = EventReader::new(&job.shared, answer, last);
    if !is_stream {
        return read_whole(job, head, reader).await;
    }
    let reroute_signal = reader.reroute_signal.clone();
    let piece = tokio::select! {
        piece = reader.next() => piece,
        () = reroute_signal.notified() => return Err(AttemptError::Silent),
        () = tokio::time::sleep(job.left()) => return Err(AttemptError::Deadline),
    };
    let first = match piece {
        Piece::Events(events) => Some(events),
        Piece::End => None,
        Piece::Cut(cause) => return Err(AttemptError::MayHaveRun(cause)),
    };
    Ok(Start::Stream(Box::new(Started {
        head,
        first,
        reader,
    })))
}

async fn read_whole<D: Dialect>(
    job: &Job<D>,
    head: Parts,
    reader: EventReader<D>,
) -> Result<Start<D>, AttemptError> {
    let mut held = HeldBytes::new(&job.shared);
    let read = held.read_whole(reader.body);
    let body = match tokio::time::timeout(job.left(), read).await {
        Ok(body) => body?,
        Err(_) => return Err(AttemptError::Deadline),
    };
    if let Some(back) = reader.back {
        back.put(&job.shared.pool, job.shared.now());
    }
    Ok(Start::Whole(head, body))
}

fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end(headers);
    headers.remove(CONTENT_LENGTH);
    headers
}

/// Answers with the first events and passes on the rest as it arrives.
fn pass_on<D: Dialect>(job: Job<D>, started: Started<D>) -> Response<RelayBody> {
    let (tx, rx) = mpsc::channel(CHANNEL);
    let mut res = Response::new(RelayBody::Events(rx));
    *res.status_mut() = started.head.status;
    *res.headers_mut() = passed_headers(&started.head.headers);
    let ended = started.first.is_none();
    if let Some(first) = started.first
        && let Err(e) = tx.try_send(Ok(first))
    {
        // The channel is new and has room; only a dropped receiver could fail.
        log::error!("first events were not passed on: {e}");
    }
    if ended {
        job.shared
            .metrics
            .record_outcome(job.kind_word(), "answered");
        return res;
    }
    let pump = Pump {
        job,
        waits: false,
        reader: started.reader,
        tx,
    };
    tokio::task::spawn_local(pump.run());
    res
}

/// Passes the events of a stream on until it ends.
struct Pump<D: Dialect> {
    job: Job<D>,
    /// Whether the present backend server was found silent, so that another is looked for.
    waits: bool,
    reader: EventReader<D>,
    tx: mpsc::Sender<Result<Bytes, StreamCut>>,
}

impl<D: Dialect> Pump<D> {
    async fn run(mut self) {
        let outcome = self.pass().await;
        let request = self.job.id();
        log::info!(
            request = request, outcome = outcome, host:% = self.reader.place.guard.host(), last_event = self.reader.passed,
            took_ms = self.job.shared.now().since(self.job.arrived).as_millis() as u64;
            "stream ended"
        );
        self.job
            .shared
            .metrics
            .record_outcome(self.job.kind_word(), outcome);
    }

    async fn pass(&mut self) -> &'static str {
        let deadline = tokio::time::sleep(self.job.left());
        let mut deadline = std::pin::pin!(deadline);
        let mut passed_at = self.job.shared.now();
        loop {
            let reroute_signal = self.reader.reroute_signal.clone();
            let piece = tokio::select! {
                biased;
                () = self.tx.closed() => return "caller_left",
                piece = self.reader.next() => piece,
                () = reroute_signal.notified() => {
                    // It may only be late: unless another takes over, it is heard further.
                    self.resume(AttemptError::Silent).await;
                    continue;
                }
                () = &mut deadline => return self.cut(StreamCut::Deadline).await,
            };
            match piece {
                Piece::Events(events) => {
                    let now = self.job.shared.now();
                    let pause = now.since(std::mem::replace(&mut passed_at, now));
                    let metrics = &self.job.shared.metrics;
                    metrics.event_pause.observe(pause.as_secs_f64());
                    if self.tx.send(Ok(events)).await.is_err() {
                        return "caller_left";
                    }
                }
                Piece::End => {
                    let mut core = self.job.shared.core.borrow_mut();
                    core.crashes.answered(self.job.fingerprint);
                    return "answered";
                }
                Piece::Cut(cause) => {
                    let error = AttemptError::MayHaveRun(cause);
                    if !self.resume(error).await {
                        return self.cut(StreamCut::Lost).await;
                    }
                }
            }
        }
    }

    async fn cut(&self, cut: StreamCut) -> &'static str {
        // The caller may have left; then nobody needs to be told.
        let _ = self.tx.send(Err(cut)).await;
        match cut {
            StreamCut::Lost => "lost",
            StreamCut::Deadline => "late",
        }
    }

    /// Goes on at another backend server after the present one failed; returns whether
    /// one does.
    async fn resume(&mut self, error: AttemptError) -> bool {
        let last = self.reader.passed;
        let waited = std::mem::replace(&mut self.waits, true);
        let first_look = error != AttemptError::Silent || !waited;
        if first_look {
            self.job.note_failure(&self.reader.host, error);
        }
        if last.is_none() || !self.job.may_follow(error) {
            return false;
        }
        let mut error = error;
        loop {
            let Chosen { choice, place } = match self.job.choose() {
                Ok(chosen) => chosen,
                Err(why) => {
                    if first_look {
                        self.job.log_no_host(why);
                    }
                    return false;
                }
            };
            let sending = attempt::send(&self.job, &choice.host, place, last);
            let answer = tokio::select! {
                answer = sending => answer,
                () = self.tx.closed() => return false,
            };
            error = match answer {
                Ok(answer) if answer.res.status().is_success() => {
                    self.go_on(answer, error);
                    return true;
                }
                Ok(_) => AttemptError::MayHaveRun("refused_resume"),
                Err(e) => e,
            };
            if self.job.after_failure(&choice.host, error).is_err() {
                return false;
            }
        }
    }

    /// Reads on from another backend server's answer.
    fn go_on(&mut self, answer: Answer<D>, error: AttemptError) {
        let last = self.reader.passed;
        let cause = error.word();
        self.job.attempts.note_run();
        log::info!(
            request = self.job.id(), cause = cause,
            from:% = self.reader.place.guard.host(), to:% = answer.host.id, after_event = last;
            "stream goes on at another backend server"
        );
        let resumes = &self.job.shared.metrics.resumes;
        resumes.get_or_create(&CauseLabel { cause }).inc();
        let (_, reader) = EventReader::new(&self.job.shared, answer, last);
        self.reader = reader;
        self.waits = false;
    }
}
