//! The types that most users of this crate need.

pub use crate::{
    ClaimState, DrainNotice, PeerClient, PeerClientConfig, PeerError, PeerHandler, PeerServer,
    PeerServerConfig, PeerToken,
};
