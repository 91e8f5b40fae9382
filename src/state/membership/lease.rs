//! A broker's lease: it may send to nodes. Source of the idea: Gray and Cheriton, "Leases: An Efficient
//! Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP 1989. Here no voter keeps a table: a lease is
//! the word of enough voters, each of which names all nodes that are out by what it has written down beyond the view of the
//! one that asks. It counts from when they were asked, once all of that is in force. So a change never ends a lease: the
//! renewal brings it along.

use crate::interface::Time;
use std::collections::BTreeMap;

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
    /// The last state of what is out that is in force.
    in_force: u64,
    /// By the time of asking, the voters that gave their word, and the state that must be in force for it; the last few.
    asked: BTreeMap<Time, BTreeMap<u64, u64>>,
    enough: usize,
    until: Time,
    next: Time,
}

impl Lease {
    /// None yet; each is to last so long.
    pub fn new(length: Time) -> Lease {
        let (until, next) = (Time::MIN, Time::MIN);
        Lease { length, in_force: 0, asked: BTreeMap::new(), enough: usize::MAX, until, next }
    }

    /// Other voters give their word from now on, this many of which are needed: what was asked of others is not waited for.
    pub fn ask_of(&mut self, enough: usize) {
        self.asked.clear();
        self.enough = enough;
        self.next = Time::MIN;
    }

    /// This state of what is out is in force here.
    pub fn applied(&mut self, state: u64) {
        self.in_force = self.in_force.max(state);
        self.count();
    }

    /// Whether it is time to ask the voters again.
    pub fn asks(&mut self, now: Time) -> bool {
        if self.in_force == 0 || now < self.next {
            return false;
        }
        self.next = now + self.length / 3;
        self.asked.insert(now, BTreeMap::new());
        if self.asked.len() > MOST_ASKED {
            self.asked.pop_first();
        }
        true
    }

    /// Whether a question of that time still waits for words.
    pub fn waits(&self, at: Time) -> bool {
        self.asked.contains_key(&at)
    }

    /// Takes a voter's word on the question of that time. It counts once that state is in force.
    pub fn granted(&mut self, at: Time, seat: u64, state: u64) {
        if let Some(words) = self.asked.get_mut(&at) {
            words.entry(seat).or_insert(state);
            self.count();
        }
    }

    fn count(&mut self) {
        for (at, words) in &self.asked {
            if words.values().filter(|state| **state <= self.in_force).count() >= self.enough {
                self.until = self.until.max(at + self.length);
            }
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
    fn a_lease_counts_from_the_question_and_needs_enough_voters_whose_news_are_in_force() {
        let mut lease = Lease::new(300);
        lease.ask_of(2);
        assert!(!lease.asks(0), "nothing is in force");
        lease.applied(4);
        assert!(lease.asks(10) && !lease.asks(50));
        lease.granted(10, 1, 4);
        lease.granted(10, 1, 4);
        lease.granted(11, 2, 4);
        assert_eq!(lease.until(), Time::MIN);
        // The second voter told of something that is not in force yet.
        lease.granted(10, 2, 5);
        assert_eq!(lease.until(), Time::MIN);
        lease.applied(5);
        assert_eq!(lease.until(), 310);
        assert!(lease.asks(110));
        lease.granted(110, 1, 5);
        lease.ask_of(2);
        lease.granted(110, 2, 5);
        assert_eq!(lease.until(), 310, "what former voters said is not counted with what others say");
        assert!(lease.asks(120), "others are asked at once");
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
