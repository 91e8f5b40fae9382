//! Several processes of the program, and links between them that drop, delay, reorder, double and cut, each
//! direction by itself. What each process says of its views goes to the same checker as in simulated runs.

use crate::broker::SETTINGS;
use crate::simulated::{name, Broken, History, Link};
use claywinch::state::membership::{Member, View};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a link's thread waits for a datagram before it looks at those that are due.
const LOOK: Duration = Duration::from_millis(2);
/// Datagrams on their way to one broker; more are lost.
const MOST_ON_THE_WAY: usize = 10_000;
/// How long an answer of the operators' address is waited for.
const PATIENCE: Duration = Duration::from_secs(2);

/// Ports begin here, a thousand for each purpose: below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// A loopback address of its own for each rig, so that no two of them meet.
fn own_ip() -> Ipv4Addr {
    static RIGS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, 1 + RIGS.fetch_add(1, Ordering::Relaxed) % 250)
}

/// Links by direction; what is not named is as the rest.
#[derive(Debug, Default)]
struct Faults {
    links: BTreeMap<(usize, usize), Link>,
    rest: Link,
}

/// A broker's process, or where one was.
struct Place {
    folder: PathBuf,
    listen: String,
    advertise: String,
    admin: String,
    front: String,
    child: Option<Child>,
    stopped: bool,
}

/// Times that each broker is told, in milliseconds.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// See the file of a cluster.
    pub probe_ms: u32,
    /// See the file of a cluster.
    pub silence_ms: u32,
    /// See the file of a cluster.
    pub replace_s: u32,
    /// See the file of a cluster.
    pub lease_ms: u32,
    /// Whether brokers go on without a lease.
    pub unleased: bool,
}

impl Default for Times {
    fn default() -> Self {
        Times { probe_ms: 500, silence_ms: 4_000, replace_s: 30, lease_ms: 3_000, unleased: false }
    }
}

/// Processes and the links between them. All end with it.
pub struct Rig {
    program: PathBuf,
    folder: PathBuf,
    places: Vec<Place>,
    faults: Arc<Mutex<Faults>>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    begun: Instant,
    /// What was done, and when.
    pub done: Vec<(Duration, String)>,
}

/// What one broker says of its cluster.
#[derive(Debug, Clone, Deserialize, PartialEq, Eq)]
pub struct Said {
    /// The number of its view.
    pub view: u64,
    /// Its phase.
    pub phase: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it leads.
    pub leads: bool,
    /// Members, and some that have left.
    pub members: Vec<SaidMember>,
}

/// One of them.
#[derive(Debug, Clone, Deserialize, PartialEq, Eq)]
pub struct SaidMember {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// `alive`, `suspect` or `left`.
    pub state: String,
}

impl Said {
    /// The names of those that belong.
    pub fn names(&self) -> BTreeSet<String> {
        self.members.iter().filter(|m| m.state != "left").map(|m| m.name.clone()).collect()
    }
}

impl Rig {
    /// So many brokers below `folder`, the first of which are the seeds. None runs yet.
    pub fn new(program: &Path, folder: &Path, brokers: usize, seeds: usize, times: Times) -> io::Result<Rig> {
        Rig::before_nodes(program, folder, brokers, seeds, times, None)
    }

    /// The same, with nodes that this discovery lists.
    pub fn before_nodes(
        program: &Path,
        folder: &Path,
        brokers: usize,
        seeds: usize,
        times: Times,
        discovery: Option<String>,
    ) -> io::Result<Rig> {
        let faults = Arc::new(Mutex::new(Faults::default()));
        let over = Arc::new(AtomicBool::new(false));
        let (mut places, mut sockets) = (Vec::new(), Vec::new());
        let ip = own_ip();
        let port = |kind: u16, i: usize| format!("{ip}:{}", FIRST_PORT + 1_000 * kind + i as u16);
        for i in 0..brokers {
            let socket = UdpSocket::bind(port(0, i))?;
            socket.set_read_timeout(Some(LOOK))?;
            places.push(Place {
                folder: folder.join(name(i)),
                listen: port(1, i),
                advertise: socket.local_addr()?.to_string(),
                admin: port(2, i),
                front: port(3, i),
                child: None,
                stopped: false,
            });
            sockets.push(socket);
        }
        let known: BTreeMap<SocketAddr, usize> =
            places.iter().enumerate().filter_map(|(i, p)| Some((p.listen.parse().ok()?, i))).collect();
        let seeds: Vec<String> = places[..seeds].iter().map(|p| format!("{:?}", p.advertise)).collect();
        for (i, place) in places.iter().enumerate() {
            std::fs::create_dir_all(&place.folder)?;
            let Times { probe_ms, silence_ms, replace_s, lease_ms, unleased } = times;
            let without = if unleased { "serve" } else { "stop" };
            let text = format!(
                "name = {:?}\nlisten = {:?}\nadvertise = {:?}\nseeds = [{}]\nprobe_ms = {probe_ms}\n\
                 silence_ms = {silence_ms}\nreplace_s = {replace_s}\nlease_ms = {lease_ms}\n\
                 without_lease = {without:?}\n",
                name(i),
                place.listen,
                place.advertise,
                seeds.join(", ")
            );
            std::fs::write(place.folder.join("cluster.toml"), text)?;
            let config = format!(
                r#"{{"name":"{}","seed":"07","listen":"{}","discovery":"{}","admin":"{}",
                "limits":{{"memory_mb":192,"sockets":256}},
                "known":{{"revision":0,"complete":true,"members":[]}},"settings":{SETTINGS}}}"#,
                name(i),
                place.front,
                discovery.clone().unwrap_or_else(|| port(4, i)),
                place.admin
            );
            std::fs::write(place.folder.join("config.json"), config)?;
        }
        let mut threads = Vec::new();
        for (to, socket) in sockets.into_iter().enumerate() {
            let wire = Wire {
                socket,
                to,
                target: places[to].listen.parse().map_err(io::Error::other)?,
                known: known.clone(),
                faults: faults.clone(),
                over: over.clone(),
            };
            threads.push(std::thread::spawn(move || wire.carry()));
        }
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        Ok(Rig { program, folder, places, faults, over, threads, begun: Instant::now(), done: Vec::new() })
    }

    /// Where a broker's clients connect.
    pub fn front(&self, broker: usize) -> &str {
        &self.places[broker].front
    }

    /// Notes what is done, for the timeline.
    pub fn note(&mut self, what: String) {
        self.done.push((self.begun.elapsed(), what));
    }

    /// How many brokers there may be.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether a broker's process runs, stopped or not.
    pub fn runs(&self, broker: usize) -> bool {
        self.places[broker].child.is_some()
    }

    /// Starts a broker with what it kept.
    pub fn start(&mut self, broker: usize) -> io::Result<()> {
        self.run(broker, &[])
    }

    /// Starts a voter that serves no clients, with what it kept. It has no operators' address.
    pub fn start_voter(&mut self, broker: usize) -> io::Result<()> {
        let file = self.places[broker].folder.join("cluster.toml");
        self.run(broker, &["voter".as_ref(), file.as_os_str()])
    }

    fn run(&mut self, broker: usize, arguments: &[&std::ffi::OsStr]) -> io::Result<()> {
        self.note(format!("start {}", name(broker)));
        let place = &mut self.places[broker];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(place.folder.join("log"))?;
        let child = Command::new(&self.program)
            .args(arguments)
            .env("RELAY_CONFIG", place.folder.join("config.json"))
            .env("CLAYWINCH_CLUSTER", place.folder.join("cluster.toml"))
            .env("TMPDIR", &place.folder)
            .env_remove("CLAYWINCH_NBD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()?;
        place.child = Some(child);
        place.stopped = false;
        Ok(())
    }

    fn signal(&self, broker: usize, signal: &str) -> io::Result<()> {
        if let Some(child) = &self.places[broker].child {
            Command::new("kill").args([signal, &child.id().to_string()]).status()?;
        }
        Ok(())
    }

    /// Ends a broker without a word.
    pub fn kill(&mut self, broker: usize) -> io::Result<()> {
        self.note(format!("kill {}", name(broker)));
        if let Some(mut child) = self.places[broker].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Tells a broker to stop, and waits for its end.
    pub fn stop(&mut self, broker: usize) -> io::Result<()> {
        self.note(format!("stop {}", name(broker)));
        self.signal(broker, "-TERM")?;
        if let Some(mut child) = self.places[broker].child.take() {
            child.wait()?;
        }
        Ok(())
    }

    /// Stops a broker's process where it stands, or lets it go on.
    pub fn pause(&mut self, broker: usize, on: bool) -> io::Result<()> {
        self.note(format!("{} {}", if on { "pause" } else { "wake" }, name(broker)));
        self.places[broker].stopped = on;
        self.signal(broker, if on { "-STOP" } else { "-CONT" })
    }

    /// Whether a broker's process stands still.
    pub fn paused(&self, broker: usize) -> bool {
        self.places[broker].stopped
    }

    /// Takes away what a broker kept.
    pub fn forget(&mut self, broker: usize) {
        self.note(format!("{} loses its disk", name(broker)));
        let _ =
            std::fs::remove_file(self.places[broker].folder.join(format!("claywinch-{}.redb", name(broker))));
    }

    /// Sets what one direction does.
    pub fn link(&mut self, from: usize, to: usize, link: Link) {
        self.note(format!("{} -> {}: {link:?}", name(from), name(to)));
        if let Ok(mut faults) = self.faults.lock() {
            faults.links.insert((from, to), link);
        }
    }

    /// Sets what all others do.
    pub fn rest(&mut self, link: Link) {
        self.note(format!("all others: {link:?}"));
        if let Ok(mut faults) = self.faults.lock() {
            faults.rest = link;
        }
    }

    /// Mends all links.
    pub fn mend(&mut self) {
        self.note("all links mended".to_string());
        if let Ok(mut faults) = self.faults.lock() {
            *faults = Faults::default();
        }
    }

    /// Makes a call at a broker's operators' address.
    pub fn call(&self, broker: usize, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.places[broker].admin).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer.trim_end().to_string())
    }

    /// What a broker says of its cluster, if it can be asked.
    pub fn said(&self, broker: usize) -> Option<Said> {
        if !self.runs(broker) || self.paused(broker) {
            return None;
        }
        serde_json::from_str(self.call(broker, "MEMBERS")?.strip_prefix("200 ")?).ok()
    }

    /// Whether all that run are members of one view that holds nobody else.
    pub fn agree(&self) -> bool {
        let running: Vec<usize> = (0..self.len()).filter(|b| self.runs(*b)).collect();
        let names: BTreeSet<String> = running.iter().map(|b| name(*b)).collect();
        let said: Vec<Option<Said>> = running.iter().map(|b| self.said(*b)).collect();
        let first = said.first().and_then(|s| s.as_ref()).map(|s| s.view);
        said.iter().all(|s| {
            s.as_ref().is_some_and(|s| s.phase == "member" && Some(s.view) == first && s.names() == names)
        })
    }

    /// Waits until something holds; false if it does not in that time.
    pub fn within(&self, time: Duration, holds: impl Fn(&Rig) -> bool) -> bool {
        let end = Instant::now() + time;
        loop {
            if holds(self) {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// A broker's log, of all its lives.
    pub fn log(&self, broker: usize) -> String {
        std::fs::read_to_string(self.places[broker].folder.join("log")).unwrap_or_default()
    }

    /// All that brokers have said of their views, through the checker.
    pub fn history(&self) -> History {
        let logs: Vec<String> = (0..self.len()).map(|b| self.log(b)).collect();
        history(&logs)
    }

    /// What was done and what each broker saw, in order of time, for people.
    pub fn timeline(&self) -> String {
        let mut lines: Vec<String> =
            self.done.iter().map(|(at, what)| format!("{:8.2} s  {what}", at.as_secs_f64())).collect();
        for broker in 0..self.len() {
            lines.extend(
                self.log(broker)
                    .lines()
                    .filter(|l| ["view", "cluster", "ERROR"].iter().any(|w| l.contains(w)))
                    .map(|l| format!("{}  {l}", name(broker))),
            );
        }
        lines.join("\n")
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for broker in 0..self.len() {
            let _ = self.kill(broker);
        }
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What logs tell of views, one log a broker, through the checker.
pub fn history(logs: &[String]) -> History {
    let mut history = History::default();
    let mut all = Vec::new();
    for (broker, log) in logs.iter().enumerate() {
        // Each life begins anew, with what was kept.
        let mut last = View::default();
        for line in log.lines() {
            if line.contains("cluster on") {
                last = View::default();
            }
            if !(line.contains(" view=") && line.contains(" after=")) {
                continue;
            }
            let Some(view) = view_of(&last, line) else {
                let what = format!("{} tells of a view that does not follow its last: {line}", name(broker));
                history.broken.push(Broken(0, what));
                continue;
            };
            if view.number <= last.number {
                let what = format!("{} goes back from view {} to {}", name(broker), last.number, view.number);
                history.broken.push(Broken(0, what));
            }
            last = view.clone();
            all.push((line.split_whitespace().next().unwrap_or("").to_string(), broker, view));
        }
    }
    all.sort_by(|a, b| (a.2.number, &a.0).cmp(&(b.2.number, &b.0)));
    for (_, broker, view) in &all {
        history.adopted(0, &name(*broker), 0, view);
    }
    history
}

/// The view of a log line, if it tells of one: what the line changes of the last, or all of it, as programs from before there
/// were deltas do.
pub(crate) fn view_of(last: &View, line: &str) -> Option<View> {
    let field = |key: &str| {
        let rest = line.split_once(&format!(" {key}="))?.1;
        Some(rest.split_whitespace().next()?.trim_matches('"').to_string())
    };
    let list = |key: &str| -> Option<Vec<String>> {
        Some(field(key)?.split(',').filter(|t| !t.is_empty()).map(str::to_string).collect())
    };
    let Some(after) = field("after") else {
        let member = |text: &String| {
            let (name, incarnation) = text.split_once('/')?;
            let (name, incarnation) = (name.to_string(), incarnation.parse().ok()?);
            Some(Member { name, address: String::new(), incarnation, life: 0 })
        };
        return Some(View {
            number: field("view")?.parse().ok()?,
            origin: field("origin")?.parse().ok()?,
            members: list("members")?.iter().map(member).collect::<Option<_>>()?,
            drains: list("drains")?.into_iter().collect(),
            ..View::default()
        });
    };
    let after: u64 = after.parse().ok()?;
    let mut view = if after == 0 { View::default() } else { last.clone() };
    // One that does not follow shows as a view that another has otherwise.
    view.number = field("view")?.parse().ok()?;
    view.origin = field("origin")?.parse().ok()?;
    let (gone, joined) = (list("gone")?, list("joined")?);
    view.members.retain(|m| !gone.contains(&m.name));
    for text in joined {
        let (name, incarnation) = text.split_once('/')?;
        let incarnation = incarnation.parse().ok()?;
        view.members.retain(|m| m.name != name);
        view.members.push(Member { name: name.to_string(), address: String::new(), incarnation, life: 0 });
    }
    view.members.sort_by(|a, b| a.name.cmp(&b.name));
    for text in list("drains")? {
        match text.strip_prefix('+') {
            Some(node) => drop(view.drains.insert(node.to_string())),
            None => drop(view.drains.remove(text.trim_start_matches('-'))),
        }
    }
    let size: usize = field("members")?.parse().ok()?;
    (size == view.members.len()).then_some(view)
}

/// All that goes to one broker.
struct Wire {
    socket: UdpSocket,
    to: usize,
    target: SocketAddr,
    known: BTreeMap<SocketAddr, usize>,
    faults: Arc<Mutex<Faults>>,
    over: Arc<AtomicBool>,
}

impl Wire {
    fn carry(self) {
        let mut chance = StdRng::seed_from_u64(self.to as u64);
        let mut way: BinaryHeap<Reverse<(Instant, u64, Vec<u8>)>> = BinaryHeap::new();
        let (mut buffer, mut number) = (vec![0; 65_536], 0);
        while !self.over.load(Ordering::Relaxed) {
            while way.peek().is_some_and(|Reverse((at, ..))| *at <= Instant::now()) {
                if let Some(Reverse((_, _, bytes))) = way.pop() {
                    let _ = self.socket.send_to(&bytes, self.target);
                }
            }
            let Ok((n, from)) = self.socket.recv_from(&mut buffer) else { continue };
            let Some(from) = self.known.get(&from) else { continue };
            let link = match self.faults.lock() {
                Ok(faults) => faults.links.get(&(*from, self.to)).copied().unwrap_or(faults.rest),
                Err(_) => return,
            };
            if chance.random::<f64>() < link.loss || way.len() >= MOST_ON_THE_WAY {
                continue;
            }
            for _ in 0..1 + usize::from(chance.random::<f64>() < link.twice) {
                let delay = chance.random_range(link.delay.0..=link.delay.1).max(0) as u64;
                number += 1;
                way.push(Reverse((
                    Instant::now() + Duration::from_micros(delay),
                    number,
                    buffer[..n].to_vec(),
                )));
            }
        }
    }
}

/// What is played by `claywinch-lab cluster FILE`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Brokers.
    pub brokers: usize,
    /// Seeds of the cluster: 1, 3 or 5 of them vote.
    pub seeds: usize,
    /// Seconds of faults in each run.
    pub seconds: u64,
    /// The first seed and the number of runs.
    pub first: u64,
    /// See `first`.
    pub runs: u64,
    /// How many are played beside one another.
    pub parallel: usize,
    /// What brokers are told.
    #[serde(default)]
    pub times: Times,
    /// Pauses of at most so many milliseconds.
    pub pause_ms: u64,
    /// Loss on links that are lossy.
    pub loss: f64,
    /// Whether brokers are killed, cut off and paused for long; without it, nobody may be thrown out.
    pub harsh: bool,
}

/// What came of a run.
#[derive(Debug, Clone, Default)]
pub struct Came {
    /// What broke.
    pub broken: Vec<String>,
    /// Views that were seen.
    pub views: u64,
    /// Members left out of a view.
    pub removed: Vec<String>,
    /// Faults put between.
    pub faults: usize,
}

impl Schedule {
    /// Plays all seeds, so many beside one another; `told` hears of each, with its timeline.
    pub fn play_all(
        &self,
        program: &Path,
        folder: &Path,
        told: impl Fn(u64, io::Result<(Came, String)>) + Sync,
    ) {
        let next = AtomicU64::new(self.first);
        std::thread::scope(|scope| {
            for _ in 0..self.parallel.max(1) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= self.first + self.runs {
                        return;
                    }
                    told(seed, self.play(program, &folder.join(seed.to_string()), seed));
                });
            }
        });
    }

    /// Plays one seed.
    pub fn play(&self, program: &Path, folder: &Path, seed: u64) -> io::Result<(Came, String)> {
        let mut chance = StdRng::seed_from_u64(seed);
        let mut rig = Rig::new(program, folder, self.brokers, self.seeds, self.times)?;
        (0..self.brokers).try_for_each(|b| rig.start(b))?;
        let mut came = Came::default();
        if !rig.within(Duration::from_secs(20), Rig::agree) {
            came.broken.push("did not come together".to_string());
        }
        let settled = rig.history().removed.len();
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let mut wakes: Vec<(Instant, usize)> = Vec::new();
        while Instant::now() < end {
            let (a, b) = (chance.random_range(0..self.brokers), chance.random_range(0..self.brokers));
            came.faults += 1;
            match chance.random_range(0..if self.harsh { 9 } else { 4 }) {
                0 if rig.runs(a) && !rig.paused(a) => {
                    rig.pause(a, true)?;
                    let time = chance.random_range(self.pause_ms / 4..=self.pause_ms);
                    wakes.push((Instant::now() + Duration::from_millis(time), a));
                }
                1 => rig.link(a, b, Link::CUT),
                2 => {
                    let most = chance.random_range(1_000..300_000);
                    rig.link(a, b, Link { loss: self.loss, delay: (100, most), twice: 0.1 });
                }
                4 | 5 => rig.kill(a)?,
                6 => (0..self.brokers).for_each(|o| rig.link(a, o, Link::CUT)),
                7 => (0..self.brokers).for_each(|o| rig.link(o, a, Link::CUT)),
                _ => rig.mend(),
            }
            // Without harshness no more than one cut at a time: two could be most of a small cluster's.
            if !self.harsh && chance.random::<bool>() {
                rig.mend();
            }
            let next = Instant::now() + Duration::from_millis(chance.random_range(300..2_500));
            while Instant::now() < next {
                std::thread::sleep(Duration::from_millis(20));
                let due: Vec<usize> = wakes.iter().filter(|w| w.0 <= Instant::now()).map(|w| w.1).collect();
                wakes.retain(|w| w.0 > Instant::now());
                due.into_iter().try_for_each(|b| rig.pause(b, false))?;
            }
            for b in 0..self.brokers {
                if !rig.runs(b) && chance.random::<bool>() {
                    rig.start(b)?;
                }
            }
        }
        rig.mend();
        for b in 0..self.brokers {
            if rig.paused(b) {
                rig.pause(b, false)?;
            }
            if !rig.runs(b) {
                rig.start(b)?;
            }
        }
        if !rig.within(Duration::from_secs(45), Rig::agree) {
            came.broken.push("do not agree again".to_string());
        }
        let history = rig.history();
        came.broken.extend(history.broken.iter().map(|b| b.1.clone()));
        came.views = history.last().map_or(0, |v| v.number);
        came.removed = history.removed.iter().skip(settled).map(|r| r.1.clone()).collect();
        if !self.harsh && !came.removed.is_empty() {
            came.broken.push(format!("healthy brokers thrown out: {:?}", came.removed));
        }
        Ok((came, rig.timeline()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A view that came whole.
    fn line(view: u64, members: &str) -> String {
        let count = members.split(',').count();
        format!("2026-01-01T00:00:0{view}Z  INFO x: view view={view} after=0 origin=7 phase=Member members={count} joined=\"{members}\" gone=\"\" voters=\"\" drains=\"\"\n")
    }

    /// One that followed the last.
    fn next(view: u64, joined: &str, gone: &str, members: usize) -> String {
        let after = view - 1;
        format!("2026-01-01T00:00:0{view}Z  INFO x: view view={view} after={after} origin=7 phase=Member members={members} joined=\"{joined}\" gone=\"{gone}\" voters=\"\" drains=\"\"\n")
    }

    /// The checker proves itself on logs with planted faults.
    #[test]
    fn views_that_split_go_back_or_bring_an_old_incarnation_are_caught() {
        let good = [line(1, "a/1"), line(2, "a/1,b/2")].concat();
        assert_eq!(history(&[good.clone(), good.clone()]).broken, []);
        let life = format!("{good}x: cluster on\n{good}");
        assert_eq!(history(&[life]).broken, []);
        for bad in [
            [line(1, "a/1"), line(2, "a/1,c/2")].concat(),
            [line(2, "a/1,b/2"), line(1, "a/1")].concat(),
            [line(2, "a/1,b/2"), line(2, "a/1,b/2")].concat(),
            [line(2, "a/1,b/2"), line(3, "a/1,b/1")].concat(),
            line(3, "a/1,b/2,d/9"),
        ] {
            assert_eq!(history(&[good.clone(), bad.clone()]).broken.len(), 1, "{bad}");
        }
        // By deltas, too: one that came to the same otherwise, and one that does not follow what its broker had.
        let steps = [line(1, "a/1"), next(2, "b/2", "", 2)].concat();
        assert_eq!(history(&[good.clone(), steps.clone()]).broken, []);
        let bad = [line(1, "a/1"), next(2, "c/2", "", 2)].concat();
        assert_eq!(history(&[good.clone(), bad]).broken.len(), 1);
        assert_eq!(history(&[[steps.clone(), next(3, "", "d", 1)].concat()]).broken.len(), 1);
        assert_eq!(history(&[[steps, next(3, "", "b", 1)].concat()]).removed.len(), 1);
        assert_eq!(history(&[good, line(3, "a/1")]).removed.len(), 1);
    }
}
