//! Release of hosts.

use super::GroupTable;
use crate::group::GroupError;
use crate::id::{FencingNumber, HostId};

impl GroupTable {
    /// Starts releasing a free host whose engine follows an order unknown to the table.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is not free or if the fencing numbers are
    /// exhausted.
    pub fn release_orphan(&mut self, host: &HostId) -> Result<FencingNumber, GroupError> {
        if !self.is_free(host) {
            return Err(GroupError::HostNotFree(host.clone()));
        }
        self.start_release(host)
    }

    /// Restarts the release of a host under a new fencing number.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is not being released or if the fencing
    /// numbers are exhausted.
    pub fn renew_release_fencing(&mut self, host: &HostId) -> Result<FencingNumber, GroupError> {
        if !self.releasing.contains_key(host) {
            return Err(GroupError::NotReleasing(host.clone()));
        }
        self.start_release(host)
    }

    /// Marks a host as free after its engine acknowledged the release.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is not being released.
    pub fn acknowledge_release(&mut self, host: &HostId) -> Result<(), GroupError> {
        match self.releasing.remove(host) {
            Some(_) => Ok(()),
            None => Err(GroupError::NotReleasing(host.clone())),
        }
    }

    /// Drops the fencing numbers of free hosts for which `keep` returns `false`.
    ///
    /// Returns whether any was dropped.
    pub fn forget_hosts(&mut self, mut keep: impl FnMut(&HostId) -> bool) -> bool {
        let forgotten: Vec<HostId> = self
            .fences
            .keys()
            .filter(|host| self.is_free(host) && !keep(host))
            .cloned()
            .collect();
        for host in &forgotten {
            self.fences.remove(host);
        }
        !forgotten.is_empty()
    }

    fn start_release(&mut self, host: &HostId) -> Result<FencingNumber, GroupError> {
        let release = self.allocate_fencing()?;
        self.fences.insert(host.clone(), release);
        self.releasing.insert(host.clone(), release);
        Ok(release)
    }
}
