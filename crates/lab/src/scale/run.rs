//! Plays a scale file: starts hosts of hollow brokers and real ones, does the steps, and measures.

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

    fn spent_by_hosts(&mut self) -> Vec<u64> {
        self.hosts.iter_mut().map(|h| h.whose.as_ref().map_or(0, |whose| h.usage.look(whose))).collect()
    }

    fn spent_by_reals(&mut self) -> (Vec<u64>, Vec<u64>) {
        let look = |r: &mut Real| {
            let whose = r.child.as_ref().map(|c| Whose::Process(c.id()));
            whose.map_or(0, |whose| r.usage.look(&whose))
        };
        (self.reals.iter_mut().map(look).collect(), self.controls.iter_mut().map(look).collect())
    }

    /// Gives the lateness since the last time, of hosts and of the relay, in milliseconds.
    fn late(&mut self) -> (Vec<f64>, f64) {
        let hosts = self.hosts.iter_mut().map(|h| std::mem::take(&mut h.late_us) as f64 / 1e3).collect();
        (hosts, self.relay.late().as_secs_f64() * 1e3)
    }

    /// Begins a phase; the one before ends.
    fn mark(&mut self, phase: &str) -> Result<(), ScaleError> {
        self.close()?;
        let (reals, controls) = self.spent_by_reals();
        self.phase = Phase {
            name: phase.to_string(),
            hosts: self.spent_by_hosts(),
            reals,
            controls,
            drops: usage::drops(&[self.relay.addresses.0, self.relay.addresses.1]),
            all_drops: usage::dropped_by_all(),
            refused: self.relay.refused(),
            changes: self.evidence.changes.len(),
            counts: self.relay.counts(),
            kinds: self.relay.kinds(),
            at: self.watch.now(),
        };
        (self.told)(&format!("phase {phase}"));
        Ok(())
    }

    /// Ends the phase that is, and measures it.
    fn close(&mut self) -> Result<(), ScaleError> {
        let (at, counts, kinds) = (self.watch.now(), self.relay.counts(), self.relay.kinds());
        let (hosts, (reals, controls)) = (self.spent_by_hosts(), self.spent_by_reals());
        let drops = usage::drops(&[self.relay.addresses.0, self.relay.addresses.1]);
        let seconds = (at - self.phase.at) as f64 / 1e9;
        let (refused, all) = (self.relay.refused(), usage::dropped_by_all());
        // Only now: what hosts are asked for is no part of the phase.
        self.poll(false)?;
        let (late, relay_late) = self.late();
        if self.phase.counts.is_empty() || self.phase.name == END_MARK {
            return Ok(());
        }
        let before = std::mem::replace(
            &mut self.phase,
            Phase {
                name: String::new(),
                at,
                counts: Vec::new(),
                kinds: BTreeMap::new(),
                hosts: Vec::new(),
                reals: Vec::new(),
                controls: Vec::new(),
                drops: BTreeMap::new(),
                all_drops: 0,
                refused: 0,
                changes: 0,
            },
        );
        let phase = before.name.clone();
        let mut rows = Vec::new();
        let share = |ns: f64| ns / 1e9 / seconds * 100.0;
        let mut cpu: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for (i, host) in self.hosts.iter().enumerate() {
            let spent = hosts[i].saturating_sub(before.hosts[i]) as f64 - host.tare * seconds;
            let role = if host.voter { "voter" } else { "broker" };
            cpu.entry(role).or_default().push(share(spent.max(0.0)) / host.brokers.len() as f64);
        }
        let spent = |now: &[u64], was: &[u64]| -> Vec<f64> {
            now.iter().zip(was).map(|(n, w)| share(n.saturating_sub(*w) as f64)).collect()
        };
        let off = mean(&spent(&controls, &before.controls));
        cpu.insert("real", spent(&reals, &before.reals).iter().map(|s| s - off).collect());
        let role = |b: usize| match self.brokers[b].host {
            None => "real",
            Some(host) if self.hosts[host].voter => "voter",
            Some(_) => "broker",
        };
        for who in ["broker", "voter", "real"] {
            let some: Vec<usize> = (0..counts.len()).filter(|b| role(*b) == who).collect();
            if some.is_empty() {
                continue;
            }
            let values = cpu.get(who).cloned().unwrap_or_default();
            rows.push(Row::of(&phase, who, "cpu_share", "%", &values));
            let of = |f: &dyn Fn(&Counts) -> u64| -> Vec<f64> {
                let each = |b: &usize| (f(&counts[*b]) - f(&before.counts[*b])) as f64 / seconds;
                some.iter().map(each).collect()
            };
            rows.push(Row::of(&phase, who, "bytes_out_s", "B/s", &of(&|c| c.out.bytes)));
            rows.push(Row::of(&phase, who, "bytes_in_s", "B/s", &of(&|c| c.come.bytes)));
            rows.push(Row::of(&phase, who, "datagrams_out_s", "1/s", &of(&|c| c.out.datagrams)));
            rows.push(Row::of(&phase, who, "datagrams_in_s", "1/s", &of(&|c| c.come.datagrams)));
        }
        rows.extend(self.memory(&phase));
        let dropped: u64 =
            drops.iter().map(|(s, n)| n - before.drops.get(s).copied().unwrap_or(0).min(*n)).sum();
        let mut row = Row::of(&phase, "all", "dropped", "1", &[dropped as f64]);
        let machine = all.saturating_sub(before.all_drops);
        row.count = machine;
        rows.push(row);
        rows.push(Row::of(&phase, "host", "turn_late_ms", "ms", &late));
        rows.push(Row::of(&phase, "relay", "turn_late_ms", "ms", &[relay_late]));
        let most = self.file.turn_late_ms as f64;
        let worst = late.iter().copied().fold(relay_late, f64::max);
        let mut void = Vec::new();
        if worst > most {
            void.push(format!("{phase}: a turn came {worst:.0} ms late; {most} at most"));
        }
        if dropped > 0 {
            void.push(format!(
                "{phase}: full sockets dropped {dropped} datagrams ({machine} on the machine)"
            ));
        }
        if refused > before.refused {
            void.push(format!("{phase}: the relay could not send {} datagrams", refused - before.refused));
        }
        rows.iter_mut().for_each(|r| r.void = !void.is_empty());
        if phase == "idle" {
            let hosts = self.hosts.iter().filter(|h| !h.voter).map(|h| h.brokers.len() as f64);
            let shares = cpu.get("broker").cloned().unwrap_or_default();
            let (all, spent) = hosts.zip(shares).fold((0.0, 0.0), |(n, sum), (h, s)| (n + h, sum + h * s));
            self.honest(&rows, spent / all, off, seconds);
        }
        self.came.void.extend(void);
        self.came.rows.extend(rows);
        let size = counts.len() as f64;
        for (kind, sum) in kinds {
            let was = before.kinds.get(&kind).copied().unwrap_or_default();
            let a_second = |now: u64, was: u64| (now - was) as f64 / seconds / size;
            let (datagrams_s, bytes_s) =
                (a_second(sum.datagrams, was.datagrams), a_second(sum.bytes, was.bytes));
            if datagrams_s > 0.0 {
                self.came.kinds.push(KindRow { phase: phase.clone(), kind, datagrams_s, bytes_s });
            }
        }
        let changes = before.changes..self.evidence.changes.len();
        self.phases.push((phase, before.at, at, changes));
        Ok(())
    }

    /// Memory of a broker: by slope over two hosts, of a voter's process, and of real ones less the controls.
    fn memory(&self, phase: &str) -> Vec<Row> {
        let of = |h: &HostAt| match h.whose {
            Some(Whose::Process(process)) => Some(usage::memory_kb(process) as f64),
            _ => None,
        };
        let mut rows = Vec::new();
        let sized: Vec<(f64, f64)> = self
            .hosts
            .iter()
            .filter(|h| !h.voter)
            .filter_map(|h| Some((h.brokers.len() as f64, of(h)?)))
            .collect();
        if let Some((least, rest)) = sized.split_first().filter(|(l, rest)| rest.iter().any(|r| r.0 > l.0)) {
            let slopes: Vec<f64> =
                rest.iter().filter(|r| r.0 > least.0).map(|r| (r.1 - least.1) / (r.0 - least.0)).collect();
            rows.push(Row::of(phase, "broker", "memory_kb", "KiB", &slopes));
        }
        let voters: Vec<f64> = self.hosts.iter().filter(|h| h.voter).filter_map(of).collect();
        if !voters.is_empty() {
            rows.push(Row::of(phase, "voter", "memory_kb", "KiB", &voters));
        }
        let held = |r: &Real| r.child.as_ref().map(|c| usage::memory_kb(c.id()) as f64);
        let controls: Vec<f64> = self.controls.iter().filter_map(held).collect();
        let reals: Vec<f64> = self.reals.iter().filter_map(held).map(|kb| kb - mean(&controls)).collect();
        if !reals.is_empty() && !controls.is_empty() {
            rows.push(Row::of(phase, "real", "memory_kb", "KiB", &reals));
        }
        rows
    }

    /// Sets hollow ones beside real ones.
    fn honest(&mut self, rows: &[Row], hollow_cpu: f64, off: f64, seconds: f64) {
        if self.file.real == 0 {
            return;
        }
        (self.told)(&format!("a control takes {off:.3}% of a core over {seconds:.0} s"));
        let of = |role: &str, quantity: &str| {
            rows.iter().find(|r| r.role == role && r.quantity == quantity).map(|r| r.median)
        };
        for quantity in ["cpu_share", "datagrams_out_s", "datagrams_in_s", "bytes_out_s", "bytes_in_s"] {
            if quantity == "cpu_share" && self.file.controls == 0 {
                continue;
            }
            // Of hosts that are few, the mean by broker.
            let hollow = if quantity == "cpu_share" { Some(hollow_cpu) } else { of("broker", quantity) };
            if let Some((hollow, real)) = hollow.zip(of("real", quantity)) {
                self.came.honest.push((quantity, hollow, real, real / hollow));
            }
        }
    }

    /// Does the steps, one behind the other, none before its time.
    fn steps(&mut self) -> Result<(), ScaleError> {
        let begun = Instant::now();
        let most = Duration::from_secs(self.file.seconds);
        for (i, step) in self.file.steps.iter().enumerate() {
            let due = Duration::from_secs_f64(step.at_s);
            self.pass(due.saturating_sub(begun.elapsed()))?;
            if begun.elapsed() > most + Duration::from_secs(1) {
                let what = format!("step {i} and those after it: the {most:?} are over");
                (self.told)(&what);
                self.came.partial.push(what);
                break;
            }
            if let Some(phase) = &step.mark {
                self.mark(phase)?;
            }
            if let Some(over) = step.changes {
                self.changes(over, Vec::new())?;
            }
            if let Some(times) = step.kill_leader {
                self.kill_leader(times, begun + most)?;
            }
            if let Some(whom) = &step.kill {
                let some = self.file.placement().find(self.file, whom).map_err(ScaleError::File)?;
                self.kill(&some)?;
            }
            if step.start {
                self.start_all()?;
            }
            if let Some(cut) = &step.cut {
                self.cut(cut)?;
            }
            if let Some(over) = step.restart {
                self.restart(over)?;
            }
        }
        self.pass((most.min(self.last_at())).saturating_sub(begun.elapsed()))?;
        self.close()
    }

    /// When the last step is due.
    fn last_at(&self) -> Duration {
        Duration::from_secs_f64(self.file.steps.last().map_or(0.0, |s| s.at_s))
    }

    /// Asks for a change at the next broker that runs and is not cut off: a new node goes out, or an old one comes back.
    fn ask(&mut self) -> Result<usize, ScaleError> {
        let now = self.watch.now();
        let settled = |c: &Change| c.acked.is_some_and(|at| now > at + STAYS_OUT);
        let mut out: BTreeMap<&str, bool> = BTreeMap::new();
        for change in &self.evidence.changes {
            out.insert(&change.node, change.out && settled(change));
        }
        let mut can_come_back =
            self.evidence.changes.iter().filter(|c| out.get(c.node.as_str()) == Some(&true));
        let old = can_come_back.next().map(|c| c.node.clone());
        let back = old.filter(|_| out.values().filter(|o| **o).count() >= MOST_OUT || self.nodes % 2 == 1);
        self.nodes += 1;
        let (node, is_out) = match back {
            Some(node) => (node, false),
            None => (format!("n-{:08x}", self.nodes), true),
        };
        let some: Vec<usize> =
            self.living().into_iter().filter(|b| self.brokers[*b].host.is_some()).collect();
        // A step that shares no factor with most sizes goes around regions, zones and hosts.
        self.turn += 37;
        let broker = *some
            .get(self.turn % some.len().max(1))
            .ok_or_else(|| ScaleError::Host("no broker is left to be asked".to_string()))?;
        let asked = self.watch.now();
        self.evidence.changes.push(Change { node: node.clone(), out: is_out, asked, acked: None });
        if let Some(host) = self.brokers[broker].host {
            self.say(host, &Word::Drain { name: name(broker), node, out: is_out })?;
        }
        Ok(self.evidence.changes.len() - 1)
    }

    /// Asks for changes, evenly over a time, and waits until they are in force at all that were left alone. `cut` are those that
    /// are cut off meanwhile.
    fn changes(&mut self, over: Over, cut: Vec<usize>) -> Result<(), ScaleError> {
        let (began, first) = (Instant::now(), self.evidence.changes.len());
        for i in 0..over.count {
            let due = Duration::from_secs_f64(over.over_s * i as f64 / over.count as f64);
            self.pass(due.saturating_sub(began.elapsed()))?;
            self.ask()?;
        }
        if cut.is_empty() {
            self.in_force(first)?;
        }
        Ok(())
    }

    /// Waits until all changes from that one on are told and in force.
    fn in_force(&mut self, first: usize) -> Result<bool, ScaleError> {
        let end = Instant::now() + STEP;
        let mut done = false;
        while !done && Instant::now() < end {
            self.pass(IN_FORCE)?;
            let hollow = self.living().into_iter().filter(|b| self.brokers[*b].host.is_some());
            let names: Vec<String> = hollow.map(name).collect();
            let changes = &self.evidence.changes;
            done = changes[first..].iter().all(|c| c.acked.is_some())
                && (first..changes.len())
                    .filter(|i| self.evidence.stands(*i))
                    .all(|i| names.iter().all(|n| self.evidence.has(n, &changes[i].node) == changes[i].out));
        }
        if !done {
            let what = format!("{}: changes not in force everywhere within {STEP:?}", self.phase.name);
            (self.told)(&what);
            self.came.partial.push(what);
        }
        Ok(done)
    }

    /// Kills the leading voter so many times; each time its loss is waited for, and it is started again.
    fn kill_leader(&mut self, times: usize, end: Instant) -> Result<(), ScaleError> {
        for round in 0..times {
            if Instant::now() > end {
                self.came.partial.push(format!("{}: {round} of {times} leaders killed", self.phase.name));
                break;
            }
            let Some(leader) = self.leader(None)? else {
                self.came.partial.push(format!("{}: nobody leads", self.phase.name));
                break;
            };
            let began = self.watch.now();
            self.touch(leader, true);
            self.end(leader, false)?;
            self.until(PATIENCE, |run| !run.brokers[leader].runs)?;
            let change = self.ask()?;
            let led = self.leader(Some(leader))?.map(|_| self.watch.now());
            let told = self.until(STEP, |run| run.evidence.changes[change].acked.is_some())?;
            let acked = self.evidence.changes[change].acked.filter(|_| told);
            match led.zip(acked) {
                Some((led, acked)) => {
                    let ms = (led.max(acked) - began) as f64 / 1e6;
                    (self.told)(&format!("{} led; over after {ms:.0} ms", name(leader)));
                    self.lost.push((self.phase.name.clone(), ms));
                }
                None => self.came.partial.push(format!("{}: a leader's loss was not over", self.phase.name)),
            }
            self.in_force(change)?;
            self.start(leader)?;
            self.until(PATIENCE, |run| run.brokers[leader].runs)?;
            self.touch(leader, false);
            let (all, now) = (self.living(), self.watch.now());
            if !self.agreement(&all, now, STEP)? {
                break;
            }
        }
        Ok(())
    }

    /// Waits for a voter that leads, another than one that is gone.
    fn leader(&mut self, gone: Option<usize>) -> Result<Option<usize>, ScaleError> {
        let end = Instant::now() + STEP;
        while Instant::now() < end {
            self.poll(true)?;
            let leads = (0..self.file.voters).filter(|v| {
                let broker = &self.brokers[*v];
                broker.runs && broker.said.leads && Some(*v) != gone && broker.polled == self.polls
            });
            // Of two that think so, one has not yet heard.
            if let Some(leader) = leads.max_by_key(|v| self.brokers[*v].said.view) {
                return Ok(Some(leader));
            }
            self.pass(POLL_VOTERS)?;
        }
        Ok(None)
    }

    fn kill(&mut self, some: &[usize]) -> Result<(), ScaleError> {
        let began = self.watch.now();
        for broker in some {
            self.touch(*broker, true);
            self.end(*broker, false)?;
        }
        self.until(PATIENCE, |run| some.iter().all(|b| !run.brokers[*b].runs))?;
        let living = self.living();
        self.agreement(&living, began, STEP).map(|_| ())
    }

    fn start_all(&mut self) -> Result<(), ScaleError> {
        let (began, some) = (
            self.watch.now(),
            (0..self.brokers.len()).filter(|b| !self.brokers[*b].runs).collect::<Vec<_>>(),
        );
        for broker in &some {
            self.start(*broker)?;
        }
        self.until(PATIENCE, |run| some.iter().all(|b| run.brokers[*b].runs))?;
        some.iter().for_each(|b| self.touch(*b, false));
        let living = self.living();
        self.agreement(&living, began, STEP).map(|_| ())
    }

    /// Cuts some off, with changes meanwhile, and mends it; waits each time until those that can agree do.
    fn cut(&mut self, cut: &CutOff) -> Result<(), ScaleError> {
        let some = self.file.placement().find(self.file, &cut.whom()).map_err(ScaleError::File)?;
        let (began, started, first) = (self.watch.now(), Instant::now(), self.evidence.changes.len());
        let mut inside = vec![false; self.brokers.len()];
        for broker in &some {
            inside[*broker] = true;
            self.brokers[*broker].cut = true;
            self.touch(*broker, true);
        }
        self.relay.cut(vec![Cut { inside, direction: cut.direction }]);
        (self.told)(&format!("{} brokers are cut off for {} s", some.len(), cut.for_s));
        let whole = Duration::from_secs_f64(cut.for_s);
        let silent = Duration::from_millis(u64::from(self.file.times.silence_ms));
        if cut.changes > 0 {
            let over_s = (whole.as_secs_f64() / 2.0).min(30.0);
            self.changes(Over { count: cut.changes, over_s }, some.clone())?;
        }
        if whole > 3 * silent {
            let living = self.living();
            self.agreement(&living, began, whole.saturating_sub(started.elapsed()))?;
        }
        self.pass(whole.saturating_sub(started.elapsed()))?;
        let back = format!("{}-back", self.phase.name);
        self.mark(&back)?;
        let began = self.watch.now();
        self.relay.cut(Vec::new());
        for broker in &some {
            self.brokers[*broker].cut = false;
            self.touch(*broker, false);
        }
        let living = self.living();
        self.agreement(&living, began, STEP)?;
        if cut.changes > 0 {
            // At those that were cut off, too.
            self.in_force(first)?;
        }
        Ok(())
    }

    /// Has brokers go and come, one behind the other, evenly over a time: the last ones, none of them voters.
    fn restart(&mut self, over: Over) -> Result<(), ScaleError> {
        let began = Instant::now();
        let first = self.file.size() - over.count;
        let mut waiting: Vec<usize> = Vec::new();
        for i in 0..over.count {
            let due = Duration::from_secs_f64(over.over_s * i as f64 / over.count as f64);
            while began.elapsed() < due {
                self.back(&mut waiting)?;
                self.pass(Duration::from_millis(20).min(due.saturating_sub(began.elapsed())))?;
            }
            let broker = first + i;
            self.touch(broker, true);
            self.end(broker, true)?;
            waiting.push(broker);
        }
        let end = Instant::now() + PATIENCE;
        while !waiting.is_empty() && Instant::now() < end {
            self.back(&mut waiting)?;
            self.pass(Duration::from_millis(20))?;
        }
        self.until(PATIENCE, |run| (first..run.brokers.len()).all(|b| run.brokers[b].runs))?;
        let (living, now) = (self.living(), self.watch.now());
        self.agreement(&living, now, STEP).map(|_| ())
    }

    /// Starts those again that have gone.
    fn back(&mut self, waiting: &mut Vec<usize>) -> Result<(), ScaleError> {
        let (gone, left) = waiting.iter().partition(|b| !self.brokers[**b].runs);
        *waiting = left;
        let gone: Vec<usize> = gone;
        for broker in gone {
            self.start(broker)?;
            self.touch(broker, false);
        }
        Ok(())
    }

    /// Ends all, and has the checkers look at what was seen.
    fn finish(mut self) -> Result<Came, ScaleError> {
        let end = self.watch.now();
        for place in 0..self.reals.len() {
            let name = name(self.file.voters + place);
            let log = std::fs::read_to_string(self.reals[place].folder.join("log")).unwrap_or_default();
            if self.evidence.log(&name, &log) == 0 {
                self.came.partial.push(format!("{name}: its log tells of no view"));
            }
        }
        let links = &self.file.links;
        let farthest = links.between_ms.1.max(links.within_region_ms).max(links.within_zone_ms);
        let lease = u64::from(self.file.times.lease_ms);
        let margin = TURN_MS + self.file.turn_late_ms + (farthest + links.jitter_ms) as u64;
        let over = (lease + lease / 20 + margin) * MS;
        let mut rows = Vec::new();
        for (phase, from, to, changes) in std::mem::take(&mut self.phases) {
            let touched = |name: &str, at: u64| {
                let all = self.touched.get(name);
                all.is_some_and(|all| all.iter().any(|(from, to)| at >= *from && at <= *to))
            };
            let alone = |name: &str, at: u64| !touched(name, at);
            let times = self.evidence.in_force_times(changes.clone(), alone);
            let all = &self.evidence.changes[changes];
            if !all.is_empty() {
                let mut reached = histogram();
                times.iter().flatten().for_each(|ns| reached.saturating_record(ns / 1_000));
                rows.push(Row::of_times(&phase, "all", "in_force_ms", &reached));
                let mut asked = histogram();
                let told = all.iter().filter_map(|c| Some(c.acked? - c.asked));
                told.for_each(|ns| asked.saturating_record(ns / 1_000));
                rows.push(Row::of_times(&phase, "all", "asked_ms", &asked));
                let never = times.iter().filter(|t| t.is_none()).count();
                let mut row = Row::of(&phase, "all", "not_in_force", "1", &[never as f64]);
                row.count = all.iter().filter(|c| c.acked.is_none()).count() as u64;
                rows.push(row);
                self.came.in_force.insert(phase.clone(), reached);
            }
            let lapses: Vec<f64> =
                self.evidence.lapses(from, to).into_iter().map(|ns| ns as f64 / 1e6).collect();
            rows.push(Row::of(&phase, "all", "lapsed_ms", "ms", &lapses));
            let removed = self.evidence.removed().filter(|(at, ..)| (from..to).contains(at)).count();
            rows.push(Row::of(&phase, "all", "removed", "1", &[removed as f64]));
        }
        for (quantity, found) in [("agree_ms", &self.agreed), ("leader_lost_ms", &self.lost)] {
            let phases: BTreeSet<&String> = found.iter().map(|(phase, _)| phase).collect();
            for phase in phases {
                let values: Vec<f64> = found.iter().filter(|(p, _)| p == phase).map(|(_, ms)| *ms).collect();
                rows.push(Row::of(phase, "all", quantity, "ms", &values));
            }
        }
        let healthy = self.evidence.removed_healthy(&self.touched);
        let missed = self.evidence.drains_missed(over, end);
        let views: Vec<String> = self.evidence.broken().iter().map(|b| b.1.clone()).collect();
        for (quantity, found) in
            [("removed_healthy", &healthy), ("drains_missed", &missed), ("views_broken", &views)]
        {
            rows.push(Row::of("whole", "all", quantity, "1", &[found.len() as f64]));
        }
        let set = self.watch.set_by();
        if set > Duration::from_millis(20) {
            self.came.void.push(format!("the machine's clock was set by {set:?}"));
        }
        let void: BTreeSet<String> =
            self.came.rows.iter().filter(|r| r.void).map(|r| r.phase.clone()).collect();
        rows.iter_mut().for_each(|r| r.void = void.contains(&r.phase));
        self.came.rows.extend(rows);
        self.came.broken.extend(healthy);
        self.came.broken.extend(missed);
        self.came.broken.extend(views);
        (self.told)(&format!("{} views seen", self.evidence.views()));
        Ok(std::mem::take(&mut self.came))
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
