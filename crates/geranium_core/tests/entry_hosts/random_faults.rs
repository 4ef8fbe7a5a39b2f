//! Property test with random faults: records never revert, and all hosts and the
//! store agree once the faults end.

use std::collections::BTreeMap;
use std::time::Duration;

use geranium_core::id::Incarnation;
use geranium_core::record::{RecordKey, RecordRank};
use proptest::prelude::*;

use crate::fleet::{Fleet, address, drain};
use crate::store::Store;

const DOMAINS: usize = 3;
const HOSTS: usize = 2;
const RECORDS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Apply(usize, usize, usize),
    ApplyUnanswered(usize, usize, usize),
    CutFromStore(usize, usize, bool),
    CutDomain(usize, bool),
    StoreDown(bool),
    Backup,
    Restore,
    Restart(usize, usize),
    Pause(usize, usize),
    Resume(usize, usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let host = || (0..DOMAINS, 0..HOSTS);
    prop_oneof![
        4 => (host(), 0..RECORDS).prop_map(|((d, h), r)| Step::Apply(d, h, r)),
        1 => (host(), 0..RECORDS).prop_map(|((d, h), r)| Step::ApplyUnanswered(d, h, r)),
        2 => (host(), any::<bool>()).prop_map(|((d, h), b)| Step::CutFromStore(d, h, b)),
        1 => (0..DOMAINS, any::<bool>()).prop_map(|(d, b)| Step::CutDomain(d, b)),
        1 => any::<bool>().prop_map(Step::StoreDown),
        1 => Just(Step::Backup),
        1 => Just(Step::Restore),
        1 => host().prop_map(|(d, h)| Step::Restart(d, h)),
        1 => host().prop_map(|(d, h)| Step::Pause(d, h)),
        1 => host().prop_map(|(d, h)| Step::Resume(d, h)),
        4 => (1_u64..5_000).prop_map(Step::Wait),
    ]
}

/// A fleet, a backup of its store and the newest record versions that each process
/// has held.
struct FaultScenario {
    fleet: Fleet,
    backup: Store,
    seen: BTreeMap<(Incarnation, RecordKey), RecordRank>,
    changes: usize,
}

impl FaultScenario {
    fn start() -> Self {
        let mut fleet = Fleet::start(DOMAINS, HOSTS);
        fleet.lost_per_mille = 20;
        fleet.run(Duration::from_secs(5));
        let backup = fleet.store.clone();
        Self {
            fleet,
            backup,
            seen: BTreeMap::new(),
            changes: 0,
        }
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Apply(d, h, r) => self.apply(d, h, r, true),
            Step::ApplyUnanswered(d, h, r) => self.apply(d, h, r, false),
            Step::CutFromStore(d, h, is_cut) => self.fleet.cut_host_from_store(d, h, is_cut),
            Step::CutDomain(d, is_cut) => self.fleet.cut_domain(d, is_cut),
            Step::StoreDown(is_down) => self.fleet.set_store_down(is_down),
            Step::Backup => self.backup = self.fleet.store.clone(),
            Step::Restore => self.restore(),
            Step::Restart(d, h) => self.restart(d, h),
            Step::Pause(d, h) => self.fleet.pause(d, h),
            Step::Resume(d, h) => self.fleet.resume(d, h),
            Step::Wait(millis) => self.fleet.run(Duration::from_millis(millis)),
        }
        self.check_no_revert();
    }

    fn apply(&mut self, domain: usize, host: usize, record: usize, is_answered: bool) {
        if !self.fleet.can_apply(domain, host) {
            return;
        }
        self.changes += 1;
        let value = drain(&format!("r{record}"), self.changes);
        self.fleet.apply_with(domain, host, value, is_answered);
    }

    /// Replaces the store's contents with the backup; every watch fails.
    fn restore(&mut self) {
        let is_down = self.fleet.store.is_down;
        self.fleet.set_store_down(true);
        self.fleet.run(Duration::from_secs(1));
        self.fleet.store.values = self.backup.values.clone();
        self.fleet.store.revision = self.backup.revision;
        self.fleet.set_store_down(is_down);
    }

    fn restart(&mut self, domain: usize, host: usize) {
        let seeds: Vec<_> = (0..DOMAINS).map(|d| address(d, 0)).collect();
        self.fleet.start_host(domain, host, &seeds);
    }

    /// Ends all faults and gives the fleet time to converge.
    fn end_faults(&mut self) {
        for domain in 0..DOMAINS {
            self.fleet.cut_domain(domain, false);
            for host in 0..HOSTS {
                self.fleet.cut_host_from_store(domain, host, false);
                self.fleet.resume(domain, host);
            }
        }
        self.fleet.set_store_down(false);
        self.fleet.lost_per_mille = 0;
        self.fleet.run(Duration::from_secs(120));
        self.check_no_revert();
    }

    fn check_no_revert(&mut self) {
        for host in self.fleet.hosts.values() {
            for (key, rank) in host.replica.records().index().0 {
                let seen = self
                    .seen
                    .entry((host.info.incarnation, key))
                    .or_insert(rank);
                assert!(*seen <= rank, "{} reverted to {rank:?}", host.info.host);
                *seen = rank;
            }
        }
    }

    /// Checks that every host and the store hold the same versions, which are at least
    /// the newest that any live process has held.
    fn check_agreement(&self) {
        let hosts: Vec<_> = self.fleet.hosts.values().collect();
        let index = hosts[0].replica.records().index();
        for host in &hosts {
            assert_eq!(host.replica.records().index(), index, "{}", host.info.host);
            for (key, rank) in &index.0 {
                let seen = self.seen.get(&(host.info.incarnation, key.clone()));
                assert!(seen.is_none_or(|seen| seen <= rank));
            }
        }
        for (key, rank) in &index.0 {
            let stored = self.fleet.store.values.get(key).map(|(r, _)| r.rank());
            assert_eq!(stored, Some(*rank), "version of {key} in the store");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn records_never_revert_and_agree_once_faults_end(
        steps in proptest::collection::vec(step(), 1..40)
    ) {
        let mut scenario = FaultScenario::start();

        for step in steps {
            scenario.apply_step(step);
        }
        scenario.end_faults();

        scenario.check_agreement();
    }
}
