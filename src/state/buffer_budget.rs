//! A budget in bytes for the buffers of open requests and replies.
//!
//! A reservation either succeeds in full or fails without effect, and is released when it is dropped. Memory that is held
//! already is charged whatever is left ([`Reservation::set`]), so that the budget tells what is held; nothing more is granted
//! until enough of it is released.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes left for the buffers of the clients of one front. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    /// Negative while more is held than the budget has.
    left: Rc<Cell<isize>>,
    total: usize,
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
        BufferBudget { left: Rc::new(Cell::new(bytes as isize)), total: bytes }
    }

    /// Reserves bytes. Returns `false`, without effect, if fewer are left.
    pub fn reserve(&self, bytes: usize) -> bool {
        let fits = self.left.get() >= bytes as isize;
        if fits {
            self.left.set(self.left.get() - bytes as isize);
        }
        fits
    }

    /// Returns the size of the budget in bytes.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Whether at least half of the budget is left. Buffers that wait for a single client or node grow beyond their usual size
    /// only then, so that they leave room for others.
    pub fn is_ample(&self) -> bool {
        self.left.get() >= (self.total / 2) as isize
    }

    /// Whether less than a quarter of the budget is left, which is kept for new requests and short answers.
    pub fn is_low(&self) -> bool {
        self.left.get() < (self.total / 4) as isize
    }

    /// Releases bytes that were reserved.
    pub fn release(&self, bytes: usize) {
        self.left.set(self.left.get() + bytes as isize);
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

    /// Sets the size of the reservation to what is held already, even if the budget is too small for it.
    pub fn set(&mut self, bytes: usize) {
        let left = self.budget.left.get() + self.bytes as isize;
        self.budget.left.set(left - bytes as isize);
        self.bytes = bytes;
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

    /// Guards against memory that is held but not counted, and against grants while the budget is overdrawn.
    #[test]
    fn what_is_held_is_charged_even_beyond_the_budget() {
        let budget = BufferBudget::new(10);
        let mut reservation = budget.empty_reservation();
        assert!(budget.is_ample() && !budget.is_low());
        reservation.set(25);
        assert!(!budget.reserve(1) && !reservation.resize(26) && budget.is_low());
        reservation.set(6);
        assert!(!budget.is_ample() && !budget.is_low() && !budget.reserve(5) && budget.reserve(4));
    }
}
