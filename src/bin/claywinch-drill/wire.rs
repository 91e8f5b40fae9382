//! The simulator's protocol: parses its messages into scheduler events and writes the scheduler's actions.

use claywinch::interface::*;
use claywinch::rules::Scheduler;
use claywinch::run::settings::{self, micros, Start};
use claywinch::wire::discovery::thousandths;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One scheduler, with its start settings, which map names in messages to indices.
struct Instance {
    scheduler: Scheduler,
    start: Start,
    /// Events for this scheduler in the current batch.
    events: Vec<Event>,
}

/// All schedulers of this process. They share only the node lists, which the simulator sends once for all of
/// them.
#[derive(Default)]
pub struct Host {
    now: Option<Time>,
    /// The node list that is being read: its number and the number of entries still to come.
    open_list: Option<(u64, u64)>,
    lists: BTreeMap<u64, Vec<Vec<String>>>,
    instances: BTreeMap<String, Instance>,
    in_batch: bool,
    /// Schedulers with events in the current batch, in the order of their first event.
    touched: Vec<String>,
    actions: Vec<Action>,
    reply: String,
}

/// The tab-separated fields of one message, read in order.
struct Fields<'a> {
    message: &'a str,
    parts: Vec<&'a str>,
    next: usize,
}

impl<'a> Fields<'a> {
    fn raw(&mut self, name: &str) -> Result<&'a str, String> {
        let part =
            self.parts.get(self.next).ok_or_else(|| format!("{}: field {name} is missing", self.message))?;
        self.next += 1;
        Ok(part)
    }
    fn bad<T>(&self, name: &str, value: &str, what: &str) -> Result<T, String> {
        Err(format!("{}: field {name} is '{value}', not {what}", self.message))
    }
    fn text(&mut self, name: &str) -> Result<&'a str, String> {
        match self.raw(name)? {
            "" => self.bad(name, "", "a text"),
            value => Ok(value),
        }
    }
    fn integer(&mut self, name: &str, below: u64) -> Result<u64, String> {
        let value = self.raw(name)?;
        match value.parse::<u64>() {
            Ok(n) if n < below => Ok(n),
            _ => self.bad(name, value, &format!("a whole number below {below}")),
        }
    }
    fn number(&mut self, name: &str) -> Result<f64, String> {
        let value = self.raw(name)?;
        match value.parse::<f64>() {
            Ok(n) if n.is_finite() && n.abs() < 1e12 => Ok(n),
            _ => self.bad(name, value, "a number in range"),
        }
    }
    /// Reads a number; `-` stands for an absent number and gives 0.
    fn number_or_0(&mut self, name: &str) -> Result<f64, String> {
        if self.parts.get(self.next) == Some(&"-") {
            self.next += 1;
            return Ok(0.0);
        }
        self.number(name)
    }
    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.raw(name)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            value => self.bad(name, value, "1 or 0"),
        }
    }
    fn index(&mut self, name: &str, names: &[String]) -> Result<usize, String> {
        let value = self.raw(name)?;
        match names.iter().position(|n| n == value) {
            Some(index) => Ok(index),
            None => self.bad(name, value, "one of the settings"),
        }
    }
    fn ending(&mut self) -> Result<Ending, String> {
        Ok(match self.raw("ending")? {
            "pass" => Ending::Served,
            "fault" => Ending::Error,
            "no_room" => Ending::Full,
            "too_slow" => Ending::TimedOut,
            "no_route" => Ending::Unreachable,
            "cut" => Ending::Reset,
            "undone" => Ending::Cancelled,
            "stale_send" => Ending::NotSent,
            value => return self.bad("ending", value, "an ending"),
        })
    }
    /// Reads a load report and returns its CPU utilisation, the only value that the scheduler uses.
    fn util(&mut self) -> Result<Option<f64>, String> {
        let value = self.raw("server_stats")?;
        let mut util = None;
        for pair in value.split(',').filter(|_| value != "-") {
            match pair.split_once(':').map(|(name, v)| (name, v.parse::<f64>())) {
                Some((name, Ok(v))) if v.is_finite() => {
                    if name == "busy" {
                        util = Some(v);
                    }
                }
                _ => return self.bad("server_stats", value, "name:value pairs"),
            }
        }
        Ok(util)
    }
}

impl Host {
    /// Called when the input ends; returns an error if it ended inside a batch.
    pub fn at_end(&self) -> Result<(), String> {
        match self.in_batch {
            true => Err("the input ended inside a batch".to_string()),
            false => Ok(()),
        }
    }

    /// Processes a line and returns the reply if the line ended a batch.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, String> {
        let mut parts = line.split('\t');
        let message = parts.next().unwrap_or("");
        let mut f = Fields { message, parts: parts.collect(), next: 0 };
        if let Some((list, left)) = self.open_list {
            if message != "ITEM" {
                return Err(format!("{message}: expected {left} more ITEM lines of LEDGER {list}"));
            }
            let entry = f.parts.iter().map(|p| p.to_string()).collect();
            self.lists.entry(list).or_default().push(entry);
            self.open_list = (left > 1).then_some((list, left - 1));
            return Ok(None);
        }
        match (message, self.in_batch) {
            ("SYNC", false) => {
                let now = micros(f.number("clock")?);
                if self.now.is_some_and(|last| now < last) {
                    return f.bad("clock", f.parts[0], "later than the last");
                }
                self.now = Some(now);
                self.in_batch = true;
            }
            ("EOF_BATCH", true) => {
                self.in_batch = false;
                self.decide();
                self.reply.push_str("DONE\n");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            ("LEDGER", true) => {
                let (list, entries) = (f.integer("roster_id", 16)?, f.integer("members_list", 1 << 32)?);
                self.lists.insert(list, Vec::new());
                self.open_list = (entries > 0).then_some((list, entries));
            }
            (_, true) => self.event(&mut f)?,
            (_, false) => return Err(format!("{message}: expected SYNC")),
        }
        Ok(None)
    }

    /// Processes a message inside a batch, other than a node list.
    fn event(&mut self, f: &mut Fields) -> Result<(), String> {
        let now = self.now.unwrap_or(0);
        if ![
            "LAUNCH",
            "SHUTDOWN",
            "MEMBERS",
            "INBOUND",
            "RESOLVED",
            "TIMED_OUT_CLIENT",
            "ALARM",
            "PROBE_RESULT",
        ]
        .contains(&f.message)
        {
            return match f.message {
                "OPENED" | "PEER_DATA" => Ok(()), // The scheduler uses neither streams nor peers.
                _ => Err(format!("{}: unknown message", f.message)),
            };
        }
        let name = f.text("scheduler_id")?;
        if f.message == "LAUNCH" {
            let seed = f.integer("salt", u64::MAX)?;
            let conf = f.parts[f.next.min(f.parts.len())..].join("\t");
            let start = settings::read(&conf).map_err(|e| format!("LAUNCH: {e}"))?;
            let scheduler =
                Scheduler::new(start.settings.clone(), seed, now).map_err(|e| format!("LAUNCH: {e}"))?;
            self.instances.insert(name.to_string(), Instance { scheduler, start, events: Vec::new() });
            return Ok(());
        }
        if f.message == "SHUTDOWN" {
            return match self.instances.remove(name) {
                Some(_) => Ok(()),
                None => f.bad("scheduler_id", name, "a running instance"),
            };
        }
        let Some(instance) = self.instances.get_mut(name) else {
            return f.bad("scheduler_id", name, "a running instance");
        };
        let event = match f.message {
            "MEMBERS" => members(f, &instance.start, &self.lists)?,
            "INBOUND" => inbound(f, &instance.start)?,
            "RESOLVED" => resolved(f)?,
            "TIMED_OUT_CLIENT" => Event::ClientGone(f.integer("id", 1 << 52)?),
            "ALARM" => {
                f.integer("tag", 1 << 63)?;
                Event::Timer
            }
            _ => {
                let (ending, node) = (f.ending()?, f.integer("server", 1 << 32)? as NodeId);
                f.number_or_0("wait_time_s")?;
                Event::Probed(node, ending, f.util()?)
            }
        };
        if instance.events.is_empty() {
            self.touched.push(name.to_string());
        }
        instance.events.push(event);
        Ok(())
    }

    /// Passes each scheduler its events of the batch in one call and appends its actions to the reply.
    fn decide(&mut self) {
        let now = self.now.unwrap_or(0);
        for name in std::mem::take(&mut self.touched) {
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            instance.scheduler.handle(now, instance.events.drain(..), &mut self.actions);
            for action in self.actions.drain(..) {
                write_action(&mut self.reply, &name, &action);
            }
        }
    }
}

fn members(f: &mut Fields, start: &Start, lists: &BTreeMap<u64, Vec<Vec<String>>>) -> Result<Event, String> {
    let kind = match f.raw("how")? {
        "diff" => ListKind::Changes,
        "snapshot" => ListKind::Full,
        "disk" => ListKind::Saved,
        "error" => return Ok(Event::Nodes(ListKind::Failed, Vec::new())),
        value => return f.bad("how", value, "a way of discovery"),
    };
    f.raw("epoch")?;
    let list = f.integer("roster_id", 16)?;
    let Some(rows) = lists.get(&list) else {
        return f.bad("roster_id", &list.to_string(), "a list that was given");
    };
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        let mut f = Fields { message: "ITEM", parts: row.iter().map(String::as_str).collect(), next: 0 };
        let node = f.integer("server", 1 << 32)? as NodeId;
        let zone = f.index("failure_domain", &start.zones)? as u32;
        f.text("machine")?;
        let shard = f.integer("pod", 1 << 32)? as ShardId;
        let state = match f.raw("stage_state")? {
            "in_service" => NodeState::Up,
            "terminating" => NodeState::Draining,
            "terminated" => NodeState::Gone,
            value => return f.bad("stage_state", value, "a state"),
        };
        let size = Some(f.number_or_0("power_hint")?).filter(|_| start.sizes).map_or(0, thousandths);
        let started = Some(f.number_or_0("last_start_s")?).filter(|s| *s > 0.0).map(micros);
        entries.push(NodeEntry { node, zone, shard, state, started, size });
    }
    Ok(Event::Nodes(kind, entries))
}

fn inbound(f: &mut Fields, start: &Start) -> Result<Event, String> {
    let id = f.integer("id", 1 << 52)?;
    let class = f.index("band", &start.classes)?;
    let plan = f.index("service_level", &start.plans)?;
    let key = Some(f.text("region")?).filter(|k| *k != "-").map(str::to_string);
    let due = micros(f.number("due_s")?);
    let volume = f.text("disk")?.to_string();
    let units = f.number_or_0("price_units")?;
    let shard = match f.raw("group_no")? {
        "-" | "-1" => None,
        value => match value.parse::<ShardId>() {
            Ok(shard) => Some(shard),
            Err(_) => return f.bad("group_no", value, "a shard or -1"),
        },
    };
    let volume_hosts = f.integer("attached", 1 << 32)? as u32;
    let repeat = f.flag("is_retry")?;
    f.flag("mutates")?;
    Ok(Event::Request(Arrival { id, class, plan, key, due, volume, units, shard, volume_hosts, repeat }))
}

fn resolved(f: &mut Fields) -> Result<Event, String> {
    Ok(Event::Outcome(Outcome {
        id: f.integer("id", 1 << 52)?,
        attempt: f.integer("attempt", 1 << 32)? as u32,
        ending: f.ending()?,
        closed: f.flag("closed")?,
        served_elsewhere: f.number_or_0("from_others")?,
        volume_use: Some(f.number_or_0("metered")?).filter(|v| *v >= 1.0).map(|v| (v - 1.0) / 100.0),
        node: f.integer("server", 1 << 32)? as NodeId,
        elapsed: micros(f.number_or_0("wait_time_s")?),
        util: f.util()?,
    }))
}

fn write_action(out: &mut String, name: &str, action: &Action) {
    let seconds = |t: &Time| *t as f64 / 1e6;
    let _ = match action {
        Action::Send { id, node, until, .. } => {
            writeln!(out, "TRANSMIT\t{name}\t{id}\t{node}\t{:.6}", seconds(until))
        }
        Action::Refuse(id, after, _) => writeln!(out, "DENY\t{name}\t{id}\t{:.6}", seconds(after)),
        Action::Fail(id, _) => writeln!(out, "SURRENDER\t{name}\t{id}"),
        Action::Cancel(id, attempt) => writeln!(out, "DROP_ATTEMPT\t{name}\t{id}\t{attempt}"),
        Action::Probe(node) => writeln!(out, "HEALTH_CHECK\t{name}\t{node}"),
        Action::Timer(after) => writeln!(out, "NOTIFY_ME\t{name}\t0\t{:.6}", seconds(after)),
        Action::Subscribe => writeln!(out, "LISTEN\t{name}\t1"),
        Action::Log(text) => writeln!(out, "LOG\t{name}\t{text}"),
    };
}
