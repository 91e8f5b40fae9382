//! The one guard that every request passes where something begins, is repeated, is answered or is closed. It keeps
//! what is owed, denies what must not happen, and counts what has happened all the same: a violation. Time is
//! handed in.
//!
//! | what | asked by | rule |
//! | --- | --- | --- |
//! | a request is taken | the session | once, and not after its client has gone |
//! | an attempt begins, the first or a further one | the link, right before the first byte | its client waits, its time is not over, nobody has answered it, and what may have run is repeated only where that is harmless |
//! | an answer is given | the session | one, to a request that is owed one, in its time |
//! | a connection is closed | the session | nothing is owed on it, unless its client went or does not read |

use crate::interface::{Ending, RequestId, Time};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

/// How long after its client's close an attempt may begin, in microseconds.
const AFTER_CLOSE: Time = 100_000;
/// How long after its time an answer only earns nothing, in microseconds; then the request is lost.
const LATE_ANSWER: Time = 500_000;
/// How much more than its client has left a node may be told, in microseconds.
const TOLD_SLACK: Time = 150_000;

/// A rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt began more than the allowed time after its client had closed.
    BegunAfterClose,
    /// A node was told more than its client had left.
    ToldTooMuch,
    /// No answer by the time at which the request counts as lost.
    Unanswered,
    /// An answer to a request that is not owed one.
    AnsweredTwice,
    /// A connection was closed under what it owed.
    ClosedUnderRequest,
    /// A request was taken twice.
    TakenTwice,
}

/// All of them, in the order of the counts.
const VIOLATIONS: [Violation; 6] = [
    Violation::BegunAfterClose,
    Violation::ToldTooMuch,
    Violation::Unanswered,
    Violation::AnsweredTwice,
    Violation::ClosedUnderRequest,
    Violation::TakenTwice,
];

/// How often each rule was broken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Violations([u64; VIOLATIONS.len()]);

impl Violations {
    /// How often one was.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// How often any was.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl fmt::Display for Violations {
    /// The total, and which they were if there are any.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.total())?;
        for violation in VIOLATIONS.into_iter().filter(|v| self.of(*v) > 0) {
            write!(f, " {violation:?}={}", self.of(violation))?;
        }
        Ok(())
    }
}

/// Why an attempt may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// Its client has gone, or the request has its answer.
    Over,
    /// The time in which it may begin is over.
    Late,
    /// An earlier attempt may have run, and a second run would do harm.
    MayHaveRun,
}

/// What repeats of a request do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeats {
    /// No harm.
    Harmless,
    /// Harm, if an earlier attempt has run.
    Harmful,
}

/// Why a client's connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Its client has closed it, or it broke.
    ClientGone,
    /// Its client does not read what it was sent.
    NotRead,
    /// The rest of a long value will not come: the client must see that it is not whole.
    BrokenValue,
    /// Its client wished so, or broke the protocol.
    Ended,
    /// It was not used for too long.
    Idle,
    /// Its place is wanted.
    PlaceWanted,
    /// The broker sends its clients away.
    SentAway,
}

impl CloseReason {
    /// Whether the broker ends a connection by its own wish, between requests.
    pub fn is_broker_initiated(self) -> bool {
        matches!(self, CloseReason::Idle | CloseReason::PlaceWanted | CloseReason::SentAway)
    }

    /// Whether the broker may end a connection so under what it owes there.
    fn excuses(self) -> bool {
        matches!(self, CloseReason::ClientGone | CloseReason::NotRead | CloseReason::BrokenValue)
    }
}

/// A request that waits for its answer.
#[derive(Debug)]
struct Owed {
    /// When its client gives up.
    due: Time,
    /// A session has taken it, and will give its answer.
    of_client: bool,
    /// Its answer is on its way to the session.
    is_settled: bool,
    /// Its time was over without an answer, which was counted.
    is_lost: bool,
    repeats: Repeats,
    /// Attempts that may have run.
    may_have_run: BTreeSet<u32>,
    last_begun: Option<Time>,
}

#[derive(Debug, Default)]
struct Book {
    /// Each ends with its answer or its client.
    owed: BTreeMap<RequestId, Owed>,
    /// When each of them counts as lost.
    lost_at: BTreeSet<(Time, RequestId)>,
    violations: Violations,
}

/// The guard of one planner, shared by its sessions and its links.
#[derive(Debug, Clone, Default)]
pub struct Guard(Rc<RefCell<Book>>);

impl Book {
    fn violate(&mut self, violation: Violation, id: RequestId, by: Time) {
        self.violations.0[violation as usize] += 1;
        tracing::error!(id, ?violation, by_us = by, "rule broken");
    }

    fn insert(&mut self, id: RequestId, due: Time, of_client: bool) {
        let owed = Owed {
            due,
            of_client,
            is_settled: false,
            is_lost: false,
            repeats: Repeats::Harmful,
            may_have_run: BTreeSet::new(),
            last_begun: None,
        };
        self.lost_at.insert((due.saturating_add(LATE_ANSWER), id));
        if let Some(before) = self.owed.insert(id, owed) {
            self.lost_at.remove(&(before.due.saturating_add(LATE_ANSWER), id));
            self.violate(Violation::TakenTwice, id, 0);
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<Owed> {
        let owed = self.owed.remove(&id)?;
        self.lost_at.remove(&(owed.due.saturating_add(LATE_ANSWER), id));
        Some(owed)
    }
}

impl Guard {
    /// A session has taken a request whose client gives up at `due`.
    pub fn take(&self, id: RequestId, due: Time) {
        self.0.borrow_mut().insert(id, due, true);
    }

    /// The planner takes a request, of a session or `own`. False if its client has gone by now.
    pub fn admit(&self, id: RequestId, due: Time, repeats: Repeats, own: bool) -> bool {
        let mut book = self.0.borrow_mut();
        if own {
            book.insert(id, due, false);
        }
        let Some(owed) = book.owed.get_mut(&id) else { return false };
        owed.repeats = repeats;
        true
    }

    /// A request's client gives up at another time than was known.
    pub fn retime(&self, id: RequestId, due: Time) {
        let mut book = self.0.borrow_mut();
        let Some(owed) = book.owed.get_mut(&id) else { return };
        let before = std::mem::replace(&mut owed.due, due);
        book.lost_at.remove(&(before.saturating_add(LATE_ANSWER), id));
        book.lost_at.insert((due.saturating_add(LATE_ANSWER), id));
    }

    /// Asks whether an attempt may begin now, right before its first byte is written; `begin_by` is the last time at
    /// which it may, and its node is told that its answer is waited for until `until`.
    pub fn begin(
        &self,
        (id, attempt): (RequestId, u32),
        now: Time,
        begin_by: Time,
        until: Time,
    ) -> Result<(), Denied> {
        let mut book = self.0.borrow_mut();
        let Some(owed) = book.owed.get_mut(&id).filter(|owed| !owed.is_settled) else {
            return Err(Denied::Over);
        };
        if now >= begin_by || now >= owed.due {
            return Err(Denied::Late);
        }
        if owed.repeats == Repeats::Harmful && !owed.may_have_run.is_empty() {
            return Err(Denied::MayHaveRun);
        }
        owed.may_have_run.insert(attempt);
        owed.last_begun = Some(now);
        let beyond = until.saturating_sub(owed.due);
        if beyond > TOLD_SLACK {
            book.violate(Violation::ToldTooMuch, id, beyond);
        }
        Ok(())
    }

    /// An attempt has ended.
    pub fn ended(&self, (id, attempt): (RequestId, u32), ending: Ending) {
        let never_ran =
            matches!(ending, Ending::Full | Ending::Unreachable | Ending::NotSent | Ending::NoLink);
        if let Some(owed) = self.0.borrow_mut().owed.get_mut(&id).filter(|_| never_ran) {
            owed.may_have_run.remove(&attempt);
        }
    }

    /// The planner has given a request its answer, or given it up: nothing more begins for it.
    pub fn settle(&self, id: RequestId) {
        let mut book = self.0.borrow_mut();
        let of_client = match book.owed.get_mut(&id) {
            Some(owed) => {
                owed.is_settled = true;
                owed.of_client
            }
            None => return,
        };
        if !of_client {
            book.remove(id);
        }
    }

    /// A session gives a request its answer.
    pub fn answer(&self, id: RequestId, now: Time) {
        let mut book = self.0.borrow_mut();
        match book.remove(id) {
            None => book.violate(Violation::AnsweredTwice, id, 0),
            Some(owed) if !owed.is_lost && now > owed.due.saturating_add(LATE_ANSWER) => {
                book.violate(Violation::Unanswered, id, now - owed.due);
            }
            Some(_) => {}
        }
    }

    /// A connection ends under these requests; its client may have closed it at `at` already.
    pub fn close(&self, owed: &[RequestId], at: Time, reason: CloseReason) {
        let mut book = self.0.borrow_mut();
        for id in owed {
            let begun = book.remove(*id).and_then(|owed| owed.last_begun);
            if !reason.excuses() {
                book.violate(Violation::ClosedUnderRequest, *id, 0);
            }
            if let Some(begun) = begun.filter(|begun| *begun > at + AFTER_CLOSE) {
                book.violate(Violation::BegunAfterClose, *id, begun - at);
            }
        }
    }

    /// Counts the requests whose time for an answer is over by now, each once.
    pub fn sweep(&self, now: Time) {
        let mut book = self.0.borrow_mut();
        while let Some((_, id)) = book.lost_at.first().copied().filter(|(at, _)| *at < now) {
            book.lost_at.pop_first();
            let Some(owed) = book.owed.get_mut(&id) else { continue };
            owed.is_lost = true;
            let late = now - owed.due;
            book.violate(Violation::Unanswered, id, late);
        }
    }

    /// How often each rule was broken since the start.
    pub fn violations(&self) -> Violations {
        self.0.borrow().violations
    }

    /// Requests that wait for their answers.
    pub fn owed(&self) -> usize {
        self.0.borrow().owed.len()
    }
}

#[cfg(test)]
mod tests;
