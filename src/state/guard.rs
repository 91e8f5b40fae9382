//! The guard checks the rules that every request must obey, at each step of its life: acceptance, the begin of an
//! attempt, the answer, and the close of its connection. It keeps the list of requests that need an answer, denies
//! attempts that must not begin, and counts every rule that was broken nevertheless as a violation. The caller passes
//! the current time.
//!
//! | step | checked by | rule |
//! | --- | --- | --- |
//! | a request is accepted | the session | once, and not after its client has disconnected |
//! | an attempt begins (the first or a retry) | the link, directly before it writes the first byte | the client is still waiting, the deadline has not passed, the request has no answer yet, and a request that may have run is repeated only if that is harmless |
//! | a request is answered | the session | exactly once, in time, and only if the request is awaiting its answer |
//! | a connection is closed | the session | no request on it awaits an answer, unless its client has disconnected or does not read |

use crate::interface::{Ending, RequestId, Time};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

/// How long after its client has closed the connection an attempt may still begin, in microseconds.
const AFTER_CLOSE: Time = 100_000;
/// How long after the deadline an answer is merely late, in microseconds. After that the request counts as lost.
const LATE_ANSWER: Time = 500_000;
/// By how much the deadline sent to a node may exceed the client's own, in microseconds.
const DEADLINE_SLACK: Time = 150_000;

/// Violations of a kind that are logged one by one; of further ones only each that doubles their number is.
const LOGGED_VIOLATIONS: u64 = 1_000;

/// The kinds of broken rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt began more than [`AFTER_CLOSE`] after its client had closed the connection.
    BegunAfterClose,
    /// The deadline sent to a node was later than the client's own by more than [`DEADLINE_SLACK`].
    ToldTooMuch,
    /// The request had no answer by the time at which it counts as lost.
    Unanswered,
    /// An answer was given to a request that was not awaiting one.
    AnsweredTwice,
    /// A connection was closed while a request on it awaited its answer.
    ClosedUnderRequest,
    /// A request was accepted twice.
    TakenTwice,
}

/// All violations, in the order of the counters in [`Violations`].
const VIOLATIONS: [Violation; 6] = [
    Violation::BegunAfterClose,
    Violation::ToldTooMuch,
    Violation::Unanswered,
    Violation::AnsweredTwice,
    Violation::ClosedUnderRequest,
    Violation::TakenTwice,
];

/// The number of violations of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Violations([u64; VIOLATIONS.len()]);

impl Violations {
    /// Returns the number of violations of one kind.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// Returns the number of violations of all kinds together.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl fmt::Display for Violations {
    /// Writes the total, followed by the count of each kind that occurred.
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
    /// The client has disconnected, or the request already has its answer.
    Over,
    /// The time by which the attempt had to begin has passed.
    Late,
    /// An earlier attempt may have run, and running the request twice would do harm.
    MayHaveRun,
}

/// Whether running a request more than once does harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeats {
    /// Running the request again does no harm.
    Harmless,
    /// Running the request again does harm if an earlier attempt has run.
    Harmful,
}

/// Why a client's connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has closed the connection, or the connection broke.
    ClientGone,
    /// The client does not read its answers.
    NotRead,
    /// The rest of a streamed value will not arrive; closing the connection shows the client that the value is truncated.
    BrokenValue,
    /// The client asked for the close, or violated the protocol.
    Ended,
    /// The connection's idle timeout expired.
    Idle,
    /// The connection slot is needed for another client.
    PlaceWanted,
    /// The broker is draining its clients.
    SentAway,
}

impl CloseReason {
    /// Returns whether the broker itself decided to close the connection, between requests.
    pub fn is_broker_initiated(self) -> bool {
        matches!(self, CloseReason::Idle | CloseReason::PlaceWanted | CloseReason::SentAway)
    }

    /// Returns whether the broker may close a connection for this reason while requests on it await their answers.
    fn allows_pending_requests(self) -> bool {
        matches!(self, CloseReason::ClientGone | CloseReason::NotRead | CloseReason::BrokenValue)
    }
}

/// A request that awaits its answer.
#[derive(Debug)]
struct PendingRequest {
    /// The client's deadline.
    due: Time,
    /// Whether a client session accepted the request and will pass on its answer.
    of_client: bool,
    /// Whether the planner has already given the answer, which is on its way to the session.
    is_settled: bool,
    /// Whether the request was already counted as lost.
    is_lost: bool,
    repeats: Repeats,
    /// The numbers of the attempts that may have run.
    may_have_run: BTreeSet<u32>,
    last_begun: Option<Time>,
}

#[derive(Debug, Default)]
struct Ledger {
    /// The requests that await an answer. An entry is removed when its answer is given or its client disconnects.
    pending: BTreeMap<RequestId, PendingRequest>,
    /// The times at which these requests count as lost.
    lost_at: BTreeSet<(Time, RequestId)>,
    violations: Violations,
}

/// The guard of one planner, shared with its sessions and links.
#[derive(Debug, Clone, Default)]
pub struct Guard(Rc<RefCell<Ledger>>);

impl Ledger {
    fn violate(&mut self, violation: Violation, id: RequestId, by: Time) {
        let count = &mut self.violations.0[violation as usize];
        *count += 1;
        if *count <= LOGGED_VIOLATIONS || count.is_power_of_two() {
            tracing::error!(id, ?violation, by_us = by, count = *count, "rule broken");
        }
    }

    fn insert(&mut self, id: RequestId, due: Time, of_client: bool) {
        let pending = PendingRequest {
            due,
            of_client,
            is_settled: false,
            is_lost: false,
            repeats: Repeats::Harmful,
            may_have_run: BTreeSet::new(),
            last_begun: None,
        };
        self.lost_at.insert((due.saturating_add(LATE_ANSWER), id));
        if let Some(before) = self.pending.insert(id, pending) {
            self.lost_at.remove(&(before.due.saturating_add(LATE_ANSWER), id));
            self.violate(Violation::TakenTwice, id, 0);
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let pending = self.pending.remove(&id)?;
        self.lost_at.remove(&(pending.due.saturating_add(LATE_ANSWER), id));
        Some(pending)
    }
}

impl Guard {
    /// Registers a request that a session has accepted and whose client gives up at `due`.
    pub fn take(&self, id: RequestId, due: Time) {
        self.0.borrow_mut().insert(id, due, true);
    }

    /// Records that the planner accepts a request, either of a session or of the broker itself (`own`). Returns false if
    /// the client has disconnected meanwhile.
    pub fn admit(&self, id: RequestId, due: Time, repeats: Repeats, own: bool) -> bool {
        let mut ledger = self.0.borrow_mut();
        if own {
            ledger.insert(id, due, false);
        }
        let Some(pending) = ledger.pending.get_mut(&id) else { return false };
        pending.repeats = repeats;
        true
    }

    /// Changes the deadline of a request.
    pub fn retime(&self, id: RequestId, due: Time) {
        let mut ledger = self.0.borrow_mut();
        let Some(pending) = ledger.pending.get_mut(&id) else { return };
        let before = std::mem::replace(&mut pending.due, due);
        ledger.lost_at.remove(&(before.saturating_add(LATE_ANSWER), id));
        ledger.lost_at.insert((due.saturating_add(LATE_ANSWER), id));
    }

    /// Checks whether an attempt may begin now; the link calls this directly before it writes the first byte. The attempt
    /// must begin before `begin_by`, and the node gets `until` as the deadline of the answer.
    pub fn begin(
        &self,
        (id, attempt): (RequestId, u32),
        now: Time,
        begin_by: Time,
        until: Time,
    ) -> Result<(), Denied> {
        let mut ledger = self.0.borrow_mut();
        let Some(pending) = ledger.pending.get_mut(&id).filter(|pending| !pending.is_settled) else {
            return Err(Denied::Over);
        };
        if now >= begin_by || now >= pending.due {
            return Err(Denied::Late);
        }
        if pending.repeats == Repeats::Harmful && !pending.may_have_run.is_empty() {
            return Err(Denied::MayHaveRun);
        }
        pending.may_have_run.insert(attempt);
        pending.last_begun = Some(now);
        let beyond = until.saturating_sub(pending.due);
        if beyond > DEADLINE_SLACK {
            ledger.violate(Violation::ToldTooMuch, id, beyond);
        }
        Ok(())
    }

    /// Records the end of an attempt. An attempt whose ending shows that it never ran does not block a retry.
    pub fn ended(&self, (id, attempt): (RequestId, u32), ending: Ending) {
        let never_ran =
            matches!(ending, Ending::Full | Ending::Unreachable | Ending::NotSent | Ending::NoLink);
        if let Some(pending) = self.0.borrow_mut().pending.get_mut(&id).filter(|_| never_ran) {
            pending.may_have_run.remove(&attempt);
        }
    }

    /// Records that the planner has answered or abandoned a request: no further attempt may begin for it.
    pub fn settle(&self, id: RequestId) {
        let mut ledger = self.0.borrow_mut();
        let of_client = match ledger.pending.get_mut(&id) {
            Some(pending) => {
                pending.is_settled = true;
                pending.of_client
            }
            None => return,
        };
        if !of_client {
            ledger.remove(id);
        }
    }

    /// Records that a session passes the answer of a request to its client.
    pub fn answer(&self, id: RequestId, now: Time) {
        let mut ledger = self.0.borrow_mut();
        match ledger.remove(id) {
            None => ledger.violate(Violation::AnsweredTwice, id, 0),
            Some(pending) if !pending.is_lost && now > pending.due.saturating_add(LATE_ANSWER) => {
                ledger.violate(Violation::Unanswered, id, now - pending.due);
            }
            Some(_) => {}
        }
    }

    /// Records that a connection is closed while these requests await their answers. `at` is the time of the close, which
    /// is in the past if the client closed the connection earlier.
    pub fn close(&self, pending: &[RequestId], at: Time, reason: CloseReason) {
        let mut ledger = self.0.borrow_mut();
        for id in pending {
            let begun = ledger.remove(*id).and_then(|pending| pending.last_begun);
            if !reason.allows_pending_requests() {
                ledger.violate(Violation::ClosedUnderRequest, *id, 0);
            }
            if let Some(begun) = begun.filter(|begun| *begun > at + AFTER_CLOSE) {
                ledger.violate(Violation::BegunAfterClose, *id, begun - at);
            }
        }
    }

    /// Returns those of the requests that await their answers of which an attempt may have run, or may run yet.
    pub fn may_have_run(&self, ids: &[RequestId]) -> Vec<RequestId> {
        let ledger = self.0.borrow();
        let may_have_run =
            |id: &&RequestId| ledger.pending.get(id).is_some_and(|p| !p.may_have_run.is_empty());
        ids.iter().filter(may_have_run).copied().collect()
    }

    /// Counts each request that is lost by `now`, once.
    pub fn sweep(&self, now: Time) {
        let mut ledger = self.0.borrow_mut();
        while let Some((_, id)) = ledger.lost_at.first().copied().filter(|(at, _)| *at < now) {
            ledger.lost_at.pop_first();
            let Some(pending) = ledger.pending.get_mut(&id) else { continue };
            pending.is_lost = true;
            let late = now - pending.due;
            ledger.violate(Violation::Unanswered, id, late);
        }
    }

    /// Returns the violations since the start.
    pub fn violations(&self) -> Violations {
        self.0.borrow().violations
    }

    /// Returns the number of requests that await their answers.
    pub fn pending(&self) -> usize {
        self.0.borrow().pending.len()
    }
}

#[cfg(test)]
mod tests;
