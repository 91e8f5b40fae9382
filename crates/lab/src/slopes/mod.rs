//! What the broker costs as its surroundings grow, measured at several counts and laid out as a line: an intercept, and a
//! slope for each further one. Figures are kept as rows of CSV, so that what a page says can be drawn anew from them.

pub mod clients;
pub mod control;
pub mod data;
pub mod idle;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// The first line of a file of rows.
const HEAD: &str = "part,count,run,quantity,unit,value";

/// One figure that was measured.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// What was measured.
    pub part: String,
    /// Of how many: members, nodes, processes or clients.
    pub count: u64,
    /// Which run.
    pub run: u64,
    /// Which of its figures.
    pub quantity: String,
    /// The unit of the value.
    pub unit: String,
    /// The figure.
    pub value: f64,
}

impl Row {
    /// A figure of that part, count and run.
    pub fn new((part, count, run): (&str, u64, u64), quantity: &str, unit: &str, value: f64) -> Row {
        let (part, quantity, unit) = (part.to_string(), quantity.to_string(), unit.to_string());
        Row { part, count, run, quantity, unit, value }
    }

    fn line(&self) -> String {
        let Row { part, count, run, quantity, unit, value } = self;
        format!("{part},{count},{run},{quantity},{unit},{value}")
    }

    fn read(line: &str) -> Option<Row> {
        let fields: Vec<&str> = line.split(',').collect();
        let [part, count, run, quantity, unit, value] = fields[..] else { return None };
        let value: f64 = value.parse().ok().filter(|v: &f64| v.is_finite())?;
        Some(Row::new((part, count.parse().ok()?, run.parse().ok()?), quantity, unit, value))
    }
}

/// Rows of a file; one that is not there has none. A line that is no row is refused by its number.
pub fn read(path: &Path) -> io::Result<Vec<Row>> {
    let text = match std::fs::read_to_string(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        other => other?,
    };
    let row = |(i, line): (usize, &str)| {
        let bad = || io::Error::other(format!("{}: line {} is no row", path.display(), i + 1));
        Row::read(line).ok_or_else(bad)
    };
    text.lines().enumerate().skip(1).filter(|(_, l)| !l.is_empty()).map(row).collect()
}

/// Keeps rows in a file, in the place of those of the same part, count and run.
pub fn keep(path: &Path, rows: &[Row]) -> io::Result<()> {
    let of = |r: &Row| (r.part.clone(), r.count, r.run);
    let new: BTreeSet<_> = rows.iter().map(of).collect();
    let mut all = read(path)?;
    all.retain(|r| !new.contains(&of(r)));
    all.extend_from_slice(rows);
    all.sort_by(|a, b| (&a.part, a.count, a.run, &a.quantity).cmp(&(&b.part, b.count, b.run, &b.quantity)));
    let lines: Vec<String> = all.iter().map(Row::line).collect();
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)?;
    }
    std::fs::write(path, format!("{HEAD}\n{}\n", lines.join("\n")))
}

/// A line through what was measured, and how far to trust it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Its value at a count of 0.
    pub intercept: f64,
    /// What each further one adds.
    pub slope: f64,
    /// The least and the greatest slope of a single run.
    pub slopes: (f64, f64),
    /// Runs that it rests on.
    pub runs: usize,
    /// The least and the greatest count that was measured.
    pub range: (u64, u64),
    /// How far runs lay apart, as a part of their mean, at the count where that is most.
    pub spread: f64,
    /// How far a count's mean lies from the line, as a part of the greatest mean, where that is most: a line is no
    /// good account of what it does not meet.
    pub off: f64,
}

/// Intercept and slope by least squares; nothing for fewer than two different counts.
pub fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
    let (xx, xy) = points
        .iter()
        .fold((0.0, 0.0), |(xx, xy), p| (xx + (p.0 - x) * (p.0 - x), xy + (p.0 - x) * (p.1 - y)));
    (xx > 0.0).then(|| (y - xy / xx * x, xy / xx))
}

impl Fit {
    /// The line through figures of one quantity: count, run, value.
    pub fn of(points: &[(u64, u64, f64)]) -> Option<Fit> {
        let flat = |p: &(u64, u64, f64)| (p.0 as f64, p.2);
        let (intercept, slope) = least_squares(&points.iter().map(flat).collect::<Vec<_>>())?;
        let (mut counts, mut runs) =
            (BTreeMap::<u64, Vec<f64>>::new(), BTreeMap::<u64, Vec<(f64, f64)>>::new());
        for point in points {
            counts.entry(point.0).or_default().push(point.2);
            runs.entry(point.1).or_default().push(flat(point));
        }
        let single: Vec<f64> = runs.values().filter_map(|r| least_squares(r)).map(|l| l.1).collect();
        let least = single.iter().copied().fold(f64::INFINITY, f64::min);
        let most = single.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let mean = |v: &Vec<f64>| v.iter().sum::<f64>() / v.len() as f64;
        let width = |v: &Vec<f64>| {
            let ends = v.iter().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| (a.min(*x), b.max(*x)));
            if ends.1 == ends.0 {
                0.0
            } else {
                (ends.1 - ends.0) / mean(v).abs()
            }
        };
        let top = counts.values().map(|v| mean(v).abs()).fold(0.0, f64::max);
        let from_line = |(c, v): (&u64, &Vec<f64>)| (mean(v) - intercept - slope * *c as f64).abs();
        let off = counts.iter().map(from_line).fold(0.0, f64::max);
        Some(Fit {
            intercept,
            slope,
            slopes: (least.min(most), most.max(least)),
            runs: runs.len(),
            range: (*counts.keys().next()?, *counts.keys().next_back()?),
            spread: counts.values().map(width).fold(0.0, f64::max),
            off: if top > 0.0 { off / top } else { 0.0 },
        })
    }

    /// Its value at a count, also beyond what was measured.
    pub fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }
}

/// The line of each quantity of each part among these rows, by part, quantity and unit.
pub fn fits(rows: &[Row]) -> BTreeMap<(String, String, String), Fit> {
    let mut points: BTreeMap<_, Vec<(u64, u64, f64)>> = BTreeMap::new();
    for r in rows {
        let key = (r.part.clone(), r.quantity.clone(), r.unit.clone());
        points.entry(key).or_default().push((r.count, r.run, r.value));
    }
    points.into_iter().filter_map(|(key, points)| Some((key, Fit::of(&points)?))).collect()
}

/// The lines as text, a quantity each.
pub fn show(rows: &[Row]) -> String {
    let line = |((part, quantity, unit), fit): (&(String, String, String), &Fit)| {
        let Fit { intercept, slope, slopes, runs, range, spread, off } = fit;
        format!(
            "{part:<22} {quantity:<22} {intercept:>12.4} + {slope:>10.6} x count {unit:<9} [slopes {:.6} to {:.6}, {runs} runs, \
             counts {} to {}, runs apart {:.0}%, off the line {:.0}%]",
            slopes.0, slopes.1, range.0, range.1, spread * 100.0, off * 100.0
        )
    };
    fits(rows).iter().map(line).collect::<Vec<_>>().join("\n")
}

/// How long one call takes, in nanoseconds: the median of rounds that together last as long as is said.
pub fn time<T>(length: Duration, mut call: impl FnMut() -> T) -> f64 {
    const ROUNDS: u32 = 5;
    let begin = Instant::now();
    drop(std::hint::black_box(call()));
    let once = begin.elapsed().max(Duration::from_nanos(10));
    let calls = ((length / ROUNDS).as_nanos() / once.as_nanos()).clamp(1, 1_000_000) as u32;
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let begin = Instant::now();
            (0..calls).for_each(|_| drop(std::hint::black_box(call())));
            begin.elapsed().as_nanos() as f64 / f64::from(calls)
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS as usize / 2]
}

/// The same where each call takes something that was made for it, outside of what is timed.
pub fn time_with<I, T>(calls: usize, mut make: impl FnMut() -> I, mut call: impl FnMut(I) -> T) -> f64 {
    let mut single: Vec<f64> = (0..calls.max(1))
        .map(|_| {
            let made = make();
            let begin = Instant::now();
            let out = std::hint::black_box(call(made));
            let taken = begin.elapsed().as_nanos() as f64;
            drop(out);
            taken
        })
        .collect();
    single.sort_by(f64::total_cmp);
    single[single.len() / 2]
}

/// A figure of `/proc/PID/status`, such as `VmRSS`, in KiB; 0 where it is not told.
pub fn status_kb(pid: u32, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(':'));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Open descriptors of a process.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Processor time of a process by the name of the thread, in nanoseconds.
pub fn processor(pid: u32) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
        let read = |file: &str| std::fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let used: u64 = read("schedstat").split_whitespace().next().and_then(|t| t.parse().ok()).unwrap_or(0);
        *all.entry(read("comm").trim().to_string()).or_insert(0) += used;
    }
    all
}
