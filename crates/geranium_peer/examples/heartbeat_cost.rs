//! Prints the bytes and the processor time of heartbeat exchanges over loopback.
//!
//! `cargo run --release -p geranium_peer --example heartbeat_cost`

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use geranium_core::engine::{Assignment, EnginePhase, EngineReport};
use geranium_core::group::Temperature;
use geranium_core::id::{
    FailureDomainId, FencingNumber, GroupId, HostId, Incarnation, ModelId, RecordName,
};
use geranium_core::limit::CrashDigest;
use geranium_core::member::{
    ConfigStatus, DomainSummary, GroupSummary, Heartbeat, MemberInfo, MemberStatus, SharedDelta,
    SharedReport,
};
use geranium_core::record::replication::PullAnswer;
use geranium_core::record::{ConfigDigest, RecordIndex, RecordKey, StoredRecord};
use geranium_core::time::{HybridTime, Timestamp};
use geranium_peer::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Exchanges of each measurement.
const EXCHANGES: u64 = 5_000;

/// Clock ticks of the system's processor times, per second.
const TICKS_PER_SECOND: u64 = 100;

/// Answers heartbeats as they came and nothing else.
struct Echo;

impl PeerHandler for Echo {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        heartbeat
    }

    async fn pull_records(&self, _: MemberInfo, _: RecordIndex) -> PullAnswer {
        PullAnswer::default()
    }

    async fn push_records(&self, _: MemberInfo, _: Vec<StoredRecord>) {}

    async fn in_force(&self, _: Vec<RecordKey>) -> RecordIndex {
        RecordIndex::default()
    }

    async fn command(&self, _: PeerCommand) -> PeerReply {
        PeerReply::Done
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let token = PeerToken::new("figures");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PeerServer::start(PeerServerConfig::new(any_port, token.clone()), Echo)?;
    let client = PeerClient::start(PeerClientConfig::new(token))?;
    let bytes = Arc::new(AtomicU64::new(0));
    let relay = start_relay(server.address(), Arc::clone(&bytes)).await?;

    for (name, heartbeat) in [
        ("nothing new", heartbeat(0, 0)),
        ("1 report", heartbeat(1, 0)),
        ("6 reports", heartbeat(6, 0)),
        ("summary of 15 hosts and 5 groups", heartbeat(0, 15)),
    ] {
        client.heartbeat(relay, heartbeat.clone()).await?;
        let before = bytes.load(Ordering::Relaxed);
        for _ in 0..EXCHANGES {
            client.heartbeat(relay, heartbeat.clone()).await?;
        }
        let sent = (bytes.load(Ordering::Relaxed) - before) / EXCHANGES;

        let ticks = processor_ticks()?;
        for _ in 0..EXCHANGES {
            client
                .heartbeat(server.address(), heartbeat.clone())
                .await?;
        }
        let ticks = processor_ticks()? - ticks;
        let micros = ticks * 1_000_000 / TICKS_PER_SECOND / EXCHANGES;
        println!(
            "{name}: {sent} bytes an exchange, both directions; \
             {micros} us of processor time, both sides"
        );
    }
    Ok(())
}

/// Forwards connections to a server and counts the bytes.
async fn start_relay(to: SocketAddr, bytes: Arc<AtomicU64>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else {
                continue;
            };
            let (near_reader, near_writer) = near.into_split();
            let (far_reader, far_writer) = far.into_split();
            tokio::spawn(forward(near_reader, far_writer, Arc::clone(&bytes)));
            tokio::spawn(forward(far_reader, near_writer, Arc::clone(&bytes)));
        }
    });
    Ok(address)
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buf = vec![0; 64 * 1_024];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
        bytes.fetch_add(len as u64, Ordering::Relaxed);
    }
}

/// Returns the processor time of this process, in clock ticks.
fn processor_ticks() -> Result<u64, Box<dyn std::error::Error>> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat.rsplit_once(')').ok_or("no process name")?;
    let mut times = fields.split_whitespace().skip(11);
    let user: u64 = times.next().ok_or("no user time")?.parse()?;
    let system: u64 = times.next().ok_or("no system time")?.parse()?;
    Ok(user + system)
}

fn member(number: u16) -> MemberInfo {
    MemberInfo {
        host: HostId::new(format!("lima-1-entry-{number}")),
        failure_domain: FailureDomainId::new("lima-1"),
        incarnation: Incarnation(1_700_000_000_000_000),
        peer_address: SocketAddr::from(([10, 0, 1, 20], 7_000 + number)),
        caller_address: SocketAddr::from(([10, 0, 1, 20], 8_000 + number)),
        leaving: false,
    }
}

fn report(number: usize) -> SharedReport {
    let assignment = Assignment {
        group: GroupId::new(format!("lima-1-group-{number}")),
        fencing: FencingNumber(1_000),
        model: "quill-70b".to_owned(),
        version: "2026-11-30".to_owned(),
        adapters: vec!["tone-es".to_owned()],
        rank: 0,
    };
    let report = EngineReport {
        host: HostId::new(format!("lima-1-worker-{number}")),
        incarnation: Incarnation(1_700_000_000_000_000),
        sequence: 1_000,
        fencing: FencingNumber(1_000),
        assignment: Some(assignment),
        phase: EnginePhase::Warm,
        leaving: false,
        running: 12,
        waiting: 3,
        kv_free_tokens: 100_000,
    };
    SharedReport {
        report,
        silent: false,
    }
}

fn summary(hosts: u16) -> DomainSummary {
    let members = (0..hosts).map(|number| MemberStatus {
        info: member(number),
        digest: ConfigDigest(0xfeed_beef),
    });
    let groups = (0..5).map(|number| GroupSummary {
        group: GroupId::new(format!("lima-1-group-{number}")),
        record: RecordName::new("summary"),
        served_model: ModelId::new("summary"),
        temperature: Temperature::Warm,
        free_slots: 16,
    });
    DomainSummary {
        failure_domain: FailureDomainId::new("lima-1"),
        made_at: Timestamp(1_700_000_000_000_000),
        members: members.collect(),
        groups: groups.collect(),
    }
}

/// Returns a heartbeat with some reports, and a summary unless it has no hosts.
fn heartbeat(reports: usize, summary_hosts: u16) -> Heartbeat {
    let domains = (summary_hosts > 0).then(|| summary(summary_hosts));
    Heartbeat {
        sender: member(1),
        time: HybridTime::default(),
        sent_at: Timestamp(1),
        echo: Timestamp(1),
        config: ConfigStatus::default(),
        roster_digest: 17,
        roster: Vec::new(),
        acked_incarnation: Incarnation(8),
        acked: 21,
        delta: SharedDelta {
            after: 20,
            through: 25,
            reports: (0..reports).map(report).collect(),
            domains: domains.into_iter().collect(),
            crashes: CrashDigest::default(),
        },
    }
}
