//! The types that most users of this crate need.

pub use crate::{
    PeerClient, PeerClientConfig, PeerCommand, PeerError, PeerHandler, PeerReply, PeerServer,
    PeerServerConfig, PeerToken,
};
