//! Ways to find out who is gone, side by side: models of three published ones, a round of half a second at a time, and
//! the program's own modules in the simulated clock. Figures say how the ways differ, not how a product behaves.

use crate::simulated::{name, Link, World, SECOND};
use plotters::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::path::Path;

/// Seconds of a round: one probe of each broker.
const ROUND: f64 = 0.5;
/// Helpers that are asked to probe in one's place.
const HELPERS: usize = 3;
/// Rumours that a message carries, and bytes of one and of a message without.
const RUMOURS: usize = 6;
const RUMOUR_BYTES: u64 = 30;
const BARE_BYTES: u64 = 40;
/// Rings of those that beat for one another.
const RINGS: usize = 8;
/// Phi beyond which one is taken for dead.
const PHI: f64 = 8.0;

/// A way to find out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// Das et al., DSN 2002: probes, helpers, suspicion, rumours.
    Swim,
    /// Dadgar et al., DSN 2018: one that hears little doubts itself, suspicion shrinks with confirmations.
    Lifeguard,
    /// Hayashibara et al., SRDS 2004: beats to some neighbours, a normal law of their gaps.
    Phi,
    /// The program's modules.
    Observers,
}

/// What goes wrong beside the death that is to be found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A third of the links lose a fifth.
    Loss,
    /// One process in ten stands still for 2 s in every 10.
    Slow,
    /// One broker hears nobody, and all others hear it.
    Deaf,
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Seconds until all that live knew of a death, by trial; those not found in time are left out.
    pub found: Vec<f64>,
    /// Deaths that not all knew of after 30 s.
    pub missed: usize,
    /// Living brokers that any other took for dead, less one that hears nobody.
    pub wrong: usize,
    /// Messages and bytes sent by a broker in a second, without a death.
    pub sent: (f64, f64),
    /// Seconds of living.
    pub seconds: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mark {
    Alive(u32),
    Suspect(u32, f64, u32),
    Dead,
}

struct Model {
    way: Way,
    n: usize,
    trouble: Trouble,
    chance: StdRng,
    now: f64,
    dead: BTreeSet<usize>,
    /// By observer and subject.
    marks: Vec<Vec<Mark>>,
    incarnation: Vec<u32>,
    /// Lifeguard's local health: 0 is well.
    health: Vec<u32>,
    rumours: Vec<VecDeque<(usize, Mark, u32)>>,
    /// Of beats: when the last came, and the mean and variance of gaps.
    beats: BTreeMap<(usize, usize), (f64, f64, f64)>,
    sent: (u64, u64),
    wrong: BTreeSet<usize>,
}

impl Model {
    fn new(way: Way, n: usize, trouble: Trouble, seed: u64) -> Model {
        Model {
            way,
            n,
            trouble,
            chance: StdRng::seed_from_u64(seed),
            now: 0.0,
            dead: BTreeSet::new(),
            marks: vec![vec![Mark::Alive(0); n]; n],
            incarnation: vec![0; n],
            health: vec![0; n],
            rumours: vec![VecDeque::new(); n],
            beats: BTreeMap::new(),
            sent: (0, 0),
            wrong: BTreeSet::new(),
        }
    }

    fn paused(&self, i: usize) -> bool {
        let phase = (self.now + (i * 7 % 10) as f64) % 10.0;
        self.trouble == Trouble::Slow && i % 10 == 3 && phase < 2.0
    }

    /// Whether a message arrives; its rumours do with it.
    fn send(&mut self, from: usize, to: usize) -> bool {
        let carried: Vec<(usize, Mark)> =
            self.rumours[from].iter().take(RUMOURS).map(|(s, m, _)| (*s, *m)).collect();
        self.sent.0 += 1;
        self.sent.1 += BARE_BYTES + RUMOUR_BYTES * carried.len() as u64;
        for _ in 0..carried.len() {
            // Each goes out a few times, in turn.
            if let Some((subject, mark, left)) = self.rumours[from].pop_front() {
                if left > 1 {
                    self.rumours[from].push_back((subject, mark, left - 1));
                }
            }
        }
        let lossy = self.trouble == Trouble::Loss && (from + to).is_multiple_of(3);
        let lost = lossy && self.chance.random::<f64>() < 0.2;
        let deaf = self.trouble == Trouble::Deaf && to == 1;
        if lost || deaf || self.dead.contains(&to) || self.paused(to) {
            return false;
        }
        for (subject, mark) in carried {
            self.hear(to, subject, mark);
        }
        true
    }

    fn spread(&mut self, at: usize, subject: usize, mark: Mark) {
        let times = 3 * (self.n as f64 + 1.0).log2().ceil() as u32;
        self.rumours[at].retain(|(s, ..)| *s != subject);
        self.rumours[at].push_front((subject, mark, times));
    }

    fn hear(&mut self, at: usize, subject: usize, mark: Mark) {
        if subject == at {
            // It refutes what is said of it.
            if let Mark::Suspect(incarnation, ..) = mark {
                if incarnation >= self.incarnation[at] {
                    self.incarnation[at] = incarnation + 1;
                    self.health[at] = (self.health[at] + 1).min(8);
                    self.spread(at, at, Mark::Alive(incarnation + 1));
                }
            }
            return;
        }
        let known = self.marks[at][subject];
        let new = match (known, mark) {
            (Mark::Dead, _) => return,
            (_, Mark::Dead) => Mark::Dead,
            (Mark::Alive(a), Mark::Alive(b)) if b > a => mark,
            (Mark::Suspect(a, ..), Mark::Alive(b)) if b > a => mark,
            (Mark::Alive(a), Mark::Suspect(b, ..)) if b >= a => Mark::Suspect(b, self.now, 1),
            (Mark::Suspect(a, since, n), Mark::Suspect(b, ..)) if b == a && n < 4 => {
                Mark::Suspect(a, since, n + 1)
            }
            _ => return,
        };
        self.marks[at][subject] = new;
        self.took(subject, new);
        self.spread(at, subject, new);
    }

    fn took(&mut self, subject: usize, mark: Mark) {
        let cut_off = self.trouble == Trouble::Deaf && subject == 1;
        if mark == Mark::Dead && !self.dead.contains(&subject) && !cut_off {
            self.wrong.insert(subject);
        }
    }

    fn suspect(&mut self, at: usize, subject: usize) {
        if let Mark::Alive(incarnation) = self.marks[at][subject] {
            let mark = Mark::Suspect(incarnation, self.now, 1);
            self.marks[at][subject] = mark;
            self.spread(at, subject, mark);
        }
    }

    /// How long a suspicion lasts before it counts as a death.
    fn patience(&self, at: usize, confirmed: u32) -> f64 {
        let least = 4.0 * (self.n as f64).log10().max(1.0) * ROUND;
        if self.way == Way::Swim {
            return least;
        }
        let most = 6.0 * least;
        let shrunk = f64::from(confirmed).ln() / 4f64.ln();
        (most - (most - least) * shrunk).max(least) * f64::from(self.health[at].min(3) + 1)
    }

    fn round(&mut self) {
        for i in 0..self.n {
            if self.dead.contains(&i) || self.paused(i) {
                continue;
            }
            if self.way == Way::Phi {
                self.beat(i);
            } else {
                self.probe(i);
            }
            for subject in 0..self.n {
                if let Mark::Suspect(_, since, confirmed) = self.marks[i][subject] {
                    if self.now - since > self.patience(i, confirmed) {
                        self.marks[i][subject] = Mark::Dead;
                        self.took(subject, Mark::Dead);
                        self.spread(i, subject, Mark::Dead);
                    }
                }
            }
        }
        self.now += ROUND;
    }

    fn probe(&mut self, i: usize) {
        // One that doubts itself asks less often.
        if self.way == Way::Lifeguard && self.health[i] > 0 {
            let odds = f64::from(self.health[i] + 1);
            if self.chance.random::<f64>() > 1.0 / odds {
                return;
            }
        }
        let others: Vec<usize> = (0..self.n).filter(|j| *j != i && self.marks[i][*j] != Mark::Dead).collect();
        let Some(j) = others.choose(&mut self.chance).copied() else { return };
        if self.send(i, j) && self.send(j, i) {
            self.health[i] = self.health[i].saturating_sub(1);
            return;
        }
        let helpers: Vec<usize> = others.sample(&mut self.chance, HELPERS).copied().collect();
        let helped = helpers
            .into_iter()
            .filter(|h| *h != j)
            .any(|h| self.send(i, h) && self.send(h, j) && self.send(j, h) && self.send(h, i));
        if !helped {
            self.health[i] = (self.health[i] + 1).min(8);
            self.suspect(i, j);
        }
    }

    fn beat(&mut self, i: usize) {
        for k in 1..=RINGS.min(self.n - 1) {
            let to = (i + k * k) % self.n;
            if to != i && self.send(i, to) {
                let now = self.now;
                let (last, mean, var) = self.beats.get(&(to, i)).copied().unwrap_or((now, ROUND, 0.01));
                let gap = now - last;
                let mean = mean * 0.95 + gap * 0.05;
                let var = var * 0.95 + (gap - mean).powi(2) * 0.05;
                self.beats.insert((to, i), (now, mean, var));
            }
            let from = (i + self.n * self.n - k * k) % self.n;
            if let Some((last, mean, var)) = self.beats.get(&(i, from)).copied() {
                let z = (self.now - last - mean) / var.sqrt().max(0.1);
                // The logistic approximation of the normal law's tail.
                let tail = 1.0 / (1.0 + (z * (1.5976 + 0.070_566 * z * z)).exp());
                if -tail.max(1e-300).log10() > PHI && self.marks[i][from] != Mark::Dead {
                    self.marks[i][from] = Mark::Dead;
                    self.took(from, Mark::Dead);
                    self.spread(i, from, Mark::Dead);
                }
            }
        }
    }

    fn play(mut self, seconds: f64) -> Outcome {
        let mut outcome = Outcome::default();
        while self.now < seconds {
            self.round();
        }
        let living = self.n as f64 * seconds;
        outcome.sent = (self.sent.0 as f64 / living, self.sent.1 as f64 / living);
        outcome.seconds = seconds;
        let victim = if self.trouble == Trouble::Deaf { 1 } else { self.n - 1 };
        if self.trouble != Trouble::Deaf {
            self.dead.insert(victim);
        }
        // One that hears nobody has been so from the start.
        let from = if self.trouble == Trouble::Deaf { 0.0 } else { self.now };
        let known = |m: &Model| {
            (0..m.n)
                .filter(|i| *i != victim && !m.dead.contains(i) && !m.wrong.contains(i))
                .all(|i| m.marks[i][victim] == Mark::Dead)
        };
        while !known(&self) && self.now < seconds + 30.0 {
            self.round();
        }
        match known(&self) {
            true => outcome.found.push((self.now - from).max(ROUND)),
            false => outcome.missed = 1,
        }
        outcome.wrong = self.wrong.len();
        outcome
    }
}

/// The same with the program's modules.
fn observers(n: usize, trouble: Trouble, seed: u64, seconds: f64) -> Outcome {
    let mut w = World::new(seed, n, if n < 5 { 3 } else { 5 });
    (0..n).for_each(|h| w.start(h));
    w.run(15 * SECOND);
    w.history.removed.clear();
    w.weighs = true;
    w.hosts.iter_mut().for_each(|h| h.sent = (0, 0));
    if trouble == Trouble::Loss {
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| (a + b) % 3 == 0) {
            w.links.insert((a, b), Link { loss: 0.2, ..Link::default() });
        }
    }
    let victim = if trouble == Trouble::Deaf { 1 } else { n - 1 };
    let begun = w.now;
    if trouble == Trouble::Deaf {
        let others: Vec<usize> = (0..n).filter(|h| *h != victim).collect();
        w.cut(&others, &[victim]);
    }
    let out = |w: &World| {
        let living = (0..w.hosts.len()).filter(|h| *h != victim).filter_map(|h| w.hosts[h].node.as_ref());
        living.into_iter().all(|node| node.view().member(&name(victim)).is_none())
    };
    let mut outcome = Outcome { seconds, ..Outcome::default() };
    let mut found = None;
    let step = SECOND / 10;
    for i in 0..(seconds * 10.0) as i64 {
        if trouble == Trouble::Slow {
            for h in (0..n).filter(|h| h % 10 == 3 && (i + (h * 70 % 100) as i64) % 100 == 0) {
                w.pause(h, 2 * SECOND);
            }
        }
        w.run(step);
        if trouble == Trouble::Deaf && found.is_none() && out(&w) {
            found = Some(w.now - begun);
        }
    }
    let sent: (u64, u64) = w.hosts.iter().fold((0, 0), |s, h| (s.0 + h.sent.0, s.1 + h.sent.1));
    let living = n as f64 * seconds;
    outcome.sent = (sent.0 as f64 / living, sent.1 as f64 / living);
    if trouble != Trouble::Deaf {
        let killed = w.now;
        w.kill(victim);
        while !out(&w) && w.now < killed + 30 * SECOND {
            w.run(step);
        }
        found = out(&w).then_some(w.now - killed);
    }
    match found {
        Some(time) => outcome.found.push(time as f64 / SECOND as f64),
        None => outcome.missed = 1,
    }
    let wrong: BTreeSet<&String> =
        w.history.removed.iter().map(|r| &r.1).filter(|r| **r != name(victim)).collect();
    outcome.wrong = wrong.len();
    outcome
}

/// By way and trouble: brokers, seconds until a death is known, messages a second.
type Curves = BTreeMap<(Way, Trouble), Vec<(f64, f64, f64)>>;

/// Plays all ways with all troubles at all sizes, so many times each, and keeps a table and two charts.
pub fn compare(folder: &Path, trials: u64) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| e.to_string())?;
    let mut table = String::from(
        "way,trouble,brokers,trials,found_p50_s,found_p99_s,missed,wrongly_dead,living_broker_hours,messages_s,bytes_s\n",
    );
    let mut curves = Curves::new();
    for brokers in [5, 25, 100, 300] {
        for trouble in [Trouble::None, Trouble::Loss, Trouble::Slow, Trouble::Deaf] {
            for way in [Way::Swim, Way::Lifeguard, Way::Phi, Way::Observers] {
                let seconds = 60.0;
                let mut all = Outcome::default();
                for seed in 0..trials {
                    let one = match way {
                        Way::Observers => observers(brokers, trouble, seed, seconds),
                        _ => Model::new(way, brokers, trouble, seed).play(seconds),
                    };
                    all.found.extend(one.found);
                    all.missed += one.missed;
                    all.wrong += one.wrong;
                    all.seconds += one.seconds;
                    all.sent = (all.sent.0 + one.sent.0, all.sent.1 + one.sent.1);
                }
                all.found.sort_by(f64::total_cmp);
                let at = |q: f64| {
                    all.found.get(((all.found.len() as f64 * q) as usize).min(all.found.len().max(1) - 1))
                };
                let show = |v: Option<&f64>| v.map_or("-".to_string(), |v| format!("{v:.1}"));
                let (messages, bytes) = (all.sent.0 / trials as f64, all.sent.1 / trials as f64);
                let hours = all.seconds * brokers as f64 / 3600.0;
                let _ = writeln!(
                    table,
                    "{way:?},{trouble:?},{brokers},{trials},{},{},{},{},{hours:.1},{messages:.1},{bytes:.0}",
                    show(at(0.5)),
                    show(at(0.99)),
                    all.missed,
                    all.wrong
                );
                let point = (brokers as f64, at(0.5).copied().unwrap_or(30.0), messages);
                curves.entry((way, trouble)).or_default().push(point);
            }
        }
    }
    std::fs::write(folder.join("ways.csv"), &table).map_err(|e| e.to_string())?;
    print!("{table}");
    chart(&folder.join("found.svg"), "Until all know of a death, half of trials", "s", &curves, |p| p.1)?;
    chart(&folder.join("messages.svg"), "Messages a broker sends", "a second", &curves, |p| p.2)
}

fn chart(
    path: &Path,
    title: &str,
    unit: &str,
    curves: &Curves,
    value: impl Fn(&(f64, f64, f64)) -> f64,
) -> Result<(), String> {
    let calm: Vec<_> = curves.iter().filter(|((_, t), _)| *t == Trouble::None).collect();
    let most = calm.iter().flat_map(|(_, points)| points.iter().map(&value)).fold(1.0, f64::max);
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, (900, 520)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(16)
            .x_label_area_size(44)
            .y_label_area_size(64)
            .build_cartesian_2d((4.0..320.0).log_scale(), 0.0..most * 1.1)?;
        chart.configure_mesh().x_desc("brokers").y_desc(unit).draw()?;
        for (i, ((way, _), points)) in calm.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().map(|p| (p.0, value(p))), colour.stroke_width(2)))?
                .label(format!("{way:?}"))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| e.to_string())
}
