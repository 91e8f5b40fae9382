//! A broker's lease on the view that it acts by. Source of the idea: Gray and Cheriton, "Leases: An Efficient
//! Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP 1989. Here no voter keeps a table: a lease
//! is the word of enough voters that they have written down no later view, counted from when they were asked.

use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Questions whose answers are still taken; asked three times in a lease.
const MOST_ASKED: usize = 4;
/// Added to a lease for those who wait for its end: clocks of two machines do not run quite alike. A twentieth.
const DRIFT: Time = 20;

/// How many voters must give their word, of so many seats in a view, in a cluster that wants so many voters. While
/// seats change, one at a time, this many meet each majority that can commit the next view.
pub fn enough(seats: usize, wanted: usize) -> usize {
    (seats - (wanted / 2).min(seats)).max(1)
}

/// How long after a view is known to be committed no broker holds a lease on an earlier one any more.
pub fn over_after(length: Time) -> Time {
    length + length / DRIFT
}

/// The lease that a broker holds, and what it has asked for.
#[derive(Debug)]
pub struct Lease {
    length: Time,
    view: u64,
    /// By the time of asking, the seats that gave their word; the last few.
    asked: BTreeMap<Time, BTreeSet<u64>>,
    until: Time,
    next: Time,
}

impl Lease {
    /// None yet; each is to last so long.
    pub fn new(length: Time) -> Lease {
        Lease { length, view: 0, asked: BTreeMap::new(), until: Time::MIN, next: Time::MIN }
    }

    /// This view is in force here. What was asked for an earlier one is no longer waited for.
    pub fn applied(&mut self, view: u64) {
        if view > self.view {
            self.view = view;
            self.asked.clear();
            self.next = Time::MIN;
        }
    }

    /// The view in force.
    pub fn view(&self) -> u64 {
        self.view
    }

    /// Whether it is time to ask the voters again.
    pub fn asks(&mut self, now: Time) -> bool {
        if self.view == 0 || now < self.next {
            return false;
        }
        self.next = now + self.length / 3;
        self.asked.insert(now, BTreeSet::new());
        if self.asked.len() > MOST_ASKED {
            self.asked.pop_first();
        }
        true
    }

    /// Takes a voter's word, for the view and the time of asking that it names.
    pub fn granted(&mut self, at: Time, view: u64, seat: u64, enough: usize) {
        let Some(seats) = self.asked.get_mut(&at).filter(|_| view == self.view) else { return };
        seats.insert(seat);
        if seats.len() >= enough {
            self.until = self.until.max(at + self.length);
        }
    }

    /// Until when anything may be sent.
    pub fn until(&self) -> Time {
        self.until
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lease_counts_from_the_question_and_needs_enough_voters_for_the_view_in_force() {
        let mut lease = Lease::new(300);
        assert!(!lease.asks(0), "no view is in force");
        lease.applied(4);
        assert!(lease.asks(10) && !lease.asks(50));
        lease.granted(10, 4, 1, 2);
        lease.granted(10, 4, 1, 2);
        lease.granted(10, 3, 2, 2);
        lease.granted(11, 4, 2, 2);
        assert_eq!(lease.until(), Time::MIN);
        lease.granted(10, 4, 2, 2);
        assert_eq!(lease.until(), 310);
        lease.applied(5);
        lease.granted(10, 4, 3, 2);
        assert!(lease.asks(60), "a new view is asked for at once");
    }

    /// Guards against seats that change until voters who grant and voters who commit need not meet.
    #[test]
    fn those_who_grant_meet_those_who_commit_while_seats_change() {
        for wanted in [1, 3, 5] {
            for seats in wanted..=2 * wanted {
                // Seats that are voters of the consensus: at least as many as wanted.
                for voters in wanted..=seats {
                    assert!(enough(seats, wanted) + voters / 2 + 1 > seats, "{seats} {wanted} {voters}");
                    // Of one voter more, whose seat was given up, a majority has one less among the seats.
                    let commit = voters.div_ceil(2) + 1;
                    assert!(enough(seats, wanted) + commit - 1 > seats, "{seats} {wanted} {voters}");
                }
            }
        }
    }
}
