//! Errors of group control.

use quick_error::quick_error;

use crate::id::{FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId};

quick_error! {
    /// Violated invariant of a group table, or a rejected change of it.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum GroupError {
        /// The table was written by a release with a different schema version.
        SchemaUnknown(found: u32) {
            display("group table has unknown schema version {}", found)
        }
        /// The table belongs to a different failure domain.
        WrongFailureDomain(found: FailureDomainId, expected: FailureDomainId) {
            display("group table belongs to failure domain {}, not {}", found, expected)
        }
        /// The group does not exist.
        GroupUnknown(group: GroupId) {
            display("group {} does not exist", group)
        }
        /// The group is dissolving and cannot be changed.
        GroupDissolving(group: GroupId) {
            display("group {} is dissolving", group)
        }
        /// A group would have no members.
        NoMembers(group: GroupId) {
            display("group {} has no members", group)
        }
        /// A host would belong to two groups.
        HostInTwoGroups(host: HostId, first: GroupId, second: GroupId) {
            display("host {} belongs to group {} and to group {}", host, first, second)
        }
        /// The host is in use or has not yet acknowledged its release.
        HostNotFree(host: HostId) {
            display("host {} is not free", host)
        }
        /// The host is not a member of the group.
        NotMember(host: HostId, group: GroupId) {
            display("host {} is not a member of group {}", host, group)
        }
        /// The host is not being released.
        NotReleasing(host: HostId) {
            display("host {} is not being released", host)
        }
        /// Two groups share a fencing number.
        FencingShared(fencing: FencingNumber, first: GroupId, second: GroupId) {
            display("fencing number {} belongs to group {} and to group {}", fencing, first, second)
        }
        /// An allocated fencing number is not below the next one to allocate.
        FencingNotBelowNext(host: HostId, fencing: FencingNumber, next: FencingNumber) {
            display("fencing number {1} of host {0} is not below the next one, {2}", host, fencing, next)
        }
        /// The fencing number recorded for a host differs from the one in use.
        FencingMismatch(host: HostId, recorded: FencingNumber, used: FencingNumber) {
            display("fencing number {1} is recorded for host {0}, but {2} is in use", host, recorded, used)
        }
        /// No fencing number is recorded for a host in use.
        FencingMissing(host: HostId) {
            display("host {} is in use, but no fencing number is recorded for it", host)
        }
        /// The range of fencing numbers is exhausted.
        FencingExhausted {
            display("the fencing numbers are exhausted")
        }
        /// A host is a spare of two delegations.
        HostDelegatedTwice(host: HostId, first: FabricDomainId, second: FabricDomainId) {
            display("host {} is delegated in fabric domains {} and {}", host, first, second)
        }
        /// The fabric domain is already delegated.
        DelegatedAlready(fabric_domain: FabricDomainId) {
            display("fabric domain {} is already delegated", fabric_domain)
        }
        /// A delegation reserves fencing numbers that the table may still allocate itself.
        ReservedAboveNext(fabric_domain: FabricDomainId, next: FencingNumber) {
            display("delegation of fabric domain {} reserves fencing numbers above the next one, {}", fabric_domain, next)
        }
        /// The process does not hold a delegation of the fabric domain.
        NotDelegated(fabric_domain: FabricDomainId) {
            display("fabric domain {} is not delegated to this process", fabric_domain)
        }
    }
}
