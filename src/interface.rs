//! Input and output types of the scheduler. They hold data only; the decisions are made in [`crate::rules`].

/// A point in time or a duration, in microseconds of a monotonic clock.
pub type Time = i64;
/// Identifies a request. A scheduler never sees the same identifier twice.
pub type RequestId = u64;
/// Identifies a storage node. A replacement machine gets a new identifier.
pub type NodeId = u32;
/// Identifies a shard: the part of the data that one node holds.
pub type ShardId = u32;

/// Whether a node may execute a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The request is idempotent and may run any number of times.
    Safe,
    /// The nodes of the group recognise repeats of the request and drop them for [`Class::window`].
    Keyed(Group),
    /// The request must not run twice.
    Unsafe,
}

/// Which nodes recognise a keyed request that one of them has already received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
}

/// A class of requests, with its latency target and retry rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Latency target: an answer within this time earns the full value.
    pub aim: Time,
    /// Value of a request of mean size that is answered within the aim.
    pub value: f64,
    /// Fraction of the value that an answer after the aim still earns.
    pub late_value: f64,
    /// Whether a request of this class may run more than once.
    pub effect: Effect,
    /// How long a group drops repeats of a keyed request, counted from the send of the first attempt that
    /// may have run.
    pub window: Time,
    /// Whether requests with the same key run one at a time, in order of arrival.
    pub ordered: bool,
    /// Maximum number of attempts of one request.
    pub attempts: u32,
}

/// The service plan of a volume. Its rates apply to each volume of the plan, summed over all hosts and nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Units per second that a volume of this plan is sized for.
    pub rate: f64,
    /// Units per second that earn their full value.
    pub reserve: f64,
    /// Weight of a volume when the node capacity beyond the reserves is divided into shares.
    pub weight: f64,
    /// Factor by which the value of a request is multiplied.
    pub price: f64,
    /// Rate limit of each volume, if the plan has one.
    pub limit: Option<Limit>,
}

/// Token bucket that limits what all hosts together may send for one volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Refill rate of the bucket in units per second.
    pub rate: f64,
    /// Capacity of the bucket in units; the bucket starts full.
    pub burst: f64,
    /// Units by which the bucket may go below zero.
    pub slack: f64,
}

/// Retry budget: limits the attempts beyond the first of each request within a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Retries allowed in any window, regardless of the traffic.
    pub free: f64,
    /// Additional retries allowed per request that arrived in the window.
    pub share: f64,
    /// Length of the window.
    pub span: Time,
}

/// Configuration of a scheduler.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Number of hosts that run a scheduler, this one included.
    pub hosts: u32,
    /// Index of this host among all hosts, from 0. Hosts take turns by their index, so no two may have the
    /// same.
    pub number: u32,
    /// The classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// The plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// Mean size of a request in units.
    pub mean_units: f64,
    /// Maximum size of a request in units.
    pub max_units: f64,
    /// Fraction of the value that units beyond the reserve and within the volume's share earn.
    pub share_value: f64,
    /// Fraction of the value that units beyond both reserve and share (spare units) earn.
    pub spare_value: f64,
    /// Period over which the nodes total [`Outcome::volume_use`]; 0 if they do not meter it.
    pub meter_period: Time,
    /// Whether answers of nodes carry [`Outcome::served_elsewhere`].
    pub reports_elsewhere: bool,
    /// Whether changes of the node list are only delivered after [`Action::Subscribe`].
    pub list_on_request: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub concurrent_attempts: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancel: bool,
    /// Whether nodes may be probed.
    pub probes: bool,
    /// Longest retry-after time that clients honour; 0 if clients are given none.
    pub max_retry_after: Time,
    /// Units that a node that has just started can take from all hosts together within `cold_window`.
    pub cold_units: f64,
    /// Minimum fraction of its capacity that a node has when it starts.
    pub cold_fraction: f64,
    /// Time after its start at which a node has reached its full capacity.
    pub warmup_time: Time,
    /// Window over which the load of a cold node is limited: too much work within it overloads the node.
    pub cold_window: Time,
    /// Pause before the next request of an ordered key after an attempt that may still be running.
    pub key_cooldown: Time,
    /// The retry budget, if there is one.
    pub budget: Option<Budget>,
}

impl Settings {
    /// Returns an error that names the first setting with which a scheduler cannot work.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let bad_limit = |p: &Plan| p.limit.is_some_and(|l| !(l.rate > 0.0 && l.burst >= 0.0));
        let checks = [
            (self.hosts == 0, "hosts must not be 0"),
            (self.classes.is_empty() || self.plans.is_empty(), "classes and plans must not be empty"),
            (!(self.mean_units > 0.0 && self.max_units > 0.0), "mean and maximum units must be above 0"),
            (self.classes.iter().any(|c| c.attempts == 0), "each class must allow at least one attempt"),
            (self.plans.iter().any(bad_limit), "a limit needs a rate above 0 and a burst of 0 or more"),
        ];
        match checks.iter().find(|(bad, _)| *bad) {
            Some((_, what)) => Err(SettingsError(what.to_string())),
            None => Ok(()),
        }
    }
}

/// State of a node in a node list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NodeState {
    /// The node accepts work.
    Up,
    /// The node finishes its current work and accepts no new work.
    Draining,
    /// The node no longer exists.
    #[default]
    Gone,
}

/// An entry of a node list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeEntry {
    /// Identifier of the node.
    pub node: NodeId,
    /// Number of the node's zone.
    pub zone: u32,
    /// The shard that the node holds.
    pub shard: ShardId,
    /// Current state of the node.
    pub state: NodeState,
    /// When the node last started, if it started recently.
    pub started: Option<Time>,
    /// Registered size of the node in thousandths of an arbitrary unit, for comparison between nodes only;
    /// 0 if the list states no size.
    pub size: u32,
}

/// How to interpret a node list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Changes,
    /// All nodes; a node that is missing from the list is gone.
    Full,
    /// All nodes as stored before this process started; the list may be out of date.
    Saved,
    /// The request for the list failed or the subscription broke; the list has no entries.
    Failed,
}

/// A request as received from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Identifier of the request.
    pub id: RequestId,
    /// Index of the request's class in [`Settings::classes`].
    pub class: usize,
    /// Index of the volume's plan in [`Settings::plans`].
    pub plan: usize,
    /// Key of the data that the request refers to, if any.
    pub key: Option<String>,
    /// Deadline: the time at which the client gives up.
    pub due: Time,
    /// Name of the volume.
    pub volume: String,
    /// Size of the request in units.
    pub units: f64,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<ShardId>,
    /// Number of hosts through which the volume's requests arrive.
    pub volume_hosts: u32,
    /// Whether the client marked the request as a repeat. The scheduler does not use it: `due` already shows
    /// when the request was first made.
    pub repeat: bool,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The node served the request.
    Served,
    /// The node returned an error; the work may have run.
    Error,
    /// The node rejected the attempt before looking at it, so it never ran.
    Full,
    /// No answer arrived in time; the attempt may still be running.
    TimedOut,
    /// No connection to the node could be made, so the attempt never ran.
    Unreachable,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The scheduler cancelled the attempt; it may have run.
    Cancelled,
    /// The attempt was not sent, so it never ran.
    NotSent,
    /// This host had no connection on which to send the attempt, so it never ran. This says nothing about
    /// the health of the node.
    NoLink,
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Identifier of the request.
    pub id: RequestId,
    /// Index of the attempt within its request, from 0 in the order in which they were sent.
    pub attempt: u32,
    /// How the attempt ended.
    pub ending: Ending,
    /// Whether the request has its final answer, from this attempt or an earlier one.
    pub closed: bool,
    /// The node to which the attempt was sent.
    pub node: NodeId,
    /// Time since the attempt was sent.
    pub elapsed: Time,
    /// Units that the node served for the volume through other hosts since its last answer to this host.
    pub served_elsewhere: f64,
    /// Units that all nodes served for the volume in a past meter period, as a fraction of the plan's rate.
    pub volume_use: Option<f64>,
    /// CPU utilisation that the node reported.
    pub util: Option<f64>,
}

/// An input of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A node list, or the failure to get one.
    Nodes(ListKind, Vec<NodeEntry>),
    /// A request arrived.
    Request(Arrival),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client has disconnected and needs no answer to this request.
    ClientGone(RequestId),
    /// A timer set by [`Action::Timer`] has expired.
    Timer,
    /// A probe ended: the node, how the probe ended, and the CPU utilisation that the node reported.
    Probed(NodeId, Ending, Option<f64>),
    /// Update on a request whose body is forwarded while it arrives: the deadline as known now, and whether
    /// part of the body has already been discarded, so that no further attempt can send it.
    BodyProgress(RequestId, Time, bool),
    /// Whether the body of the request of this attempt is still arriving from the client, so that the node
    /// cannot have begun.
    Receiving(NodeId, (RequestId, u32), bool),
    /// Fraction, from 0 to 1, of this host's part of all limits that this process may spend from now on. It
    /// is less than 1 while two processes act as one host, such as during a hand-over.
    LimitShare(f64),
    /// Scheduling lag of this host: how long work that was due has waited to be processed.
    HostLateness(Time),
    /// Whether sending to nodes is suspended. It is suspended while the known state of the nodes may be out
    /// of date.
    Suspended(bool),
    /// This host shuts down: every request that it has accepted must be answered by this time.
    AnswerAllBy(Time),
    /// New settings, in force from now on. A class that still has open requests keeps its index and its
    /// contents.
    Settings(Box<Settings>),
}

/// Why a request is refused or fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// This host is overloaded: its scheduling lag is too high.
    HostLate,
    /// The volume has exceeded its limit.
    OverLimit,
    /// The request cannot be answered before its deadline, or the deadline has passed.
    OutOfTime,
    /// The retry budget is exhausted.
    RetriesSpent,
    /// The request may not be retried: it may already have run, its attempts are used up, or part of its body
    /// has been discarded.
    NotRepeatable,
}

/// An output of the scheduler. The caller carries out actions in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a node.
    Send {
        /// Identifier of the request.
        id: RequestId,
        /// The node to send to.
        node: NodeId,
        /// Latest time at which the attempt may be sent. For a retry of a keyed request this can be earlier
        /// than `until`, since nodes drop repeats only for [`Class::window`].
        begin_by: Time,
        /// When the attempt times out.
        until: Time,
    },
    /// Final answer: the request is refused and did no harm, so the client may retry it, preferably after
    /// this time (0: no advice).
    Refuse(RequestId, Time, Reason),
    /// Final answer: the request failed; it may or may not have run.
    Fail(RequestId, Reason),
    /// Cancel the attempt with this index.
    Cancel(RequestId, u32),
    /// Probe a node.
    Probe(NodeId),
    /// Deliver an [`Event::Timer`] after this time.
    Timer(Time),
    /// Subscribe to changes of the node list.
    Subscribe,
    /// Write a line to the operator's log.
    Log(String),
}

/// Error for settings with which no scheduler can work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
