//! The view that the control task publishes to the other parts of the process.

use std::collections::BTreeMap;
use std::sync::Arc;

use geranium_core::engine::HostEntry;
use geranium_core::group::{GroupTable, LatestReports, ReplicaGroup, ServingGroup};
use geranium_core::id::{GroupId, RecordName};
use geranium_core::record::RecordSet;
use parking_lot::RwLock;

/// Snapshot of the state of group control.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// Records in force.
    pub records: Arc<RecordSet>,
    /// The platform's list of hosts.
    pub hosts: Arc<Vec<HostEntry>>,
    /// Group table of this failure domain, once one is known.
    pub table: Option<Arc<GroupTable>>,
    /// Groups of this failure domain that take requests.
    pub serving: Arc<Vec<ServingGroup>>,
    /// Reasons why the other groups take no requests.
    pub closed_reasons: BTreeMap<GroupId, String>,
    /// Latest report of each engine.
    pub reports: Arc<LatestReports>,
    /// Whether this process leads its failure domain.
    pub is_leader: bool,
    /// Whether the platform's store answers.
    pub store_reachable: bool,
}

impl ControlView {
    /// Returns a group of the group table.
    #[must_use]
    pub fn group(&self, id: &GroupId) -> Option<&ReplicaGroup> {
        self.table.as_ref()?.groups().get(id)
    }

    /// Returns whether a group takes requests.
    #[must_use]
    pub fn is_open(&self, id: &GroupId) -> bool {
        self.serving.iter().any(|group| group.group == *id)
    }

    /// Returns the number of replicas of a record that take requests.
    #[must_use]
    pub fn serving_replicas(&self, record: &RecordName) -> u32 {
        let groups = self.serving.iter().filter(|group| group.record == *record);
        u32::try_from(groups.count()).unwrap_or(u32::MAX)
    }
}

/// Holds the latest [`ControlView`].
#[derive(Debug, Default)]
pub struct PublishedControl {
    view: RwLock<Arc<ControlView>>,
}

impl PublishedControl {
    /// Returns the latest view.
    #[must_use]
    pub fn view(&self) -> Arc<ControlView> {
        self.view.read().clone()
    }

    /// Replaces the view.
    pub fn set(&self, view: ControlView) {
        *self.view.write() = Arc::new(view);
    }
}
