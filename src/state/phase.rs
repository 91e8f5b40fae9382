//! The phase that the broker is in: the one source for what `PING` and `HEALTH` say, for whether connections are
//! taken, and for when one between requests is closed. Time is handed in.

use crate::interface::Time;

/// How long a connection without a request may be kept while clients are sent away: one in use is closed right
/// after its next answer, which crosses nothing; closing any other may cross a request on its way.
const QUIET: Time = 600_000;
/// How long one that has only just been opened is waited for when all others are closed: its request is on its way.
const FRESH: Time = 100_000;
/// After this nothing is read any more from clients that are sent away, so that four seconds after the call no
/// request of the last two is held.
const LATEST: Time = 1_600_000;
/// A connection that is not used for so long is closed where another process has taken over.
const QUIET_HANDING: Time = 1_200_000;
/// How much before its end a process that hands over closes the last connections: what it has read by then is to
/// be answered, too.
const LAST_READ: Time = 1_500_000;
/// At least so long after the signal it reads on.
const FIRST_READ: Time = 600_000;
/// How much before its end its last answers are given.
const LAST_ANSWER: Time = 400_000;

/// The platform ends a process so long after the signal: the longest deadline, within these bounds, and a little.
const MOST_GRACE: Time = 3_000_000;
/// See `MOST_GRACE`.
const LEAST_GRACE: Time = 500_000;
/// See `MOST_GRACE`.
const AFTER_GRACE: Time = 700_000;

/// What the broker is about; the times say since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// It does not serve yet.
    #[default]
    Starting,
    /// It serves.
    Serving,
    /// Staff empty it: new connections are still served, but each is closed after an answer.
    Leaving(Time),
    /// It was told to stop: connections are taken and kept for a moment more, since clients learn of it late. It has so
    /// long until it may be ended.
    Stopping(Time, Time),
    /// Another process serves in its place and takes all new connections; those that there are stay.
    Yielding,
    /// It was told to stop and another process takes its connections. It has so long until it may be ended.
    HandingOver(Time, Time),
    /// It takes no connection any more and closes each between requests. It was told to stop then, and has so long until
    /// it may be ended.
    Closing(Time, Time),
}

/// What can move it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// It listens and has its settings.
    Started,
    /// Staff empty it.
    Leave,
    /// Staff take it back into use.
    Join,
    /// Another process serves in its place, or does so no longer.
    Yield(bool),
    /// It is told to stop, and may be ended after this time.
    Stop(Time),
    /// Told to stop, it may be ended so long after that already, by other settings.
    Grace(Time),
    /// Connections were taken for long enough after that.
    Close,
}

/// Why a move is not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// There is no way back from stopping.
    #[error("the broker is stopping")]
    Stopping,
}

impl Phase {
    /// The phase after a move. A call that is repeated changes nothing, nor its time.
    pub fn after(self, what: Transition, now: Time) -> Result<Phase, TransitionError> {
        let stopping = matches!(self, Phase::Stopping(..) | Phase::HandingOver(..) | Phase::Closing(..));
        Ok(match (what, self) {
            (Transition::Started, Phase::Starting) => Phase::Serving,
            (Transition::Leave, Phase::Starting | Phase::Serving | Phase::Yielding) => Phase::Leaving(now),
            (Transition::Join, _) if stopping => return Err(TransitionError::Stopping),
            (Transition::Join, Phase::Leaving(_)) => Phase::Serving,
            (Transition::Yield(true), Phase::Serving) => Phase::Yielding,
            (Transition::Yield(false), Phase::Yielding) => Phase::Serving,
            // Of one that staff have emptied nobody knows any more, either.
            (Transition::Stop(grace), Phase::Yielding | Phase::Leaving(_)) => Phase::HandingOver(now, grace),
            (Transition::Stop(grace), _) if !stopping => Phase::Stopping(now, grace),
            // It may have been told to stop before it was known that another process follows.
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

    /// Whether clients are welcome: what `PING` says.
    pub fn answers_ping(self) -> bool {
        matches!(self, Phase::Serving | Phase::Yielding | Phase::Stopping(..))
    }

    /// Whether a client that is sent here now is served, as far as it depends on this: what `HEALTH` says.
    pub fn is_healthy(self) -> bool {
        matches!(self, Phase::Serving | Phase::Yielding)
    }

    /// Whether connections are taken.
    pub fn accepts_connections(self) -> bool {
        !matches!(self, Phase::Yielding | Phase::HandingOver(..) | Phase::Closing(..))
    }

    /// Whether connections are taken on a socket on which no other process accepts: until the last moment, since nobody would
    /// answer them.
    pub fn accepts_as_only_listener(self) -> bool {
        !matches!(self, Phase::Closing(..))
    }

    /// Whether the process is about to end.
    pub fn is_terminating(self) -> bool {
        matches!(self, Phase::HandingOver(..) | Phase::Closing(..))
    }

    /// When a connection between requests is to be closed that was last of use at `since`: never, if nothing. It
    /// has had an `answer` then, or else has only been opened.
    pub fn closes_at(self, since: Time, answer: bool) -> Option<Time> {
        let (at, quiet, latest) = match self {
            Phase::Leaving(at) => (at, QUIET, LATEST),
            Phase::HandingOver(at, grace) => (at, QUIET_HANDING, last_read(grace)),
            Phase::Closing(..) if answer => return Some(since),
            Phase::Closing(..) => return Some(since + FRESH),
            _ => return None,
        };
        let ends = (at.max(since) + quiet).min(at + latest);
        Some(match answer && since > at {
            true => since,
            // One that comes all the same has a moment for its request, which is read and answered.
            false if self.is_emptied(since) => since + FRESH,
            false => ends,
        })
    }

    /// Whether staff have emptied the broker for so long by `now` that what still comes is refused at once.
    fn is_emptied(self, now: Time) -> bool {
        matches!(self, Phase::Leaving(at) if now >= at + LATEST)
    }

    /// Whether what has come on a connection between requests is still read before that is closed.
    pub fn reads_idle_connections(self, now: Time) -> bool {
        match self {
            Phase::Leaving(_) => true,
            _ => self.stops_reading_at().is_none_or(|at| at > now),
        }
    }

    /// From when on nothing more is read of a client that is owed something, if it ever stops so.
    pub fn stops_reading_at(self) -> Option<Time> {
        match self {
            Phase::Leaving(at) => Some(at + LATEST),
            Phase::HandingOver(at, grace) | Phase::Closing(at, grace) => Some(at + last_read(grace)),
            _ => None,
        }
    }

    /// The last moment at which an answer is given before the process may be ended, if it was told to stop.
    pub fn last_answer_at(self) -> Option<Time> {
        match self {
            Phase::HandingOver(at, grace) | Phase::Stopping(at, grace) | Phase::Closing(at, grace) => {
                Some(at + grace - LAST_ANSWER)
            }
            _ => None,
        }
    }

    /// When a request that is taken at `now` must have its answer, whatever its client would wait for.
    pub fn answer_deadline(self, now: Time) -> Option<Time> {
        match self {
            Phase::Leaving(_) if self.is_emptied(now) => Some(now),
            _ => self.last_answer_at(),
        }
    }
}

/// How long after the signal a process may be ended whose longest deadline is this.
pub fn grace(longest_deadline: Time) -> Time {
    longest_deadline.clamp(LEAST_GRACE, MOST_GRACE) + AFTER_GRACE
}

/// How long a process reads on that may be ended so long after the signal.
pub fn last_read(grace: Time) -> Time {
    (grace - LAST_READ).max(FIRST_READ)
}

#[cfg(test)]
mod tests;
