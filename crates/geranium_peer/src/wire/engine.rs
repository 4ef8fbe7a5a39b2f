//! Reports of engines.

use geranium_core::engine::{Assignment, EnginePhase, EngineReport};
use geranium_core::id::{FencingNumber, Incarnation};
use geranium_core::member::SharedReport;

use super::{count, parse, text};
use crate::peer_capnp;

pub(super) fn write_report(mut to: peer_capnp::shared_report::Builder<'_>, shared: &SharedReport) {
    to.set_silent(shared.silent);
    let report = &shared.report;
    let mut to = to.init_report();
    to.set_host(report.host.as_str());
    to.set_incarnation(report.incarnation.0);
    to.set_sequence(report.sequence);
    to.set_fencing(report.fencing.0);
    to.set_phase(match report.phase {
        EnginePhase::Idle => peer_capnp::EnginePhase::Idle,
        EnginePhase::Loading => peer_capnp::EnginePhase::Loading,
        EnginePhase::Cold => peer_capnp::EnginePhase::Cold,
        EnginePhase::Warm => peer_capnp::EnginePhase::Warm,
    });
    to.set_leaving(report.leaving);
    to.set_running(report.running);
    to.set_waiting(report.waiting);
    to.set_kv_free_tokens(report.kv_free_tokens);
    if let Some(assignment) = &report.assignment {
        write_assignment(to.init_assignment(), assignment);
    }
}

pub(super) fn read_report(
    from: peer_capnp::shared_report::Reader<'_>,
) -> capnp::Result<SharedReport> {
    let silent = from.get_silent();
    let from = from.get_report()?;
    let assignment = if from.has_assignment() {
        Some(read_assignment(from.get_assignment()?)?)
    } else {
        None
    };
    let report = EngineReport {
        host: parse(from.get_host())?,
        incarnation: Incarnation(from.get_incarnation()),
        sequence: from.get_sequence(),
        fencing: FencingNumber(from.get_fencing()),
        assignment,
        phase: match from.get_phase()? {
            peer_capnp::EnginePhase::Idle => EnginePhase::Idle,
            peer_capnp::EnginePhase::Loading => EnginePhase::Loading,
            peer_capnp::EnginePhase::Cold => EnginePhase::Cold,
            peer_capnp::EnginePhase::Warm => EnginePhase::Warm,
        },
        leaving: from.get_leaving(),
        running: from.get_running(),
        waiting: from.get_waiting(),
        kv_free_tokens: from.get_kv_free_tokens(),
    };
    Ok(SharedReport { report, silent })
}

fn write_assignment(mut to: peer_capnp::assignment::Builder<'_>, assignment: &Assignment) {
    to.set_group(assignment.group.as_str());
    to.set_fencing(assignment.fencing.0);
    to.set_model(assignment.model.as_str());
    to.set_version(assignment.version.as_str());
    to.set_rank(assignment.rank);
    let mut adapters = to.init_adapters(count(assignment.adapters.len()));
    for (i, adapter) in (0..).zip(&assignment.adapters) {
        adapters.set(i, adapter.as_str());
    }
}

fn read_assignment(from: peer_capnp::assignment::Reader<'_>) -> capnp::Result<Assignment> {
    let adapters = from.get_adapters()?;
    Ok(Assignment {
        group: parse(from.get_group())?,
        fencing: FencingNumber(from.get_fencing()),
        model: text(from.get_model())?,
        version: text(from.get_version())?,
        adapters: adapters.iter().map(text).collect::<capnp::Result<_>>()?,
        rank: from.get_rank(),
    })
}
