//! The phase of the broker's life. It alone determines the answers to `PING` and `HEALTH`, whether connections are
//! accepted, and when connections between requests are closed. The caller passes the current time.

use crate::interface::Time;

/// How long a connection without a request stays open while the broker drains its clients, in microseconds. A connection
/// in use is closed directly after its next answer, which is safe; closing any other may cross a request on its way.
const DRAIN_IDLE: Time = 600_000;
/// How long a newly opened connection stays open when all others are closed, in microseconds, since its first request is
/// on its way.
const NEW_CONNECTION_GRACE: Time = 100_000;
/// How long after the drain call requests of drained clients are still read, in microseconds. The limit ensures that four
/// seconds after the call no request that was read in the last two seconds is still open.
const DRAIN_READ: Time = 1_600_000;
/// How long after the drain call a request whose body ended after [`DRAIN_READ`] may stay open, in microseconds. Four seconds
/// after the call no request that was read in the last two seconds may be open.
const DRAIN_ANSWER: Time = 3_800_000;
/// Idle timeout of a connection after another process has taken over, in microseconds.
const HANDOVER_IDLE: Time = 1_200_000;
/// How long before its end a process that hands over stops reading and closes its last connections, in microseconds, so
/// that requests read until then can still be answered.
const READ_MARGIN: Time = 1_500_000;
/// Minimum time after the stop signal during which the process keeps reading, in microseconds.
const MIN_READ: Time = 600_000;
/// How long before its end the process gives its last answers, in microseconds.
const ANSWER_MARGIN: Time = 400_000;

/// Upper bound on the longest deadline in the grace period, in microseconds. The platform ends a process after the grace
/// period, which counts from the stop signal and is the longest deadline, clamped to [`MIN_GRACE`] and [`MAX_GRACE`],
/// plus [`EXTRA_GRACE`].
const MAX_GRACE: Time = 3_000_000;
/// Lower bound on the longest deadline in the grace period, in microseconds.
const MIN_GRACE: Time = 500_000;
/// Time added to the longest deadline in the grace period, in microseconds.
const EXTRA_GRACE: Time = 700_000;

/// The phase of the broker. The first time in a variant is the time at which the call or stop signal came; the second is
/// the grace period after it, at whose end the platform may end the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// The broker does not serve yet.
    #[default]
    Starting,
    /// The broker serves clients.
    Serving,
    /// Operators drain the broker: it still serves new connections, but closes each connection after an answer.
    Leaving(Time),
    /// The stop signal has come. The broker still accepts and keeps connections for a moment, since clients learn of the
    /// stop late.
    Stopping(Time, Time),
    /// Another process serves in place of this one and accepts all new connections; existing connections stay open.
    Yielding,
    /// The stop signal has come and another process accepts the new connections.
    HandingOver(Time, Time),
    /// The broker is stopping: it accepts no connections and closes existing ones between requests.
    Closing(Time, Time),
}

/// The events that change the phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The broker listens and has its settings.
    Started,
    /// Operators drain the broker.
    Leave,
    /// Operators take the broker back into service.
    Join,
    /// Another process serves in place of this one (true), or no longer does (false).
    Yield(bool),
    /// The stop signal has come, with this grace period.
    Stop(Time),
    /// New settings have changed the grace period; a stopping broker keeps the shorter of both.
    Grace(Time),
    /// Connections were accepted for long enough after the stop signal.
    Close,
}

/// Why a transition is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// A stopping broker cannot return to service.
    #[error("the broker is stopping")]
    Stopping,
}

impl Phase {
    /// Returns the phase after a transition. A repeated call changes neither the phase nor its time.
    pub fn after(self, what: Transition, now: Time) -> Result<Phase, TransitionError> {
        let stopping = matches!(self, Phase::Stopping(..) | Phase::HandingOver(..) | Phase::Closing(..));
        Ok(match (what, self) {
            (Transition::Started, Phase::Starting) => Phase::Serving,
            (Transition::Leave, Phase::Starting | Phase::Serving | Phase::Yielding) => Phase::Leaving(now),
            (Transition::Join, _) if stopping => return Err(TransitionError::Stopping),
            (Transition::Join, Phase::Leaving(_)) => Phase::Serving,
            (Transition::Yield(true), Phase::Serving) => Phase::Yielding,
            (Transition::Yield(false), Phase::Yielding) => Phase::Serving,
            // No client knows of a drained broker any more, so it need not keep accepting connections either.
            (Transition::Stop(grace), Phase::Yielding | Phase::Leaving(_)) => Phase::HandingOver(now, grace),
            (Transition::Stop(grace), _) if !stopping => Phase::Stopping(now, grace),
            // The stop signal may come before the broker learns that another process has taken over.
            (Transition::Yield(true), Phase::Stopping(at, grace)) => Phase::HandingOver(at, grace),
            (Transition::Grace(other), Phase::Stopping(at, grace)) => Phase::Stopping(at, grace.min(other)),
            (Transition::Grace(other), Phase::HandingOver(at, grace)) => {
                Phase::HandingOver(at, grace.min(other))
            }
            (Transition::Grace(other), Phase::Closing(at, grace)) => Phase::Closing(at, grace.min(other)),
            (Transition::Close, Phase::Stopping(at, grace) | Phase::HandingOver(at, grace)) => {
                Phase::Closing(at, grace)
            }
            (_, same) => same,
        })
    }

    /// Returns whether `PING` is answered with success, which invites clients to stay.
    pub fn answers_ping(self) -> bool {
        matches!(self, Phase::Serving | Phase::Yielding | Phase::Stopping(..))
    }

    /// Returns whether `HEALTH` reports success: a client that connects now would be served, as far as the phase decides.
    pub fn is_healthy(self) -> bool {
        matches!(self, Phase::Serving | Phase::Yielding)
    }

    /// Returns whether connections are accepted on a socket on which another process may accept too.
    pub fn accepts_connections(self) -> bool {
        !matches!(self, Phase::Yielding | Phase::HandingOver(..) | Phase::Closing(..))
    }

    /// Returns whether connections are accepted on a socket on which no other process accepts. This goes on until the
    /// broker closes, since no one else would answer these clients.
    pub fn accepts_as_only_listener(self) -> bool {
        !matches!(self, Phase::Closing(..))
    }

    /// Returns whether the process is about to end.
    pub fn is_terminating(self) -> bool {
        matches!(self, Phase::HandingOver(..) | Phase::Closing(..))
    }

    /// Returns when a connection between requests must be closed, or `None` if it may stay open. `since` is the time of its
    /// last use: an answer if `answer` is true, or else the opening of the connection.
    pub fn closes_at(self, since: Time, answer: bool) -> Option<Time> {
        let (at, quiet, latest) = match self {
            Phase::Leaving(at) => (at, DRAIN_IDLE, DRAIN_READ),
            Phase::HandingOver(at, grace) => (at, HANDOVER_IDLE, last_read(grace)),
            Phase::Closing(..) if answer => return Some(since),
            Phase::Closing(..) => return Some(since + NEW_CONNECTION_GRACE),
            _ => return None,
        };
        let ends = (at.max(since) + quiet).min(at + latest);
        Some(match answer && since > at {
            true => since,
            // A connection opened after the drain has a moment for its request, which is read and answered.
            false if self.is_drained(since) => since + NEW_CONNECTION_GRACE,
            false => ends,
        })
    }

    /// Returns whether the drain has lasted so long by `now` that new requests are refused immediately.
    fn is_drained(self, now: Time) -> bool {
        matches!(self, Phase::Leaving(at) if now >= at + DRAIN_READ)
    }

    /// Returns whether bytes that have arrived on a connection between requests are read before it is closed.
    pub fn reads_idle_connections(self, now: Time) -> bool {
        match self {
            Phase::Leaving(_) => true,
            _ => self.stops_reading_at().is_none_or(|at| at > now),
        }
    }

    /// Returns the time from which on no further request is read from clients with open requests, or `None` if reading goes
    /// on. The rest of a body that is under way is read until its request has its answer.
    pub fn stops_reading_at(self) -> Option<Time> {
        match self {
            Phase::Leaving(at) => Some(at + DRAIN_READ),
            Phase::HandingOver(at, grace) | Phase::Closing(at, grace) => Some(at + last_read(grace)),
            _ => None,
        }
    }

    /// Returns the time by which a request must have its answer whose body was under way when the phase began and ended at
    /// `now`, or `None` if the phase sets no limit.
    pub fn body_answer_deadline(self, now: Time) -> Option<Time> {
        match self {
            Phase::Leaving(at) => Some(at + DRAIN_ANSWER).filter(|by| self.is_drained(now) && now < *by),
            _ => self.last_answer_at(),
        }
    }

    /// Returns the last time at which an answer may be given before the process may be ended, or `None` if no stop signal
    /// has come.
    pub fn last_answer_at(self) -> Option<Time> {
        match self {
            Phase::HandingOver(at, grace) | Phase::Stopping(at, grace) | Phase::Closing(at, grace) => {
                Some(at + grace - ANSWER_MARGIN)
            }
            _ => None,
        }
    }

    /// Returns the time by which a request accepted at `now` must have its answer regardless of its own deadline, or `None`
    /// if the phase sets no limit.
    pub fn answer_deadline(self, now: Time) -> Option<Time> {
        match self {
            Phase::Leaving(_) if self.is_drained(now) => Some(now),
            _ => self.last_answer_at(),
        }
    }
}

/// Returns the grace period of a process with this longest deadline: how long after the stop signal it may be ended.
pub fn grace(longest_deadline: Time) -> Time {
    longest_deadline.clamp(MIN_GRACE, MAX_GRACE) + EXTRA_GRACE
}

/// Returns how long after the stop signal a process with this grace period keeps reading.
pub fn last_read(grace: Time) -> Time {
    (grace - READ_MARGIN).max(MIN_READ)
}

#[cfg(test)]
mod tests;
