//! What was seen in a scale run, and the checkers that look at it.

use super::host::Whole;
use crate::rig::view_of;
use crate::simulated::{Broken, History};
use claywinch::state::membership::{Member, View};
use std::collections::{BTreeMap, BTreeSet};

/// What was seen of a broker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// It runs from now on, with nothing in force, or not any more.
    Runs(bool),
    /// It may send nothing to nodes, or may again. One that starts may not.
    Halted(bool),
    /// A node is out here, or back.
    Out(String, bool),
}

/// A change of what is out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The node.
    pub node: String,
    /// Whether it goes out.
    pub out: bool,
    /// When it was asked for, in nanoseconds.
    pub asked: u64,
    /// When it was told to be agreed on.
    pub acked: Option<u64>,
}

/// All that the checkers look at, of one run; times are in nanoseconds.
#[derive(Debug, Default)]
pub struct Evidence {
    brokers: BTreeMap<String, Vec<(u64, Seen)>>,
    in_force: BTreeMap<String, BTreeSet<String>>,
    /// Changes in the order in which they were asked for.
    pub changes: Vec<Change>,
    views: BTreeMap<u64, u64>,
    last: BTreeMap<String, u64>,
    history: History,
}

impl Evidence {
    /// Takes that a broker runs, or not any more.
    pub fn runs(&mut self, at: u64, name: &str, runs: bool) {
        self.in_force.remove(name);
        self.last.remove(name);
        self.note(at, name, Seen::Runs(runs));
    }

    /// Takes that a broker may send nothing, or may again.
    pub fn halted(&mut self, at: u64, name: &str, halted: bool) {
        self.note(at, name, Seen::Halted(halted));
    }

    /// Takes all that is out at a broker; gives what has changed.
    pub fn in_force(&mut self, at: u64, name: &str, nodes: &BTreeSet<String>) -> Vec<(String, bool)> {
        let before = self.in_force.insert(name.to_string(), nodes.clone()).unwrap_or_default();
        let out = nodes.difference(&before).map(|n| (n.clone(), true));
        let back = before.difference(nodes).map(|n| (n.clone(), false));
        let changed: Vec<(String, bool)> = out.chain(back).collect();
        for (node, out) in &changed {
            self.note(at, name, Seen::Out(node.clone(), *out));
        }
        changed
    }

    fn note(&mut self, at: u64, name: &str, seen: Seen) {
        match self.brokers.get_mut(name) {
            Some(all) => all.push((at, seen)),
            None => drop(self.brokers.insert(name.to_string(), vec![(at, seen)])),
        }
    }

    /// Takes a view that a broker has.
    pub fn view(&mut self, at: u64, name: &str, view: &Whole) {
        let digest = view.digest();
        let seen = self.last.insert(name.to_string(), view.number).unwrap_or(0);
        let known = self.views.get(&view.number) == Some(&digest);
        if known && view.number >= seen {
            return;
        }
        self.views.entry(view.number).or_insert(digest);
        let member = |(name, incarnation): &(String, u64)| Member {
            name: name.clone(),
            address: String::new(),
            incarnation: *incarnation,
            life: 0,
        };
        let members = view.members.iter().map(member).collect();
        let view = View { number: view.number, members, drains: view.drains.clone(), ..View::default() };
        // The same number again is no step back: it is another view, or it would be known.
        let seen = if seen == view.number { seen - 1 } else { seen };
        self.history.adopted((at / 1_000) as i64, name, seen, &view);
    }

    /// Takes the log of a real broker; gives how many views it told.
    pub fn log(&mut self, name: &str, log: &str) -> usize {
        let mut views = 0;
        for line in log.lines() {
            let Some(at) = line.split_whitespace().next().and_then(unix) else { continue };
            if line.contains("cluster on") {
                self.last.remove(name);
                self.in_force.remove(name);
            }
            if let Some(halted) = line.split_once(" halted=").and_then(|(_, rest)| rest.split(' ').next()) {
                self.halted(at, name, halted == "true");
            }
            let Some(view) = view_of(line) else { continue };
            views += 1;
            let members = view.members.into_iter().map(|m| (m.name, m.incarnation)).collect();
            let whole = Whole { number: view.number, members, drains: view.drains };
            self.view(at, name, &whole);
            self.in_force(at, name, &whole.drains);
        }
        if let Some(all) = self.brokers.get_mut(name) {
            // What was noted of its process came before its log was read.
            all.sort_by_key(|(at, _)| *at);
        }
        views
    }

    /// What broke of the views: one that splits, goes back, or brings an old incarnation.
    pub fn broken(&self) -> &[Broken] {
        &self.history.broken
    }

    /// Who was left out of a view, when that was first seen, in nanoseconds, and its number.
    pub fn removed(&self) -> impl Iterator<Item = (u64, &str, u64)> {
        self.history.removed.iter().map(|(at, name, view)| (*at as u64 * 1_000, name.as_str(), *view))
    }

    /// How many views were seen.
    pub fn views(&self) -> usize {
        self.views.len()
    }

    /// Those left out though nothing was done to them: `touched` says from when to when something was.
    pub fn removed_healthy(&self, touched: &BTreeMap<String, Vec<(u64, u64)>>) -> Vec<String> {
        let well = |at: u64, name: &str| {
            !touched.get(name).is_some_and(|all| all.iter().any(|(from, to)| (*from..=*to).contains(&at)))
        };
        let gone = self.removed().filter(|(at, name, _)| well(*at, name));
        gone.map(|(_, name, view)| format!("{name} is left out of view {view}")).collect()
    }

    /// Brokers that may have sent to a node later than `over` nanoseconds after its drain was told to be agreed on, and
    /// before it was asked back: they ran, were not halted, and did not have it in force.
    pub fn drains_missed(&self, over: u64, end: u64) -> Vec<String> {
        let mut missed = Vec::new();
        for change in self.changes.iter().filter(|c| c.out) {
            let Some(acked) = change.acked else { continue };
            let back = |c: &&Change| c.node == change.node && !c.out && c.asked > change.asked;
            let until = self.changes.iter().find(back).map_or(end, |c| c.asked);
            for (name, all) in &self.brokers {
                let (mut runs, mut halted, mut has, mut since) = (false, true, false, None);
                for (at, seen) in all.iter().map(|(at, seen)| (*at, Some(seen))).chain([(until, None)]) {
                    let at = at.min(until);
                    if since.is_some_and(|since: u64| at > since.max(acked + over)) {
                        missed.push(format!("{name} may send to {}, which is out", change.node));
                        break;
                    }
                    match seen {
                        Some(Seen::Runs(now)) => (runs, halted, has) = (*now, true, false),
                        Some(Seen::Halted(now)) => halted = *now,
                        Some(Seen::Out(node, out)) if *node == change.node => has = *out,
                        _ => {}
                    }
                    let sends = runs && !halted && !has;
                    since = sends.then_some(since.unwrap_or(at));
                }
            }
        }
        missed
    }

    /// Whether a node is out at a broker now.
    pub fn has(&self, name: &str, node: &str) -> bool {
        self.in_force.get(name).is_some_and(|nodes| nodes.contains(node))
    }

    /// Whether no later change is of the same node.
    pub fn stands(&self, change: usize) -> bool {
        let later = self.changes.get(change..).unwrap_or_default();
        later.split_first().is_some_and(|(this, later)| later.iter().all(|c| c.node != this.node))
    }

    /// For each change that was told, and each broker that ran and was left alone from then on: nanoseconds from when it was
    /// told until it was in force there; nothing where that never came. `left_alone` is asked with the time of the change.
    pub fn in_force_times(
        &self,
        changes: std::ops::Range<usize>,
        left_alone: impl Fn(&str, u64) -> bool,
    ) -> Vec<Option<u64>> {
        let mut times = Vec::new();
        for i in changes {
            let Some((change, acked)) = self.changes.get(i).and_then(|c| Some((c, c.acked?))) else {
                continue;
            };
            for (name, all) in self.brokers.iter().filter(|(name, _)| left_alone(name, change.asked)) {
                if !runs_at(all, change.asked) {
                    continue;
                }
                let here = |(at, seen): &&(u64, Seen)| {
                    *at >= change.asked && *seen == Seen::Out(change.node.clone(), change.out)
                };
                let time = all.iter().find(here).map(|(at, _)| at.saturating_sub(acked));
                // One that saw the next change of the node at once has missed nothing.
                let skipped = !self.stands(i) || (!change.out && !self.has(name, &change.node));
                if time.is_some() || !skipped {
                    times.push(time);
                }
            }
        }
        times
    }

    /// How often leases were lapsed between two times at brokers that run, and how long each lasted, in nanoseconds. What a
    /// life needs until its first lease does not count.
    pub fn lapses(&self, from: u64, to: u64) -> Vec<u64> {
        let mut lapses = Vec::new();
        for all in self.brokers.values() {
            let (mut served, mut since) = (false, None);
            for (at, seen) in all {
                match seen {
                    Seen::Halted(true) if served => since = Some(*at),
                    Seen::Halted(true) | Seen::Out(..) => {}
                    Seen::Halted(false) | Seen::Runs(_) => {
                        lapses.extend(lapse(since.take(), *at, from, to));
                        served = *seen == Seen::Halted(false);
                    }
                }
            }
            lapses.extend(lapse(since, to, from, to));
        }
        lapses
    }
}

/// The part of a lapse that lies between two times.
fn lapse(since: Option<u64>, until: u64, from: u64, to: u64) -> Option<u64> {
    let time = until.min(to).saturating_sub(since?.max(from));
    (time > 0).then_some(time)
}

fn runs_at(all: &[(u64, Seen)], at: u64) -> bool {
    let runs = |(when, seen): &(u64, Seen)| match seen {
        Seen::Runs(runs) if *when <= at => Some(*runs),
        _ => None,
    };
    all.iter().rev().find_map(runs).unwrap_or(false)
}

/// Unix time in nanoseconds of a time such as `2026-01-01T00:00:00.000001Z`.
fn unix(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|n| n.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.splitn(3, ':');
    let (hour, minute) = (time.next()?.parse::<i64>().ok()?, time.next()?.parse::<i64>().ok()?);
    let second = time.next()?.parse::<f64>().ok()?;
    // Days of the civil calendar, counted from March so that the leap day comes last.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = 365 * year + year / 4 - year / 100 + year / 400 + (153 * month + 2) / 5 + day - 1 - 719_468;
    let whole = ((days * 24 + hour) * 60 + minute) * 60;
    u64::try_from(whole).ok()?.checked_mul(1_000_000_000)?.checked_add((second * 1e9).round() as u64)
}
