//! Tests of the detection of requests that crash backend servers.

use std::time::Duration;

use geranium_core::limit::{
    CrashId, CrashRegistry, CrashSettings, CrashVerdict, RequestFingerprint, TrialHolder,
    TrialRefusal, TrialRequest,
};
use geranium_core::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const TRIAL: Duration = Duration::from_secs(10);

fn fingerprint(content: &str) -> RequestFingerprint {
    RequestFingerprint::of(&AccountId::new("a"), &ModelId::new("m"), content.as_bytes())
}

fn crash(group: &str, generation: u64) -> CrashId {
    CrashId {
        group: GroupId::new(group),
        generation,
    }
}

fn registry() -> CrashRegistry {
    CrashRegistry::new(CrashSettings::default())
}

/// Returns a trial holder that may grant trials at [`START`].
fn holder() -> TrialHolder {
    let mut holder = TrialHolder::new(TRIAL, Duration::from_millis(100));
    let gained = START - Duration::from_secs(20);
    holder.extend_authority(gained, START + Duration::from_hours(1));
    holder
}

fn trial(group: &str, generation: u64, fingerprint: RequestFingerprint) -> TrialRequest {
    TrialRequest {
        user: HostId::new("e1"),
        incarnation: Incarnation(1),
        group: GroupId::new(group),
        generation,
        fingerprint,
        asked_at: START,
    }
}

#[test]
fn fingerprints_differ_by_account_model_and_content() {
    let of = |account: &str, model: &str, content: &str| {
        let (account, model) = (AccountId::new(account), ModelId::new(model));
        RequestFingerprint::of(&account, &model, content.as_bytes())
    };

    let same = [of("a", "m", "x"), of("a", "m", "x")];
    let others = [of("b", "m", "x"), of("a", "n", "x"), of("a", "mx", "")];

    assert_eq!(same[0], same[1]);
    assert!(others.iter().all(|other| *other != same[0]));
}

#[test]
fn request_is_refused_after_its_second_crash_on_any_host() {
    let x = fingerprint("x");
    let [mut here, mut peer] = [registry(), registry()];
    let digest = here.group_crashed(START, &crash("g1", 1), &[x], None);
    peer.import(START, &digest);
    let after_first = peer.verdict(START, &x);

    let digest = peer.group_crashed(START, &crash("g2", 1), &[x], Some(x));
    here.import(START, &digest);
    here.import(START, &digest);

    let events = here.take_events();
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].kind, EventKind::CrashSuspected);
    assert_eq!(after_first, CrashVerdict::Suspect);
    assert_eq!(here.verdict(START, &x), CrashVerdict::Refused);
    assert_eq!(peer.verdict(START, &x), CrashVerdict::Refused);
}

#[test]
fn crash_reported_twice_counts_once() {
    let x = fingerprint("x");
    let mut registry = registry();

    let digest = registry.group_crashed(START, &crash("g1", 1), &[x, x], None);
    registry.import(START, &digest);
    registry.group_crashed(START, &crash("g1", 1), &[x], None);

    assert_eq!(registry.verdict(START, &x), CrashVerdict::Suspect);
}

#[test]
fn requests_beside_a_suspect_on_trial_are_not_charged_on_any_host() {
    let [x, n] = [fingerprint("x"), fingerprint("n")];
    let [mut here, mut peer] = [registry(), registry()];
    let digest = here.group_crashed(START, &crash("g1", 1), &[x, n], None);
    peer.import(START, &digest);
    // The peer cannot reach the trial holder and charges its own request.
    let peer_digest = peer.group_crashed(START, &crash("g2", 1), &[n], None);

    let digest = here.group_crashed(START, &crash("g2", 1), &[x], Some(x));
    here.import(START, &peer_digest);
    peer.import(START, &digest);

    for registry in [&here, &peer] {
        assert_eq!(registry.verdict(START, &x), CrashVerdict::Refused);
        assert_eq!(registry.verdict(START, &n), CrashVerdict::Suspect);
    }
}

#[test]
fn completed_suspect_is_cleared_on_every_host_in_any_message_order() {
    let n = fingerprint("n");
    let [mut here, mut peer] = [registry(), registry()];
    let charged = here.group_crashed(START, &crash("g1", 1), &[n], None);

    let cleared = here.succeeded(START, &n);
    peer.import(START, &cleared);
    peer.import(START, &charged);

    assert_eq!(here.verdict(START, &n), CrashVerdict::Clear);
    assert_eq!(peer.verdict(START, &n), CrashVerdict::Clear);
}

#[test]
fn refused_request_survives_eviction_and_is_forgotten_after_the_retention() {
    let settings = CrashSettings {
        max_entries: 10,
        ..CrashSettings::default()
    };
    let x = fingerprint("x");
    let mut registry = CrashRegistry::new(settings);
    registry.group_crashed(START, &crash("g1", 1), &[x], None);
    registry.group_crashed(START, &crash("g2", 1), &[x], None);

    let many: Vec<_> = (0..100).map(|i| fingerprint(&format!("{i}"))).collect();
    let later = START + Duration::from_secs(60);
    registry.group_crashed(later, &crash("g3", 1), &many, None);

    assert_eq!(registry.len(), 10);
    assert_eq!(registry.verdict(later, &x), CrashVerdict::Refused);
    let expired = START + settings.retention;
    assert_eq!(registry.verdict(expired, &x), CrashVerdict::Clear);
}

#[test]
fn request_cleared_many_times_is_still_refused_after_two_crashes() {
    let x = fingerprint("x");
    let mut registry = registry();
    for generation in 0..10 {
        registry.group_crashed(START, &crash("g1", generation), &[x], None);
        registry.succeeded(START, &x);
    }

    registry.group_crashed(START, &crash("g2", 1), &[x], None);
    registry.group_crashed(START, &crash("g3", 1), &[x], None);

    assert_eq!(registry.verdict(START, &x), CrashVerdict::Refused);
}

#[test]
fn export_transfers_the_whole_registry_to_a_new_peer() {
    let [x, n] = [fingerprint("x"), fingerprint("n")];
    let [mut here, mut new] = [registry(), registry()];
    here.group_crashed(START, &crash("g1", 1), &[x, n], None);
    here.group_crashed(START, &crash("g2", 1), &[x, n], Some(x));

    new.import(START, &here.export());

    assert_eq!(new.verdict(START, &x), CrashVerdict::Refused);
    assert_eq!(new.verdict(START, &n), CrashVerdict::Suspect);
}

#[test]
fn group_runs_one_trial_at_a_time() {
    let mut holder = holder();
    let [x, n] = [fingerprint("x"), fingerprint("n")];

    let first = holder.request(START, &trial("g1", 1, x));
    let second = holder.request(START, &trial("g1", 1, n));
    holder.release(&trial("g1", 1, x));
    let third = holder.request(START, &trial("g1", 1, n));

    assert!(first.is_ok());
    assert!(matches!(second, Err(TrialRefusal::Busy(..))));
    assert!(third.is_ok());
}

#[test]
fn new_holder_of_trials_waits_until_earlier_ones_have_ended() {
    let mut new = TrialHolder::new(TRIAL, Duration::ZERO);
    new.extend_authority(START, START + Duration::from_hours(1));
    let req = trial("g1", 1, fingerprint("x"));

    let early = new.request(START, &req);
    let late = new.request(START + TRIAL, &req);

    assert_eq!(early, Err(TrialRefusal::Waiting(START + TRIAL)));
    assert!(late.is_ok());
}

#[test]
fn holder_reports_the_suspect_of_a_crash_after_the_group_restarted() {
    let mut holder = holder();
    let [x, n] = [fingerprint("x"), fingerprint("n")];
    assert!(holder.request(START, &trial("g1", 1, x)).is_ok());

    let next = holder.request(START, &trial("g1", 2, n));

    assert!(next.is_ok());
    assert_eq!(holder.suspect(&crash("g1", 1)), Some(x));
    assert_eq!(holder.suspect(&crash("g1", 2)), Some(n));
    assert_eq!(holder.suspect(&crash("g1", 3)), None);
}

/// Simulation of entry hosts and groups; a group crashes when it runs `poison`.
struct Fleet {
    registries: Vec<CrashRegistry>,
    holder: TrialHolder,
    generations: Vec<u64>,
    /// Requests in flight on each group, with the index of their entry host.
    in_flight: Vec<Vec<(usize, RequestFingerprint)>>,
    poison: RequestFingerprint,
    crashes: u32,
    rng: SmallRng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            registries: (0..4).map(|_| registry()).collect(),
            holder: holder(),
            generations: vec![1; 5],
            in_flight: vec![Vec::new(); 5],
            poison: fingerprint("poison"),
            crashes: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sends a request through a random entry host; returns whether it was refused.
    fn send(&mut self, now: Timestamp, request: RequestFingerprint) -> bool {
        let host = self.rng.random_range(0..self.registries.len());
        let group = self.rng.random_range(0..self.generations.len());
        match self.registries[host].verdict(now, &request) {
            CrashVerdict::Refused => return true,
            CrashVerdict::Clear => {}
            CrashVerdict::Suspect => {
                let name = format!("g{group}");
                let req = trial(&name, self.generations[group], request);
                if self.holder.request(now, &req).is_err() {
                    return false;
                }
                if request != self.poison {
                    // It passes the point of the crash and then runs as a normal request.
                    self.holder.release(&req);
                }
            }
        }
        self.in_flight[group].push((host, request));
        if request == self.poison {
            self.crash(now, group);
        }
        false
    }

    fn crash(&mut self, now: Timestamp, group: usize) {
        self.crashes += 1;
        let crash = crash(&format!("g{group}"), self.generations[group]);
        self.generations[group] += 1;
        let lost = std::mem::take(&mut self.in_flight[group]);
        for host in 0..self.registries.len() {
            let own = lost.iter().filter(|(h, _)| *h == host).map(|(_, f)| *f);
            let own: Vec<_> = own.collect();
            let on_trial = self.holder.suspect(&crash);
            let digest = self.registries[host].group_crashed(now, &crash, &own, on_trial);
            for peer in &mut self.registries {
                peer.import(now, &digest);
            }
        }
    }

    fn finish_some(&mut self, now: Timestamp) {
        let group = self.rng.random_range(0..self.in_flight.len());
        if let Some((host, request)) = self.in_flight[group].pop() {
            let digest = self.registries[host].succeeded(now, &request);
            for peer in &mut self.registries {
                peer.import(now, &digest);
            }
        }
    }
}

#[test]
fn poison_request_crashes_two_groups_and_other_requests_are_never_refused() {
    let others: Vec<_> = (0..40).map(|i| fingerprint(&format!("n{i}"))).collect();
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed);
        let mut refused = 0;
        for i in 0..400 {
            let now = START + Duration::from_millis(i * 500);
            let other = *others.choose(&mut fleet.rng).expect("list is not empty");
            assert!(!fleet.send(now, other), "a harmless request was refused");
            if i % 10 == 5 {
                refused += u32::from(fleet.send(now, fleet.poison));
            }
            fleet.finish_some(now);
        }

        assert_eq!(fleet.crashes, 2, "seed {seed}");
        assert!(refused > 30, "seed {seed}: {refused} resends refused");
    }
}
