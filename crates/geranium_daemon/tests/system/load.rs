//! Tests constant load while entry hosts, a member of a group and the platform fail.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::{join, join_all};
use geranium_engine::{ChatRequest, CompletionEvent, CompletionStream};
use geranium_fakes::platform::PlatformFault;
use geranium_fakes::service::FakeService;
use geranium_fakes::system::until;
use geranium_fakes::system::{DESK_KEY, DomainSize, Entry, System, content, expected, open_groups};
use geranium_net::{ApiError, HttpClient, HttpRequest, ResponseMemory, read_response_body};
use hyper::StatusCode;

use crate::GERANIUMD;

const DOMAINS: [DomainSize; 2] = [
    DomainSize::new("lima-1", 2, 5),
    DomainSize::new("lima-2", 1, 2),
];

/// Number of callers that read streams.
const READERS: usize = 4;

/// Number of callers of the service.
const MODERATORS: usize = 3;

/// Number of tokens in each completion.
const TOKENS_PER_COMPLETION: u32 = 24;

/// Timeout of a caller for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 6;

/// Answer to a call of the service.
enum BanAnswer {
    Lost,
    Done(Bytes),
    Refused(ApiError),
}

/// Outcome of a stream.
#[derive(PartialEq)]
enum StreamOutcome {
    Complete,
    Interrupted,
    Refused,
}

/// Callers that create the load, with the answers that they got.
struct Load<'a> {
    http: HttpClient,
    service: &'a FakeService,
    callers: Vec<SocketAddr>,
    stop_load: Cell<bool>,
    completed_streams: Cell<u64>,
    completed_calls: Cell<u64>,
    /// Answers of completed calls, by idempotency key.
    answers: RefCell<BTreeMap<String, Bytes>>,
    /// Entry host that is stopping gracefully; it must not interrupt any request.
    stopping_entry: Cell<Option<usize>>,
}

impl<'a> Load<'a> {
    fn new(http: HttpClient, service: &'a FakeService, entries: &[Entry]) -> Self {
        Self {
            http,
            service,
            callers: entries.iter().map(|entry| entry.at.caller).collect(),
            stop_load: Cell::new(false),
            completed_streams: Cell::new(0),
            completed_calls: Cell::new(0),
            answers: RefCell::default(),
            stopping_entry: Cell::new(None),
        }
    }

    async fn run(&self) {
        let readers = join_all((0..READERS).map(|i| self.read_streams(i)));
        let moderators = join_all((0..MODERATORS).map(|i| self.ban_readers(i)));
        join(readers, moderators).await;
    }

    /// Waits until four more streams and four more service calls have completed.
    async fn wait_for_progress(&self, what: &str) {
        let (whole, done) = (self.completed_streams.get(), self.completed_calls.get());
        until(what, || async move {
            let streams = self.completed_streams.get() >= whole + 4;
            (streams && self.completed_calls.get() >= done + 4).then_some(())
        })
        .await;
    }

    async fn read_streams(&self, reader: usize) {
        for i in 0.. {
            if self.stop_load.get() {
                return;
            }
            let entry = (reader + i) % self.callers.len();
            let prompt = format!("reader {reader} story {i}");
            if self.read_stream(entry, &prompt).await == StreamOutcome::Complete {
                self.completed_streams.set(self.completed_streams.get() + 1);
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    async fn read_stream(&self, entry: usize, prompt: &str) -> StreamOutcome {
        let at = self.callers[entry];
        let mut chat = ChatRequest::user("summary", prompt);
        chat.max_tokens = TOKENS_PER_COMPLETION;
        let req = HttpRequest::post(at, "/v1/chat/completions")
            .header_text("authorization", &format!("Bearer {DESK_KEY}"))
            .and_then(|req| req.json(&chat))
            .expect("a request");
        let Ok(res) = self.http.send(req, ANSWER_TIMEOUT).await else {
            return StreamOutcome::Interrupted;
        };
        if res.status() != StatusCode::OK {
            let status = res.status();
            let memory = ResponseMemory::new(1 << 20);
            let body = read_response_body(at, res.into_body(), 1 << 16, &memory).await;
            let Ok(body) = body else {
                return StreamOutcome::Interrupted;
            };
            let refusal = ApiError::parse(status, &body).expect("a typed refusal");
            check_stopping(&refusal);
            return StreamOutcome::Refused;
        }
        let mut stream =
            CompletionStream::new(at, res.into_body(), 1 << 20, &ResponseMemory::new(4 << 20));
        let outcome = read_text(&mut stream, &expected(prompt, TOKENS_PER_COMPLETION)).await;
        let stopping = self.stopping_entry.get() == Some(entry);
        let interrupted = stopping && outcome != StreamOutcome::Complete;
        assert!(
            !interrupted,
            "a planned stop interrupted the stream of {prompt:?}"
        );
        outcome
    }

    async fn ban_readers(&self, moderator: usize) {
        for i in 0.. {
            if self.stop_load.get() {
                return;
            }
            let key = format!("m{moderator}-{i}");
            if self.ban(moderator + i, &key).await {
                self.completed_calls.set(self.completed_calls.get() + 1);
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Sends a ban to one entry host after another until its outcome is known; returns whether
    /// it succeeded.
    async fn ban(&self, first: usize, key: &str) -> bool {
        for i in 0..MAX_ATTEMPTS {
            let entry = (first + i) % self.callers.len();
            match self.send_ban(entry, key).await {
                BanAnswer::Lost => self.check_lost(entry, key),
                BanAnswer::Done(body) => {
                    self.check_done(key, body);
                    return true;
                }
                BanAnswer::Refused(e) => {
                    self.check_refusal(key, &e);
                    if e.kind == "outcome_unknown" {
                        return false;
                    }
                }
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        false
    }

    async fn send_ban(&self, entry: usize, key: &str) -> BanAnswer {
        let req = HttpRequest::post(self.callers[entry], "/v1/services/sanctions/bans")
            .header_text("authorization", &format!("Bearer {DESK_KEY}"))
            .and_then(|req| req.header_text("idempotency-key", key))
            .expect("a request")
            .body(Bytes::from(format!("{{\"reader\":\"{key}\"}}")));
        match self.http.send_buffered(req, ANSWER_TIMEOUT).await {
            Err(_) => BanAnswer::Lost,
            Ok((StatusCode::OK, body)) => BanAnswer::Done(body),
            Ok((status, body)) => {
                let refusal = ApiError::parse(status, &body);
                BanAnswer::Refused(refusal.expect("a typed refusal"))
            }
        }
    }

    fn executions(&self, key: &str) -> u64 {
        let executions = self.service.stats().executions;
        executions.get(key).copied().unwrap_or_default()
    }

    fn check_done(&self, key: &str, body: Bytes) {
        assert_eq!(self.executions(key), 1, "{key} was answered");
        let echo: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(echo["idempotency_key"], key);
        assert_eq!(echo["body"], format!("{{\"reader\":\"{key}\"}}"));
        self.answers.borrow_mut().insert(key.to_owned(), body);
    }

    /// Checks that a planned stop did not lose the answer of an executed call.
    fn check_lost(&self, entry: usize, key: &str) {
        let interrupted = self.stopping_entry.get() == Some(entry) && self.executions(key) > 0;
        assert!(!interrupted, "a planned stop interrupted {key}");
    }

    fn check_refusal(&self, key: &str, e: &ApiError) {
        check_stopping(e);
        let earlier = e.earlier_attempt_may_have_run.unwrap_or_default();
        if e.ran == Some(false) && !earlier {
            assert_eq!(self.executions(key), 0, "{key} was refused: {e:?}");
        }
    }

    /// Checks that each call ran at most once and that its answer is stored for resends.
    async fn check_calls(&self, entry: usize) {
        for (key, n) in self.service.stats().executions {
            assert_eq!(n, 1, "{key} ran {n} times");
        }
        let stored: Vec<_> = self.answers.borrow().clone().into_iter().collect();
        for (key, body) in stored.iter().step_by(stored.len().div_ceil(20)) {
            match self.send_ban(entry, key).await {
                BanAnswer::Done(again) => assert_eq!(again, body, "{key} got another answer"),
                BanAnswer::Refused(e) => panic!("the answer of {key} was not stored: {e:?}"),
                BanAnswer::Lost => panic!("no answer for {key}"),
            }
            assert_eq!(self.executions(key), 1, "{key} ran again after its resend");
        }
    }
}

/// Checks that a stopping host reports a refused call as not executed.
fn check_stopping(e: &ApiError) {
    if e.kind == "stopping" {
        assert_eq!(e.ran, Some(false), "{e:?}");
    }
}

/// Reads a stream to its end and checks after each chunk that the text so far is a prefix of
/// the expected text.
async fn read_text(stream: &mut CompletionStream, expected: &str) -> StreamOutcome {
    let mut text = String::new();
    while let Some(event) = stream.next().await {
        match event {
            Ok(CompletionEvent::Piece(piece)) => {
                text.push_str(&piece.text().expect("a chunk"));
                assert!(expected.starts_with(&text), "{text:?} of {expected:?}");
            }
            Ok(CompletionEvent::Done) => {
                assert_eq!(text, expected, "an interrupted stream looks complete");
                return StreamOutcome::Complete;
            }
            Err(_) => return StreamOutcome::Interrupted,
        }
    }
    StreamOutcome::Interrupted
}

async fn serving_system() -> System {
    let system = System::start(GERANIUMD, &DOMAINS, |cfg| {
        cfg.token_time = Duration::from_millis(4);
        cfg.warm_after = 1;
    })
    .await;
    system.apply_service().await;
    system.apply_model(&[("lima-1", 2), ("lima-2", 1)], 2).await;
    system.wait_serving("lima-1", 2).await;
    system.wait_serving("lima-2", 1).await;
    for entry in [0, 1, 2] {
        system.chat_until_ok(entry, "first", 2).await;
    }
    system
}

fn platform_fault(unavailable: bool) -> PlatformFault {
    PlatformFault {
        unavailable: Some(unavailable),
        ..PlatformFault::default()
    }
}

/// Checks that each of the given entry hosts answers again.
async fn check_serving(system: &System, entries: &[usize]) {
    for &entry in entries {
        let answer = system.chat_until_ok(entry, "after the faults", 4).await;
        assert_eq!(answer, expected("after the faults", 4));
        until("a ban after the faults", || async {
            let (status, _) = system.ban(entry, &format!("after-{entry}")).await.ok()?;
            (status == StatusCode::OK).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_frozen_entry_hosts_lose_and_double_nothing() {
    let mut system = serving_system().await;
    let System {
        service,
        entries,
        http,
        ..
    } = &mut system;
    let load = Load::new(http.clone(), service, entries);
    let faults = async {
        load.wait_for_progress("load before the faults").await;
        entries[1].freeze();
        load.wait_for_progress("load while a host is paused").await;
        entries[1].thaw();
        load.wait_for_progress("load after the host resumed").await;
        entries[0].kill();
        load.wait_for_progress("load after a host was killed").await;
        load.stop_load.set(true);
    };

    join(load.run(), faults).await;

    load.check_calls(1).await;
    check_serving(&system, &[1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_under_load_cuts_off_nothing() {
    let mut system = serving_system().await;
    let System {
        service,
        entries,
        http,
        ..
    } = &mut system;
    let load = Load::new(http.clone(), service, entries);
    let faults = async {
        load.wait_for_progress("load before the stop").await;
        load.stopping_entry.set(Some(0));
        entries[0].terminate();
        let entry = &mut entries[0];
        let code = until("the end of the process", || {
            let code = entry.exit_code();
            async move { code }
        })
        .await;
        assert_eq!(code, 0);
        load.wait_for_progress("load after a host stopped").await;
        load.stop_load.set(true);
    };

    join(load.run(), faults).await;

    load.check_calls(1).await;
    check_serving(&system, &[1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_member_and_lost_platform_lose_and_double_nothing() {
    let mut system = serving_system().await;
    let head = {
        let status = system.status(0).await;
        let group = open_groups(&status).into_iter().next();
        system.head_of(&group.expect("an open group"))
    };
    let System {
        service,
        entries,
        engines,
        platform,
        http,
        ..
    } = &mut system;
    let load = Load::new(http.clone(), service, entries);
    let faults = async {
        load.wait_for_progress("load before the faults").await;
        engines[head] = None;
        load.wait_for_progress("load after a member died").await;
        platform.set_fault(&platform_fault(true));
        let whole = load.completed_streams.get();
        until("streams without the platform", || async {
            (load.completed_streams.get() >= whole + 8).then_some(())
        })
        .await;
        platform.set_fault(&platform_fault(false));
        load.wait_for_progress("load after the outage").await;
        load.stop_load.set(true);
    };

    join(load.run(), faults).await;

    load.check_calls(0).await;
    check_serving(&system, &[0, 1, 2]).await;
    let body = system.chat(0, "whole", 4).await.expect("an answer").1;
    assert_eq!(content(&body), expected("whole", 4));
}
