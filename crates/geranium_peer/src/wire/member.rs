//! Hosts, configuration status and summaries of failure domains.

use std::time::Duration;

use geranium_core::group::Temperature;
use geranium_core::id::Incarnation;
use geranium_core::member::{ConfigStatus, DomainSummary, GroupSummary, MemberInfo, MemberStatus};
use geranium_core::record::ConfigDigest;
use geranium_core::time::Timestamp;

use super::{count, micros, parse};
use crate::peer_capnp;

pub(crate) fn write_member(mut to: peer_capnp::member_info::Builder<'_>, info: &MemberInfo) {
    to.set_host(info.host.as_str());
    to.set_failure_domain(info.failure_domain.as_str());
    to.set_incarnation(info.incarnation.0);
    to.set_peer_address(info.peer_address.to_string().as_str());
    to.set_caller_address(info.caller_address.to_string().as_str());
    to.set_leaving(info.leaving);
}

pub(crate) fn read_member(from: peer_capnp::member_info::Reader<'_>) -> capnp::Result<MemberInfo> {
    Ok(MemberInfo {
        host: parse(from.get_host())?,
        failure_domain: parse(from.get_failure_domain())?,
        incarnation: Incarnation(from.get_incarnation()),
        peer_address: parse(from.get_peer_address())?,
        caller_address: parse(from.get_caller_address())?,
        leaving: from.get_leaving(),
    })
}

pub(super) fn write_status(mut to: peer_capnp::config_status::Builder<'_>, status: ConfigStatus) {
    to.set_digest(status.digest.0);
    to.set_records(status.records);
    let mut age = to.init_store_age();
    match status.store_age {
        Some(duration) => age.set_micros(micros(duration)),
        None => age.set_unknown(()),
    }
}

pub(super) fn read_status(
    from: peer_capnp::config_status::Reader<'_>,
) -> capnp::Result<ConfigStatus> {
    use peer_capnp::config_status::store_age::Which;

    let store_age = match from.get_store_age().which()? {
        Which::Micros(micros) => Some(Duration::from_micros(micros)),
        Which::Unknown(()) => None,
    };
    Ok(ConfigStatus {
        digest: ConfigDigest(from.get_digest()),
        records: from.get_records(),
        store_age,
    })
}

pub(super) fn write_summary(
    mut to: peer_capnp::domain_summary::Builder<'_>,
    summary: &DomainSummary,
) {
    to.set_failure_domain(summary.failure_domain.as_str());
    to.set_made_at(summary.made_at.0);
    let mut members = to.reborrow().init_members(count(summary.members.len()));
    for (i, member) in (0..).zip(&summary.members) {
        let mut to = members.reborrow().get(i);
        to.set_digest(member.digest.0);
        write_member(to.init_info(), &member.info);
    }
    let mut groups = to.init_groups(count(summary.groups.len()));
    for (i, group) in (0..).zip(&summary.groups) {
        write_group(groups.reborrow().get(i), group);
    }
}

pub(super) fn read_summary(
    from: peer_capnp::domain_summary::Reader<'_>,
) -> capnp::Result<DomainSummary> {
    let members = from.get_members()?.iter().map(|from| {
        Ok(MemberStatus {
            info: read_member(from.get_info()?)?,
            digest: ConfigDigest(from.get_digest()),
        })
    });
    let groups = from.get_groups()?.iter().map(read_group);
    Ok(DomainSummary {
        failure_domain: parse(from.get_failure_domain())?,
        made_at: Timestamp(from.get_made_at()),
        members: members.collect::<capnp::Result<_>>()?,
        groups: groups.collect::<capnp::Result<_>>()?,
    })
}

fn write_group(mut to: peer_capnp::group_summary::Builder<'_>, group: &GroupSummary) {
    to.set_group(group.group.as_str());
    to.set_record(group.record.as_str());
    to.set_served_model(group.served_model.as_str());
    to.set_temperature(match group.temperature {
        Temperature::Cold => peer_capnp::Temperature::Cold,
        Temperature::Warm => peer_capnp::Temperature::Warm,
    });
    to.set_free_slots(group.free_slots);
}

fn read_group(from: peer_capnp::group_summary::Reader<'_>) -> capnp::Result<GroupSummary> {
    Ok(GroupSummary {
        group: parse(from.get_group())?,
        record: parse(from.get_record())?,
        served_model: parse(from.get_served_model())?,
        temperature: match from.get_temperature()? {
            peer_capnp::Temperature::Cold => Temperature::Cold,
            peer_capnp::Temperature::Warm => Temperature::Warm,
        },
        free_slots: from.get_free_slots(),
    })
}
