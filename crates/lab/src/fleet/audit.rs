//! What was seen of every request by its client and by the servers, and which rules were broken.

use super::trace::Trace;
use super::RunClock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// An attempt as a server saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// When its last byte was read, in seconds of the run.
    pub at: f64,
    /// When its first bytes came, by the kernel's count where the server read them late.
    pub begun: f64,
    /// When the server read them.
    pub read: f64,
    /// The server.
    pub server: usize,
    /// The broker's port of the connection.
    pub port: u16,
    /// How long the server was told that its answer is waited for, in milliseconds.
    pub told_ms: i64,
    /// Units of the request.
    pub units: i64,
    /// Whether it writes.
    pub write: bool,
    /// Its body is not the one that its client sent.
    pub spoilt: bool,
}

/// An answer as a server wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct Written {
    /// When the server began to write it, and when the kernel had all of it, in seconds of the run.
    pub span: (f64, f64),
    /// The server.
    pub server: usize,
    /// The broker's port of the connection.
    pub port: u16,
    /// It has been written before.
    pub again: bool,
}

/// What became of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    /// A value came that is its own.
    Served,
    /// Another request's value came.
    Wrong(String),
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// A value began, and the connection ended before it was whole: its client sees that it has failed.
    BrokenOff,
    /// The client left on purpose.
    Left,
    /// The connection ended without an answer.
    Closed {
        /// It was made for this request.
        new: bool,
    },
    /// Nothing came in its time and half a second more.
    Silent,
    /// No connection came up.
    NoConnection,
    /// A fault between the client and its broker ended the connection, or kept bytes from passing.
    Cut,
}

/// A request whose connection ended unanswered, with no attempt at any server. It may not have been read.
#[derive(Debug, Clone)]
struct Crossing {
    broker: usize,
    id: String,
    /// When it was sent, and when its end was seen.
    sent: f64,
    at: f64,
    command: Vec<u8>,
    /// It was sent once more, on a new connection.
    again: bool,
}

/// The times by which an answer is late or not, in seconds of the run.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// The end of its client's time, which does not run while answers ahead of it are waited for.
    pub due: f64,
    /// When it came: the first bytes of a value of over 64 KiB, else the last byte.
    pub counted: f64,
}

/// A value that its server could not go on writing, since its connection had ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CutOff {
    /// The server.
    pub server: usize,
    /// When it had written the last bytes that were taken.
    pub last: f64,
    /// When it found the connection ended.
    pub at: f64,
}

/// A request as its client saw it.
#[derive(Debug, Clone)]
pub struct Record {
    /// The broker that it was sent to.
    pub broker: usize,
    /// When its last byte was written.
    pub sent: f64,
    /// How long its client waits, in seconds.
    pub waits: f64,
    /// When it ended.
    pub ended: f64,
    /// When its answer was due, and when it counts as given.
    pub timing: Timing,
    /// How it ended.
    pub fate: Fate,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its client writes and reads in small pieces with rests between: when an answer is whole is its own doing.
    pub slow: bool,
}

/// How much later than a client's close an attempt may begin.
const AFTER_CLOSE: f64 = 0.1;
/// How much more than its client has left a server may be told.
const TOLD_SLACK: f64 = 0.15;
/// How long after a kill its clients have seen it.
const KILL_SEEN: f64 = 0.2;
/// Letters of a request's id, with which its value begins.
const ID_LENGTH: usize = 16;
/// How late a request's own answer may come before it counts as none.
const LATE: f64 = 0.5;

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// When, in seconds of the run.
    pub at: f64,
    /// Which rule, and the request.
    pub text: String,
}

/// All that was seen in a run.
#[derive(Debug, Default)]
pub struct Audit {
    attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
    answers: Mutex<BTreeMap<String, Vec<Written>>>,
    cut_off: Mutex<BTreeMap<String, CutOff>>,
    /// Servers behind a proxy that ends connections itself.
    proxied: Mutex<BTreeSet<usize>>,
    /// When brokers that had been told to stop were killed at the end of their grace.
    ended: Mutex<BTreeMap<usize, Vec<f64>>>,
    records: Mutex<BTreeMap<String, Record>>,
    starts: Mutex<BTreeMap<usize, Vec<ColdStart>>>,
    /// From when on nothing may be sent to servers that drain.
    barred: Mutex<BTreeMap<usize, f64>>,
    crossings: Mutex<Vec<Crossing>>,
    /// When brokers take no connections, and why that is allowed: their listeners are closed, or they are restarted.
    closed: Mutex<BTreeMap<usize, Vec<(f64, f64)>>>,
    /// Brokers whose listening sockets outlive their processes: no connection to them is ever refused.
    lasting_listeners: Mutex<BTreeSet<usize>>,
    /// When brokers were killed outright, under whatever they owed.
    killed: Mutex<BTreeMap<usize, Vec<f64>>>,
}

/// Requests by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// All.
    pub all: usize,
    /// Served with their own value.
    pub served: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// No answer, for whatever reason, but not by a cut.
    pub unanswered: usize,
    /// No connection came up.
    pub not_connected: usize,
    /// Cut off between the client and its broker.
    pub cut: usize,
    /// Answered after their time.
    pub late: usize,
}

impl Audit {
    /// A server has read an attempt whole.
    pub fn attempt(&self, id: &str, attempt: Attempt) {
        self.attempts.lock().expect("attempts").entry(id.to_string()).or_default().push(attempt);
    }

    /// The attempts of a request that servers have seen, in their order.
    pub fn attempts_of(&self, id: &str) -> Vec<Attempt> {
        self.attempts.lock().expect("attempts").get(id).cloned().unwrap_or_default()
    }

    /// A server has written an answer.
    pub fn answered(&self, id: &str, written: Written) {
        self.answers.lock().expect("answers").entry(id.to_string()).or_default().push(written);
    }

    /// A server could not write the rest of a value.
    pub fn cut_off(&self, id: &str, cut: CutOff) {
        self.cut_off.lock().expect("values cut off").insert(id.to_string(), cut);
    }

    /// A proxy before a server ends connections of its own.
    pub fn stands_behind_proxy(&self, server: usize) {
        self.proxied.lock().expect("proxied servers").insert(server);
    }

    /// A broker that had been told to stop was killed.
    pub fn ended(&self, broker: usize, at: f64) {
        self.ended.lock().expect("ended brokers").entry(broker).or_default().push(at);
    }

    /// How a broker cut a value off that its server still gave, if it did: nobody else has ended either connection.
    fn was_cut_off(&self, id: &str, record: &Record) -> Option<CutOff> {
        let cut = self.cut_off.lock().expect("values cut off").get(id).copied()?;
        let proxied = self.proxied.lock().expect("proxied servers").contains(&cut.server);
        let ended = self.ended.lock().expect("ended brokers");
        let under = |at: &f64| *at > record.sent && *at <= record.ended + KILL_SEEN;
        let was_ended = ended.get(&record.broker).is_some_and(|at| at.iter().any(under));
        (record.fate == Fate::BrokenOff && !proxied && !was_ended).then_some(cut)
    }

    /// Whose value a client was given in the place of its own, and by which way: what servers saw and wrote of both requests.
    fn way_of(&self, id: &str, value: &str, attempts: &BTreeMap<String, Vec<Attempt>>) -> String {
        let answers = self.answers.lock().expect("answers");
        let other = value.get(..ID_LENGTH).unwrap_or(value);
        format!(
            "its own answers {:?}; of {other}: attempts {:?}, answers {:?}",
            answers.get(id).unwrap_or(&Vec::new()),
            attempts.get(other).unwrap_or(&Vec::new()),
            answers.get(other).unwrap_or(&Vec::new()),
        )
    }

    /// Whether a server has seen an attempt of a request.
    pub fn was_tried(&self, id: &str) -> bool {
        self.attempts.lock().expect("attempts").contains_key(id)
    }

    /// A client is done with a request.
    pub fn record(&self, id: &str, record: Record) {
        self.records.lock().expect("records").insert(id.to_string(), record);
    }

    /// A connection ended under a request that no server has seen.
    pub fn crossed(&self, broker: usize, id: &str, (sent, at): (f64, f64), command: &[u8], again: bool) {
        let (id, command) = (id.to_string(), command.to_vec());
        self.crossings.lock().expect("crossings").push(Crossing { broker, id, sent, at, command, again });
    }

    /// A broker takes no connections for a time, as it may.
    pub fn takes_none(&self, broker: usize, from: f64, to: f64) {
        self.closed.lock().expect("closed listeners").entry(broker).or_default().push((from, to));
    }

    /// A broker's listening socket outlives its processes.
    pub fn listens_for_good(&self, broker: usize) {
        self.lasting_listeners.lock().expect("lasting listeners").insert(broker);
    }

    /// A broker was killed outright: what it owed then is not its fault.
    pub fn killed(&self, broker: usize, at: f64) {
        self.killed.lock().expect("kills").entry(broker).or_default().push(at);
    }

    /// Requests that a broker has read whole, whose connection it then ended without an answer, by what the system gave
    /// it. `traces` are those of all of its processes.
    pub fn read_and_closed(&self, broker: usize, traces: &[Trace], clock: RunClock) -> Vec<Breach> {
        let crossings = self.crossings.lock().expect("crossings");
        let own =
            crossings.iter().filter(|c| c.broker == broker && !self.was_killed_under(broker, c.sent, c.at));
        let read = own.filter(|c| {
            // What was read after its client had given up was nobody's request any more.
            let by_ms = clock.since_boot_ms(c.at);
            let times: usize = traces.iter().map(|trace| trace.times_read(&c.command, by_ms)).sum();
            times > usize::from(c.again)
        });
        read.map(|c| Breach {
            at: c.at,
            text: format!(
                "read, then closed without an answer: {} at broker {} sent {:.3} again {}",
                c.id, c.broker, c.sent, c.again
            ),
        })
        .collect()
    }

    /// Crossings of which it is to be told whether they were read.
    pub fn crossings(&self) -> usize {
        self.crossings.lock().expect("crossings").len()
    }

    /// Whether a broker was killed between two moments, or shortly before the later one.
    fn was_killed_under(&self, broker: usize, from: f64, to: f64) -> bool {
        let killed = self.killed.lock().expect("kills");
        let under = |at: &f64| *at > from - KILL_SEEN && *at <= to;
        killed.get(&broker).is_some_and(|at| at.iter().any(under))
    }

    /// Whether no connection may come up: its broker has no listening socket at that time.
    fn may_refuse(&self, record: &Record, slack: f64) -> bool {
        let lasting = self.lasting_listeners.lock().expect("lasting listeners").contains(&record.broker);
        !lasting && self.takes_none_during(record, slack)
    }

    /// Whether nobody accepts at that time, so that a connection may come up and be left unread.
    fn takes_none_during(&self, record: &Record, slack: f64) -> bool {
        let closed = self.closed.lock().expect("closed listeners");
        let within = |(from, to): &(f64, f64)| record.ended >= *from - slack && record.sent <= *to + slack;
        closed.get(&record.broker).is_some_and(|times| times.iter().any(within))
    }

    /// Nothing new may be sent to a server from then on.
    pub fn bar(&self, server: usize, from: f64) {
        self.barred.lock().expect("drains").insert(server, from);
    }

    /// A server has started cold; from `told` on all brokers know of it.
    pub fn started(&self, server: usize, at: f64, told: f64) {
        self.starts.lock().expect("starts").entry(server).or_default().push(ColdStart { at, told });
    }

    /// Requests by what became of them.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for record in self.records.lock().expect("records").values() {
            counts.all += 1;
            match record.fate {
                Fate::Served => counts.served += 1,
                Fate::Refused => counts.refused += 1,
                Fate::Failed | Fate::BrokenOff => counts.failed += 1,
                Fate::Left => {}
                Fate::Cut => counts.cut += 1,
                Fate::NoConnection => counts.not_connected += 1,
                Fate::Wrong(_) | Fate::Closed { .. } | Fate::Silent => counts.unanswered += 1,
            }
            let answered =
                matches!(record.fate, Fate::Served | Fate::Refused | Fate::Failed | Fate::BrokenOff);
            counts.late += usize::from(answered && record.ended > record.sent + record.waits);
        }
        counts
    }

    /// Every rule that was broken. Stand-ins that ran late themselves by up to `slack` seconds prove nothing.
    pub fn breaches(&self, slack: f64) -> Vec<Breach> {
        let (records, attempts) =
            (self.records.lock().expect("records"), self.attempts.lock().expect("attempts"));
        let barred = self.barred.lock().expect("drains");
        let none = Vec::new();
        let mut found = Vec::new();
        for (id, record) in records.iter() {
            let tried = attempts.get(id).unwrap_or(&none);
            let mut breach = |at: f64, what: &str| {
                let (sent, waits, fate) = (record.sent, record.waits, &record.fate);
                let broker = record.broker;
                let text = format!(
                    "{what}: {id} at broker {broker} sent {sent:.3} waits {waits:.3} {fate:?}, attempts {tried:?}"
                );
                found.push(Breach { at, text });
            };
            let killed = self.was_killed_under(record.broker, record.sent, record.ended);
            match &record.fate {
                Fate::Closed { .. } | Fate::Silent | Fate::NoConnection if killed => {}
                Fate::Silent if record.slow => {}
                // What was read all the same is found by `read_and_closed`.
                Fate::NoConnection if self.may_refuse(record, slack) => {}
                Fate::Closed { new: true } | Fate::Silent
                    if tried.is_empty() && self.takes_none_during(record, slack) => {}
                Fate::NoConnection => breach(record.ended, "no connection to a broker that listens"),
                Fate::Wrong(value) => {
                    let way = self.way_of(id, value, &attempts);
                    breach(record.ended, &format!("answer of another request: {way}"));
                }
                Fate::Silent => breach(record.ended, "no answer in its time"),
                Fate::Closed { new: true } => {
                    breach(record.ended, "closed without an answer, new connection")
                }
                Fate::Closed { .. } if !tried.is_empty() => {
                    breach(record.ended, "closed after it was forwarded")
                }
                Fate::Served | Fate::Refused | Fate::Failed | Fate::BrokenOff
                    if !record.slow && record.timing.counted > record.timing.due + LATE + slack =>
                {
                    breach(record.ended, "answer too late")
                }
                Fate::BrokenOff if !killed => {
                    if let Some(cut) = self.was_cut_off(id, record) {
                        breach(record.ended, &format!("cut off while its server went on, {cut:?}"));
                    }
                }
                _ => {}
            }
            if matches!(record.fate, Fate::Left | Fate::Cut) {
                let after = |a: &&Attempt| a.begun > record.ended + AFTER_CLOSE + slack;
                if let Some(attempt) = tried.iter().find(after) {
                    breach(attempt.at, "begun after its client had gone");
                }
            }
            if record.fate == Fate::Refused && !record.repeatable && !tried.is_empty() {
                breach(record.ended, "refused though it may have run");
            }
            // A client that sees its broker killed cannot tell whether its request was read, and sends it once more.
            let spans = (tried.first(), tried.last());
            let killed_between = matches!(spans, (Some(a), Some(b)) if {
                self.was_killed_under(record.broker, a.at.min(b.at), a.at.max(b.at) + KILL_SEEN)
            });
            if !record.repeatable && tried.len() > 1 && !killed_between {
                breach(record.ended, "ran more than once");
            }
            for attempt in tried {
                if barred.get(&attempt.server).is_some_and(|from| attempt.begun > from + slack) {
                    breach(attempt.begun, "sent to a server that drains");
                }
                if attempt.spoilt {
                    breach(attempt.at, "forwarded with another body");
                }
                let left = record.sent + record.waits - attempt.begun;
                if attempt.told_ms as f64 / 1e3 > left + TOLD_SLACK + slack {
                    breach(attempt.at, "told more than its client has left");
                }
            }
        }
        found.sort_by(|a, b| a.at.total_cmp(&b.at));
        found
    }

    /// Which server's start had the worst window, when it was, and the ids of what was sent in it, for whoever looks for the cause.
    pub fn worst_start(&self, terms: &ColdTerms) -> Option<(usize, f64, Vec<String>)> {
        let attempts = self.attempts.lock().expect("attempts");
        let mut by_server: BTreeMap<usize, Vec<(f64, f64, &str)>> = BTreeMap::new();
        for (id, attempt) in attempts.iter().flat_map(|(id, all)| all.iter().map(move |a| (id, a))) {
            let work = attempt.units as f64 / terms.mean_units;
            by_server.entry(attempt.server).or_default().push((attempt.at, work, id));
        }
        let mut worst: Option<(f64, usize, f64, Vec<String>)> = None;
        for (server, starts) in self.starts.lock().expect("starts").iter() {
            let Some(sent) = by_server.get_mut(server) else { continue };
            sent.sort_by(|a, b| a.0.total_cmp(&b.0));
            let works: Vec<(f64, f64)> = sent.iter().map(|(at, work, _)| (*at, *work)).collect();
            for start in starts {
                let part = terms.worst_window(*start, &works);
                if worst.as_ref().is_none_or(|(before, ..)| part > *before) {
                    let within =
                        sent.iter().filter(|(at, ..)| *at >= start.told && *at < start.at + terms.cold);
                    let ids = within.map(|(at, _, id)| format!("{at:.3} {id}")).collect();
                    worst = Some((part, *server, start.at, ids));
                }
            }
        }
        worst.map(|(_, server, start, ids)| (server, start, ids))
    }

    /// The worst window of every cold start as a part of what it may bear: N calls of mean work, two roots of N and
    /// two more. Below 30 the chance is larger: three roots and three.
    pub fn worst_cold_window(&self, terms: &ColdTerms) -> f64 {
        let attempts = self.attempts.lock().expect("attempts");
        let mut by_server: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
        for attempt in attempts.values().flatten() {
            let work = attempt.units as f64 / terms.mean_units;
            by_server.entry(attempt.server).or_default().push((attempt.at, work));
        }
        let mut worst: f64 = 0.0;
        for (server, starts) in self.starts.lock().expect("starts").iter() {
            let Some(sent) = by_server.get_mut(server) else { continue };
            sent.sort_by(|a, b| a.0.total_cmp(&b.0));
            for start in starts {
                worst = worst.max(terms.worst_window(*start, sent));
            }
        }
        worst
    }
}

/// A start of a server.
#[derive(Debug, Clone, Copy)]
struct ColdStart {
    at: f64,
    /// When all brokers know of it: a fall counts only where over two thirds came from those that do.
    told: f64,
}

/// What the settings say of cold servers.
#[derive(Debug, Clone, Copy)]
pub struct ColdTerms {
    /// Units that a server just started bears in a window.
    pub units: f64,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Part of its capacity that a server starts with.
    pub from: f64,
    /// Seconds until it is warm.
    pub cold: f64,
    /// Length of the window in seconds.
    pub window: f64,
}

impl ColdTerms {
    fn budget(&self, age: f64) -> f64 {
        let proven = ((age - self.window).max(0.0) / self.cold).min(1.0);
        self.units / self.mean_units * (self.from + (1.0 - self.from) * proven) / self.from
    }

    fn most(&self, age: f64) -> f64 {
        let n = self.budget(age);
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }

    fn worst_window(&self, start: ColdStart, sent: &[(f64, f64)]) -> f64 {
        let cold: Vec<&(f64, f64)> =
            sent.iter().filter(|(at, _)| *at >= start.told && *at < start.at + self.cold).collect();
        let window = |end: f64| {
            let inside = cold.iter().filter(|(at, _)| *at <= end && *at > end - self.window);
            inside.map(|(_, work)| work).sum::<f64>() / self.most(end - start.at)
        };
        cold.iter().map(|(end, _)| window(*end)).fold(0.0, f64::max)
    }
}
