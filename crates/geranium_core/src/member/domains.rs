//! Summaries of other failure domains.

use std::collections::BTreeMap;

use super::{DomainSummary, MemberInfo, MemberStatus};
use crate::id::FailureDomainId;
use crate::record::ConfigDigest;
use crate::time::Timestamp;

/// Most hosts of one failure domain that are remembered.
const MAX_MEMBERS: usize = 64;

/// Summaries of other failure domains, the latest of each.
#[derive(Clone, Debug, Default)]
pub struct DomainBoard {
    domains: BTreeMap<FailureDomainId, DomainEntry>,
}

#[derive(Clone, Debug)]
struct DomainEntry {
    summary: DomainSummary,
    heard_at: Timestamp,
}

impl DomainBoard {
    /// Takes in a summary; returns whether it is news.
    pub(super) fn take_in(&mut self, summary: &DomainSummary, now: Timestamp) -> bool {
        let held = self.domains.get(&summary.failure_domain);
        if held.is_some_and(|held| held.summary.made_at >= summary.made_at) {
            return false;
        }
        let entry = DomainEntry {
            summary: summary.clone(),
            heard_at: now,
        };
        self.domains.insert(summary.failure_domain.clone(), entry);
        true
    }

    /// Adds a host that was heard of directly, so that its domain can be asked.
    pub(super) fn remember(&mut self, info: &MemberInfo, now: Timestamp) {
        let entry = self.domains.entry(info.failure_domain.clone());
        let entry = entry.or_insert_with(|| DomainEntry {
            summary: DomainSummary {
                failure_domain: info.failure_domain.clone(),
                made_at: Timestamp::default(),
                members: Vec::new(),
                groups: Vec::new(),
            },
            heard_at: now,
        });
        entry.heard_at = entry.heard_at.max(now);
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

    /// Returns the latest summary of a failure domain and when it was heard.
    #[must_use]
    pub fn get(&self, domain: &FailureDomainId) -> Option<(&DomainSummary, Timestamp)> {
        let entry = self.domains.get(domain)?;
        Some((&entry.summary, entry.heard_at))
    }

    /// Returns every summary with the time when it was heard, ordered by domain.
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
