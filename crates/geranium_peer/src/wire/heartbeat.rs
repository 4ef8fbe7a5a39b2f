//! Heartbeats.

use geranium_core::id::Incarnation;
use geranium_core::member::{Heartbeat, SharedDelta};
use geranium_core::time::{HybridTime, Timestamp};

use super::engine::{read_report, write_report};
use super::member::{read_status, read_summary, write_status, write_summary};
use super::{count, read_crashes, read_member, write_crashes, write_member};
use crate::peer_capnp;

pub(crate) fn write_heartbeat(mut to: peer_capnp::heartbeat::Builder<'_>, heartbeat: &Heartbeat) {
    write_member(to.reborrow().init_sender(), &heartbeat.sender);
    let mut time = to.reborrow().init_time();
    time.set_wall(heartbeat.time.wall.0);
    time.set_counter(heartbeat.time.counter);
    write_status(to.reborrow().init_config(), heartbeat.config);
    to.set_roster_digest(heartbeat.roster_digest);
    let mut roster = to.reborrow().init_roster(count(heartbeat.roster.len()));
    for (i, info) in (0..).zip(&heartbeat.roster) {
        write_member(roster.reborrow().get(i), info);
    }
    to.set_acked_incarnation(heartbeat.acked_incarnation.0);
    to.set_acked(heartbeat.acked);
    to.set_sent_at(heartbeat.sent_at.0);
    to.set_echo(heartbeat.echo.0);
    write_delta(to.init_delta(), &heartbeat.delta);
}

pub(crate) fn read_heartbeat(from: peer_capnp::heartbeat::Reader<'_>) -> capnp::Result<Heartbeat> {
    let time = from.get_time()?;
    let roster = from.get_roster()?.iter().map(read_member);
    Ok(Heartbeat {
        sender: read_member(from.get_sender()?)?,
        time: HybridTime {
            wall: Timestamp(time.get_wall()),
            counter: time.get_counter(),
        },
        sent_at: Timestamp(from.get_sent_at()),
        echo: Timestamp(from.get_echo()),
        config: read_status(from.get_config()?)?,
        roster_digest: from.get_roster_digest(),
        roster: roster.collect::<capnp::Result<_>>()?,
        acked_incarnation: Incarnation(from.get_acked_incarnation()),
        acked: from.get_acked(),
        delta: read_delta(from.get_delta()?)?,
    })
}

fn write_delta(mut to: peer_capnp::shared_delta::Builder<'_>, delta: &SharedDelta) {
    to.set_after(delta.after);
    to.set_through(delta.through);
    let mut reports = to.reborrow().init_reports(count(delta.reports.len()));
    for (i, report) in (0..).zip(&delta.reports) {
        write_report(reports.reborrow().get(i), report);
    }
    let mut domains = to.reborrow().init_domains(count(delta.domains.len()));
    for (i, summary) in (0..).zip(&delta.domains) {
        write_summary(domains.reborrow().get(i), summary);
    }
    write_crashes(to.init_crashes(), &delta.crashes);
}

fn read_delta(from: peer_capnp::shared_delta::Reader<'_>) -> capnp::Result<SharedDelta> {
    let reports = from.get_reports()?.iter().map(read_report);
    let domains = from.get_domains()?.iter().map(read_summary);
    Ok(SharedDelta {
        after: from.get_after(),
        through: from.get_through(),
        reports: reports.collect::<capnp::Result<_>>()?,
        domains: domains.collect::<capnp::Result<_>>()?,
        crashes: read_crashes(from.get_crashes()?)?,
    })
}
