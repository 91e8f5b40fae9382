//! A stand-in disk node: serves exports by name and size over NBD from memory, as slowly as a real one, and
//! spoils what it is told to spoil. Every fault is drawn from a seed and written into a ledger.

use crate::nbd::{self, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of a block: faults spoil whole blocks or bits within one.
pub const BLOCK: usize = 4096;

/// Ways to spoil data. Rates are parts of the operations they can befall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A bit rots on the disk.
    FlipData,
    /// The same in an export whose name ends in `.sums`.
    FlipSums,
    /// A read returns another block.
    MisdirectedRead,
    /// A write lands on another block.
    MisdirectedWrite,
    /// A write is acknowledged and not done.
    LostWrite,
    /// A write is half done when the node crashes.
    TornWrite,
    /// A bit flips between the disk and the reader.
    FlipOnWire,
}

/// All of them.
pub const FAULTS: [Fault; 7] = [
    Fault::FlipData,
    Fault::FlipSums,
    Fault::MisdirectedRead,
    Fault::MisdirectedWrite,
    Fault::LostWrite,
    Fault::TornWrite,
    Fault::FlipOnWire,
];

/// How a node behaves. Times are in microseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Manner {
    /// For all that is drawn.
    pub seed: u64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait; beyond that they are turned away.
    pub queue: usize,
    /// Median time that a request takes in a slot, and for each 64 KiB of it.
    pub service_us: f64,
    /// See `service_us`.
    pub service_64k_us: f64,
    /// Spread of the time: sigma of its logarithm.
    pub spread: f64,
    /// Stalls: shortest and longest, and the shortest and longest time between two. Zeroes: none.
    pub stall_us: (u64, u64),
    /// See `stall_us`.
    pub stall_every_us: (u64, u64),
    /// For so long after the start everything takes `cold_x` times as long, evening out to 1.
    pub cold_us: u64,
    /// See `cold_us`.
    pub cold_x: f64,
    /// Whether structured replies are offered.
    pub structured: bool,
    /// Parts of the operations that each kind of fault befalls.
    pub faults: BTreeMap<Fault, f64>,
}

impl Default for Manner {
    /// A quick, faultless node with the usual stall off.
    fn default() -> Self {
        Manner {
            seed: 1,
            slots: 4,
            queue: 64,
            service_us: 300.0,
            service_64k_us: 100.0,
            spread: 0.3,
            stall_us: (0, 0),
            stall_every_us: (0, 0),
            cold_us: 0,
            cold_x: 1.0,
            structured: true,
            faults: BTreeMap::new(),
        }
    }
}

impl Manner {
    /// The same with the usual stall of a storage node: 63 to 190 ms every 4 to 9 s.
    pub fn with_usual_stall(self) -> Self {
        Manner { stall_us: (63_000, 190_000), stall_every_us: (4_000_000, 9_000_000), ..self }
    }
}

/// A fault that was done: its kind, the export, and the block that is wrong since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Done {
    /// Its kind.
    pub fault: Fault,
    /// The export.
    pub export: String,
    /// The number of the block.
    pub block: u64,
}

/// An order to do the next operation of a kind wrongly, beside what is drawn.
#[derive(Debug, Clone)]
struct Planned {
    fault: Fault,
    export: String,
}

/// What was asked for, in the order of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The export.
    pub export: String,
    /// The command.
    pub command: u16,
    /// In bytes.
    pub offset: u64,
    /// In bytes.
    pub length: u32,
}

type Block = Box<[u8; BLOCK]>;

struct State {
    random: StdRng,
    exports: BTreeMap<String, (u64, BTreeMap<u64, Block>)>,
    queue: VecDeque<Job>,
    running: usize,
    stalled_until: Instant,
    started: Instant,
    ledger: Vec<Done>,
    planned: Vec<Planned>,
    seen: Vec<Seen>,
    watching: bool,
    /// Connections that are open, by number.
    open: BTreeMap<u64, TcpStream>,
    next: u64,
    served: u64,
    turned_away: u64,
    closing: bool,
    faults: BTreeMap<Fault, f64>,
    /// Stalls come from now on.
    under_load: bool,
    /// Requests that are held back until they are let go: for tests of late writes.
    hold: Option<(String, u16)>,
    held: Vec<Job>,
}

struct Job {
    connection: u64,
    stream: Arc<Mutex<TcpStream>>,
    structured: bool,
    export: String,
    request: Request,
}

/// A node, running. It ends when the last handle is dropped or [`Disk::close`] is called.
#[derive(Clone)]
pub struct Disk {
    shared: Arc<(Mutex<State>, Condvar)>,
    manner: Arc<Manner>,
    address: String,
}

impl Disk {
    /// Starts a node on a free loopback port, or on the address given.
    pub fn start(address: Option<&str>, exports: &[(&str, u64)], manner: Manner) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address.unwrap_or("127.0.0.1:0"))?;
        let address = listener.local_addr()?.to_string();
        let exports = exports.iter().map(|(n, size)| (n.to_string(), (*size, BTreeMap::new()))).collect();
        let state = State {
            random: StdRng::seed_from_u64(manner.seed),
            exports,
            queue: VecDeque::new(),
            running: 0,
            stalled_until: Instant::now(),
            started: Instant::now(),
            ledger: Vec::new(),
            planned: Vec::new(),
            seen: Vec::new(),
            watching: false,
            open: BTreeMap::new(),
            next: 0,
            served: 0,
            turned_away: 0,
            closing: false,
            faults: manner.faults.clone(),
            under_load: false,
            hold: None,
            held: Vec::new(),
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let disk = Disk { shared, manner: Arc::new(manner), address };
        for _ in 0..disk.manner.slots.max(1) {
            let worker = disk.clone();
            thread::spawn(move || worker.work());
        }
        if disk.manner.stall_every_us.1 > 0 {
            let staller = disk.clone();
            thread::spawn(move || staller.stalls());
        }
        let accepting = disk.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.state().closing {
                    return;
                }
                let disk = accepting.clone();
                thread::spawn(move || disk.carry(stream));
            }
        });
        Ok(disk)
    }

    /// Where it listens.
    pub fn address(&self) -> &str {
        &self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Stops working for good and ends all connections.
    pub fn close(&self) {
        let mut state = self.state();
        state.closing = true;
        state.queue.clear();
        state.open.values().for_each(|s| drop(s.shutdown(Shutdown::Both)));
        drop(state);
        self.shared.1.notify_all();
        let _ = TcpStream::connect(&self.address);
    }

    /// Crashes: connections break, what waits is lost, and writes in work are torn if the ledger of faults
    /// says so. It goes on at once: what outlived the crash is the disk.
    pub fn crash(&self) {
        let mut state = self.state();
        state.started = Instant::now();
        let rate = state.faults.get(&Fault::TornWrite).copied().unwrap_or(0.0);
        let waiting: Vec<Job> = state.queue.drain(..).collect();
        for job in waiting.into_iter().filter(|j| j.request.command == nbd::WRITE) {
            if state.random.random_bool(rate.clamp(0.0, 1.0)) {
                let (at, data) = (job.request.offset, &job.request.data);
                let keep = (data.len() / 512 / 2).max(1) * 512;
                let block = (at + keep as u64) / BLOCK as u64;
                let torn = !keep.is_multiple_of(BLOCK);
                state.store(&job.export, at, &data[..keep.min(data.len())]);
                if torn {
                    state.ledger.push(Done { fault: Fault::TornWrite, export: job.export.clone(), block });
                }
            }
        }
        state.open.values().for_each(|s| drop(s.shutdown(Shutdown::Both)));
        state.open.clear();
    }

    /// Stands still for so long: nothing ends meanwhile.
    pub fn stall(&self, time: Duration) {
        self.state().stalled_until = Instant::now() + time;
    }

    /// Does the next operation that a kind of fault can befall wrongly.
    pub fn plan(&self, fault: Fault, export: &str) {
        self.state().planned.push(Planned { fault, export: export.to_string() });
    }

    /// From now on faults come at these rates.
    pub fn spoil(&self, faults: BTreeMap<Fault, f64>) {
        self.state().faults = faults;
    }

    /// The load begins: from now on the node stalls, if it does.
    pub fn under_load(&self) {
        self.state().under_load = true;
    }

    /// Holds back all requests of one command to an export, as a node that hangs would.
    pub fn hold(&self, export: &str, command: u16) {
        self.state().hold = Some((export.to_string(), command));
    }

    /// Works on what was held back, in its order, and holds back no more.
    pub fn let_go(&self) {
        let mut state = self.state();
        state.hold = None;
        let held = std::mem::take(&mut state.held);
        state.queue.extend(held);
        drop(state);
        self.shared.1.notify_all();
    }

    /// How many requests are held back.
    pub fn held(&self) -> usize {
        self.state().held.len()
    }

    /// Flips one bit on the disk.
    pub fn flip(&self, export: &str, block: u64, bit: usize) {
        let mut state = self.state();
        state.flip(export, block, bit);
    }

    /// What stands on the disk.
    pub fn bytes(&self, export: &str, at: u64, length: usize) -> Vec<u8> {
        self.state().load(export, at, length)
    }

    /// Puts bytes on the disk without a word.
    pub fn put(&self, export: &str, at: u64, data: &[u8]) {
        self.state().store(export, at, data);
    }

    /// All faults done so far.
    pub fn ledger(&self) -> Vec<Done> {
        self.state().ledger.clone()
    }

    /// Begins to note down what is asked for, and gives what was noted since the last call.
    pub fn seen(&self) -> Vec<Seen> {
        let mut state = self.state();
        state.watching = true;
        std::mem::take(&mut state.seen)
    }

    /// Requests worked on and requests turned away.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.served, state.turned_away)
    }

    /// Stalls by a seed of its own, from the moment at which the load begins: two plays of one seed stall alike,
    /// whatever else is drawn meanwhile.
    fn stalls(&self) {
        let mut random = StdRng::seed_from_u64(self.manner.seed ^ 0x57a1);
        while !self.state().under_load {
            if self.state().closing {
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
        loop {
            let (every, stall) = (self.manner.stall_every_us, self.manner.stall_us);
            let wait = random.random_range(every.0..=every.1);
            let length = random.random_range(stall.0..=stall.1);
            thread::sleep(Duration::from_micros(wait));
            if self.state().closing {
                return;
            }
            self.stall(Duration::from_micros(length));
        }
    }

    fn carry(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let size = |name: &str| self.state().exports.get(name).map(|(size, _)| *size);
        let shaken = nbd::shake_as_server(&mut stream, self.manner.structured, size);
        let Ok(Some((export, structured))) = shaken else { return };
        let Ok(writer) = stream.try_clone() else { return };
        let number = {
            let mut state = self.state();
            state.next += 1;
            let number = state.next;
            if let Ok(handle) = stream.try_clone() {
                state.open.insert(number, handle);
            }
            number
        };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = std::io::BufReader::with_capacity(256 * 1024, stream);
        while let Ok(request) = Request::read(&mut reader) {
            if request.command == nbd::DISC {
                break;
            }
            let job = Job {
                connection: number,
                stream: writer.clone(),
                structured,
                export: export.clone(),
                request,
            };
            let mut state = self.state();
            if state.hold.as_ref().is_some_and(|(e, c)| *e == job.export && *c == job.request.command) {
                state.held.push(job);
                continue;
            }
            if state.queue.len() >= self.manner.queue {
                state.turned_away += 1;
                drop(state);
                job.reply(&nbd::error(structured, job.request.cookie, nbd::ENOMEM, "BUSY"));
                continue;
            }
            state.queue.push_back(job);
            drop(state);
            self.shared.1.notify_one();
        }
        let mut state = self.state();
        state.open.remove(&number);
        // What nobody waits for any more is not begun.
        state.queue.retain(|j| j.connection != number);
    }

    fn work(&self) {
        loop {
            let (job, time) = {
                let mut state = self.state();
                loop {
                    if state.closing {
                        return;
                    }
                    let now = Instant::now();
                    if state.stalled_until <= now && !state.queue.is_empty() {
                        break;
                    }
                    let wait =
                        state.stalled_until.saturating_duration_since(now).max(Duration::from_millis(1));
                    let wait = if state.queue.is_empty() { Duration::from_millis(200) } else { wait };
                    state = match self.shared.1.wait_timeout(state, wait) {
                        Ok((state, _)) => state,
                        Err(poisoned) => poisoned.into_inner().0,
                    };
                }
                let Some(job) = state.queue.pop_front() else { continue };
                state.running += 1;
                let time = self.service(&mut state, &job.request);
                (job, time)
            };
            thread::sleep(time);
            // A stall that began meanwhile holds up its end, too.
            loop {
                let left = self.state().stalled_until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                thread::sleep(left);
            }
            let reply = {
                let mut state = self.state();
                state.running -= 1;
                state.served += 1;
                if state.watching {
                    let Request { command, offset, length, .. } = job.request;
                    state.seen.push(Seen { export: job.export.clone(), command, offset, length });
                }
                state.carry_out(&job)
            };
            job.reply(&reply);
        }
    }

    fn service(&self, state: &mut State, request: &Request) -> Duration {
        let m = &self.manner;
        let base = m.service_us + m.service_64k_us * f64::from(request.length) / 65_536.0;
        let spread = LogNormal::new(0.0, m.spread.max(0.0)).map_or(1.0, |d| d.sample(&mut state.random));
        let age = state.started.elapsed().as_micros() as f64 / (m.cold_us.max(1)) as f64;
        let cold = if m.cold_us > 0 { 1.0 + (m.cold_x - 1.0) * (1.0 - age).max(0.0) } else { 1.0 };
        Duration::from_micros((base * spread * cold) as u64)
    }
}

impl Job {
    fn reply(&self, bytes: &[u8]) {
        let mut stream = self.stream.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = stream.write_all(bytes);
    }
}

impl State {
    fn load(&self, export: &str, at: u64, length: usize) -> Vec<u8> {
        let mut out = vec![0; length];
        let Some((_, blocks)) = self.exports.get(export) else { return out };
        let mut done = 0;
        while done < length {
            let place = at + done as u64;
            let (block, inside) = (place / BLOCK as u64, (place % BLOCK as u64) as usize);
            let n = (BLOCK - inside).min(length - done);
            if let Some(bytes) = blocks.get(&block) {
                out[done..done + n].copy_from_slice(&bytes[inside..inside + n]);
            }
            done += n;
        }
        out
    }

    fn store(&mut self, export: &str, at: u64, data: &[u8]) {
        let Some((_, blocks)) = self.exports.get_mut(export) else { return };
        let mut done = 0;
        while done < data.len() {
            let place = at + done as u64;
            let (block, inside) = (place / BLOCK as u64, (place % BLOCK as u64) as usize);
            let n = (BLOCK - inside).min(data.len() - done);
            let bytes = blocks.entry(block).or_insert_with(|| Box::new([0; BLOCK]));
            bytes[inside..inside + n].copy_from_slice(&data[done..done + n]);
            done += n;
        }
    }

    fn flip(&mut self, export: &str, block: u64, bit: usize) {
        let mut byte = self.load(export, block * BLOCK as u64 + (bit / 8) as u64, 1);
        byte[0] ^= 1 << (bit % 8);
        self.store(export, block * BLOCK as u64 + (bit / 8) as u64, &byte);
    }

    /// Whether a fault befalls an operation on an export.
    fn befalls(&mut self, fault: Fault, export: &str) -> bool {
        if let Some(place) = self.planned.iter().position(|p| p.fault == fault && p.export == export) {
            self.planned.remove(place);
            return true;
        }
        let rate = self.faults.get(&fault).copied().unwrap_or(0.0);
        rate > 0.0 && self.random.random_bool(rate.min(1.0))
    }

    fn note(&mut self, fault: Fault, export: &str, block: u64) {
        self.ledger.push(Done { fault, export: export.to_string(), block });
    }

    fn carry_out(&mut self, job: &Job) -> Vec<u8> {
        let Request { command, cookie, offset, length, ref data, .. } = job.request;
        let (name, is_sums) = (job.export.as_str(), job.export.ends_with(".sums"));
        let size = self.exports.get(name).map_or(0, |(size, _)| *size);
        if offset + u64::from(length) > size {
            return nbd::error(job.structured, cookie, nbd::EINVAL, "out of range");
        }
        let blocks = size / BLOCK as u64;
        let first = offset / BLOCK as u64;
        let some = u64::from(length).div_ceil(BLOCK as u64).max(1);
        match command {
            nbd::READ => {
                let rot = if is_sums { Fault::FlipSums } else { Fault::FlipData };
                if self.befalls(rot, name) {
                    let block = first + self.random.random_range(0..some);
                    let bit = self.random.random_range(0..BLOCK * 8);
                    self.flip(name, block, bit);
                    self.note(rot, name, block);
                }
                let mut from = offset;
                if self.befalls(Fault::MisdirectedRead, name) && blocks > 2 * some {
                    from = self.random.random_range(0..blocks - some) * BLOCK as u64;
                    if from != offset {
                        self.note(Fault::MisdirectedRead, name, first);
                    }
                }
                let mut bytes = self.load(name, from, length as usize);
                if self.befalls(Fault::FlipOnWire, name) && !bytes.is_empty() {
                    let place = self.random.random_range(0..bytes.len());
                    bytes[place] ^= 1 << self.random.random_range(0..8);
                    self.note(Fault::FlipOnWire, name, first + (place / BLOCK) as u64);
                }
                match job.structured {
                    true => nbd::chunk(true, 1, cookie, &[&offset.to_be_bytes(), &bytes]),
                    false => nbd::simple(0, cookie, &bytes),
                }
            }
            nbd::WRITE => {
                let mut to = Some(offset);
                if self.befalls(Fault::LostWrite, name) {
                    to = None;
                    self.note(Fault::LostWrite, name, first);
                } else if self.befalls(Fault::MisdirectedWrite, name) && blocks > 2 * some {
                    let other = self.random.random_range(0..blocks - some);
                    if other != first {
                        to = Some(other * BLOCK as u64);
                        self.note(Fault::MisdirectedWrite, name, first);
                        self.note(Fault::MisdirectedWrite, name, other);
                    }
                }
                if let Some(to) = to {
                    self.store(name, to, data);
                }
                self.ack(job)
            }
            nbd::FLUSH => self.ack(job),
            _ => nbd::error(job.structured, cookie, nbd::EINVAL, "unknown command"),
        }
    }

    fn ack(&self, job: &Job) -> Vec<u8> {
        match job.structured {
            true => nbd::chunk(true, 0, job.request.cookie, &[]),
            false => nbd::simple(0, job.request.cookie, b""),
        }
    }
}
