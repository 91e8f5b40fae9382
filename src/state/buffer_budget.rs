//! A budget in bytes for the buffers of open requests and replies.
//!
//! A reservation either succeeds in full or fails without effect, and is released when it is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes left for the buffers of the clients of one front. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    left: Rc<Cell<usize>>,
}

impl Default for BufferBudget {
    /// Returns a budget of zero bytes.
    fn default() -> Self {
        BufferBudget::new(0)
    }
}

impl BufferBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        BufferBudget { left: Rc::new(Cell::new(bytes)) }
    }

    /// Reserves bytes. Returns `false`, without effect, if fewer are left.
    pub fn reserve(&self, bytes: usize) -> bool {
        let left = self.left.get().checked_sub(bytes);
        self.left.set(left.unwrap_or(self.left.get()));
        left.is_some()
    }

    /// Releases bytes that were reserved.
    pub fn release(&self, bytes: usize) {
        self.left.set(self.left.get() + bytes);
    }

    /// Returns a resizable reservation of zero bytes.
    pub fn empty_reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// A reservation of part of the budget, released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl Reservation {
    /// Changes the size of the reservation. Returns `false`, without effect, if the budget is too small.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes && !self.budget.reserve(bytes - self.bytes) {
            return false;
        }
        self.budget.release(self.bytes.saturating_sub(bytes));
        self.bytes = bytes;
        true
    }

    /// Returns the size of the reservation in bytes.
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
    fn a_reservation_succeeds_in_full_or_not_at_all() {
        let budget = BufferBudget::new(10);
        assert!(budget.reserve(6) && !budget.reserve(5) && budget.reserve(4));
        budget.release(6);
        let mut reservation = budget.empty_reservation();
        assert!(
            reservation.resize(4) && !reservation.resize(7) && reservation.resize(3) && !budget.reserve(4)
        );
        drop(reservation);
        assert!(!budget.reserve(7) && budget.reserve(6));
    }
}
