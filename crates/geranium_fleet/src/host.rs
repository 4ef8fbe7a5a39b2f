//! Backend servers and the state that they report.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::known_group::KnownGroup;
use crate::order::{HostOrder, OrderAnswer};
use crate::report_effect::ReportEffect;

/// Identifier of a backend server.
pub type HostId = Arc<str>;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It takes new work.
    Ready,
    /// It is leaving and takes no new work.
    Draining,
}

/// State of a group as reported by one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupState {
    /// The member is preparing the weights.
    Joining,
    /// The member is prepared; the group does not serve yet.
    Ready,
    /// The head serves requests.
    Open,
    /// The head finishes its running work and takes no new work.
    Closing,
    /// The group lost a member and has stopped for good.
    Broken,
}

impl GroupState {
    /// Returns the state as it appears in metrics and views.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Broken => "broken",
        }
    }
}

/// Membership of a host in a group, as reported by the host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: Arc<str>,
    /// Epoch of the join.
    pub epoch: u64,
    /// Position in the list of members; 0 is the head.
    pub rank: usize,
    /// State of the group.
    pub state: GroupState,
}

impl fmt::Display for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            group,
            epoch,
            rank,
            state,
        } = self;
        write!(f, "{group}/{epoch}/{rank}/{}", state.as_str())
    }
}

/// State of a host as returned by a direct query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Incarnation of the host: the start time of its process in Unix milliseconds.
    pub born: u64,
    /// Number of orders that this incarnation has begun.
    pub orders_begun: u64,
    /// Group that the host belongs to.
    pub membership: Option<Membership>,
    /// Model that the host runs now.
    pub model: Option<Arc<str>>,
    /// Models whose weights are staged on the host.
    pub staged: Vec<Arc<str>>,
    /// Whether the host announced that it is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// A backend server in its last known state.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Identifier.
    pub id: HostId,
    /// Start time of the process in Unix milliseconds; distinguishes restarts under the
    /// same id.
    pub incarnation: u64,
    /// Service that the host belongs to.
    pub service: Arc<str>,
    /// Network address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the host takes new work.
    pub state: HostState,
    /// Number of the heartbeat with which this incarnation wrote its entry, if the entry states
    /// one.
    pub heartbeat: Option<u64>,
    /// End of the cold start, if the host is cold.
    pub cold_until: Option<Timestamp>,
    /// Fabric domain, for hosts of model engines.
    pub fabric_domain: Option<Arc<str>>,
    /// Models whose weights are staged on the host.
    pub staged: Vec<Arc<str>>,
    /// Model that the host runs now.
    pub model: Option<Arc<str>>,
    /// Group that the host belongs to, with the order count that it is known at. The entry
    /// contains no count.
    pub group: KnownGroup,
    /// Model of the last group in which this incarnation was seen ready; it can join a
    /// group of that model again at once. The entry does not contain it.
    pub last_model: Option<Arc<str>>,
}

impl Host {
    /// Adds what is known of the same incarnation to a host that was read from its entry.
    pub(crate) fn merge_known(&mut self, known: &Self) {
        // An entry from before does not return a draining host to service.
        if known.state == HostState::Draining && !is_later(self.heartbeat, known.heartbeat) {
            self.state = HostState::Draining;
        }
        self.heartbeat = self.heartbeat.max(known.heartbeat);
        self.cold_until = self.cold_until.max(known.cold_until);
        self.last_model.clone_from(&known.last_model);
        let shown = std::mem::replace(&mut self.group, known.group.clone());
        self.group.observe_entry(&shown);
        if self.membership() == shown.membership() {
            self.group.observe_staged(&self.staged);
        } else {
            // The weights and the model are of the same time as the group that is set aside.
            self.model.clone_from(&known.model);
            self.staged.clone_from(&known.staged);
        }
    }

    /// Applies the host's report about itself. One of a later incarnation replaces all that is
    /// known of the work of the earlier one.
    pub(crate) fn apply_report(&mut self, report: &HostReport) -> ReportEffect {
        if report.born < self.incarnation {
            return ReportEffect::Older;
        }
        if report.born > self.incarnation {
            self.incarnation = report.born;
            self.group = KnownGroup::default();
            self.last_model = None;
        }
        let effect = self.group.observe_report(report);
        // A report that lags behind shows an older state of the same group.
        if effect == ReportEffect::Older || self.membership() != report.membership.as_ref() {
            return effect;
        }
        self.group.observe_staged(&report.staged);
        if self.model == report.model && self.staged == report.staged {
            return effect;
        }
        self.model.clone_from(&report.model);
        self.staged.clone_from(&report.staged);
        self.update_last_model();
        ReportEffect::Replaced
    }

    /// Applies an order that the host accepted.
    pub(crate) fn record_accepted_order(&mut self, order: &HostOrder, answer: OrderAnswer) {
        self.group.record_accepted(order, answer);
        let runs_no_model = self
            .group_state()
            .is_none_or(|state| state == GroupState::Joining);
        if runs_no_model {
            self.model = None;
        }
    }

    /// Updates the last model from the current group, if the host has finished joining.
    pub(crate) fn update_last_model(&mut self) {
        let joined = self.membership();
        if joined.is_some_and(|m| m.state != GroupState::Joining) && self.model.is_some() {
            self.last_model.clone_from(&self.model);
        }
    }

    /// Returns the membership, or `None` if the host is in no group.
    #[must_use]
    pub const fn membership(&self) -> Option<&Membership> {
        self.group.membership()
    }

    /// Returns the state of the host's group, if it is in one.
    #[must_use]
    pub fn group_state(&self) -> Option<GroupState> {
        self.membership().map(|m| m.state)
    }

    /// Returns whether the host is the head of a serving group.
    #[must_use]
    pub fn is_open_head(&self) -> bool {
        let membership = self.membership();
        membership.is_some_and(|m| m.rank == 0 && m.state == GroupState::Open)
    }

    /// Returns whether the weights of a model are staged on the host.
    #[must_use]
    pub fn has_staged(&self, model: &str) -> bool {
        self.staged.iter().any(|s| &**s == model)
    }
}

/// Returns whether one heartbeat of an incarnation is certainly later than another.
pub(crate) fn is_later(heartbeat: Option<u64>, than: Option<u64>) -> bool {
    than.is_some() && heartbeat > than
}
