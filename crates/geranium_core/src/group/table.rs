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

/// Layout of the table that this release reads and writes.
pub const TABLE_SCHEMA_VERSION: u32 = 1;

/// Bytes of the failure domain's name that a group id starts with.
const GROUP_ID_PREFIX_LEN: usize = 100;

/// Every replica group of a failure domain, as one value of the platform's store.
///
/// The methods keep three rules: a host belongs to at most one group and to none
/// while it is being released; every fencing number is fresh; the members of a
/// group share a fabric domain, which the caller names once for the whole group.
/// Spares may be delegated to one process, which alone may use them while the
/// store does not answer.
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
    /// Makes a table without groups.
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

    /// Checks every rule of the table.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn check(&self) -> Result<(), GroupError> {
        check::check(self)
    }

    /// Returns the failure domain that the table belongs to.
    #[must_use]
    pub fn failure_domain(&self) -> &FailureDomainId {
        &self.failure_domain
    }

    /// Returns the groups by id.
    #[must_use]
    pub fn groups(&self) -> &BTreeMap<GroupId, ReplicaGroup> {
        &self.groups
    }

    /// Returns the hosts being released with the fencing numbers of their releases.
    #[must_use]
    pub fn releasing(&self) -> &BTreeMap<HostId, FencingNumber> {
        &self.releasing
    }

    /// Returns the highest fencing number handed out to a host.
    #[must_use]
    pub fn highest_fencing(&self, host: &HostId) -> Option<FencingNumber> {
        self.fences.get(host).copied()
    }

    /// Returns the fencing number that is handed out next.
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

    /// Returns the process that wrote the table.
    #[must_use]
    pub fn writer(&self) -> Incarnation {
        self.writer
    }

    /// Returns whether a write left this table behind.
    #[must_use]
    pub fn was_written_by(&self, writer: Incarnation, sequence: u64) -> bool {
        self.writer == writer && self.sequence == sequence
    }

    /// Returns the place of the table in the order of its states.
    #[must_use]
    pub fn version(&self) -> TableVersion {
        TableVersion {
            sequence: self.sequence,
            amendment: self.amendment,
        }
    }

    /// Names the writer of the next write and numbers it.
    ///
    /// `writes` is the number of the writer's last write; the new number is
    /// above it and above that of the table, so that a writer never uses one twice.
    pub fn stamp(&mut self, writer: Incarnation, writes: u64) {
        self.writer = writer;
        self.sequence = self.sequence.max(writes) + 1;
        self.amendment = 0;
    }

    /// Makes every number handed out from now on higher than one seen outside the table.
    ///
    /// # Errors
    ///
    /// Returns an error if no number is higher.
    pub fn raise_fencing_above(&mut self, seen: FencingNumber) -> Result<(), GroupError> {
        let above = seen.0.checked_add(1).ok_or(GroupError::FencingExhausted)?;
        self.next_fencing = self.next_fencing.max(FencingNumber(above));
        Ok(())
    }

    /// Returns the order that a host should follow, if the table asks anything of it.
    #[must_use]
    pub fn order_for(&self, host: &HostId) -> Option<Order> {
        if let Some(&fencing) = self.releasing.get(host) {
            return Some(release_order(host, fencing));
        }
        let (id, group) = self.group_of(host)?;
        let rank = group.members.iter().position(|m| &m.host == host)?;
        Some(group.load_order(id, rank))
    }

    /// Returns the order of every host that the table asks anything of.
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
