//! What is known of a backend server's group, together with the order count it was known at.

use std::fmt;
use std::sync::Arc;

use crate::evidence::Evidence;
use crate::hidden_work::HiddenWork;
use crate::host::{GroupState, HostReport, Membership};
use crate::order::{HostOrder, OrderAnswer, OrderKind};
use crate::report_effect::ReportEffect;

/// How the order count relates to the group beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Certainty {
    /// The host has begun at least this number of orders. Its group is what was shown last.
    #[default]
    AtLeast,
    /// Nothing shows that the host has begun an order: it is in no group, and the count is 0. If
    /// this is wrong, the host refuses its first order.
    Assumed,
    /// The host was in this group when it had begun exactly this number of orders.
    Exact,
    /// As `Exact`, but an entry contradicts it, and either may be the newer one.
    Contested,
}

/// The group of a backend server as last known.
///
/// Only orders make a host join or leave a group, and each that does raises its order count. So
/// if a host was in a group at a count, it was in this group as long as the count stayed the
/// same, and an order that names the count is refused once the host is elsewhere. This holds
/// for the group, not for its state, which also changes without an order.
///
/// A count must not be used beside a group from another source. An entry states no count and
/// may take effect late. So an entry advances the state of the known group, but does not replace
/// a group that is known with its count. If it shows another group, or a state that the known one
/// reaches only by a further order, the group is contested until the host was asked.
///
/// # Examples
///
/// ```
/// use geranium_fleet::prelude::*;
///
/// let head = Membership { group: "g".into(), epoch: 1, rank: 0, state: GroupState::Open };
/// let mut known = KnownGroup::default();
/// known.observe_report(&HostReport {
///     born: 1, orders_begun: 2, membership: Some(head.clone()), model: None, staged: vec![], leaving: false,
/// });
/// assert_eq!(known.order_count(), Some(2));
///
/// known.observe_entry(&KnownGroup::from_entry(None, Evidence::Unstated));
/// assert_eq!(known.membership(), Some(&head));
/// assert_eq!(known.order_count(), None, "the host has to be asked");
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownGroup {
    membership: Option<Membership>,
    orders_begun: u64,
    certainty: Certainty,
    hidden_work: HiddenWork,
    evidence: Evidence,
}

impl KnownGroup {
    /// Creates what the first entry of an incarnation tells.
    #[must_use]
    pub fn from_entry(membership: Option<Membership>, evidence: Evidence) -> Self {
        let certainty = match membership {
            Some(_) => Certainty::AtLeast,
            None => Certainty::Assumed,
        };
        Self {
            membership,
            certainty,
            evidence,
            ..Self::default()
        }
    }

    /// Returns the membership, or `None` if the host is in no group. Only with an order count is
    /// it certain.
    #[must_use]
    pub const fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// Returns the number of orders that the host had certainly begun when it was in this
    /// group; `None` if the host has to be asked for it.
    #[must_use]
    pub fn order_count(&self) -> Option<u64> {
        let is_usable = matches!(self.certainty, Certainty::Assumed | Certainty::Exact);
        is_usable.then_some(self.orders_begun)
    }

    /// Sets the source of what is known.
    pub const fn set_evidence(&mut self, evidence: Evidence) {
        self.evidence = evidence;
    }

    /// Returns what the host may have begun unseen by the known count.
    #[must_use]
    pub const fn hidden_work(&self) -> &HiddenWork {
        &self.hidden_work
    }

    /// Returns whether the host itself or its entry has shown the group, and not only its
    /// answer to an order.
    #[must_use]
    pub fn is_shown(&self) -> bool {
        self.evidence != Evidence::Answer
    }

    /// Takes note of what an entry shows.
    pub fn observe_entry(&mut self, entry: &Self) {
        let (known, shown) = (self.membership(), entry.membership());
        let is_same = is_same_group(known, shown);
        if is_same && (known == shown || self.may_become(shown)) {
            self.membership.clone_from(&entry.membership);
            self.evidence = entry.evidence;
            if self.certainty == Certainty::Contested {
                self.certainty = Certainty::Exact;
            }
            return;
        }
        match self.certainty {
            Certainty::Exact | Certainty::Contested => self.certainty = Certainty::Contested,
            Certainty::Assumed | Certainty::AtLeast if !is_same => {
                self.certainty = Certainty::AtLeast;
                self.membership.clone_from(&entry.membership);
                self.evidence = entry.evidence;
            }
            Certainty::Assumed | Certainty::AtLeast => {}
        }
    }

    /// Returns whether an entry contradicts the group that is known with its order count.
    #[must_use]
    pub fn is_contested(&self) -> bool {
        self.certainty == Certainty::Contested
    }

    /// Takes note of a report, which states a group and a count of the same time; returns what
    /// it adds.
    pub fn observe_report(&mut self, report: &HostReport) -> ReportEffect {
        if report.orders_begun < self.orders_begun {
            return ReportEffect::Older;
        }
        let is_counted = matches!(self.certainty, Certainty::Exact | Certainty::Contested);
        let is_same = is_same_group(self.membership.as_ref(), report.membership.as_ref());
        if is_counted && is_same && report.orders_begun == self.orders_begun {
            self.certainty = Certainty::Exact;
            self.evidence = Evidence::Report;
            let shown = report.membership.as_ref();
            if self.membership() == shown || !self.may_have_become(shown) {
                return ReportEffect::Confirmed;
            }
            self.membership.clone_from(&report.membership);
            return ReportEffect::Replaced;
        }
        let before = self.membership.take();
        self.membership.clone_from(&report.membership);
        self.orders_begun = report.orders_begun;
        self.certainty = Certainty::Exact;
        self.hidden_work = HiddenWork::at_count(report.orders_begun);
        self.evidence = Evidence::Report;
        if before == self.membership {
            ReportEffect::Confirmed
        } else {
            ReportEffect::Replaced
        }
    }

    /// Takes note of an order that the host accepted.
    ///
    /// The count rises, and the group changes with it, only if the order certainly began
    /// something. If it may have, the count is a lower bound from then on.
    pub(crate) fn record_accepted(&mut self, order: &HostOrder, answer: OrderAnswer) {
        // Otherwise the count was read anew since the order was sent.
        if !self.is_known_at(order.expected_count) {
            return;
        }
        if !self.hidden_work.has_begun(&order.kind, answer) {
            self.certainty = Certainty::AtLeast;
            return;
        }
        self.orders_begun += 1;
        self.certainty = Certainty::Exact;
        match &order.kind {
            OrderKind::Join {
                group,
                epoch,
                members,
                ..
            } => {
                let rank = members.iter().position(|m| *m == order.host);
                self.membership = rank.map(|rank| Membership {
                    group: group.clone(),
                    epoch: *epoch,
                    rank,
                    state: GroupState::Joining,
                });
                self.evidence = Evidence::Answer;
            }
            OrderKind::Leave { .. } => {
                self.membership = None;
                self.evidence = Evidence::Answer;
            }
            OrderKind::Open { .. } | OrderKind::Close { .. } | OrderKind::Stage { .. } => {}
        }
    }

    /// Takes note of an order that did not match the host's state or order count.
    pub(crate) fn record_conflict(&mut self, order: &HostOrder) {
        if self.is_known_at(order.expected_count) {
            self.certainty = Certainty::AtLeast;
        }
    }

    /// Keeps the count as a lower bound only, as for a host whose orders others issue.
    pub(crate) fn clear_count(&mut self) {
        self.certainty = Certainty::AtLeast;
        self.hidden_work = HiddenWork::default();
    }

    /// Assumes that the host has begun no order, unless it was seen to have.
    pub(crate) fn assume_idle(&mut self) {
        if self.membership.is_none() && self.orders_begun == 0 {
            self.certainty = Certainty::Assumed;
        }
    }

    /// Takes note of the weights that the host shows.
    pub(crate) fn observe_staged(&mut self, staged: &[Arc<str>]) {
        self.hidden_work.observe_staged(staged);
    }

    /// Returns whether the count of the known group is, or was before it was contested, this.
    fn is_known_at(&self, count: u64) -> bool {
        self.certainty != Certainty::AtLeast && self.orders_begun == count
    }

    /// Returns whether the known group may have come to a state that an entry shows without a
    /// further order. If not, the entry is outdated, or the host has begun an order unseen.
    fn may_become(&self, shown: Option<&Membership>) -> bool {
        let is_opening = self.certainty == Certainty::AtLeast
            || self.hidden_work.may_be_opening() && !self.hidden_work.may_be_closing();
        match (self.state(), shown.map(|m| m.state)) {
            (Some(GroupState::Ready), Some(GroupState::Open)) => is_opening,
            _ => self.may_have_become(shown),
        }
    }

    /// Returns whether a state that a report shows at the known count is not older than the known
    /// one: a report states the count of the same time, but may be from before a state that began
    /// without an order.
    fn may_have_become(&self, shown: Option<&Membership>) -> bool {
        let is_closing = self.certainty == Certainty::AtLeast || self.hidden_work.may_be_closing();
        match (self.state(), shown.map(|m| m.state)) {
            // A host joins a group once, and a broken group stays broken.
            (Some(GroupState::Broken), _) | (_, Some(GroupState::Joining)) => false,
            (Some(GroupState::Open), Some(GroupState::Ready | GroupState::Closing)) => is_closing,
            _ => true,
        }
    }

    fn state(&self) -> Option<GroupState> {
        self.membership().map(|m| m.state)
    }
}

impl fmt::Display for KnownGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.membership {
            Some(membership) => write!(f, "{membership}")?,
            None => write!(f, "no group")?,
        }
        let certainty = match self.certainty {
            Certainty::AtLeast => "at least",
            Certainty::Assumed => "assumed",
            Certainty::Exact => "exactly",
            Certainty::Contested => "contested after",
        };
        let (count, evidence) = (self.orders_begun, &self.evidence);
        write!(f, " by {evidence}, {certainty} {count} orders begun")
    }
}

/// Returns whether two memberships are of the same group and epoch, or both of none.
fn is_same_group(a: Option<&Membership>, b: Option<&Membership>) -> bool {
    let identity = |m: &Membership| (m.group.clone(), m.epoch, m.rank);
    a.map(identity) == b.map(identity)
}
