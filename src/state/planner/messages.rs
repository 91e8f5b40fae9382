//! What the planner is told and what it tells its caller, and the protocol that it is generic over.

use crate::interface::{Arrival, Ending, ListKind, NodeEntry, NodeId, RequestId, Settings, Time};
use crate::state::body_clock::BodyEnd;
use crate::state::pool::{LinkId, LinkSettings, Sharing};
use crate::state::reply_clock::ReplyArrival;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// The protocol spoken with clients and nodes. The planner passes requests and replies on without inspecting them.
pub trait Wire: 'static {
    /// A request in the form in which it is sent to a node. It is cloned for each attempt, so cloning should be cheap.
    type Request: Clone + 'static;
    /// A node's reply in the form in which the client gets it.
    type Reply: 'static;
    /// What a link is opened for; see [`Pool`](super::Pool). `()` in protocols in which every link carries every request.
    type Channel: Clone + Ord + std::fmt::Debug + 'static;

    /// Whether several attempts may be in flight on one link at once.
    const SHARING: Sharing = Sharing::Multiplexed;

    /// Returns the channel that a request needs.
    fn channel(request: &Self::Request) -> Self::Channel;

    /// Returns whether the request's body is forwarded to the node while it is still being received from the client.
    /// The deadline of such a request is not known until its whole body has arrived.
    fn streams_body(_: &Self::Request) -> bool {
        false
    }

    /// Returns whether part of a streamed body has already been consumed, so that the request cannot be sent again.
    fn is_body_consumed(_: &Self::Request) -> bool {
        false
    }
}

/// The final answer of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer<R> {
    /// The request was served; holds the node's reply.
    Served(R),
    /// The request was refused without effect, so a retry is safe. Holds the advised delay before the retry (0: no
    /// advice).
    Refused(Time),
    /// The request failed; it may or may not have taken effect.
    Failed,
}

/// The channel on which a front receives final answers.
pub type AnswerSender<R> = UnboundedSender<(RequestId, Answer<R>)>;

/// A request that a front has accepted.
pub struct ClientRequest<W: Wire> {
    /// The description of the request for the scheduler.
    pub arrival: Arrival,
    /// The request as it is sent to a node.
    pub request: W::Request,
    /// The channel for the final answer.
    pub back: AnswerSender<W::Reply>,
    /// Whether a client session accepted the request and has already registered it with the [`Guard`](super::Guard); false for
    /// requests that the broker makes itself.
    pub of_client: bool,
}

/// The time limits of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimes {
    /// The attempt must begin before this time.
    pub begin_by: Time,
    /// The time at which the attempt times out.
    pub until: Time,
}

/// Identifies an attempt by its request and the number of the attempt, counted from 0.
pub type AttemptId = (RequestId, u32);

/// The result of an attempt, as reported by its link.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd<R> {
    /// How the attempt ended.
    pub ending: Ending,
    /// The node's reply, if the attempt was served.
    pub reply: Option<R>,
    /// See [`Outcome::volume_use`].
    pub volume_use: Option<f64>,
    /// See [`Outcome::served_elsewhere`].
    pub served_elsewhere: f64,
    /// See [`Outcome::util`].
    pub util: Option<f64>,
}

impl<R> AttemptEnd<R> {
    /// Returns the result of an attempt that got neither a reply nor usage figures.
    pub fn without_reply(ending: Ending) -> Self {
        AttemptEnd { ending, reply: None, volume_use: None, served_elsewhere: 0.0, util: None }
    }
}

/// An entry of the node list, with the node's address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// The entry as the scheduler gets it.
    pub entry: NodeEntry,
    /// The address at which the node listens.
    pub address: String,
}

/// Why a link is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// The connection was established and has ended.
    Ended,
    /// The connection was established, and the broker closed it because the node sent an unsolicited answer: a second
    /// answer to an earlier request.
    Repeated,
    /// The connection could not be established.
    Never,
    /// This machine could not open the connection (for example for want of a descriptor), which says nothing about the
    /// node.
    Here,
}

/// Tells which requests are meant.
pub type RequestFilter<W> = Box<dyn Fn(&<W as Wire>::Request) -> bool>;

/// An input of the planner: something that happened.
pub enum Input<W: Wire> {
    /// A front accepted a request.
    Request(ClientRequest<W>),
    /// The client of this request has disconnected, so the request needs no answer any more.
    ClientGone(RequestId),
    /// An attempt on this link ended.
    AttemptEnded(LinkId, AttemptId, AttemptEnd<W::Reply>),
    /// The reply to an attempt on this link has begun and is streamed to the client as it arrives. The link stays busy
    /// until [`Input::ReplyFinished`].
    ReplyBegun(LinkId, AttemptId, AttemptEnd<W::Reply>),
    /// A streamed reply on this link has ended, so the link can carry another attempt.
    ReplyFinished(LinkId),
    /// The whole body of this request has arrived. Holds the time at which its client gives up.
    BodyComplete(RequestId, Time),
    /// This request must have its answer now, although its body is not complete.
    BodyEnded(RequestId, BodyEnd),
    /// The connection of a link is up.
    LinkUp(LinkId),
    /// A reply on this link is incomplete, and the link waits for its node: holds what has arrived, which the link keeps up to
    /// date. `None` if every reply is complete or the link is not waiting for its node any more.
    PartialReply(LinkId, Option<ReplyArrival>),
    /// The link has ended. All its attempts were reported as ended before.
    LinkDown(LinkId, LinkEnd),
    /// An update of the node list.
    Nodes(ListKind, Vec<ListedNode>),
    /// The requests that match are not to be sent any more, since the configuration under which they were accepted has
    /// changed. Those that no node has begun to receive are refused; the others keep their attempt and get no further one.
    Revoke(RequestFilter<W>),
    /// A probe of this node ended.
    Probed(NodeId, Ending, Option<f64>),
    /// New settings; see [`Event::Settings`].
    Settings(Box<Settings>, LinkSettings),
    /// This process's share of all limits; see [`Event::LimitShare`].
    LimitShare(f64),
    /// Sending to nodes is suspended (true) or allowed again (false).
    Suspended(bool),
    /// The process is stopping: every accepted request must have its answer by this time.
    AnswerAllBy(Time),
    /// How late this process runs, in microseconds.
    HostLateness(Time),
    /// The limit on the number of links from now on; `None` allows [`SUPERSEDED_LINKS`](super::SUPERSEDED_LINKS) more than are open now.
    LinkLimit(Option<usize>),
    /// Requests a notification on this channel at the end of the turn that processes all inputs before this one.
    Barrier(oneshot::Sender<()>),
}

/// An effect of a turn. The caller carries out the effects in the order in which they were appended.
#[derive(Debug)]
pub enum Effect<W: Wire> {
    /// Open a link of this channel to the node at this address.
    Open(LinkId, NodeId, W::Channel, String),
    /// Send an attempt on a link, within these time limits.
    Send(LinkId, AttemptId, AttemptTimes, W::Request),
    /// Withdraw an attempt that is not needed any more: it must not begin if it has not begun yet.
    Withdraw(LinkId, AttemptId),
    /// Send nothing more on a link, and give back the attempts that have not begun.
    Bar(LinkId),
    /// Close a link without reporting back.
    Close(LinkId),
    /// Probe the node at this address.
    Probe(NodeId, String),
}
