//! What came of a scale run: rows, a table for people, CSV and plots.

use super::{io, ScaleError};
use crate::chart;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::{Path, PathBuf};

/// The head of `runs.csv`.
pub const RUNS: &str = "arm,run,size,hollow,real,phase,role,quantity,unit,median,p99,worst,count,void";
/// The head of `kinds.csv`.
pub const KINDS: &str = "arm,run,size,phase,kind,datagrams_s,bytes_s";

/// What each quantity means, for people.
const MEANINGS: &[(&str, &str)] = &[
    ("cpu_share", "Processor time that control takes of one core, %. Hollow: by host, divided by its brokers, without the host's own ticks. Real: less that of the program with the cluster off."),
    ("bytes_out_s", "Bytes a second that a broker sends, at its socket, without heads of IP and UDP."),
    ("bytes_in_s", "Bytes a second that a broker is brought."),
    ("datagrams_out_s", "Datagrams a second that a broker sends."),
    ("datagrams_in_s", "Datagrams a second that a broker is brought."),
    ("memory_kb", "Memory of a broker, KiB. Hollow: by slope over two hosts of different size; voter: its whole process; real: less the program with the cluster off."),
    ("in_force_ms", "From a change told to be agreed on until it is in force, over all pairs of change and broker; `count` are pairs."),
    ("asked_ms", "From a change asked for until it is told to be agreed on."),
    ("not_in_force", "Pairs of change and broker that never came about, of those that were told; `count` are changes that were never told."),
    ("agree_ms", "Until all that run, and are not cut off, have one view that holds just them; looked at each 250 ms or more seldom."),
    ("lapsed_ms", "Lapses of leases, and how long a broker stood without one; `count` are lapses."),
    ("removed", "Brokers left out of a view, whatever was done to them."),
    ("removed_healthy", "Brokers left out of a view though nothing was done to them."),
    ("leader_lost_ms", "From the leading voter's end until another leads and a change asked just after it is told to be agreed on."),
    ("turn_late_ms", "How late turns of 10 ms came at a host, or datagrams left the relay: the machine's own saturation."),
    ("dropped", "Datagrams that full sockets of this run dropped; `count` are those of the whole machine."),
    ("drains_missed", "Brokers that may have sent to a node after the time that its drain was told to hold from."),
    ("views_broken", "Views that split, went back or brought an old incarnation."),
];

/// What stands in a line of its own for each phase and role: the quantity, its head, and digits behind the point.
const RATES: [(&str, &str, usize); 5] = [
    ("cpu_share", "cpu_share %", 3),
    ("bytes_out_s", "bytes_out_s", 0),
    ("bytes_in_s", "bytes_in_s", 0),
    ("datagrams_out_s", "datagrams_out_s", 1),
    ("memory_kb", "memory_kb", 0),
];

/// A row: one quantity of one phase.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The phase.
    pub phase: String,
    /// Whose: `broker` (hollow, no voter), `voter`, `real`, `all`, `host`, `relay`.
    pub role: &'static str,
    /// See [`RUNS`].
    pub quantity: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// See [`RUNS`].
    pub median: f64,
    /// See [`RUNS`].
    pub p99: f64,
    /// See [`RUNS`].
    pub worst: f64,
    /// How many values it is of.
    pub count: u64,
    /// Whether the machine was too slow for it to count.
    pub void: bool,
}

impl Row {
    /// The row of some values; without any, all are 0, and so is the count.
    pub fn of(
        phase: &str,
        role: &'static str,
        quantity: &'static str,
        unit: &'static str,
        values: &[f64],
    ) -> Row {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = (part * sorted.len() as f64).ceil() as usize;
            sorted.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        let count = sorted.len() as u64;
        let (median, p99, worst) = (at(0.5), at(0.99), at(1.0));
        Row { phase: phase.to_string(), role, quantity, unit, median, p99, worst, count, void: false }
    }

    /// The row of a histogram of microseconds, in milliseconds.
    pub fn of_times(phase: &str, role: &'static str, quantity: &'static str, times: &Histogram<u64>) -> Row {
        let at = |q: f64| times.value_at_quantile(q) as f64 / 1_000.0;
        let (median, p99, worst) = (at(0.5), at(0.99), times.max() as f64 / 1_000.0);
        let (phase, count) = (phase.to_string(), times.len());
        Row { phase, role, quantity, unit: "ms", median, p99, worst, count, void: false }
    }
}

/// A kind of message in a phase, for one broker.
#[derive(Debug, Clone, PartialEq)]
pub struct KindRow {
    /// The phase.
    pub phase: String,
    /// The kind.
    pub kind: String,
    /// Datagrams a second.
    pub datagrams_s: f64,
    /// Bytes a second.
    pub bytes_s: f64,
}

/// What came of one run.
#[derive(Debug, Clone, Default)]
pub struct Came {
    /// Hollow brokers.
    pub hollow: usize,
    /// Real ones.
    pub real: usize,
    /// Its rows.
    pub rows: Vec<Row>,
    /// Its kinds of message.
    pub kinds: Vec<KindRow>,
    /// Times until changes were in force, by phase, in microseconds.
    pub in_force: BTreeMap<String, Histogram<u64>>,
    /// What the checkers found.
    pub broken: Vec<String>,
    /// Why it does not count, where it does not.
    pub void: Vec<String>,
    /// What was not done or did not come about in its time.
    pub partial: Vec<String>,
    /// Hollow ones beside real ones: the quantity, both values, and real over hollow.
    pub honest: Vec<(&'static str, f64, f64, f64)>,
}

impl Came {
    /// The tables, and what their lines mean.
    pub fn table(&self) -> String {
        let mut text = format!("{} hollow brokers, {} real ones\n\n", self.hollow, self.real);
        let rate = |phase: &str, role: &str, quantity: &str| {
            let row = |r: &&Row| (r.phase.as_str(), r.role, r.quantity) == (phase, role, quantity);
            self.rows.iter().find(row)
        };
        text += &format!("{:<16} {:<7}", "phase", "whose");
        RATES.iter().for_each(|(_, head, _)| text += &format!(" {head:>19}"));
        text += "   (median / worst)\n";
        for first in self.rows.iter().filter(|r| r.quantity == RATES[0].0) {
            text += &format!("{:<16} {:<7}", first.phase, first.role);
            for (quantity, _, digits) in RATES {
                let cell = rate(&first.phase, first.role, quantity)
                    .map(|r| format!("{:.digits$} / {:.digits$}", r.median, r.worst));
                text += &format!(" {:>19}", cell.unwrap_or_else(|| "-".to_string()));
            }
            text += if first.void { "  VOID\n" } else { "\n" };
        }
        text += &format!(
            "\n{:<16} {:<7} {:<16} {:>10} {:>10} {:>10} {:>8}  unit   (what is not shown is 0)\n",
            "phase", "whose", "quantity", "median", "p99", "worst", "count"
        );
        let rates: BTreeSet<&str> = RATES.iter().map(|(q, ..)| *q).collect();
        let told = |r: &&Row| {
            !rates.contains(r.quantity) && !r.quantity.starts_with("datagrams") && r.worst > 0.0
                || r.phase == "whole"
        };
        for r in self.rows.iter().filter(told) {
            let void = if r.void { "  VOID" } else { "" };
            text += &format!(
                "{:<16} {:<7} {:<16} {:>10.1} {:>10.1} {:>10.1} {:>8}  {}{void}\n",
                r.phase, r.role, r.quantity, r.median, r.p99, r.worst, r.count, r.unit
            );
        }
        text += "\n";
        let shown: BTreeSet<&str> = self.rows.iter().map(|r| r.quantity).collect();
        for (quantity, meaning) in MEANINGS.iter().filter(|(q, _)| shown.contains(q)) {
            text += &format!("{quantity}: {meaning}\n");
        }
        for (quantity, hollow, real, ratio) in &self.honest {
            let fits = if (ratio - 1.0).abs() <= 0.15 { "within 15%" } else { "NOT within 15%" };
            text +=
                &format!("hollow beside real, {quantity}: {hollow:.3} and {real:.3}, {ratio:.3}: {fits}\n");
        }
        for (head, lines) in
            [("BROKEN", &self.broken), ("VOID", &self.void), ("NOT DONE, OR NOT IN TIME", &self.partial)]
        {
            for line in lines {
                text += &format!("{head}: {line}\n");
            }
        }
        text
    }

    /// Adds it to the tables below a folder and draws their plots anew; gives the folder.
    pub fn keep(&self, results: &Path, name: &str, arm: &str) -> Result<PathBuf, ScaleError> {
        let folder = results.join("scale").join(name);
        std::fs::create_dir_all(&folder).map_err(io(folder.display().to_string()))?;
        let size = self.hollow + self.real;
        let runs = folder.join("runs.csv");
        let run = 1 + last_run(&read(&runs), arm, size);
        let row = |r: &Row| {
            format!(
                "{arm},{run},{size},{},{},{},{},{},{},{:.4},{:.4},{:.4},{},{}",
                self.hollow,
                self.real,
                r.phase,
                r.role,
                r.quantity,
                r.unit,
                r.median,
                r.p99,
                r.worst,
                r.count,
                r.void
            )
        };
        append(&runs, RUNS, self.rows.iter().map(row))?;
        let kind = |k: &KindRow| {
            format!("{arm},{run},{size},{},{},{:.4},{:.1}", k.phase, k.kind, k.datagrams_s, k.bytes_s)
        };
        append(&folder.join("kinds.csv"), KINDS, self.kinds.iter().map(kind))?;
        self.draw(&folder, arm)?;
        Ok(folder)
    }

    fn draw(&self, folder: &Path, arm: &str) -> Result<(), ScaleError> {
        let failed = |e: String| ScaleError::Io(folder.display().to_string(), std::io::Error::other(e));
        let size = self.hollow + self.real;
        let curves: Vec<(String, Vec<(f64, f64)>)> = self
            .in_force
            .iter()
            .filter(|(_, times)| !times.is_empty())
            .map(|(phase, times)| {
                let at = |i: i32| {
                    let q = f64::from(i) / 200.0;
                    (q * 100.0, times.value_at_quantile(q) as f64 / 1_000.0)
                };
                (format!("{phase} ({} pairs)", times.len()), (0..=200).map(at).collect())
            })
            .collect();
        if !curves.is_empty() {
            let title = format!("From agreed to in force, {size} brokers, {arm}");
            let path = folder.join(format!("in-force-{arm}-{size}.svg"));
            chart::lines(&path, &title, ("% of pairs of change and broker", "ms"), &curves)
                .map_err(failed)?;
        }
        let table = read(&folder.join("runs.csv"));
        for quantity in ["cpu_share", "bytes_out_s", "in_force_ms", "memory_kb"] {
            let curves = by_size(&table, quantity);
            if curves.iter().any(|(_, points)| points.len() > 1) {
                let path = folder.join(format!("{quantity}-by-size.svg"));
                let title = format!("{quantity}, median, by size of the cluster");
                chart::lines(&path, &title, ("brokers", quantity), &curves).map_err(failed)?;
            }
        }
        Ok(())
    }
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

fn append(path: &Path, head: &str, rows: impl Iterator<Item = String>) -> Result<(), ScaleError> {
    let failed = || io(path.display().to_string());
    let new = !path.exists();
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path).map_err(failed())?;
    let lines: String = rows.map(|row| row + "\n").collect();
    let head = if new { format!("{head}\n") } else { String::new() };
    file.write_all((head + &lines).as_bytes()).map_err(failed())
}

/// The highest number of a run of this arm and size.
fn last_run(table: &str, arm: &str, size: usize) -> u64 {
    let run = |line: &str| {
        let mut cells = line.split(',');
        let (a, run, s) = (cells.next()?, cells.next()?, cells.next()?);
        (a == arm && s == size.to_string()).then(|| run.parse().ok()).flatten()
    };
    table.lines().filter_map(run).max().unwrap_or(0)
}

/// The median of a quantity by size, a curve for each arm, phase and role; void rows are left out.
fn by_size(table: &str, quantity: &str) -> Vec<(String, Vec<(f64, f64)>)> {
    let mut curves: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for line in table.lines().skip(1) {
        let cells: Vec<&str> = line.split(',').collect();
        if cells.len() != RUNS.split(',').count() || cells[7] != quantity || cells[13] == "true" {
            continue;
        }
        if let (Ok(size), Ok(median)) = (cells[2].parse(), cells[9].parse()) {
            let key = format!("{} {} {}", cells[0], cells[5], cells[6]);
            curves.entry(key).or_default().entry(size).or_default().push(median);
        }
    }
    let mean = |values: &Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
    let curve = |points: BTreeMap<u64, Vec<f64>>| points.iter().map(|(s, v)| (*s as f64, mean(v))).collect();
    curves.into_iter().map(|(key, points)| (key, curve(points))).collect()
}
