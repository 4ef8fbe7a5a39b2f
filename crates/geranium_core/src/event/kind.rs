//! Event kinds.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! event_kinds {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)*) => {
        /// Kind of an event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum EventKind {
            $($(#[$doc])* $name,)*
        }

        impl EventKind {
            /// All kinds, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name used in logs, filters and metrics.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }

        impl fmt::Display for EventKind {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

event_kinds! {
    /// The process started.
    ProcessStarted => "process_started",
    /// The process began a graceful shutdown.
    ShutdownStarted => "shutdown_started",
    /// The process became the leader of its failure domain.
    LeadershipGained => "leadership_gained",
    /// The process stopped leading its failure domain.
    LeadershipLost => "leadership_lost",
    /// A replica group was added to the group table.
    GroupFormed => "group_formed",
    /// A member of a group was replaced.
    GroupRepaired => "group_repaired",
    /// A group was removed from the group table.
    GroupDissolved => "group_dissolved",
    /// The gate of a group opened: the group accepts requests.
    GateOpened => "gate_opened",
    /// The gate of a group closed: the group accepts no new requests.
    GateClosed => "gate_closed",
    /// An order was sent to a host.
    OrderSent => "order_sent",
    /// A host refused an order.
    OrderRefused => "order_refused",
    /// A write to the platform's store took effect.
    StoreWritten => "store_written",
    /// A write to the platform's store failed its revision check.
    StoreConflict => "store_conflict",
    /// The outcome of a write to the platform's store is not yet known.
    StoreAmbiguous => "store_ambiguous",
    /// The platform's store stopped responding.
    StoreUnreachable => "store_unreachable",
    /// The platform's store responds again.
    StoreReachable => "store_reachable",
    /// A record came into force on this process.
    RecordInForce => "record_in_force",
    /// A record older than the one in force was ignored.
    RecordStale => "record_stale",
    /// A record lost by the platform's store was written back.
    RecordRestored => "record_restored",
    /// A peer joined or returned.
    PeerJoined => "peer_joined",
    /// A peer is suspected to have failed.
    PeerSuspected => "peer_suspected",
    /// A peer left gracefully.
    PeerLeft => "peer_left",
    /// A failure domain was taken out of service.
    DomainOut => "domain_out",
    /// A failure domain was put back into service.
    DomainBack => "domain_back",
    /// A host began to leave.
    HostLeaving => "host_leaving",
    /// A backend server stopped responding.
    HostSilent => "host_silent",
    /// A backend server responds again.
    HostHeard => "host_heard",
    /// A warm group turned cold.
    GroupCold => "group_cold",
    /// A cold group warmed up.
    GroupWarm => "group_warm",
    /// A request was refused.
    RequestRefused => "request_refused",
    /// A stream was resumed on another group.
    StreamResumed => "stream_resumed",
    /// A stream ended before its answer was complete.
    StreamFailed => "stream_failed",
    /// A non-idempotent call was claimed.
    ClaimMade => "claim_made",
    /// A claimed call ended, and its response is stored.
    ClaimDone => "claim_done",
    /// The outcome of a claimed call is unknown.
    ClaimUnknown => "claim_unknown",
    /// A request is suspected to crash backend servers.
    CrashSuspected => "crash_suspected",
    /// A claim was withdrawn because its call was not run.
    ClaimWithdrawn => "claim_withdrawn",
    /// A group table read from the store is invalid and is not used.
    TableRejected => "table_rejected",
    /// A group is temporarily excluded from routing after failures.
    GroupSetAside => "group_set_aside",
    /// The cold-start budget of a group changed.
    ColdBudgetChanged => "cold_budget_changed",
    /// The process resumed after it had been paused for some time.
    ProcessPaused => "process_paused",
    /// Another failure domain has not been heard from for some time.
    DomainSilent => "domain_silent",
    /// Another failure domain was heard from again.
    DomainHeard => "domain_heard",
}
