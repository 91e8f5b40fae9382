//! What simulated brokers sent, and when they put which view into force and were without a lease.

use claywinch::interface::Time;
use claywinch::state::membership::node::Body;
use std::collections::BTreeMap;

/// Datagrams and their bytes, without the heads of IP and UDP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// How many.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, other: Traffic) {
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
    }
}

/// The kind of a message, as tables name it.
pub fn kind(body: &Body) -> &'static str {
    match body {
        Body::Probe(..) => "probe",
        Body::Ack(..) => "ack",
        Body::Ask(..) => "ask",
        Body::Changes(..) => "changes",
        Body::Page(..) => "page",
        Body::Fetch(..) => "fetch",
        Body::Join(..) => "join",
        Body::Leave => "leave",
        Body::Down(..) => "down",
        Body::Renew(..) => "renew",
        Body::Grant(..) => "grant",
        Body::Drain(..) => "drain",
        Body::Raft(..) => "raft",
        Body::Founder(..) => "founder",
    }
}

/// What one broker did since the mark.
#[derive(Debug, Clone, Default)]
pub struct Counted {
    /// Sent, by kind: as many entries as there are kinds.
    pub sent: BTreeMap<&'static str, Traffic>,
    /// Read, all kinds.
    pub read: Traffic,
    /// When a view came into force, with its number. Ends with the mark, but for the last.
    pub came: Vec<(Time, u64)>,
    /// When it was without a lease that it had held before: from, to. Ends with the mark.
    pub lapses: Vec<(Time, Time)>,
    /// Since when it is without.
    lapsed: Option<Time>,
    leased: bool,
}

impl Counted {
    /// Counts what is sent.
    pub fn sends(&mut self, kind: &'static str, traffic: Traffic) {
        self.sent.entry(kind).or_default().add(traffic);
    }

    /// Counts what is read.
    pub fn reads(&mut self, traffic: Traffic) {
        self.read.add(traffic);
    }

    /// Sent, all kinds.
    pub fn all(&self) -> Traffic {
        let mut all = Traffic::default();
        self.sent.values().for_each(|t| all.add(*t));
        all
    }

    /// Takes where a broker stands after a turn: the view in force, and until when its lease lasts, by a clock that is `ahead` of
    /// `now`.
    pub fn stands(&mut self, now: Time, in_force: u64, lease: Time, ahead: Time) {
        if in_force > 0 && self.came.last().is_none_or(|(_, view)| *view != in_force) {
            self.came.push((now, in_force));
        }
        match (lease > now + ahead, self.lapsed) {
            (true, Some(from)) => {
                self.lapsed = None;
                self.lapses.push((from, now));
            }
            (false, None) if self.leased => self.lapsed = Some(lease - ahead),
            _ => {}
        }
        self.leased = lease > now + ahead;
    }

    /// Its process has ended: it neither holds a lease nor misses one.
    pub fn ends(&mut self) {
        *self = Counted { sent: std::mem::take(&mut self.sent), read: self.read, ..Counted::default() };
    }

    /// How long it has been without a lease since the mark, in microseconds.
    pub fn lapsed(&self, now: Time) -> Time {
        let open = self.lapsed.map_or(0, |from| now - from);
        open + self.lapses.iter().map(|(from, to)| to - from).sum::<Time>()
    }

    /// When a view of that number or a later one came into force here.
    pub fn reached(&self, number: u64) -> Option<Time> {
        self.came.iter().find(|(_, view)| *view >= number).map(|(at, _)| *at)
    }

    /// Begins anew at a mark.
    pub fn mark(&mut self, now: Time) {
        self.sent.clear();
        self.read = Traffic::default();
        self.came.drain(..self.came.len().saturating_sub(1));
        self.lapses.clear();
        self.lapsed = self.lapsed.map(|_| now);
    }
}

/// Median, 99th hundredth and worst of some figures.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spread {
    /// The one in the middle.
    pub median: f64,
    /// 99 of 100 are no higher.
    pub p99: f64,
    /// The highest.
    pub worst: f64,
    /// How many figures.
    pub count: usize,
}

impl Spread {
    /// Of these figures; all 0 for none.
    pub fn of(figures: impl IntoIterator<Item = f64>) -> Spread {
        let mut all: Vec<f64> = figures.into_iter().collect();
        all.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = (part * all.len() as f64).ceil() as usize;
            all.get(place.clamp(1, all.len().max(1)) - 1).copied().unwrap_or_default()
        };
        Spread { median: at(0.5), p99: at(0.99), worst: at(1.0), count: all.len() }
    }
}
