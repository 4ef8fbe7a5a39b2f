//! View of the other entry hosts that the peer task publishes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::id::{FabricDomainId, FailureDomainId, FencingNumber, HostId};
use geranium_core::member::{GroupSummary, MemberInfo, Membership, PeerState};
use geranium_core::record::{ConfigDigest, RecordSet};
use geranium_core::route::EntryHost;
use geranium_core::time::Timestamp;
use parking_lot::RwLock;

/// Placeholder for the fabric domain and the head of a remote group, which are unknown.
const REMOTE_FABRIC: &str = "remote";

/// Age of a summary, in milliseconds, from which on its failure domain counts as unreachable.
const MAX_SUMMARY_AGE_MS: u64 = 10_000;

/// Another entry host that is known to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownHost {
    /// Identity and addresses.
    pub info: MemberInfo,
    /// `alive`, `suspected`, `unheard` or `leaving`.
    pub state: &'static str,
    /// Whether it is silent, whatever its state: a leaving host can be silent too.
    pub silent: bool,
    /// Time at which it was last heard of, on this host's clock.
    pub heard_at: Timestamp,
    /// Digest of the records that it has in force.
    pub digest: ConfigDigest,
}

/// Snapshot of the other entry hosts and of the groups that they serve.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Other entry hosts, of this and other failure domains.
    pub hosts: BTreeMap<HostId, KnownHost>,
    /// Number of entry hosts of this failure domain that share its groups, including this one.
    pub active: u32,
    /// Groups of other failure domains that accept requests.
    pub remote_groups: Vec<ServingGroup>,
    /// Entry hosts through which groups of other failure domains are reached.
    pub remote_entry_hosts: Vec<EntryHost>,
    /// Digest of the records in force here.
    pub digest: ConfigDigest,
}

impl PeerView {
    /// Creates the view from the membership and the records in force.
    #[must_use]
    pub fn collect(membership: &Membership, records: &RecordSet, now: Timestamp) -> Self {
        let mut view = Self {
            active: u32::try_from(membership.active_members().len()).unwrap_or(u32::MAX),
            digest: records.digest(),
            ..Self::default()
        };
        for (info, state, config) in membership.peers() {
            let known = KnownHost {
                info: info.clone(),
                state: state_text(state, info.leaving),
                silent: state == PeerState::Suspected,
                heard_at: membership.heard_at(&info.host).unwrap_or_default(),
                digest: config.digest,
            };
            view.hosts.insert(info.host.clone(), known);
        }
        for (summary, heard_at) in membership.domains().iter() {
            let reachable = now.since(heard_at).as_millis() < u128::from(MAX_SUMMARY_AGE_MS);
            for member in &summary.members {
                view.add_remote_host(&member.info, member.digest, heard_at, reachable);
            }
            if reachable {
                let domain = &summary.failure_domain;
                let groups = summary
                    .groups
                    .iter()
                    .map(|g| remote_group(domain, g, records));
                view.remote_groups.extend(groups);
            }
        }
        view
    }

    fn add_remote_host(
        &mut self,
        info: &MemberInfo,
        digest: ConfigDigest,
        heard_at: Timestamp,
        reachable: bool,
    ) {
        if reachable && !info.leaving {
            self.remote_entry_hosts.push(EntryHost {
                host: info.host.clone(),
                failure_domain: info.failure_domain.clone(),
            });
        }
        let state = match (info.leaving, reachable) {
            (true, _) => "leaving",
            (false, true) => "alive",
            (false, false) => "suspected",
        };
        let known = KnownHost {
            info: info.clone(),
            state,
            silent: !reachable,
            heard_at,
            digest,
        };
        self.hosts.insert(info.host.clone(), known);
    }
}

fn state_text(state: PeerState, leaving: bool) -> &'static str {
    match state {
        _ if leaving => "leaving",
        PeerState::Alive => "alive",
        PeerState::Suspected => "suspected",
        PeerState::Unheard => "unheard",
    }
}

/// Creates a group that the router reaches only through an entry host of its failure domain.
fn remote_group(
    failure_domain: &FailureDomainId,
    summary: &GroupSummary,
    records: &RecordSet,
) -> ServingGroup {
    let specs = records.models_serving(&summary.served_model);
    let spec = specs.into_iter().find(|spec| spec.name == summary.record);
    let cold = spec.map_or(0, |spec| spec.cold_concurrency);
    let warm = spec.map_or(0, |spec| spec.warm_concurrency);
    let limit = if summary.temperature == Temperature::Warm {
        warm
    } else {
        cold
    };
    ServingGroup {
        group: summary.group.clone(),
        record: summary.record.clone(),
        served_model: summary.served_model.clone(),
        failure_domain: failure_domain.clone(),
        fabric_domain: FabricDomainId::new(REMOTE_FABRIC),
        head: HostId::new(REMOTE_FABRIC),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        fencing: FencingNumber::default(),
        generation: 0,
        // The entry hosts of its failure domain apply the cold-start budget to forwarded requests.
        temperature: Temperature::Warm,
        running: limit.saturating_sub(summary.free_slots),
        waiting: 0,
        kv_free_tokens: 0,
        cold_concurrency: cold,
        warm_concurrency: limit,
    }
}

/// Holds the latest [`PeerView`].
#[derive(Debug, Default)]
pub struct PublishedPeers {
    view: RwLock<Arc<PeerView>>,
}

impl PublishedPeers {
    /// Returns the latest view.
    #[must_use]
    pub fn view(&self) -> Arc<PeerView> {
        self.view.read().clone()
    }

    /// Replaces the view.
    pub fn set(&self, view: PeerView) {
        *self.view.write() = Arc::new(view);
    }
}
