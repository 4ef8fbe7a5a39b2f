//! Storage of equal values once.

use std::cell::RefCell;
use std::hash::Hash;

use geranium_core::collections::HashMap;

/// Stores equal values once and names them by a number.
///
/// A state that holds numbers in place of aggregates is small and quick to
/// compare, so that millions of states fit into memory.
#[derive(Debug)]
pub struct Interner<T> {
    inner: RefCell<Inner<T>>,
}

#[derive(Debug)]
struct Inner<T> {
    numbers: HashMap<T, u32>,
    values: Vec<T>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self {
            inner: RefCell::new(Inner {
                numbers: HashMap::default(),
                values: Vec::new(),
            }),
        }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    /// Returns the number of a value.
    ///
    /// # Panics
    ///
    /// Panics if more than `u32::MAX` values are stored.
    pub fn number(&self, value: T) -> u32 {
        let mut inner = self.inner.borrow_mut();
        if let Some(number) = inner.numbers.get(&value) {
            return *number;
        }
        let number = u32::try_from(inner.values.len()).expect("fewer than 2^32 values");
        inner.values.push(value.clone());
        inner.numbers.insert(value, number);
        number
    }

    /// Returns a copy of the value with a number.
    ///
    /// # Panics
    ///
    /// Panics if the number was not returned by this interner.
    pub fn value(&self, number: u32) -> T {
        self.inner.borrow().values[number as usize].clone()
    }

    /// Reads the value with a number.
    ///
    /// # Panics
    ///
    /// Panics if the number was not returned by this interner.
    pub fn with<R>(&self, number: u32, read: impl FnOnce(&T) -> R) -> R {
        read(&self.inner.borrow().values[number as usize])
    }
}
