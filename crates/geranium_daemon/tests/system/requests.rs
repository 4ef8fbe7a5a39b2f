//! Tests requests and streams while engines and entry hosts fail.

use futures::StreamExt;
use geranium_engine::{ChatRequest, CompletionEvent, CompletionStream};
use geranium_fakes::engine::EngineFault;
use geranium_net::{ApiError, ResponseMemory};
use hyper::StatusCode;
use std::time::Duration;

use geranium_fakes::system::until;
use geranium_fakes::system::{DESK_KEY, DomainSize, System, content, expected};

use crate::GERANIUMD;

const ONE_DOMAIN: DomainSize = DomainSize::new("lima-1", 1, 4);

async fn serving_system(groups: u32, domain: DomainSize) -> System {
    let system = System::start(GERANIUMD, &[domain], |cfg| {
        cfg.token_time = Duration::from_millis(4);
    })
    .await;
    system.apply_model(&[(domain.name, groups)], 2).await;
    system.wait_serving(domain.name, groups as usize).await;
    system.chat_until_ok(0, "first", 2).await;
    system
}

async fn open_stream(system: &System, entry: usize, prompt: &str, tokens: u32) -> CompletionStream {
    let mut chat = ChatRequest::user("summary", prompt);
    chat.max_tokens = tokens;
    let at = system.entry(entry).caller;
    until("an open stream", || async {
        let req = system.chat_request(entry, &chat);
        let res = system.http.send(req, Duration::from_secs(20)).await.ok()?;
        let whole = res.status() == StatusCode::OK;
        whole.then(|| {
            CompletionStream::new(at, res.into_body(), 1 << 20, &ResponseMemory::new(4 << 20))
        })
    })
    .await
}

async fn read_text(stream: &mut CompletionStream, pieces: usize) -> String {
    let mut text = String::new();
    for _ in 0..pieces {
        match stream.next().await {
            Some(Ok(CompletionEvent::Piece(piece))) => {
                text.push_str(&piece.text().expect("a chunk"));
            }
            other => panic!("expected a chunk, got {other:?}"),
        }
    }
    text
}

async fn read_to_end(stream: &mut CompletionStream) -> String {
    let mut text = String::new();
    loop {
        match stream.next().await {
            Some(Ok(CompletionEvent::Piece(piece))) => {
                text.push_str(&piece.text().expect("a chunk"));
            }
            Some(Ok(CompletionEvent::Done)) => return text,
            other => panic!("the stream ended early: {other:?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_and_streamed_answers_are_those_of_the_model() {
    let system = serving_system(1, ONE_DOMAIN).await;

    let (status, body) = system.chat(0, "say it", 12).await.expect("an answer");
    let mut stream = open_stream(&system, 0, "say it", 12).await;
    let streamed = read_to_end(&mut stream).await;

    assert_eq!(status, StatusCode::OK);
    assert_eq!(content(&body), expected("say it", 12));
    assert_eq!(streamed, expected("say it", 12));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_typed_refusals_before_any_engine_sees_it() {
    let system = serving_system(1, ONE_DOMAIN).await;
    let executions = |system: &System| -> u64 {
        system
            .engines
            .iter()
            .flatten()
            .map(|e| e.stats().executions)
            .sum()
    };
    let before = executions(&system);
    let valid = r#"{"model":"summary","messages":[{"role":"user","content":"x"}]}"#;
    let unknown = r#"{"model":"nothing","messages":[]}"#;
    let oversize = format!(r#"{{"model":"{}"}}"#, "x".repeat(2 << 20));
    let cases: Vec<(&str, &str, &str, StatusCode, &str)> = vec![
        (
            "wrong-key",
            valid,
            "1000",
            StatusCode::UNAUTHORIZED,
            "unknown_account",
        ),
        (
            DESK_KEY,
            unknown,
            "1000",
            StatusCode::NOT_FOUND,
            "unknown_model",
        ),
        (
            DESK_KEY,
            "{",
            "1000",
            StatusCode::BAD_REQUEST,
            "malformed_body",
        ),
        (
            DESK_KEY,
            &oversize,
            "1000",
            StatusCode::PAYLOAD_TOO_LARGE,
            "oversize_body",
        ),
        (
            DESK_KEY,
            valid,
            "soon",
            StatusCode::BAD_REQUEST,
            "invalid_deadline",
        ),
        (
            DESK_KEY,
            valid,
            "0",
            StatusCode::BAD_REQUEST,
            "invalid_deadline",
        ),
    ];

    for (key, body, deadline, status, kind) in cases {
        let at = system.entry(0).caller;
        let req = geranium_net::HttpRequest::post(at, "/v1/chat/completions")
            .header_text("authorization", &format!("Bearer {key}"))
            .and_then(|req| req.header_text("x-deadline-ms", deadline))
            .expect("a request")
            .body(bytes::Bytes::from(body.to_owned()));
        let answer = system
            .http
            .send_buffered(req, Duration::from_secs(5))
            .await
            .expect("answer");
        let refusal = ApiError::parse(answer.0, &answer.1).expect("a typed refusal");
        assert_eq!((refusal.status, refusal.kind.as_str()), (status, kind));
        assert_eq!(refusal.ran, Some(false));
    }
    assert_eq!(executions(&system), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_resumed_on_another_group_without_a_token_lost_or_doubled() {
    let system = serving_system(2, ONE_DOMAIN).await;
    system.warm_up(0).await;
    let mut stream = open_stream(&system, 0, "a long story", 200).await;
    let mut text = read_text(&mut stream, 20).await;
    let status = system.status(0).await;
    let busy = status
        .groups
        .iter()
        .map(|g| system.head_of(g.group.as_str()));
    let busy = busy
        .max_by_key(|&head| system.engine(head).report().running)
        .expect("a group");

    system.engine(busy).set_fault(&EngineFault {
        fail_over: true,
        ..EngineFault::default()
    });
    text.push_str(&read_to_end(&mut stream).await);

    assert_eq!(text, expected("a long story", 200));
    let resumed: u64 = system
        .engines
        .iter()
        .flatten()
        .map(|e| e.stats().resumed)
        .sum();
    let mismatches: u64 = system
        .engines
        .iter()
        .flatten()
        .map(|e| e.stats().resume_mismatches)
        .sum();
    assert_eq!((resumed, mismatches), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_survives_a_member_that_is_not_rank_0() {
    let system = serving_system(2, ONE_DOMAIN).await;
    system.warm_up(0).await;
    let mut stream = open_stream(&system, 0, "another story", 400).await;
    let mut text = read_text(&mut stream, 10).await;
    let status = system.status(0).await;
    let heads = status
        .groups
        .iter()
        .map(|g| (g, system.head_of(g.group.as_str())));
    let (group, _) = heads
        .max_by_key(|(_, head)| system.engine(*head).report().running)
        .expect("a group");
    let member = group.members[1].host.clone();
    let position = system
        .engines
        .iter()
        .flatten()
        .position(|e| *e.host() == member)
        .expect("the member");

    system.engine(position).set_fault(&EngineFault {
        fail_over: true,
        ..EngineFault::default()
    });
    text.push_str(&read_to_end(&mut stream).await);

    assert_eq!(text, expected("another story", 400));
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_frees_its_slot() {
    let system = serving_system(1, ONE_DOMAIN).await;
    let mut stream = open_stream(&system, 0, "never read to its end", 100_000).await;
    read_text(&mut stream, 3).await;

    drop(stream);

    until("an idle engine", || async {
        let running: u32 = system
            .engines
            .iter()
            .flatten()
            .map(|e| e.report().running)
            .sum();
        (running == 0).then_some(())
    })
    .await;
    let status = system.status(0).await;
    assert_eq!(status.groups.iter().filter(|g| g.open).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_off_no_request() {
    let mut system = serving_system(1, ONE_DOMAIN).await;
    let mut stream = open_stream(&system, 0, "told to its end", 300).await;
    let mut text = read_text(&mut stream, 5).await;

    system.entries[0].terminate();
    text.push_str(&read_to_end(&mut stream).await);
    drop(stream);

    assert_eq!(text, expected("told to its end", 300));
    let entry = &mut system.entries[0];
    let code = until("the end of the process", || {
        let code = entry.exit_code();
        async move { code }
    })
    .await;
    assert_eq!(code, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_group_gets_no_more_than_it_bears() {
    let domain = DomainSize {
        engines: 2,
        ..ONE_DOMAIN
    };
    let system = System::start(GERANIUMD, &[domain], |cfg| {
        cfg.token_time = Duration::from_millis(2);
        cfg.cold_capacity = 2;
        cfg.warm_after = 12;
    })
    .await;
    system.apply_model(&[("lima-1", 1)], 2).await;
    system.wait_serving("lima-1", 1).await;

    let calls = (0..24).map(|i| {
        let system = &system;
        async move { system.chat_until_ok(0, &format!("burst {i}"), 4).await }
    });
    let answers = futures::future::join_all(calls).await;

    for (i, answer) in answers.iter().enumerate() {
        assert_eq!(*answer, expected(&format!("burst {i}"), 4));
    }
    let over_capacity: u64 = system
        .engines
        .iter()
        .flatten()
        .map(|e| e.stats().over_capacity)
        .sum();
    assert_eq!(over_capacity, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_engines_is_refused_before_a_third_group_dies() {
    let domain = DomainSize {
        engines: 6,
        ..ONE_DOMAIN
    };
    let system = System::start(GERANIUMD, &[domain], |cfg| {
        cfg.crash_marker = Some("poison".to_owned());
        cfg.warm_after = 1;
    })
    .await;
    system.apply_model(&[("lima-1", 3)], 2).await;
    system.wait_serving("lima-1", 3).await;
    system.chat_until_ok(0, "first", 2).await;
    let crashes = |system: &System| -> u64 {
        system
            .engines
            .iter()
            .flatten()
            .map(|e| e.stats().crashes)
            .sum()
    };

    let refusal = until("the typed refusal", || async {
        let (status, body) = system.chat(0, "poison", 8).await.ok()?;
        let refusal = ApiError::parse(status, &body)?;
        (refusal.kind == "request_crashes_servers").then_some(refusal)
    })
    .await;
    for _ in 0..5 {
        let (status, _) = system.chat(0, "poison", 8).await.expect("a refusal");
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    }

    assert_eq!(refusal.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(crashes(&system) <= 2, "{} groups crashed", crashes(&system));
}

/// Returns how many callers disconnected before their answer was complete.
async fn disconnected_callers(system: &System) -> u64 {
    let at = system.entry(0).operator;
    let req = geranium_net::HttpRequest::get(at, "/metrics");
    let (_, body) = system
        .http
        .send_buffered(req, Duration::from_secs(5))
        .await
        .expect("metrics");
    let text = String::from_utf8_lossy(&body).into_owned();
    let left = text.lines().find(|line| line.contains("\"caller_left\""));
    let count = left.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    count.unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_ends_a_request_that_no_group_has_accepted() {
    // Shorter than the timeout for a group that does not accept a request.
    const ENGINE_PAUSE: Duration = Duration::from_millis(4_000);
    const CALLER_TIMEOUT: Duration = Duration::from_millis(300);
    let system = serving_system(1, ONE_DOMAIN).await;

    // Repeats an attempt in which the engine resumed before the host was checked, because it
    // proves nothing.
    until("an end while the engine stands still", || async {
        system.chat_until_ok(0, "before the pause", 2).await;
        let before = disconnected_callers(&system).await;
        for engine in system.engines.iter().flatten() {
            engine.set_fault(&EngineFault {
                pause_ms: u64::try_from(ENGINE_PAUSE.as_millis()).ok(),
                ..EngineFault::default()
            });
        }
        let start = std::time::Instant::now();
        let chat = ChatRequest::user("summary", "nobody waits for it");
        let req = system.chat_request(0, &chat);
        let answer = system.http.send_buffered(req, CALLER_TIMEOUT).await;
        assert!(answer.is_err(), "a paused engine answered");
        while start.elapsed() < ENGINE_PAUSE {
            let ended = disconnected_callers(&system).await > before;
            if ended && start.elapsed() < ENGINE_PAUSE {
                return Some(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_fails_is_counted_once() {
    let system = serving_system(1, ONE_DOMAIN).await;
    let mut chat = ChatRequest::user("summary", "never in time");
    chat.stream = false;
    chat.max_tokens = 10_000;
    let req = system
        .chat_request(0, &chat)
        .header_text("x-deadline-ms", "300")
        .expect("a request");

    let answer = system
        .http
        .send_buffered(req, Duration::from_secs(20))
        .await;

    let (status, _) = answer.expect("an answer");
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    let metrics = geranium_net::HttpRequest::get(system.entry(0).operator, "/metrics");
    let (_, text) = system
        .http
        .send_buffered(metrics, Duration::from_secs(20))
        .await
        .expect("metrics");
    let text = String::from_utf8(text.to_vec()).expect("text");
    let line = text.lines().find(|line| line.contains("deadline_passed"));
    assert!(line.is_some_and(|line| line.ends_with(" 1")), "{line:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_first_token_of_another_failure_domain_is_not_retried() {
    let domains = [
        DomainSize::new("lima-1", 1, 0),
        DomainSize::new("lima-2", 1, 2),
    ];
    let system = System::start(GERANIUMD, &domains, |cfg| {
        cfg.token_time = Duration::from_millis(1_500);
        cfg.warm_after = 1;
    })
    .await;
    system.apply_model(&[("lima-2", 1)], 2).await;
    system.wait_serving("lima-2", 1).await;
    system.chat_until_ok(1, "first", 1).await;
    system.warm_up(1).await;
    let executions = || -> u64 {
        let engines = system.engines.iter().flatten();
        engines.map(|e| e.stats().executions).sum()
    };
    let before = executions();

    let answer = system.chat_until_ok(0, "from afar", 1).await;

    assert_eq!(answer, expected("from afar", 1));
    assert_eq!(executions(), before + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_lost_chunk_never_looks_complete() {
    let system = serving_system(2, ONE_DOMAIN).await;
    system.warm_up(0).await;
    let lose = |every| EngineFault {
        lose_every: Some(every),
        ..EngineFault::default()
    };
    for engine in system.engines.iter().flatten() {
        engine.set_fault(&lose(7));
    }

    let (status, body) = system.chat(0, "with a hole", 20).await.expect("an answer");
    let mut chat = ChatRequest::user("summary", "with a hole");
    chat.max_tokens = 20;
    let req = system.chat_request(0, &chat);
    let streamed = system
        .http
        .send_buffered(req, Duration::from_secs(30))
        .await;
    for engine in system.engines.iter().flatten() {
        engine.set_fault(&lose(0));
    }
    let after_faults = system.chat_until_ok(0, "with a hole", 20).await;

    assert_ne!(status, StatusCode::OK, "{body:?}");
    let (_, streamed) = streamed.expect("an answer");
    let streamed = String::from_utf8(streamed.to_vec()).expect("text");
    assert!(!streamed.contains("[DONE]"), "{streamed}");
    assert_eq!(after_faults, expected("with a hole", 20));
}

#[tokio::test(flavor = "multi_thread")]
async fn reordered_and_duplicated_chunks_give_the_same_answer() {
    let system = serving_system(1, ONE_DOMAIN).await;
    let fault = EngineFault {
        swap_every: Some(5),
        repeat_every: Some(3),
        ..EngineFault::default()
    };
    for engine in system.engines.iter().flatten() {
        engine.set_fault(&fault);
    }

    let whole = system.chat_until_ok(0, "shuffled", 40).await;
    let mut stream = open_stream(&system, 0, "shuffled", 40).await;
    let streamed = read_to_end(&mut stream).await;

    assert_eq!(whole, expected("shuffled", 40));
    assert_eq!(streamed, expected("shuffled", 40));
}
