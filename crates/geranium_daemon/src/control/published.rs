//! What the control task publishes to the other parts of the process.

use std::collections::BTreeMap;
use std::sync::Arc;

use geranium_core::engine::HostEntry;
use geranium_core::group::{GroupTable, ReportBook, ServingGroup};
use geranium_core::id::GroupId;
use geranium_core::record::RecordSet;
use parking_lot::RwLock;

/// The state of control at one moment.
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
    /// Why the other groups take none.
    pub closed_because: BTreeMap<GroupId, String>,
    /// Latest report of each engine.
    pub reports: Arc<ReportBook>,
    /// Whether this process leads its failure domain.
    pub leading: bool,
    /// Whether the platform's store answers.
    pub store_reachable: bool,
}

/// Holds the latest [`ControlView`].
#[derive(Debug, Default)]
pub struct Published {
    view: RwLock<Arc<ControlView>>,
}

impl Published {
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
