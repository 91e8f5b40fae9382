//! Assigns indices to the values of a list that changes while some of the values are in use.
//!
//! Each user of a value holds an [`Indexed`] reference to it. The index is reused only after the last reference to the
//! value has been dropped, so an index never changes its meaning for an open request.

use std::rc::{Rc, Weak};

/// A value with its index.
#[derive(Debug, PartialEq, Eq)]
pub struct Indexed<T> {
    /// Index of the value.
    pub index: usize,
    /// The value.
    pub value: T,
}

/// The indices in use, each with a weak reference to its value.
#[derive(Debug)]
pub struct StableIndices<T> {
    entries: Vec<Weak<Indexed<T>>>,
}

impl<T> Default for StableIndices<T> {
    fn default() -> Self {
        StableIndices { entries: Vec::new() }
    }
}

impl<T: PartialEq> StableIndices<T> {
    /// Returns each value with an index: the present one if an equal value is still in use, otherwise a free one.
    pub fn take(&mut self, values: Vec<T>) -> Vec<Rc<Indexed<T>>> {
        // All values still in use must be found and held before a free index is assigned.
        let present = |value: &T| self.entries.iter().filter_map(Weak::upgrade).find(|p| p.value == *value);
        let found: Vec<Result<Rc<Indexed<T>>, T>> =
            values.into_iter().map(|value| present(&value).ok_or(value)).collect();
        found.into_iter().map(|found| found.unwrap_or_else(|value| self.insert(value))).collect()
    }

    fn insert(&mut self, value: T) -> Rc<Indexed<T>> {
        let free = self.entries.iter().position(|entry| entry.strong_count() == 0);
        let index = free.unwrap_or(self.entries.len());
        let indexed = Rc::new(Indexed { index, value });
        match free {
            Some(index) => self.entries[index] = Rc::downgrade(&indexed),
            None => self.entries.push(Rc::downgrade(&indexed)),
        }
        indexed
    }

    /// Returns the value at each index; `None` where the index is free.
    pub fn all(&self) -> Vec<Option<Rc<Indexed<T>>>> {
        self.entries.iter().map(Weak::upgrade).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn indices<T>(all: &[Rc<Indexed<T>>]) -> Vec<usize> {
        all.iter().map(|p| p.index).collect()
    }

    /// Guards against an index that changes while its value is in use, and against a list that grows with each reload.
    #[test]
    fn an_index_is_kept_while_its_value_is_in_use_and_reused_afterwards() {
        let mut all = StableIndices::default();
        let first = all.take(vec!["read", "write"]);
        assert_eq!(indices(&first), [0, 1]);
        let open = first[0].clone();
        drop(first);
        // "read" is removed from the list but still in use; "write" is not in use any more.
        let second = all.take(vec!["scan", "copy"]);
        assert_eq!(indices(&second), [1, 2]);
        assert_eq!((open.index, open.value), (0, "read"));
        let third = all.take(vec!["copy", "read", "scan"]);
        assert_eq!(indices(&third), [2, 0, 1], "values in use are found again in any order");
        drop((open, second, third));
        for _ in 0..100 {
            assert!(all.take(vec!["a", "b"]).iter().all(|p| p.index < 3));
        }
        assert_eq!(all.all().len(), 3);
    }
}
