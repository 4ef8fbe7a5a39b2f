//! Summary of the local failure domain, sent to other domains.

use std::time::Duration;

use super::shared::{SharedItem, SharedKey};
use super::{DomainSummary, MemberStatus, Membership, PeerState, duty};
use crate::time::Timestamp;

/// Age at which an unchanged summary of the local domain is renewed.
const SUMMARY_MAX_AGE: Duration = Duration::from_secs(10);

impl Membership {
    /// Logs a new summary of the local domain if the last one has changed or expired.
    pub(super) fn renew_summary(&mut self, now: Timestamp) {
        let summary = self.summary(now);
        let key = SharedKey::Domain(summary.failure_domain.clone());
        if let Some(SharedItem::Domain(last)) = self.log.get(&key) {
            let is_same = last.members == summary.members && last.groups == summary.groups;
            if is_same && now.since(last.made_at) < SUMMARY_MAX_AGE {
                return;
            }
        }
        self.log.put(key, SharedItem::Domain(summary));
    }

    fn summary(&self, now: Timestamp) -> DomainSummary {
        let local = MemberStatus {
            info: self.config.local.clone(),
            digest: self.status.digest,
        };
        let alive = self.peers.values().filter(|p| p.state == PeerState::Alive);
        let peers = alive.map(|p| MemberStatus {
            info: p.info.clone(),
            digest: p.config.digest,
        });
        let mut members: Vec<MemberStatus> = [local].into_iter().chain(peers).collect();
        let active = self.active_members();
        let representatives = duty::representatives(&active);
        let position = |m: &MemberStatus| {
            representatives
                .iter()
                .position(|host| **host == m.info.host)
        };
        members.sort_by_key(|m| (position(m).unwrap_or(usize::MAX), m.info.host.clone()));
        DomainSummary {
            failure_domain: self.config.local.failure_domain.clone(),
            made_at: now,
            members,
            groups: self.groups.clone(),
        }
    }
}
