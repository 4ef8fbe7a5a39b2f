//! Steps of the control half.

use std::fmt;
use std::time::Duration;

use geranium_core::group::OutagePolicy;
use geranium_core::record::DrainTarget;

use super::fleet::REPLICAS;
use super::measure::WatchedGroup;
use super::{Fleet, Rig};

/// Time that a domain stays out of service, and that a leaving host stays.
const OUT_TIME: Duration = Duration::from_millis(9_000);

/// Time within which nothing that is taken out may get new work.
const NEW_WORK_LIMIT: Duration = Duration::from_millis(2_000);

/// Time that a replaced entry host needs to start.
const RESTART_TIME: Duration = Duration::from_millis(2_000);

/// Time that a request in progress at the step takes.
const REQUEST_TIME: Duration = Duration::from_millis(6_000);

/// A step of the control half.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// Groups are formed for a new record.
    Formation,
    /// A group is repaired after a member died.
    Repair,
    /// A record changes the version of the weights.
    ConfigurationChange,
    /// The failure domain is taken out of service and comes back.
    DomainOutAndBack,
    /// A backend server host leaves.
    Leaving,
    /// The leading entry host is replaced.
    LeaderChange,
}

impl Step {
    /// Every step.
    pub const ALL: &'static [Self] = &[
        Self::Formation,
        Self::Repair,
        Self::ConfigurationChange,
        Self::DomainOutAndBack,
        Self::Leaving,
        Self::LeaderChange,
    ];

    /// Returns the name of the column.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Formation => "formation",
            Self::Repair => "repair",
            Self::ConfigurationChange => "configuration-change",
            Self::DomainOutAndBack => "domain-out-and-back",
            Self::Leaving => "leaving",
            Self::LeaderChange => "leader-change",
        }
    }

    /// Returns whether groups serve already when the step begins.
    #[must_use]
    pub const fn starts_with_groups(self) -> bool {
        !matches!(self, Self::Formation)
    }

    /// Returns how long after its beginning the step has its last part.
    #[must_use]
    pub const fn length(self) -> Duration {
        match self {
            Self::DomainOutAndBack | Self::Leaving => OUT_TIME,
            Self::LeaderChange => RESTART_TIME,
            Self::Formation | Self::Repair | Self::ConfigurationChange => Duration::ZERO,
        }
    }

    /// Begins the step.
    pub fn begin<P: OutagePolicy + Clone>(self, rig: &mut Rig<P>) {
        if self.starts_with_groups() {
            start_requests(rig);
        }
        match self {
            Self::Formation => {
                rig.wanted = REPLICAS as usize;
                rig.set_records(&[Fleet::record("v1", REPLICAS)], &[]);
            }
            Self::Repair => lose_member(rig),
            Self::ConfigurationChange => rig.set_records(&[Fleet::record("v2", REPLICAS)], &[]),
            Self::DomainOutAndBack => {
                rig.wanted = 0;
                take_domain_out(rig);
            }
            Self::Leaving => {
                if let Some(host) = rig.member(0, 1) {
                    let limit = rig.now + NEW_WORK_LIMIT;
                    let position = rig.engine_position(&host);
                    rig.oracle.leaving_since.insert(host, limit);
                    rig.start_leaving(position);
                }
            }
            Self::LeaderChange => {
                if let Some(leader) = rig.leader() {
                    rig.entries[leader].alive = false;
                }
            }
        }
    }

    /// Ends the step after its [`Step::length`].
    pub fn end<P: OutagePolicy + Clone>(self, rig: &mut Rig<P>) {
        match self {
            Self::DomainOutAndBack => {
                rig.oracle.domain_out_since = None;
                rig.wanted = REPLICAS as usize;
                rig.set_records(&[Fleet::record("v1", REPLICAS)], &[]);
            }
            Self::Leaving => {
                for engine in rig.engines.iter_mut().filter(|e| e.leaving) {
                    engine.alive = false;
                }
            }
            Self::LeaderChange => {
                let dead = rig.entries.iter().position(|entry| !entry.alive);
                if let Some(position) = dead {
                    rig.replace_entry(position);
                }
            }
            Self::Formation | Self::Repair | Self::ConfigurationChange => {}
        }
    }

    /// Returns the version that the record asks for at the end.
    #[must_use]
    pub const fn final_version(self) -> &'static str {
        match self {
            Self::ConfigurationChange => "v2",
            _ => "v1",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Takes the failure domain out of service by a record.
pub(super) fn take_domain_out<P: OutagePolicy + Clone>(rig: &mut Rig<P>) {
    let drained = [DrainTarget::FailureDomain(Fleet::failure_domain())];
    rig.oracle.domain_out_since = Some(rig.now + NEW_WORK_LIMIT);
    rig.set_records(&[Fleet::record("v1", REPLICAS)], &drained);
}

fn start_requests<P: OutagePolicy + Clone>(rig: &mut Rig<P>) {
    for group in 0..REPLICAS as usize {
        if let Some(head) = rig.member(group, 0) {
            let position = rig.engine_position(&head);
            rig.engines[position].start_request(rig.now, REQUEST_TIME);
        }
    }
}

fn lose_member<P: OutagePolicy + Clone>(rig: &mut Rig<P>) {
    let Some(host) = rig.member(0, 1) else {
        return;
    };
    let table = rig.stored_table();
    let found = table.and_then(|table| table.group_of(&host));
    rig.watched = found.map(|(id, group)| WatchedGroup {
        group: id.clone(),
        fencing: group.fencing,
        lost_at: rig.now,
    });
    let position = rig.engine_position(&host);
    rig.engines[position].alive = false;
}
