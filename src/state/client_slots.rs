//! Connection slots of a listener. When all slots are in use, a connection without an open request is asked to close.

use super::deadlines::Deadlines;
use crate::interface::Time;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::Notify;

/// Maximum number of connections that are asked to close and still open. Closing takes a moment; without this limit one
/// new client could make the listener close many connections in the meantime.
const MAX_CLOSING: usize = 8;
/// The same limit for silent connections while clients wait for long: a silent connection closes in the same turn of the
/// event loop in which it is asked.
const MAX_SILENT_CLOSING: usize = 256;

/// Why a connection may be asked to close when the slots run out, in the order of eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictReason {
    /// The client has sent nothing since it connected.
    Silent,
    /// The client has sent an incomplete command.
    Unfinished,
    /// The client has no open request.
    Idle,
}

/// How urgently connections in the accept queue need a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptPressure {
    /// Connections have waited for a short time.
    Normal,
    /// Connections have waited for long.
    High,
    /// Connections have waited for so long that their first requests may miss their deadlines.
    Urgent,
}

impl EvictReason {
    /// All reasons, in the order of eviction.
    const ALL: [EvictReason; 3] = [EvictReason::Silent, EvictReason::Unfinished, EvictReason::Idle];

    /// Returns how long the reason must have lasted before the connection may be evicted, even when all slots are used:
    /// the first request of a new client may be on its way, some clients send a command in pieces, and a client
    /// that has its answer may send the next request.
    fn grace(self, pressure: AcceptPressure) -> Time {
        match (self, pressure) {
            (EvictReason::Silent, AcceptPressure::Normal) => 50_000,
            (EvictReason::Silent, AcceptPressure::High) => 10_000,
            // This connection has waited in the accept queue too, so its first request has already arrived if there is one.
            (EvictReason::Silent, AcceptPressure::Urgent) => 2_000,
            (EvictReason::Unfinished, _) => 300_000,
            (EvictReason::Idle, _) => 20_000,
        }
    }

    /// Returns the number of closing connections from which no other connection is evicted for this reason.
    fn max_closing(self, pressure: AcceptPressure) -> usize {
        match (self, pressure) {
            (EvictReason::Silent, AcceptPressure::High | AcceptPressure::Urgent) => MAX_SILENT_CLOSING,
            _ => MAX_CLOSING,
        }
    }
}

/// State of a slot in use.
#[derive(Debug, Default)]
struct SlotState {
    /// Why the connection may be evicted and since when; `None` while it has an open request.
    evictable: Cell<Option<(EvictReason, Time)>>,
    close_requested: Cell<bool>,
    deadline: Cell<Option<Time>>,
    wake: Notify,
}

/// The connection slots of a listener: one for each open client connection.
#[derive(Debug, Clone, Default)]
pub struct ClientSlots {
    in_use: Rc<RefCell<BTreeMap<u64, Rc<SlotState>>>>,
    /// Connections that may be evicted and were not asked to close yet, by reason, start of the reason and slot number.
    evictable: Rc<RefCell<BTreeSet<(EvictReason, Time, u64)>>>,
    /// Number of connections that were asked to close and are still open.
    closing: Rc<Cell<usize>>,
    /// Deadlines of the connections, by slot number.
    deadlines: Rc<RefCell<Deadlines<u64>>>,
    last_number: Rc<Cell<u64>>,
}

impl ClientSlots {
    /// Returns the number of slots in use.
    pub fn len(&self) -> usize {
        self.in_use.borrow().len()
    }

    /// Returns whether no slot is in use.
    pub fn is_empty(&self) -> bool {
        self.in_use.borrow().is_empty()
    }

    /// Takes a slot, which is released when the returned value is dropped.
    pub fn take(&self) -> ClientSlot {
        self.last_number.set(self.last_number.get() + 1);
        let number = self.last_number.get();
        let state = Rc::new(SlotState::default());
        self.in_use.borrow_mut().insert(number, state.clone());
        ClientSlot { number, state, slots: self.clone() }
    }

    /// Asks one connection to close: the first by [`EvictReason`], and among equals the one evictable for longest.
    /// Returns `false` if no connection may be evicted.
    pub fn evict_one(&self, now: Time, pressure: AcceptPressure) -> bool {
        let first_of = |reason: EvictReason| {
            if self.closing.get() >= reason.max_closing(pressure) {
                return None;
            }
            let evictable = self.evictable.borrow();
            let first = evictable.range((reason, Time::MIN, 0)..).next().copied();
            first.filter(|(of, since, _)| *of == reason && now - since >= reason.grace(pressure))
        };
        let Some(first) = EvictReason::ALL.into_iter().find_map(first_of) else { return false };
        self.evictable.borrow_mut().remove(&first);
        if let Some(state) = self.in_use.borrow().get(&first.2) {
            state.close_requested.set(true);
            self.closing.set(self.closing.get() + 1);
            state.wake.notify_one();
        }
        true
    }

    /// Wakes the connections whose deadlines have passed; each connection acts on its own deadline.
    pub fn sweep(&self, now: Time) {
        while let Some((_, number)) = self.deadlines.borrow_mut().pop_due(now) {
            if let Some(state) = self.in_use.borrow().get(&number) {
                state.deadline.set(None);
                state.wake.notify_one();
            }
        }
    }
}

/// A slot in use by one connection.
#[derive(Debug)]
pub struct ClientSlot {
    number: u64,
    state: Rc<SlotState>,
    slots: ClientSlots,
}

impl ClientSlot {
    /// Sets why the connection may be evicted and since when; `None` if it may not be evicted.
    pub fn set_evictable(&self, evictable: Option<(EvictReason, Time)>) {
        let before = self.state.evictable.replace(evictable);
        if before == evictable || self.state.close_requested.get() {
            return;
        }
        let mut all = self.slots.evictable.borrow_mut();
        if let Some((reason, since)) = before {
            all.remove(&(reason, since, self.number));
        }
        if let Some((reason, since)) = evictable {
            all.insert((reason, since, self.number));
        }
    }

    /// Returns whether the connection has been asked to close.
    pub fn is_close_requested(&self) -> bool {
        self.state.close_requested.get()
    }

    /// Sets the deadline of the connection and replaces the previous one.
    pub fn set_deadline(&self, at: Option<Time>) {
        let before = self.state.deadline.replace(at);
        if before != at {
            let mut deadlines = self.slots.deadlines.borrow_mut();
            if let Some(before) = before {
                deadlines.remove(before, self.number);
            }
            if let Some(at) = at {
                deadlines.insert(at, self.number);
            }
        }
    }

    /// Waits until the connection is asked to close or its deadline passes.
    pub async fn woken(&self) {
        self.state.wake.notified().await;
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.set_deadline(None);
        self.set_evictable(None);
        if self.state.close_requested.get() {
            self.slots.closing.set(self.slots.closing.get().saturating_sub(1));
        }
        self.slots.in_use.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silent_connections_are_evicted_first_and_busy_ones_never() {
        let slots = ClientSlots::default();
        let all: Vec<ClientSlot> = (0..5).map(|_| slots.take()).collect();
        const MS: Time = 1_000;
        let reasons = [
            None,
            Some((EvictReason::Idle, 200 * MS)),
            Some((EvictReason::Idle, 100 * MS)),
            Some((EvictReason::Unfinished, 300 * MS)),
            Some((EvictReason::Silent, 400 * MS)),
        ];
        all.iter().zip(reasons).for_each(|(slot, reason)| slot.set_evictable(reason));
        let requested = || all.iter().map(ClientSlot::is_close_requested).collect::<Vec<bool>>();
        assert!(!slots.evict_one(119 * MS, AcceptPressure::Normal), "none has lasted as long as its grace");
        assert!(slots.evict_one(400 * MS, AcceptPressure::Normal), "the connection idle for longest");
        assert_eq!(requested(), [false, false, true, false, false]);
        assert!(
            slots.evict_one(450 * MS, AcceptPressure::Normal),
            "a new silent connection is evicted first once its grace is over"
        );
        assert_eq!(requested(), [false, false, true, false, true]);
        assert!(
            slots.evict_one(800 * MS, AcceptPressure::Normal)
                && slots.evict_one(800 * MS, AcceptPressure::Normal)
                && !slots.evict_one(800 * MS, AcceptPressure::Normal)
        );
        assert_eq!(requested(), [false, true, true, true, true]);
        drop(all);
        assert!(slots.is_empty() && slots.evictable.borrow().is_empty() && slots.closing.get() == 0);
        let more: Vec<ClientSlot> = (0..2 * MAX_CLOSING).map(|_| slots.take()).collect();
        more.iter().for_each(|s| s.set_evictable(Some((EvictReason::Idle, 0))));
        assert_eq!(
            (0..2 * MAX_CLOSING).filter(|_| slots.evict_one(MS * MS, AcceptPressure::Normal)).count(),
            MAX_CLOSING
        );
    }

    /// Guards against requests that wait too long in the accept queue because silent connections hold the slots.
    #[test]
    fn silent_connections_are_evicted_earlier_under_high_accept_pressure() {
        let slots = ClientSlots::default();
        let slot = slots.take();
        slot.set_evictable(Some((EvictReason::Silent, 0)));
        assert!(
            !slots.evict_one(20_000, AcceptPressure::Normal) && slots.evict_one(20_000, AcceptPressure::High)
        );
        assert!(!slots.evict_one(20_000, AcceptPressure::High), "a connection is asked only once");
    }

    #[test]
    fn a_slot_has_one_deadline_which_ends_with_it() {
        let slots = ClientSlots::default();
        let (a, b) = (slots.take(), slots.take());
        a.set_deadline(Some(10));
        a.set_deadline(Some(20));
        b.set_deadline(Some(15));
        drop(b);
        assert_eq!(slots.deadlines.borrow().len(), 1);
        slots.sweep(19);
        assert_eq!(slots.deadlines.borrow().len(), 1);
        slots.sweep(20);
        assert!(slots.deadlines.borrow().is_empty());
    }
}
