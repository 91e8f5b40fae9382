//! Experiments: arms played in alternation within one run, every byte judged, results kept as tables and
//! charts.

use crate::broker::{Broker, Serves};
use crate::client::Client;
use crate::disk::{Disk, Fault, Manner};
use crate::load::{self, Class, Load};
use crate::nbd::{Reply, EIO, ENOMEM};
use crate::truth::{End, Truth, BLOCK};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Blocks that one request fills or sweeps.
const STRIDE: u64 = 64;
/// How long one request of a fill or a sweep is tried again.
const PATIENCE: Duration = Duration::from_secs(20);

/// A file that says what is played.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name: that of the folder for its results.
    pub name: String,
    /// For all that is drawn.
    pub seed: u64,
    /// How many times each arm is played.
    pub rounds: u32,
    /// Length of a round.
    pub seconds: f64,
    /// Latencies count of requests that come after so long only.
    #[serde(default)]
    pub warmup: f64,
    /// Connections of clients.
    pub connections: usize,
    /// Size of the export.
    pub export_mb: u64,
    /// See the `late_ms` of the broker.
    #[serde(default = "late")]
    pub late_ms: u32,
    /// Memory that the broker is told it has.
    #[serde(default = "memory")]
    pub memory_mb: u32,
    /// Whether all blocks are read one by one after each play, and compared with the node's disk.
    #[serde(default = "yes")]
    pub sweep: bool,
    /// What clients ask for.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// What is compared.
    #[serde(rename = "arm")]
    pub arms: Vec<Arm>,
}

fn yes() -> bool {
    true
}

fn late() -> u32 {
    500
}

fn sums() -> u32 {
    1024
}

fn memory() -> u32 {
    192
}

/// A way to play the load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name.
    pub name: String,
    /// Whether blocks have sums.
    pub integrity: bool,
    /// Memory of the broker for pages of sums.
    #[serde(default = "sums")]
    pub sums_kb: u32,
    /// See the `scrub_days` of the broker.
    #[serde(default)]
    pub scrub_days: f64,
    /// The broker is killed and started again after so many milliseconds, from and to; zeroes: never.
    #[serde(default)]
    pub kill_ms: (u64, u64),
    /// The node crashes after so many milliseconds, from and to; zeroes: never.
    #[serde(default)]
    pub crash_ms: (u64, u64),
    /// The node stands still for `hang_for_ms` after so many milliseconds, from and to; zeroes: never.
    #[serde(default)]
    pub hang_ms: (u64, u64),
    /// Longer than any deadline, for requests to time out.
    #[serde(default)]
    pub hang_for_ms: u64,
    /// How the node behaves.
    #[serde(default)]
    pub manner: Manner,
}

/// A file that cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// Reading or writing a file, or starting a process.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// What stands in the file.
    #[error("{0}: {1}")]
    Content(String, String),
    /// A chart.
    #[error("chart {0}: {1}")]
    Chart(String, String),
}

fn at(what: impl std::fmt::Display) -> impl FnOnce(io::Error) -> ExperimentError {
    move |error| ExperimentError::Io(what.to_string(), error)
}

/// A figure of a class in one play of an arm.
type Figure = fn(&Played, usize) -> f64;

/// What one play of an arm brought.
#[derive(Debug, Clone)]
pub struct Played {
    /// Which round.
    pub round: u32,
    /// The arm.
    pub arm: String,
    /// Results by class.
    pub classes: Vec<load::Result>,
    /// Faults by kind.
    pub faults: BTreeMap<Fault, u64>,
    /// Kills of the broker, crashes and hangs of the node.
    pub kills: u64,
    /// Processor time of the broker during the load.
    pub cpu: Duration,
    /// Most memory of the broker in its last life, in KiB.
    pub peak_kb: u64,
    /// Blocks that stood wrong on the disk when the load was over.
    pub bad: u64,
    /// Of all blocks, read one by one after that: right, answered with an error, wrong, and neither.
    pub swept: [u64; 4],
    /// Blocks that stood wrong on the disk and were not answered with an error.
    pub missed: u64,
    /// Sums that the broker told of the blocks that came right: those that were the sums of what had come, others,
    /// and blocks of which none was told.
    pub sums: [u64; 3],
    /// Blocks that stood right on the disk, with sums that nothing had befallen, and were.
    pub alarms: u64,
}

impl Experiment {
    /// Reads a file.
    pub fn read(path: &str) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(at(path))?;
        let wrong = |reason: String| ExperimentError::Content(path.to_string(), reason);
        let experiment: Experiment = toml::from_str(&text).map_err(|e| wrong(e.to_string()))?;
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
        let checks = [
            (!experiment.name.chars().all(plain), "name: letters, digits and '-' only"),
            (experiment.arms.is_empty() || experiment.classes.is_empty(), "an arm and a class are needed"),
            (experiment.export_mb == 0 || experiment.connections == 0, "export_mb, connections: above 0"),
            (experiment.classes.iter().any(|c| c.blocks.0 == 0 || c.blocks.1 < c.blocks.0), "class blocks"),
            (!experiment.classes.iter().all(|c| c.rate > 0.0), "class rate: above 0"),
        ];
        match checks.iter().find(|(bad, _)| *bad) {
            Some((_, reason)) => Err(wrong(reason.to_string())),
            None => Ok(experiment),
        }
    }

    /// Plays all rounds. Arms change places from round to round, so that what drifts befalls all alike.
    pub fn play(&self, program: &Path) -> Result<Vec<Played>, ExperimentError> {
        let mut all = Vec::new();
        for round in 0..self.rounds {
            let mut arms: Vec<&Arm> = self.arms.iter().collect();
            let places = arms.len();
            arms.rotate_left(round as usize % places);
            for arm in arms {
                let played = self.play_arm(program, round, arm)?;
                println!("{}", played.line());
                all.push(played);
            }
        }
        Ok(all)
    }

    fn play_arm(&self, program: &Path, round: u32, arm: &Arm) -> Result<Played, ExperimentError> {
        let size = self.export_mb << 20;
        let seed = self.seed ^ u64::from(round) << 20;
        let calm = Manner { seed, faults: BTreeMap::new(), ..arm.manner.clone() };
        let exports = [("tallies", size), ("tallies.sums", size / 16 + (1 << 20))];
        let disk = Disk::start(None, &exports, calm).map_err(at("the node"))?;
        let serves = Serves {
            export: "tallies".to_string(),
            size,
            integrity: arm.integrity,
            node: disk.address().to_string(),
            late_ms: self.late_ms,
            memory_mb: self.memory_mb,
            sums_kb: arm.sums_kb,
            scrub_days: arm.scrub_days,
        };
        let folder: PathBuf = std::env::temp_dir().join(format!("claywinch-lab-{}", std::process::id()));
        let broker = Broker::start(program, &folder, &serves).map_err(at("the broker"))?;
        let truth = Arc::new(Truth::new(seed, size / BLOCK as u64));
        let address = broker.nbd.clone();
        fill(&address, &truth).map_err(at("filling the export"))?;
        let end = Instant::now() + PATIENCE;
        while arm.integrity && Instant::now() < end && !broker.log().contains("sums sealed") {
            thread::sleep(Duration::from_millis(5));
        }
        disk.spoil(arm.manner.faults.clone());
        disk.under_load();
        let cpu = broker.used();
        let broker = Mutex::new(broker);
        let over = AtomicBool::new(false);
        let mut kills = 0;
        let classes = thread::scope(|scope| {
            let trouble = scope.spawn(|| self.trouble(arm, seed, &disk, &broker, &over));
            let load = Load {
                address: address.clone(),
                export: "tallies".to_string(),
                connections: self.connections,
                seed,
                time: Duration::from_secs_f64(self.seconds),
                warmup: Duration::from_secs_f64(self.warmup.max(0.0)),
                classes: self.classes.clone(),
            };
            let results = load::play(load, truth.clone());
            over.store(true, Ordering::Relaxed);
            kills = trouble.join().unwrap_or(0);
            results
        });
        disk.spoil(BTreeMap::new());
        let broker = broker.into_inner().unwrap_or_else(|p| p.into_inner());
        let cpu = broker.used().saturating_sub(cpu);
        // What may yet run has run by then.
        thread::sleep(Duration::from_millis(u64::from(self.late_ms) + 200));
        let mut faults = BTreeMap::new();
        for done in disk.ledger() {
            *faults.entry(done.fault).or_default() += 1;
        }
        let touched =
            |block: u64| disk.ledger().iter().any(|d| d.export.ends_with(".sums") && touches(d.block, block));
        let mut played = Played {
            round,
            arm: arm.name.clone(),
            classes,
            faults,
            kills,
            cpu,
            peak_kb: broker.peak_kb(),
            bad: 0,
            swept: [0; 4],
            missed: 0,
            sums: [0; 3],
            alarms: 0,
        };
        let contexts: &[&str] = if arm.integrity { &["claywinch:crc32c"] } else { &[] };
        let (mut client, _) = Client::with_contexts(&address, "tallies", contexts).map_err(at("sweeping"))?;
        let blocks = if self.sweep { truth.blocks() } else { 0 };
        for block in 0..blocks {
            let allowed = truth.read(block, 1);
            let stands = disk.bytes("tallies", block * BLOCK as u64, BLOCK);
            let bad = truth.judge(block, &allowed, &stands).is_some();
            played.bad += u64::from(bad);
            let place = block * BLOCK as u64;
            let how = match patient(|| client.read(place, BLOCK as u32)) {
                Ok(Reply::Done(bytes)) if truth.judge(block, &allowed, &bytes).is_none() => {
                    if arm.integrity {
                        // The reader checks for itself what it has read.
                        let told =
                            patient(|| client.status(place, BLOCK as u32)).map_err(at("asking for sums"))?;
                        played.sums[checked(&told, &bytes)] += 1;
                    }
                    0
                }
                Ok(Reply::Done(_)) => 2,
                Ok(Reply::Error(EIO, _, Some(_))) => 1,
                _ => 3,
            };
            played.swept[how] += 1;
            played.missed += u64::from(bad && how != 1);
            played.alarms += u64::from(!bad && how == 1 && !touched(block));
        }
        disk.close();
        Ok(played)
    }

    /// Kills, crashes and hangs until the load is over; how many there were.
    fn trouble(&self, arm: &Arm, seed: u64, disk: &Disk, broker: &Mutex<Broker>, over: &AtomicBool) -> u64 {
        let mut random = StdRng::seed_from_u64(seed ^ 0x7_0b1e);
        let mut draw = |range: (u64, u64)| match range.1 {
            0 => None,
            _ => Some(Instant::now() + Duration::from_millis(random.random_range(range.0..=range.1))),
        };
        let mut next = [draw(arm.kill_ms), draw(arm.crash_ms), draw(arm.hang_ms)];
        let mut done = 0;
        while !over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
            for (what, range) in [arm.kill_ms, arm.crash_ms, arm.hang_ms].into_iter().enumerate() {
                if next[what].is_none_or(|at| at > Instant::now()) {
                    continue;
                }
                done += 1;
                match what {
                    0 => {
                        let mut broker = broker.lock().unwrap_or_else(|p| p.into_inner());
                        if let Err(error) = broker.kill_and_start() {
                            eprintln!("the broker did not come back: {error}");
                        }
                    }
                    1 => disk.crash(),
                    _ => disk.stall(Duration::from_millis(arm.hang_for_ms)),
                }
                next[what] = draw(range);
            }
        }
        done
    }

    /// Each arm against the first one of its round: latencies, and processor time for each request served.
    fn ratios(&self, played: &[Played]) -> String {
        let mut out = "arm,class,figure,rounds,least,median,most,ratios\n".to_string();
        let figures: [(&str, Figure); 4] = [
            ("p50", |p, class| p.classes[class].latency.value_at_quantile(0.5) as f64),
            ("p99", |p, class| p.classes[class].latency.value_at_quantile(0.99) as f64),
            ("over_200ms_share", |p, class| {
                let latency = &p.classes[class].latency;
                (latency.len() - latency.count_between(0, 200_000)) as f64 / latency.len().max(1) as f64
            }),
            ("cpu_a_request", |p, _| {
                p.cpu.as_secs_f64() / p.classes.iter().map(|c| c.served).sum::<u64>().max(1) as f64
            }),
        ];
        let first = &self.arms[0].name;
        for arm in &self.arms[1..] {
            for (place, class) in self.classes.iter().enumerate() {
                for (name, figure) in figures {
                    let of = |arm: &str, round: u32| {
                        played.iter().find(|p| p.arm == arm && p.round == round).map(|p| figure(p, place))
                    };
                    let pair = |round| Some((of(&arm.name, round)?, of(first, round)?));
                    let pairs = (0..self.rounds).filter_map(pair).filter(|(_, base)| *base > 0.0);
                    let ratios: Vec<f64> = pairs.map(|(value, base)| value / base).collect();
                    let mut sorted = ratios.clone();
                    sorted.sort_by(f64::total_cmp);
                    let Some((least, most)) = sorted.first().zip(sorted.last()) else { continue };
                    let median = sorted[sorted.len() / 2];
                    let all: Vec<String> = ratios.iter().map(|r| format!("{r:.3}")).collect();
                    let _ = writeln!(
                        out,
                        "{},{},{name},{},{least:.3},{median:.3},{most:.3},{}",
                        arm.name,
                        class.name,
                        sorted.len(),
                        all.join(" ")
                    );
                }
            }
        }
        out
    }

    /// Writes tables and charts into a folder of the experiment's name below `results`.
    pub fn keep(&self, results: &Path, played: &[Played]) -> Result<PathBuf, ExperimentError> {
        let folder = results.join(&self.name);
        std::fs::create_dir_all(&folder).map_err(at(folder.display()))?;
        let write = |name: &str, text: String| {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(at(path.display()))
        };
        write("classes.csv", class_table(played))?;
        write("arms.csv", arm_table(played))?;
        write("ratios.csv", self.ratios(played))?;
        for (place, class) in self.classes.iter().enumerate() {
            let mut arms: Vec<(String, load::Result)> = Vec::new();
            for p in played {
                match arms.iter_mut().find(|(name, _)| *name == p.arm) {
                    Some((_, sum)) => sum.add(&p.classes[place]),
                    None => arms.push((p.arm.clone(), p.classes[place].clone())),
                }
            }
            let path = folder.join(format!("{}.svg", class.name));
            crate::chart::latencies(&path, &format!("{}: latency of {}", self.name, class.name), &arms)
                .map_err(|e| ExperimentError::Chart(path.display().to_string(), e))?;
        }
        Ok(folder)
    }
}

/// What a reader makes of a sum that it was told of a block: 0 it is that of what was read, 1 it is not, 2 there is
/// none.
fn checked(told: &Reply, bytes: &[u8]) -> usize {
    match told {
        Reply::Status(all) => match &all[..] {
            [(_, extents)] if extents[..] == [(BLOCK as u32, crc32c::crc32c(bytes))] => 0,
            _ => 1,
        },
        _ => 2,
    }
}

/// Whether a block of the companion holds the entry of a block of data, for one broker.
fn touches(sums_block: u64, block: u64) -> bool {
    sums_block == 1 + block / 64
}

impl Played {
    fn line(&self) -> String {
        let mut line = format!("round {} {:<12}", self.round, self.arm);
        for c in &self.classes {
            let p99 = c.latency.value_at_quantile(0.99) as f64 / 1000.0;
            let _ = write!(
                line,
                " | {} served {} refused {} failed {} spoiled {} wrong {} unanswered {} p99 {p99:.1} ms",
                c.name, c.served, c.refused, c.failed, c.spoiled, c.wrong, c.unanswered
            );
        }
        let faults: u64 = self.faults.values().sum();
        let [right, spoiled, wrong, neither] = self.swept;
        let _ = write!(
            line,
            " | faults {faults} kills {} bad on disk {} | swept: right {right} error {spoiled} wrong {wrong} \
             neither {neither} missed {} false alarms {}",
            self.kills, self.bad, self.missed, self.alarms
        );
        line
    }
}

fn class_table(played: &[Played]) -> String {
    let mut out = "round,arm,class,served,in_time,refused,failed,spoiled,wrong,unanswered,blocks_read,\
                   p50_us,p95_us,p99_us,p999_us,max_us,over_200ms\n"
        .to_string();
    for p in played {
        for c in &p.classes {
            let q = |q: f64| c.latency.value_at_quantile(q);
            let over = c.latency.len() - c.latency.count_between(0, 200_000);
            let _ = writeln!(
                out,
                "{},{},{},{},{},{},{},{},{},{},{},{},{},{},{},{},{over}",
                p.round,
                p.arm,
                c.name,
                c.served,
                c.in_time,
                c.refused,
                c.failed,
                c.spoiled,
                c.wrong,
                c.unanswered,
                c.blocks,
                q(0.5),
                q(0.95),
                q(0.99),
                q(0.999),
                c.latency.max()
            );
        }
    }
    out
}

fn arm_table(played: &[Played]) -> String {
    let kinds = crate::disk::FAULTS;
    let mut out =
        "round,arm,cpu_ms,peak_kb,kills,bad_on_disk,swept_right,swept_error,swept_wrong,swept_neither,\
                   missed,false_alarms,sums_right,sums_wrong,sums_none"
            .to_string();
    kinds.iter().for_each(|k| out += &format!(",{k:?}"));
    out.push('\n');
    for p in played {
        let [right, error, wrong, neither] = p.swept;
        let _ = write!(
            out,
            "{},{},{},{},{},{},{right},{error},{wrong},{neither},{},{}",
            p.round,
            p.arm,
            p.cpu.as_millis(),
            p.peak_kb,
            p.kills,
            p.bad,
            p.missed,
            p.alarms
        );
        let [right, wrong, none] = p.sums;
        let _ = write!(out, ",{right},{wrong},{none}");
        kinds.iter().for_each(|k| out += &format!(",{}", p.faults.get(k).copied().unwrap_or(0)));
        out.push('\n');
    }
    out
}

/// Asks again while it is refused.
fn patient(mut ask: impl FnMut() -> io::Result<Reply>) -> io::Result<Reply> {
    let end = Instant::now() + PATIENCE;
    loop {
        match ask()? {
            Reply::Error(ENOMEM, text, _) if text.starts_with("BUSY") && Instant::now() < end => {
                thread::sleep(Duration::from_millis(20));
            }
            reply => return Ok(reply),
        }
    }
}

/// Writes every block once, before anything is spoiled.
pub fn fill(address: &str, truth: &Truth) -> io::Result<()> {
    let mut client = Client::connect(address, "tallies", true)?;
    let mut first = 0;
    while first < truth.blocks() {
        let count = STRIDE.min(truth.blocks() - first);
        let (versions, bytes) = truth.write(first, count);
        match patient(|| client.write(first * BLOCK as u64, bytes.clone()))? {
            Reply::Done(_) => truth.written(first, &versions, End::Done),
            other => return Err(io::Error::other(format!("{other:?}"))),
        }
        first += count;
    }
    Ok(())
}
