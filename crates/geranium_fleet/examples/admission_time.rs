//! Measures the time of one decision about a request at 200 groups and 200 entry hosts.
//!
//! `cargo run --release -p geranium_fleet --example admission_time`

use std::hint::black_box;
use std::time::{Duration, Instant};

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const GROUPS: u32 = 200;
const ENTRY_HOSTS: usize = 200;
const ACCOUNTS: u32 = 200;
const DECISIONS: u32 = 100_000;
const SLOTS: u32 = 48;
const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn profile() -> EngineProfile {
    EngineProfile {
        slots: SLOTS,
        models: vec![ModelProfile {
            name: "m".into(),
            group_size: 6,
            time_factor: 1.0,
            initial_share: 1.0,
            load_time: Duration::from_secs(12),
            warm_time: Duration::from_millis(1_100),
        }],
        step_ms: 8.0,
        per_request_ms: 0.1,
        prefill_tokens_per_s: 45_000.0,
        prefill_chunk: 2_048.0,
        steps_per_pass: 5,
        mean_prompt_tokens: 1_000.0,
        mean_output_tokens: 150.0,
        max_loads_per_s: 14.0,
        max_concurrent_loads: 20,
        open_time: Duration::from_millis(300),
    }
}

fn group(i: u32) -> Host {
    Host {
        id: format!("g{i:03}").as_str().into(),
        incarnation: 1,
        service: "engines".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".into(),
        slots: SLOTS,
        state: HostState::Ready,
        heartbeat: None,
        cold_until: None,
        last_model: None,
        fabric_domain: None,
        staged: Vec::new(),
        model: None,
        group: KnownGroup::default(),
    }
}

/// Returns the mean time of a decision; `load` is the number of requests at each group.
fn measure(load: f64, is_ordered: bool) -> Duration {
    let profile = profile();
    let mut directory = Directory::default();
    let mut loads = HashMap::default();
    for host in (0..GROUPS).map(group) {
        loads.insert(host.id.clone(), load);
        directory.put(host);
    }
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.set_peer_requests(&loads, NOW);
    let accounts: Vec<String> = (0..ACCOUNTS).map(|i| format!("account{i}")).collect();
    let mut admission = ModelAdmission::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let began = Instant::now();
    for account in accounts.iter().cycle().take(DECISIONS as usize) {
        let query = AdmissionQuery {
            estimate: FirstTokenEstimate::new(&profile, &profile.models[0]),
            account,
            priority: 1,
            peer_priorities: PrioritySet::default(),
            objective: Duration::from_millis(250),
            prompt_tokens: 714.0,
        };
        let max_running = f64::from(SLOTS);
        let limits = is_ordered.then(|| {
            admission.record_request(&query, NOW);
            admission.limits(&query, max_running, NOW)
        });
        let criteria = DispatchCriteria {
            service: "engines",
            model: None,
            tried: &[],
            cold_limit: None,
            entry_hosts: ENTRY_HOSTS,
            max_running: limits.map_or(max_running, |l| l.max_running),
            request_time: Some(Duration::from_secs(1)),
        };
        let choice = dispatcher.choose(&directory, &criteria, NOW, &mut rng);
        if let Ok(choice) = black_box(choice) {
            dispatcher.finish_request(&choice.host.id);
        }
    }
    began.elapsed() / DECISIONS
}

fn main() {
    println!("without order: {:?}", measure(5.0, false));
    println!("with order: {:?}", measure(5.0, true));
}
