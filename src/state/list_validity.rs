//! Decides how long the node list held by this broker is valid, and when to call discovery again.
//!
//! A change of the list that this broker has not received still binds it from some moment on: the protocol says when a
//! change counts as delivered. After that moment plus the grace the broker must not send by the older list. The rules
//! and the terms: `docs/design/discovery.md`. This module does no I/O; the caller passes the current time.

use crate::interface::Time;

/// After a watch stops answering, a missed change counts as delivered this long after the watch went silent. After a
/// call that failed or was abandoned, this long after discovery had the change and was reachable. Set by the protocol.
const SILENCE: Time = 6_000_000;
/// A change missed by a silent watch counts as delivered no earlier than this long after the end of the wait that the
/// watch asked for. Set by the protocol.
const AFTER_WAIT: Time = 2_000_000;
/// After SIGHUP changes the discovery address, changes known to the new discovery count as delivered this long after.
/// Set by the protocol.
const ENDPOINT_CHANGE: Time = 4_000_000;
/// Changes count as delivered to a process that starts alongside another one of its broker this long after its start.
/// Set by the operators for upgrades.
const COEXISTING_START: Time = 2_000_000;
/// Longest time that a watch waits for a change: a quarter of [`SILENCE`], so that enough time is left for a new call
/// after the watch is found silent.
const WATCH_WAIT: Time = SILENCE / 4;
/// Longest wait of the first call of a watch, which only has to confirm that the list is still valid.
const FIRST_WAIT: Time = 50_000;
/// A call counts as the continuation of a watch if it follows an answer within this time. Set by the protocol.
const CONTINUATION_GAP: Time = 200_000;
/// How long after the requested wait the answer to a continued watch may arrive.
const ANSWER_TIMEOUT: Time = SILENCE / 5;
/// The same for a call that starts a new watch and queues behind the calls of all other brokers. Discovery rejects a
/// call that has queued for 2 s (set by the protocol); the broker waits a little longer, because a rejection proves
/// that discovery was not reachable and silence proves nothing.
const QUEUED_ANSWER_TIMEOUT: Time = AFTER_WAIT + 200_000;
/// Interval between lists where the settings give none.
const DEFAULT_ASK_INTERVAL: Time = SILENCE;
/// Shortest time between two calls.
const MIN_CALL_GAP: Time = 20_000;
/// Longest nominal gap between failing calls. With its random spread and the longest answer timeout the next call
/// still falls within [`SILENCE`].
const MAX_CALL_GAP: Time = SILENCE / 3;

/// Settings for the delivery of lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Lists are pushed to an agent on this machine: a change counts as delivered once the agent has it.
    pub pushed: bool,
    /// Time in microseconds without a call after which changes count as delivered to a broker that has no watch.
    pub ask_every: Time,
    /// Time in microseconds for which a broker may still send to a draining node after the drain was delivered.
    pub grace: Time,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { pushed: false, ask_every: DEFAULT_ASK_INTERVAL, grace: 0 }
    }
}

/// How a call to discovery failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused: no discovery process listens at the address.
    Refused,
    /// Discovery answered with an error status, or reset the connection before any answer.
    Rejected,
    /// The answer was cut off or unreadable. The list in it was sent, so its changes count as delivered.
    Malformed,
    /// The connection could not be established, so the call never reached discovery.
    NotConnected,
}

/// A call that has not been answered yet.
#[derive(Debug, Clone, Copy)]
struct Call {
    at: Time,
    /// How long discovery was asked to wait for a change.
    wait: Time,
    /// The call continues a watch: it was made immediately after an answer.
    continues: bool,
}

/// The next action of the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Do nothing before the next deadline.
    Wait,
    /// Call discovery and let it wait for a change for this many microseconds.
    Call(Time),
    /// Abandon the pending call, because discovery does not answer.
    GiveUp,
}

/// Tracks the validity of the list that this broker has from one discovery.
#[derive(Debug)]
pub struct ListValidity {
    terms: Terms,
    seed: u64,
    /// From this moment on unknown changes may count as delivered until the next answer, whatever else is known.
    invalid_from: Option<Time>,
    /// Up to this moment every delivered change is known, because discovery answered or was provably unreachable.
    known_until: Time,
    pending: Option<Call>,
    next_call: Time,
    failures: u32,
    /// When the last call was answered; `None` if a call or an address change followed.
    answered: Option<Time>,
}

impl ListValidity {
    /// Creates the state of a process that starts at `now`. `coexisting`: another process of its broker is running.
    pub fn new(now: Time, terms: Terms, coexisting: bool, seed: u64) -> Self {
        let invalid_from = match (terms.pushed, coexisting) {
            (true, _) => Some(now),
            (false, true) => Some(now + COEXISTING_START),
            (false, false) => None,
        };
        ListValidity {
            terms,
            seed,
            invalid_from,
            known_until: now,
            pending: None,
            next_call: now,
            failures: 0,
            answered: None,
        }
    }

    /// Replaces the settings.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Returns the moment from which a change that is not known here may count as delivered.
    pub fn valid_until(&self) -> Time {
        let without_watch = match (self.terms.pushed, self.invalid_from) {
            (false, _) => self.known_until + self.terms.ask_every.min(SILENCE),
            (true, None) => self.known_until,
            (true, Some(from)) => from,
        };
        let with_call = match self.pending {
            Some(call) if call.continues => silence_counts_at(call),
            // Until its answer arrives it is unknown whether a new call has become a watch at discovery.
            Some(call) => without_watch.min(silence_counts_at(call)),
            None => without_watch,
        };
        self.invalid_from.map_or(with_call, |from| from.min(with_call))
    }

    /// Returns the moment until which new attempts may be sent by the current list. Half of the grace is reserved for
    /// the time between the decision to send and the first byte on the wire.
    pub fn send_until(&self) -> Time {
        self.valid_until() + self.terms.grace / 2
    }

    /// Returns the latest moment at which the driver must call [`ListValidity::step`] again.
    pub fn next_deadline(&self) -> Time {
        self.pending.map_or(self.next_call, abandoned_at)
    }

    /// Returns the action due at `now`.
    pub fn step(&mut self, now: Time) -> Step {
        match self.pending {
            Some(call) if now >= abandoned_at(call) => {
                let counts_at = silence_counts_at(call);
                self.invalid_from = Some(self.invalid_from.map_or(counts_at, |from| from.min(counts_at)));
                self.pending = None;
                self.next_call = now;
                Step::GiveUp
            }
            None if now >= self.next_call => {
                let continues = self.answered.take().is_some_and(|at| now - at < CONTINUATION_GAP);
                let longest = if continues { WATCH_WAIT } else { FIRST_WAIT };
                let wait = longest * 3 / 4 + self.random_below(longest / 4);
                self.pending = Some(Call { at: now, wait, continues });
                Step::Call(wait)
            }
            _ => Step::Wait,
        }
    }

    /// Records a complete list or the answer that nothing changed: every change delivered until `now` is known.
    pub fn answered(&mut self, now: Time) {
        (self.invalid_from, self.pending, self.known_until, self.next_call, self.failures) =
            (None, None, now, now, 0);
        self.answered = Some(now);
    }

    /// Records that the pending call failed.
    pub fn failed(&mut self, now: Time, failure: Failure) {
        let call = self.pending.take();
        if failure == Failure::Malformed {
            self.invalid_from = Some(self.invalid_from.map_or(now, |from| from.min(now)));
        }
        let known_until = match (call, failure) {
            // A watch that ends with a status or a reset was open until now.
            (Some(call), Failure::Refused | Failure::Rejected) if call.continues => Some(now),
            // No discovery process was listening when the call was made.
            (Some(call), Failure::Refused) => Some(call.at),
            // A rejection proves that this broker could not reach discovery then. A rejecting agent, however, may
            // already have had a change.
            (Some(call), Failure::Rejected) if !self.terms.pushed => Some(call.at),
            _ => None,
        };
        self.known_until = self.known_until.max(known_until.unwrap_or(self.known_until));
        let every = self.terms.ask_every;
        let gap = match (self.terms.pushed, self.invalid_from) {
            // The next list may be readable. If that one is malformed too, an immediate third call would not help.
            _ if failure == Failure::Malformed && self.failures == 0 => 0,
            (true, _) => self.terms.grace / 4,
            (false, Some(_)) => (every / 20).min(SILENCE / 12),
            (false, None) => ((every / 20) << self.failures.min(16)).min(every * 2 / 5).min(MAX_CALL_GAP),
        };
        self.failures += 1;
        self.next_call = now + (gap * 3 / 4 + self.random_below(gap / 2)).max(MIN_CALL_GAP);
    }

    /// Records that SIGHUP changed the discovery address; the pending call is dropped.
    pub fn endpoint_changed(&mut self, now: Time) {
        let counts_at = now + ENDPOINT_CHANGE;
        self.invalid_from = Some(self.invalid_from.map_or(counts_at, |from| from.min(counts_at)));
        (self.pending, self.next_call, self.answered) = (None, now, None);
    }

    /// Returns a uniform pseudo-random number from 0 up to, but not including, `bound`.
    fn random_below(&mut self, bound: Time) -> Time {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.seed >> 33) as Time) % bound.max(1)
    }
}

/// Returns when changes missed by this call count as delivered, if discovery has been silent since the call was made.
fn silence_counts_at(call: Call) -> Time {
    call.at + SILENCE.max(call.wait + AFTER_WAIT)
}

/// Returns when an unanswered call is abandoned.
fn abandoned_at(call: Call) -> Time {
    call.at + call.wait + if call.continues { ANSWER_TIMEOUT } else { QUEUED_ANSWER_TIMEOUT }
}
