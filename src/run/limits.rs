//! What the deployment lets this process hold, shared out between clients and links; and the seats of
//! clients, so that a full house makes room by closing a connection that is between requests.

use crate::interface::Time;
use crate::state::deadlines::Deadlines;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors kept for the listeners, discovery (twice while it moves), the runtime, the log and signals.
const RESERVED: usize = 24;
/// Connections that may be on their way out at once: leaving takes a moment, and calling one after another
/// meanwhile would empty the house for one newcomer.
const MOST_LEAVING: usize = 8;
/// Memory that a client connection may take: its read buffer, and its unread answers.
const CLIENT_KB: usize = 96;
/// Memory that an NBD client may take: its requests, which hold up to 1 MiB each, and their replies.
const NBD_CLIENT_KB: usize = 6 * 1024;

/// How many connections of a front and its fleet may be open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Client connections.
    pub clients: usize,
    /// Links to nodes.
    pub links: usize,
    /// Bytes for requests that are open, beside what each connection may take.
    pub room: usize,
}

impl Limits {
    /// Shares out descriptors and memory: two thirds of the descriptors to clients, the rest to links; half
    /// the memory to what clients hold, a quarter to their open requests. With the NBD front on, it has a
    /// quarter of it all, the second of the pair.
    pub fn share(descriptors: usize, memory_mb: usize, nbd: bool) -> (Self, Self) {
        let free = descriptors.saturating_sub(RESERVED).max(16);
        let kb = memory_mb * 1024 / 2;
        let part = |free: usize, kb: usize, client_kb: usize| {
            let clients = free * 2 / 3;
            let room = kb * 1024 / 2;
            Limits { clients: clients.min(kb / client_kb).max(4), links: free - clients, room }
        };
        let (nbd_free, nbd_kb) = if nbd { (free / 4, kb / 2) } else { (0, 0) };
        (part(free - nbd_free, kb - nbd_kb, CLIENT_KB), part(nbd_free, nbd_kb, NBD_CLIENT_KB))
    }
}

/// Room for what the clients of a front have open, in bytes.
#[derive(Debug, Clone)]
pub struct Room {
    left: Rc<Cell<usize>>,
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
}

#[derive(Debug, Default)]
struct Taken {
    idle: Cell<bool>,
    /// It has sent something.
    spoke: Cell<bool>,
    idle_since: Cell<u64>,
    called: Cell<bool>,
    deadline: Cell<Option<Time>>,
    wake: Notify,
}

/// The seats of a front: one for each client connection that is open.
#[derive(Debug, Clone, Default)]
pub struct Seats {
    taken: Rc<RefCell<BTreeMap<u64, Rc<Taken>>>>,
    /// When to look at a connection again, by the numbers of the seats.
    deadlines: Rc<RefCell<Deadlines<u64>>>,
    next: Rc<Cell<u64>>,
}

impl Seats {
    /// How many are taken.
    pub fn len(&self) -> usize {
        self.taken.borrow().len()
    }

    /// Whether none is taken.
    pub fn is_empty(&self) -> bool {
        self.taken.borrow().is_empty()
    }

    /// Takes a seat, given back when it is dropped.
    pub fn take(&self) -> Seat {
        let number = self.count();
        let taken = Rc::new(Taken::default());
        taken.idle_since.set(number);
        self.taken.borrow_mut().insert(number, taken.clone());
        Seat { number, taken, seats: self.clone() }
    }

    /// Asks one connection to leave that is between requests: of those that never said a word the first to
    /// come, or else the one that has been idle for longest. False if none is asked.
    pub fn call_idle(&self) -> bool {
        let taken = self.taken.borrow();
        if taken.values().filter(|t| t.called.get()).count() >= MOST_LEAVING {
            return false;
        }
        let idle = taken.values().filter(|t| t.idle.get() && !t.called.get());
        let Some(first) = idle.min_by_key(|t| (t.spoke.get(), t.idle_since.get())) else { return false };
        first.called.set(true);
        first.wake.notify_one();
        true
    }

    /// Wakes the connections whose deadlines are over: they know what that means.
    pub fn sweep(&self, now: Time) {
        while let Some((_, number)) = self.deadlines.borrow_mut().pop_due(now) {
            if let Some(taken) = self.taken.borrow().get(&number) {
                taken.deadline.set(None);
                taken.wake.notify_one();
            }
        }
    }

    fn count(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }
}

/// A seat that is taken.
#[derive(Debug)]
pub struct Seat {
    number: u64,
    taken: Rc<Taken>,
    seats: Seats,
}

impl Seat {
    /// Notes whether the connection is between requests, and whether it has ever sent anything.
    pub fn set_idle(&self, idle: bool, spoke: bool) {
        if idle && !self.taken.idle.get() {
            self.taken.idle_since.set(self.seats.count());
        }
        self.taken.idle.set(idle);
        self.taken.spoke.set(spoke);
    }

    /// Whether it has been asked to leave.
    pub fn is_called(&self) -> bool {
        self.taken.called.get()
    }

    /// Sets the one deadline of the connection, in the place of the one before.
    pub fn set_deadline(&self, at: Option<Time>) {
        let before = self.taken.deadline.replace(at);
        if before != at {
            let mut deadlines = self.seats.deadlines.borrow_mut();
            if let Some(before) = before {
                deadlines.remove(before, self.number);
            }
            if let Some(at) = at {
                deadlines.insert(at, self.number);
            }
        }
    }

    /// Waits until it is asked to leave or its deadline is over.
    pub async fn called(&self) {
        self.taken.wake.notified().await;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.set_deadline(None);
        self.seats.taken.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn connections_stay_within_descriptors_and_memory() {
        for (nbd, files, mb) in [(false, 1024, 192), (true, 1024, 192), (false, 256, 32)] {
            let (resp, disk) = Limits::share(files, mb, nbd);
            let fds = resp.clients + resp.links + if nbd { disk.clients + disk.links } else { 0 };
            assert!(fds + RESERVED <= files, "{resp:?} {disk:?}");
            let kb = resp.clients * CLIENT_KB + if nbd { disk.clients * NBD_CLIENT_KB } else { 0 };
            let room = resp.room + if nbd { disk.room } else { 0 };
            assert!(kb <= mb * 1024 / 2 && room <= mb * 1024 * 1024 / 4, "{resp:?} {disk:?}");
            assert!(
                resp.clients * 2 > files * 3 / 4 || nbd,
                "twice what clients hold for requests: {resp:?}"
            );
        }
        assert!(Limits::share(30, 8, false).0.clients >= 4);
    }

    #[test]
    fn room_is_taken_whole_or_not_at_all() {
        let room = Room::new(10);
        assert!(room.take(6) && !room.take(5) && room.take(4));
        room.give_back(6);
        assert!(!room.take(7) && room.take(6));
    }

    #[test]
    fn the_silent_are_asked_to_leave_first_and_then_the_one_idle_for_longest() {
        let seats = Seats::default();
        let (a, b, c, d) = (seats.take(), seats.take(), seats.take(), seats.take());
        b.set_idle(true, true);
        a.set_idle(true, true);
        d.set_idle(true, false);
        assert!(seats.call_idle() && d.is_called() && !b.is_called());
        assert!(seats.call_idle() && b.is_called() && !a.is_called());
        a.set_idle(false, true);
        assert!(!seats.call_idle() && !c.is_called());
        drop(b);
        assert_eq!(seats.len(), 3);
        let more: Vec<Seat> = (0..2 * MOST_LEAVING).map(|_| seats.take()).collect();
        more.iter().for_each(|s| s.set_idle(true, true));
        assert_eq!((0..2 * MOST_LEAVING).filter(|_| seats.call_idle()).count(), MOST_LEAVING - 1);
    }

    #[test]
    fn a_seat_has_one_deadline_and_takes_it_along() {
        let seats = Seats::default();
        let (a, b) = (seats.take(), seats.take());
        a.set_deadline(Some(10));
        a.set_deadline(Some(20));
        b.set_deadline(Some(15));
        drop(b);
        assert_eq!(seats.deadlines.borrow().len(), 1);
        seats.sweep(19);
        assert_eq!(seats.deadlines.borrow().len(), 1);
        seats.sweep(20);
        assert!(seats.deadlines.borrow().is_empty());
    }
}
