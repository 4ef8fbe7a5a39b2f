//! Work of a host that neither its entry nor its report shows.

use std::sync::Arc;

use crate::order::{OrderAnswer, OrderKind};

/// A load of weights that may be running on a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum HiddenLoad {
    /// None is running.
    #[default]
    None,
    /// None is running, and the weights of this model, which was loaded last, were shown.
    Shown(Arc<str>),
    /// Only one, of this model, may be running.
    Ordered(Arc<str>),
    /// Any may be running.
    Possible,
}

/// Work that a host may have begun unseen, as of its known order count.
///
/// A host accepts an order that finds its state there already, or under way, and begins
/// nothing: its order count stays. So an accepted order raises the known count only if nothing
/// of its kind may be hidden. A count that is too low is refused for good, whereas an order with
/// one that is too high becomes valid later, beside the orders of another manager.
///
/// # Examples
///
/// ```
/// use geranium_fleet::hidden_work::HiddenWork;
/// use geranium_fleet::order::{OrderAnswer, OrderKind};
///
/// let load = OrderKind::Stage { model: "m".into() };
/// let mut work = HiddenWork::at_count(0);
/// assert!(work.has_begun(&load, OrderAnswer::Begun));
/// assert!(!work.has_begun(&load, OrderAnswer::Begun), "the first may still be running");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HiddenWork {
    load: HiddenLoad,
    /// Whether the head may be about to open its group.
    opening: bool,
    /// Whether the head may be about to close its group.
    closing: bool,
}

impl HiddenWork {
    /// Returns what may be hidden at a host whose order count was read from its report.
    #[must_use]
    pub fn at_count(count: u64) -> Self {
        if count == 0 {
            return Self::default();
        }
        Self::possible()
    }

    const fn possible() -> Self {
        Self {
            load: HiddenLoad::Possible,
            opening: true,
            closing: true,
        }
    }

    /// Returns whether an accepted order has certainly begun something, and takes note of what it
    /// began.
    ///
    /// The host accepted it at the order count of which `self` speaks, and only orders make it
    /// join or leave a group. So at that count it is in the group that it is known to be in, and
    /// an order to leave it, or to join another, begins.
    pub fn has_begun(&mut self, order: &OrderKind, answer: OrderAnswer) -> bool {
        match order {
            // The host is in the group already, which is not what is known.
            OrderKind::Join { .. } if answer == OrderAnswer::Done => {
                *self = Self::possible();
                false
            }
            OrderKind::Join { model, .. } => {
                self.opening = false;
                self.closing = false;
                // The host loads what it lacks, also after it has left.
                self.add_load(model);
                true
            }
            OrderKind::Leave { .. } => {
                self.opening = false;
                self.closing = false;
                true
            }
            OrderKind::Open { .. } => {
                self.closing = false;
                !std::mem::replace(&mut self.opening, true)
            }
            OrderKind::Close { .. } => {
                self.opening = true;
                !std::mem::replace(&mut self.closing, true)
            }
            OrderKind::Stage { model } => {
                let none_runs = matches!(self.load, HiddenLoad::None | HiddenLoad::Shown(_));
                let is_first = none_runs && answer == OrderAnswer::Begun;
                self.add_load(model);
                is_first
            }
        }
    }

    /// Takes note of a load that an order may have begun.
    fn add_load(&mut self, model: &Arc<str>) {
        self.load = match &self.load {
            HiddenLoad::None | HiddenLoad::Shown(_) => HiddenLoad::Ordered(model.clone()),
            HiddenLoad::Ordered(ordered) if ordered == model => return,
            _ => HiddenLoad::Possible,
        };
    }

    /// Returns whether a load that was ordered has not been seen to end.
    #[must_use]
    pub fn has_ordered_load(&self) -> bool {
        matches!(self.load, HiddenLoad::Ordered(_))
    }

    /// Returns whether the head may be about to open its group.
    #[must_use]
    pub const fn may_be_opening(&self) -> bool {
        self.opening
    }

    /// Returns whether the head may be about to close its group.
    #[must_use]
    pub const fn may_be_closing(&self) -> bool {
        self.closing
    }

    /// Takes note of the weights that a host shows: the load of them has ended. If they are gone
    /// again without an order for others, one of the two entries is outdated.
    pub fn observe_staged(&mut self, staged: &[Arc<str>]) {
        self.load = match std::mem::take(&mut self.load) {
            HiddenLoad::Ordered(model) if staged.contains(&model) => HiddenLoad::Shown(model),
            HiddenLoad::Shown(model) if !staged.contains(&model) => HiddenLoad::Possible,
            load => load,
        };
    }
}
