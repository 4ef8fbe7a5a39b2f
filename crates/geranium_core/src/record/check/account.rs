//! Checks client accounts against the other records.

use super::{Findings, list_names};
use crate::id::RecordName;
use crate::record::{AccountSpec, RecordSet};

pub(super) fn check(set: &RecordSet, spec: &AccountSpec, findings: &mut Findings) {
    if spec.key_sha256.is_empty() {
        let valid = "at least one key; without a key no caller can use this account";
        findings.warning("key_sha256", "", valid);
    }
    let others = set.accounts().filter(|a| a.account != spec.account);
    for other in others {
        for (i, key) in spec.key_sha256.iter().enumerate() {
            if other.key_sha256.contains(key) {
                let valid = format!("a unique key; account {} has the same key", other.account);
                findings.error(format!("key_sha256[{i}]"), key, valid);
            }
        }
    }
}

pub(super) fn check_deletion(set: &RecordSet, name: &RecordName, findings: &mut Findings) {
    let is_named = |id: &str| id == name.as_str();
    let models = set
        .models()
        .filter(|m| m.accounts.iter().any(|a| is_named(a.account.as_str())))
        .map(|m| m.name.as_str());
    let services = set
        .services()
        .filter(|s| s.accounts.iter().any(|a| is_named(a.as_str())))
        .map(|s| s.name.as_str());
    let users: Vec<&str> = models.chain(services).collect();
    if !users.is_empty() {
        let users = list_names(users.into_iter());
        let valid = format!("an account that no record uses; remove it first from {users}");
        findings.error("name", name, valid);
    }
}
