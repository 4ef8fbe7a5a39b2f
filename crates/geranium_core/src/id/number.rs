//! Numeric identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_id!(
    /// Fencing number of an order; a host that checks it rejects orders with lower
    /// numbers.
    FencingNumber
);
number_id!(
    /// Incarnation of a process: one run from start to end, unique for each start.
    Incarnation
);
number_id!(
    /// Revision of a value in the platform's store; zero if the value is absent.
    StoreRevision
);
