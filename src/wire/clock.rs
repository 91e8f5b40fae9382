//! The time. Unix time, as node lists state starts, but carried by the monotonic clock: it never goes back.

use crate::interface::Time;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tells Unix time in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Time,
    start: Instant,
}

impl Clock {
    /// A clock set by the system's.
    pub fn system() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: unix.as_micros() as Time, start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.base + self.start.elapsed().as_micros() as Time
    }

    /// How far the system's wall clock has moved away from this clock since it was set, in microseconds: it is stepped
    /// by whoever keeps the machine's time, and neither before nor after is sure to be right.
    pub fn wall_clock_drift(&self) -> Time {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix.as_micros() as Time - self.now()
    }

    /// When that time comes, for a sleep.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros((at - self.base).max(0) as u64)
    }
}

/// How often the loop_clock beats.
const BEAT: Time = 4_000;
/// A beat this much late is a stall worth a line in the log.
const STALL: Time = 20_000;

/// Tells whether this process has been stalled. What is read after a stall may have come any time since its
/// beginning, and its client counts from then.
#[derive(Debug, Clone)]
pub struct LoopClock {
    clock: Clock,
    last: Rc<Cell<Time>>,
    /// The beat before a late one, until one is on time: what is read between may have come since then.
    backlog: Rc<Cell<Option<Time>>>,
    longest: Rc<Cell<Option<Stretch>>>,
    /// The latest beat of the last while, and when it was.
    worst: Rc<Cell<(Time, Time)>>,
}

/// For how long a late beat is remembered.
const LATELY: Time = 1_000_000;

/// A piece of work that nothing else could run beside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stretch {
    what: &'static str,
    took: Time,
}

/// How many times others are given way to, where this process is late: what came meanwhile is read, taken by whom it is
/// for, and passed on.
const GIVE_WAY: usize = 3;

impl LoopClock {
    /// A loop_clock that has just beaten.
    pub fn new(clock: Clock) -> Self {
        let last = Rc::new(Cell::new(clock.now()));
        LoopClock { clock, last, backlog: Rc::default(), longest: Rc::default(), worst: Rc::default() }
    }

    /// Beats for good.
    pub async fn run(self) {
        loop {
            tokio::time::sleep_until(self.clock.instant(self.last.get() + BEAT).into()).await;
            let (now, last) = (self.clock.now(), self.last.get());
            let (late, longest) = (now - last - BEAT, self.longest.take());
            if late > STALL {
                let (cause, took) = cause(late, longest);
                tracing::warn!(ms = late / 1000, cause, took_ms = took / 1000, "stalled");
            }
            let (worst, at) = self.worst.get();
            if late >= worst || now - at > LATELY {
                self.worst.set((late, now));
            }
            self.backlog.set((late > BEAT).then_some(last));
            self.last.set(now);
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sleeps until that time.
    pub async fn sleep_until(&self, at: Time) {
        tokio::time::sleep_until(self.clock.instant(at).into()).await;
    }

    /// How late the process runs at this moment, in microseconds.
    pub fn lag(&self) -> Time {
        (self.clock.now() - self.last.get() - BEAT).max(0)
    }

    /// How late this process has run at most in the last while, in microseconds.
    pub fn recent_lag(&self) -> Time {
        let (worst, at) = self.worst.get();
        if self.clock.now() - at > 2 * LATELY {
            0
        } else {
            worst
        }
    }

    /// Takes note of what has just held up all else since `from`, for the log of stalls.
    pub fn record_blocking(&self, what: &'static str, from: Time) {
        let took = self.clock.now() - from;
        if self.longest.get().is_none_or(|longest| longest.took < took) {
            self.longest.set(Some(Stretch { what, took }));
        }
    }

    /// Where the process is late, lets what has come meanwhile be read and passed on before anything is decided by the
    /// clock: what lies unread in a socket is not late.
    pub async fn catch_up(&self) {
        // The beat that ends a stall may run before those who read what has come meanwhile.
        if self.lag() <= BEAT && self.backlog.get().is_none() {
            return;
        }
        for _ in 0..GIVE_WAY {
            tokio::task::yield_now().await;
        }
    }

    /// The earliest time at which something may have come that is read now.
    pub fn earliest_arrival(&self) -> Time {
        came(self.clock.now(), self.last.get(), self.backlog.get())
    }
}

/// What a stall is put down to: the longest piece of work if it makes up half of it, or else whatever holds the process
/// up from outside.
fn cause(late: Time, longest: Option<Stretch>) -> (&'static str, Time) {
    match longest.filter(|longest| longest.took * 2 >= late) {
        Some(longest) => (longest.what, longest.took),
        None => ("held up from outside, or by many small pieces", 0),
    }
}

/// A beat or two may be missed by chance. Whether what waits unread is taken before or after the beat that ends a stall is
/// chance, too.
fn came(now: Time, last: Time, backlog: Option<Time>) -> Time {
    match backlog {
        Some(before) => before,
        None if now - last > 2 * BEAT => last,
        None => now,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_read_after_a_stall_may_have_come_at_its_beginning() {
        assert_eq!(came(1_000_000, 1_000_000 - BEAT, None), 1_000_000);
        assert_eq!(came(1_000_000, 900_000, None), 900_000);
        assert_eq!(came(1_000_000, 1_000_000, Some(700_000)), 700_000, "the beat came first");
    }

    #[test]
    fn a_stall_is_put_down_to_what_took_half_of_it() {
        let longest = |took| Some(Stretch { what: "a turn", took });
        assert_eq!(cause(100, longest(60)), ("a turn", 60));
        assert_ne!(cause(100, longest(40)).0, "a turn");
        assert_ne!(cause(100, None).0, "a turn");
    }
}
