//! The size in two years, played under the simulated clock: what changes, failures and cuts cost each broker, and how
//! long they take. Tables as in `docs/design/size.md`, with the arm `simulated`.

use crate::layout::{Area, Direction, Layout, LayoutError};
use crate::meter::{Counted, Spread};
use crate::simulated::{name, World, SECOND};
use claywinch::interface::Time;
use claywinch::state::membership::lease::over_after;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};

/// Brokers that vote.
const VOTERS: usize = 5;
/// Changes of configuration of a burst, and how long it lasts.
const BURST: (usize, Time) = (50, 10 * SECOND);
/// Between two changes at the mean of a day with 4,300.
const MEAN: Time = 86_400 * SECOND / 4_300;
/// How long a change or a failure may take at most.
const PATIENCE: Time = 120 * SECOND;
/// How long a region is cut off.
const CUT: Time = 120 * SECOND;
/// A node that changes of configuration are about.
const NODE: &str = "node";

/// Why nothing was played.
#[derive(Debug, thiserror::Error)]
pub enum SizeError {
    /// No such layout.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// The brokers did not come together.
    #[error("run {0}: {1} brokers did not agree after {2} s")]
    Apart(usize, usize, Time),
    /// Results could not be kept.
    #[error("{0}: {1}")]
    Io(String, io::Error),
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Size {
    /// How many brokers.
    pub hosts: usize,
    /// For all that is drawn; each run adds 1.
    pub seed: u64,
    /// Runs, one after another.
    pub runs: usize,
    /// Bursts of 50 changes in 10 s.
    pub bursts: usize,
    /// Changes at the mean of a day.
    pub changes: usize,
    /// How often the leading voter is killed.
    pub kills: usize,
    /// The folder that results are kept in.
    pub results: PathBuf,
}

/// A figure of what one broker did.
type Figure = fn(&Counted) -> u64;

/// What `runs.csv` and `kinds.csv` are to hold.
#[derive(Debug, Default)]
struct Tables {
    runs: String,
    kinds: String,
}

/// One run.
struct Run<'a> {
    run: usize,
    world: World,
    tables: &'a mut Tables,
    /// When the phase began, and the last view then.
    since: Time,
    view: u64,
    nodes: usize,
}

impl Size {
    /// Plays all runs and keeps their tables after each phase. Gives what broke: nothing should.
    pub fn play(&self, mut say: impl FnMut(&str)) -> Result<Vec<String>, SizeError> {
        let mut tables = Tables {
            runs: "arm,run,size,hollow,real,phase,quantity,unit,median,p99,worst,count,void\n".to_string(),
            kinds: "arm,run,size,phase,kind,datagrams_s,bytes_s\n".to_string(),
        };
        std::fs::create_dir_all(&self.results).map_err(at(&self.results))?;
        let mut broken = Vec::new();
        for run in 0..self.runs {
            let mut world = World::new(self.seed + run as u64, self.hosts, VOTERS);
            world.layout = Some(Layout::in_two_years(self.hosts)?);
            let took =
                world.together(PATIENCE).ok_or(SizeError::Apart(run, self.hosts, PATIENCE / SECOND))?;
            say(&format!("run {run}: together after {:.1} s", seconds(took)));
            world.run(10 * SECOND);
            let mut r = Run { run, world, tables: &mut tables, since: 0, view: 0, nodes: 0 };
            for phase in ["idle", "burst", "mean", "leader", "rack", "zone", "region"] {
                r.begin();
                match phase {
                    "idle" => r.world.run(20 * SECOND),
                    "burst" => r.changes(phase, self.bursts * BURST.0, BURST.1 / BURST.0 as Time),
                    "mean" => r.changes(phase, self.changes, MEAN),
                    "leader" => r.leaders(phase, self.kills),
                    "rack" => r.lost(phase, Area::Rack),
                    "zone" => r.lost(phase, Area::Zone),
                    _ => r.region(phase),
                }
                r.end(phase);
                say(&format!("run {run}: {phase} played, {:.0} s in all", seconds(r.world.now)));
                broken.extend(r.world.history.broken.drain(..).map(|b| format!("run {run}, {phase}: {b:?}")));
                for (file, text) in [("runs.csv", &r.tables.runs), ("kinds.csv", &r.tables.kinds)] {
                    let path = self.results.join(file);
                    std::fs::write(&path, text).map_err(at(&path))?;
                }
            }
        }
        Ok(broken)
    }
}

fn at(path: &Path) -> impl FnOnce(io::Error) -> SizeError + '_ {
    move |error| SizeError::Io(path.display().to_string(), error)
}

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

fn ms(time: Time) -> f64 {
    time as f64 / 1_000.0
}

impl Run<'_> {
    fn begin(&mut self) {
        self.world.mark();
        self.since = self.world.now;
        self.view = self.world.history.last().map_or(0, |v| v.number);
    }

    /// A quantity of the phase; none of which there is no figure.
    fn row(&mut self, phase: &str, quantity: &str, unit: &str, s: Spread) {
        if s.count == 0 {
            return;
        }
        let (run, size) = (self.run, self.world.hosts.len());
        // A string takes all that is written.
        let _ = writeln!(
            self.tables.runs,
            "simulated,{run},{size},0,0,{phase},{quantity},{unit},{:.1},{:.1},{:.1},{},0",
            s.median, s.p99, s.worst, s.count
        );
    }

    /// A figure that is one number.
    fn one(&mut self, phase: &str, quantity: &str, unit: &str, figure: f64) {
        self.row(phase, quantity, unit, Spread::of([figure]));
    }

    /// What each broker sent and read in the phase, voters apart, and who was without a lease or left out.
    fn end(&mut self, phase: &str) {
        let time = seconds(self.world.now - self.since).max(0.001);
        let (voters, others) = self.world.running();
        let of: [(&str, Figure); 4] = [
            ("bytes_out_s", |c| c.all().bytes),
            ("bytes_in_s", |c| c.read.bytes),
            ("datagrams_out_s", |c| c.all().datagrams),
            ("datagrams_in_s", |c| c.read.datagrams),
        ];
        for (who, hosts) in [("", &others), ("voter_", &voters)] {
            for (quantity, figure) in of {
                let spread = self.world.spread(hosts, |c| figure(c) as f64 / time);
                self.row(
                    phase,
                    &format!("{who}{quantity}"),
                    quantity.split('_').next().unwrap_or(""),
                    spread,
                );
            }
        }
        let now = self.world.now;
        let all: Vec<usize> = voters.iter().chain(&others).copied().collect();
        let lapsed = self.world.spread(&all, |c| ms(c.lapsed(now)));
        self.row(phase, "lapsed_ms", "ms", lapsed);
        let views = self.world.history.last().map_or(0, |v| v.number) - self.view;
        self.one(phase, "views", "views", views as f64);
        for (who, hosts) in [("", &others), ("voter_", &voters)] {
            let mut kinds: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
            for (kind, t) in hosts.iter().flat_map(|h| &self.world.hosts[*h].counted.sent) {
                let sum = kinds.entry(kind).or_default();
                *sum = (sum.0 + t.datagrams, sum.1 + t.bytes);
            }
            let (run, size, each) = (self.run, self.world.hosts.len(), time * hosts.len().max(1) as f64);
            for (kind, (datagrams, bytes)) in kinds {
                // A string takes all that is written.
                let _ = writeln!(
                    self.tables.kinds,
                    "simulated,{run},{size},{phase},{who}{kind},{:.2},{:.1}",
                    datagrams as f64 / each,
                    bytes as f64 / each
                );
            }
        }
    }

    /// Changes of configuration, one each `apart`, asked at one broker after another.
    fn changes(&mut self, phase: &str, count: usize, apart: Time) {
        let running: Vec<usize> = self.world.phases().iter().map(|p| p.0).collect();
        let mut asked = Vec::new();
        for i in 0..count {
            let node = format!("{NODE}-{}", self.nodes % 256);
            let out = (self.nodes / 256).is_multiple_of(2);
            self.nodes += 1;
            let last = self.world.history.last().map_or(0, |v| v.number);
            self.world.drain(running[(i * 611 + 7) % running.len()], &node, out);
            asked.push((self.world.now, last, node, out));
            self.world.run(apart);
        }
        self.world.run(20 * SECOND);
        let (mut known, mut in_force, mut missing, mut unknown) = (Vec::new(), Vec::new(), 0, 0);
        for (at, last, node, out) in asked {
            let Some((number, first)) = self.world.history.first_with(last, &node, out) else {
                unknown += 1;
                continue;
            };
            known.push(ms(first - at));
            let (came, not) = self.world.in_force_after(number, first);
            in_force.extend(came.into_iter().map(ms));
            missing += not;
        }
        self.row(phase, "agreed_ms", "ms", Spread::of(known));
        self.row(phase, "in_force_ms", "ms", Spread::of(in_force));
        self.one(phase, "never_agreed", "changes", unknown as f64);
        self.one(phase, "not_in_force", "brokers", missing as f64);
        self.one(phase, "removed_healthy", "brokers", self.world.history.removed.len() as f64);
    }

    /// The leading voter is killed, and started again later.
    fn leaders(&mut self, phase: &str, count: usize) {
        let (mut without, mut change, mut never, mut healthy) = (Vec::new(), Vec::new(), 0, 0);
        for i in 0..count {
            let Some(leader) = self.world.leader() else {
                never += 1;
                continue;
            };
            self.world.kill(leader);
            let (from, last) = (self.world.now, self.world.history.last().map_or(0, |v| v.number));
            let asks = (leader + 40 + i) % self.world.hosts.len();
            let (node, out) = (format!("{NODE}-leader-{i}"), true);
            self.world.drain(asks, &node, out);
            match self.world.until(SECOND / 50, 30 * SECOND, |w| w.leader().is_some()) {
                Some(time) => without.push(ms(time)),
                None => never += 1,
            }
            let known = |w: &World| w.history.first_with(last, &node, out).is_some();
            self.world.until(SECOND / 10, 30 * SECOND, known);
            if let Some((_, at)) = self.world.history.first_with(last, &node, out) {
                change.push(ms(at - from));
            }
            self.world.run(15 * SECOND);
            let gone = name(leader);
            healthy += self.world.history.removed.iter().filter(|(_, n, _)| *n != gone).count();
            self.world.history.removed.clear();
            self.world.start(leader);
            self.world.until(SECOND / 2, PATIENCE, World::agree);
        }
        self.row(phase, "leader_lost_ms", "ms", Spread::of(without));
        self.row(phase, "change_ms", "ms", Spread::of(change));
        self.one(phase, "never_led", "kills", f64::from(never));
        self.one(phase, "removed_healthy", "brokers", healthy as f64);
    }

    /// All of an area are killed at once, and come back at once. The area is one with no leading voter.
    fn lost(&mut self, phase: &str, area: fn(usize) -> Area) {
        let Some(laid) = &self.world.layout else { return };
        let leader = self.world.leader().unwrap_or(0);
        let areas = (0..laid.len()).map(|i| laid.hosts(area(i)));
        let Some(hosts) = areas.filter(|a| !a.contains(&leader)).max_by_key(Vec::len) else { return };
        let names: BTreeSet<String> = hosts.iter().map(|h| name(*h)).collect();
        let (from, before) = (self.world.now, self.view);
        hosts.iter().for_each(|h| self.world.kill(*h));
        let gone = |w: &World| w.history.first_without(before, &names).is_some();
        self.world.until(SECOND / 10, PATIENCE, gone);
        self.world.run(10 * SECOND);
        if let Some((number, at)) = self.world.history.first_without(before, &names) {
            self.one(phase, "gone_ms", "ms", ms(at - from));
            self.one(phase, "gone_views", "views", (number - before) as f64);
            let (came, missing) = self.world.in_force_after(number, from);
            self.row(phase, "gone_everywhere_ms", "ms", Spread::of(came.into_iter().map(ms)));
            self.one(phase, "not_in_force", "brokers", missing as f64);
        }
        let healthy = self.world.history.removed.iter().filter(|(_, n, _)| !names.contains(n)).count();
        self.one(phase, "removed_healthy", "brokers", healthy as f64);
        let (from, before) = (self.world.now, self.world.history.last().map_or(0, |v| v.number));
        hosts.iter().for_each(|h| self.world.start(*h));
        let agreed = self.world.until(SECOND / 2, 2 * PATIENCE, World::agree);
        let views = self.world.history.last().map_or(0, |v| v.number) - before;
        self.one(phase, "back_views", "views", views as f64);
        let quantity = if agreed.is_some() { "agree_ms" } else { "not_agreed_ms" };
        self.one(phase, quantity, "ms", ms(self.world.now - from));
    }

    /// The region of the leading voter is cut off and comes back; a change is asked for outside meanwhile.
    fn region(&mut self, phase: &str) {
        let leader = self.world.leader().unwrap_or(0);
        let Some(laid) = &mut self.world.layout else { return };
        let Some(area) = laid.place(leader).map(|p| Area::Region(p.region)) else { return };
        let hosts: BTreeSet<usize> = laid.hosts(area).into_iter().collect();
        laid.cut(area, Direction::Both);
        let outside = (0..self.world.hosts.len()).find(|h| !hosts.contains(h)).unwrap_or(0);
        let (from, before) = (self.world.now, self.view);
        let node = format!("{NODE}-region");
        self.world.run(10 * SECOND);
        let asked = self.world.now;
        self.world.drain(outside, &node, true);
        self.world.run(CUT - 10 * SECOND);
        if let Some((number, at)) = self.world.history.first_with(before, &node, true) {
            self.one(phase, "agreed_ms", "ms", ms(at - asked));
            let others = (0..self.world.hosts.len()).filter(|h| !hosts.contains(h));
            let came = others.filter_map(|h| self.world.hosts[h].counted.reached(number));
            let came: Vec<f64> = came.map(|t| ms((t - at).max(0))).collect();
            self.row(phase, "in_force_ms", "ms", Spread::of(came));
        }
        let leased = |h: &usize| {
            let host = &self.world.hosts[*h];
            host.node.as_ref().is_some_and(|n| n.lease() > self.world.now + host.ahead)
        };
        let (inside, over) =
            (hosts.iter().filter(|h| leased(h)).count(), over_after(crate::simulated::LEASE));
        self.one(phase, "leased_in_cut_region", "brokers", inside as f64);
        self.one(phase, "lease_over_after_ms", "ms", ms(over));
        let names: BTreeSet<String> = hosts.iter().map(|h| name(*h)).collect();
        let healthy = self.world.history.removed.iter().filter(|(_, n, _)| !names.contains(n)).count();
        self.one(phase, "removed_healthy", "brokers", healthy as f64);
        self.one(phase, "cut_s", "s", seconds(self.world.now - from));
        if let Some(laid) = &mut self.world.layout {
            laid.mend(area);
        }
        let before = self.world.history.last().map_or(0, |v| v.number);
        let from = self.world.now;
        let agreed = self.world.until(SECOND / 2, 2 * PATIENCE, World::agree);
        let views = self.world.history.last().map_or(0, |v| v.number) - before;
        self.one(phase, "back_views", "views", views as f64);
        let quantity = if agreed.is_some() { "agree_ms" } else { "not_agreed_ms" };
        self.one(phase, quantity, "ms", ms(self.world.now - from));
    }
}
