//! The file under `deploy/` that says what the NBD front serves and where it listens: exports, the nodes
//! that hold them, the plans of their volumes, and the peers that agree on all that.

use super::config::{read_file, ConfigError};
use crate::interface::{Class, Effect, NodeEntry, NodeState, Plan, Settings, ShardId, Time};
use crate::state::integrity::{Facts, Geometry, BLOCK, MOST_BROKERS, PAGE};
use crate::state::planner::ListedNode;
use crate::wire::discovery::NodeNumbers;
use crate::wire::nbd::server::{Catalogue, Export, Kind};
use crate::wire::nbd::ExportName;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::rc::Rc;

/// The whole file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deploy {
    /// Where NBD clients connect; the front is off without it.
    pub listen: Option<String>,
    /// Brokers that serve the exports, this one included.
    #[serde(default = "one")]
    pub brokers: u32,
    /// How the scheduler is to treat requests of each kind.
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassFile>,
    /// What a node that has just started bears.
    #[serde(default)]
    pub cold: Cold,
    /// The instances that agree on the shared part; none or one: nothing is to be agreed on.
    #[serde(default, rename = "peer")]
    pub peers: Vec<Peer>,
    /// Number of this instance among the peers.
    #[serde(default)]
    pub own_peer: u64,
    /// How sums are kept, where exports have them.
    #[serde(default)]
    pub integrity: IntegrityFile,
    /// File in which this instance keeps what it has promised its peers, so that it may be restarted.
    pub kept: Option<PathBuf>,
    /// What the peers agree on.
    #[serde(flatten)]
    pub shared: Shared,
}

/// The part of the file that holds for all brokers and that peers agree on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shared {
    /// Plans of volumes.
    #[serde(default, rename = "plan")]
    pub plans: Vec<PlanFile>,
    /// Exports.
    #[serde(default, rename = "export")]
    pub exports: Vec<ExportFile>,
    /// Nodes.
    #[serde(default, rename = "node")]
    pub nodes: Vec<NodeFile>,
}

/// How sums are kept.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IntegrityFile {
    /// Which of the `brokers` this one is, from 1; each has a page of its own in a companion.
    pub own_broker: Option<u8>,
    /// How long after it was given up a node may yet carry out a write.
    pub late_ms: u32,
    /// Memory for pages of sums.
    pub memory_kb: u32,
    /// Days in which all of an export should be read once to find what has gone bad; 0: it is not read.
    pub scrub_days: f64,
}

impl Default for IntegrityFile {
    fn default() -> Self {
        IntegrityFile { own_broker: None, late_ms: 2_000, memory_kb: 1_024, scrub_days: 7.0 }
    }
}

impl IntegrityFile {
    /// Pages that fit into the memory.
    pub fn pages(&self) -> usize {
        self.memory_kb as usize * 1024 / (PAGE as usize + 512)
    }
}

/// The sum that is kept of each block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SumFile {
    /// CRC-32C (Castagnoli).
    Crc32c,
}

/// An instance that takes part in agreeing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number, from 1.
    pub id: u64,
    /// Where it listens for its peers.
    pub address: String,
}

/// Whether requests of a class may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// They may.
    Safe,
    /// They must never run twice.
    Never,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassFile {
    /// Its name.
    pub name: String,
    /// Time within which an answer earns the full worth.
    pub wanted_ms: u32,
    /// How long a client waits.
    pub deadline_ms: u32,
    /// Worth of a request of mean size.
    pub worth: f64,
    /// Part of it that a later answer earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether they may run again.
    pub repeat: Repeat,
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanFile {
    /// Its name.
    pub name: String,
    /// Units a second that a volume is sized for.
    pub rate: f64,
    /// Units a second that are reserved.
    pub reserve: f64,
    /// Weight in what is left.
    #[serde(default = "whole")]
    pub weight: f64,
    /// Factor on the worth.
    #[serde(default = "whole")]
    pub price: f64,
}

/// An export.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExportFile {
    /// Its name, with clients and nodes alike.
    pub name: String,
    /// Its size in bytes.
    pub size: u64,
    /// Whether it takes no writes.
    #[serde(default)]
    pub read_only: bool,
    /// The shard that holds it.
    pub shard: ShardId,
    /// Its plan.
    pub plan: String,
    /// Whether sums are kept of its blocks, in a companion of the same name with `.sums` behind it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub integrity: Option<SumFile>,
    /// Classes of its reads, writes and flushes.
    pub read: String,
    /// See `read`.
    pub write: String,
    /// See `read`.
    pub flush: String,
}

/// A node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeFile {
    /// Its name, the same at all brokers.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Whether it takes work.
    #[serde(default)]
    pub state: StateFile,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: Time,
}

/// Whether a node takes work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StateFile {
    /// It does.
    #[default]
    Ready,
    /// It finishes what it has and wants nothing new.
    Draining,
}

/// What a node that has just started bears.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cold {
    /// Units within `window_ms`, from all brokers together.
    pub units: f64,
    /// Part of its capacity that it starts with.
    pub from: f64,
    /// Time within which it is warm.
    pub warm_ms: u32,
    /// Time over which too much work makes it fall over.
    pub window_ms: u32,
}

impl Default for Cold {
    /// The figures of the platform's rules on cold nodes.
    fn default() -> Self {
        Cold { units: 13.0, from: 0.15, warm_ms: 18_000, window_ms: 1_500 }
    }
}

fn one() -> u32 {
    1
}

fn whole() -> f64 {
    1.0
}

/// Bytes that count as one unit.
const UNIT: u32 = 64 * 1024;
/// Most units of one request.
const MOST_UNITS: u32 = 16;

/// Most attempts of one request.
const ATTEMPTS: u32 = 4;

/// How long a read of the scrubber is waited for: longer than nodes stand still.
const SCRUB_DEADLINE: Time = 1_000_000;

/// Reads of the scrubber: of next to no worth, so that everything else goes first.
fn scrub_class() -> Class {
    let (aim, value) = (SCRUB_DEADLINE, 1e-3);
    Class { aim, value, late_value: 1.0, effect: Effect::Safe, window: 0, ordered: false, attempts: ATTEMPTS }
}

fn micros(ms: u32) -> Time {
    Time::from(ms) * 1000
}

impl Deploy {
    /// Reads the file; nothing if there is none.
    pub fn load(path: &str) -> Result<Option<Self>, ConfigError> {
        match std::path::Path::new(path).exists() {
            true => Self::parse(path, &read_file(path)?).map(Some),
            false => Ok(None),
        }
    }

    /// Reads the text of the file.
    pub fn parse(path: &str, text: &str) -> Result<Self, ConfigError> {
        let content = |reason: String| ConfigError::Content { path: path.to_string(), reason };
        let deploy: Deploy = toml::from_str(text).map_err(|e| content(e.to_string()))?;
        deploy.shared.catalogue(&deploy).map_err(content)?;
        let own = |p: &Peer| p.id == deploy.own_peer && p.id > 0;
        if !deploy.peers.is_empty() && !deploy.peers.iter().any(own) {
            return Err(content(format!("own_peer {} is not among the peers", deploy.own_peer)));
        }
        Ok(deploy)
    }

    /// How this broker scrubs an export, if it is the one that does: the broker that comes first by the export's
    /// name, so that exports are shared out without a word among brokers.
    fn scrubs(&self, export: &str) -> Option<(Kind, Time)> {
        let own = self.integrity.own_broker.unwrap_or(1);
        let rank = |broker: u8| crc32c::crc32c_append(crc32c::crc32c(export.as_bytes()), &[broker]);
        let first = (1..=self.brokers.min(u32::from(MOST_BROKERS)) as u8).max_by_key(|b| rank(*b));
        let within = (self.integrity.scrub_days * 86_400e6) as Time;
        // Its class stands behind those of the file.
        let kind = Kind { class: self.classes.len(), deadline: SCRUB_DEADLINE };
        (within > 0 && first == Some(own)).then_some((kind, within))
    }

    /// Settings for the scheduler of the NBD fleet.
    pub fn settings(&self) -> Settings {
        let class = |c: &ClassFile| Class {
            aim: micros(c.wanted_ms),
            value: c.worth,
            late_value: c.late_worth,
            effect: if c.repeat == Repeat::Safe { Effect::Safe } else { Effect::Unsafe },
            window: 0,
            ordered: false,
            attempts: ATTEMPTS,
        };
        let plan = |p: &PlanFile| Plan {
            rate: p.rate,
            reserve: p.reserve,
            weight: p.weight,
            price: p.price,
            limit: None,
        };
        Settings {
            hosts: self.brokers,
            number: u32::from(self.integrity.own_broker.unwrap_or(1)).saturating_sub(1),
            classes: self.classes.iter().map(class).chain([scrub_class()]).collect(),
            plans: self.shared.plans.iter().map(plan).collect(),
            mean_units: 2.0,
            max_units: f64::from(MOST_UNITS),
            share_value: 0.4,
            spare_value: 0.05,
            meter_period: 0,
            reports_elsewhere: false,
            list_on_request: false,
            concurrent_attempts: false,
            cancel: true,
            probes: false,
            max_retry_after: 2_000_000,
            cold_units: self.cold.units,
            cold_fraction: self.cold.from,
            warmup_time: micros(self.cold.warm_ms),
            cold_window: micros(self.cold.window_ms),
            key_cooldown: 0,
            budget: None,
        }
    }
}

impl Shared {
    /// The exports as sessions know them, for a broker with the classes of `deploy`.
    pub fn catalogue(&self, deploy: &Deploy) -> Result<Catalogue, String> {
        let kind = |export: &ExportFile, name: &str| {
            let place = deploy.classes.iter().position(|c| c.name == name);
            let class = place.ok_or_else(|| format!("export {}: no class {name}", export.name))?;
            Ok::<_, String>(Kind { class, deadline: micros(deploy.classes[class].deadline_ms) })
        };
        let facts = |e: &ExportFile| {
            let wrong = |reason: &str| Err(format!("export {}: integrity: {reason}", e.name));
            let own = match (deploy.brokers, deploy.integrity.own_broker) {
                (1, None) => 1,
                (_, None) => return wrong("with several brokers, own_broker under [integrity] must be set"),
                (_, Some(own)) => own,
            };
            if deploy.brokers > u32::from(MOST_BROKERS) {
                return wrong("at most 5 brokers can keep the sums of an export");
            }
            if own == 0 || u32::from(own) > deploy.brokers {
                return wrong("own_broker under [integrity] must be from 1 to the number of brokers");
            }
            if !(0.0..=36_500.0).contains(&deploy.integrity.scrub_days) {
                return wrong("scrub_days under [integrity] must be from 0 to 36500");
            }
            if !e.size.is_multiple_of(BLOCK) {
                return wrong("size must be a multiple of 4096");
            }
            let companion = ExportName::new(&e.name).companion();
            if self.exports.iter().any(|other| other.name == companion.as_str()) {
                return wrong("its companion has the name of another export");
            }
            let shape = Geometry { blocks: e.size / BLOCK, brokers: deploy.brokers as u8 };
            let late = micros(deploy.integrity.late_ms);
            Ok(Facts { name: e.name.clone(), shard: e.shard, shape, broker: own - 1, late })
        };
        let export = |e: &ExportFile| {
            let plan = deploy.shared.plans.iter().position(|p| p.name == e.plan);
            let name = ExportName::new(&e.name);
            Ok(Some(Rc::new(Export {
                companion: name.companion(),
                name,
                size: e.size,
                read_only: e.read_only,
                shard: e.shard,
                plan: plan.ok_or_else(|| format!("export {}: no plan {}", e.name, e.plan))?,
                hosts: deploy.brokers,
                kinds: [kind(e, &e.read)?, kind(e, &e.write)?, kind(e, &e.flush)?],
                unit: UNIT,
                most_units: MOST_UNITS,
                scrub: e.integrity.and_then(|_| deploy.scrubs(&e.name)),
                sums: e.integrity.map(|_| facts(e)).transpose()?,
            })))
        };
        let never = |name: &str| deploy.classes.iter().any(|c| c.name == name && c.repeat == Repeat::Never);
        if let Some(e) = self.exports.iter().find(|e| !e.read_only && !never(&e.write)) {
            return Err(format!("export {}: class {} may run twice, writes must not", e.name, e.write));
        }
        for (i, e) in self.exports.iter().enumerate() {
            if e.size == 0 || self.exports[..i].iter().any(|other| other.name == e.name) {
                return Err(format!("export {}: its size is 0 or its name stands twice", e.name));
            }
        }
        self.exports.iter().map(export).collect::<Result<_, String>>().map(Catalogue)
    }

    /// The nodes as the planner knows them.
    pub fn members(&self, numbers: &mut NodeNumbers) -> Vec<ListedNode> {
        let member = |n: &NodeFile| {
            let entry = NodeEntry {
                node: numbers.number(&n.id),
                zone: 0,
                shard: n.shard,
                state: if n.state == StateFile::Ready { NodeState::Up } else { NodeState::Draining },
                started: Some(n.up_since_ms).filter(|ms| *ms > 0).map(|ms| ms * 1000),
                size: 0,
            };
            ListedNode { entry, address: n.address.clone() }
        };
        self.nodes.iter().map(member).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<Deploy, ConfigError> {
        Deploy::parse("nbd.toml", text)
    }

    #[test]
    fn the_file_that_is_shipped_leaves_the_front_off() {
        let text = include_str!("../../deploy/nbd.toml");
        assert_eq!(parse(text).expect("it can be read").listen, None);
        // Its example, with the comment signs taken off, is a file that works.
        let bare = |line: &str| line.strip_prefix("# ").unwrap_or("").to_string();
        let example: Vec<String> = text.lines().map(bare).collect();
        let deploy = parse(&example.join("\n")).expect("the example can be read");
        let catalogue = deploy.shared.catalogue(&deploy).expect("it fits together");
        assert_eq!((catalogue.0.len(), deploy.shared.nodes.len(), deploy.peers.len()), (1, 1, 1));
        assert_eq!(deploy.settings().classes[0].effect, Effect::Safe);
    }

    #[test]
    fn what_does_not_fit_together_is_refused() {
        let export = "[[export]]\nname='e'\nsize=1\nshard=0\nplan='p'\nread='c'\nwrite='w'\nflush='c'\n";
        let class = "[[class]]\nname='c'\nwanted_ms=1\ndeadline_ms=9\nworth=1.0\nrepeat='safe'\n";
        let once = class.replace("'c'", "'w'").replace("safe", "never");
        let class = format!("{class}{once}");
        let plan = "[[plan]]\nname='p'\nrate=1.0\nreserve=1.0\n";
        assert!(parse(&format!("{class}{plan}{export}")).is_ok());
        let twice = format!("{class}{plan}{export}{export}");
        let unsafe_write = format!("{class}{plan}{}", export.replace("write='w'", "write='c'"));
        let peers = "[[peer]]\nid=1\naddress='127.0.0.1:1'\n";
        for bad in [
            format!("{plan}{export}"),
            format!("{class}{export}"),
            twice,
            unsafe_write,
            peers.into(),
            "x = ".into(),
        ] {
            assert!(parse(&bad).is_err(), "{bad}");
        }
    }
}
