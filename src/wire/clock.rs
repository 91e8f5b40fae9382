//! Clocks. Times are Unix times, because lists of nodes state start times so, but they advance with the monotonic
//! clock and never go back.

use crate::interface::Time;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in microseconds, driven by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Time,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the system's wall-clock time.
    pub fn system() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: unix.as_micros() as Time, start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.base + self.start.elapsed().as_micros() as Time
    }

    /// Returns how far the system's wall clock has moved away from this clock since its creation, in microseconds. Time
    /// synchronisation may step the wall clock, and neither the time before nor the time after a step is sure to be
    /// right.
    pub fn wall_clock_drift(&self) -> Time {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix.as_micros() as Time - self.now()
    }

    /// Converts a time to an instant of the monotonic clock, for sleeping.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros((at - self.base).max(0) as u64)
    }
}

/// Interval of the ticks that measure scheduling lag, in microseconds.
const TICK: Time = 4_000;
/// A tick that is later than this, in microseconds, is logged as a stall.
const STALL_THRESHOLD: Time = 20_000;

/// Measures the scheduling lag of this process with a periodic tick. Data read after a stall may have arrived at any
/// time since the stall began, and the client counts its deadline from the arrival.
#[derive(Debug, Clone)]
pub struct LoopClock {
    clock: Clock,
    last_tick: Rc<Cell<Time>>,
    /// Time of the last tick before a late one, until a tick is on time again. Data read in between may have arrived
    /// since then.
    backlog: Rc<Cell<Option<Time>>>,
    longest: Rc<Cell<Option<BlockingWork>>>,
    /// The largest lag in the last [`LAG_WINDOW`], and when it was measured.
    max_lag: Rc<Cell<(Time, Time)>>,
}

/// How long a large lag is remembered, in microseconds.
const LAG_WINDOW: Time = 1_000_000;

/// A piece of work that blocked the event loop, and how long it took in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct BlockingWork {
    what: &'static str,
    took: Time,
}

/// How many times [`LoopClock::catch_up`] yields to the other tasks after a stall: once to read the data that has
/// arrived, once for its recipients to handle it, and once to forward the results.
const CATCH_UP_YIELDS: usize = 3;

impl LoopClock {
    /// Creates a clock whose last tick is now.
    pub fn new(clock: Clock) -> Self {
        let last_tick = Rc::new(Cell::new(clock.now()));
        LoopClock { clock, last_tick, backlog: Rc::default(), longest: Rc::default(), max_lag: Rc::default() }
    }

    /// Ticks forever.
    pub async fn run(self) {
        loop {
            tokio::time::sleep_until(self.clock.instant(self.last_tick.get() + TICK).into()).await;
            let (now, last) = (self.clock.now(), self.last_tick.get());
            let (late, longest) = (now - last - TICK, self.longest.take());
            if late > STALL_THRESHOLD {
                let (cause, took) = stall_cause(late, longest);
                tracing::warn!(ms = late / 1000, cause, took_ms = took / 1000, "stalled");
            }
            let (max_lag, at) = self.max_lag.get();
            if late >= max_lag || now - at > LAG_WINDOW {
                self.max_lag.set((late, now));
            }
            self.backlog.set((late > TICK).then_some(last));
            self.last_tick.set(now);
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the underlying clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sleeps until `at`.
    pub async fn sleep_until(&self, at: Time) {
        tokio::time::sleep_until(self.clock.instant(at).into()).await;
    }

    /// Returns the current scheduling lag, in microseconds: how long the next tick is overdue.
    pub fn lag(&self) -> Time {
        (self.clock.now() - self.last_tick.get() - TICK).max(0)
    }

    /// Returns the largest recent scheduling lag, in microseconds, or 0 if none was measured for twice
    /// [`LAG_WINDOW`].
    pub fn recent_lag(&self) -> Time {
        let (max_lag, at) = self.max_lag.get();
        if self.clock.now() - at > 2 * LAG_WINDOW {
            0
        } else {
            max_lag
        }
    }

    /// Records that `what` has blocked the event loop since `from`, so that the log can name the cause of a stall.
    pub fn record_blocking(&self, what: &'static str, from: Time) {
        let took = self.clock.now() - from;
        if self.longest.get().is_none_or(|longest| longest.took < took) {
            self.longest.set(Some(BlockingWork { what, took }));
        }
    }

    /// After a stall, lets the other tasks read and forward the data that has arrived in the meantime, before the caller
    /// decides anything by the clock. Data that waits unread in a socket is not late.
    pub async fn catch_up(&self) {
        // The tick that ends a stall may run before the tasks that read the data which has arrived in the meantime, so
        // the backlog is checked, too.
        if self.lag() <= TICK && self.backlog.get().is_none() {
            return;
        }
        for _ in 0..CATCH_UP_YIELDS {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the earliest time at which data read now may have arrived.
    pub fn earliest_arrival(&self) -> Time {
        arrival_bound(self.clock.now(), self.last_tick.get(), self.backlog.get())
    }
}

/// Returns the cause of a stall and how long it took: the longest piece of work if it makes up at least half of the
/// stall, otherwise a general text.
fn stall_cause(late: Time, longest: Option<BlockingWork>) -> (&'static str, Time) {
    match longest.filter(|longest| longest.took * 2 >= late) {
        Some(longest) => (longest.what, longest.took),
        None => ("blocked by the system, or by many short pieces of work", 0),
    }
}

/// Returns the earliest time at which data read at `now` may have arrived. A tick may be missed by chance, so only a lag
/// above two intervals counts as a stall. Data may be read before or after the tick that ends a stall, so both cases
/// are handled: with `backlog` the tick ran first.
fn arrival_bound(now: Time, last: Time, backlog: Option<Time>) -> Time {
    match backlog {
        Some(before) => before,
        None if now - last > 2 * TICK => last,
        None => now,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn data_read_after_a_stall_may_have_arrived_when_it_began() {
        assert_eq!(arrival_bound(1_000_000, 1_000_000 - TICK, None), 1_000_000);
        assert_eq!(arrival_bound(1_000_000, 900_000, None), 900_000);
        assert_eq!(
            arrival_bound(1_000_000, 1_000_000, Some(700_000)),
            700_000,
            "the tick ran before the read"
        );
    }

    #[test]
    fn a_stall_is_attributed_to_work_that_took_half_of_it() {
        let longest = |took| Some(BlockingWork { what: "a turn", took });
        assert_eq!(stall_cause(100, longest(60)), ("a turn", 60));
        assert_ne!(stall_cause(100, longest(40)).0, "a turn");
        assert_ne!(stall_cause(100, None).0, "a turn");
    }
}
