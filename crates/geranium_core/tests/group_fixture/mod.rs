//! Fixtures shared by the replica group tests.
#![allow(dead_code, reason = "each test file uses its own part of the fixtures")]

use geranium_core::engine::{
    EnginePhase, EngineReport, HostEntry, HostState, Member, Order, OrderAction,
};
use geranium_core::group::ReplicaGroup;
use geranium_core::id::{
    FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, Incarnation, ModelId,
    RecordName,
};
use geranium_core::record::{ModelSpec, Placement};

pub const FIRST_INCARNATION: Incarnation = Incarnation(1);

pub fn domain() -> FailureDomainId {
    FailureDomainId::new("lima-1")
}

pub fn fabric() -> FabricDomainId {
    FabricDomainId::new("fabric-a")
}

pub fn host(name: &str) -> HostId {
    HostId::new(name)
}

pub fn member(name: &str) -> Member {
    Member {
        host: host(name),
        address: "10.0.0.1:9000".parse().expect("valid address"),
    }
}

pub fn entry(name: &str) -> HostEntry {
    HostEntry {
        host: host(name),
        failure_domain: domain(),
        fabric_domain: fabric(),
        address: member(name).address,
        accelerators: 8,
        checks_fencing: true,
        state: HostState::Live,
    }
}

pub fn spec(version: &str, replicas: u32) -> ModelSpec {
    ModelSpec {
        name: RecordName::new("summaries"),
        served_model: ModelId::new("summary"),
        weights: "llm".to_owned(),
        version: version.to_owned(),
        adapters: vec!["es".to_owned()],
        hosts_per_replica: 2,
        placements: vec![Placement {
            failure_domain: domain(),
            replicas,
        }],
        accounts: Vec::new(),
        cold_concurrency: 1,
        warm_concurrency: 8,
    }
}

pub fn idle_report(name: &str, sequence: u64) -> EngineReport {
    EngineReport {
        host: host(name),
        incarnation: FIRST_INCARNATION,
        sequence,
        fencing: FencingNumber(0),
        assignment: None,
        phase: EnginePhase::Idle,
        leaving: false,
        running: 0,
        waiting: 0,
        kv_free_tokens: 0,
    }
}

/// Returns the report of a member that follows the group's order and is warm.
pub fn warm_report(id: &GroupId, group: &ReplicaGroup, rank: usize, sequence: u64) -> EngineReport {
    EngineReport {
        assignment: Some(group.assignment(id, rank)),
        fencing: group.fencing,
        phase: EnginePhase::Warm,
        ..idle_report(group.members[rank].host.as_str(), sequence)
    }
}

/// Returns the report of an engine that has accepted an order and is immediately warm.
pub fn report_after(order: &Order, sequence: u64) -> EngineReport {
    let idle = idle_report(order.host.as_str(), sequence);
    let OrderAction::Load(load) = &order.action else {
        return EngineReport {
            fencing: order.fencing,
            ..idle
        };
    };
    EngineReport {
        fencing: order.fencing,
        phase: EnginePhase::Warm,
        assignment: Some(geranium_core::engine::Assignment {
            group: load.group.clone(),
            fencing: order.fencing,
            model: load.model.clone(),
            version: load.version.clone(),
            adapters: load.adapters.clone(),
            rank: load.rank,
        }),
        ..idle
    }
}
