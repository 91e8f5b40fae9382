//! Memory for what is open, shared out in bytes: taken whole or not at all, and given back when dropped.

use std::cell::Cell;
use std::rc::Rc;

/// Room for what the clients of a front have open, in bytes.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    left: Rc<Cell<usize>>,
}

impl Default for BufferBudget {
    /// No room at all.
    fn default() -> Self {
        BufferBudget::new(0)
    }
}

impl BufferBudget {
    /// So many bytes, none of them taken.
    pub fn new(bytes: usize) -> Self {
        BufferBudget { left: Rc::new(Cell::new(bytes)) }
    }

    /// Takes some; false if there are not so many left.
    pub fn reserve(&self, bytes: usize) -> bool {
        let left = self.left.get().checked_sub(bytes);
        self.left.set(left.unwrap_or(self.left.get()));
        left.is_some()
    }

    /// Gives back what was taken.
    pub fn release(&self, bytes: usize) {
        self.left.set(self.left.get() + bytes);
    }

    /// A part of it whose size changes; none as yet.
    pub fn empty_reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// A part of the room, given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl Reservation {
    /// Makes it that large; false, with nothing changed, if there is not so much left.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes && !self.budget.reserve(bytes - self.bytes) {
            return false;
        }
        self.budget.release(self.bytes.saturating_sub(bytes));
        self.bytes = bytes;
        true
    }

    /// How large it is.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn room_is_taken_whole_or_not_at_all() {
        let budget = BufferBudget::new(10);
        assert!(budget.reserve(6) && !budget.reserve(5) && budget.reserve(4));
        budget.release(6);
        let mut part = budget.empty_reservation();
        assert!(part.resize(4) && !part.resize(7) && part.resize(3) && !budget.reserve(4));
        drop(part);
        assert!(!budget.reserve(7) && budget.reserve(6));
    }
}
