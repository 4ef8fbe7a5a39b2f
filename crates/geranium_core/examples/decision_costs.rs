//! Measures the CPU time and memory that routing and limits use on a host, for
//! capacity planning.
//!
//! ```text
//! cargo run --release -p geranium_core --example decision_costs
//! ```

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::limit::{
    AccountLimit, Admission, AdmissionOutcome, AdmissionRequest, AdmissionSettings,
    ColdBudgetHolder, ColdCreditUser, ColdSettings, CrashId, CrashRegistry, CrashSettings,
    RequestFingerprint, RetryBudget, RetryBudgetSettings, Ticket,
};
use geranium_core::prelude::*;
use geranium_core::record::{AccountShare, ModelSpec};
use geranium_core::route::{
    BlockHash, CacheChange, CacheEvent, Router, RouterSettings, block_hashes,
};

const GROUPS: usize = 140;
const BATCHES: usize = 50;

/// Measures [`BATCHES`] batches of `units` operations; prints the fastest and the
/// median time per operation.
fn measure(name: &str, units: u32, mut work: impl FnMut(usize)) {
    let mut nanos: Vec<u128> = (0..BATCHES)
        .map(|i| {
            let start = Instant::now();
            work(i);
            start.elapsed().as_nanos() / u128::from(units)
        })
        .collect();
    nanos.sort_unstable();
    println!(
        "{name:<52} fastest {:>8} ns, median {:>8} ns",
        nanos[0],
        nanos[BATCHES / 2]
    );
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits: String = line
        .unwrap_or("")
        .chars()
        .filter(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

fn group(i: usize, running: u32) -> ServingGroup {
    ServingGroup {
        group: GroupId::new(format!("g{i}")),
        record: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        failure_domain: FailureDomainId::new(format!("d{}", i % 27)),
        fabric_domain: FabricDomainId::new("f0"),
        head: HostId::new(format!("g{i}.h0")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        fencing: FencingNumber(1),
        generation: 1,
        temperature: Temperature::Cold,
        running,
        waiting: 0,
        kv_free_tokens: 0,
        cold_concurrency: 4,
        warm_concurrency: 64,
    }
}

fn record(accounts: usize) -> ModelSpec {
    let share = |i| AccountShare {
        account: AccountId::new(format!("a{i}")),
        weight: 1,
    };
    ModelSpec {
        name: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        weights: "w".into(),
        version: "1".into(),
        adapters: Vec::new(),
        hosts_per_replica: 8,
        placements: Vec::new(),
        accounts: (0..accounts).map(share).collect(),
        cold_concurrency: 4,
        warm_concurrency: 64,
    }
}

fn measure_routing() {
    let before = resident_kib();
    let mut router = Router::new(FailureDomainId::new("d0"), RouterSettings::default());
    router.update_records(&[record(10)]);
    let groups: Vec<_> = (0..GROUPS).map(|i| group(i, 0)).collect();
    router.update_groups(Timestamp(0), &groups);
    let mut next_block = 0_u64;
    measure("cache event, per block stored", 1_000 * 64, |i| {
        for j in 0..1_000 {
            let blocks = (next_block..next_block + 64)
                .map(|b| BlockHash(b.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            next_block += 64;
            router.cache_event(&CacheEvent {
                group: groups[j % GROUPS].group.clone(),
                generation: 1,
                sequence: (i * 1_000 + j) as u64,
                change: CacheChange::Stored(blocks.collect()),
            });
        }
    });
    let blocks = router.indexed_blocks();
    println!(
        "router with {blocks} blocks: {} KiB resident",
        resident_kib() - before
    );
    let loads: Vec<Vec<_>> = (0..2)
        .map(|load| (0..GROUPS).map(|i| group(i, load)).collect())
        .collect();
    measure("update_groups, 140 groups with new loads", 1, |i| {
        router.update_groups(Timestamp(i as u64 * 1_000), &loads[i % 2]);
    });
    let prompt = vec![7_u8; 64 * 1_024];
    measure("block hashes of a prompt, per KiB", 64, |_| {
        std::hint::black_box(block_hashes(1, &prompt, 256));
    });
}

fn measure_admission(accounts: usize) {
    let mut admission = Admission::new(AdmissionSettings::default(), 1);
    let names: Vec<_> = (0..accounts)
        .map(|i| AccountId::new(format!("a{i}")))
        .collect();
    let limits: Vec<_> = names
        .iter()
        .map(|account| AccountLimit {
            account: account.clone(),
            weight: 1,
            max_concurrent: 1_000,
        })
        .collect();
    admission.set_accounts(Timestamp(0), &limits);
    admission.set_capacity(Timestamp(0), 64);
    let mut running: std::collections::VecDeque<Ticket> = std::collections::VecDeque::new();
    let mut now = Timestamp(0);
    let units = 1_000;
    measure(
        &format!("admission, submit and finish, {accounts} busy accounts"),
        units,
        |i| {
            for j in 0..units as usize {
                now = now + Duration::from_millis(1);
                let req = AdmissionRequest {
                    account: &names[(i + j) % accounts],
                    priority: 5,
                    deadline: now + Duration::from_secs(60),
                };
                if let AdmissionOutcome::Admitted(ticket) = admission.submit(now, &req) {
                    running.push_back(ticket);
                }
                if running.len() >= 64 {
                    let Some(ticket) = running.pop_front() else {
                        continue;
                    };
                    let change = admission.finished(now, ticket);
                    running.extend(change.started.iter().map(|s| s.ticket));
                }
            }
        },
    );
}

fn measure_limits() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::retries());
    measure("retry budget, request and try", 10_000, |i| {
        for j in 0..10_000 {
            let now = Timestamp::from_millis((i * 10_000 + j) as u64);
            budget.request(now);
            std::hint::black_box(budget.try_retry(now));
        }
    });
    let now = Timestamp::from_millis(1_000_000);
    let mut holder = ColdBudgetHolder::new(ColdSettings::default());
    holder.extend_authority(now - Duration::from_secs(10), now + Duration::from_hours(1));
    holder.update_groups(now, &[group(0, 0)]);
    let id = GroupId::new("g0");
    holder.observe_load(&id, now, 0);
    let mut users: Vec<_> = (0..15)
        .map(|i| {
            let host = HostId::new(format!("e{i}"));
            ColdCreditUser::new(host, Incarnation(1), ColdSettings::default())
        })
        .collect();
    measure("cold credits, request and grant, 15 hosts", 15 * 100, |i| {
        for j in 0..100 {
            let now = now + Duration::from_millis((i * 100 + j) as u64 * 500);
            for user in &mut users {
                user.set_wanted(&id, 1, 2);
                for req in user.requests_due(now) {
                    if let Ok(grant) = holder.request(now, &req) {
                        user.granted(now, &grant);
                    }
                }
            }
        }
    });
    let (account, model) = (AccountId::new("a"), ModelId::new("m"));
    let content = vec![7_u8; 16 * 1_024];
    measure("fingerprint, per KiB", 16, |_| {
        std::hint::black_box(RequestFingerprint::of(&account, &model, &content));
    });
    measure_crashes(now);
}

fn measure_crashes(now: Timestamp) {
    let (account, model) = (AccountId::new("a"), ModelId::new("m"));
    let before = resident_kib();
    let mut registry = CrashRegistry::new(CrashSettings::default());
    measure("crash of a group with 64 requests in flight", 1, |i| {
        let fingerprints: Vec<_> = (0..64)
            .map(|j| RequestFingerprint::of(&account, &model, format!("{i} {j}").as_bytes()))
            .collect();
        let crash = CrashId {
            group: GroupId::new("g0"),
            generation: i as u64,
        };
        std::hint::black_box(registry.group_crashed(now, &crash, &fingerprints, None));
    });
    println!(
        "crash registry with {} requests: {} KiB resident",
        registry.len(),
        resident_kib().saturating_sub(before)
    );
}

fn main() {
    measure_routing();
    measure_admission(10);
    measure_admission(100);
    measure_limits();
}
