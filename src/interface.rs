//! The types that go in and out of the scheduler. Data only: every decision is in [`crate::rules`].

/// A point in time or a length of time, in microseconds of one clock that only advances.
pub type Time = i64;
/// Number of a request, never used twice in one life of a scheduler.
pub type RequestId = u64;
/// Number of a storage node. A replacement machine has a new one.
pub type NodeId = u32;
/// Number of a shard: the part of the data that one node holds.
pub type ShardId = u32;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Running it again does no harm.
    Safe,
    /// A group of nodes drops its repeats for the class's window.
    Keyed(Group),
    /// It must not run twice.
    Unsafe,
}

/// Which nodes know each other's keyed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Time,
    /// Worth of a request of mean size.
    pub value: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_value: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// How long a group drops repeats, from the send of the first attempt that may have run.
    pub window: Time,
    /// Requests with one key run one at a time, in the order they were taken.
    pub ordered: bool,
    /// Most attempts of one request.
    pub attempts: u32,
}

/// A plan that volumes stand on. Its rates hold for each volume over all hosts and nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Units a second that such a volume is sized for.
    pub rate: f64,
    /// Units a second that earn their full worth.
    pub reserve: f64,
    /// Weight in what nodes can do beyond the reserves.
    pub weight: f64,
    /// Factor on the worth.
    pub price: f64,
    /// The limit, where there is one.
    pub limit: Option<Limit>,
}

/// The most that may be sent for a volume by all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second that its store gains.
    pub rate: f64,
    /// Units that the store holds at most; full at first.
    pub burst: f64,
    /// Units that it may go below zero.
    pub slack: f64,
}

/// A sliding limit on attempts beyond the first of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Attempts allowed in any window whatever the traffic.
    pub free: f64,
    /// Further attempts for each request taken in the window.
    pub share: f64,
    /// Length of the window.
    pub span: Time,
}

/// What a scheduler is told once, at its start.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Number of hosts that run a scheduler, this one included.
    pub hosts: u32,
    /// This host's own number among them, from 0. All that divide something by turns must have different
    /// ones.
    pub number: u32,
    /// The classes; requests name them by place.
    pub classes: Vec<Class>,
    /// The plans; requests name them by place.
    pub plans: Vec<Plan>,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Most units of one request.
    pub max_units: f64,
    /// Part of the worth of units beyond the reserve and inside the volume's share.
    pub share_value: f64,
    /// Part of the worth of units beyond reserve and share.
    pub spare_value: f64,
    /// Period over which [`Outcome::volume_use`] is totalled; 0 without a meter.
    pub meter_period: Time,
    /// Whether answers carry [`Outcome::served_elsewhere`].
    pub reports_elsewhere: bool,
    /// The list of nodes comes only to those that ask.
    pub list_on_request: bool,
    /// Two attempts of one request may be out at once.
    pub concurrent_attempts: bool,
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Longest retry-after that clients honour; 0 where they are given none.
    pub max_retry_after: Time,
    /// Units that a node just started bears from all hosts together within `cold_window`.
    pub cold_units: f64,
    /// Part of its capacity that a node starts with at least.
    pub cold_fraction: f64,
    /// Time within which a started node is warm.
    pub warmup_time: Time,
    /// Time over which too much work makes a cold node fall over.
    pub cold_window: Time,
    /// Rest of an ordered key after an attempt that may still be running.
    pub key_cooldown: Time,
    /// The budget of further attempts, where one is stated.
    pub budget: Option<Budget>,
}

impl Settings {
    /// Whether a scheduler can work with them.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let bad_limit = |p: &Plan| p.limit.is_some_and(|l| !(l.rate > 0.0 && l.burst >= 0.0));
        let checks = [
            (self.hosts == 0, "hosts must not be 0"),
            (self.classes.is_empty() || self.plans.is_empty(), "classes and plans must not be empty"),
            (!(self.mean_units > 0.0 && self.max_units > 0.0), "units of a request must be above 0"),
            (self.classes.iter().any(|c| c.attempts == 0), "one attempt must be allowed"),
            (self.plans.iter().any(bad_limit), "a limit needs a rate above 0 and a burst of 0 or more"),
        ];
        match checks.iter().find(|(bad, _)| *bad) {
            Some((_, what)) => Err(SettingsError(what.to_string())),
            None => Ok(()),
        }
    }
}

/// State of a node in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NodeState {
    /// It takes work.
    Up,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It is gone.
    #[default]
    Gone,
}

/// A node in a list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeEntry {
    /// Its number.
    pub node: NodeId,
    /// Number of its zone.
    pub zone: u32,
    /// The shard it holds.
    pub shard: ShardId,
    /// Its state.
    pub state: NodeState,
    /// When it last started, if that was not long ago.
    pub started: Option<Time>,
    /// Its registered size in thousandths of a unit of no meaning, to compare with others; 0 where none is
    /// told.
    pub size: u32,
}

/// How a list of nodes is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only what has changed.
    Changes,
    /// All nodes; one that is missing is gone.
    Full,
    /// All nodes as last held before this start; may be out of date.
    Saved,
    /// A call for the list failed or the subscription broke; no entries.
    Failed,
}

/// A request as a client made it.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Its number.
    pub id: RequestId,
    /// Place of its class in the settings.
    pub class: usize,
    /// Place of its volume's plan in the settings.
    pub plan: usize,
    /// The piece of data, if it names one.
    pub key: Option<String>,
    /// When the client gives up.
    pub due: Time,
    /// The volume.
    pub volume: String,
    /// Its size in units.
    pub units: f64,
    /// The shard that holds its data; none for a new object.
    pub shard: Option<ShardId>,
    /// Number of hosts that the volume's requests come through.
    pub volume_hosts: u32,
    /// Marked as a client's repeat. Not used: when a request was first made shows in `due`.
    pub repeat: bool,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Served,
    /// The node returned an error; the work may have run.
    Error,
    /// Turned away before it was seen: it never ran.
    Full,
    /// No answer in time; it may run still.
    TimedOut,
    /// No connection: it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn by the scheduler; it may have run.
    Cancelled,
    /// It was not sent: it never ran.
    NotSent,
    /// This host had no connection to send it on: it never ran, and that says nothing about the node.
    NoLink,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0 in the order of the sends.
    pub attempt: u32,
    /// How it ended.
    pub ending: Ending,
    /// The request has its final answer, by this or earlier.
    pub closed: bool,
    /// The node.
    pub node: NodeId,
    /// Time since the send.
    pub elapsed: Time,
    /// Units that the node served for the volume through other hosts since its last answer here.
    pub served_elsewhere: f64,
    /// Units served for the volume everywhere in a past meter period, as a part of the plan's rate.
    pub volume_use: Option<f64>,
    /// How busy the node said its cores were.
    pub util: Option<f64>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the nodes.
    Nodes(ListKind, Vec<NodeEntry>),
    /// A request came in.
    Request(Arrival),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client is gone; no answer is owed any more.
    ClientGone(RequestId),
    /// A timer set by [`Action::Timer`] is due.
    Timer,
    /// A probe ended: the node, how, and how busy it said its cores were.
    Probed(NodeId, Ending, Option<f64>),
    /// The time and state of a request whose body is sent on while it comes: when its client gives up as
    /// far as is known now, and whether some of the body is gone, so that no further attempt can have it.
    BodyProgress(RequestId, Time, bool),
    /// The part of this host's part of all limits that this process may spend from now on, from 0 to 1.
    /// Less than 1 while two processes are one host.
    LimitShare(f64),
    /// How late this host runs, in microseconds: how long what is due has waited to be looked at.
    HostLateness(Time),
    /// Whether nothing may be sent to any node until further notice: what is known of the nodes may be out
    /// of date.
    Suspended(bool),
    /// This host ends: whatever it has taken is to have its answer by this time.
    AnswerAllBy(Time),
    /// New settings, from now on. A class that requests are open under stands in its place, unchanged.
    Settings(Box<Settings>),
}

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// This host runs late.
    HostLate,
    /// Its volume is beyond its limit.
    OverLimit,
    /// It would come too late, or its time is over.
    OutOfTime,
    /// All that hosts may repeat is spent.
    RetriesSpent,
    /// It may not be sent once more: it may have run, or its tries or its body are spent.
    NotRepeatable,
}

/// What to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a node; give it up at the stated time.
    Send {
        /// The request.
        id: RequestId,
        /// The node.
        node: NodeId,
        /// When it may begin at the latest: the rules may bind a further attempt to less than its time-out.
        begin_by: Time,
        /// When the attempt times out.
        until: Time,
    },
    /// Final answer: refused, trying again is harmless, best after this time (0: no advice).
    Refuse(RequestId, Time, Reason),
    /// Final answer: failed, nothing is promised.
    Fail(RequestId, Reason),
    /// Withdraw an attempt.
    Cancel(RequestId, u32),
    /// Probe a node.
    Probe(NodeId),
    /// Bring an [`Event::Timer`] after this time.
    Timer(Time),
    /// Ask for changes of the list from now on.
    Subscribe,
    /// A line for the operator's log.
    Log(String),
}

/// Settings that no scheduler can work with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
