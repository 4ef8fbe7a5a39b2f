//! The gate model: its fixed parts and its properties.

use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::engine::{EnginePhase, EngineReport, HostEntry, HostState, Member};
use geranium_core::group::{GroupConfig, GroupGate, GroupTable};
use geranium_core::id::{
    FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, Incarnation,
};
use geranium_core::time::Timestamp;

use super::state::{Engine, Follows, Heard, Report};
use super::{GateAction, GateWorld};
use crate::fixture::model_spec;
use crate::{Model, Mutation, Property, Witness};

/// Hosts of the model; the last one is the spare.
const HOSTS: u8 = 3;

/// Ticks for which a report holds the gate open.
const REPORT_MAX_AGE_TICKS: u8 = 1;

/// Ticks for which a report may be on its way.
pub(super) const REPORT_MAX_DELAY_TICKS: u8 = 1;

/// Ticks for which an open gate may miss that a member is gone.
pub(super) const BOUND_TICKS: u8 = REPORT_MAX_AGE_TICKS + REPORT_MAX_DELAY_TICKS;

/// Orders that have to arrive before the gate opens after the replacement.
const ORDERS_OF_REPLACEMENT: u8 = 2;

/// Time of tick zero.
const START: Timestamp = Timestamp::from_millis(1_000_000);

/// Duration of one tick.
const TICK: Duration = Duration::from_secs(1);

/// Bounds that keep the number of states finite and small.
#[derive(Clone, Copy, Debug)]
pub struct GateBounds {
    /// Name, as the check prints it.
    pub name: &'static str,
    /// Last point in time, in ticks.
    pub last_tick: u8,
    /// Engines that end.
    pub failures: u8,
    /// Reports that are sent.
    pub reports: u8,
    /// Orders that arrive.
    pub orders: u8,
}

impl GateBounds {
    /// Returns bounds without a change of the table's orders, for debug builds.
    #[must_use]
    pub const fn small() -> Self {
        Self {
            name: "gate, first orders",
            last_tick: 3,
            failures: 1,
            reports: 2,
            orders: 0,
        }
    }

    /// Returns bounds with an engine that ends while a member is replaced.
    #[must_use]
    pub const fn replacing() -> Self {
        Self {
            name: "gate, a member is replaced",
            orders: 2,
            ..Self::small()
        }
    }

    /// Returns bounds with reports of one engine that overtake each other.
    #[must_use]
    pub const fn reordering() -> Self {
        Self {
            name: "gate, reports overtake",
            failures: 0,
            reports: 3,
            ..Self::replacing()
        }
    }
}

/// The gate model.
#[derive(Debug)]
pub struct GateModel {
    pub(super) bounds: GateBounds,
    pub(super) mutation: Option<Mutation>,
    group: GroupId,
    /// The first table and the one after a member was replaced.
    tables: [GroupTable; 2],
    hosts: Vec<HostEntry>,
    /// Decisions of the gate so far.
    looks: RefCell<HashMap<Look, bool>>,
}

/// Known table, time and reports that a gate decides from.
type Look = (u8, u8, Vec<Heard>);

impl GateModel {
    /// Makes a model, with one guard removed if a mutation is given.
    ///
    /// # Panics
    ///
    /// Never panics: the tables are made of free hosts.
    #[must_use]
    pub fn new(bounds: GateBounds, mutation: Option<Mutation>) -> Self {
        let hosts: Vec<HostEntry> = (0..HOSTS).map(entry).collect();
        let mut first = GroupTable::new(FailureDomainId::new("d"));
        let members = vec![member(&hosts[0]), member(&hosts[1])];
        let group = first
            .form(&model_spec(), &FabricDomainId::new("fabric"), members)
            .expect("the hosts are free");
        first.stamp(Incarnation(1), 0);
        let mut second = first.clone();
        second
            .replace_members(&group, &[(hosts[1].host.clone(), member(&hosts[2]))])
            .expect("the spare is free");
        second.stamp(Incarnation(1), 0);
        Self {
            bounds,
            mutation,
            group,
            tables: [first, second],
            hosts,
            looks: RefCell::default(),
        }
    }

    pub(super) fn mutates(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns whether a table has a host in the group.
    pub(super) fn is_member(&self, table: u8, host: u8) -> bool {
        let table = &self.tables[usize::from(table)];
        table
            .group_of(&self.hosts[usize::from(host)].host)
            .is_some()
    }

    pub(super) fn time(&self, tick: u8) -> Timestamp {
        START + TICK * u32::from(tick)
    }

    /// Returns the gate of the entry host with all that it has heard.
    pub(super) fn gate(&self, known: u8, heard: &[Heard]) -> GroupGate {
        let cfg = GroupConfig {
            report_max_age: TICK * u32::from(REPORT_MAX_AGE_TICKS),
            ..GroupConfig::default()
        };
        let mut gate = GroupGate::new(cfg, FailureDomainId::new("d"));
        gate.set_hosts(&self.hosts);
        gate.set_table(&self.tables[usize::from(known)])
            .expect("the table keeps its rules");
        for heard in heard {
            gate.observe(self.time(heard.tick), &self.engine_report(heard.report));
        }
        gate
    }

    fn is_open(&self, known: u8, heard: &[Heard], tick: u8) -> bool {
        let look = (known, tick, heard.to_vec());
        if let Some(&open) = self.looks.borrow().get(&look) {
            return open;
        }
        let open = self
            .gate(known, heard)
            .is_open(self.time(tick), &self.group);
        self.looks.borrow_mut().insert(look, open);
        open
    }

    /// Works out whether the gate is open, and whether it may be.
    pub(super) fn note_gate(&self, world: &mut GateWorld) {
        let looked_at = match world.heard.last() {
            Some(last) if self.mutates(Mutation::GateWithoutAge) => last.tick,
            _ => world.tick,
        };
        world.open = self.is_open(world.known, &world.heard, looked_at);
        let known = world.known;
        world.open_too_long = world.open
            && (0..HOSTS)
                .filter(|&host| self.is_member(known, host))
                .any(|host| {
                    let followed = world.engines[usize::from(host)].followed_at[usize::from(known)];
                    followed.is_none_or(|at| world.tick - at > BOUND_TICKS)
                });
    }

    pub(super) fn engine_report(&self, report: Report) -> EngineReport {
        let host = &self.hosts[usize::from(report.host)].host;
        let followed = match report.follows {
            Follows::Nothing => None,
            Follows::Table(table) => {
                let group = &self.tables[usize::from(table)].groups()[&self.group];
                let rank = group.members.iter().position(|m| &m.host == host);
                rank.map(|rank| group.assignment(&self.group, rank))
            }
        };
        EngineReport {
            host: host.clone(),
            incarnation: Incarnation(u64::from(report.incarnation)),
            sequence: u64::from(report.sequence),
            fencing: followed.as_ref().map_or(FencingNumber(0), |a| a.fencing),
            phase: match followed {
                Some(_) => EnginePhase::Warm,
                None => EnginePhase::Idle,
            },
            assignment: followed,
            leaving: false,
            running: 0,
            waiting: 0,
            kv_free_tokens: 0,
        }
    }
}

fn entry(index: u8) -> HostEntry {
    HostEntry {
        host: HostId::new(format!("h{index}")),
        failure_domain: FailureDomainId::new("d"),
        fabric_domain: FabricDomainId::new("fabric"),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), u16::from(index)),
        accelerators: 1,
        checks_fencing: false,
        state: HostState::Live,
    }
}

fn member(entry: &HostEntry) -> Member {
    Member {
        host: entry.host.clone(),
        address: entry.address,
    }
}

impl Model for GateModel {
    type State = GateWorld;
    type Action = GateAction;

    fn name(&self) -> &'static str {
        self.bounds.name
    }

    fn initial(&self) -> GateWorld {
        let engine = |host| Engine {
            up: true,
            incarnation: 1,
            sequence: 0,
            follows: if self.is_member(0, host) {
                Follows::Table(0)
            } else {
                Follows::Nothing
            },
            followed_at: [self.is_member(0, host).then_some(0), None],
        };
        GateWorld {
            tick: 0,
            engines: (0..HOSTS).map(engine).collect(),
            stored: 0,
            known: 0,
            in_flight: Vec::new(),
            heard: Vec::new(),
            failures: 0,
            reports: 0,
            orders: 0,
            open: false,
            open_too_long: false,
        }
    }

    fn successors(&self, state: &GateWorld) -> Vec<(GateAction, GateWorld)> {
        self.steps(state)
    }

    fn properties(&self) -> Vec<Property<GateWorld>> {
        vec![Property {
            name: "an open gate's members all served within report age and delay",
            holds: |world| !world.open_too_long,
        }]
    }

    fn witnesses(&self) -> Vec<Witness<GateWorld>> {
        let mut witnesses = vec![Witness {
            name: "an open gate",
            shows: |world: &GateWorld| world.open && world.known == 0,
        }];
        if self.bounds.orders >= ORDERS_OF_REPLACEMENT {
            witnesses.push(Witness {
                name: "an open gate after the replacement",
                shows: |world| world.open && world.known == 1,
            });
        }
        witnesses
    }
}
