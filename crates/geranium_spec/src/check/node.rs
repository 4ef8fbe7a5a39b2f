//! A state with how it was reached.

use std::hash::{Hash, Hasher};

/// A state with how it was reached; only the state tells nodes apart.
#[derive(Clone, Debug)]
pub(super) struct Node<S, A> {
    pub state: S,
    pub action: Option<A>,
    pub depth: u32,
}

impl<S: PartialEq, A> PartialEq for Node<S, A> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq, A> Eq for Node<S, A> {}

impl<S: Hash, A> Hash for Node<S, A> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}
