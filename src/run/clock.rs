//! The time. Unix time, as node lists state starts, but carried by the monotonic clock: it never goes back.

use crate::interface::Time;
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

    /// When that time comes, for a sleep.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros((at - self.base).max(0) as u64)
    }
}
