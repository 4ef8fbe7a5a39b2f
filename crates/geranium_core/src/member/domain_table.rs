//! Table of summaries of other failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{DomainSummary, MemberInfo, MemberStatus};
use crate::id::FailureDomainId;
use crate::record::ConfigDigest;
use crate::time::Timestamp;

/// Maximum number of hosts kept for a failure domain when one contacts this host
/// directly.
const MAX_MEMBERS: usize = 64;

/// Latest summary of each other failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainTable {
    domains: BTreeMap<FailureDomainId, DomainEntry>,
}

#[derive(Clone, Debug)]
struct DomainEntry {
    summary: DomainSummary,
    heard_at: Timestamp,
    /// Uptime of this process when the domain was last heard from.
    heard_uptime: Duration,
    is_silent: bool,
}

impl DomainTable {
    /// Applies a summary; returns whether it is newer than the known one.
    pub(super) fn update(
        &mut self,
        summary: &DomainSummary,
        now: Timestamp,
        uptime: Duration,
    ) -> bool {
        let held = self.domains.get(&summary.failure_domain);
        if held.is_some_and(|held| held.summary.made_at >= summary.made_at) {
            return false;
        }
        let entry = DomainEntry {
            summary: summary.clone(),
            heard_at: now,
            heard_uptime: uptime,
            is_silent: held.is_some_and(|held| held.is_silent),
        };
        self.domains.insert(summary.failure_domain.clone(), entry);
        true
    }

    /// Adds a host that contacted this one directly, so that its domain can be
    /// contacted in return.
    pub(super) fn record_contact(&mut self, info: &MemberInfo, now: Timestamp, uptime: Duration) {
        let entry = self.domains.entry(info.failure_domain.clone());
        let entry = entry.or_insert_with(|| DomainEntry {
            summary: DomainSummary {
                failure_domain: info.failure_domain.clone(),
                made_at: Timestamp::default(),
                members: Vec::new(),
                groups: Vec::new(),
            },
            heard_at: now,
            heard_uptime: uptime,
            is_silent: false,
        });
        entry.heard_at = entry.heard_at.max(now);
        entry.heard_uptime = entry.heard_uptime.max(uptime);
        let members = &mut entry.summary.members;
        if members.iter().any(|m| m.info.host == info.host) {
            return;
        }
        let status = MemberStatus {
            info: info.clone(),
            digest: ConfigDigest::default(),
        };
        members.insert(0, status);
        members.truncate(MAX_MEMBERS);
    }

    /// Compares the silence of each domain with a limit; returns the domains that
    /// fell silent, or were heard from again, since the last call.
    pub(super) fn update_silence(
        &mut self,
        uptime: Duration,
        limit: Duration,
    ) -> Vec<(FailureDomainId, bool)> {
        let mut changed = Vec::new();
        for (id, entry) in &mut self.domains {
            let is_silent = uptime.saturating_sub(entry.heard_uptime) > limit;
            if is_silent != entry.is_silent {
                entry.is_silent = is_silent;
                changed.push((id.clone(), is_silent));
            }
        }
        changed
    }

    /// Returns whether a failure domain has been silent for longer than the limit.
    #[must_use]
    pub fn is_silent(&self, domain: &FailureDomainId) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|entry| entry.is_silent)
    }

    /// Returns the latest summary of a failure domain and when it was received.
    #[must_use]
    pub fn get(&self, domain: &FailureDomainId) -> Option<(&DomainSummary, Timestamp)> {
        let entry = self.domains.get(domain)?;
        Some((&entry.summary, entry.heard_at))
    }

    /// Returns every summary with the time when it was received, ordered by domain.
    pub fn iter(&self) -> impl Iterator<Item = (&DomainSummary, Timestamp)> {
        self.domains.values().map(|e| (&e.summary, e.heard_at))
    }

    /// Returns the number of other failure domains.
    #[must_use]
    pub fn len(&self) -> usize {
        self.domains.len()
    }

    /// Returns whether no other failure domain is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }
}
