//! Clients with open-loop arrivals: connections are kept and used again; each request has its record.

use super::audit::{Audit, Fate, Record};
use super::proxy::Refused;
use super::{Draw, RunClock};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// How long after its time an answer is still waited for.
const LATE: f64 = 0.5;
/// Most idle connections that are kept.
const MOST_IDLE: usize = 256;
/// How long a connection to the broker may take.
const CONNECT: Duration = Duration::from_millis(1_000);

/// What clients ask for.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Requests a second.
    pub rate: f64,
    /// Part of them that write new objects; the others read a shard.
    pub writes: f64,
    /// Shards that are read.
    pub shards: usize,
    /// The distance from one of them to the next.
    pub stride: usize,
    /// How long clients wait, in seconds.
    pub waits: f64,
    /// Part of the clients that leave before their answer.
    pub leaves: f64,
    /// Most units of a request.
    pub most_units: usize,
}

/// Clients of one broker.
pub struct Clients {
    address: Mutex<String>,
    idle: Mutex<Vec<TcpStream>>,
    audit: Arc<Audit>,
    clock: RunClock,
    tag: u64,
    /// See [`proxy::start`](super::proxy::start).
    refused: Refused,
}

/// A request as it goes out.
struct Ask {
    id: String,
    command: Vec<u8>,
    waits: f64,
    leaves_after: Option<f64>,
    write: bool,
}

/// How an exchange on one connection went.
enum Exchange {
    Done,
    /// The connection ended before any byte of an answer.
    Ended,
}

impl Clients {
    /// Clients of the broker at this address; ids of their requests begin with `tag`.
    pub fn new(address: String, clock: RunClock, audit: Arc<Audit>, tag: u64, refused: Refused) -> Arc<Self> {
        let (address, idle) = (Mutex::new(address), Mutex::default());
        Arc::new(Clients { address, idle, audit, clock, tag, refused })
    }

    /// Plays traffic from one second of the run to another.
    pub async fn play(self: &Arc<Self>, traffic: Traffic, seed: u64, from: f64, to: f64) {
        let mut draw = Draw::new(seed);
        let (mut at, mut number) = (from, 0);
        let mut open = tokio::task::JoinSet::new();
        while at < to {
            tokio::time::sleep_until(self.clock.instant(at)).await;
            let ask = self.ask(&traffic, &mut draw, seed, number);
            let own = self.clone();
            open.spawn(async move { own.request(ask).await });
            number += 1;
            at += -(1.0 - draw.unit()).ln() / traffic.rate;
        }
        while open.join_next().await.is_some() {}
    }

    fn ask(&self, traffic: &Traffic, draw: &mut Draw, seed: u64, number: u64) -> Ask {
        let write = draw.chance(traffic.writes);
        let id = format!("{:04x}{:04x}{number:08x}", self.tag & 0xffff, seed & 0xffff);
        let (piece, volume) = (draw.number(), draw.below(64));
        let units = 1 + draw.below(traffic.most_units);
        let (class, shard) = match write {
            true => ("save", "-1".to_string()),
            false => ("read", (draw.below(traffic.shards) * traffic.stride).to_string()),
        };
        let waits_ms = (traffic.waits * 1e3) as u64;
        let fields = format!(
            "c={class},t=standard,d={waits_ms},volume={volume:016x},units={units},shard={shard},hosts=3"
        );
        let verb = if write { "OBJ.PUT" } else { "OBJ.GET" };
        let words = if write { 5 } else { 4 };
        let mut command = format!(
            "*{words}\r\n$7\r\n{verb}\r\n$16\r\n{piece:016x}\r\n${}\r\n{id}\r\n${}\r\n{fields}\r\n",
            id.len(),
            fields.len()
        );
        if write {
            command.push_str("$4\r\nbody\r\n");
        }
        let leaves_after = draw.chance(traffic.leaves).then(|| draw.unit() * traffic.waits * 0.3);
        Ask { id, command: command.into_bytes(), waits: traffic.waits, leaves_after, write }
    }

    async fn request(&self, ask: Ask) {
        let idle = self.take_idle(ask.write);
        let first = match idle {
            Some(stream) => Some(self.exchange(&ask, stream, false).await),
            None => None,
        };
        // One that crossed the end of a resting connection goes once more, on a new one.
        if !matches!(first, None | Some(Exchange::Ended)) {
            return;
        }
        let address = self.address.lock().expect("the address").clone();
        match tokio::time::timeout(CONNECT, TcpStream::connect(&address)).await {
            Ok(Ok(stream)) => {
                self.exchange(&ask, stream, true).await;
            }
            _ => self.done(&ask, self.clock.now(), Fate::NoConnection),
        }
    }

    fn done(&self, ask: &Ask, sent: f64, fate: Fate) {
        let record = Record { sent, waits: ask.waits, ended: self.clock.now(), fate, repeatable: !ask.write };
        self.audit.record(&ask.id, record);
    }

    async fn exchange(&self, ask: &Ask, mut stream: TcpStream, new: bool) -> Exchange {
        let _ = stream.set_nodelay(true);
        if stream.write_all(&ask.command).await.is_err() {
            if new {
                self.done(ask, self.clock.now(), Fate::NoConnection);
            }
            return Exchange::Ended;
        }
        let sent = self.clock.now();
        let patience = ask.leaves_after.unwrap_or(ask.waits + LATE);
        let answer = timeout_at(self.clock.instant(sent + patience), answer(&mut stream)).await;
        let fate = match answer {
            Err(_) if ask.leaves_after.is_some() => {
                drop(stream);
                Fate::Left
            }
            Err(_) => Fate::Silent,
            Ok(None) => {
                let port = stream.local_addr().map_or(0, |address| address.port());
                let fate = match self.refused.lock().expect("the refused").contains(&port) {
                    true => Fate::NoConnection,
                    false => Fate::Closed { new },
                };
                // On a connection that rested it may not have been read, which the servers' records tell.
                if !new {
                    let forwarded = self.audit.was_tried(&ask.id);
                    if !forwarded {
                        return Exchange::Ended;
                    }
                }
                fate
            }
            Ok(Some(line)) => {
                self.keep(stream);
                match line {
                    Answer::Value(value) if value == ask.id => Fate::Served,
                    Answer::Value(value) => Fate::Wrong(value),
                    Answer::Busy => Fate::Refused,
                    Answer::Error => Fate::Failed,
                }
            }
        };
        self.done(ask, sent, fate);
        Exchange::Done
    }

    /// An idle connection: the one used last, or the one that has rested for longest, which the broker may be about to
    /// close.
    fn take_idle(&self, oldest: bool) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("idle connections");
        match oldest && !idle.is_empty() {
            true => Some(idle.remove(0)),
            false => idle.pop(),
        }
    }

    fn keep(&self, stream: TcpStream) {
        let mut idle = self.idle.lock().expect("idle connections");
        if idle.len() < MOST_IDLE {
            idle.push(stream);
        }
    }
}

/// An answer.
enum Answer {
    Value(String),
    Busy,
    Error,
}

/// Reads one answer; nothing if the connection ends first.
async fn answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut read = Vec::new();
    loop {
        if let Some(end) = read.windows(2).position(|w: &[u8]| w == b"\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            match head.as_bytes().first() {
                Some(b'$') => {
                    let length: usize = head[1..].parse().ok()?;
                    if let Some(value) = read.get(end + 2..end + 2 + length) {
                        if read.len() >= end + 4 + length {
                            return Some(Answer::Value(String::from_utf8_lossy(value).into_owned()));
                        }
                    }
                }
                _ if head.starts_with("-BUSY") => return Some(Answer::Busy),
                _ => return Some(Answer::Error),
            }
        }
        if stream.read_buf(&mut read).await.ok()? == 0 {
            return None;
        }
    }
}
