//! A broker process before a large fleet of stand-in storage servers: discovery, servers, clients and what came of
//! every request. Each server listens on a loopback address of its own, so that what it is sent can be told apart.

pub mod audit;
pub mod clients;
pub mod discovery;
pub mod kernel;
pub mod process;
pub mod proxy;
pub mod servers;
pub mod trace;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A small generator of its own, so that what a seed draws is drawn alike everywhere.
#[derive(Debug, Clone)]
pub struct Draw(u64);

impl Draw {
    /// The generator of a seed.
    pub fn new(seed: u64) -> Self {
        let mut draw = Draw(seed ^ 0x9e37_79b9_7f4a_7c15);
        draw.number();
        draw
    }

    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mixed = (self.0 ^ (self.0 >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed ^ (mixed >> 29)
    }

    /// Evenly from 0 to below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.number() % bound.max(1) as u64) as usize
    }

    /// Evenly from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.number() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }
}

/// Seconds since the start of a run, by the one clock that all records of the run share.
#[derive(Debug, Clone, Copy)]
pub struct RunClock {
    start: Instant,
    /// Seconds from the start of the machine to that of the run.
    boot: f64,
}

impl RunClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let uptime = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
        let boot = uptime.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0.0);
        RunClock { start: Instant::now(), boot }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Milliseconds from the start of the machine to a second of the run.
    pub fn since_boot_ms(&self, at: f64) -> u32 {
        ((self.boot + at) * 1e3) as u32
    }

    /// The instant of a number of seconds since the start.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        (self.start + std::time::Duration::from_secs_f64(at.max(0.0))).into()
    }
}

/// How late this process itself has run: what its own records of time are worth on a busy machine.
pub struct Lateness {
    worst_us: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
}

/// How often it is looked.
const LOOK: Duration = Duration::from_millis(5);

impl Lateness {
    /// Looks from now on.
    pub fn start() -> Self {
        let lateness = Lateness { worst_us: Arc::default(), over: Arc::default() };
        let (worst, over) = (lateness.worst_us.clone(), lateness.over.clone());
        std::thread::spawn(move || {
            while !over.load(Relaxed) {
                let from = Instant::now();
                std::thread::sleep(LOOK);
                worst.fetch_max(from.elapsed().saturating_sub(LOOK).as_micros() as u64, Relaxed);
            }
        });
        lateness
    }

    /// The worst so far, in seconds.
    pub fn worst(&self) -> f64 {
        self.worst_us.load(Relaxed) as f64 / 1e6
    }
}

impl Drop for Lateness {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
    }
}
