//! Rate control of scrub reads at one node: slows down at once after a slow or failed read, and speeds up gradually.

use crate::interface::Time;

/// Status of a node, as far as it matters to the scrubber.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeStatus {
    /// Number of client requests sent to the node or waiting for it.
    pub open: usize,
    /// Whether the node is reachable, accepts work and is past its slow start.
    pub ready: bool,
}

/// Why a read is postponed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldReason {
    /// Client requests are open at the node.
    Busy,
    /// The node is cold, drained or unreachable.
    NotReady,
}

/// First wait, in microseconds, before the node is checked again while client requests are open. The wait doubles
/// up to [`MAX_RECHECK_WAIT`], because each check costs a turn of the event loop.
const MIN_RECHECK_WAIT: Time = 1_000;
/// Longest wait, in microseconds, while client requests are open. A longer wait would miss the short gaps between
/// them.
const MAX_RECHECK_WAIT: Time = 16_000;
/// Wait, in microseconds, before a node that is not ready is checked again.
const NOT_READY_WAIT: Time = 500_000;
/// A read is slow if it takes more than this multiple of the average: something at the node delays it.
const SLOW_FACTOR: f64 = 4.0;
/// Reads up to this duration, in microseconds, never count as slow.
const SLOW_THRESHOLD: Time = 10_000;
/// Wait, in microseconds, after a slow client request, and shortest pause after a slow read: the client requests
/// that queued up meanwhile are served first.
const SLOW_PAUSE: Time = 250_000;
/// Shortest pause, in microseconds, after a read that was refused or failed.
const FAILURE_PAUSE: Time = 100_000;
/// Longest pause, in microseconds, that slow or failed reads lead to.
const MAX_PAUSE: Time = 2_000_000;
/// Factor by which the pause shrinks with each successful read that is not slow.
const PAUSE_DECAY: f64 = 0.9;
/// Weight of a new read in the moving average of read durations.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Decides when the scrubber may read at one node.
#[derive(Debug)]
pub struct Pace {
    /// The earliest time of the next check.
    next: Time,
    /// Pause between two reads after slow or failed reads; applies if it is longer than what is left of the interval
    /// that the schedule asks for.
    pause: Time,
    /// Wait before the next check while client requests are open.
    recheck_wait: Time,
    /// Moving average of the durations, in microseconds, of successful reads that were not slow; 0 until the first
    /// read succeeds.
    average: f64,
}

impl Pace {
    /// Creates a pace that allows a read from `now` on.
    pub fn new(now: Time) -> Self {
        Pace { next: now, pause: 0, recheck_wait: MIN_RECHECK_WAIT, average: 0.0 }
    }

    /// Returns the earliest time at which [`Pace::check`] should be called again.
    pub fn next(&self) -> Time {
        self.next
    }

    /// Checks whether a read may be sent now. If not, sets the time of the next check.
    pub fn check(&mut self, now: Time, status: NodeStatus) -> Result<(), HoldReason> {
        if !status.ready {
            self.next = now + NOT_READY_WAIT;
            return Err(HoldReason::NotReady);
        }
        if status.open > 0 {
            self.next = now + self.recheck_wait;
            self.recheck_wait = (self.recheck_wait * 2).min(MAX_RECHECK_WAIT);
            return Err(HoldReason::Busy);
        }
        self.recheck_wait = MIN_RECHECK_WAIT;
        Ok(())
    }

    /// Records a read that ended after `took`; `succeeded` is `false` if it was refused or failed. `interval` is the
    /// time from the start of one read to the start of the next that the schedule asks for.
    pub fn read_ended(&mut self, now: Time, took: Time, succeeded: bool, interval: Time) {
        let slow = took > SLOW_THRESHOLD && self.average > 0.0 && took as f64 > SLOW_FACTOR * self.average;
        if !succeeded {
            self.pause = (self.pause * 2).clamp(FAILURE_PAUSE, MAX_PAUSE);
        } else if slow {
            self.pause = (self.pause * 2).clamp(SLOW_PAUSE, MAX_PAUSE);
        } else {
            self.average +=
                if self.average == 0.0 { took as f64 } else { AVERAGE_WEIGHT * (took as f64 - self.average) };
            self.pause = (self.pause as f64 * PAUSE_DECAY) as Time;
        }
        self.next = now + self.pause.max(interval - took).max(0);
    }

    /// Records a slow client request: no read is sent for a while.
    pub fn slow_request(&mut self, now: Time) {
        self.next = self.next.max(now + SLOW_PAUSE);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slows_down_at_once_and_speeds_up_gradually() {
        let mut pace = Pace::new(0);
        for i in 0..20 {
            pace.read_ended(i * 1_000, 500, true, 1_000);
        }
        assert_eq!(pace.next(), 19_500);
        pace.read_ended(100_000, 150_000, true, 1_000);
        assert_eq!(pace.next(), 100_000 + SLOW_PAUSE, "pause after a stalled read");
        let mut reads = 0;
        while pace.pause > 1_000 {
            pace.read_ended(0, 500, true, 1_000);
            reads += 1;
        }
        assert!((30..100).contains(&reads), "{reads}");
        pace.read_ended(0, 500, false, 1_000);
        assert_eq!(pace.next(), FAILURE_PAUSE);
        for _ in 0..20 {
            pace.read_ended(0, 500, false, 1_000);
        }
        assert_eq!(pace.next(), MAX_PAUSE);
    }

    #[test]
    fn checks_less_often_the_longer_client_requests_stay_open() {
        let mut pace = Pace::new(0);
        let busy = NodeStatus { open: 2, ready: true };
        let waits: Vec<Time> = (0..6)
            .map(|_| {
                assert_eq!(pace.check(0, busy), Err(HoldReason::Busy));
                pace.next()
            })
            .collect();
        assert_eq!(waits, [1_000, 2_000, 4_000, 8_000, 16_000, 16_000]);
        assert_eq!(pace.check(0, NodeStatus { open: 0, ready: true }), Ok(()));
        pace.slow_request(5);
        assert_eq!(pace.next(), 5 + SLOW_PAUSE);
    }
}
