//! What a protocol has to say to be checked.

use std::fmt;
use std::hash::Hash;

/// What has to hold in every state.
#[derive(Clone, Copy, Debug)]
pub struct Property<S> {
    /// Name, as the check prints it.
    pub name: &'static str,
    /// Returns whether the property holds in a state.
    pub holds: fn(&S) -> bool,
}

/// What has to be reached in some state, so that the properties are not empty.
#[derive(Clone, Copy, Debug)]
pub struct Witness<S> {
    /// Name, as the check prints it.
    pub name: &'static str,
    /// Returns whether a state shows it.
    pub shows: fn(&S) -> bool,
}

/// A protocol as a transition system with finitely many states.
pub trait Model {
    /// A state of the whole system.
    type State: Clone + Eq + Hash;
    /// One step of one part of the system.
    type Action: Clone + fmt::Display;

    /// Returns the name, as the check prints it.
    fn name(&self) -> &'static str;

    /// Returns the state that everything starts from.
    fn initial(&self) -> Self::State;

    /// Returns every step that is possible in a state.
    fn successors(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// Returns what has to hold in every state.
    fn properties(&self) -> Vec<Property<Self::State>>;

    /// Returns what has to be reached in some state.
    fn witnesses(&self) -> Vec<Witness<Self::State>>;
}
