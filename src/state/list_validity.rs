//! When something that this broker does not know may count as told to it, and when it asks. The terms and what follows
//! from them: `docs/design/discovery.md`. No I/O; time comes in.

use crate::interface::Time;

/// What a silent watch misses counts as told so long after it fell silent; and whatever a call that failed or was given
/// up would have brought, so long after discovery had it and could be reached (the protocol's figure).
const SILENCE: Time = 6_000_000;
/// Or so long after its wait was over, if that is later (the protocol's figure).
const AFTER_WAIT: Time = 2_000_000;
/// After SIGHUP moved discovery, what the new one has counts as told (the protocol's figure).
const MOVED: Time = 4_000_000;
/// A process that is started beside another is told so long after its yes (the operators' figure for upgrades).
const BESIDE: Time = 2_000_000;
/// How long a watch waits for news at most: a quarter of the silence, so that most of it is left to ask again.
const WAIT: Time = SILENCE / 4;
/// The same for the first call of a watch, which is to show whether the list still holds.
const LOOK: Time = 50_000;
/// A watch goes on if its next call comes so soon after an answer (the protocol's figure).
const CONTINUES: Time = 200_000;
/// How much later than asked the answer to a watch that goes on may come.
const PATIENCE: Time = SILENCE / 5;
/// The same for a call that is made anew and queues behind all other brokers': discovery turns away what waits for 2 s (the
/// protocol's figure), and that says more than silence.
const QUEUED: Time = AFTER_WAIT + 200_000;
/// Where the settings do not say how often to ask.
const ASK_EVERY: Time = SILENCE;
/// Least time between two calls.
const LEAST_GAP: Time = 20_000;
/// Longest gap between calls that fail: with its spread and the longest a call is waited for it stays within the silence.
const MOST_GAP: Time = SILENCE / 3;

/// What the settings say of lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Lists are pushed to an agent on this machine: what that has counts as told.
    pub pushed: bool,
    /// A broker without a watch that has not asked for so long counts as told, in microseconds.
    pub ask_every: Time,
    /// How long after it was told of a drain a broker may still send there, in microseconds.
    pub grace: Time,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { pushed: false, ask_every: ASK_EVERY, grace: 0 }
    }
}

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nobody listens there: whoever keeps the list is away.
    Refused,
    /// It ended in words: a status, or a reset before any.
    Rejected,
    /// Something came that is no whole list: what it should have held counts as told, since it was written.
    Malformed,
    /// It never reached discovery: the connection did not come up.
    NotConnected,
}

/// A call that is out.
#[derive(Debug, Clone, Copy)]
struct Call {
    at: Time,
    wait: Time,
    /// It continues a watch: it was made at once after an answer.
    continues: bool,
}

/// What the driver is to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing before the next deadline.
    Wait,
    /// Make a call that waits so many microseconds for news.
    Call(Time),
    /// Give up the call that is out: discovery is silent.
    GiveUp,
}

/// The account of one broker and one discovery.
#[derive(Debug)]
pub struct ListValidity {
    terms: Terms,
    seed: u64,
    /// From when on something may count as told that only an answer can bring; ends with the next one.
    open: Option<Time>,
    /// Until when everything is known: what was told was told here, or discovery could not be reached.
    known: Time,
    out: Option<Call>,
    next_call: Time,
    failures: u32,
    /// When the last call was answered, if that was the last that happened.
    answered: Option<Time>,
}

impl ListValidity {
    /// The account of a process that starts at `now`, beside another one of its broker or not.
    pub fn new(now: Time, terms: Terms, beside: bool, seed: u64) -> Self {
        let open = match (terms.pushed, beside) {
            (true, _) => Some(now),
            (false, true) => Some(now + BESIDE),
            (false, false) => None,
        };
        ListValidity { terms, seed, open, known: now, out: None, next_call: now, failures: 0, answered: None }
    }

    /// New settings.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// From when on something that is not known here may count as told.
    pub fn valid_until(&self) -> Time {
        let free = match (self.terms.pushed, self.open) {
            (false, _) => self.known + self.terms.ask_every.min(SILENCE),
            (true, None) => self.known,
            (true, Some(open)) => open,
        };
        let rest = match self.out {
            Some(call) if call.continues => silent_at(call),
            // Whether a call that was made anew has become a watch is not known before its answer.
            Some(call) => free.min(silent_at(call)),
            None => free,
        };
        self.open.map_or(rest, |open| open.min(rest))
    }

    /// Until when anything new may be sent by the list that is held. Half of the grace is kept for what lies between a
    /// decision and its first byte.
    pub fn send_until(&self) -> Time {
        self.valid_until() + self.terms.grace / 2
    }

    /// When to look at [`ListValidity::step`] again at the latest.
    pub fn next_deadline(&self) -> Time {
        self.out.map_or(self.next_call, given_up_at)
    }

    /// What is to be done at `now`.
    pub fn step(&mut self, now: Time) -> Step {
        match self.out {
            Some(call) if now >= given_up_at(call) => {
                let told = silent_at(call);
                self.open = Some(self.open.map_or(told, |open| open.min(told)));
                self.out = None;
                self.next_call = now;
                Step::GiveUp
            }
            None if now >= self.next_call => {
                let continues = self.answered.take().is_some_and(|at| now - at < CONTINUES);
                let most = if continues { WAIT } else { LOOK };
                let wait = most * 3 / 4 + self.draw(most / 4);
                self.out = Some(Call { at: now, wait, continues });
                Step::Call(wait)
            }
            _ => Step::Wait,
        }
    }

    /// A whole list, or word that there is no news: all is known that was told until now.
    pub fn answered(&mut self, now: Time) {
        (self.open, self.out, self.known, self.next_call, self.failures) = (None, None, now, now, 0);
        self.answered = Some(now);
    }

    /// The call that was out has failed.
    pub fn failed(&mut self, now: Time, failure: Failure) {
        let call = self.out.take();
        if failure == Failure::Malformed {
            self.open = Some(self.open.map_or(now, |open| open.min(now)));
        }
        let known = match (call, failure) {
            // A watch that ends in words was open until now.
            (Some(call), Failure::Refused | Failure::Rejected) if call.continues => Some(now),
            // Nobody listened when it was made.
            (Some(call), Failure::Refused) => Some(call.at),
            // Discovery itself said no: it could not be reached by this broker then. An agent may still have had news.
            (Some(call), Failure::Rejected) if !self.terms.pushed => Some(call.at),
            _ => None,
        };
        self.known = self.known.max(known.unwrap_or(self.known));
        let every = self.terms.ask_every;
        let gap = match (self.terms.pushed, self.open) {
            // The next may be whole; if it is not, there is no hurry that helps.
            _ if failure == Failure::Malformed && self.failures == 0 => 0,
            (true, _) => self.terms.grace / 4,
            (false, Some(_)) => (every / 20).min(SILENCE / 12),
            (false, None) => ((every / 20) << self.failures.min(16)).min(every * 2 / 5).min(MOST_GAP),
        };
        self.failures += 1;
        self.next_call = now + (gap * 3 / 4 + self.draw(gap / 2)).max(LEAST_GAP);
    }

    /// SIGHUP has moved discovery; the call that was out is let go.
    pub fn endpoint_changed(&mut self, now: Time) {
        let told = now + MOVED;
        self.open = Some(self.open.map_or(told, |open| open.min(told)));
        (self.out, self.next_call, self.answered) = (None, now, None);
    }

    /// Evenly from 0 to a bound.
    fn draw(&mut self, bound: Time) -> Time {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.seed >> 33) as Time) % bound.max(1)
    }
}

/// When what a call misses counts as told, if it has been silent from its first moment.
fn silent_at(call: Call) -> Time {
    call.at + SILENCE.max(call.wait + AFTER_WAIT)
}

/// When a call that has brought nothing is given up.
fn given_up_at(call: Call) -> Time {
    call.at + call.wait + if call.continues { PATIENCE } else { QUEUED }
}
