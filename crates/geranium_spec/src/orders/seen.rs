//! What a manager knows of a host, by the rules of [`geranium_fleet::known_group::KnownGroup`].

use super::state::{Host, Member, Order, Phase, Request};
use crate::Mutation;

/// How the order count relates to the group beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Certainty {
    /// The host has begun at least this number of orders.
    AtLeast,
    /// The host showed no group and is assumed to have begun no order.
    Assumed,
    /// The host was in this group at exactly this count.
    Exact,
    /// As `Exact`, but an entry has shown another group since.
    Contested,
}

/// What a manager knows of a host: its group together with its order count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Seen {
    pub life: u8,
    pub member: Option<Member>,
    begun: u8,
    certainty: Certainty,
}

impl Seen {
    /// Returns what the first entry of a life tells.
    fn from_entry(entry: Host) -> Self {
        let certainty = match entry.member {
            Some(_) => Certainty::AtLeast,
            None => Certainty::Assumed,
        };
        Self {
            life: entry.life,
            member: entry.member,
            begun: 0,
            certainty,
        }
    }

    /// Returns what is known of a host from the start: the count only if it has begun an order.
    pub(super) fn at_start(host: Host) -> Self {
        let mut seen = Self::from_entry(host);
        if host.begun > 0 {
            seen.observe_report(host, None);
        }
        seen
    }

    /// Returns the count that an order may expect.
    pub(super) fn order_count(&self) -> Option<u8> {
        let is_usable = matches!(self.certainty, Certainty::Assumed | Certainty::Exact);
        is_usable.then_some(self.begun)
    }

    /// Takes note of an entry, which states no count and may have taken effect late.
    pub(super) fn observe_entry(&mut self, entry: Host, mutation: Option<Mutation>) {
        if self.life != entry.life {
            *self = Self::from_entry(entry);
            return;
        }
        if is_same_group(self.member, entry.member) {
            self.advance_state(entry.member);
            if self.certainty == Certainty::Contested {
                self.certainty = Certainty::Exact;
            }
            return;
        }
        match self.certainty {
            Certainty::Exact | Certainty::Contested => {
                if mutation == Some(Mutation::EntryBesideCount) {
                    self.member = entry.member;
                } else {
                    self.certainty = Certainty::Contested;
                }
            }
            Certainty::Assumed | Certainty::AtLeast => {
                self.certainty = Certainty::AtLeast;
                self.member = entry.member;
            }
        }
    }

    /// Takes note of a report, which states a group and a count of the same time but may lag.
    pub(super) fn observe_report(&mut self, report: Host, mutation: Option<Mutation>) {
        if self.life != report.life {
            return;
        }
        if report.begun < self.begun {
            if mutation == Some(Mutation::LaggingReport) {
                self.member = report.member;
            }
            return;
        }
        let is_counted = matches!(self.certainty, Certainty::Exact | Certainty::Contested);
        self.certainty = Certainty::Exact;
        let is_same = is_same_group(self.member, report.member);
        if is_counted && is_same && report.begun == self.begun {
            self.advance_state(report.member);
            return;
        }
        self.member = report.member;
        self.begun = report.begun;
    }

    /// Takes note of an order that the host has begun.
    pub(super) fn record_begun(&mut self, order: Order) {
        if !self.is_known_at(order) {
            return;
        }
        self.begun += 1;
        self.certainty = Certainty::Exact;
        match order.request {
            Request::Join(group) => {
                self.member = Some(Member {
                    group,
                    state: Phase::Joining,
                });
            }
            Request::Leave(_) => self.member = None,
            Request::Open(_) => {}
        }
    }

    /// Takes note of an order that the host has refused.
    pub(super) fn record_refused(&mut self, order: Order) {
        if self.is_known_at(order) {
            self.certainty = Certainty::AtLeast;
        }
    }

    fn is_known_at(&self, order: Order) -> bool {
        let is_counted = self.certainty != Certainty::AtLeast;
        is_counted && self.life == order.known_life && self.begun == order.expected
    }

    /// Takes over the state of the known group unless it is certainly an older one. An open
    /// group may be shown as ready: the planner allows that while its head may be closing.
    fn advance_state(&mut self, shown: Option<Member>) {
        let (Some(known), Some(shown)) = (&mut self.member, shown) else {
            return;
        };
        if known.state != Phase::Broken && shown.state != Phase::Joining {
            *known = shown;
        }
    }
}

/// Returns whether two memberships are of the same group, or both of none.
fn is_same_group(a: Option<Member>, b: Option<Member>) -> bool {
    a.map(|m| m.group) == b.map(|m| m.group)
}
