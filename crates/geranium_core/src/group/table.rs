//! The group table of a failure domain.

mod change;
mod check;
mod delegate;
mod release;
mod version;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::engine::{Order, OrderAction};
use crate::group::{Delegation, GroupError, ReplicaGroup};
use crate::id::{FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, Incarnation};

pub use version::TableVersion;

/// Schema version of the table that this release reads and writes.
pub const TABLE_SCHEMA_VERSION: u32 = 1;

/// Maximum number of bytes of the failure domain's name in a group id.
const GROUP_ID_PREFIX_LEN: usize = 100;

/// All replica groups of a failure domain, stored as one value in the platform's store.
///
/// The methods maintain three invariants: a host belongs to at most one group, and
/// to none while it is being released; a fencing number is never reused; the members
/// of a group share a fabric domain, which the caller gives once for the whole group.
/// Spare hosts may be delegated to one process, which alone may use them while the
/// store is unreachable.
///
/// # Examples
///
/// ```
/// use geranium_core::group::GroupTable;
/// use geranium_core::id::FailureDomainId;
///
/// let table = GroupTable::new(FailureDomainId::new("lima-1"));
///
/// assert_eq!(table.check(), Ok(()));
/// assert!(table.groups().is_empty());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupTable {
    schema_version: u32,
    failure_domain: FailureDomainId,
    writer: Incarnation,
    sequence: u64,
    amendment: u64,
    next_fencing: FencingNumber,
    groups: BTreeMap<GroupId, ReplicaGroup>,
    fences: BTreeMap<HostId, FencingNumber>,
    releasing: BTreeMap<HostId, FencingNumber>,
    delegations: BTreeMap<FabricDomainId, Delegation>,
}

impl GroupTable {
    /// Creates a table without groups.
    #[must_use]
    pub fn new(failure_domain: FailureDomainId) -> Self {
        Self {
            schema_version: TABLE_SCHEMA_VERSION,
            failure_domain,
            writer: Incarnation::default(),
            sequence: 0,
            amendment: 0,
            next_fencing: FencingNumber(1),
            groups: BTreeMap::new(),
            fences: BTreeMap::new(),
            releasing: BTreeMap::new(),
            delegations: BTreeMap::new(),
        }
    }

    /// Checks every invariant of the table.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), GroupError> {
        check::check(self)
    }

    /// Returns the failure domain that the table belongs to.
    #[must_use]
    pub fn failure_domain(&self) -> &FailureDomainId {
        &self.failure_domain
    }

    /// Returns the groups, keyed by id.
    #[must_use]
    pub fn groups(&self) -> &BTreeMap<GroupId, ReplicaGroup> {
        &self.groups
    }

    /// Returns the hosts being released, with the fencing numbers of their release orders.
    #[must_use]
    pub fn releasing(&self) -> &BTreeMap<HostId, FencingNumber> {
        &self.releasing
    }

    /// Returns the highest fencing number allocated to a host.
    #[must_use]
    pub fn highest_fencing(&self, host: &HostId) -> Option<FencingNumber> {
        self.fences.get(host).copied()
    }

    /// Returns the fencing number that will be allocated next.
    #[must_use]
    pub fn next_fencing(&self) -> FencingNumber {
        self.next_fencing
    }

    /// Returns the group that a host belongs to.
    #[must_use]
    pub fn group_of(&self, host: &HostId) -> Option<(&GroupId, &ReplicaGroup)> {
        self.groups.iter().find(|(_, group)| group.has_member(host))
    }

    /// Returns whether a host is in no group, not delegated and not being released.
    #[must_use]
    pub fn is_free(&self, host: &HostId) -> bool {
        !self.releasing.contains_key(host)
            && self.group_of(host).is_none()
            && !self.delegations.values().any(|d| d.has_spare(host))
    }

    /// Returns the incarnation of the process that last wrote the table.
    #[must_use]
    pub fn writer(&self) -> Incarnation {
        self.writer
    }

    /// Returns whether this table is the result of a given write.
    #[must_use]
    pub fn was_written_by(&self, writer: Incarnation, sequence: u64) -> bool {
        self.writer == writer && self.sequence == sequence
    }

    /// Returns the version of the table, which orders its states.
    #[must_use]
    pub fn version(&self) -> TableVersion {
        TableVersion {
            sequence: self.sequence,
            amendment: self.amendment,
        }
    }

    /// Sets the writer of the next write and assigns it a sequence number.
    ///
    /// `last_sequence` is the sequence number of the writer's last write. The new
    /// number exceeds it and that of the table, so a writer never reuses one.
    pub fn stamp(&mut self, writer: Incarnation, last_sequence: u64) {
        self.writer = writer;
        self.sequence = self.sequence.max(last_sequence) + 1;
        self.amendment = 0;
    }

    /// Makes every fencing number allocated from now on exceed one seen outside the table.
    ///
    /// # Errors
    ///
    /// Returns an error if `seen` is the highest representable number.
    pub fn raise_fencing_above(&mut self, seen: FencingNumber) -> Result<(), GroupError> {
        let above = seen.0.checked_add(1).ok_or(GroupError::FencingExhausted)?;
        self.next_fencing = self.next_fencing.max(FencingNumber(above));
        Ok(())
    }

    /// Returns the order that a host should follow, or `None` if the host is unused.
    #[must_use]
    pub fn order_for(&self, host: &HostId) -> Option<Order> {
        if let Some(&fencing) = self.releasing.get(host) {
            return Some(release_order(host, fencing));
        }
        let (id, group) = self.group_of(host)?;
        let rank = group.members.iter().position(|m| &m.host == host)?;
        Some(group.load_order(id, rank))
    }

    /// Returns the orders of all hosts that are in a group or being released.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        let loads = self.groups.iter().flat_map(|(id, group)| {
            (0..group.members.len()).map(move |rank| group.load_order(id, rank))
        });
        let releases = self
            .releasing
            .iter()
            .map(|(host, &f)| release_order(host, f));
        loads.chain(releases).collect()
    }

    pub(super) fn allocate_fencing(&mut self) -> Result<FencingNumber, GroupError> {
        let taken = self.next_fencing;
        self.raise_fencing_above(taken)?;
        Ok(taken)
    }
}

fn release_order(host: &HostId, fencing: FencingNumber) -> Order {
    Order {
        host: host.clone(),
        fencing,
        action: OrderAction::Release,
    }
}
