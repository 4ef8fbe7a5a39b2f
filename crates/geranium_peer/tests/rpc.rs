//! Calls between entry hosts over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use geranium_core::engine::{Assignment, EnginePhase, EngineReport};
use geranium_core::group::{GroupTable, Temperature};
use geranium_core::id::{
    FailureDomainId, FencingNumber, GroupId, HostId, Incarnation, ModelId, RecordName,
};
use geranium_core::limit::{
    ChargeState, CrashDigest, CrashId, CreditGrant, CreditRequest, ExplainedCrash,
    RequestFingerprint, SuspicionEntry,
};
use geranium_core::member::{
    ConfigStatus, DomainSummary, GroupSummary, Heartbeat, MemberInfo, MemberStatus, SharedDelta,
    SharedReport,
};
use geranium_core::record::replication::PullAnswer;
use geranium_core::record::{
    ConfigDigest, RecordIndex, RecordKey, RecordKind, StoredRecord, WriterId,
};
use geranium_core::time::{HybridTime, Timestamp};
use geranium_peer::prelude::*;
use serde_json::json;
use tokio::sync::Notify;

const TOKEN: &str = "shared-token";

fn member(name: &str) -> MemberInfo {
    MemberInfo {
        host: HostId::new(name),
        failure_domain: FailureDomainId::new("lima-1"),
        incarnation: Incarnation(7),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7_001)),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 8_001)),
        leaving: true,
    }
}

fn report(assignment: Option<Assignment>) -> SharedReport {
    let report = EngineReport {
        host: HostId::new("worker-1"),
        incarnation: Incarnation(3),
        sequence: 40,
        fencing: FencingNumber(12),
        assignment,
        phase: EnginePhase::Warm,
        leaving: true,
        running: 5,
        waiting: 2,
        kv_free_tokens: 9_000,
    };
    SharedReport {
        report,
        silent: true,
    }
}

fn assignment() -> Assignment {
    Assignment {
        group: GroupId::new("g1"),
        fencing: FencingNumber(12),
        model: "quill-70b".to_owned(),
        version: "3".to_owned(),
        adapters: vec!["tone-es".to_owned(), "tone-qu".to_owned()],
        rank: 1,
    }
}

fn summary() -> DomainSummary {
    DomainSummary {
        failure_domain: FailureDomainId::new("lima-2"),
        made_at: Timestamp(55),
        members: vec![MemberStatus {
            info: member("e9"),
            digest: ConfigDigest(99),
        }],
        groups: vec![GroupSummary {
            group: GroupId::new("g2"),
            record: RecordName::new("summary"),
            served_model: ModelId::new("summary"),
            temperature: Temperature::Warm,
            free_slots: 16,
        }],
    }
}

fn crashes() -> CrashDigest {
    let crash = |generation| CrashId {
        group: GroupId::new("g1"),
        generation,
    };
    CrashDigest {
        entries: vec![SuspicionEntry {
            fingerprint: RequestFingerprint([7; 16]),
            crashes: vec![
                (crash(4), ChargeState::Charged),
                (crash(5), ChargeState::Cleared),
            ],
            changed_at: Timestamp(77),
        }],
        explained: vec![ExplainedCrash {
            crash: crash(5),
            cause: RequestFingerprint([8; 16]),
            at: Timestamp(78),
        }],
    }
}

/// Returns a heartbeat in which no field has its default.
fn heartbeat(name: &str) -> Heartbeat {
    Heartbeat {
        sender: member(name),
        time: HybridTime {
            wall: Timestamp(1_000_001),
            counter: 3,
        },
        sent_at: Timestamp(1_000_002),
        echo: Timestamp(999_999),
        config: ConfigStatus {
            digest: ConfigDigest(0xdead_beef),
            records: 12,
            store_age: Some(Duration::from_millis(40)),
        },
        roster_digest: 17,
        roster: vec![member("e2"), member("e3")],
        acked_incarnation: Incarnation(8),
        acked: 21,
        delta: SharedDelta {
            after: 20,
            through: 25,
            reports: vec![report(None), report(Some(assignment()))],
            domains: vec![summary()],
            crashes: crashes(),
        },
    }
}

fn record(name: &str) -> StoredRecord {
    let key = RecordKey::new(RecordKind::Drain, RecordName::new(name));
    let document = json!({
        "schema_version": 2, "kind": "drain", "name": name,
        "target": {"host": "worker-1"}, "reason": "test"
    });
    let by = WriterId {
        incarnation: Incarnation(1),
        sequence: 2,
    };
    StoredRecord::following(None, key, Some(document), "ana", by, Timestamp(9))
}

fn index(records: &[StoredRecord]) -> RecordIndex {
    RecordIndex(records.iter().map(|r| (r.key.clone(), r.rank())).collect())
}

/// Remembers what was called; holds claims until it is told to go on.
#[derive(Default)]
struct Recorder {
    calls: Mutex<Vec<String>>,
    go_on: Notify,
}

#[derive(Clone, Default)]
struct Handler(Arc<Recorder>);

impl Handler {
    fn note(&self, call: impl std::fmt::Debug) {
        let mut calls = self.0.calls.lock().expect("no panic");
        calls.push(format!("{call:?}"));
    }

    fn calls(&self) -> Vec<String> {
        self.0.calls.lock().expect("no panic").clone()
    }
}

impl PeerHandler for Handler {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.note(&heartbeat);
        heartbeat
    }

    async fn pull_records(&self, caller: MemberInfo, held: RecordIndex) -> PullAnswer {
        self.note((&caller, &held));
        PullAnswer {
            records: vec![Arc::new(record("newer"))],
            wanted: held.0.into_keys().collect(),
            has_more: true,
        }
    }

    async fn push_records(&self, caller: MemberInfo, records: Vec<StoredRecord>) {
        self.note((&caller, &records));
    }

    async fn in_force(&self, keys: Vec<RecordKey>) -> RecordIndex {
        self.note(&keys);
        index(&[record("newer")])
    }

    async fn command(&self, command: PeerCommand) -> PeerReply {
        self.note(&command);
        match command {
            PeerCommand::Credits(request) => PeerReply::Credits(CreditGrant {
                group: request.group,
                generation: request.generation,
                sequence: request.sequence,
                credits: request.wanted - 1,
                asked_at: request.asked_at,
                warm: false,
            }),
            PeerCommand::OperatorAddress => {
                self.0.go_on.notified().await;
                PeerReply::OperatorAddress(any_port())
            }
            _ => PeerReply::Done,
        }
    }
}

/// Returns a client that waits long for a command.
fn patient_client() -> PeerClient {
    let mut config = PeerClientConfig::new(PeerToken::new(TOKEN));
    config.call_timeout = Duration::from_secs(20);
    PeerClient::start(config).expect("started")
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn server_config(address: SocketAddr) -> PeerServerConfig {
    PeerServerConfig::new(address, PeerToken::new(TOKEN))
}

fn serve(handler: &Handler) -> PeerServer {
    PeerServer::start(server_config(any_port()), handler.clone()).expect("started")
}

fn client(token: &str) -> PeerClient {
    PeerClient::start(PeerClientConfig::new(PeerToken::new(token))).expect("started")
}

/// Repeats a heartbeat until it is answered.
async fn heartbeat_until_answered(client: &PeerClient, to: SocketAddr) {
    let start = Instant::now();
    while client.heartbeat(to, heartbeat("e1")).await.is_err() {
        assert!(start.elapsed() < Duration::from_secs(20), "no answer");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_heartbeat_arrives_and_returns_with_every_field() {
    let handler = Handler::default();
    let server = serve(&handler);

    let answer = client(TOKEN)
        .heartbeat(server.address(), heartbeat("e1"))
        .await;

    assert_eq!(answer, Ok(heartbeat("e1")));
    assert_eq!(handler.calls(), [format!("{:?}", heartbeat("e1"))]);
}

#[tokio::test]
async fn records_are_pulled_and_pushed() {
    let handler = Handler::default();
    let server = serve(&handler);
    let (client, to) = (client(TOKEN), server.address());
    let held = index(&[record("held")]);

    let answer = client
        .pull_records(to, member("e1"), held.clone())
        .await
        .expect("answer");
    let pushed = vec![Arc::new(record("a")), Arc::new(record("b"))];
    client
        .push_records(to, member("e1"), pushed.clone())
        .await
        .expect("confirmed");
    let keys = vec![record("newer").key];
    let in_force = client.in_force(to, keys.clone()).await.expect("answer");

    assert_eq!(answer.records, [Arc::new(record("newer"))]);
    assert_eq!(answer.wanted, [record("held").key]);
    assert!(answer.has_more);
    assert_eq!(in_force, index(&[record("newer")]));
    assert_eq!(
        handler.calls(),
        [
            format!("{:?}", (member("e1"), held)),
            format!("{:?}", (member("e1"), pushed)),
            format!("{keys:?}"),
        ]
    );
}

#[tokio::test]
async fn commands_and_their_replies_are_carried() {
    let handler = Handler::default();
    let server = serve(&handler);
    let (client, to) = (client(TOKEN), server.address());
    let request = CreditRequest {
        user: HostId::new("e1"),
        incarnation: Incarnation(9),
        group: GroupId::new("g1"),
        generation: 4,
        sequence: 7,
        in_use: 1,
        keep: 1,
        wanted: 3,
        successes: 2,
        failures: 0,
        marked: true,
        marks: 1,
        asked_at: Timestamp(12),
    };
    let table = GroupTable::new(FailureDomainId::new("lima-1"));
    let commands = [
        PeerCommand::Credits(request),
        PeerCommand::Crashes(crashes()),
        PeerCommand::Table(Box::new(table)),
    ];

    let mut replies = Vec::new();
    for command in &commands {
        replies.push(client.command(to, command.clone()).await.expect("a reply"));
    }

    let PeerReply::Credits(grant) = &replies[0] else {
        panic!("no credits, but {:?}", replies[0]);
    };
    assert_eq!((grant.credits, grant.generation, grant.sequence), (2, 4, 7));
    assert_eq!(replies[1..], [PeerReply::Done, PeerReply::Done]);
    let noted: Vec<String> = commands.iter().map(|c| format!("{c:?}")).collect();
    assert_eq!(handler.calls(), noted);
}

#[tokio::test]
async fn a_wrong_token_is_refused_and_calls_nothing() {
    let handler = Handler::default();
    let server = serve(&handler);
    let to = server.address();

    for token in ["", "shared-tokeN", "shared-token-and-more"] {
        let answer = client(token).heartbeat(to, heartbeat("e1")).await;

        assert_eq!(answer, Err(PeerError::TokenRefused(to)));
    }
    assert!(handler.calls().is_empty());
}

#[tokio::test]
async fn a_call_without_an_answer_ends_in_time_and_others_go_on() {
    let handler = Handler::default();
    let server = serve(&handler);
    let mut config = PeerClientConfig::new(PeerToken::new(TOKEN));
    config.call_timeout = Duration::from_millis(300);
    let client = PeerClient::start(config).expect("started");
    let to = server.address();

    let held = client.command(to, PeerCommand::OperatorAddress).await;
    let answer = client.heartbeat(to, heartbeat("e1")).await;

    assert_eq!(
        held,
        Err(PeerError::Timeout(to, Duration::from_millis(300)))
    );
    assert!(answer.is_ok());
}

#[tokio::test]
async fn a_peer_that_is_gone_and_back_is_reached_again() {
    let handler = Handler::default();
    let server = serve(&handler);
    let (client, to) = (client(TOKEN), server.address());
    client.heartbeat(to, heartbeat("e1")).await.expect("answer");
    server.stop();

    let gone = client.heartbeat(to, heartbeat("e1")).await;
    let again = client.heartbeat(to, heartbeat("e1")).await;
    let server = PeerServer::start(server_config(to), handler.clone()).expect("started");
    heartbeat_until_answered(&client, to).await;

    assert!(gone.is_err());
    assert!(again.is_err());
    assert_eq!(server.address(), to);
}

#[tokio::test]
async fn an_unreachable_peer_is_not_tried_again_at_once() {
    let to = {
        let listener = std::net::TcpListener::bind(any_port()).expect("bound");
        listener.local_addr().expect("bound")
    };
    let client = client(TOKEN);

    let first = client.heartbeat(to, heartbeat("e1")).await;
    let second = client.heartbeat(to, heartbeat("e1")).await;

    assert!(
        matches!(first, Err(PeerError::Unreachable(..))),
        "{first:?}"
    );
    assert!(
        matches!(second, Err(PeerError::BackingOff(..))),
        "{second:?}"
    );
}

#[tokio::test]
async fn calls_above_the_limit_fail_at_once_and_are_not_carried_out() {
    let handler = Handler::default();
    let mut config = server_config(any_port());
    config.max_calls = 1;
    let server = PeerServer::start(config, handler.clone()).expect("started");
    let (client, to) = (patient_client(), server.address());
    let held = tokio::spawn({
        let client = client.clone();
        async move { client.command(to, PeerCommand::OperatorAddress).await }
    });
    while handler.calls().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    let refused = client.heartbeat(to, heartbeat("e1")).await;
    handler.0.go_on.notify_one();
    let held = held.await.expect("no panic");

    assert_eq!(refused, Err(PeerError::Overloaded(to)));
    assert!(held.is_ok());
    assert_eq!(handler.calls().len(), 1);
}

#[tokio::test]
async fn a_stop_lets_the_calls_in_progress_end() {
    let handler = Handler::default();
    let server = serve(&handler);
    let (client, to) = (patient_client(), server.address());
    let held = tokio::spawn({
        let client = client.clone();
        async move { client.command(to, PeerCommand::OperatorAddress).await }
    });
    while handler.calls().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    let stopping = tokio::task::spawn_blocking(move || server.stop());
    handler.0.go_on.notify_one();
    stopping.await.expect("no panic");

    assert!(held.await.expect("no panic").is_ok());
}

/// Waits until the server closes a connection; returns what it sent before.
fn read_to_end(stream: &mut TcpStream) -> usize {
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    let mut buf = Vec::new();
    match stream.read_to_end(&mut buf) {
        Ok(len) => len,
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => 0,
        Err(e) => panic!("not closed: {e}"),
    }
}

#[tokio::test]
async fn a_connection_without_a_token_is_closed() {
    let handler = Handler::default();
    let mut config = server_config(any_port());
    config.token_timeout = Duration::from_millis(300);
    let server = PeerServer::start(config, handler.clone()).expect("started");

    let mut silent = TcpStream::connect(server.address()).expect("connected");

    read_to_end(&mut silent);
}

#[tokio::test]
async fn oversize_and_malformed_messages_end_only_their_connection() {
    let handler = Handler::default();
    let server = serve(&handler);
    // One segment of 16 MiB: its length in words, little-endian.
    let oversize = [0, 0, 0, 0, 0, 0, 0x20, 0];
    let malformed = [0xff; 64];

    for bytes in [&oversize[..], &malformed[..]] {
        let mut stream = TcpStream::connect(server.address()).expect("connected");
        stream.write_all(bytes).expect("sent");
        read_to_end(&mut stream);
    }

    let answer = client(TOKEN)
        .heartbeat(server.address(), heartbeat("e1"))
        .await;
    assert!(answer.is_ok());
    assert_eq!(handler.calls().len(), 1);
}

#[tokio::test]
async fn connections_above_the_limit_are_closed_at_once() {
    let handler = Handler::default();
    let mut config = server_config(any_port());
    config.max_connections = 1;
    let server = PeerServer::start(config, handler.clone()).expect("started");
    let client = client(TOKEN);
    client
        .heartbeat(server.address(), heartbeat("e1"))
        .await
        .expect("answer");

    let mut second = TcpStream::connect(server.address()).expect("connected");
    read_to_end(&mut second);

    let answer = client.heartbeat(server.address(), heartbeat("e1")).await;
    assert!(answer.is_ok());
}

#[test]
fn the_token_is_not_shown() {
    let token = PeerToken::new(TOKEN);

    assert!(!format!("{token:?}").contains(TOKEN));
    assert!(token.matches(TOKEN.as_bytes()));
    assert!(!token.matches(b"shared"));
}
