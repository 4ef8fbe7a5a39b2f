//! Measures the CPU time of a routing decision.
//!
//! ```text
//! cargo run --release -p geranium_core --example route_decision
//! ```

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::prelude::*;
use geranium_core::record::{AccountShare, ModelSpec};
use geranium_core::route::{
    BlockHash, CacheChange, CacheEvent, EntryHost, NoColdCredits, RouteQuery, Router,
    RouterSettings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const GROUPS: usize = 140;
const CACHED_PREFIXES: u64 = 1_000;
const BLOCKS_PER_PREFIX: u64 = 100;
const BATCHES: usize = 200;
const DECISIONS_PER_BATCH: u32 = 1_000;

fn group(i: usize, domains: usize) -> ServingGroup {
    ServingGroup {
        group: GroupId::new(format!("g{i}")),
        record: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        failure_domain: FailureDomainId::new(format!("d{}", i % domains)),
        fabric_domain: FabricDomainId::new("f0"),
        head: HostId::new(format!("g{i}.h0")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        fencing: FencingNumber(1),
        generation: 1,
        temperature: Temperature::Warm,
        // Every local group is near its limit, so that the router considers all groups.
        running: 60,
        waiting: 0,
        kv_free_tokens: 0,
        cold_concurrency: 2,
        warm_concurrency: 64,
    }
}

fn record() -> ModelSpec {
    ModelSpec {
        name: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        weights: "w".into(),
        version: "1".into(),
        adapters: Vec::new(),
        hosts_per_replica: 8,
        placements: Vec::new(),
        accounts: vec![AccountShare {
            account: AccountId::new("a"),
            weight: 1,
        }],
        cold_concurrency: 2,
        warm_concurrency: 64,
    }
}

fn prefix(i: u64) -> Vec<BlockHash> {
    let mut rng = SmallRng::seed_from_u64(i);
    (0..BLOCKS_PER_PREFIX)
        .map(|_| BlockHash(rng.random()))
        .collect()
}

fn router(domains: usize) -> Router {
    let groups: Vec<_> = (0..GROUPS).map(|i| group(i, domains)).collect();
    let mut router = Router::new(FailureDomainId::new("d0"), RouterSettings::default());
    router.update_records(&[record()]);
    router.update_groups(Timestamp(0), &groups);
    let entry_hosts: Vec<_> = (0..domains)
        .map(|i| EntryHost {
            host: HostId::new(format!("e{i}")),
            failure_domain: FailureDomainId::new(format!("d{i}")),
        })
        .collect();
    router.update_entry_hosts(&entry_hosts);
    for i in 0..CACHED_PREFIXES {
        let holders = groups.iter().skip(i as usize % 7).step_by(7);
        for holder in holders {
            router.cache_event(&CacheEvent {
                group: holder.group.clone(),
                generation: 1,
                sequence: i,
                change: CacheChange::Stored(prefix(i)),
            });
        }
    }
    router
}

/// Returns the time per decision of each batch, in nanoseconds and ascending order.
fn measure(domains: usize) -> Vec<u64> {
    let mut router = router(domains);
    let mut rng = SmallRng::seed_from_u64(1);
    let prefixes: Vec<_> = (0..CACHED_PREFIXES).map(prefix).collect();
    let (model, account) = (ModelId::new("m"), AccountId::new("a"));
    let mut now = Timestamp::from_millis(1_000_000);
    let mut nanos = Vec::with_capacity(BATCHES);
    for _ in 0..BATCHES {
        let start = Instant::now();
        for _ in 0..DECISIONS_PER_BATCH {
            now = now + Duration::from_micros(100);
            let query = RouteQuery {
                model: &model,
                account: &account,
                prefix: &prefixes[rng.random_range(0..prefixes.len())],
                exclude: &[],
                forwarded: false,
            };
            let choice = router.choose(now, &query, &NoColdCredits, &mut rng);
            std::hint::black_box(choice.expect("a group"));
        }
        let batch = start.elapsed().as_nanos() as u64;
        nanos.push(batch / u64::from(DECISIONS_PER_BATCH));
    }
    nanos.sort_unstable();
    nanos
}

fn main() {
    println!("{GROUPS} groups, {BLOCKS_PER_PREFIX} blocks per prompt; ns per decision");
    for domains in [1, 27] {
        let nanos = measure(domains);
        let quantile = |percent: usize| nanos[(nanos.len() - 1) * percent / 100];
        println!(
            "{domains:>2} failure domains: fastest batch {}, median {}, slowest {}",
            quantile(0),
            quantile(50),
            quantile(100)
        );
    }
}
