//! Overload detection of this host by its scheduling lag. An overloaded host refuses new requests while
//! refusing is still harmless, since requests that it accepts beyond its capacity get no answer in time.

use crate::interface::Time;

/// Time constant, in microseconds, over which the lag is averaged: one pause of 0.1 s is no overload.
const DECAY_TIME_US: f64 = 500_000.0;
/// Maximum lag that one sample counts for: a process that was suspended once, for however long, is not
/// overloaded after it resumes.
const MAX_SAMPLE: Time = 200_000;
/// Fraction of the tightest aim that the mean lag may reach before the host refuses new requests.
const MAX_LAG_OF_AIM: f64 = 0.25;
/// Factor between the mean lag and the retry-after time of refused requests.
const RETRY_AFTER_FACTOR: Time = 4;

/// Exponentially decaying mean of the scheduling lag of this host, in microseconds.
#[derive(Debug, Default)]
pub(super) struct Overload {
    mean: f64,
    at: Time,
}

impl Overload {
    /// Records a lag of `late` at `now`. Of the time since the previous sample, the last `late` counts as
    /// lagging and the rest as on time.
    pub(super) fn record(&mut self, now: Time, late: Time) {
        let late = late.clamp(0, MAX_SAMPLE);
        let since = (now - self.at).max(0);
        self.decay(since);
        // While work that was due `late` ago waited, the lag grew from 0 to `late`: half of it on average.
        let weight = 1.0 - (-(late.min(since) as f64) / DECAY_TIME_US).exp();
        self.mean += weight * (late as f64 / 2.0);
        self.at = now;
    }

    fn decay(&mut self, since: Time) {
        self.mean *= (-(since as f64) / DECAY_TIME_US).exp();
    }

    /// Returns the retry-after time for a new request if the host is overloaded, or `None` if it can accept
    /// the request; `aim` is the tightest aim of all classes.
    pub(super) fn retry_after(&mut self, now: Time, aim: Time) -> Option<Time> {
        self.decay((now - self.at).max(0));
        self.at = self.at.max(now);
        (self.mean > aim as f64 * MAX_LAG_OF_AIM).then_some(self.mean as Time * RETRY_AFTER_FACTOR)
    }
}

#[cfg(test)]
mod tests;
