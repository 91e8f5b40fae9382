//! The seats of clients: a full front makes room by closing a connection that is between requests.

use super::deadlines::Deadlines;
use crate::interface::Time;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::Notify;

/// Connections that may be on their way out at once: leaving takes a moment, and calling one after another
/// meanwhile would empty the house for one newcomer.
const MOST_LEAVING: usize = 8;
/// The same of silent ones where many wait: these leave in the turn in which they are asked.
const MOST_SILENT_LEAVING: usize = 256;

/// Why a connection may be asked to leave where seats run out; in the order in which they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictReason {
    /// It has never said a word.
    Silent,
    /// It has left a command unfinished.
    Unfinished,
    /// It is between requests.
    Idle,
}

/// How much others are waited for by those who are not let in yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptPressure {
    /// They have only just come.
    Normal,
    /// They have waited for long.
    High,
    /// They have waited for so long that what they have sent may come too late.
    Urgent,
}

impl EvictReason {
    /// All kinds, in their order.
    const ALL: [EvictReason; 3] = [EvictReason::Silent, EvictReason::Unfinished, EvictReason::Idle];

    /// How long it must have been so, even at a full front: the first request of one that has just come may be
    /// on its way, some clients send in pieces, and a client that has its answer may go on.
    fn grace(self, press: AcceptPressure) -> Time {
        match (self, press) {
            (EvictReason::Silent, AcceptPressure::Normal) => 50_000,
            (EvictReason::Silent, AcceptPressure::High) => 10_000,
            // What one of these has to say has come while it waited itself.
            (EvictReason::Silent, AcceptPressure::Urgent) => 2_000,
            (EvictReason::Unfinished, _) => 300_000,
            (EvictReason::Idle, _) => 20_000,
        }
    }

    /// How many may be on their way out when another one of this kind is asked.
    fn most_leaving(self, press: AcceptPressure) -> usize {
        match (self, press) {
            (EvictReason::Silent, AcceptPressure::High | AcceptPressure::Urgent) => MOST_SILENT_LEAVING,
            _ => MOST_LEAVING,
        }
    }
}

#[derive(Debug, Default)]
struct Taken {
    /// Why it may leave and since when; nothing while it has something open.
    spare: Cell<Option<(EvictReason, Time)>>,
    called: Cell<bool>,
    deadline: Cell<Option<Time>>,
    wake: Notify,
}

/// The seats of a front: one for each client connection that is open.
#[derive(Debug, Clone, Default)]
pub struct ClientSlots {
    taken: Rc<RefCell<BTreeMap<u64, Rc<Taken>>>>,
    /// Those that may be asked to leave and were not yet, by why and since when.
    spare: Rc<RefCell<BTreeSet<(EvictReason, Time, u64)>>>,
    /// How many were asked and are still there.
    leaving: Rc<Cell<usize>>,
    /// When to look at a connection again, by the numbers of the seats.
    deadlines: Rc<RefCell<Deadlines<u64>>>,
    next: Rc<Cell<u64>>,
}

impl ClientSlots {
    /// How many are taken.
    pub fn len(&self) -> usize {
        self.taken.borrow().len()
    }

    /// Whether none is taken.
    pub fn is_empty(&self) -> bool {
        self.taken.borrow().is_empty()
    }

    /// Takes a seat, given back when it is dropped.
    pub fn take(&self) -> ClientSlot {
        self.next.set(self.next.get() + 1);
        let number = self.next.get();
        let taken = Rc::new(Taken::default());
        self.taken.borrow_mut().insert(number, taken.clone());
        ClientSlot { number, taken, seats: self.clone() }
    }

    /// Asks the connection to leave that can be spared most, and of several the one for longest; false if
    /// none is asked.
    pub fn evict_one(&self, now: Time, press: AcceptPressure) -> bool {
        let first_of = |why: EvictReason| {
            if self.leaving.get() >= why.most_leaving(press) {
                return None;
            }
            let spare = self.spare.borrow();
            let first = spare.range((why, Time::MIN, 0)..).next().copied();
            first.filter(|(of, since, _)| *of == why && now - since >= why.grace(press))
        };
        let Some(first) = EvictReason::ALL.into_iter().find_map(first_of) else { return false };
        self.spare.borrow_mut().remove(&first);
        if let Some(taken) = self.taken.borrow().get(&first.2) {
            taken.called.set(true);
            self.leaving.set(self.leaving.get() + 1);
            taken.wake.notify_one();
        }
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
}

/// A seat that is taken.
#[derive(Debug)]
pub struct ClientSlot {
    number: u64,
    taken: Rc<Taken>,
    seats: ClientSlots,
}

impl ClientSlot {
    /// Notes why the connection may be asked to leave, if it may, and since when.
    pub fn set_evictable(&self, spare: Option<(EvictReason, Time)>) {
        let before = self.taken.spare.replace(spare);
        if before == spare || self.taken.called.get() {
            return;
        }
        let mut all = self.seats.spare.borrow_mut();
        if let Some((why, since)) = before {
            all.remove(&(why, since, self.number));
        }
        if let Some((why, since)) = spare {
            all.insert((why, since, self.number));
        }
    }

    /// Whether it has been asked to leave.
    pub fn is_close_requested(&self) -> bool {
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
    pub async fn woken(&self) {
        self.taken.wake.notified().await;
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.set_deadline(None);
        self.set_evictable(None);
        if self.taken.called.get() {
            self.seats.leaving.set(self.seats.leaving.get().saturating_sub(1));
        }
        self.seats.taken.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_silent_are_asked_to_leave_first_and_the_busy_never() {
        let seats = ClientSlots::default();
        let all: Vec<ClientSlot> = (0..5).map(|_| seats.take()).collect();
        const MS: Time = 1_000;
        let spare = [
            None,
            Some((EvictReason::Idle, 200 * MS)),
            Some((EvictReason::Idle, 100 * MS)),
            Some((EvictReason::Unfinished, 300 * MS)),
            Some((EvictReason::Silent, 400 * MS)),
        ];
        all.iter().zip(spare).for_each(|(seat, spare)| seat.set_evictable(spare));
        let called = || all.iter().map(ClientSlot::is_close_requested).collect::<Vec<bool>>();
        assert!(!seats.evict_one(119 * MS, AcceptPressure::Normal), "each has its time");
        assert!(seats.evict_one(400 * MS, AcceptPressure::Normal), "the one idle for longest");
        assert_eq!(called(), [false, false, true, false, false]);
        assert!(
            seats.evict_one(450 * MS, AcceptPressure::Normal),
            "one that has just come has its time, and then goes first"
        );
        assert_eq!(called(), [false, false, true, false, true]);
        assert!(
            seats.evict_one(800 * MS, AcceptPressure::Normal)
                && seats.evict_one(800 * MS, AcceptPressure::Normal)
                && !seats.evict_one(800 * MS, AcceptPressure::Normal)
        );
        assert_eq!(called(), [false, true, true, true, true]);
        drop(all);
        assert!(seats.is_empty() && seats.spare.borrow().is_empty() && seats.leaving.get() == 0);
        let more: Vec<ClientSlot> = (0..2 * MOST_LEAVING).map(|_| seats.take()).collect();
        more.iter().for_each(|s| s.set_evictable(Some((EvictReason::Idle, 0))));
        assert_eq!(
            (0..2 * MOST_LEAVING).filter(|_| seats.evict_one(MS * MS, AcceptPressure::Normal)).count(),
            MOST_LEAVING
        );
    }

    /// Guards against requests that wait too long behind connections which say nothing.
    #[test]
    fn the_silent_leave_earlier_where_others_have_waited_for_long() {
        let seats = ClientSlots::default();
        let seat = seats.take();
        seat.set_evictable(Some((EvictReason::Silent, 0)));
        assert!(
            !seats.evict_one(20_000, AcceptPressure::Normal) && seats.evict_one(20_000, AcceptPressure::High)
        );
        assert!(!seats.evict_one(20_000, AcceptPressure::High), "asked once");
    }

    #[test]
    fn a_seat_has_one_deadline_and_takes_it_along() {
        let seats = ClientSlots::default();
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
