//! The token that entry hosts share.

use std::fmt;
use std::sync::Arc;

use subtle::ConstantTimeEq;

/// The token that entry hosts share; its `Debug` form does not show it.
#[derive(Clone)]
pub struct PeerToken(Arc<[u8]>);

impl PeerToken {
    /// Makes a token.
    pub fn new(token: impl AsRef<[u8]>) -> Self {
        Self(Arc::from(token.as_ref()))
    }

    /// Returns whether another token is the same, in time that does not depend on
    /// its content.
    #[must_use]
    pub fn matches(&self, other: &[u8]) -> bool {
        self.0.ct_eq(other).into()
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for PeerToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerToken(..)")
    }
}
