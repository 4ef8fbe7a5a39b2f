//! Rows of the matrix.

use std::fmt;

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)*) => {
        /// A fault of the brief.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Fault {
            $($(#[$doc])* $name,)*
        }

        impl Fault {
            /// Every fault, in the order of the rows.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name of the row.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

faults! {
    /// Nothing fails.
    Nothing => "nothing",
    /// A member of a replica group dies.
    MemberDies => "member-dies",
    /// A member stops for a while and goes on where it was.
    MemberPauses => "member-pauses",
    /// A member answers only now and then and loads slowly.
    MemberStraggles => "member-straggles",
    /// A member dies and comes back with a new incarnation.
    MemberReturns => "member-returns",
    /// Every host of a fabric domain goes dark for a while.
    FabricDark => "fabric-dark",
    /// A warmed-up engine restarts and has lost its model.
    WarmTurnsCold => "warm-turns-cold",
    /// The leading entry host is cut off from its peers.
    LeaderCutFromPeers => "leader-cut-from-peers",
    /// The leading entry host is cut off from the platform.
    LeaderCutFromStore => "leader-cut-from-store",
    /// The leading entry host is cut off from the engines.
    LeaderCutFromEngines => "leader-cut-from-engines",
    /// The leading entry host is cut off from everything.
    LeaderCutOff => "leader-cut-off",
    /// One entry host that does not lead is cut off from everything.
    FollowerCutOff => "follower-cut-off",
    /// A member is cut off from every entry host but the leading one.
    MemberCutFromFollowers => "member-cut-from-followers",
    /// The whole failure domain is cut off from the platform.
    DomainCutFromStore => "domain-cut-from-store",
    /// The platform's store is slow.
    StoreSlow => "store-slow",
    /// Writes take effect, but their answers are lost.
    AnswersLost => "answers-lost",
    /// The store is restored from an older copy.
    StoreRestored => "store-restored",
    /// The leader is paused past its lease and acts on, unaware.
    LeaderPaused => "leader-paused",
    /// The leading entry host dies and is replaced.
    LeaderDies => "leader-dies",
    /// Every entry host is replaced while the platform does not answer.
    EntryHostsReplaced => "entry-hosts-replaced",
    /// Orders arrive late and twice.
    OrdersLate => "orders-late",
    /// Orders are lost for a while.
    OrdersLost => "orders-lost",
    /// Two processes hold themselves for the leader at once.
    TwoLeaders => "two-leaders",
    /// Two operators change the same record at once.
    OperatorsRace => "operators-race",
    /// A request crashes each backend server that runs it.
    RequestCrashes => "request-crashes",
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
