//! Who tells whom: loads and changes of the store among many entry hosts.
//!
//! A few entry hosts of each failure domain lead. All others report their load to those
//! of their own failure domain and hear the sum from them; the leading ones tell each
//! other the sums of their failure domains. Changes of the store take the same way: the
//! manager hears the store, the leading ones ask the manager, and the others ask them.
//! What an entry host sends and receives so does not grow with the square of their
//! number, and little crosses failure domains.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::collections::HashMap;
use rustc_hash::FxHasher;

/// Entry hosts up to which all lead and report to each other.
pub const FULL_MESH_LIMIT: usize = 9;
/// Entry hosts of a failure domain that lead, so that one may be dead.
const LEADERS_PER_DOMAIN: usize = 2;

/// An entry host that takes part in the exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address of its datagrams and of the changes that it passes on.
    pub address: SocketAddr,
    /// Part of a processor core that it may use; those with more lead.
    pub processor_share: f64,
}

/// Whom one entry host tells, and whom it asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangeTopology {
    /// Whether it is_leader.
    pub is_leader: bool,
    /// Its place among those that lead in its failure domain.
    pub rank: usize,
    /// Those that hear its own load.
    pub reports_to: Vec<SocketAddr>,
    /// Leading entry hosts of other failure domains, which hear the sum of its own.
    pub remote_leaders: Vec<SocketAddr>,
    /// Entry hosts of its failure domain that do not lead and hear the sum of all.
    pub followers: Vec<SocketAddr>,
    /// Leading entry hosts of its failure domain without itself.
    pub local_leaders: Vec<SocketAddr>,
}

impl ExchangeTopology {
    /// Works out the plan of the entry host `name`; all work out the same roles from the
    /// same list. One that is not in the list yet does not lead.
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
        self.local_leaders = others.map(|p| p.address).collect();
        self.reports_to.clone_from(&self.local_leaders);
        if self.is_leader {
            self.followers = rest.iter().map(|p| p.address).collect();
        }
    }

    /// Returns the followers that this entry host tells in one round; each follower hears
    /// from another leading one each time.
    pub fn followers_in_round(&self, round: usize) -> impl Iterator<Item = SocketAddr> {
        let leaders = self.local_leaders.len() + 1;
        let offset = self.rank + round;
        let followers = self.followers.iter().enumerate();
        followers
            .filter(move |(i, _)| (i + offset).is_multiple_of(leaders))
            .map(|(_, address)| *address)
    }
}

/// Returns the place of an entry host in an order that is no other one's.
fn name_hash(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}
