//! Guards that can be removed.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// Name that no mutation has.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnknownMutation {
        /// No mutation has this name.
        Name(name: String) {
            display("mutation {:?} does not exist; --list-mutations prints all", name)
        }
    }
}

/// The protocol that a guard belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Protocol {
    /// Claims for calls that must not repeat.
    Claims,
    /// Group tables, leaders and engines.
    Groups,
    /// The gate of a replica group.
    Gate,
    /// Records of the operators.
    Configuration,
    /// Groups formed by orders with an expected count.
    CountedOrders,
}

macro_rules! mutations {
    ($($(#[$doc:meta])* $name:ident => $text:literal, $protocol:ident;)*) => {
        /// A guard that is removed, to show that the check finds its absence.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Mutation {
            $($(#[$doc])* $name,)*
        }

        impl Mutation {
            /// Every mutation, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name used on the command line.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the protocol that the guard belongs to.
            #[must_use]
            pub const fn protocol(self) -> Protocol {
                match self {
                    $(Self::$name => Protocol::$protocol,)*
                }
            }
        }
    };
}

mutations! {
    /// A call is dispatched while its claim is still being written.
    DispatchBeforeClaim => "dispatch-before-claim", Claims;
    /// A claim write with unknown outcome is repeated over whatever is there.
    BlindRetry => "blind-retry", Claims;
    /// The claim of a holder that is thought to be gone is set free.
    Takeover => "takeover", Claims;
    /// The store takes claims without comparing revisions.
    ClaimWithoutCas => "claim-without-cas", Claims;
    /// A holder dispatches however late it is.
    LateDispatch => "late-dispatch", Claims;
    /// Claims are deleted before their retention is over.
    EarlySweep => "early-sweep", Claims;
    /// A call whose connection broke is taken for one that was not sent.
    BrokenTakenForUnsent => "broken-taken-for-unsent", Claims;
    /// Engines follow orders with old fencing numbers.
    Fencing => "fencing", Groups;
    /// Orders are sent before the table that they derive from is written.
    IntentBeforeOrder => "intent-before-order", Groups;
    /// The store takes group tables without comparing revisions.
    TableCas => "table-cas", Groups;
    /// Hosts are used again before their engines have left their group.
    ReserveBeforeReuse => "reserve-before-reuse", Groups;
    /// Hosts whose engines ignore fencing numbers are used again without a rest.
    UnfencedRest => "unfenced-rest", Groups;
    /// Orders to an engine outlive its restart.
    OrdersOutliveRestart => "orders-outlive-restart", Groups;
    /// A process that doesn't reach the store repairs with spares and numbers that
    /// were handed to another one.
    RepairWithoutRight => "repair-without-right", Groups;
    /// Spares are taken back from another process without fencing them.
    RevokeWithoutFencing => "revoke-without-fencing", Groups;
    /// A host takes every version that it hears of, older ones too.
    MergeWithoutRank => "merge-without-rank", Configuration;
    /// A change is planned from the store alone, whatever is in force.
    PlanFromStoreAlone => "plan-from-store-alone", Configuration;
    /// The store takes records without comparing revisions.
    RecordCas => "record-cas", Configuration;
    /// A gate is used as it was when the last report arrived.
    GateWithoutAge => "gate-without-age", Gate;
    /// The report of rank 0 is taken for one of every member.
    HeadSpeaksForMembers => "head-speaks-for-members", Gate;
    /// Hosts carry out orders whatever count of orders they expect.
    OrdersWithoutCount => "orders-without-count", CountedOrders;
    /// A group is opened as soon as its head is ready.
    OpenBeforeMembers => "open-before-members", CountedOrders;
    /// Members are used again while the head of their group may serve.
    ReuseBeforeHeadLeft => "reuse-before-head-left", CountedOrders;
    /// An entry replaces a group that is known with its count, and the count stays.
    EntryBesideCount => "entry-beside-count", CountedOrders;
    /// An entry without a count that shows the head elsewhere frees the other members.
    EntryEndsGroup => "entry-ends-group", CountedOrders;
    /// A report with a lower count replaces the known group, and the higher count stays.
    LaggingReport => "lagging-report", CountedOrders;
}

impl fmt::Display for Mutation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Mutation {
    type Err = UnknownMutation;

    fn from_str(text: &str) -> Result<Self, UnknownMutation> {
        Self::ALL
            .iter()
            .copied()
            .find(|mutation| mutation.as_str() == text)
            .ok_or_else(|| UnknownMutation::Name(text.to_owned()))
    }
}
