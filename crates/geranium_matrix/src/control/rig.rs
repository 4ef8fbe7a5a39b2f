//! One failure domain with fakes at its interfaces.

mod check;
mod deliver;

use std::collections::BTreeMap;
use std::time::Duration;

use geranium_core::engine::{HostEntry, HostState, OrderAction};
use geranium_core::group::{GroupTable, OutagePolicy};
use geranium_core::id::{GroupId, HostId, Incarnation};
use geranium_core::record::{DrainTarget, ModelSpec};
use geranium_core::time::Timestamp;

use super::measure::WatchedGroup;
use super::message::{Message, Node};
use super::network::{Network, Packet};
use super::store::FakeStore;
use super::{EntryHost, FakeEngine, Fleet, Measures, Mutation, Oracle};

/// Step of a rig's clock.
pub(super) const QUANTUM: Duration = Duration::from_millis(10);
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const RECORD_DELAY: Duration = Duration::from_millis(300);
const HOST_LIST_DELAY: Duration = Duration::from_millis(500);

/// Something that an entry host learns at a time.
#[derive(Clone, Debug)]
enum News {
    Records(Vec<ModelSpec>, Vec<DrainTarget>),
    Hosts(Vec<HostEntry>),
}

/// One failure domain with fakes at its interfaces.
#[derive(Clone, Debug)]
pub struct Rig<P> {
    /// Present time.
    pub now: Timestamp,
    /// Engines by position.
    pub engines: Vec<FakeEngine>,
    /// Entry hosts by position.
    pub entries: Vec<EntryHost<P>>,
    /// Checks.
    pub oracle: Oracle,
    /// Costs.
    pub measures: Measures,
    /// Replicas that should serve now.
    pub wanted: usize,
    pub(super) network: Network,
    pub(super) store: FakeStore,
    pub(super) store_up: bool,
    pub(super) watched: Option<WatchedGroup>,
    pub(super) victim_position: Option<usize>,
    fleet: Fleet,
    policy: P,
    mutation: Option<Mutation>,
    incarnations: u64,
    models: Vec<ModelSpec>,
    drained: Vec<DrainTarget>,
    listed: Vec<HostEntry>,
    news: BTreeMap<(Timestamp, u64), (usize, News)>,
    news_count: u64,
}

impl<P: OutagePolicy + Clone> Rig<P> {
    /// Makes a rig whose entry hosts have just started.
    #[must_use]
    pub fn new(fleet: Fleet, policy: P, mutation: Option<Mutation>) -> Self {
        let listed = fleet.hosts();
        let mut store = FakeStore::default();
        store.ignore_expected = mutation == Some(Mutation::WriteWithoutCompare);
        let mut rig = Self {
            now: Timestamp::from_millis(1_000_000),
            engines: listed.iter().cloned().map(FakeEngine::new).collect(),
            entries: Vec::new(),
            oracle: Oracle::default(),
            measures: Measures::default(),
            wanted: 0,
            network: Network::default(),
            store,
            store_up: true,
            watched: None,
            victim_position: None,
            policy,
            mutation,
            incarnations: 0,
            models: Vec::new(),
            drained: Vec::new(),
            listed,
            news: BTreeMap::new(),
            news_count: 0,
            fleet,
        };
        for position in 0..rig.fleet.entry_hosts {
            let host = rig.start_entry(position);
            rig.entries.push(host);
        }
        rig
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + QUANTUM;
            self.check_gates();
            self.deliver_news();
            self.deliver_packets();
            self.tick_entries();
        }
    }

    /// Puts records into force, which each entry host learns a little later.
    pub fn set_records(&mut self, models: &[ModelSpec], drained: &[DrainTarget]) {
        self.models = models.to_vec();
        self.drained = drained.to_vec();
        for entry in 0..self.entries.len() {
            let news = News::Records(self.models.clone(), self.drained.clone());
            self.tell(RECORD_DELAY, entry, news);
        }
    }

    /// Lets a host begin to leave; the platform's list says so a little later.
    pub fn start_leaving(&mut self, position: usize) {
        self.engines[position].leaving = true;
        self.listed[position].state = HostState::Leaving;
        for entry in 0..self.entries.len() {
            self.tell(HOST_LIST_DELAY, entry, News::Hosts(self.listed.clone()));
        }
    }

    /// Replaces an entry host by a new process that knows nothing.
    pub fn replace_entry(&mut self, position: usize) {
        self.entries[position] = self.start_entry(position);
    }

    /// Returns the position of the entry host that holds itself for the leader.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        self.entries
            .iter()
            .position(|entry| entry.alive && entry.is_leader())
    }

    /// Returns the position of the entry host that wrote the table in the store.
    #[must_use]
    pub fn last_writer(&self) -> usize {
        let writer = self.stored_table().map(GroupTable::writer);
        let found = self
            .entries
            .iter()
            .position(|e| Some(e.incarnation()) == writer);
        found.unwrap_or(0)
    }

    /// Returns the table in the store.
    #[must_use]
    pub fn stored_table(&self) -> Option<&GroupTable> {
        self.store.table()
    }

    /// Returns a member of a group in the store by positions.
    #[must_use]
    pub fn member(&self, group: usize, rank: usize) -> Option<HostId> {
        let group = self.stored_table()?.groups().values().nth(group)?;
        group.members.get(rank).map(|member| member.host.clone())
    }

    /// Returns the position of an engine.
    ///
    /// # Panics
    ///
    /// Panics if there is no such host.
    #[must_use]
    pub fn engine_position(&self, host: &HostId) -> usize {
        let found = self.engines.iter().position(|e| &e.entry.host == host);
        found.expect("a host of the rig")
    }

    /// Returns the groups that are open on an entry host.
    #[must_use]
    pub fn open_on(&self, entry: usize) -> Vec<GroupId> {
        if self.entries[entry].is_up(self.now) {
            self.entries[entry].open_groups(self.now)
        } else {
            Vec::new()
        }
    }

    /// Returns the replicas that the hosts left can carry.
    #[must_use]
    pub fn capacity(&self) -> usize {
        let mut by_fabric: BTreeMap<_, usize> = BTreeMap::new();
        for engine in &self.engines {
            let usable = engine.is_up(self.now) && !engine.leaving && !engine.straggles;
            *by_fabric.entry(&engine.entry.fabric_domain).or_default() += usize::from(usable);
        }
        let size = super::fleet::HOSTS_PER_REPLICA as usize;
        by_fabric.values().map(|hosts| hosts / size).sum()
    }

    fn start_entry(&mut self, position: usize) -> EntryHost<P> {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let policy = self.policy.clone();
        let mut entry = EntryHost::new(position, incarnation, policy, &self.fleet, self.mutation);
        entry.set_hosts(self.now, &self.listed);
        if !self.models.is_empty() {
            entry.set_records(self.now, &self.models, &self.drained);
        }
        entry
    }

    fn tell(&mut self, delay: Duration, entry: usize, news: News) {
        self.news_count += 1;
        let key = (self.now + delay, self.news_count);
        self.news.insert(key, (entry, news));
    }

    fn deliver_news(&mut self) {
        let due: Vec<_> = self
            .news
            .range(..=(self.now, u64::MAX))
            .map(|(k, _)| *k)
            .collect();
        for key in due {
            let Some((position, news)) = self.news.remove(&key) else {
                continue;
            };
            let host = &mut self.entries[position];
            if let Some(until) = host.paused_until.filter(|until| *until > self.now) {
                self.news.insert((until, key.1), (position, news));
                continue;
            }
            match news {
                News::Records(models, drained) => host.set_records(self.now, &models, &drained),
                News::Hosts(hosts) => host.set_hosts(self.now, &hosts),
            }
            self.flush(position);
        }
    }

    fn tick_entries(&mut self) {
        for position in 0..self.entries.len() {
            let offset = self.now.as_millis() + 10 * position as u64;
            let due = u128::from(offset) % TICK_INTERVAL.as_millis() == 0;
            if due && self.entries[position].is_up(self.now) {
                self.entries[position].tick(self.now);
                self.flush(position);
            }
        }
    }

    fn flush(&mut self, position: usize) {
        let holder = self.entries[position].incarnation();
        for amended in std::mem::take(&mut self.entries[position].amendments) {
            self.oracle.check_amendment(&amended, holder);
        }
        for (to, message) in std::mem::take(&mut self.entries[position].outbox) {
            self.time_repair_order(&message);
            self.send(Node::Entry(position), to, message);
        }
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        self.network.send(self.now, Packet { from, to, message });
    }

    fn time_repair_order(&mut self, message: &Message) {
        let (Message::Order(order), Some(watched)) = (message, &self.watched) else {
            return;
        };
        let repairs = match &order.action {
            OrderAction::Load(load) => {
                load.group != watched.group || order.fencing > watched.fencing
            }
            OrderAction::Release | OrderAction::Fence => false,
        };
        if repairs {
            let after = self.now.since(watched.lost_at);
            self.measures.repair_ordered_after.get_or_insert(after);
        }
    }
}
