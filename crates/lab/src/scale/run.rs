//! Plays a scale file: starts hosts of hollow brokers and real ones, does the steps, and measures.

mod measure;
mod steps;

use super::checks::{Change, Evidence};
use super::file::{CutOff, File, Over};
use super::host::{Line, Reader, Said, What, Whole, Word};
use super::relay::{Counts, Cut, Relay, Sum};
use super::results::{Came, KindRow, Row};
use super::usage::{self, Machine, Usage, Whose};
use super::{host, io, name, number, ScaleError, Watch};
use crate::broker::SETTINGS;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Lines of hosts that wait to be read; more of them hold up the hosts that write them.
const MOST_LINES: usize = 65_536;
/// Between two looks at what brokers say, at least.
const POLL: Duration = Duration::from_millis(250);
/// The same for the voters alone.
const POLL_VOTERS: Duration = Duration::from_millis(50);
/// How long an answer of a host, or of a real broker, is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long one of the things that a step waits for may take.
const STEP: Duration = Duration::from_secs(90);
/// Between two looks whether changes are in force.
const IN_FORCE: Duration = Duration::from_millis(20);
/// A node that went out may come back after so long: all have seen by then that it is out.
const STAYS_OUT: u64 = 2_000 * MS;
/// How long hosts may take to end.
const END: Duration = Duration::from_secs(5);
/// How long a host's own ticks are measured for before it has brokers.
const TARE: Duration = Duration::from_secs(2);
/// Nodes that are out at once, at most, before changes put them back.
const MOST_OUT: usize = 16;
/// Threads of the relay for a thousand brokers, beside one.
const RELAY_THREADS: usize = 2;
/// A turn of the driver: a halt is noted by then.
const TURN_MS: u64 = 50;
/// The phase of this name is not measured: it ends the one before.
const END_MARK: &str = "end";
/// Nanoseconds of a millisecond.
const MS: u64 = 1_000_000;

/// What runs hollow brokers.
#[derive(Debug, Clone)]
pub enum Hosts {
    /// Processes of this program, `claywinch-lab`.
    Processes(PathBuf),
    /// Threads of this process.
    Threads,
}

/// What a run is started with.
#[derive(Debug, Clone)]
pub struct Means {
    /// The program whose brokers are the real ones.
    pub broker: PathBuf,
    /// What runs the hollow ones.
    pub hosts: Hosts,
    /// A folder for files of the run; it is made, and goes with the run.
    pub folder: PathBuf,
    /// Ends the run where it stands once it is set; what it started ends with it.
    pub stop: Arc<AtomicBool>,
}

/// Plays a file once; `told` hears what goes on.
pub fn play(file: &File, means: &Means, told: &mut dyn FnMut(&str)) -> Result<Came, ScaleError> {
    file.bears(&Machine::here())?;
    let mut run = Run::new(file, means, told)?;
    run.together()?;
    run.steps()?;
    run.finish()
}

struct HostAt {
    words: Option<Box<dyn Write + Send>>,
    child: Option<Child>,
    thread: Option<std::thread::JoinHandle<()>>,
    brokers: Vec<usize>,
    voter: bool,
    whose: Option<Whose>,
    usage: Usage,
    /// Nanoseconds a second that it takes with no brokers.
    tare: f64,
    polled: u64,
    late_us: u64,
}

struct Real {
    child: Option<Child>,
    folder: PathBuf,
    admin: String,
    usage: Usage,
}

struct Broker {
    host: Option<usize>,
    runs: bool,
    cut: bool,
    said: Said,
    polled: u64,
}

struct Phase {
    name: String,
    at: u64,
    counts: Vec<Counts>,
    kinds: BTreeMap<String, Sum>,
    hosts: Vec<u64>,
    reals: Vec<u64>,
    controls: Vec<u64>,
    drops: BTreeMap<u64, u64>,
    all_drops: u64,
    refused: u64,
    changes: usize,
}

struct Run<'a> {
    file: &'a File,
    means: &'a Means,
    told: &'a mut dyn FnMut(&str),
    watch: Watch,
    relay: Relay,
    hosts: Vec<HostAt>,
    reals: Vec<Real>,
    controls: Vec<Real>,
    brokers: Vec<Broker>,
    lines: Receiver<(usize, Line)>,
    lines_in: Option<SyncSender<(usize, Line)>>,
    evidence: Evidence,
    touched: BTreeMap<String, Vec<(u64, u64)>>,
    /// By digest, the views that were told; those of the last look stay.
    views: BTreeMap<u64, Whole>,
    reader: Reader,
    polls: u64,
    took: Duration,
    looked: Instant,
    nodes: usize,
    turn: usize,
    phase: Phase,
    agreed: Vec<(String, f64)>,
    lost: Vec<(String, f64)>,
    phases: Vec<(String, u64, u64, std::ops::Range<usize>)>,
    came: Came,
}

impl<'a> Run<'a> {
    fn new(file: &'a File, means: &'a Means, told: &'a mut dyn FnMut(&str)) -> Result<Run<'a>, ScaleError> {
        let relay = Relay::start(file, 1 + RELAY_THREADS * file.size() / 1_000)?;
        std::fs::create_dir_all(&means.folder).map_err(io(means.folder.display().to_string()))?;
        let (lines_in, lines) = sync_channel(MOST_LINES);
        let broker = |_| Broker { host: None, runs: false, cut: false, said: Said::default(), polled: 0 };
        let phase = Phase {
            name: "start".to_string(),
            at: 0,
            counts: Vec::new(),
            kinds: BTreeMap::new(),
            hosts: Vec::new(),
            reals: Vec::new(),
            controls: Vec::new(),
            drops: BTreeMap::new(),
            all_drops: 0,
            refused: 0,
            changes: 0,
        };
        let mut run = Run {
            file,
            means,
            told,
            watch: Watch::default(),
            relay,
            hosts: Vec::new(),
            reals: Vec::new(),
            controls: Vec::new(),
            brokers: (0..file.size()).map(broker).collect(),
            lines,
            lines_in: Some(lines_in),
            evidence: Evidence::default(),
            touched: BTreeMap::new(),
            views: BTreeMap::new(),
            reader: Reader::default(),
            polls: 0,
            took: Duration::ZERO,
            looked: Instant::now(),
            nodes: 0,
            turn: 0,
            phase,
            agreed: Vec::new(),
            lost: Vec::new(),
            phases: Vec::new(),
            came: Came { hollow: file.hollow, real: file.real, ..Came::default() },
        };
        run.hosts()?;
        run.files()?;
        Ok(run)
    }

    /// Starts hosts: one for each voter, and the others, of which the first has half as many brokers.
    fn hosts(&mut self) -> Result<(), ScaleError> {
        let file = self.file;
        let mut shares: Vec<(Vec<usize>, bool)> = (0..file.voters).map(|v| (vec![v], true)).collect();
        let first = file.voters + file.real;
        let weights: Vec<usize> =
            (0..file.hosts).map(|h| if h == 0 && file.hosts > 1 { 1 } else { 2 }).collect();
        let (total, mut at, mut weight) = (weights.iter().sum::<usize>(), first, 0);
        for w in weights {
            weight += w;
            let end = first + (file.size() - first) * weight / total;
            shares.push(((at..end).collect(), false));
            at = end;
        }
        for (brokers, voter) in shares {
            let number = self.hosts.len();
            brokers.iter().for_each(|b| self.brokers[*b].host = Some(number));
            let host = self.host(number, brokers, voter)?;
            self.hosts.push(host);
        }
        // From here on the lines end with the hosts.
        self.lines_in = None;
        let ready = |run: &Run| run.hosts.iter().all(|h| h.whose.is_some());
        if !self.until(PATIENCE, ready)? {
            return Err(ScaleError::Host("one does not stand".to_string()));
        }
        let before = self.spent_by_hosts();
        self.pass(TARE)?;
        let after = self.spent_by_hosts();
        for (host, (before, after)) in self.hosts.iter_mut().zip(before.into_iter().zip(after)) {
            host.tare = (after - before) as f64 / TARE.as_secs_f64();
        }
        Ok(())
    }

    fn host(&self, number: usize, brokers: Vec<usize>, voter: bool) -> Result<HostAt, ScaleError> {
        let log = self.means.folder.join(format!("host-{number}.log"));
        let (words, from, child, thread): (Box<dyn Write + Send>, Box<dyn Read + Send>, _, _) =
            match &self.means.hosts {
                Hosts::Processes(program) => {
                    let log = std::fs::File::create(&log).map_err(io(log.display().to_string()))?;
                    let mut child = Command::new(program)
                        .arg("hollow")
                        .stdin(Stdio::piped())
                        .stdout(Stdio::piped())
                        .stderr(Stdio::from(log))
                        .spawn()
                        .map_err(io(program.display().to_string()))?;
                    let pipes = child.stdin.take().zip(child.stdout.take());
                    let (words, from) =
                        pipes.ok_or_else(|| ScaleError::Host("it has no pipes".to_string()))?;
                    (Box::new(words), Box::new(from), Some(child), None)
                }
                Hosts::Threads => {
                    let (host_in, words) = std::io::pipe().map_err(io("a pipe"))?;
                    let (from, host_out) = std::io::pipe().map_err(io("a pipe"))?;
                    let host = std::thread::Builder::new().name(format!("hollow-{number}"));
                    let run = move || {
                        if let Err(error) = host::run(host_in, host_out) {
                            eprintln!("{error}");
                        }
                    };
                    let thread = host.spawn(run).map_err(io("a thread"))?;
                    (Box::new(words), Box::new(from), None, Some(thread))
                }
            };
        let lines = self.lines_in.clone();
        let reader = std::thread::Builder::new().name(format!("lab-host-{number}"));
        let read = move || {
            let Some(lines) = lines else { return };
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                // What is no line of a host cannot be told apart from a fault of it: it is passed over.
                if let Ok(line) = serde_json::from_str(&line) {
                    if lines.send((number, line)).is_err() {
                        return;
                    }
                }
            }
        };
        // It ends with the host.
        reader.spawn(read).map_err(io("a thread"))?;
        let (usage, words) = (Usage::default(), Some(words));
        let whose = None;
        Ok(HostAt { words, child, thread, brokers, voter, whose, usage, tare: 0.0, polled: 0, late_us: 0 })
    }

    /// Writes the files of all brokers, and those of the controls.
    fn files(&mut self) -> Result<(), ScaleError> {
        let file = self.file;
        let seeds: Vec<String> =
            (0..file.voters).map(|v| format!("\"{}\"", self.relay.advertise(v))).collect();
        let times = &file.times;
        for broker in 0..file.size() {
            let folder = self.means.folder.join(name(broker));
            std::fs::create_dir_all(&folder).map_err(io(folder.display().to_string()))?;
            let text = format!(
                "name = {:?}\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nprobe_ms = {}\nsilence_ms = {}\n\
                 settle_ms = {}\nreplace_s = {}\nlease_ms = {}\n",
                name(broker),
                self.relay.listen(broker),
                self.relay.advertise(broker),
                seeds.join(", "),
                times.probe_ms,
                times.silence_ms,
                times.settle_ms,
                times.replace_s,
                times.lease_ms,
            );
            let path = folder.join("cluster.toml");
            std::fs::write(&path, text).map_err(io(path.display().to_string()))?;
        }
        for i in 0..file.real {
            let broker = file.voters + i;
            let folder = self.means.folder.join(name(broker));
            let real = self.real(broker, &name(broker), folder)?;
            self.reals.push(real);
        }
        for i in 0..file.controls {
            let folder = self.means.folder.join(format!("control-{i}"));
            std::fs::create_dir_all(&folder).map_err(io(folder.display().to_string()))?;
            let control = self.real(file.size() + i, &format!("control-{i}"), folder)?;
            self.controls.push(control);
        }
        Ok(())
    }

    fn real(&self, place: usize, name: &str, folder: PathBuf) -> Result<Real, ScaleError> {
        // Those that listen by TCP have the ports of those that listen by UDP.
        let (front, admin) = (self.relay.listen(place), self.relay.advertise(place).to_string());
        let mut discovery = front;
        discovery.set_port(19_999);
        let config = format!(
            r#"{{"name":"{name}","seed":"07","listen":"{front}","discovery":"{discovery}","admin":"{admin}",
            "limits":{{"memory_mb":192,"sockets":256}},
            "known":{{"revision":0,"complete":true,"members":[]}},"settings":{SETTINGS}}}"#
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config).map_err(io(path.display().to_string()))?;
        Ok(Real { child: None, folder, admin, usage: Usage::default() })
    }

    fn spawn(&self, real: &Real, cluster: bool) -> Result<Child, ScaleError> {
        let path = real.folder.join("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&path);
        let mut command = Command::new(&self.means.broker);
        command
            .env("RELAY_CONFIG", real.folder.join("config.json"))
            .env("TMPDIR", &real.folder)
            .env_remove("CLAYWINCH_NBD")
            .env_remove("CLAYWINCH_CLUSTER")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log.map_err(io(path.display().to_string()))?));
        if cluster {
            command.env("CLAYWINCH_CLUSTER", real.folder.join("cluster.toml"));
        }
        command.spawn().map_err(io(self.means.broker.display().to_string()))
    }

    fn say(&mut self, host: usize, word: &Word) -> Result<(), ScaleError> {
        let text = serde_json::to_string(word).map_err(|e| ScaleError::Host(e.to_string()))? + "\n";
        let words = self.hosts[host].words.as_mut();
        let written = words.map_or(Ok(()), |w| w.write_all(text.as_bytes()).and_then(|()| w.flush()));
        written.map_err(io(format!("host {host}")))
    }

    /// Takes lines of hosts for so long.
    fn pass(&mut self, time: Duration) -> Result<(), ScaleError> {
        self.until(time, |_| false).map(|_| ())
    }

    /// Takes lines of hosts until something holds; false where it does not in that time.
    fn until(&mut self, time: Duration, holds: impl Fn(&Run) -> bool) -> Result<bool, ScaleError> {
        let end = Instant::now() + time;
        loop {
            if self.means.stop.load(Ordering::Relaxed) {
                return Err(ScaleError::Stopped);
            }
            if holds(self) {
                return Ok(true);
            }
            if self.looked.elapsed() > Duration::from_secs(1) {
                // Threads of real ones that end between two looks are counted as far as they were seen.
                self.looked = Instant::now();
                self.spent_by_reals();
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(false);
            }
            match self.lines.recv_timeout(left.min(Duration::from_millis(100))) {
                Ok((host, line)) => self.take(host, line),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(ScaleError::Host("all have ended".to_string()));
                }
            }
        }
    }

    fn take(&mut self, host: usize, line: Line) {
        let at = line.at;
        match line.what {
            What::InForce { name, in_force } => {
                self.evidence.in_force(at, &name, &in_force);
            }
            What::Halted { name, halted } => self.evidence.halted(at, &name, halted),
            What::Drained { drained, out, within_ms, .. } => {
                let asked = |c: &&mut Change| c.node == drained && c.out == out && c.acked.is_none();
                if let Some(change) = self.evidence.changes.iter_mut().find(asked) {
                    change.acked = within_ms.map(|_| at);
                }
            }
            What::View { digest, view } => drop(self.views.insert(digest, view)),
            What::Said { said } => self.said(at, said),
            What::Polled { polled, late_us } => {
                let host = &mut self.hosts[host];
                (host.polled, host.late_us) = (polled, host.late_us.max(late_us));
            }
            What::Started { started } => self.runs(at, &started, true),
            What::Ended { ended } => self.runs(at, &ended, false),
            What::Failed { failed, reason } => {
                let what = format!("{failed} does not start: {reason}");
                (self.told)(&what);
                self.came.partial.push(what);
            }
            What::Ready { process, thread } => {
                self.hosts[host].whose = Some(match self.means.hosts {
                    Hosts::Processes(_) => Whose::Process(process),
                    Hosts::Threads => Whose::Thread(process, thread),
                });
            }
        }
    }

    fn runs(&mut self, at: u64, name: &str, runs: bool) {
        self.evidence.runs(at, name, runs);
        if let Some(broker) = number(name).and_then(|n| self.brokers.get_mut(n)) {
            (broker.runs, broker.said) = (runs, Said::default());
        }
    }

    fn said(&mut self, at: u64, said: Said) {
        let Some(broker) = number(&said.name).and_then(|n| self.brokers.get_mut(n)) else { return };
        if said.phase == "member" {
            if let Some(view) = self.views.get(&said.digest) {
                self.evidence.view(at, &said.name, view);
            }
        }
        (broker.polled, broker.said) = (self.polls, said);
    }

    /// Starts a broker.
    fn start(&mut self, broker: usize) -> Result<(), ScaleError> {
        match self.brokers[broker].host {
            Some(host) => {
                let file = self.means.folder.join(name(broker)).join("cluster.toml");
                self.say(host, &Word::Start { name: name(broker), file })
            }
            None => {
                let place = broker - self.file.voters;
                let child = self.spawn(&self.reals[place], true)?;
                self.reals[place].child = Some(child);
                let now = self.watch.now();
                self.runs(now, &name(broker), true);
                Ok(())
            }
        }
    }

    /// Ends a broker without a word, or has it leave.
    fn end(&mut self, broker: usize, leaves: bool) -> Result<(), ScaleError> {
        match self.brokers[broker].host {
            Some(host) if leaves => self.say(host, &Word::Leave(name(broker))),
            Some(host) => self.say(host, &Word::Kill(name(broker))),
            None => {
                let real = &mut self.reals[broker - self.file.voters];
                if let Some(mut child) = real.child.take() {
                    if leaves {
                        let id = child.id().to_string();
                        Command::new("kill").args(["-TERM", &id]).status().map_err(io("kill"))?;
                    } else {
                        child.kill().map_err(io("kill"))?;
                    }
                    child.wait().map_err(io("a real broker"))?;
                }
                let now = self.watch.now();
                self.runs(now, &name(broker), false);
                Ok(())
            }
        }
    }

    /// Notes that something is done to a broker from now on, and until it has been left alone for long enough again.
    fn touch(&mut self, broker: usize, begins: bool) {
        let now = self.watch.now();
        let times = &self.file.times;
        let after = u64::from(times.silence_ms + 3 * times.settle_ms) * MS + 30_000 * MS;
        let all = self.touched.entry(name(broker)).or_default();
        match all.last_mut().filter(|_| !begins) {
            Some(last) => last.1 = now + after,
            None => all.push((now, u64::MAX)),
        }
    }

    /// Looks at what all say, or the voters alone.
    fn poll(&mut self, voters: bool) -> Result<(), ScaleError> {
        let began = Instant::now();
        self.polls += 1;
        let number = self.polls;
        let asked: Vec<usize> = (0..self.hosts.len()).filter(|h| !voters || self.hosts[*h].voter).collect();
        if !voters {
            let used: BTreeSet<u64> = self.brokers.iter().map(|b| b.said.digest).collect();
            // Hosts tell a view once in a few hundred: those of a few looks ago may still be told by digest alone.
            if self.views.len() > 512 {
                self.views.retain(|digest, _| used.contains(digest));
            }
        }
        for host in &asked {
            self.say(*host, &Word::Said(number))?;
        }
        for place in 0..if voters { 0 } else { self.reals.len() } {
            let Some(text) = self.reals[place].child.as_ref().and_then(|_| members(&self.reals[place].admin))
            else {
                continue;
            };
            if let Some((said, whole)) = self.reader.read(&text) {
                self.views.insert(said.digest, whole);
                let now = self.watch.now();
                self.said(now, said);
            }
        }
        let all = |run: &Run| asked.iter().all(|h| run.hosts[*h].polled >= number);
        if !self.until(PATIENCE, all)? {
            self.came.void.push("a host did not answer in time".to_string());
        }
        self.took = began.elapsed();
        Ok(())
    }

    /// Whether all of some are members of one view that holds just them.
    fn agree(&self, some: &[usize]) -> bool {
        let Some(first) = some.first().map(|b| &self.brokers[*b].said) else { return false };
        let one = some
            .iter()
            .map(|b| &self.brokers[*b])
            .all(|b| b.polled == self.polls && b.said.phase == "member" && b.said.digest == first.digest);
        let names = |w: &Whole| w.members.iter().map(|(n, _)| n.clone()).collect::<BTreeSet<_>>();
        one && first.size == some.len()
            && self
                .views
                .get(&first.digest)
                .is_some_and(|w| names(w) == some.iter().map(|b| name(*b)).collect())
    }

    /// Those that run and are not cut off.
    fn living(&self) -> Vec<usize> {
        (0..self.brokers.len()).filter(|b| self.brokers[*b].runs && !self.brokers[*b].cut).collect()
    }

    /// Waits until all of some agree; notes how long that took since `began`.
    fn agreement(&mut self, some: &[usize], began: u64, most: Duration) -> Result<bool, ScaleError> {
        let end = Instant::now() + most;
        while Instant::now() < end {
            self.poll(false)?;
            if self.agree(some) {
                let ms = (self.watch.now() - began) as f64 / 1e6;
                (self.told)(&format!("{}: {} agree after {ms:.0} ms", self.phase.name, some.len()));
                self.agreed.push((self.phase.name.clone(), ms));
                return Ok(true);
            }
            self.pass(POLL.max(2 * self.took))?;
        }
        let members = some.iter().filter(|b| self.brokers[**b].said.phase == "member").count();
        let views: BTreeSet<u64> = some.iter().map(|b| self.brokers[*b].said.view).collect();
        let what = format!(
            "{}: no agreement of {} within {most:?}: {members} are members, views {:?} to {:?}",
            self.phase.name,
            some.len(),
            views.first(),
            views.last()
        );
        (self.told)(&what);
        self.came.partial.push(what);
        Ok(false)
    }

    /// Starts all, and waits until they are one cluster.
    fn together(&mut self) -> Result<(), ScaleError> {
        let size = self.file.size();
        (self.told)(&format!(
            "{} hollow brokers in {} processes or threads, {} real ones, {} controls",
            self.file.hollow,
            self.hosts.len(),
            self.file.real,
            self.file.controls
        ));
        let began = self.watch.now();
        for i in 0..self.controls.len() {
            let child = self.spawn(&self.controls[i], false)?;
            self.controls[i].child = Some(child);
        }
        let each = Duration::from_secs_f64(self.file.start_s() / size as f64);
        let mut due = Instant::now();
        for broker in 0..size {
            self.start(broker)?;
            due += each;
            let left = due.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                self.pass(left)?;
            }
        }
        let all: Vec<usize> = (0..size).collect();
        let most = Duration::from_secs(self.file.together_s);
        self.agreement(&all, began, most)?;
        self.late();
        Ok(())
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        for real in self.reals.iter_mut().chain(&mut self.controls) {
            if let Some(mut child) = real.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        for host in 0..self.hosts.len() {
            let _ = self.say(host, &Word::End(()));
            self.hosts[host].words = None;
        }
        // What they still write must be read, or they wait.
        let end = Instant::now() + END;
        while Instant::now() < end {
            if let Err(RecvTimeoutError::Disconnected) = self.lines.recv_timeout(Duration::from_millis(50)) {
                break;
            }
        }
        for host in &mut self.hosts {
            if let Some(mut child) = host.child.take() {
                if !matches!(child.try_wait(), Ok(Some(_))) {
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
            if let Some(thread) = host.thread.take().filter(|t| t.is_finished()) {
                let _ = thread.join();
            }
        }
        let _ = std::fs::remove_dir_all(&self.means.folder);
    }
}

fn histogram() -> Histogram<u64> {
    // An hour at most, to three figures.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds that are possible")
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        0.0
    } else {
        values.iter().sum::<f64>() / values.len() as f64
    }
}

/// What a real broker answers to `MEMBERS`.
fn members(admin: &str) -> Option<String> {
    let mut stream = TcpStream::connect(admin).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(b"MEMBERS\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.trim_end().strip_prefix("200 ")?.to_string())
}

/// A folder for a run of this process.
pub fn folder() -> PathBuf {
    static RUNS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let run = RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    std::env::temp_dir().join(format!("claywinch-scale-{}-{run}", std::process::id()))
}

/// The lab's own program.
pub fn own_program() -> PathBuf {
    std::env::current_exe().unwrap_or_else(|_| Path::new("claywinch-lab").to_path_buf())
}
