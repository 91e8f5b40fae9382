//! Whether this host runs so late that new work should be refused while that is still harmless: what it
//! takes beyond what it can answer in time gets no answer at all.

use crate::interface::Time;

/// Over how long lateness is averaged, in microseconds: one pause of a tenth of a second is no overload.
const MEMORY: f64 = 500_000.0;
/// Most lateness that one note counts for: a process that was stopped once, for however long, works again.
const MOST: Time = 200_000;
/// Part of the tightest aim that a host may run late in the mean before it refuses new work.
const PART_OF_AIM: f64 = 0.25;
/// How many times its lateness a refused client is told to wait.
const COME_BACK: Time = 4;

/// The lateness of a host, averaged.
#[derive(Debug, Default)]
pub(super) struct Overload {
    mean: f64,
    at: Time,
}

impl Overload {
    /// Takes note that the host was so late at `now`. Between two notes it counts as late for as long as
    /// the later one says, and as on time before that.
    pub(super) fn note(&mut self, now: Time, late: Time) {
        let late = late.clamp(0, MOST);
        let since = (now - self.at).max(0);
        self.decay(since);
        // What was due `late` ago has waited for from 0 to `late` since then: half of it in the mean.
        let weight = 1.0 - (-(late.min(since) as f64) / MEMORY).exp();
        self.mean += weight * (late as f64 / 2.0);
        self.at = now;
    }

    fn decay(&mut self, since: Time) {
        self.mean *= (-(since as f64) / MEMORY).exp();
    }

    /// How long a new request should stay away, if the host is too late for it; `aim` is the tightest one.
    pub(super) fn refuses(&mut self, now: Time, aim: Time) -> Option<Time> {
        self.decay((now - self.at).max(0));
        self.at = self.at.max(now);
        (self.mean > aim as f64 * PART_OF_AIM).then_some(self.mean as Time * COME_BACK)
    }
}

#[cfg(test)]
mod tests;
