//! A node's book at one host: what is out there, the time per unit that was learned of it, and how its
//! attempts ended.

use crate::interface::{Ending, NodeEntry, Outcome, RequestId, Time};
use std::collections::{BTreeMap, VecDeque};

/// One second, in the unit of [`Time`].
pub(super) const SECOND: Time = 1_000_000;
/// Time constant by which what was learned of the time per unit fades, in microseconds: a jam builds and
/// ends within seconds.
pub(super) const MEMORY: f64 = 3e6;
/// Units for which the mean of all nodes counts against a node's own answers: with many hosts a node
/// answers each of them once in seconds, and one answer, of about two units, tells little.
const PRIOR_UNITS: f64 = 5.0;
/// The wait of an attempt that ended without an answer counts this many times.
const CUT: f64 = 2.0;
/// A wait counts as at most this many times the expected one, so that one dear request teaches little.
const DEAR: f64 = 4.0;
/// A node with work out that has answered nothing for this long is silent; nodes pause for less.
const SILENT: Time = 600_000;
/// The same as a multiple of the expected wait for what is out there.
const SILENT_WAITS: f64 = 4.0;
/// Strikes without an answer between that make a node unwell. A connection that breaks is one: a few in a row
/// come by chance where the network breaks one in six. An attempt that is waited for in vain is two.
pub(super) const STRIKES: u32 = 6;
/// A connection that fails sooner was refused; one that fails later was waited for in vain.
const REFUSED: Time = 50_000;
/// Part of its lately ended attempts that may have run without an answer to serve, beyond which a node gets
/// no new objects while there are others: a write that may have run is lost.
const FAULTY: f64 = 0.15;
/// Attempts without a fault that a node is taken to have behind it: one fault alone tells little.
const PRIOR_ATTEMPTS: f64 = 6.0;

/// A token bucket.
#[derive(Debug, Default)]
pub(super) struct Bucket {
    pub(super) level: f64,
    pub(super) at: Time,
}

impl Bucket {
    /// Level at `now`, for a store that gains `rate` units a second up to `cap`.
    pub(super) fn fill(&mut self, now: Time, rate: f64, cap: f64) -> f64 {
        self.level = (self.level + (now - self.at).max(0) as f64 / SECOND as f64 * rate).min(cap);
        self.at = now;
        self.level
    }
}

/// Waits of attempts over the units they stood among: a learned time per unit that fades.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    pub(super) waits: f64,
    pub(super) depths: f64,
    pub(super) at: Time,
}

impl Pace {
    /// Both sums as they count at `now`.
    pub(super) fn faded(&self, now: Time) -> (f64, f64) {
        let left = (-((now - self.at).max(0) as f64) / MEMORY).exp();
        (self.waits * left, self.depths * left)
    }

    pub(super) fn add(&mut self, now: Time, wait: f64, depth: f64) {
        let (waits, depths) = self.faded(now);
        *self = Pace { waits: waits + wait, depths: depths + depth.max(1e-3), at: now };
    }
}

/// An attempt in the book of a node.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) units: f64,
    pub(super) sent: Time,
    pub(super) end: Time,
    /// Units out at the node at the send, this one included.
    pub(super) depth: f64,
    /// Its ordered key.
    pub(super) key: Option<String>,
}

/// A node and its book.
#[derive(Debug, Default)]
pub(super) struct Node {
    pub(super) entry: NodeEntry,
    pub(super) slots: BTreeMap<(RequestId, u32), Slot>,
    pub(super) units_out: f64,
    pub(super) free_at: Time,
    pub(super) pace: Pace,
    pub(super) last_answer: Time,
    /// When the list told of it last, or first missed it.
    pub(super) listed: Time,
    /// Faults as waits, attempts as depths.
    pub(super) faults: Pace,
    pub(super) strikes: u32,
    pub(super) next_trial: Time,
    pub(super) unwell: bool,
    /// Sends of the last `cold_window`, and the first turn that is not used up, for the guard of cold nodes.
    pub(super) recent: VecDeque<(Time, f64)>,
    pub(super) turns: f64,
}

impl Node {
    /// Learned time per unit in microseconds, drawn to the mean; a node not heard from counts as average.
    pub(super) fn per_unit(&self, now: Time, average: f64) -> f64 {
        let (waits, depths) = self.pace.faded(now);
        (waits + PRIOR_UNITS * average) / (depths + PRIOR_UNITS)
    }

    /// When the book frees: the projected end of what is out. Work past its projected end without an
    /// outcome is charged again, so that a node that stands still doesn't look free.
    pub(super) fn frees(&self, now: Time, average: f64) -> Time {
        let overdue: f64 = self.slots.values().filter(|s| s.end <= now).map(|s| s.units).sum();
        self.free_at.max(now) + (overdue * self.per_unit(now, average)) as Time
    }

    pub(super) fn book(
        &mut self,
        now: Time,
        id: (RequestId, u32),
        units: f64,
        key: Option<String>,
        average: f64,
    ) {
        let end = self.free_at.max(now) + (units * self.per_unit(now, average)) as Time;
        self.free_at = end;
        self.units_out += units;
        self.slots.insert(id, Slot { units, sent: now, end, depth: self.units_out, key });
    }

    /// Drops what is left of an attempt's slot.
    pub(super) fn settle(&mut self, now: Time, id: (RequestId, u32)) -> Option<Slot> {
        let slot = self.slots.remove(&id)?;
        self.units_out = if self.slots.is_empty() { 0.0 } else { self.units_out - slot.units };
        self.free_at = match self.slots.values().map(|s| s.end).max() {
            None => now,
            Some(_) => self.free_at - (slot.end - now).clamp(0, (slot.end - slot.sent).max(0)),
        };
        Some(slot)
    }

    /// Learns from an outcome. Served answers and attempts cut short teach the time per unit: a fast error
    /// must not make a node look fast. The wait is set against all that was out, so it is the rate this
    /// host gets there.
    pub(super) fn learn(&mut self, now: Time, o: &Outcome, slot: &Slot, average: f64, all: &mut Pace) {
        let expected = self.per_unit(now, average) * slot.depth;
        let dear = expected * DEAR;
        // An attempt that ended without an answer would have waited longer still; one that is far out of the
        // usual was lost, and tells nothing of the others.
        let wait = match o.ending {
            Ending::Served => (o.elapsed as f64).min(dear),
            Ending::TimedOut | Ending::Cancelled => o.elapsed as f64 * CUT,
            _ => 0.0,
        };
        if o.ending == Ending::Served || (expected..=dear).contains(&wait) {
            self.pace.add(now, wait, slot.depth);
            all.add(now, wait, slot.depth);
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
            Ending::Unreachable if o.elapsed < REFUSED => self.strikes += STRIKES,
            Ending::TimedOut | Ending::Unreachable => self.strikes += 2,
            Ending::Full => self.strikes += STRIKES,
            Ending::Cancelled | Ending::NotSent | Ending::NoLink => {}
        }
    }

    /// Whether too many attempts at the node have lately come to nothing, though they may have run.
    pub(super) fn faulty(&self, now: Time) -> bool {
        let (faults, ended) = self.faults.faded(now);
        faults > FAULTY * (ended + PRIOR_ATTEMPTS)
    }

    /// Whether the node has work of this host and has answered nothing for longer than it ever pauses. Of a
    /// single attempt the answer may be lost; two tell more.
    pub(super) fn silent(&self, now: Time, average: f64) -> bool {
        let oldest = self.slots.values().map(|s| s.sent).min().unwrap_or(now);
        let patience = (self.units_out * self.per_unit(now, average) * SILENT_WAITS) as Time;
        self.slots.len() > 1 && now - oldest.max(self.last_answer) > patience.max(SILENT)
    }
}
