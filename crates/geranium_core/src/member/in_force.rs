//! On which hosts a configuration is in force.

use super::Membership;
use crate::id::HostId;
use crate::record::ConfigDigest;

/// On which of the known entry hosts a configuration is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForceReport {
    /// Hosts that have it in force.
    pub in_force: Vec<HostId>,
    /// Hosts that report another configuration.
    pub behind: Vec<HostId>,
    /// Hosts that were heard of but are silent now.
    pub silent: Vec<HostId>,
}

impl InForceReport {
    /// Returns the number of hosts that are known.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.in_force.len() + self.behind.len() + self.silent.len()
    }
}

impl Membership {
    /// Tells on which known hosts the configuration with a digest is in force.
    ///
    /// A host with another digest may still have one given record in force; ask
    /// it for that record.
    #[must_use]
    pub fn in_force(&self, digest: ConfigDigest) -> InForceReport {
        let mut report = InForceReport::default();
        report.add(&self.local().host, self.config_status().digest == digest);
        for (info, state, config) in self.peers() {
            if state == super::PeerState::Alive {
                report.add(&info.host, config.digest == digest);
            } else {
                report.silent.push(info.host.clone());
            }
        }
        for (summary, _) in self.domains().iter() {
            let is_silent = self.domains().is_silent(&summary.failure_domain);
            for member in &summary.members {
                if is_silent {
                    report.silent.push(member.info.host.clone());
                } else {
                    report.add(&member.info.host, member.digest == digest);
                }
            }
        }
        report
    }
}

impl InForceReport {
    fn add(&mut self, host: &HostId, is_in_force: bool) {
        let list = if is_in_force {
            &mut self.in_force
        } else {
            &mut self.behind
        };
        list.push(host.clone());
    }
}
