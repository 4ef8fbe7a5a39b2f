//! Invariants of a group table.

use std::collections::BTreeMap;

use super::{GroupTable, TABLE_SCHEMA_VERSION};
use crate::group::GroupError;
use crate::id::{FabricDomainId, FencingNumber, GroupId, HostId};

/// Checks every invariant of a table.
pub(super) fn check(table: &GroupTable) -> Result<(), GroupError> {
    if table.schema_version != TABLE_SCHEMA_VERSION {
        return Err(GroupError::SchemaUnknown(table.schema_version));
    }
    check_hosts(table)?;
    check_group_fencing(table)?;
    for (host, &fencing) in &table.releasing {
        check_recorded(table, host, fencing)?;
    }
    check_delegations(table)?;
    check_below_next(table)
}

fn check_hosts(table: &GroupTable) -> Result<(), GroupError> {
    let mut owner: BTreeMap<&HostId, &GroupId> = BTreeMap::new();
    for (id, group) in &table.groups {
        if group.members.is_empty() {
            return Err(GroupError::NoMembers(id.clone()));
        }
        for member in &group.members {
            if let Some(first) = owner.insert(&member.host, id) {
                return Err(GroupError::HostInTwoGroups(
                    member.host.clone(),
                    first.clone(),
                    id.clone(),
                ));
            }
            if table.releasing.contains_key(&member.host) {
                return Err(GroupError::HostNotFree(member.host.clone()));
            }
        }
    }
    Ok(())
}

fn check_group_fencing(table: &GroupTable) -> Result<(), GroupError> {
    let mut owner: BTreeMap<FencingNumber, &GroupId> = BTreeMap::new();
    for (id, group) in &table.groups {
        if let Some(first) = owner.insert(group.fencing, id) {
            return Err(GroupError::FencingShared(
                group.fencing,
                first.clone(),
                id.clone(),
            ));
        }
        for member in &group.members {
            check_recorded(table, &member.host, group.fencing)?;
        }
    }
    Ok(())
}

fn check_recorded(
    table: &GroupTable,
    host: &HostId,
    used: FencingNumber,
) -> Result<(), GroupError> {
    match table.fences.get(host) {
        None => Err(GroupError::FencingMissing(host.clone())),
        Some(&recorded) if recorded != used => {
            Err(GroupError::FencingMismatch(host.clone(), recorded, used))
        }
        Some(_) => Ok(()),
    }
}

fn check_below_next(table: &GroupTable) -> Result<(), GroupError> {
    for (host, &fencing) in &table.fences {
        if fencing >= table.next_fencing {
            return Err(GroupError::FencingNotBelowNext(
                host.clone(),
                fencing,
                table.next_fencing,
            ));
        }
    }
    Ok(())
}

fn check_delegations(table: &GroupTable) -> Result<(), GroupError> {
    let mut owner: BTreeMap<&HostId, &FabricDomainId> = BTreeMap::new();
    for (fabric_domain, delegation) in &table.delegations {
        if delegation.end_fencing > table.next_fencing {
            return Err(GroupError::ReservedAboveNext(
                fabric_domain.clone(),
                table.next_fencing,
            ));
        }
        for spare in &delegation.spares {
            if let Some(first) = owner.insert(&spare.host, fabric_domain) {
                return Err(GroupError::HostDelegatedTwice(
                    spare.host.clone(),
                    first.clone(),
                    fabric_domain.clone(),
                ));
            }
            let in_use = table.group_of(&spare.host).is_some();
            if in_use || table.releasing.contains_key(&spare.host) {
                return Err(GroupError::HostNotFree(spare.host.clone()));
            }
        }
    }
    Ok(())
}
