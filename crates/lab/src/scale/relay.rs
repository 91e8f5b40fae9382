//! What lies between brokers: each advertises an address of the relay. It knows who sends by the address that a datagram
//! comes from, holds it back by the link between the two places, loses, cuts, counts, and sends it on from the address that
//! the sender advertises. A few threads own a share of the sockets each.

use super::file::{Direction, File, Place};
use super::{io, ScaleError};
use claywinch::wire::cluster::decode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The first port; the others follow, all below those that the system gives away.
const FIRST_PORT: u16 = 20_000;
/// Between two looks at what is due.
const TICK: Duration = Duration::from_millis(1);
/// Bytes on their way in one thread; what comes beyond is lost, and counted as refused.
const MOST_ON_THE_WAY: usize = 512 << 20;
/// Datagrams read from one socket before others have their turn.
const AT_ONCE: usize = 64;
/// Of a larger cluster than this one datagram in a few is read for its kind.
const ALL_READ: usize = 100;
/// First byte of a part of a packet.
const PARTED: u8 = 2;
/// Most kinds of message that are told apart.
const MOST_KINDS: usize = 64;

/// Datagrams and bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes, without the heads of IP and UDP.
    pub bytes: u64,
}

/// What one broker has sent and was brought.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Sent, whatever became of it.
    pub out: Sum,
    /// Brought.
    pub come: Sum,
}

#[derive(Default)]
struct Counter {
    out: [AtomicU64; 2],
    come: [AtomicU64; 2],
}

fn add(to: &[AtomicU64; 2], bytes: usize) {
    to[0].fetch_add(1, Ordering::Relaxed);
    to[1].fetch_add(bytes as u64, Ordering::Relaxed);
}

fn sum(of: &[AtomicU64; 2]) -> Sum {
    Sum { datagrams: of[0].load(Ordering::Relaxed), bytes: of[1].load(Ordering::Relaxed) }
}

/// Some brokers that are cut off from the others.
#[derive(Debug, Clone)]
pub struct Cut {
    /// By broker.
    pub inside: Vec<bool>,
    /// Which way.
    pub direction: Direction,
}

impl Cut {
    /// Whether it lies between.
    fn stops(&self, from: usize, to: usize) -> bool {
        match (self.inside[from], self.inside[to]) {
            (false, true) => self.direction != Direction::Out,
            (true, false) => self.direction != Direction::In,
            _ => false,
        }
    }
}

struct Shared {
    places: Vec<Place>,
    regions: usize,
    file: File,
    brokers: Ipv4Addr,
    out: Vec<UdpSocket>,
    counters: Vec<Counter>,
    cuts: RwLock<Arc<Vec<Cut>>>,
    /// Worst lateness of what was sent on, in microseconds, since it was asked for.
    late: AtomicU64,
    refused: AtomicU64,
    over: AtomicBool,
}

impl Shared {
    /// Least time on the way, without jitter.
    fn delay(&self, from: usize, to: usize) -> Duration {
        let (a, b, links) = (self.places[from], self.places[to], &self.file.links);
        let ms = if a.zone == b.zone {
            links.within_zone_ms
        } else if a.region == b.region {
            links.within_region_ms
        } else {
            between(self.regions, a.region, b.region, links.between_ms)
        };
        Duration::from_nanos((ms * 1e6) as u64)
    }
}

/// Milliseconds between two regions, which stand on a ring in their order: the nearest are next to one another.
pub fn between(regions: usize, a: usize, b: usize, (least, most): (f64, f64)) -> f64 {
    let apart = a.abs_diff(b).min(regions - a.abs_diff(b));
    let farthest = (regions / 2).max(1);
    if farthest == 1 {
        return least;
    }
    least + (most - least) * (apart.max(1) - 1) as f64 / (farthest - 1) as f64
}

type Kinds = Arc<Mutex<BTreeMap<String, Sum>>>;

/// The relay; its threads end with it.
pub struct Relay {
    shared: Arc<Shared>,
    kinds: Vec<Kinds>,
    threads: Vec<JoinHandle<()>>,
    /// Its address, and that of the brokers.
    pub addresses: (Ipv4Addr, Ipv4Addr),
}

/// Addresses of their own for each run of a process, so that no two of them meet.
fn own_addresses() -> (Ipv4Addr, Ipv4Addr) {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The rig has those up to 250.
    let last = 251 + 2 * (RUNS.fetch_add(1, Ordering::Relaxed) % 2);
    let at = |last| Ipv4Addr::new(127, 1 + high % 250, low, last);
    (at(last), at(last + 1))
}

impl Relay {
    /// Stands between the brokers of a file, with so many threads.
    pub fn start(file: &File, threads: usize) -> Result<Relay, ScaleError> {
        let next = |a: Ipv4Addr| Ipv4Addr::from(u32::from(a).wrapping_add(1));
        let addresses = file.address.map_or_else(own_addresses, |a| (a, next(a)));
        let (mut sockets, mut out) = (Vec::new(), Vec::new());
        for broker in 0..file.size() {
            let at = SocketAddrV4::new(addresses.0, FIRST_PORT + broker as u16);
            let socket = UdpSocket::bind(at).map_err(io(format!("the relay's {at}")))?;
            socket.set_nonblocking(true).map_err(io(at.to_string()))?;
            out.push(socket.try_clone().map_err(io(at.to_string()))?);
            sockets.push(socket);
        }
        let shared = Arc::new(Shared {
            places: file.placement().places,
            regions: file.regions.len(),
            file: file.clone(),
            brokers: addresses.1,
            out,
            counters: (0..file.size()).map(|_| Counter::default()).collect(),
            cuts: RwLock::default(),
            late: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            over: AtomicBool::new(false),
        });
        let threads = threads.clamp(1, file.size());
        let mut shares: Vec<Vec<(usize, UdpSocket)>> = (0..threads).map(|_| Vec::new()).collect();
        for (broker, socket) in sockets.into_iter().enumerate() {
            shares[broker % threads].push((broker, socket));
        }
        let mut relay = Relay { shared, kinds: Vec::new(), threads: Vec::new(), addresses };
        for (number, share) in shares.into_iter().enumerate() {
            let (shared, kinds) = (relay.shared.clone(), Kinds::default());
            relay.kinds.push(kinds.clone());
            let thread = std::thread::Builder::new().name(format!("lab-relay-{number}"));
            let run = move || carry(shared, kinds, share, number as u64);
            relay.threads.push(thread.spawn(run).map_err(io("a thread of the relay"))?);
        }
        Ok(relay)
    }

    /// Where a broker is reached by others.
    pub fn advertise(&self, broker: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.addresses.0, FIRST_PORT + broker as u16)
    }

    /// Where it listens.
    pub fn listen(&self, broker: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.addresses.1, FIRST_PORT + broker as u16)
    }

    /// Sets the cuts.
    pub fn cut(&self, cuts: Vec<Cut>) {
        if let Ok(mut held) = self.shared.cuts.write() {
            *held = Arc::new(cuts);
        }
    }

    /// What each broker has sent and was brought.
    pub fn counts(&self) -> Vec<Counts> {
        self.shared.counters.iter().map(|c| Counts { out: sum(&c.out), come: sum(&c.come) }).collect()
    }

    /// What was sent, by kind of message; of a large cluster by a sample, carried up.
    pub fn kinds(&self) -> BTreeMap<String, Sum> {
        let mut all: BTreeMap<String, Sum> = BTreeMap::new();
        for lane in self.kinds.iter().filter_map(|k| k.lock().ok()) {
            for (kind, sum) in lane.iter() {
                let total = all.entry(kind.clone()).or_default();
                total.datagrams += sum.datagrams;
                total.bytes += sum.bytes;
            }
        }
        all
    }

    /// The worst lateness of a datagram since this was asked last.
    pub fn late(&self) -> Duration {
        Duration::from_micros(self.shared.late.swap(0, Ordering::Relaxed))
    }

    /// Datagrams for which there was no room here, or that could not be sent on.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Writes up to the first that is no letter.
struct Letters(String);

impl Write for Letters {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        for c in text.chars() {
            if !c.is_ascii_alphabetic() {
                return Err(std::fmt::Error);
            }
            self.0.push(c);
        }
        Ok(())
    }
}

/// The kind of a datagram's message.
pub fn kind(datagram: &[u8]) -> String {
    match decode(datagram) {
        Ok(packet) => {
            let mut letters = Letters(String::new());
            // It ends with an error where the name does.
            let _ = write!(letters, "{:?}", packet.body);
            letters.0.to_ascii_lowercase()
        }
        Err(_) if datagram.first() == Some(&PARTED) => "part".to_string(),
        Err(_) => "other".to_string(),
    }
}

/// A datagram on its way: when it is due, its number, from whom, to whom.
type Due = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

/// What one thread has on its way.
struct Lane {
    shared: Arc<Shared>,
    kinds: Kinds,
    chance: StdRng,
    way: BinaryHeap<Due>,
    bytes: usize,
    number: u64,
    buffer: Vec<u8>,
    sample: u64,
}

impl Lane {
    fn take_some(&mut self, socket: &tokio::net::UdpSocket, to: usize) {
        for _ in 0..AT_ONCE {
            let Ok((n, from)) = socket.try_recv_from(&mut self.buffer) else { return };
            self.take(n, from, to);
        }
    }

    fn take(&mut self, n: usize, from: SocketAddr, to: usize) {
        let SocketAddr::V4(from) = from else { return };
        let sender = usize::from(from.port().wrapping_sub(FIRST_PORT));
        if *from.ip() != self.shared.brokers || sender >= self.shared.counters.len() {
            return;
        }
        add(&self.shared.counters[sender].out, n);
        self.number += 1;
        if self.number.is_multiple_of(self.sample) {
            let kind = kind(&self.buffer[..n]);
            if let Ok(mut kinds) = self.kinds.lock() {
                if kinds.len() < MOST_KINDS || kinds.contains_key(&kind) {
                    let sum = kinds.entry(kind).or_default();
                    sum.datagrams += self.sample;
                    sum.bytes += self.sample * n as u64;
                }
            }
        }
        let cut = self.shared.cuts.read().is_ok_and(|cuts| cuts.iter().any(|c| c.stops(sender, to)));
        let links = &self.shared.file.links;
        if cut || self.chance.random::<f64>() < links.loss {
            return;
        }
        if self.bytes + n > MOST_ON_THE_WAY {
            self.shared.refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let jitter = Duration::from_nanos((self.chance.random::<f64>() * links.jitter_ms * 1e6) as u64);
        let due = Instant::now() + self.shared.delay(sender, to) + jitter;
        self.bytes += n;
        self.way.push(Reverse((due, self.number, sender, to, self.buffer[..n].to_vec())));
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        while self.way.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
            let Some(Reverse((due, _, from, to, datagram))) = self.way.pop() else { return };
            self.bytes -= datagram.len();
            self.shared.late.fetch_max(now.duration_since(due).as_micros() as u64, Ordering::Relaxed);
            let target = SocketAddrV4::new(self.shared.brokers, FIRST_PORT + to as u16);
            match self.shared.out[from].send_to(&datagram, target) {
                Ok(_) => add(&self.shared.counters[to].come, datagram.len()),
                // Nobody listens there: one that was killed.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {}
                Err(_) => {
                    self.shared.refused.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}

/// A thread of the relay.
fn carry(shared: Arc<Shared>, kinds: Kinds, share: Vec<(usize, UdpSocket)>, number: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    let sample = (shared.counters.len() / ALL_READ).max(1) as u64;
    let lane = Rc::new(RefCell::new(Lane {
        chance: StdRng::seed_from_u64(shared.file.seed ^ (number << 32)),
        shared: shared.clone(),
        kinds,
        way: BinaryHeap::new(),
        bytes: 0,
        number: 0,
        buffer: vec![0; 65_536],
        sample,
    }));
    let all = tokio::task::LocalSet::new();
    all.block_on(&runtime, async {
        for (to, socket) in share {
            let Ok(socket) = tokio::net::UdpSocket::from_std(socket) else { continue };
            let lane = lane.clone();
            tokio::task::spawn_local(async move {
                while socket.readable().await.is_ok() {
                    lane.borrow_mut().take_some(&socket, to);
                    tokio::task::yield_now().await;
                }
            });
        }
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !shared.over.load(Ordering::Relaxed) {
            ticks.tick().await;
            lane.borrow_mut().send_due();
        }
    });
}
