//! Drives the membership among brokers: its file, its socket, its store and its turns.

use super::error::{io, StartError};
use super::folder::run_blocking;
use crate::interface::Time;
use crate::state::membership::council::CouncilError;
use crate::state::membership::delta::Delta;
use crate::state::membership::drains::{CallId, Decided, Decision};
use crate::state::membership::lease::over_after;
use crate::state::membership::node::{Node, Output, Phase};
use crate::state::membership::{Settings, View, MOST_DRAINS, MOST_NAME};
use crate::wire::admin::handler;
use crate::wire::clock::Clock;
use crate::wire::cluster::{encode, Parts, MOST_DATAGRAM};
use crate::wire::link::Permit;
use redb::{Database, ReadableDatabase, TableDefinition};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

/// Between two turns that no packet brings about.
const TURN: Duration = Duration::from_millis(50);
/// Packets read in one turn; what comes beyond waits at the socket, and is lost when that is full.
const MOST_PACKETS: usize = 256;
/// How long a departure may take at the end of the process.
const GOING: Duration = Duration::from_millis(1_500);
/// How long a drain that was asked for is pressed for.
const PRESS: Time = 900_000;
/// Between two tries to open a store that another process holds.
const HELD: Duration = Duration::from_millis(200);
/// What is kept: one value.
const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("membership");
const KEY: &str = "voter";
/// Whose store it is.
const OWNER: &str = "owner";

/// The file that `$CLAYWINCH_CLUSTER` names.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The cluster's name.
    #[serde(default = "cluster")]
    pub cluster: String,
    /// This broker's name.
    pub name: String,
    /// Address that it listens on, UDP.
    pub listen: SocketAddrV4,
    /// Address by which others reach it.
    pub advertise: SocketAddrV4,
    /// Addresses that are asked for the cluster, the same at all brokers; the first three found it, or five.
    pub seeds: Vec<SocketAddrV4>,
    /// Where a voter keeps what it must not forget. Without it, beside this file.
    pub store: Option<PathBuf>,
    /// Milliseconds between two probes.
    #[serde(default = "probe_ms")]
    pub probe_ms: u32,
    /// Milliseconds without an answer after which a broker is called silent.
    #[serde(default = "silence_ms")]
    pub silence_ms: u32,
    /// Milliseconds that a set stands still before it is cut.
    #[serde(default = "settle_ms")]
    pub settle_ms: u32,
    /// Seconds after which a voter that is out is replaced.
    #[serde(default = "replace_s")]
    pub replace_s: u32,
    /// Milliseconds that a broker may send to nodes without a new word of the voters.
    #[serde(default = "lease_ms")]
    pub lease_ms: u32,
    /// What a broker does without a lease.
    #[serde(default)]
    pub without_lease: WithoutLease,
}

/// What a broker does that can reach too few voters for a lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WithoutLease {
    /// It sends nothing to nodes, since one of them may have been taken out.
    #[default]
    Stop,
    /// It goes on as it last knew. Drains then hold only at brokers that hear of them.
    Serve,
}

fn cluster() -> String {
    "claywinch".to_string()
}

fn probe_ms() -> u32 {
    500
}

fn silence_ms() -> u32 {
    4_000
}

fn settle_ms() -> u32 {
    500
}

fn lease_ms() -> u32 {
    3_000
}

fn replace_s() -> u32 {
    30
}

impl File {
    /// Reads the file; what cannot work is refused by its key.
    pub fn read(path: &str) -> Result<File, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        let mut file: File = toml::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
        file.check().map_err(|e| format!("{path}: {e}"))?;
        let beside = || Path::new(path).with_file_name(format!("claywinch-{}.redb", file.name));
        file.store = Some(file.store.clone().unwrap_or_else(beside));
        Ok(file)
    }

    fn check(&self) -> Result<(), String> {
        let name = |key: &str, n: &str| {
            let fits = !n.is_empty() && n.len() <= MOST_NAME;
            let plain = n.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
            if fits && plain {
                Ok(())
            } else {
                Err(format!("{key} = {n:?}: 1 to {MOST_NAME} of a-z, 0-9, -, _ and ."))
            }
        };
        name("name", &self.name)?;
        name("cluster", &self.cluster)?;
        if self.seeds.is_empty() {
            return Err("seeds: name one address at least".to_string());
        }
        let different: BTreeSet<_> = self.seeds.iter().collect();
        if different.len() < self.seeds.len() {
            return Err("seeds: an address is named twice".to_string());
        }
        if self.advertise.ip().is_unspecified() || self.advertise.port() == 0 {
            return Err(format!("advertise = \"{}\": others cannot reach that", self.advertise));
        }
        if self.probe_ms < 100 {
            return Err(format!("probe_ms = {}: 100 at least", self.probe_ms));
        }
        if self.silence_ms < 4 * self.probe_ms {
            return Err(format!("silence_ms = {}: four times probe_ms at least", self.silence_ms));
        }
        if self.lease_ms < 2 * self.probe_ms {
            return Err(format!("lease_ms = {}: twice probe_ms at least", self.lease_ms));
        }
        Ok(())
    }

    fn settings(&self) -> Settings {
        let ms = |t: u32| i64::from(t) * 1_000;
        Settings {
            cluster: self.cluster.clone(),
            name: self.name.clone(),
            address: self.advertise.to_string(),
            seeds: self.seeds.iter().map(ToString::to_string).collect(),
            probe: ms(self.probe_ms),
            silence: ms(self.silence_ms),
            settle: ms(self.settle_ms),
            replace: i64::from(self.replace_s) * 1_000_000,
            lease: ms(self.lease_ms),
        }
    }
}

/// A failure of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has it open.
    #[error("another process holds it")]
    Held,
    /// It is that of another broker, or of another cluster.
    #[error("it is that of {0}")]
    Other(String),
    /// It is damaged, or cannot be read or written.
    #[error("{0}")]
    Store(Box<redb::Error>),
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        match error {
            redb::Error::DatabaseAlreadyOpen => StoreError::Held,
            other => StoreError::Store(Box::new(other)),
        }
    }
}

/// What a voter keeps over its lives. A write has been synced when it returns; one that failed is not taken for done.
pub struct Store(Database);

impl Store {
    /// Opens or makes the store.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        Ok(Store(Database::create(path).map_err(redb::Error::from)?))
    }

    /// Notes whose store it is, in a new one. One of another owner is refused.
    pub fn owned_by(self, owner: &str) -> Result<Store, StoreError> {
        match self.get(OWNER)? {
            None => self.put(OWNER, owner.as_bytes())?,
            Some(other) if other != owner.as_bytes() => {
                return Err(StoreError::Other(String::from_utf8_lossy(&other).to_string()));
            }
            Some(_) => {}
        }
        Ok(self)
    }

    /// What was kept last.
    pub fn load(&self) -> Result<Option<Vec<u8>>, StoreError> {
        self.get(KEY)
    }

    /// Keeps a value in the place of the last.
    pub fn keep(&self, value: &[u8]) -> Result<(), StoreError> {
        self.put(KEY, value)
    }

    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let read = self.0.begin_read().map_err(redb::Error::from)?;
        let table = match read.open_table(TABLE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(redb::Error::from(error).into()),
        };
        Ok(table.get(key).map_err(redb::Error::from)?.map(|v| v.value().to_vec()))
    }

    fn put(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let write = self.0.begin_write().map_err(redb::Error::from)?;
        write.open_table(TABLE).map_err(redb::Error::from)?.insert(key, value).map_err(redb::Error::from)?;
        Ok(write.commit().map_err(redb::Error::from)?)
    }
}

/// The store of a file's broker.
fn open(file: &File) -> Result<Store, StoreError> {
    let path = file.store.clone().unwrap_or_default();
    Store::open(&path)?.owned_by(&format!("{}/{}", file.cluster, file.name))
}

/// Why this broker takes no further part.
#[derive(Debug, thiserror::Error)]
enum Over {
    #[error(transparent)]
    Council(#[from] CouncilError),
    #[error("store: {0}")]
    Store(#[from] StoreError),
    #[error("store: {0}")]
    Thread(String),
}

/// What can be asked of the part that runs.
#[derive(Debug)]
pub enum Order {
    /// Goes from the cluster; told when it is out, or cannot be.
    Leave(Option<oneshot::Sender<()>>),
    /// Comes back.
    Join,
    /// Takes a node out everywhere, or puts it back; told what came of it.
    Drain(String, bool, oneshot::Sender<handler::Agreed>),
}

/// Puts a view's drains into force; told when nothing new goes to them from here.
pub type Apply = Box<dyn Fn(&BTreeSet<String>) -> oneshot::Receiver<()>>;

/// What the rest of the program does for the cluster.
pub struct Hooks {
    /// Puts a view's drains into force; told when nothing new goes to them from here.
    pub apply: Apply,
    /// Sends to no node any more, or again.
    pub halt: Box<dyn Fn(bool)>,
    /// Until when links may write.
    pub permit: Permit,
}

/// A broker's part in its cluster, as the rest of the program sees it.
#[derive(Clone)]
pub struct Cluster {
    orders: mpsc::UnboundedSender<Order>,
    part: Rc<Part>,
}

/// What the part that runs shares with those who ask about it.
struct Part {
    name: String,
    clock: Clock,
    /// Nothing before its store is open, and once it takes no further part.
    node: RefCell<Option<Node>>,
}

impl Cluster {
    /// Gives an order. One that has ended its part heeds none.
    pub fn order(&self, order: Order) {
        let _ = self.orders.send(order);
    }

    /// Leaves, for as long as that may take.
    pub async fn leave(&self) {
        let (done, gone) = oneshot::channel();
        self.order(Order::Leave(Some(done)));
        let _ = tokio::time::timeout(GOING, gone).await;
    }

    /// Takes part until the process ends. Must run inside a [`tokio::task::LocalSet`].
    pub async fn start(file: File, seed: u64, clock: Clock, hooks: Hooks) -> Result<Cluster, StartError> {
        let socket =
            UdpSocket::bind(file.listen).await.map_err(io(format!("listening on {}", file.listen)))?;
        // One that another process holds is waited for.
        let path = file.store.clone().unwrap_or_default();
        let asked = file.clone();
        let opened = run_blocking(move || open(&asked)).await.unwrap_or(Err(StoreError::Held));
        let store = match opened {
            Ok(store) => Some(store),
            Err(StoreError::Held) => None,
            Err(error) => {
                return Err(StartError::Store { path: path.display().to_string(), error });
            }
        };
        let (orders, inbox) = mpsc::unbounded_channel();
        let part = Rc::new(Part { name: file.name.clone(), clock, node: RefCell::new(None) });
        tracing::info!(name = file.name, listen = %file.listen, advertise = %file.advertise, "cluster on");
        let task = Task { file, store, seed, clock, hooks, socket, part: part.clone(), inbox, garbage: 0 };
        tokio::task::spawn_local(task.run());
        Ok(Cluster { orders, part })
    }
}

impl handler::Cluster for Cluster {
    fn members(&self) -> String {
        self.part.node.borrow().as_ref().map(|node| self.part.show(node)).unwrap_or_default()
    }

    fn drain(&self, name: &str, out: bool) -> oneshot::Receiver<handler::Agreed> {
        let (told, agreed) = oneshot::channel();
        self.order(Order::Drain(name.to_string(), out, told));
        agreed
    }
}

/// Those who wait for what becomes of operators' calls.
#[derive(Default)]
struct Callers(BTreeMap<CallId, Vec<oneshot::Sender<handler::Agreed>>>);

impl Callers {
    /// Forgets those who have stopped waiting. Returns whether another one may wait.
    fn have_room(&mut self) -> bool {
        for waiting in self.0.values_mut() {
            waiting.retain(|told| !told.is_closed());
        }
        self.0.retain(|_, waiting| !waiting.is_empty());
        self.0.values().map(Vec::len).sum::<usize>() < MOST_DRAINS
    }

    /// Waits for a call; one that could not be made is told at once, by the end of its channel.
    fn wait(&mut self, call: Option<CallId>, told: oneshot::Sender<handler::Agreed>) {
        if let Some(call) = call {
            self.0.entry(call).or_default().push(told);
        }
    }

    /// Tells what became of a call; a node that is out is used nowhere any more after `everywhere` milliseconds.
    fn tell(&mut self, call: &Decided, everywhere: u64) {
        for told in self.0.remove(&call.call).unwrap_or_default() {
            let answer = match call.decision {
                Decision::Agreed => Ok(if call.out { everywhere } else { 0 }),
                Decision::GaveWay => Err(handler::GaveWay),
                // The end of the channel says that nothing was agreed on.
                Decision::Expired => continue,
            };
            // Who has stopped waiting need not be told.
            let _ = told.send(answer);
        }
    }
}

struct Task {
    file: File,
    store: Option<Store>,
    seed: u64,
    clock: Clock,
    hooks: Hooks,
    socket: UdpSocket,
    part: Rc<Part>,
    inbox: mpsc::UnboundedReceiver<Order>,
    garbage: u64,
}

#[derive(Serialize)]
struct Shown<'a> {
    name: &'a str,
    address: &'a str,
    incarnation: u64,
    state: &'static str,
}

#[derive(Serialize)]
struct Status<'a> {
    view: u64,
    #[serde(rename = "self")]
    own: &'a str,
    phase: Phase,
    incarnation: u64,
    leads: bool,
    leased: bool,
    in_force: u64,
    drains: &'a BTreeSet<String>,
    members: Vec<Shown<'a>>,
}

impl Task {
    async fn run(mut self) {
        let outcome = self.take_part().await;
        if let Err(error) = outcome {
            tracing::error!(%error, "takes no further part in the cluster");
            if self.file.without_lease == WithoutLease::Stop {
                (self.hooks.halt)(true);
            }
            self.part.node.replace(None);
        }
        // Who asks to leave is answered: it is out of it.
        while let Some(order) = self.inbox.recv().await {
            drop(order);
        }
    }

    /// The store. While a former process of this broker holds it, that one is the member.
    async fn open(&self) -> Result<Store, StoreError> {
        let mut said = false;
        loop {
            let file = self.file.clone();
            match run_blocking(move || open(&file)).await.unwrap_or(Err(StoreError::Held)) {
                Err(StoreError::Held) => {
                    let path = self.file.store.clone().unwrap_or_default();
                    if !std::mem::replace(&mut said, true) {
                        tracing::info!(path = %path.display(), "another process of this broker is the member");
                    }
                    tokio::time::sleep(HELD).await;
                }
                other => return other,
            }
        }
    }

    async fn take_part(&mut self) -> Result<(), Over> {
        let store = match self.store.take() {
            Some(store) => store,
            None => self.open().await?,
        };
        let store = Arc::new(store);
        let loading = store.clone();
        let kept = run_blocking(move || loading.load()).await;
        let kept = kept.ok_or_else(|| Over::Thread("its store was not read".to_string()))??;
        let node = Node::new(self.clock.now(), self.file.settings(), self.seed, kept.as_deref())?;
        let part = self.part.clone();
        part.node.replace(Some(node));
        let gone = || Over::Thread("its state is gone".to_string());
        let mut buffer = vec![0; MOST_DATAGRAM];
        let (mut parts, mut number) = (Parts::default(), self.seed);
        let mut leaving: Vec<oneshot::Sender<()>> = Vec::new();
        let mut callers = Callers::default();
        let (reached, mut in_force) = mpsc::unbounded_channel();
        let bound = self.file.without_lease == WithoutLease::Stop;
        let mut halted = bound;
        (self.hooks.halt)(halted);
        let mut turns = tokio::time::interval(TURN);
        turns.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = turns.tick() => {}
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        tokio::time::sleep(TURN).await;
                    }
                }
                Some(order) = self.inbox.recv() => {
                    let mut node = part.node.borrow_mut();
                    let node = node.as_mut().ok_or_else(gone)?;
                    match order {
                        Order::Leave(told) => {
                            node.leave();
                            leaving.extend(told);
                        }
                        Order::Join => node.join(),
                        Order::Drain(name, out, told) => {
                            if callers.have_room() {
                                let call = node.drain(self.clock.now(), name, out, PRESS);
                                callers.wait(call, told);
                            }
                        }
                    }
                }
                Some(state) = in_force.recv() => {
                    part.node.borrow_mut().as_mut().ok_or_else(gone)?.applied(state);
                }
            }
            let (outputs, phase) = {
                let mut node = part.node.borrow_mut();
                let node = node.as_mut().ok_or_else(gone)?;
                self.read(&mut buffer, &mut parts, node);
                (node.turn(self.clock.now())?, node.phase())
            };
            let mut decided = Vec::new();
            for output in outputs {
                match output {
                    Output::Keep(value) => {
                        // On a thread of its own: a sync takes as long as the disk does, and others are to be served.
                        let store = store.clone();
                        let kept = tokio::task::spawn_blocking(move || store.keep(&value)).await;
                        kept.map_err(|e| Over::Thread(e.to_string()))??;
                    }
                    Output::Send(to, packet) => {
                        number = number.wrapping_add(1);
                        encode(&packet, number).iter().for_each(|datagram| self.send(&to, datagram));
                    }
                    Output::View(view, delta) => told(&view, delta.as_deref(), phase),
                    Output::Force(state, out) => {
                        let (done, reached) = ((self.hooks.apply)(&out), reached.clone());
                        tokio::task::spawn_local(async move {
                            if done.await.is_ok() {
                                let _ = reached.send(state);
                            }
                        });
                    }
                    Output::Decided(call) => decided.push(call),
                    Output::Log(text) => tracing::info!("{text}"),
                }
            }
            // A broker that is cut off goes on for a lease at most.
            let everywhere = if bound { over_after(i64::from(self.file.lease_ms)) as u64 } else { 0 };
            decided.iter().for_each(|call| callers.tell(call, everywhere));
            let node = part.node.borrow();
            let node = node.as_ref().ok_or_else(gone)?;
            let lapsed = self.clock.now() >= node.lease();
            if bound {
                self.hooks.permit.lease.set(node.lease());
                if std::mem::replace(&mut halted, lapsed) != lapsed {
                    tracing::info!(view = node.in_force(), halted, "lease");
                    (self.hooks.halt)(halted);
                }
            }
            if node.phase() != Phase::Leaving {
                for told in leaving.drain(..) {
                    // Who has stopped waiting need not be told.
                    let _ = told.send(());
                }
            }
        }
    }

    /// Sends a datagram; what cannot go is lost, as it might be on the way.
    fn send(&self, to: &str, datagram: &[u8]) {
        if let Ok(to) = to.parse::<SocketAddrV4>() {
            let _ = self.socket.try_send_to(datagram, to.into());
        }
    }

    /// Takes what has come.
    fn read(&mut self, buffer: &mut [u8], parts: &mut Parts, node: &mut Node) {
        for _ in 0..MOST_PACKETS {
            let Ok((n, from)) = self.socket.try_recv_from(buffer) else { break };
            match parts.take(self.clock.now(), from, &buffer[..n]) {
                Ok(packet) => packet.into_iter().for_each(|p| node.receive(self.clock.now(), p)),
                Err(error) => {
                    self.garbage += 1;
                    // Said at each power of two: garbage must not fill the log.
                    if self.garbage.is_power_of_two() {
                        tracing::warn!(%from, %error, count = self.garbage, "garbage dropped");
                    }
                }
            }
        }
    }
}

impl Part {
    /// Where this broker stands, as a line of JSON: made when it is asked for.
    fn show(&self, node: &Node) -> String {
        let suspects = node.suspects();
        let member = |m: &'_ crate::state::membership::Member| suspects.contains(&m.name);
        let members = node.view().members.iter().map(|m| Shown {
            name: &m.name,
            address: &m.address,
            incarnation: m.incarnation,
            state: if member(m) { "suspect" } else { "alive" },
        });
        let left = node.departed().iter().map(|m| Shown {
            name: &m.name,
            address: &m.address,
            incarnation: m.incarnation,
            state: "left",
        });
        let status = Status {
            view: node.view().number,
            own: &self.name,
            phase: node.phase(),
            incarnation: node.incarnation(),
            leads: node.leads(),
            leased: self.clock.now() < node.lease(),
            in_force: node.in_force(),
            drains: &node.view().drains,
            members: members.chain(left).collect(),
        };
        serde_json::to_string(&status).unwrap_or_default()
    }
}

/// Logs a view: what it changes of the one that it follows, or all of it, `after` none.
fn told(view: &View, delta: Option<&Delta>, phase: Phase) {
    let list = |items: Vec<String>| items.join(",");
    let joined = delta.map_or(&view.members, |d| &d.joined);
    let drains = match delta {
        Some(d) => {
            d.drains.iter().map(|(node, out)| format!("{}{node}", if *out { '+' } else { '-' })).collect()
        }
        None => view.drains.iter().map(|node| format!("+{node}")).collect(),
    };
    tracing::info!(
        view = view.number,
        after = delta.map_or(0, |d| d.after),
        origin = view.origin,
        ?phase,
        members = view.members.len(),
        joined = list(joined.iter().map(|m| format!("{}/{}", m.name, m.incarnation)).collect()),
        gone = list(delta.map(|d| d.gone.clone()).unwrap_or_default()),
        voters = list(view.seats.iter().map(|s| format!("{}={}", s.id, s.name)).collect()),
        drains = list(drains),
        "view"
    );
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str =
        "name = \"a\"\nlisten = \"127.0.0.1:1\"\nadvertise = \"127.0.0.1:1\"\nseeds = [\"127.0.0.1:1\"]\n";

    fn read(test: &str, text: &str) -> Result<File, String> {
        let path = std::env::temp_dir().join(format!("claywinch-{test}-{}.toml", std::process::id()));
        std::fs::write(&path, text).map_err(|e| e.to_string())?;
        let read = File::read(&path.to_string_lossy());
        std::fs::remove_file(path).map_err(|e| e.to_string())?;
        read
    }

    /// Guards against a start with a file that cannot work, and against an example that is refused.
    #[test]
    fn a_file_that_cannot_work_is_refused_by_its_key() {
        let good = read("good", GOOD).expect("a file");
        assert!(good.store.is_some_and(|s| s.ends_with("claywinch-a.redb")));
        for (text, key) in [
            (format!("{GOOD}surprise = 1\n"), "surprise"),
            (GOOD.replace("name = \"a\"\n", ""), "name"),
            (GOOD.replace("advertise = \"127.0.0.1:1\"\n", ""), "advertise"),
            (GOOD.replace("advertise = \"127.0.0.1:1\"", "advertise = \"0.0.0.0:1\""), "advertise"),
            (GOOD.replace("[\"127.0.0.1:1\"]", "[]"), "seeds"),
            (GOOD.replace("[\"127.0.0.1:1\"]", "[\"127.0.0.1:1\", \"127.0.0.1:1\"]"), "seeds"),
            (GOOD.replace("name = \"a\"", "name = \"a b\""), "name"),
            (format!("{GOOD}silence_ms = 1000\n"), "silence_ms"),
            (format!("{GOOD}probe_ms = 5\n"), "probe_ms"),
        ] {
            let refused = read("bad", &text).expect_err(&text);
            assert!(refused.contains(key), "{refused}");
        }
        let example = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/cluster.toml");
        assert!(File::read(example).is_ok());
    }

    /// Guards against a store that another process may open, that forgets, or whose spoiled file is read as good.
    #[test]
    fn a_store_keeps_the_last_value_is_held_by_one_and_is_refused_when_spoiled() {
        let path = std::env::temp_dir().join(format!("claywinch-store-{}.redb", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let store = Store::open(&path).expect("opens");
        assert_eq!(store.load().expect("reads"), None);
        for value in [&b"one"[..], b"two"] {
            store.keep(value).expect("keeps");
        }
        assert!(matches!(Store::open(&path), Err(StoreError::Held)));
        drop(store);
        let store = Store::open(&path).expect("opens again");
        assert_eq!(store.load().expect("reads").as_deref(), Some(&b"two"[..]));
        let store = store.owned_by("c/a").expect("it is new");
        drop(store);
        let other = Store::open(&path).expect("opens again").owned_by("c/b");
        assert!(matches!(other, Err(StoreError::Other(owner)) if owner == "c/a"));
        assert!(Store::open(&path).and_then(|s| s.owned_by("c/a")).is_ok());
        let mut bytes = std::fs::read(&path).expect("a file");
        bytes[..64].fill(0x5a);
        std::fs::write(&path, bytes).expect("written");
        assert!(matches!(Store::open(&path), Err(StoreError::Store(_))));
        std::fs::remove_file(path).expect("removed");
    }
}
