//! Report of the hosts on which a configuration is in force.

use super::Membership;
use crate::id::HostId;
use crate::record::ConfigDigest;

/// The known entry hosts by whether a configuration is in force on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForceReport {
    /// Hosts that have it in force.
    pub in_force: Vec<HostId>,
    /// Hosts that report a different configuration.
    pub behind: Vec<HostId>,
    /// Known hosts that are not heard from at present.
    pub silent: Vec<HostId>,
}

impl InForceReport {
    /// Returns the number of known hosts.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.in_force.len() + self.behind.len() + self.silent.len()
    }
}

impl Membership {
    /// Returns the known hosts on which the configuration with a digest is in force.
    ///
    /// A host with a different digest may still have a particular record in force;
    /// query that host for the record.
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
