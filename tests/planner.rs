//! The planner without sockets: what a turn does with links, attempts and final answers.

mod common;

use claywinch::interface::*;
use claywinch::state::planner::{
    Answer, AttemptEnd, AttemptId, ClientRequest, Effect, Input, ListedNode, Planner, Wire,
};
use claywinch::state::pool::{LinkId, LinkSettings, PoolLimits};
use claywinch::state::reply_clock::{ReplyArrival, NODE_SILENCE};
use common::{ask, entry, settings, Ask, Drive};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

struct Text;

impl Wire for Text {
    type Request = &'static str;
    type Reply = &'static str;
    type Channel = ();

    fn channel(_: &&'static str) {}
}

struct Bench {
    planner: Planner<Text>,
    now: Time,
    back: UnboundedSender<(RequestId, Answer<&'static str>)>,
    answers: UnboundedReceiver<(RequestId, Answer<&'static str>)>,
}

impl Bench {
    /// A planner with one node that is up, and so many links.
    fn new(links: usize) -> Self {
        let limits =
            PoolLimits { links, links_per_node: 8, terms: LinkSettings { multiplex: 2, idle: 3_000_000 } };
        let set = Settings { cancel: true, budget: None, ..settings() };
        let now = 5_000_000;
        let planner = Planner::new(set, 7, now, limits).expect("good settings");
        let (back, answers) = unbounded_channel();
        let mut bench = Bench { planner, now, back, answers };
        let up = ListedNode { entry: entry(1, 0, NodeState::Up, None), address: "a node".into() };
        bench.turn(0, vec![Input::Nodes(ListKind::Full, vec![up])]);
        bench
    }
    fn turn(&mut self, later: Time, inputs: Vec<Input<Text>>) -> Vec<Effect<Text>> {
        self.now += later;
        let mut effects = Vec::new();
        self.planner.turn(self.now, inputs, &mut effects);
        effects
    }
    fn request(&self, ask: Ask) -> Input<Text> {
        let drive = Drive { now: self.now, ..Drive::new(settings()) };
        let Event::Request(arrival) = drive.arrival(ask) else { unreachable!("an arrival is a request") };
        Input::Request(ClientRequest { arrival, request: "what", back: self.back.clone(), of_client: false })
    }
    fn answered(&mut self) -> Vec<(RequestId, Answer<&'static str>)> {
        std::iter::from_fn(|| self.answers.try_recv().ok()).collect()
    }
}

fn served() -> AttemptEnd<&'static str> {
    AttemptEnd { reply: Some("reply"), ..AttemptEnd::without_reply(Ending::Served) }
}

fn sent(effects: &[Effect<Text>]) -> Vec<(LinkId, AttemptId)> {
    let send =
        |e: &Effect<Text>| if let Effect::Send(link, tag, ..) = e { Some((*link, *tag)) } else { None };
    effects.iter().filter_map(send).collect()
}

fn closed(effects: &[Effect<Text>]) -> Vec<LinkId> {
    effects.iter().filter_map(|e| if let Effect::Close(link) = e { Some(*link) } else { None }).collect()
}

/// Guards against an answer given twice, and against a late outcome being taken for another's.
#[test]
fn a_request_has_one_final_answer_whatever_comes_after_it() {
    let mut b = Bench::new(4);
    let input = b.request(ask(1));
    assert_eq!(sent(&b.turn(0, vec![input])), [(0, (1, 0))]);
    let twice = (0..2).map(|_| Input::AttemptEnded(0, (1, 0), served())).collect();
    b.turn(50_000, twice);
    b.turn(
        0,
        vec![Input::ClientGone(1), Input::AttemptEnded(0, (1, 0), AttemptEnd::without_reply(Ending::Reset))],
    );
    assert_eq!(b.answered(), [(1, Answer::Served("reply"))]);
    assert_eq!(b.planner.load(), (0, 0, 1));
}

/// Guards against requests written to a link that its node is about to close.
#[test]
fn an_idle_link_is_let_go_in_time_and_a_used_one_is_not() {
    let mut b = Bench::new(4);
    let input = b.request(ask(1));
    b.turn(0, vec![input]);
    b.turn(50_000, vec![Input::LinkUp(0), Input::AttemptEnded(0, (1, 0), served())]);
    b.now += 2_000_000;
    let input = b.request(ask(2));
    assert_eq!(sent(&b.turn(0, vec![input])), [(0, (2, 0))], "the link is used again");
    b.turn(50_000, vec![Input::AttemptEnded(0, (2, 0), served())]);
    assert!(closed(&b.turn(2_900_000, vec![])).is_empty());
    assert_eq!(closed(&b.turn(200_000, vec![])), [0]);
}

/// Guards against a second copy: what is given up is closed before anything else is sent for its request;
/// and against breaking others' attempts for one that nobody waits for.
#[test]
fn giving_up_closes_the_link_unless_others_share_it_and_nobody_waits() {
    let mut b = Bench::new(1);
    let inputs = vec![b.request(ask(1)), b.request(ask(2))];
    assert_eq!(sent(&b.turn(0, inputs)), [(0, (1, 0)), (0, (2, 0))], "one link for both");
    assert!(
        closed(&b.turn(1000, vec![Input::ClientGone(1)])).is_empty(),
        "the other's answer is still to come"
    );
    assert_eq!(
        closed(&b.turn(1000, vec![Input::ClientGone(2)])),
        [0],
        "nobody waits for anything on it any more"
    );
    let mut b = Bench::new(4);
    let inputs = vec![b.request(ask(1)), b.request(ask(2))];
    b.turn(0, inputs);
    assert_eq!(closed(&b.turn(1000, vec![Input::ClientGone(1)])), [0]);
}

/// Guards against a node that is blamed for a link that this process cannot have, against a request that uses up its
/// attempts for that, and against one that is not sent once there is a link.
#[test]
fn without_a_link_a_request_waits_and_its_node_is_not_blamed() {
    let mut b = Bench::new(0);
    let input = b.request(Ask { class: 2, ..ask(1) });
    assert!(sent(&b.turn(0, vec![input])).is_empty());
    let counts = b.planner.take_counts();
    assert_eq!((counts.sent, counts.endings[Ending::NoLink as usize]), (1, 1));
    for _ in 0..20 {
        assert!(sent(&b.turn(10_000, vec![])).is_empty());
    }
    let counts = b.planner.take_counts();
    assert!(counts.endings[Ending::NoLink as usize] > 4, "it is tried again and again: {counts:?}");
    assert_eq!(counts.endings[Ending::Unreachable as usize], 0);
    let input = Input::LinkLimit(Some(1));
    let there = [b.turn(10_000, vec![input]), b.turn(10_000, vec![])];
    assert_eq!(there.iter().map(|effects| sent(effects).len()).sum::<usize>(), 1, "once there is a link");
    let mut b = Bench::new(0);
    let input = b.request(Ask { class: 2, ..ask(1) });
    b.turn(0, vec![input]);
    while b.planner.load().0 > 0 {
        let next = b.planner.next_deadline().expect("something is to come") - b.now;
        b.turn(next.max(1), vec![]);
    }
    assert!(matches!(b.answered()[..], [(1, Answer::Refused(_))]), "it never ran, so it may be refused");
}

/// Guards against an attempt that is waited for past its deadline; a write that may have run is not refused.
#[test]
fn an_attempt_without_an_answer_times_out_and_its_request_is_answered() {
    let mut b = Bench::new(4);
    let inputs = vec![b.request(ask(1)), b.request(Ask { class: 2, ..ask(2) })];
    assert_eq!(sent(&b.turn(0, inputs)).len(), 2);
    let effects = b.turn(2_000_000, vec![]);
    assert_eq!(closed(&effects).len(), 2);
    let mut answers = b.answered();
    answers.sort_by_key(|(id, _)| *id);
    assert!(matches!(answers[..], [(1, Answer::Refused(_)), (2, Answer::Failed)]), "{answers:?}");
    assert_eq!(b.planner.load(), (0, 0, 0));
}

/// Guards against waiting until the deadline for the rest of a reply whose node says nothing more: the read goes again.
#[test]
fn a_reply_that_stops_short_is_a_reset_after_its_nodes_silence() {
    let mut b = Bench::new(4);
    let input = b.request(Ask { due: b.now + 10_000_000, ..ask(1) });
    b.turn(0, vec![input]);
    let arrival = ReplyArrival::default();
    b.now += 50_000;
    arrival.received(b.now, 10);
    let begun = vec![Input::LinkUp(0), Input::PartialReply(0, Some(arrival.clone()))];
    assert!(closed(&b.turn(0, begun)).is_empty());
    assert!(closed(&b.turn(NODE_SILENCE - 300_000, vec![])).is_empty());
    arrival.received(b.now, 10);
    assert!(closed(&b.turn(NODE_SILENCE - 1, vec![])).is_empty(), "more of it came meanwhile");
    let effects = b.turn(1, vec![]);
    assert_eq!((closed(&effects), sent(&effects)), (vec![0], vec![(1, (1, 1))]));
    arrival.received(b.now, 10);
    let whole = vec![Input::LinkUp(1), Input::PartialReply(1, Some(arrival)), Input::PartialReply(1, None)];
    b.turn(1_000, whole);
    assert!(closed(&b.turn(2 * NODE_SILENCE, vec![])).is_empty(), "nothing is left of a reply on it");
    assert_eq!(b.planner.take_counts().endings[Ending::Reset as usize], 1);
}

/// Guards against an attempt that outlives its client's time since its reply comes in parts, and against one that ends before.
#[test]
fn a_reply_in_parts_has_its_clients_time_and_no_more() {
    let mut b = Bench::new(4);
    let input = b.request(ask(1));
    b.turn(0, vec![input]);
    let arrival = ReplyArrival::default();
    for part in 0..4 {
        arrival.received(b.now, 1);
        let reply = Input::PartialReply(0, Some(arrival.clone()));
        assert!(closed(&b.turn(499_999, vec![reply])).is_empty(), "part {part}");
    }
    assert_eq!(closed(&b.turn(4, vec![])), [0]);
    assert!(matches!(b.answered()[..], [(1, Answer::Refused(_))]));
}

/// Guards against keeping what is long gone: nodes that come and go under new names leave nothing behind.
#[test]
fn nodes_that_come_and_go_are_forgotten() {
    let mut b = Bench::new(4);
    for node in 10..60 {
        let member = |state| ListedNode { entry: entry(node, 0, state, None), address: "a node".into() };
        b.turn(1_000_000, vec![Input::Nodes(ListKind::Changes, vec![member(NodeState::Up)])]);
        b.turn(1_000_000, vec![Input::Nodes(ListKind::Changes, vec![member(NodeState::Gone)])]);
    }
    b.turn(200_000_000, vec![]);
    let input = b.request(ask(1));
    b.turn(0, vec![input]);
    assert_eq!(b.planner.known(), (1, 1), "the node that has always been there");
}

/// Guards against an attempt that begins for a client that has gone: what is out is withdrawn, at once and by its link, also
/// where the settings forbid to cancel and where the link is shared; nobody else's is.
#[test]
fn what_is_out_is_withdrawn_with_its_client() {
    let mut bench = Bench::new(1);
    let both = vec![bench.request(ask(1)), bench.request(Ask { key: "other", ..ask(2) })];
    let first = sent(&bench.turn(0, both));
    let [(link, one), (shared, _)] = first[..] else { panic!("two sends, not {first:?}") };
    assert_eq!(link, shared);
    let effects = bench.turn(10, vec![Input::ClientGone(1)]);
    let withdrawn = |e: &Effect<Text>| if let Effect::Withdraw(l, t) = e { Some((*l, *t)) } else { None };
    let all: Vec<(LinkId, AttemptId)> = effects.iter().filter_map(withdrawn).collect();
    assert!(!all.is_empty() && all.iter().all(|w| *w == (link, one)), "{all:?}");
    assert!(closed(&effects).is_empty(), "the other goes on");
    let effects =
        bench.turn(10, vec![Input::AttemptEnded(link, one, AttemptEnd::without_reply(Ending::NotSent))]);
    assert_eq!((sent(&effects).len(), bench.planner.load().0), (0, 1));
}

/// Guards against a write that is sent twice: the planner hears that a node leaves while a link to it comes up, and the link,
/// of whose connection the planner does not know yet, may have written the request. Only the link can say.
#[test]
fn what_is_on_a_link_to_a_node_that_leaves_ends_as_the_link_says() {
    for ending in [Ending::NotSent, Ending::Served] {
        let mut bench = Bench::new(4);
        let other = ListedNode { entry: entry(2, 1, NodeState::Up, None), address: "another".into() };
        bench.turn(0, vec![Input::Nodes(ListKind::Changes, vec![other])]);
        let write = bench.request(Ask { class: 2, shard: None, ..ask(1) });
        let first = sent(&bench.turn(1000, vec![write]));
        let [(link, tag)] = first[..] else { panic!("one send, not {first:?}") };
        let leaves = |node, shard| ListedNode {
            entry: entry(node, shard, NodeState::Draining, None),
            address: "".into(),
        };
        let both = vec![leaves(1, 0), leaves(2, 1)];
        let effects = bench.turn(1000, vec![Input::Nodes(ListKind::Changes, both), Input::LinkUp(link)]);
        assert!(effects.iter().any(|e| matches!(e, Effect::Bar(l) if *l == link)));
        assert_eq!((sent(&effects), closed(&effects)), (vec![], vec![]));
        let back = ListedNode { entry: entry(2, 1, NodeState::Up, None), address: "another".into() };
        let effects = bench.turn(1000, vec![Input::Nodes(ListKind::Changes, vec![back])]);
        assert_eq!(sent(&effects), [], "it may have run, as far as is known here");
        let end = if ending == Ending::Served { served() } else { AttemptEnd::without_reply(ending) };
        let effects = bench.turn(1000, vec![Input::AttemptEnded(link, tag, end)]);
        let again = sent(&effects).len();
        assert_eq!(again, usize::from(ending == Ending::NotSent));
        assert_eq!(bench.answered().len(), usize::from(ending == Ending::Served));
    }
}

fn withdrawn(effects: &[Effect<Text>]) -> Vec<AttemptId> {
    let tag = |effect: &Effect<Text>| if let Effect::Withdraw(_, tag) = effect { Some(*tag) } else { None };
    effects.iter().filter_map(tag).collect()
}

fn revoke_all() -> Vec<Input<Text>> {
    vec![Input::Revoke(Box::new(|request| *request == "what"))]
}

/// Guards against requests that are sent under a configuration which does not hold any more.
#[test]
fn a_revoked_request_that_waits_is_refused_at_once() {
    let mut b = Bench::new(0);
    let input = b.request(Ask { class: 2, ..ask(1) });
    assert!(sent(&b.turn(0, vec![input])).is_empty(), "there is no link");
    b.turn(0, revoke_all());
    assert_eq!(b.answered(), [(1, Answer::Refused(0))]);
    let later = b.turn(10_000, vec![Input::LinkLimit(Some(1))]);
    assert_eq!((sent(&later), b.planner.load()), (vec![], (0, 0, 0)));
}

/// Guards against an answer that is not true of a write: refused only if its node has received nothing of it.
#[test]
fn a_revoked_request_on_a_link_ends_as_its_attempt_does_and_is_not_sent_again() {
    for (end, answer) in [
        (AttemptEnd::without_reply(Ending::NotSent), Answer::Refused(0)),
        (served(), Answer::Served("reply")),
        (AttemptEnd::without_reply(Ending::Reset), Answer::Failed),
    ] {
        let mut b = Bench::new(4);
        let input = b.request(Ask { class: 2, ..ask(1) });
        assert_eq!(sent(&b.turn(0, vec![input])), [(0, (1, 0))]);
        assert_eq!(withdrawn(&b.turn(1_000, revoke_all())), [(1, 0)], "its link gives it back if it can");
        assert!(b.answered().is_empty());
        let effects = b.turn(1_000, vec![Input::AttemptEnded(0, (1, 0), end)]);
        assert_eq!((sent(&effects), b.answered()), (vec![], vec![(1, answer)]));
    }
    // A read may run again, and would have; its node had no room for it.
    let mut b = Bench::new(4);
    let input = b.request(ask(1));
    b.turn(0, vec![input]);
    b.turn(1_000, revoke_all());
    let full = AttemptEnd::without_reply(Ending::Full);
    assert!(sent(&b.turn(1_000, vec![Input::AttemptEnded(0, (1, 0), full)])).is_empty());
    for _ in 0..200 {
        assert!(sent(&b.turn(10_000, vec![])).is_empty());
    }
    assert!(matches!(b.answered()[..], [(1, Answer::Refused(_))]));
}

/// Guards against revoking more than what the configuration changed.
#[test]
fn a_request_that_does_not_match_goes_on() {
    let mut b = Bench::new(4);
    let input = b.request(ask(1));
    b.turn(0, vec![input]);
    let effects = b.turn(1_000, vec![Input::Revoke(Box::new(|request| *request == "something else"))]);
    assert_eq!(withdrawn(&effects), []);
    b.turn(1_000, vec![Input::AttemptEnded(0, (1, 0), served())]);
    assert_eq!(b.answered(), [(1, Answer::Served("reply"))]);
}

/// Guards against a full list that ends a node otherwise than one that says that it is gone: what waits for a connection
/// would be sent to it.
#[test]
fn a_node_that_a_full_list_leaves_out_ends_as_one_that_is_gone() {
    let listed = |node, state| ListedNode { entry: entry(node, 0, state, None), address: "a node".into() };
    let without = [
        (ListKind::Changes, vec![listed(1, NodeState::Gone), listed(2, NodeState::Up)]),
        (ListKind::Full, vec![listed(2, NodeState::Up)]),
        (ListKind::Saved, vec![listed(2, NodeState::Up)]),
    ];
    let ends = without.map(|(kind, members)| {
        let mut b = Bench::new(4);
        let inputs = vec![b.request(ask(1)), b.request(ask(2))];
        assert_eq!(sent(&b.turn(0, inputs)), [(0, (1, 0)), (1, (2, 0))]);
        b.turn(50_000, vec![Input::LinkUp(0), Input::AttemptEnded(0, (1, 0), served())]);
        let effects = b.turn(1_000, vec![Input::Nodes(kind, members)]);
        let given_back = Input::AttemptEnded(1, (2, 0), AttemptEnd::without_reply(Ending::NotSent));
        let after = b.turn(1_000, vec![given_back]);
        let barred = |e: &Effect<Text>| if let Effect::Bar(link) = e { Some(*link) } else { None };
        let barred: Vec<LinkId> = effects.iter().filter_map(barred).collect();
        let opened = |e: &Effect<Text>| if let Effect::Open(_, node, ..) = e { Some(*node) } else { None };
        let opened: Vec<NodeId> = after.iter().filter_map(opened).collect();
        (closed(&effects), barred, opened, b.planner.known().0)
    });
    for end in ends {
        assert_eq!(end, (vec![0], vec![1], vec![2], 1));
    }
}
