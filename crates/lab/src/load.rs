//! Open load: arrivals are drawn ahead and do not wait for answers; latency counts from the intended start.
//! Every byte that is read is judged.

use crate::client::{connect, Asker, Listener};
use crate::nbd::{self, Reply, EIO, ENOMEM};
use crate::truth::{Allowed, End, Truth, BLOCK};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests of one connection that are out at most; later ones wait, which counts as their latency.
const MOST_OUT: usize = 48;
/// Wait before a connection is tried again.
const AGAIN: Duration = Duration::from_millis(25);
/// How long the last answers may take.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

/// What a class of requests does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Flushes.
    Flush,
}

/// A class of requests of a load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What it does.
    pub kind: Kind,
    /// Requests a second over all connections.
    pub rate: f64,
    /// Fewest and most blocks of 4 KiB.
    #[serde(default = "one_block")]
    pub blocks: (u64, u64),
    /// An answer within so many milliseconds is in time.
    pub aim_ms: f64,
}

fn one_block() -> (u64, u64) {
    (1, 1)
}

/// What came of a class.
#[derive(Debug, Clone)]
pub struct Result {
    /// Its name.
    pub name: String,
    /// Answered with what was asked for.
    pub served: u64,
    /// Of these, within the aim.
    pub in_time: u64,
    /// Told to come back.
    pub refused: u64,
    /// Failed for another reason than what came.
    pub failed: u64,
    /// Answered with an error for what came.
    pub spoiled: u64,
    /// Served with wrong bytes.
    pub wrong: u64,
    /// Never answered: the connection broke.
    pub unanswered: u64,
    /// Blocks read and judged.
    pub blocks: u64,
    /// Latencies of what was served, in microseconds.
    pub latency: Histogram<u64>,
}

impl Result {
    fn new(name: &str) -> Self {
        // A minute at most, to three figures.
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are possible");
        let name = name.to_string();
        let (served, in_time, refused, failed, spoiled, wrong, unanswered, blocks) = (0, 0, 0, 0, 0, 0, 0, 0);
        Result { name, served, in_time, refused, failed, spoiled, wrong, unanswered, blocks, latency }
    }

    /// Adds what another run of the class brought.
    pub fn add(&mut self, other: &Result) {
        self.served += other.served;
        self.in_time += other.in_time;
        self.refused += other.refused;
        self.failed += other.failed;
        self.spoiled += other.spoiled;
        self.wrong += other.wrong;
        self.unanswered += other.unanswered;
        self.blocks += other.blocks;
        // Both have the same bounds.
        let _ = self.latency.add(&other.latency);
    }
}

/// A load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Where the server listens.
    pub address: String,
    /// The export.
    pub export: String,
    /// Connections.
    pub connections: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// How long requests come.
    pub time: Duration,
    /// Latencies count of requests that come after so long only: links are opened at first.
    pub warmup: Duration,
    /// The classes.
    pub classes: Vec<Class>,
}

/// A request that is out.
struct Out {
    class: usize,
    intended: Instant,
    first: u64,
    count: u64,
    /// Of a write.
    versions: Vec<u64>,
    /// Of a read.
    allowed: Option<Allowed>,
}

/// What both halves of a connection share.
#[derive(Default)]
struct Shared {
    out: Mutex<BTreeMap<u64, Out>>,
    room: Condvar,
    broken: AtomicBool,
}

struct Worker {
    load: Load,
    warm: Instant,
    truth: Arc<Truth>,
    results: Mutex<Vec<Result>>,
}

impl Worker {
    fn note(&self, class: usize, what: impl FnOnce(&mut Result)) {
        let mut results = self.results.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        what(&mut results[class]);
    }

    fn answered(&self, out: Out, reply: &Reply) {
        let latency = out.intended.elapsed();
        let class = &self.load.classes[out.class];
        let never = matches!(reply, Reply::Error(ENOMEM, text, _) if text.starts_with("BUSY"));
        if class.kind == Kind::Write {
            let end = match reply {
                Reply::Done(_) => End::Done,
                _ if never => End::Never,
                _ => End::Doubt,
            };
            self.truth.written(out.first, &out.versions, end);
        }
        let wrong = match (reply, &out.allowed) {
            (Reply::Done(bytes), Some(allowed)) => self.truth.judge(out.first, allowed, bytes),
            _ => None,
        };
        if let Some(block) = wrong {
            eprintln!("wrong bytes were served: block {block}");
        }
        self.note(out.class, |result| match reply {
            Reply::Done(_) => {
                result.served += 1;
                result.wrong += u64::from(wrong.is_some());
                result.blocks += if class.kind == Kind::Read { out.count } else { 0 };
                result.in_time += u64::from(latency.as_secs_f64() * 1000.0 <= class.aim_ms);
                if out.intended >= self.warm {
                    // Longer than a minute counts as a minute.
                    result.latency.saturating_record((latency.as_micros() as u64).max(1));
                }
            }
            Reply::Error(EIO, _, Some(_)) => result.spoiled += 1,
            _ if never => result.refused += 1,
            Reply::Error(..) | Reply::Status(_) => result.failed += 1,
        });
    }

    /// What was out on a connection that broke.
    fn lost(&self, shared: &Shared) {
        let out = std::mem::take(&mut *shared.out.lock().unwrap_or_else(|p| p.into_inner()));
        for out in out.into_values() {
            if self.load.classes[out.class].kind == Kind::Write {
                self.truth.written(out.first, &out.versions, End::Doubt);
            }
            self.note(out.class, |result| result.unanswered += 1);
        }
    }

    /// Carries one connection through its part of the load.
    fn run(self: &Arc<Self>, number: usize, start: Instant) {
        let mut random = StdRng::seed_from_u64(self.load.seed ^ (number as u64).wrapping_mul(0x5851_f42d));
        let total: f64 = self.load.classes.iter().map(|c| c.rate).sum();
        let Ok(gaps) = Exp::new(total / self.load.connections as f64) else { return };
        let mut at = gaps.sample(&mut random);
        let mut link: Option<Link> = None;
        while at < self.load.time.as_secs_f64() {
            let intended = start + Duration::from_secs_f64(at);
            at += gaps.sample(&mut random);
            let mut pick = random.random_range(0.0..total);
            let class = self.load.classes.iter().position(|c| {
                pick -= c.rate;
                pick < 0.0
            });
            let class = class.unwrap_or(0);
            let Class { kind, blocks, .. } = self.load.classes[class];
            let count = random.random_range(blocks.0..=blocks.1).min(self.truth.blocks());
            let first = random.random_range(0..=self.truth.blocks() - count);
            thread::sleep(intended.saturating_duration_since(Instant::now()));
            if link.as_ref().is_some_and(|l| l.shared.broken.load(Ordering::Relaxed)) {
                link.take().into_iter().for_each(|l| l.close(self));
            }
            while link.is_none() && start.elapsed() < self.load.time {
                link = Link::open(self);
                if link.is_none() {
                    thread::sleep(AGAIN);
                }
            }
            let Some(link) = &mut link else { return };
            link.send(self, Out { class, intended, first, count, versions: Vec::new(), allowed: None }, kind);
        }
        let Some(link) = link else { return };
        let end = Instant::now() + LAST_ANSWERS;
        while Instant::now() < end && !link.shared.out.lock().map_or(true, |out| out.is_empty()) {
            thread::sleep(Duration::from_millis(5));
        }
        link.close(self);
    }
}

/// A connection with a thread that reads.
struct Link {
    asker: Asker,
    shared: Arc<Shared>,
    reading: thread::JoinHandle<()>,
}

impl Link {
    fn open(worker: &Arc<Worker>) -> Option<Self> {
        let (_, asker, listener) = connect(&worker.load.address, &worker.load.export, true).ok()?;
        let shared = Arc::new(Shared::default());
        let (worker, theirs) = (worker.clone(), shared.clone());
        let reading = thread::spawn(move || read(&worker, &theirs, listener));
        Some(Link { asker, shared, reading })
    }

    fn send(&mut self, worker: &Worker, mut request: Out, kind: Kind) {
        let Ok(mut out) = self.shared.out.lock() else { return };
        while out.len() >= MOST_OUT && !self.shared.broken.load(Ordering::Relaxed) {
            match self.shared.room.wait_timeout(out, Duration::from_millis(50)) {
                Ok((held, _)) => out = held,
                Err(_) => return,
            }
        }
        let (first, count) = (request.first, request.count);
        let (at, length) = (first * BLOCK as u64, (count * BLOCK as u64) as u32);
        let (command, at, length, data) = match kind {
            Kind::Read => {
                request.allowed = Some(worker.truth.read(first, count));
                (nbd::READ, at, length, Vec::new())
            }
            Kind::Write => {
                let (versions, bytes) = worker.truth.write(first, count);
                request.versions = versions;
                (nbd::WRITE, at, length, bytes)
            }
            Kind::Flush => (nbd::FLUSH, 0, 0, Vec::new()),
        };
        // It stands among those that are out before its answer can come.
        let cookie = self.asker.upcoming();
        out.insert(cookie, request);
        drop(out);
        if self.asker.send(command, 0, at, length, data).is_err() {
            self.shared.broken.store(true, Ordering::Relaxed);
        }
    }

    fn close(self, worker: &Worker) {
        self.asker.close();
        let _ = self.reading.join();
        worker.lost(&self.shared);
    }
}

fn read(worker: &Worker, shared: &Shared, mut listener: Listener) {
    while let Ok((cookie, reply)) = listener.reply() {
        let out = shared.out.lock().unwrap_or_else(|p| p.into_inner()).remove(&cookie);
        shared.room.notify_one();
        if let Some(out) = out {
            worker.answered(out, &reply);
        }
    }
    shared.broken.store(true, Ordering::Relaxed);
    shared.room.notify_one();
}

/// Plays a load to its end, and gives what came of each class.
pub fn play(load: Load, truth: Arc<Truth>) -> Vec<Result> {
    let results = load.classes.iter().map(|c| Result::new(&c.name)).collect();
    let connections = load.connections;
    let start = Instant::now();
    let worker = Arc::new(Worker { warm: start + load.warmup, load, truth, results: Mutex::new(results) });
    let threads: Vec<_> = (0..connections)
        .map(|number| {
            let worker = worker.clone();
            thread::spawn(move || worker.run(number, start))
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let results = worker.results.lock().unwrap_or_else(|p| p.into_inner());
    results.clone()
}
