//! Topology of the exchange of loads and store changes among many entry hosts.
//!
//! Each failure domain has a few leaders. All other entry hosts report their load to the
//! leaders of their own failure domain and receive the total from them; the leaders send
//! each other the sums of their failure domains. Store changes take the same path: the
//! manager watches the store, the leaders ask the manager, and the others ask the leaders.
//! So the traffic of an entry host does not grow with the square of their number, and
//! little of it crosses failure domains.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use rustc_hash::FxHasher;

/// Maximum number of entry hosts that form a full mesh: all lead and report to each other.
pub const FULL_MESH_LIMIT: usize = 9;
/// Interval at which an entry host reports its load.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time until a request shows in the loads that all entry hosts know: it waits for the report
/// to a leader, for the sum to the leaders of other failure domains and for the sum to their
/// followers.
pub const REPORT_DELAY: Duration = REPORT_INTERVAL.saturating_mul(3);
/// Number of leaders in each failure domain, so that one may fail.
const LEADERS_PER_DOMAIN: usize = 2;

/// An entry host that takes part in the exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address for datagrams and for the store changes that it forwards.
    pub address: SocketAddr,
    /// Address for requests that others forward to it, if it takes any.
    pub forward_address: Option<SocketAddr>,
    /// Share of a processor core that it may use; those with the largest shares lead.
    pub processor_share: f64,
    /// Whether it reads reports of what callers ask for.
    pub reads_demand: bool,
}

/// Returns the number of entry hosts that stand for the role of the manager before `name` with its
/// processor share: those with larger shares, as all changes of the store pass through the manager.
#[must_use]
pub fn candidacy_rank<'a>(
    peers: impl IntoIterator<Item = &'a Peer>,
    name: &str,
    processor_share: f64,
) -> usize {
    let stands_before = |p: &&Peer| {
        let by_share = p.processor_share.total_cmp(&processor_share);
        by_share.then_with(|| name.cmp(&p.name)).is_gt()
    };
    peers.into_iter().filter(stands_before).count()
}

/// The entry hosts with which one entry host exchanges loads and store changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangeTopology {
    /// Whether this entry host is a leader.
    pub is_leader: bool,
    /// Index among the leaders of its failure domain.
    pub rank: usize,
    /// Receivers of its own load.
    pub reports_to: Vec<SocketAddr>,
    /// Those of them that read what its callers ask for.
    pub reports_demand_to: Vec<SocketAddr>,
    /// Leaders of other failure domains, which receive the sum of its failure domain.
    pub remote_leaders: Vec<SocketAddr>,
    /// Entry hosts of its failure domain that do not lead; they receive the total.
    pub followers: Vec<SocketAddr>,
    /// Other leaders of its failure domain.
    pub local_leaders: Vec<SocketAddr>,
}

impl ExchangeTopology {
    /// Computes the topology for the entry host `name`. All entry hosts derive the same
    /// roles from the same list; one that is not in the list yet does not lead.
    #[must_use]
    pub fn new(peers: &[Peer], name: &str, failure_domain: &str) -> Self {
        if peers.len() <= FULL_MESH_LIMIT {
            return Self::full_mesh(peers, name);
        }
        let mut domains: HashMap<&str, Vec<&Peer>> = HashMap::default();
        for peer in peers {
            domains.entry(&peer.failure_domain).or_default().push(peer);
        }
        let mut topology = Self::default();
        for (domain, mut members) in domains {
            members.sort_by(|a, b| {
                let by_processor_share = b.processor_share.total_cmp(&a.processor_share);
                by_processor_share.then_with(|| name_hash(&a.name).cmp(&name_hash(&b.name)))
            });
            let (leaders, rest) = members.split_at(members.len().min(LEADERS_PER_DOMAIN));
            if domain == failure_domain {
                topology.assign_local_roles(leaders, rest, name);
            } else {
                topology
                    .remote_leaders
                    .extend(leaders.iter().map(|p| p.address));
            }
        }
        topology
    }

    fn full_mesh(peers: &[Peer], name: &str) -> Self {
        let others = peers.iter().filter(|p| *p.name != *name);
        let others: Vec<SocketAddr> = others.map(|p| p.address).collect();
        Self {
            is_leader: true,
            reports_to: others.clone(),
            local_leaders: others,
            ..Self::default()
        }
    }

    fn assign_local_roles(&mut self, leaders: &[&Peer], rest: &[&Peer], name: &str) {
        let own = leaders.iter().position(|p| *p.name == *name);
        self.is_leader = own.is_some();
        self.rank = own.unwrap_or(0);
        let others = leaders.iter().filter(|p| *p.name != *name);
        self.local_leaders = others.clone().map(|p| p.address).collect();
        self.reports_to.clone_from(&self.local_leaders);
        let readers = others.filter(|p| p.reads_demand);
        self.reports_demand_to = readers.map(|p| p.address).collect();
        if self.is_leader {
            self.followers = rest.iter().map(|p| p.address).collect();
        }
    }

    /// Returns the followers that this leader sends to in a round, so that each follower
    /// hears from the leaders in turn.
    pub fn followers_in_round(&self, round: usize) -> impl Iterator<Item = SocketAddr> {
        let leaders = self.local_leaders.len() + 1;
        let offset = self.rank + round;
        let followers = self.followers.iter().enumerate();
        followers
            .filter(move |(i, _)| (i + offset).is_multiple_of(leaders))
            .map(|(_, address)| *address)
    }
}

/// Returns a hash that orders entry hosts with equal processor shares.
fn name_hash(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}
