//! What the deployment lets this process hold, shared out between clients and links; and the seats of
//! clients, so that a full house makes room by closing a connection that is between requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors kept for the listener, discovery, the runtime, the log and signals.
const RESERVED: usize = 40;
/// Connections that may be on their way out at once: leaving takes a moment, and calling one after another
/// meanwhile would empty the house for one newcomer.
const MOST_LEAVING: usize = 8;
/// Memory that a client connection may take: its read buffer, its unread answers, its requests.
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
}

impl Limits {
    /// Shares out descriptors and memory: three fifths of the descriptors to clients, the rest to links, and
    /// half the memory to what clients hold. With the NBD front on, it has a quarter of it all, the second
    /// of the pair.
    pub fn share(descriptors: usize, memory_mb: usize, nbd: bool) -> (Self, Self) {
        let free = descriptors.saturating_sub(RESERVED).max(16);
        let kb = memory_mb * 1024 / 2;
        let part = |free: usize, kb: usize, client_kb: usize| {
            let clients = free * 3 / 5;
            Limits { clients: clients.min(kb / client_kb).max(4), links: free - clients }
        };
        let (nbd_free, nbd_kb) = if nbd { (free / 4, kb / 2) } else { (0, 0) };
        (part(free - nbd_free, kb - nbd_kb, CLIENT_KB), part(nbd_free, nbd_kb, NBD_CLIENT_KB))
    }
}

#[derive(Debug, Default)]
struct Taken {
    idle: Cell<bool>,
    idle_since: Cell<u64>,
    called: Cell<bool>,
    wake: Notify,
}

/// The seats of a front: one for each client connection that is open.
#[derive(Debug, Clone, Default)]
pub struct Seats {
    taken: Rc<RefCell<BTreeMap<u64, Rc<Taken>>>>,
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
        self.taken.borrow_mut().insert(number, taken.clone());
        Seat { number, taken, seats: self.clone() }
    }

    /// Asks the connection that has been between requests for longest to leave; false if none is asked.
    pub fn call_idle(&self) -> bool {
        let taken = self.taken.borrow();
        if taken.values().filter(|t| t.called.get()).count() >= MOST_LEAVING {
            return false;
        }
        let idle = taken.values().filter(|t| t.idle.get() && !t.called.get());
        let Some(longest) = idle.min_by_key(|t| t.idle_since.get()) else { return false };
        longest.called.set(true);
        longest.wake.notify_one();
        true
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
    /// Notes whether the connection is between requests.
    pub fn set_idle(&self, idle: bool) {
        if idle && !self.taken.idle.get() {
            self.taken.idle_since.set(self.seats.count());
        }
        self.taken.idle.set(idle);
    }

    /// Whether it has been asked to leave.
    pub fn is_called(&self) -> bool {
        self.taken.called.get()
    }

    /// Waits until it is asked to leave.
    pub async fn called(&self) {
        self.taken.wake.notified().await;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.taken.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn connections_stay_within_descriptors_and_memory() {
        for nbd in [false, true] {
            let (resp, disk) = Limits::share(1024, 192, nbd);
            let fds = resp.clients + resp.links + if nbd { disk.clients + disk.links } else { 0 };
            assert!(fds + RESERVED <= 1024, "{resp:?} {disk:?}");
            let kb = resp.clients * CLIENT_KB + if nbd { disk.clients * NBD_CLIENT_KB } else { 0 };
            assert!(kb <= 192 * 1024 / 2, "{resp:?} {disk:?}");
        }
        assert!(Limits::share(30, 8, false).0.clients >= 4);
    }

    #[test]
    fn the_connection_idle_for_longest_is_asked_to_leave_first() {
        let seats = Seats::default();
        let (a, b, c) = (seats.take(), seats.take(), seats.take());
        b.set_idle(true);
        a.set_idle(true);
        assert!(seats.call_idle() && b.is_called() && !a.is_called());
        a.set_idle(false);
        assert!(!seats.call_idle() && !c.is_called());
        drop(b);
        assert_eq!(seats.len(), 2);
        let more: Vec<Seat> = (0..2 * MOST_LEAVING).map(|_| seats.take()).collect();
        more.iter().for_each(|s| s.set_idle(true));
        assert_eq!((0..2 * MOST_LEAVING).filter(|_| seats.call_idle()).count(), MOST_LEAVING);
    }
}
