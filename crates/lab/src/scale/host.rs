//! A process of hollow brokers: the program's own driver, many times on one thread, with nothing behind its hooks. It is
//! told by lines of JSON and answers in such lines; `docs/design/size.md` says which.

use super::usage::own_thread;
use super::{io, ScaleError, Watch};
use claywinch::run::cluster::{Cluster, File, Hooks, Order};
use claywinch::state::membership::mix;
use claywinch::wire::admin::handler::Cluster as _;
use claywinch::wire::clock::Clock;
use claywinch::wire::link::SendDeadlines;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Words that wait to be done, and lines that wait to be written; more of them hold up whoever brings them.
const MOST_WAITING: usize = 8_192;
/// What brokers say that waits to be read: each of these texts may be long.
const MOST_TEXTS: usize = 8;
/// Between two turns that are measured.
const TICK: Duration = Duration::from_millis(10);
/// How long one that leaves may take.
const GOING: Duration = Duration::from_millis(1_500);
/// How long an operator's call waits for its answer, as the operators' address has it.
const ASKED: Duration = Duration::from_millis(900);
/// How long a change is asked for, again and again.
const PRESSED: Duration = Duration::from_secs(60);
/// Digests of views that were told whole; the oldest are told again.
const MOST_TOLD: usize = 256;

/// What a host is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// Starts a broker by its file.
    Start {
        /// Its name.
        name: String,
        /// Its cluster file.
        file: PathBuf,
    },
    /// Ends one without a word.
    Kill(String),
    /// Has one leave, and ends it.
    Leave(String),
    /// Asks one to take a node out everywhere, or to put it back.
    Drain {
        /// The broker.
        name: String,
        /// The node.
        node: String,
        /// Whether it is to be out.
        out: bool,
    },
    /// Asks for what all say, and the worst lateness; the number comes back.
    Said(u64),
    /// The host is to end.
    End(()),
}

/// A line that a host writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Unix time, in nanoseconds.
    pub at: u64,
    /// What it tells.
    #[serde(flatten)]
    pub what: What,
}

/// What a line tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum What {
    /// These nodes are out here from now on.
    InForce {
        /// The broker.
        name: String,
        /// All nodes that are out.
        in_force: Arc<BTreeSet<String>>,
    },
    /// This broker may send nothing to nodes, or may again.
    Halted {
        /// The broker.
        name: String,
        /// Whether it may not.
        halted: bool,
    },
    /// A change that was asked for was told to be agreed on, with the milliseconds until it holds; without them it was lost.
    Drained {
        /// The broker that was asked.
        name: String,
        /// The node.
        drained: String,
        /// Whether it is out.
        out: bool,
        /// See there.
        within_ms: Option<u64>,
    },
    /// What a broker says.
    Said {
        /// In short.
        said: Said,
    },
    /// A view, once for each digest.
    View {
        /// Its digest.
        digest: u64,
        /// It.
        view: Whole,
    },
    /// All have said what they do.
    Polled {
        /// The number that was asked by.
        polled: u64,
        /// The worst lateness of a turn since the last, in microseconds.
        late_us: u64,
    },
    /// A broker runs.
    Started {
        /// The broker.
        started: String,
    },
    /// A broker runs no more.
    Ended {
        /// The broker.
        ended: String,
    },
    /// A broker could not be started.
    Failed {
        /// The broker.
        failed: String,
        /// Why.
        reason: String,
    },
    /// The host stands.
    Ready {
        /// Its process.
        process: u32,
        /// The thread of its brokers.
        thread: u32,
    },
}

/// What a broker says of its cluster, in short.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Said {
    /// The broker.
    pub name: String,
    /// The number of its view.
    pub view: u64,
    /// Its phase.
    pub phase: String,
    /// Whether it holds a lease.
    pub leased: bool,
    /// Whether it leads the voters.
    pub leads: bool,
    /// How many members its view has.
    pub size: usize,
    /// Of members, incarnations and drains.
    pub digest: u64,
}

/// A view as a broker shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    /// Its number.
    pub number: u64,
    /// Its members with their incarnations.
    pub members: Vec<(String, u64)>,
    /// The nodes that are out.
    pub drains: BTreeSet<String>,
}

impl Whole {
    /// A number that differs where views do.
    pub fn digest(&self) -> u64 {
        let start = mix(&[], self.number);
        let start = self.members.iter().fold(start, |h, (name, i)| mix(name.as_bytes(), h ^ i));
        self.drains.iter().fold(start, |h, d| mix(d.as_bytes(), h.rotate_left(7)))
    }
}

#[derive(Deserialize)]
struct Head {
    view: u64,
    #[serde(rename = "self")]
    own: String,
    phase: String,
    leads: bool,
    leased: bool,
    drains: BTreeSet<String>,
    members: Vec<Shown>,
}

#[derive(Deserialize)]
struct Shown {
    name: String,
    incarnation: u64,
    state: String,
}

/// Reads what `MEMBERS` says. The last list of members is held, since all brokers of a host mostly say the same.
#[derive(Debug, Default)]
pub struct Reader {
    text: String,
    members: Vec<(String, u64)>,
}

impl Reader {
    /// What it says, in short and whole; nothing of one that takes no part.
    pub fn read(&mut self, text: &str) -> Option<(Said, Whole)> {
        const MEMBERS: &str = ",\"members\":";
        let (head, members) = match text.split_once(MEMBERS) {
            Some((head, members)) if members == self.text => {
                let head: Head = serde_json::from_str(&format!("{head}{MEMBERS}[]}}")).ok()?;
                (head, self.members.clone())
            }
            split => {
                let mut head: Head = serde_json::from_str(text).ok()?;
                let list = std::mem::take(&mut head.members);
                let list = list.into_iter().filter(|m| m.state != "left");
                self.members = list.map(|m| (m.name, m.incarnation)).collect();
                self.text = split.map(|(_, members)| members.to_string()).unwrap_or_default();
                (head, self.members.clone())
            }
        };
        let whole = Whole { number: head.view, members, drains: head.drains };
        let said = Said {
            name: head.own,
            view: head.view,
            phase: head.phase,
            leased: head.leased,
            leads: head.leads,
            size: whole.members.len(),
            digest: whole.digest(),
        };
        Some((said, whole))
    }
}

/// What goes to the thread that writes.
enum Out {
    Line(Line),
    /// What a broker says, as text.
    Text(u64, String),
}

/// Lines on their way to be written.
#[derive(Clone)]
struct Pen {
    watch: Watch,
    out: SyncSender<Out>,
    texts: Arc<AtomicUsize>,
}

impl Pen {
    fn note(&self, what: What) {
        // Fails only where nobody reads any more: then the host ends, too.
        let _ = self.out.send(Out::Line(Line { at: self.watch.now(), what }));
    }
}

fn write_all(lines: Receiver<Out>, texts: &AtomicUsize, to: impl Write) -> std::io::Result<()> {
    let mut to = BufWriter::new(to);
    let (mut reader, mut told) = (Reader::default(), BTreeSet::new());
    let put = |to: &mut BufWriter<_>, line: &Line| -> std::io::Result<()> {
        serde_json::to_writer(&mut *to, line)?;
        to.write_all(b"\n")
    };
    loop {
        let next = match lines.try_recv() {
            Ok(next) => next,
            Err(_) => {
                to.flush()?;
                let Ok(next) = lines.recv() else { return Ok(()) };
                next
            }
        };
        match next {
            Out::Line(line) => put(&mut to, &line)?,
            Out::Text(at, text) => {
                let read = reader.read(&text);
                texts.fetch_sub(1, Ordering::Relaxed);
                let Some((said, view)) = read else { continue };
                if told.insert(said.digest) {
                    if told.len() > MOST_TOLD {
                        told = BTreeSet::from([said.digest]);
                    }
                    put(&mut to, &Line { at, what: What::View { digest: said.digest, view } })?;
                }
                put(&mut to, &Line { at, what: What::Said { said } })?;
            }
        }
    }
}

/// A hollow broker that runs.
struct Hollow {
    cluster: Cluster,
    task: tokio::task::JoinHandle<()>,
}

type Brokers = Rc<RefCell<BTreeMap<String, Hollow>>>;

/// Hooks behind which there is nothing: drains are in force at once, and noted.
fn hooks(name: &str, pen: &Pen) -> Hooks {
    let last: RefCell<Option<Arc<BTreeSet<String>>>> = RefCell::default();
    let (own, notes) = (name.to_string(), pen.clone());
    let apply = Box::new(move |drains: &BTreeSet<String>| {
        let (done, told) = oneshot::channel();
        if last.borrow().as_deref() != Some(drains) {
            let in_force = Arc::new(drains.clone());
            last.replace(Some(in_force.clone()));
            notes.note(What::InForce { name: own.clone(), in_force });
        }
        let _ = done.send(());
        told
    });
    let (own, notes) = (name.to_string(), pen.clone());
    let halt = Box::new(move |halted| notes.note(What::Halted { name: own.clone(), halted }));
    let permit = Rc::new(SendDeadlines { lease: Rc::default(), list: Cell::default() });
    Hooks { apply, halt, permit }
}

/// Starts one; it runs in a set of tasks of its own, so that it can be ended whole.
fn start(name: String, file: PathBuf, clock: Clock, pen: Pen, brokers: Brokers) {
    let held = brokers.clone();
    if held.borrow().contains_key(&name) {
        return pen.note(What::Failed { failed: name, reason: "it runs".to_string() });
    }
    let (ready, begun) = oneshot::channel::<Cluster>();
    let (own, notes) = (name.clone(), pen.clone());
    let task = tokio::task::spawn_local(async move {
        let set = tokio::task::LocalSet::new();
        let run = async {
            let file = match File::read(&file.to_string_lossy()) {
                Ok(file) => file,
                Err(reason) => return notes.note(What::Failed { failed: own, reason }),
            };
            let seed = mix(own.as_bytes(), clock.now() as u64);
            match Cluster::start(file, seed, clock, hooks(&own, &notes)).await {
                Ok(cluster) => {
                    let _ = ready.send(cluster);
                    std::future::pending().await
                }
                Err(error) => notes.note(What::Failed { failed: own, reason: error.to_string() }),
            }
        };
        set.run_until(run).await;
    });
    tokio::task::spawn_local(async move {
        if let Ok(cluster) = begun.await {
            brokers.borrow_mut().insert(name.clone(), Hollow { cluster, task });
            pen.note(What::Started { started: name });
        }
    });
}

async fn end(name: String, leaves: bool, pen: Pen, brokers: Brokers) {
    let hollow = brokers.borrow_mut().remove(&name);
    if let Some(Hollow { cluster, task }) = hollow {
        if leaves {
            let (told, gone) = oneshot::channel();
            cluster.order(Order::Leave(Some(told)));
            let _ = tokio::time::timeout(GOING, gone).await;
        }
        task.abort();
        let _ = task.await;
    }
    pen.note(What::Ended { ended: name });
}

/// Asks as an operator does: one who hears nothing for a while asks again.
async fn drain(name: String, node: String, out: bool, pen: Pen, brokers: Brokers) {
    let (mut within_ms, end) = (None, tokio::time::Instant::now() + PRESSED);
    while within_ms.is_none() && tokio::time::Instant::now() < end {
        let (told, agreed) = oneshot::channel();
        match brokers.borrow().get(&name) {
            Some(hollow) => hollow.cluster.order(Order::Drain(node.clone(), out, told)),
            None => break,
        }
        let answer = tokio::time::timeout(ASKED, agreed).await.ok().and_then(Result::ok);
        within_ms = answer.and_then(Result::ok);
    }
    pen.note(What::Drained { name, drained: node, out, within_ms });
}

/// Has all say what they do, a few at a time: what they say is read on another thread.
async fn say(number: u64, pen: Pen, brokers: Brokers, late: Rc<Cell<u64>>) {
    let names: Vec<String> = brokers.borrow().keys().cloned().collect();
    for name in names {
        while pen.texts.load(Ordering::Relaxed) >= MOST_TEXTS {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let text = brokers.borrow().get(&name).map(|h| h.cluster.members());
        if let Some(text) = text.filter(|t| !t.is_empty()) {
            pen.texts.fetch_add(1, Ordering::Relaxed);
            let _ = pen.out.send(Out::Text(pen.watch.now(), text));
        }
        tokio::task::yield_now().await;
    }
    while pen.texts.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    pen.note(What::Polled { polled: number, late_us: late.take() });
}

/// Runs hollow brokers as it is told, until it is told to end or nobody tells it any more.
pub fn run(from: impl Read + Send + 'static, to: impl Write + Send + 'static) -> Result<(), ScaleError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        // What a thread has spent is read while it stands.
        .thread_keep_alive(Duration::from_secs(3_600))
        .max_blocking_threads(4)
        .build()
        .map_err(io("starting the runtime"))?;
    let (out, lines) = sync_channel(MOST_WAITING);
    let pen = Pen { watch: Watch::default(), out, texts: Arc::default() };
    let texts = pen.texts.clone();
    let writer = std::thread::Builder::new().name("lab-out".to_string());
    let writer = writer.spawn(move || write_all(lines, &texts, to)).map_err(io("a thread"))?;
    let (words, mut told) = mpsc::channel(MOST_WAITING);
    let reader = std::thread::Builder::new().name("lab-in".to_string());
    let read = move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            let word = serde_json::from_str(&line).map_err(|e| format!("{line}: {e}"));
            if words.blocking_send(word).is_err() {
                return;
            }
        }
    };
    // It ends with what it reads from.
    reader.spawn(read).map_err(io("a thread"))?;
    let (process, thread) = own_thread().unwrap_or_default();
    pen.note(What::Ready { process, thread });
    let (clock, brokers, late) = (Clock::system(), Brokers::default(), Rc::new(Cell::new(0)));
    let all = tokio::task::LocalSet::new();
    let outcome = all.block_on(&runtime, async {
        let worst = late.clone();
        tokio::task::spawn_local(async move {
            loop {
                let due = tokio::time::Instant::now() + TICK;
                tokio::time::sleep_until(due).await;
                worst.set(worst.get().max(due.elapsed().as_micros() as u64));
            }
        });
        while let Some(word) = told.recv().await {
            let (pen, brokers) = (pen.clone(), brokers.clone());
            match word.map_err(ScaleError::Host)? {
                Word::Start { name, file } => start(name, file, clock, pen, brokers),
                Word::Kill(name) => drop(tokio::task::spawn_local(end(name, false, pen, brokers))),
                Word::Leave(name) => drop(tokio::task::spawn_local(end(name, true, pen, brokers))),
                Word::Drain { name, node, out } => {
                    drop(tokio::task::spawn_local(drain(name, node, out, pen, brokers)));
                }
                Word::Said(number) => {
                    drop(tokio::task::spawn_local(say(number, pen, brokers, late.clone())));
                }
                Word::End(()) => break,
            }
        }
        Ok(())
    });
    brokers.borrow_mut().clear();
    drop(all);
    drop(runtime);
    drop(pen);
    // What could not be written was for one who reads no more.
    let _ = writer.join();
    outcome
}

/// Words its log as the program does, and throws it away: what that costs is part of what is measured.
pub fn log_to_nowhere() {
    use tracing_subscriber::EnvFilter;
    let log = tracing_subscriber::fmt().with_env_filter(EnvFilter::new("info")).with_ansi(false);
    // One that has been set before is as good.
    let _ = log.with_writer(std::io::sink).try_init();
}
