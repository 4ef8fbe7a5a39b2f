//! Faults as they happen to a rig.

use std::time::Duration;

use geranium_core::group::OutagePolicy;
use geranium_core::record::DrainTarget;

use super::message::Node;
use super::step::take_domain_out;
use super::{Fleet, Rig, Step};
use crate::Fault;

/// Time that a fault lasts which ends by itself.
const SHORT_FAULT: Duration = Duration::from_millis(6_000);

/// Time that the platform does not answer.
const OUTAGE: Duration = Duration::from_millis(12_000);

/// Delay of each message to and from a slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(900);

/// Writes that a restore from an older copy loses.
const LOST_WRITES: usize = 2;

/// Engine that faults hit before there are groups.
const FIRST_VICTIM: usize = 1;

impl Fault {
    /// Returns why the fault has nothing to do with a step of the control half.
    pub(super) fn not_applicable(self, step: Step) -> Option<&'static str> {
        let race_counts = matches!(step, Step::ConfigurationChange | Step::DomainOutAndBack);
        match self {
            Self::OperatorsRace if !race_counts => Some("no record changes during this step"),
            Self::RequestCrashes if !step.starts_with_groups() => {
                Some("no group runs requests before it is formed")
            }
            Self::StoreRestored if !step.starts_with_groups() => {
                Some("nothing is stored yet that could be lost")
            }
            _ => None,
        }
    }

    /// Returns whether the fault hits engines, so that requests in progress may be lost.
    pub(super) fn hits_engines(self) -> bool {
        matches!(
            self,
            Self::MemberDies
                | Self::MemberPauses
                | Self::MemberStraggles
                | Self::MemberReturns
                | Self::FabricDark
                | Self::WarmTurnsCold
                | Self::LeaderCutFromEngines
                | Self::LeaderCutOff
                | Self::RequestCrashes
        )
    }

    /// Returns whether a leader that can reach everything it needs goes on leading.
    pub(super) fn spares_leader(self) -> bool {
        matches!(
            self,
            Self::Nothing
                | Self::MemberDies
                | Self::MemberPauses
                | Self::MemberStraggles
                | Self::MemberReturns
                | Self::WarmTurnsCold
                | Self::LeaderCutFromPeers
                | Self::FollowerCutOff
                | Self::MemberCutFromFollowers
                | Self::OrdersLate
                | Self::RequestCrashes
        )
    }

    /// Returns whether the fault may move the leadership to another entry host.
    pub(super) fn moves_leader(self) -> bool {
        matches!(
            self,
            Self::LeaderCutFromStore
                | Self::LeaderCutFromEngines
                | Self::LeaderCutOff
                | Self::LeaderPaused
                | Self::LeaderDies
                | Self::TwoLeaders
                | Self::DomainCutFromStore
                | Self::StoreSlow
                | Self::EntryHostsReplaced
        )
    }

    /// Returns whether the fault takes an entry host away from callers.
    pub(super) fn takes_entry_host(self) -> bool {
        matches!(
            self,
            Self::LeaderCutFromEngines
                | Self::LeaderCutOff
                | Self::FollowerCutOff
                | Self::LeaderPaused
                | Self::LeaderDies
        )
    }

    /// Returns how long the fault lasts.
    pub(super) fn length(self) -> Duration {
        match self {
            Self::Nothing
            | Self::MemberDies
            | Self::MemberStraggles
            | Self::WarmTurnsCold
            | Self::StoreRestored => Duration::ZERO,
            Self::DomainCutFromStore | Self::StoreSlow | Self::EntryHostsReplaced => OUTAGE,
            Self::RequestCrashes | Self::OperatorsRace => Duration::from_millis(500),
            Self::LeaderDies => Duration::from_millis(2_000),
            _ => SHORT_FAULT,
        }
    }

    /// Lets the fault happen.
    pub(super) fn happen<P: OutagePolicy + Clone>(self, rig: &mut Rig<P>, step: Step) {
        let leader = rig.leader().unwrap_or(0);
        let until = rig.now + self.length();
        match self {
            Self::Nothing => {}
            Self::MemberDies | Self::MemberReturns => rig.victim().alive = false,
            Self::MemberPauses => rig.victim().paused_until = Some(until),
            Self::MemberStraggles => rig.victim().straggles = true,
            Self::WarmTurnsCold => rig.victim().restart(),
            Self::FabricDark => rig.darken_fabric(),
            Self::LeaderCutFromPeers => rig.cut_peers(leader),
            Self::LeaderCutFromStore => rig.network.cut(Node::Entry(leader), Node::Store),
            Self::LeaderCutFromEngines => rig.cut_engines(leader),
            Self::LeaderCutOff => rig.cut_off(leader),
            Self::FollowerCutOff => rig.cut_off((leader + 1) % rig.entries.len()),
            Self::MemberCutFromFollowers => rig.cut_member_from_followers(leader),
            Self::DomainCutFromStore | Self::EntryHostsReplaced => rig.store_up = false,
            Self::StoreSlow => rig.network.store_delay = SLOW_STORE_DELAY,
            Self::AnswersLost => rig.store.lose_write_answers = true,
            Self::StoreRestored => rig.store.forget_writes(LOST_WRITES),
            Self::LeaderPaused => rig.entries[leader].paused_until = Some(until),
            Self::LeaderDies => rig.entries[leader].alive = false,
            Self::OrdersLate => rig.network.copy_orders = true,
            Self::OrdersLost => rig.network.lose_orders = true,
            Self::TwoLeaders => rig.store.grant_to_all = true,
            Self::OperatorsRace => rig.set_other_record(step),
            Self::RequestCrashes => rig.crash_head(0),
        }
        if self == Self::EntryHostsReplaced {
            (0..rig.entries.len()).for_each(|position| rig.replace_entry(position));
        }
    }

    /// Ends the fault.
    pub(super) fn end<P: OutagePolicy + Clone>(self, rig: &mut Rig<P>, step: Step) {
        match self {
            Self::MemberReturns => {
                let dead = rig.engines.iter().position(|e| !e.alive && !e.leaving);
                if let Some(position) = rig.victim_position.or(dead) {
                    rig.engines[position].restart();
                }
            }
            Self::FabricDark
            | Self::LeaderCutFromPeers
            | Self::LeaderCutFromStore
            | Self::LeaderCutFromEngines
            | Self::LeaderCutOff
            | Self::FollowerCutOff
            | Self::MemberCutFromFollowers => rig.network.mend(),
            Self::DomainCutFromStore | Self::EntryHostsReplaced => rig.store_up = true,
            Self::StoreSlow => rig.network.store_delay = Duration::ZERO,
            Self::AnswersLost => rig.store.lose_write_answers = false,
            Self::LeaderDies => {
                let dead = rig.entries.iter().position(|entry| !entry.alive);
                if let Some(position) = dead {
                    rig.replace_entry(position);
                }
            }
            Self::OrdersLate => rig.network.copy_orders = false,
            Self::OrdersLost => rig.network.lose_orders = false,
            Self::TwoLeaders => rig.store.grant_to_all = false,
            Self::OperatorsRace => rig.set_record_of(step),
            Self::RequestCrashes => rig.crash_head(1),
            Self::Nothing
            | Self::MemberDies
            | Self::MemberPauses
            | Self::MemberStraggles
            | Self::WarmTurnsCold
            | Self::StoreRestored
            | Self::LeaderPaused => {}
        }
    }
}

impl<P: OutagePolicy + Clone> Rig<P> {
    fn victim(&mut self) -> &mut super::FakeEngine {
        let host = self.member(0, 2);
        let position = host.map_or(FIRST_VICTIM, |host| self.engine_position(&host));
        self.victim_position = Some(position);
        &mut self.engines[position]
    }

    fn darken_fabric(&mut self) {
        let host = self.member(0, 0);
        let position = host.map_or(FIRST_VICTIM, |host| self.engine_position(&host));
        let fabric = self.engines[position].entry.fabric_domain.clone();
        for (engine, entry) in self.pairs() {
            if self.engines[engine].entry.fabric_domain == fabric {
                self.network.cut(Node::Engine(engine), Node::Entry(entry));
            }
        }
    }

    fn cut_member_from_followers(&mut self, leader: usize) {
        self.victim();
        let victim = self.victim_position.unwrap_or(FIRST_VICTIM);
        for entry in (0..self.entries.len()).filter(|&entry| entry != leader) {
            self.network.cut(Node::Engine(victim), Node::Entry(entry));
        }
    }

    fn pairs(&self) -> Vec<(usize, usize)> {
        let entries = self.entries.len();
        let engines = 0..self.engines.len();
        engines
            .flat_map(|engine| (0..entries).map(move |entry| (engine, entry)))
            .collect()
    }

    fn cut_peers(&mut self, entry: usize) {
        for peer in (0..self.entries.len()).filter(|&peer| peer != entry) {
            self.network.cut(Node::Entry(entry), Node::Entry(peer));
        }
    }

    fn cut_engines(&mut self, entry: usize) {
        for engine in 0..self.engines.len() {
            self.network.cut(Node::Entry(entry), Node::Engine(engine));
        }
    }

    fn cut_off(&mut self, entry: usize) {
        self.cut_peers(entry);
        self.cut_engines(entry);
        self.network.cut(Node::Entry(entry), Node::Store);
    }

    fn crash_head(&mut self, group: usize) {
        if let Some(host) = self.member(group, 0) {
            let position = self.engine_position(&host);
            self.engines[position].restart();
        }
    }

    /// Puts the record into force that the losing operator wants.
    fn set_other_record(&mut self, step: Step) {
        let drained = match step {
            Step::ConfigurationChange => {
                vec![DrainTarget::Host(self.engines[0].entry.host.clone())]
            }
            // The other operator calls the failure domain back.
            _ => {
                self.oracle.domain_out_since = None;
                Vec::new()
            }
        };
        let wanted = super::fleet::REPLICAS;
        self.set_records(&[Fleet::record(step.final_version(), wanted)], &drained);
    }

    /// Puts the record into force that the step asks for.
    fn set_record_of(&mut self, step: Step) {
        if step == Step::DomainOutAndBack {
            return take_domain_out(self);
        }
        let wanted = super::fleet::REPLICAS;
        self.set_records(&[Fleet::record(step.final_version(), wanted)], &[]);
    }
}
