//! Why a request can go to no backend server.

use geranium_core::time::Timestamp;

/// Why no backend server can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoHost {
    /// No known backend server serves the request.
    None,
    /// All that serve the request were tried before.
    AllTried,
    /// All asked for a pause; the first pause ends at this time.
    Paused(Timestamp),
    /// All have reached their limit on new work.
    AtColdLimit,
    /// All named limits of which this entry host has used its part.
    AtServerLimit,
    /// This entry host can reach no backend server, and no other one takes the request.
    CutOff,
    /// All are full, so that the request would wait too long.
    Full,
}

impl NoHost {
    /// Returns the reason as it appears in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none_serves",
            Self::AllTried => "all_tried",
            Self::Paused(_) => "all_paused",
            Self::AtColdLimit => "at_cold_bound",
            Self::AtServerLimit => "at_server_limit",
            Self::CutOff => "cut_off",
            Self::Full => "full",
        }
    }

    /// Returns the reason that is more informative to a caller.
    pub(super) fn or_more_specific(self, new: Self) -> Self {
        if let (Self::Paused(a), Self::Paused(b)) = (self, new) {
            return Self::Paused(a.min(b));
        }
        if new.order() > self.order() {
            new
        } else {
            self
        }
    }

    const fn order(self) -> u32 {
        match self {
            Self::None => 0,
            Self::AllTried => 1,
            Self::Paused(_) => 2,
            Self::AtColdLimit => 3,
            Self::AtServerLimit => 4,
            Self::CutOff => 5,
            Self::Full => 6,
        }
    }
}
