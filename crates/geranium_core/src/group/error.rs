//! Failures of group control.

use quick_error::quick_error;

use crate::id::{FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId};

quick_error! {
    /// Broken rule of a group table, or a change that would break one.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum GroupError {
        /// The table was written by a release with another layout.
        SchemaUnknown(found: u32) {
            display("group table has schema version {}, which is not known", found)
        }
        /// The table belongs to another failure domain.
        WrongFailureDomain(found: FailureDomainId, expected: FailureDomainId) {
            display("group table belongs to failure domain {}, not {}", found, expected)
        }
        /// A group does not exist.
        GroupUnknown(group: GroupId) {
            display("group {} does not exist", group)
        }
        /// A group is dissolving and cannot be changed.
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
        /// A host is in use or has not yet acknowledged its release.
        HostNotFree(host: HostId) {
            display("host {} is not free", host)
        }
        /// A host is not a member of the group.
        NotMember(host: HostId, group: GroupId) {
            display("host {} is not a member of group {}", host, group)
        }
        /// A host is not being released.
        NotReleasing(host: HostId) {
            display("host {} is not being released", host)
        }
        /// Two groups share a fencing number.
        FencingShared(fencing: FencingNumber, first: GroupId, second: GroupId) {
            display("fencing number {} belongs to group {} and to group {}", fencing, first, second)
        }
        /// A fencing number was handed out that is not below the next one.
        FencingNotBelowNext(host: HostId, fencing: FencingNumber, next: FencingNumber) {
            display("host {} holds fencing number {}, but the next one is {}", host, fencing, next)
        }
        /// The highest number recorded for a host differs from the one in use.
        FencingMismatch(host: HostId, recorded: FencingNumber, used: FencingNumber) {
            display("host {} is recorded with fencing number {}, but {} is in use", host, recorded, used)
        }
        /// No fencing number is recorded for a host in use.
        FencingMissing(host: HostId) {
            display("host {} is in use without a fencing number", host)
        }
        /// The range of fencing numbers is used up.
        FencingExhausted {
            display("no fencing number is left")
        }
        /// A host is delegated twice.
        HostDelegatedTwice(host: HostId, first: FabricDomainId, second: FabricDomainId) {
            display("host {} is delegated in fabric domain {} and in {}", host, first, second)
        }
        /// A fabric domain is delegated already.
        DelegatedAlready(fabric_domain: FabricDomainId) {
            display("fabric domain {} is delegated already", fabric_domain)
        }
        /// Numbers are reserved that the table may hand out itself.
        ReservedAboveNext(fabric_domain: FabricDomainId, next: FencingNumber) {
            display("fabric domain {} has numbers reserved above the next one, {}", fabric_domain, next)
        }
        /// A process holds no delegation of a fabric domain.
        NotDelegated(fabric_domain: FabricDomainId) {
            display("fabric domain {} is not delegated to this process", fabric_domain)
        }
    }
}
