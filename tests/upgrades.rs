//! New versions beside the old ones of a broker whose NBD front is on, one after another, under load.

mod common;

use claywinch_lab::broker::SETTINGS;
use claywinch_lab::client::{self, Asker, Listener};
use claywinch_lab::disk::{Disk, Manner, BLOCK};
use claywinch_lab::nbd::{Reply, WRITE};
use common::net::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SIZE: u64 = 256 << 20;
/// Upgrades in series.
const UPGRADES: usize = 20;
/// Clients that write at once.
const CLIENTS: usize = 4;
/// Writes that a client has open at once.
const OPEN: usize = 4;
/// Wait of a client before it connects again.
const AGAIN: Duration = Duration::from_millis(20);
/// Longest time for which no write may be served: SIGKILL comes 3.7 s after SIGTERM at the latest.
const LONGEST_GAP: Duration = Duration::from_secs(5);

/// What all processes of the broker are started from.
struct Site {
    folder: PathBuf,
    socket: TcpListener,
    discovery: String,
    nbd: String,
}

impl Site {
    fn new(name: &str, discovery: &str, file: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("claywinch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("config.json"), configuration(SETTINGS, discovery))
            .expect("a configuration");
        let nbd = free_address();
        std::fs::write(folder.join("nbd.toml"), format!("listen = \"{nbd}\"\n{file}")).expect("a file");
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        Site { folder, socket, discovery: discovery.to_string(), nbd }
    }

    /// Starts a process on the inherited socket, and waits until it says that it can serve.
    fn start(&self) -> Broker {
        let (admin, listen) = (free_address(), self.socket.local_addr().expect("an address").to_string());
        let handed: OwnedFd = self.socket.try_clone().expect("a descriptor").into();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let shell = format!("exec 4<&0 0</dev/null; exec {}", env!("CARGO_BIN_EXE_claywinch"));
        let child = Command::new("sh")
            .args(["-c", &shell])
            .stdin(Stdio::from(handed))
            .stderr(Stdio::from(log.expect("a log")))
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .env("RELAY_LISTEN", &listen)
            .env("RELAY_DISCOVERY", &self.discovery)
            .env("RELAY_ADMIN", &admin)
            .env("RELAY_PASSED_SOCKET", "4")
            .env("CLAYWINCH_NBD", self.folder.join("nbd.toml"))
            .env("TMPDIR", &self.folder)
            .spawn()
            .expect("the broker starts");
        let broker = Broker { child, listen, nbd: self.nbd.clone(), folder: self.folder.clone() };
        until("it can serve", || is_healthy(&admin));
        broker
    }
}

fn is_healthy(admin: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(admin) else { return false };
    let mut answer = String::new();
    let asked = stream.write_all(b"HEALTH\n").and_then(|()| stream.read_to_string(&mut answer));
    asked.is_ok() && answer.starts_with("200")
}

/// What became of the writes of all clients, by their blocks: each block is written once.
#[derive(Default)]
struct Outcomes {
    next: AtomicU64,
    served: std::sync::Mutex<Vec<u64>>,
    /// Those whose connection ended without an answer.
    unanswered: std::sync::Mutex<Vec<u64>>,
    /// When a write was served last, and the longest time without one.
    gap: std::sync::Mutex<(Option<Instant>, Duration)>,
}

impl Outcomes {
    fn note_served(&self, block: u64) {
        self.served.lock().expect("the list").push(block);
        let mut gap = self.gap.lock().expect("the gap");
        let since = gap.0.replace(Instant::now()).map_or(Duration::ZERO, |last| last.elapsed());
        gap.1 = gap.1.max(since);
    }
}

/// Writes one block after another until told to stop; connects again when a connection ends.
fn press(address: &str, outcomes: &Outcomes, stop: &AtomicBool) {
    while !stop.load(Relaxed) {
        let Ok((_, asker, listener)) = client::connect(address, "tallies", true) else {
            thread::sleep(AGAIN);
            continue;
        };
        press_on(asker, listener, outcomes, stop);
    }
}

fn press_on(mut asker: Asker, mut listener: Listener, outcomes: &Outcomes, stop: &AtomicBool) {
    let mut open = BTreeMap::new();
    loop {
        while open.len() < OPEN && !stop.load(Relaxed) {
            let block = outcomes.next.fetch_add(1, Relaxed) % (SIZE / BLOCK as u64);
            let data = vec![block as u8; BLOCK];
            let Ok(cookie) = asker.send(WRITE, 0, block * BLOCK as u64, BLOCK as u32, data) else { break };
            open.insert(cookie, block);
        }
        if open.is_empty() {
            return;
        }
        let Ok((cookie, reply)) = listener.reply() else { break };
        let block = open.remove(&cookie).expect("it was asked for");
        if reply == Reply::Done(Vec::new()) {
            outcomes.note_served(block);
        }
    }
    outcomes.unanswered.lock().expect("the list").extend(open.into_values());
}

fn file(node: &str, integrity: &str) -> String {
    let class = |name: &str, repeat: &str| {
        format!("[[class]]\nname='{name}'\nwanted_ms=500\ndeadline_ms=2000\nworth=2.0\nrepeat='{repeat}'\n")
    };
    let (read, write) = (class("read", "safe"), class("write", "never"));
    format!(
        "{read}{write}[[plan]]\nname='standard'\nrate=50000.0\nreserve=40000.0\n\
         [[export]]\nname='tallies'\nsize={SIZE}\nshard=0\nplan='standard'\n\
         read='read'\nwrite='write'\nflush='write'\n{integrity}\n\
         [integrity]\nscrub_days=0.0\n[[node]]\nid='d-1'\naddress='{node}'\nshard=0\n"
    )
}

/// The times that a node worked on a write of each block.
fn written(node: &Disk) -> BTreeMap<u64, usize> {
    let mut times = BTreeMap::new();
    for seen in node.seen().into_iter().filter(|seen| seen.export == "tallies" && seen.command == WRITE) {
        *times.entry(seen.offset / BLOCK as u64).or_default() += 1;
    }
    times
}

/// Upgrades under load, and judges what came of each write.
fn upgrade(name: &str, integrity: &str, upgrades: usize) {
    let manner = Manner { service_us: 10_000.0, ..Manner::default() };
    let node = Disk::start(None, &[("tallies", SIZE), ("tallies.sums", SIZE)], manner).expect("a node");
    let _ = node.seen();
    let resp = resp_node();
    let member = format!(
        r#"{{"id":"s-00000001","host_port":"{}","locality":"a","cell":0,"phase":"ready","up_since_ms":0}}"#,
        resp.1
    );
    let (_discovery, discovery) = Discovery::start(&member);
    let site = Site::new(name, &discovery, &file(node.address(), integrity));
    let (mut current, mut ended) = (site.start(), Vec::new());
    let (outcomes, stop) = (Arc::new(Outcomes::default()), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (address, outcomes, stop) = (site.nbd.clone(), outcomes.clone(), stop.clone());
            thread::spawn(move || press(&address, &outcomes, &stop))
        })
        .collect();
    let served = || outcomes.served.lock().expect("the list").len();
    until("writes are served", || served() > 0);
    for _ in 0..upgrades {
        let next = site.start();
        current.signal("-TERM");
        until("the old one ends", || current.child.try_wait().expect("a process").is_some());
        // Its folder is shared, and removed with it.
        ended.push(std::mem::replace(&mut current, next));
        let before = served();
        until("the new one serves", || served() > before);
    }
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    assert!(outcomes.next.load(Relaxed) < SIZE / BLOCK as u64, "each block is written once");
    let (times, served) = (written(&node), outcomes.served.lock().expect("the list").clone());
    let unanswered = outcomes.unanswered.lock().expect("the list").clone();
    let gap = outcomes.gap.lock().expect("the gap").1;
    println!(
        "{upgrades} upgrades, {} writes served, {} cut off, longest gap {gap:?}",
        served.len(),
        unanswered.len()
    );
    let twice: Vec<_> = times.iter().filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "run twice: {twice:?}");
    let not_run = served.iter().filter(|block| !times.contains_key(block)).count();
    assert_eq!(not_run, 0, "acknowledged, and never run");
    let lost: Vec<_> = unanswered.iter().filter(|block| times.contains_key(block)).collect();
    assert!(lost.is_empty(), "run, and never answered: {lost:?}");
    assert!(gap < LONGEST_GAP, "{gap:?}");
    let log = current.log();
    assert!(!log.contains("NBD front not started"), "{log}");
    assert_eq!(log.matches("NBD front waits for the process before this one").count(), upgrades);
}

/// Guards against a new version that ends at once, since the old one holds the NBD front's address, and against writes that are
/// lost or run twice between the two.
#[test]
fn no_write_over_nbd_is_lost_or_run_twice_by_upgrades_in_series() {
    upgrade("upgrades-plain", "", UPGRADES);
}

/// Guards against two processes that keep the sums of one export at once.
#[test]
fn sums_are_kept_by_one_process_at_a_time() {
    upgrade("upgrades-sums", "integrity='crc32c'", 3);
}
