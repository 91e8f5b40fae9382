//! StableIndices in a list whose entries are added, changed and dropped while some are in use: whoever uses one holds it, and
//! its place is given away only when nobody does.

use std::rc::{Rc, Weak};

/// Something with its place.
#[derive(Debug, PartialEq, Eq)]
pub struct Indexed<T> {
    /// Its place.
    pub index: usize,
    /// What stands there.
    pub value: T,
}

/// The places.
#[derive(Debug)]
pub struct StableIndices<T> {
    held: Vec<Weak<Indexed<T>>>,
}

impl<T> Default for StableIndices<T> {
    fn default() -> Self {
        StableIndices { held: Vec::new() }
    }
}

impl<T: PartialEq> StableIndices<T> {
    /// Gives each value a place: its own if it stands somewhere already, else a free one.
    pub fn take(&mut self, values: Vec<T>) -> Vec<Rc<Indexed<T>>> {
        // All that stand must be held before any free place is given away.
        let there = |value: &T| self.held.iter().filter_map(Weak::upgrade).find(|p| p.value == *value);
        let found: Vec<Result<Rc<Indexed<T>>, T>> =
            values.into_iter().map(|value| there(&value).ok_or(value)).collect();
        found.into_iter().map(|found| found.unwrap_or_else(|value| self.put(value))).collect()
    }

    fn put(&mut self, value: T) -> Rc<Indexed<T>> {
        let free = self.held.iter().position(|held| held.strong_count() == 0);
        let place = free.unwrap_or(self.held.len());
        let placed = Rc::new(Indexed { index: place, value });
        match free {
            Some(place) => self.held[place] = Rc::downgrade(&placed),
            None => self.held.push(Rc::downgrade(&placed)),
        }
        placed
    }

    /// What stands at each place; nothing where a place is free.
    pub fn all(&self) -> Vec<Option<Rc<Indexed<T>>>> {
        self.held.iter().map(Weak::upgrade).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn places<T>(all: &[Rc<Indexed<T>>]) -> Vec<usize> {
        all.iter().map(|p| p.index).collect()
    }

    /// Guards against places that shift beneath what is open, and against what reloads leave behind.
    #[test]
    fn a_place_is_kept_while_it_is_held_and_then_used_again() {
        let mut all = StableIndices::default();
        let first = all.take(vec!["read", "write"]);
        assert_eq!(places(&first), [0, 1]);
        let open = first[0].clone();
        drop(first);
        // "read" is dropped but still open; "write" stays nowhere.
        let second = all.take(vec!["scan", "copy"]);
        assert_eq!(places(&second), [1, 2]);
        assert_eq!((open.index, open.value), (0, "read"));
        let third = all.take(vec!["copy", "read", "scan"]);
        assert_eq!(places(&third), [2, 0, 1], "what stands is found again, in whatever order");
        drop((open, second, third));
        for _ in 0..100 {
            assert!(all.take(vec!["a", "b"]).iter().all(|p| p.index < 3));
        }
        assert_eq!(all.all().len(), 3);
    }
}
