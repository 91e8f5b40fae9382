//! Memory for what is open, shared out in bytes: taken whole or not at all, and given back when dropped.

use std::cell::Cell;
use std::rc::Rc;

/// Room for what the clients of a front have open, in bytes.
#[derive(Debug, Clone)]
pub struct Room {
    left: Rc<Cell<usize>>,
}

impl Default for Room {
    /// No room at all.
    fn default() -> Self {
        Room::new(0)
    }
}

impl Room {
    /// So many bytes, none of them taken.
    pub fn new(bytes: usize) -> Self {
        Room { left: Rc::new(Cell::new(bytes)) }
    }

    /// Takes some; false if there are not so many left.
    pub fn take(&self, bytes: usize) -> bool {
        let left = self.left.get().checked_sub(bytes);
        self.left.set(left.unwrap_or(self.left.get()));
        left.is_some()
    }

    /// Gives back what was taken.
    pub fn give_back(&self, bytes: usize) {
        self.left.set(self.left.get() + bytes);
    }

    /// A part of it whose size changes; none as yet.
    pub fn part(&self) -> Part {
        Part { room: self.clone(), bytes: 0 }
    }
}

/// A part of the room, given back when it is dropped.
#[derive(Debug)]
pub struct Part {
    room: Room,
    bytes: usize,
}

impl Part {
    /// Makes it that large; false, with nothing changed, if there is not so much left.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes && !self.room.take(bytes - self.bytes) {
            return false;
        }
        self.room.give_back(self.bytes.saturating_sub(bytes));
        self.bytes = bytes;
        true
    }

    /// How large it is.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.room.give_back(self.bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn room_is_taken_whole_or_not_at_all() {
        let room = Room::new(10);
        assert!(room.take(6) && !room.take(5) && room.take(4));
        room.give_back(6);
        let mut part = room.part();
        assert!(part.resize(4) && !part.resize(7) && part.resize(3) && !room.take(4));
        drop(part);
        assert!(!room.take(7) && room.take(6));
    }
}
