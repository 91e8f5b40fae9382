//! What a host records about one node: the attempts in flight there (the book), the measured time per unit,
//! and how attempts ended.

use crate::interface::{Ending, NodeEntry, Outcome, RequestId, Time};
use std::collections::{BTreeMap, VecDeque};

/// One second, in the unit of [`Time`].
pub(super) const SECOND: Time = 1_000_000;
/// Time constant, in microseconds, of the exponential decay of measured values: congestion of a node builds
/// up and ends within seconds.
pub(super) const DECAY_TIME_US: f64 = 3e6;
/// Weight, in units, of the mean over all nodes when a node's time per unit is estimated. With many hosts a
/// node answers each of them only once in several seconds, and one answer, of about two units, is a weak
/// estimate.
const PRIOR_UNITS: f64 = 5.0;
/// Factor on the wait of an attempt that ended without an answer, which would have waited longer still.
const UNANSWERED_FACTOR: f64 = 2.0;
/// Cap on a measured wait as a multiple of the expected wait, so that one expensive request changes the
/// estimate little.
const MAX_WAIT_FACTOR: f64 = 4.0;
/// Minimum time without an answer after which a node with attempts in flight counts as silent. Normal pauses
/// of a node are shorter.
const MIN_SILENCE: Time = 600_000;
/// Minimum time without an answer for a silent node, as a multiple of the expected time for the units in
/// flight there.
const SILENCE_FACTOR: f64 = 4.0;
/// Number of strikes, without an answer in between, at which a node counts as unhealthy. A broken connection
/// is one strike, since a few in a row occur by chance on a network that breaks one connection in six. An
/// attempt that times out is two strikes.
pub(super) const STRIKE_LIMIT: u32 = 6;
/// A connection attempt that fails within this time was refused; one that fails later timed out.
const REFUSED_WITHIN: Time = 50_000;
/// Fraction of a node's recent attempts that failed although they may have run, above which the node gets no
/// new objects while there are other nodes: a write that may have run cannot be retried and is lost.
const MAX_FAULT_RATE: f64 = 0.15;
/// Number of successful attempts that every node is assumed to have had, so that a single fault does not
/// decide.
const PRIOR_ATTEMPTS: f64 = 6.0;

/// A token bucket; the caller passes rate and capacity on each refill.
#[derive(Debug, Default)]
pub(super) struct Bucket {
    pub(super) level: f64,
    pub(super) at: Time,
}

impl Bucket {
    /// Refills the bucket at `rate` units per second up to `cap` and returns the level at `now`.
    pub(super) fn refill(&mut self, now: Time, rate: f64, cap: f64) -> f64 {
        self.level = (self.level + (now - self.at).max(0) as f64 / SECOND as f64 * rate).min(cap);
        self.at = now;
        self.level
    }
}

/// A weighted mean whose samples decay exponentially: the mean is `sum / weight`. For the time per unit, a
/// sample is the wait of an attempt and its weight is the number of units in flight when the attempt was
/// sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingMean {
    pub(super) sum: f64,
    pub(super) weight: f64,
    pub(super) at: Time,
}

impl DecayingMean {
    /// Returns sum and weight, decayed to `now`.
    pub(super) fn decayed(&self, now: Time) -> (f64, f64) {
        let left = (-((now - self.at).max(0) as f64) / DECAY_TIME_US).exp();
        (self.sum * left, self.weight * left)
    }

    pub(super) fn add(&mut self, now: Time, value: f64, sample_weight: f64) {
        let (sum, weight) = self.decayed(now);
        *self = DecayingMean { sum: sum + value, weight: weight + sample_weight.max(1e-3), at: now };
    }
}

/// An attempt in flight, as recorded in the book of its node.
#[derive(Debug)]
pub(super) struct Booking {
    pub(super) units: f64,
    pub(super) sent: Time,
    /// Projected end.
    pub(super) end: Time,
    /// Units in flight at the node when the attempt was sent, including its own.
    pub(super) units_at_send: f64,
    /// Key of the request if its class is ordered.
    pub(super) key: Option<String>,
    /// Whether the body is still arriving from the client. The node begins only after its last byte, so such
    /// an attempt is no load, and no answer is expected.
    pub(super) receiving: bool,
}

/// A node with its book and its health state.
#[derive(Debug, Default)]
pub(super) struct Node {
    pub(super) entry: NodeEntry,
    pub(super) bookings: BTreeMap<(RequestId, u32), Booking>,
    /// Units of the attempts in flight whose body is complete.
    pub(super) units_in_flight: f64,
    /// Number of attempts in flight whose body is still arriving.
    pub(super) receiving: usize,
    /// Projected end of all attempts in flight.
    pub(super) free_at: Time,
    /// Time per unit in microseconds.
    pub(super) unit_time: DecayingMean,
    pub(super) last_answer: Time,
    /// When a node list last contained the node, or when a list first omitted it.
    pub(super) last_listed: Time,
    /// Fault rate: 1 per fault and 0 per served attempt.
    pub(super) faults: DecayingMean,
    /// Failures since the last answer; see [`STRIKE_LIMIT`].
    pub(super) strikes: u32,
    /// When an unhealthy node may next get a trial request.
    pub(super) next_trial: Time,
    pub(super) unhealthy: bool,
    /// Times and units of the sends within the last `cold_window`; limits the load of a cold node.
    pub(super) recent_sends: VecDeque<(Time, f64)>,
    /// First turn of this host at the cold node that is not used up.
    pub(super) next_turn: f64,
}

impl Node {
    /// Estimated time per unit in microseconds. The estimate is weighted towards the mean of all nodes, and
    /// equals it for a node that has not answered yet.
    pub(super) fn time_per_unit(&self, now: Time, average: f64) -> f64 {
        let (sum, weight) = self.unit_time.decayed(now);
        (sum + PRIOR_UNITS * average) / (weight + PRIOR_UNITS)
    }

    /// Projected time at which the node finishes all attempts in flight. Attempts past their projected end
    /// are counted again, so that a stalled node does not look free.
    pub(super) fn projected_free(&self, now: Time, average: f64) -> Time {
        let overdue: f64 = self.begun().filter(|b| b.end <= now).map(|b| b.units).sum();
        self.free_at.max(now) + (overdue * self.time_per_unit(now, average)) as Time
    }

    /// Returns the attempts in flight that the node may be working on.
    fn begun(&self) -> impl Iterator<Item = &Booking> {
        self.bookings.values().filter(|booking| !booking.receiving)
    }

    /// Returns the number of attempts in flight that the node may be working on.
    pub(super) fn in_flight(&self) -> usize {
        self.bookings.len() - self.receiving
    }

    /// Records whether the body of an attempt is still arriving. Once it is complete, the attempt counts as
    /// sent.
    pub(super) fn set_receiving(&mut self, now: Time, id: (RequestId, u32), receiving: bool, average: f64) {
        let before = self.bookings.get(&id).map(|booking| booking.receiving);
        if before.is_none_or(|before| before == receiving) {
            return;
        }
        let Some(booking) = self.remove_booking(now, id) else { return };
        self.add_booking(now, id, booking.units, booking.key, average);
        if receiving {
            let Some(mut booking) = self.remove_booking(now, id) else { return };
            booking.receiving = true;
            self.receiving += 1;
            self.bookings.insert(id, booking);
        }
    }

    /// Records an attempt that is sent at `now`.
    pub(super) fn add_booking(
        &mut self,
        now: Time,
        id: (RequestId, u32),
        units: f64,
        key: Option<String>,
        average: f64,
    ) {
        let end = self.free_at.max(now) + (units * self.time_per_unit(now, average)) as Time;
        self.free_at = end;
        self.units_in_flight += units;
        let units_at_send = self.units_in_flight;
        self.bookings.insert(id, Booking { units, sent: now, end, units_at_send, key, receiving: false });
    }

    /// Removes an ended attempt from the book and moves the projected end of the remaining ones forward by
    /// the time that the attempt no longer needs.
    pub(super) fn remove_booking(&mut self, now: Time, id: (RequestId, u32)) -> Option<Booking> {
        let ended = self.bookings.remove(&id)?;
        if ended.receiving {
            self.receiving -= 1;
            return Some(ended);
        }
        self.units_in_flight = if self.in_flight() == 0 { 0.0 } else { self.units_in_flight - ended.units };
        self.free_at = match self.begun().map(|b| b.end).max() {
            None => now,
            Some(_) => self.free_at - (ended.end - now).clamp(0, (ended.end - ended.sent).max(0)),
        };
        Some(ended)
    }

    /// Updates the estimates and the strikes from an outcome. Only served attempts and attempts that were cut
    /// short (timed out or cancelled) update the time per unit, since a fast error must not make the node
    /// look fast. The wait is divided by all units in flight, which gives the rate that this host gets at the
    /// node.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        o: &Outcome,
        booking: &Booking,
        average: f64,
        all: &mut DecayingMean,
    ) {
        let expected = self.time_per_unit(now, average) * booking.units_at_send;
        let max_wait = expected * MAX_WAIT_FACTOR;
        // An attempt that ended without an answer would have waited longer still. One whose wait is above the
        // cap was lost in the network and says nothing about other attempts, so it is ignored.
        let wait = match o.ending {
            Ending::Served => (o.elapsed as f64).min(max_wait),
            Ending::TimedOut | Ending::Cancelled => o.elapsed as f64 * UNANSWERED_FACTOR,
            _ => 0.0,
        };
        if o.ending == Ending::Served || (expected..=max_wait).contains(&wait) {
            self.unit_time.add(now, wait, booking.units_at_send);
            all.add(now, wait, booking.units_at_send);
        }
        if matches!(o.ending, Ending::Served | Ending::Error | Ending::Full) {
            self.last_answer = now;
        }
        if matches!(o.ending, Ending::Served | Ending::Error | Ending::TimedOut | Ending::Reset) {
            self.faults.add(now, if o.ending == Ending::Served { 0.0 } else { 1.0 }, 1.0);
        }
        match o.ending {
            Ending::Served | Ending::Error => self.strikes = 0,
            Ending::Reset => self.strikes += 1,
            Ending::Unreachable if o.elapsed < REFUSED_WITHIN => self.strikes += STRIKE_LIMIT,
            Ending::TimedOut | Ending::Unreachable => self.strikes += 2,
            Ending::Full => self.strikes += STRIKE_LIMIT,
            Ending::Cancelled | Ending::NotSent | Ending::NoLink => {}
        }
    }

    /// Whether too many recent attempts at the node failed although they may have run.
    pub(super) fn error_prone(&self, now: Time) -> bool {
        let (faults, ended) = self.faults.decayed(now);
        faults > MAX_FAULT_RATE * (ended + PRIOR_ATTEMPTS)
    }

    /// Whether the node has attempts of this host in flight and has not answered for longer than any normal
    /// pause. At least two must be in flight, since the answer of a single one may have been lost.
    pub(super) fn is_silent(&self, now: Time, average: f64) -> bool {
        let oldest = self.begun().map(|b| b.sent).min().unwrap_or(now);
        let timeout = (self.units_in_flight * self.time_per_unit(now, average) * SILENCE_FACTOR) as Time;
        self.in_flight() > 1 && now - oldest.max(self.last_answer) > timeout.max(MIN_SILENCE)
    }
}
