//! Items that a host shares with its peers through heartbeats.

use super::delta::DeltaLog;
use super::{DomainSummary, SharedDelta, SharedReport};
use crate::id::{FailureDomainId, HostId};
use crate::limit::{CrashDigest, CrashId, ExplainedCrash, RequestFingerprint, SuspicionEntry};

/// Maximum number of items in one heartbeat; the rest follow in the next one.
const MAX_ITEMS: usize = 128;

/// Key of a shared item; a later change of the item replaces the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SharedKey {
    Report(HostId),
    Domain(FailureDomainId),
    Suspicion(RequestFingerprint),
    Explained(CrashId),
}

/// One shared item.
#[derive(Clone, Debug)]
pub(super) enum SharedItem {
    Report(SharedReport),
    Domain(DomainSummary),
    Suspicion(SuspicionEntry),
    Explained(ExplainedCrash),
}

/// Log of the items that a host shares.
pub(super) type SharedLog = DeltaLog<SharedKey, SharedItem>;

/// Class of receivers, which determines the items that are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recipient {
    /// A host of the local failure domain: receives reports, summaries of other
    /// domains and crashes.
    LocalDomain,
    /// A host of another failure domain: receives the summary of the local domain
    /// and crashes.
    OtherDomain,
}

impl SharedItem {
    fn is_for(&self, recipient: Recipient, local: &FailureDomainId) -> bool {
        match (self, recipient) {
            (Self::Suspicion(_) | Self::Explained(_), _) => true,
            (Self::Report(_), Recipient::LocalDomain) => true,
            (Self::Report(_), Recipient::OtherDomain) => false,
            (Self::Domain(d), Recipient::LocalDomain) => d.failure_domain != *local,
            (Self::Domain(d), Recipient::OtherDomain) => d.failure_domain == *local,
        }
    }
}

/// Returns the changes of a log that a receiver has not acknowledged, up to
/// [`MAX_ITEMS`].
pub(super) fn delta(
    log: &SharedLog,
    acked: u64,
    recipient: Recipient,
    local: &FailureDomainId,
) -> SharedDelta {
    let mut delta = SharedDelta {
        after: acked,
        through: log.last(),
        ..SharedDelta::default()
    };
    let wanted = log.changes_after(acked).into_iter();
    let wanted = wanted.filter(|(_, item)| item.is_for(recipient, local));
    for (i, (number, item)) in wanted.enumerate() {
        if i == MAX_ITEMS {
            delta.through = number - 1;
            break;
        }
        match item {
            SharedItem::Report(report) => delta.reports.push(report.clone()),
            SharedItem::Domain(summary) => delta.domains.push(summary.clone()),
            SharedItem::Suspicion(entry) => delta.crashes.entries.push(entry.clone()),
            SharedItem::Explained(crash) => delta.crashes.explained.push(crash.clone()),
        }
    }
    delta
}

/// Logs every entry of a crash digest.
pub(super) fn put_crashes(log: &mut SharedLog, digest: &CrashDigest) {
    for entry in &digest.entries {
        let key = SharedKey::Suspicion(entry.fingerprint);
        log.put(key, SharedItem::Suspicion(entry.clone()));
    }
    for explained in &digest.explained {
        let key = SharedKey::Explained(explained.crash.clone());
        log.put(key, SharedItem::Explained(explained.clone()));
    }
}
