//! The file of a scale run, and what is refused of it before anything starts.

use super::usage::Machine;
use super::ScaleError;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::path::Path;

/// Most processes of a run.
pub const MOST_PROCESSES: usize = 300;
/// Most memory of a run, in MiB.
pub const MOST_MEMORY_MB: u64 = 12 * 1024;
/// Most brokers: their ports lie between the first and those that the system gives away.
pub const MOST_BROKERS: usize = 12_000;
/// What a hollow broker is taken to need, in KiB, and more for each member that it knows.
const HOLLOW_KB: u64 = 1_024;
/// What it needs for each member that it knows, in bytes.
const MEMBER_BYTES: u64 = 800;
/// What a process needs beside its brokers, in KiB.
const PROCESS_KB: u64 = 12 * 1024;
/// Descriptors of a hollow broker: its socket, its store.
const HOLLOW_FILES: usize = 2;
/// Descriptors that a process needs beside.
const PROCESS_FILES: usize = 64;

/// What is played.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Its name, and that of the folder of its results.
    pub name: String,
    /// Seconds that the steps may take; what is left over is not done, and said.
    pub seconds: u64,
    /// Hollow brokers.
    pub hollow: usize,
    /// Real ones, a process each. They are no voters.
    pub real: usize,
    /// Processes of the program with the cluster off: what a real one costs without it.
    #[serde(default)]
    pub controls: usize,
    /// Processes of hollow brokers, beside one for each voter.
    pub hosts: usize,
    /// The first so many brokers are the seeds; the program makes the first of them voters.
    pub voters: usize,
    /// For chance.
    #[serde(default = "seed")]
    pub seed: u64,
    /// A turn that comes later than this, in milliseconds, makes the run void.
    #[serde(default = "turn_late_ms")]
    pub turn_late_ms: u64,
    /// Seconds over which the brokers are started; without it, a hundred brokers a second.
    pub start_s: Option<f64>,
    /// Seconds that the brokers may take to become one cluster.
    #[serde(default = "together_s")]
    pub together_s: u64,
    /// The loopback address of the relay; that of the brokers is the next. Without it, one from the process's number.
    pub address: Option<Ipv4Addr>,
    /// Regions with their zones.
    pub regions: Vec<Region>,
    /// What lies between.
    pub links: Links,
    /// As in the file of a cluster.
    #[serde(default)]
    pub times: Times,
    /// What is done, in this order.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

/// Sizes in the place of those of a file.
#[derive(Debug, Clone, Copy, Default)]
pub struct Other {
    /// See [`File::hollow`].
    pub hollow: Option<usize>,
    /// See [`File::hosts`].
    pub hosts: Option<usize>,
    /// See [`File::real`].
    pub real: Option<usize>,
}

/// A region.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// Its zones.
    pub zones: Vec<Zone>,
}

/// A zone.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// How many racks it has.
    pub racks: usize,
}

/// What lies between two brokers, one way.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Links {
    /// Milliseconds within a zone.
    pub within_zone_ms: f64,
    /// Milliseconds between zones of a region.
    pub within_region_ms: f64,
    /// Milliseconds between two regions, the nearest and the farthest: regions stand on a ring in their order.
    pub between_ms: (f64, f64),
    /// Part that is lost.
    pub loss: f64,
    /// Up to so many milliseconds more, drawn for each datagram.
    pub jitter_ms: f64,
}

/// As in the file of a cluster.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs)]
pub struct Times {
    pub probe_ms: u32,
    pub silence_ms: u32,
    pub settle_ms: u32,
    pub replace_s: u32,
    pub lease_ms: u32,
}

impl Default for Times {
    fn default() -> Self {
        Times { probe_ms: 500, silence_ms: 4_000, settle_ms: 500, replace_s: 30, lease_ms: 3_000 }
    }
}

/// Some brokers: those of a place, or so many that are no voters.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Whom {
    /// A region by its name.
    pub region: Option<String>,
    /// A zone by its name.
    pub zone: Option<String>,
    /// A rack: `ZONE/NUMBER`, numbers from 0.
    pub rack: Option<String>,
    /// So many, the last ones first.
    pub count: Option<usize>,
}

/// Which way a cut lies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// Nothing passes.
    #[default]
    Both,
    /// Nothing goes in.
    In,
    /// Nothing comes out.
    Out,
}

/// A cut.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutOff {
    /// A region by its name.
    pub region: Option<String>,
    /// A zone by its name.
    pub zone: Option<String>,
    /// A rack: `ZONE/NUMBER`.
    pub rack: Option<String>,
    /// Which way.
    #[serde(default)]
    pub direction: Direction,
    /// For how many seconds.
    pub for_s: f64,
    /// Changes asked meanwhile, at brokers that are not cut off.
    #[serde(default)]
    pub changes: usize,
}

impl CutOff {
    /// Who is cut off.
    pub fn whom(&self) -> Whom {
        Whom { region: self.region.clone(), zone: self.zone.clone(), rack: self.rack.clone(), count: None }
    }
}

/// So many in so long.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Over {
    /// How many.
    pub count: usize,
    /// In how many seconds.
    pub over_s: f64,
}

/// What is done, and not before when. Just one thing a step.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Seconds since all were together.
    pub at_s: f64,
    /// Changes: nodes taken out and put back, asked at different brokers.
    pub changes: Option<Over>,
    /// So many times the leading voter is killed, its loss waited for, and it is started again.
    pub kill_leader: Option<usize>,
    /// Brokers killed.
    pub kill: Option<Whom>,
    /// All that do not run are started.
    #[serde(default)]
    pub start: bool,
    /// A cut, and back.
    pub cut: Option<CutOff>,
    /// Brokers that go and come, one by one.
    pub restart: Option<Over>,
    /// The name of the phase that begins.
    pub mark: Option<String>,
}

fn seed() -> u64 {
    1
}

fn turn_late_ms() -> u64 {
    250
}

fn together_s() -> u64 {
    120
}

fn refuse<T>(key: impl std::fmt::Display, why: impl std::fmt::Display) -> Result<T, ScaleError> {
    Err(ScaleError::File(format!("{key}: {why}")))
}

impl File {
    /// Reads a file; with other sizes where some are given.
    pub fn read(path: &Path, other: Other) -> Result<File, ScaleError> {
        let text = std::fs::read_to_string(path).map_err(super::io(path.display().to_string()))?;
        File::parse(&text, other)
    }

    /// The same, from its text.
    pub fn parse(text: &str, other: Other) -> Result<File, ScaleError> {
        let mut file: File = toml::from_str(text).map_err(|e| ScaleError::File(e.to_string()))?;
        file.hollow = other.hollow.unwrap_or(file.hollow);
        file.hosts = other.hosts.unwrap_or(file.hosts);
        file.real = other.real.unwrap_or(file.real);
        file.check()?;
        Ok(file)
    }

    /// All brokers.
    pub fn size(&self) -> usize {
        self.hollow + self.real
    }

    /// Seconds over which brokers are started.
    pub fn start_s(&self) -> f64 {
        self.start_s.unwrap_or(self.size() as f64 / 100.0)
    }

    fn check(&self) -> Result<(), ScaleError> {
        let plain =
            |n: &str| !n.is_empty() && n.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !plain(&self.name) {
            return refuse("name", "letters, digits, -, _ and . alone");
        }
        let sizes = [("hollow", self.hollow), ("hosts", self.hosts), ("voters", self.voters)];
        if let Some((key, size)) = sizes.into_iter().find(|(_, size)| *size == 0) {
            return refuse(key, format!("{size}: one at least"));
        }
        if self.seconds == 0 {
            return refuse("seconds", "one at least");
        }
        if self.voters >= self.hollow {
            return refuse("voters", "voters are hollow brokers, and others must be left");
        }
        if self.hosts > self.hollow - self.voters {
            return refuse("hosts", "more than there are brokers for them");
        }
        if self.size() > MOST_BROKERS {
            return refuse("hollow", format!("{} brokers; {MOST_BROKERS} at most", self.size()));
        }
        if let Some(address) = self.address.filter(|a| !a.is_loopback()) {
            return refuse("address", format!("{address} is not on loopback"));
        }
        if self.regions.is_empty() {
            return refuse("regions", "one at least");
        }
        let mut names = BTreeSet::new();
        for region in &self.regions {
            if region.zones.is_empty() {
                return refuse("regions", format!("{} has no zone", region.name));
            }
            for zone in &region.zones {
                if zone.racks == 0 {
                    return refuse("racks", format!("{} has none", zone.name));
                }
            }
            for name in region.zones.iter().map(|z| &z.name).chain([&region.name]) {
                if !plain(name) || !names.insert(name) {
                    return refuse("regions", format!("{name:?} is named twice, or is no name"));
                }
            }
        }
        let Links { within_zone_ms, within_region_ms, between_ms, loss, jitter_ms } = self.links;
        let times = [
            ("within_zone_ms", within_zone_ms),
            ("within_region_ms", within_region_ms),
            ("between_ms", between_ms.0),
            ("between_ms", between_ms.1),
            ("jitter_ms", jitter_ms),
        ];
        for (key, ms) in times {
            if !(0.0..=10_000.0).contains(&ms) {
                return refuse(key, format!("{ms}: 0 to 10000"));
            }
        }
        if between_ms.0 > between_ms.1 {
            return refuse("between_ms", "the nearest first");
        }
        if !(0.0..1.0).contains(&loss) {
            return refuse("loss", format!("{loss}: 0 or more, and less than 1"));
        }
        if !self.start_s().is_finite() || self.start_s() < 0.0 {
            return refuse("start_s", "0 or more");
        }
        self.steps.iter().enumerate().try_for_each(|(i, step)| self.check_step(i, step))
    }

    fn check_step(&self, i: usize, step: &Step) -> Result<(), ScaleError> {
        let key = |what: &str| format!("step {i}: {what}");
        let things = [
            step.changes.is_some(),
            step.kill_leader.is_some(),
            step.kill.is_some(),
            step.start,
            step.cut.is_some(),
            step.restart.is_some(),
            step.mark.is_some(),
        ];
        if things.iter().filter(|t| **t).count() != 1 {
            return refuse(key("at_s"), "just one thing to do");
        }
        if !(0.0..=self.seconds as f64).contains(&step.at_s) {
            return refuse(key("at_s"), format!("{}: within the {} seconds", step.at_s, self.seconds));
        }
        for (what, over) in [("changes", step.changes), ("restart", step.restart)] {
            if over.is_some_and(|o| o.count == 0 || !(0.0..=self.seconds as f64).contains(&o.over_s)) {
                return refuse(key(what), "count of one at least, over_s within seconds");
            }
        }
        if step.kill_leader == Some(0) {
            return refuse(key("kill_leader"), "once at least");
        }
        let placement = self.placement();
        if let Some(whom) = &step.kill {
            placement.find(self, whom).map_err(|why| ScaleError::File(format!("{} {why}", key("kill"))))?;
        }
        if step.restart.is_some_and(|o| o.count > self.size() - self.voters) {
            return refuse(key("restart"), "more than there are brokers that are no voters");
        }
        if let Some(cut) = &step.cut {
            placement
                .find(self, &cut.whom())
                .map_err(|why| ScaleError::File(format!("{} {why}", key("cut"))))?;
            if !(0.0..=self.seconds as f64).contains(&cut.for_s) {
                return refuse(key("for_s"), "within seconds");
            }
        }
        Ok(())
    }

    /// Refuses what this machine does not bear, with figures.
    pub fn bears(&self, machine: &Machine) -> Result<(), ScaleError> {
        let over = |text: String| Err(ScaleError::Machine(text));
        let processes = self.hosts + self.voters + self.real + self.controls + 1;
        if processes > MOST_PROCESSES {
            return over(format!(
                "hosts + voters + real + controls make {processes} processes; {MOST_PROCESSES} at most"
            ));
        }
        let each = HOLLOW_KB + self.size() as u64 * MEMBER_BYTES / 1024;
        let mb = (self.size() as u64 * each + processes as u64 * PROCESS_KB) / 1024;
        let most = MOST_MEMORY_MB.min(machine.memory_mb);
        if mb > most {
            return over(format!("hollow = {}: some {mb} MiB of memory; {most} at most", self.hollow));
        }
        // Two for each broker at the relay; a host's share where hosts are equal but one.
        let relay = 2 * self.size() + 4 * processes + PROCESS_FILES;
        let host = HOLLOW_FILES * self.hollow.div_ceil(self.hosts.saturating_sub(1).max(1)) + PROCESS_FILES;
        let files = relay.max(host);
        if files as u64 > machine.files {
            return over(format!("hollow = {}: {files} descriptors; {} at most", self.hollow, machine.files));
        }
        Ok(())
    }

    /// Where each broker stands.
    pub fn placement(&self) -> Placement {
        let deepest = self.regions.iter().map(|r| r.zones.len()).max().unwrap_or(1);
        let mut zones = Vec::new();
        for depth in 0..deepest {
            for (region, r) in self.regions.iter().enumerate() {
                if let Some(zone) = r.zones.get(depth) {
                    zones.push((region, zone.clone()));
                }
            }
        }
        let of = |broker: usize| {
            let zone = broker % zones.len();
            let rack = broker / zones.len() % zones[zone].1.racks;
            Place { region: zones[zone].0, zone, rack }
        };
        let places = (0..self.size()).map(of).collect();
        Placement { places, zones: zones.into_iter().map(|(_, zone)| zone).collect() }
    }
}

/// Where a broker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The number of its region.
    pub region: usize,
    /// The number of its zone, over all regions.
    pub zone: usize,
    /// The number of its rack in its zone.
    pub rack: usize,
}

/// Where all stand: brokers go around the zones, so that the first ones are in different regions.
#[derive(Debug, Clone)]
pub struct Placement {
    /// By broker.
    pub places: Vec<Place>,
    /// By number: one of each region first, then the second of each.
    pub zones: Vec<Zone>,
}

impl Placement {
    /// The brokers that are meant; refused by key where there are none.
    pub fn find(&self, file: &File, whom: &Whom) -> Result<Vec<usize>, String> {
        let zone_of = |name: &str| self.zones.iter().position(|z| z.name == name);
        let those = |fits: &dyn Fn(&Place) -> bool| -> Vec<usize> {
            self.places.iter().enumerate().filter(|(_, p)| fits(p)).map(|(i, _)| i).collect()
        };
        let found = match whom {
            Whom { region: Some(name), zone: None, rack: None, count: None } => {
                let region = file.regions.iter().position(|r| r.name == *name);
                let region = region.ok_or_else(|| format!("region = {name:?}: there is none"))?;
                those(&|p| p.region == region)
            }
            Whom { region: None, zone: Some(name), rack: None, count: None } => {
                let zone =
                    zone_of(name).ok_or_else(|| format!("zone = {name:?}: there is none in a region"))?;
                those(&|p| p.zone == zone)
            }
            Whom { region: None, zone: None, rack: Some(name), count: None } => {
                let parts =
                    name.split_once('/').and_then(|(z, n)| Some((zone_of(z)?, n.parse::<usize>().ok()?)));
                let (zone, rack) = parts.ok_or_else(|| format!("rack = {name:?}: a rack is ZONE/NUMBER"))?;
                those(&|p| p.zone == zone && p.rack == rack)
            }
            Whom { region: None, zone: None, rack: None, count: Some(count) } => {
                let least = file.voters;
                (least..file.size()).rev().take(*count).collect()
            }
            _ => return Err("one of region, zone, rack and count".to_string()),
        };
        if found.is_empty() || found.len() == file.size() {
            return Err(format!("{} brokers of {}: some, and not all", found.len(), file.size()));
        }
        Ok(found)
    }
}
