//! Members that replicate the NBD configuration, with links between them that can be cut, and members that are killed.

use bytes::Bytes;
use claywinch::state::agreement::Agreement;
use raft::eraftpb::Message;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::path::PathBuf;

const MEMBERS: [u64; 3] = [1, 2, 3];
/// Ticks within which members that reach each other elect a leader and commit what was proposed, repeats included.
const SETTLED_TICKS: usize = 120;
/// Ticks within which a leader that reaches nobody steps down.
const STEPPED_DOWN_TICKS: usize = 40;

/// A member and what was committed at it in its present life.
struct Member {
    id: u64,
    agreement: Option<Agreement>,
    committed: Vec<Bytes>,
}

/// Members, the folder of their files, and those that are cut off from all others.
struct Network {
    members: Vec<Member>,
    folder: PathBuf,
    cut_off: BTreeSet<u64>,
    /// Messages between members of both sides of a cut are held instead of lost, and arrive after it.
    holds: bool,
    held: Vec<Message>,
}

impl Network {
    fn new(test: &str) -> Network {
        let folder = std::env::temp_dir().join(format!("claywinch-agreement-{test}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let members = MEMBERS.map(|id| Member { id, agreement: None, committed: Vec::new() }).into();
        let mut network =
            Network { members, folder, cut_off: BTreeSet::new(), holds: false, held: Vec::new() };
        MEMBERS.iter().for_each(|id| network.start(*id));
        network.change(1, "first");
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, "first");
        network
    }

    fn start(&mut self, id: u64) {
        let file = self.folder.join(format!("{id}.log"));
        let agreement = Agreement::new(id, &MEMBERS, Some(file)).expect("a member");
        let member = self.member(id);
        member.agreement = Some(agreement);
        member.committed.clear();
        self.turns();
    }

    fn kill(&mut self, id: u64) {
        self.member(id).agreement = None;
    }

    fn member(&mut self, id: u64) -> &mut Member {
        self.members.iter_mut().find(|m| m.id == id).expect("a member")
    }

    fn change(&mut self, id: u64, value: &'static str) {
        self.member(id).agreement.as_mut().expect("it runs").propose(value.into());
    }

    fn cut_off(&mut self, id: u64) {
        self.cut_off.insert(id);
    }

    fn mend(&mut self) {
        self.cut_off.clear();
        std::mem::take(&mut self.held).into_iter().for_each(|message| self.deliver(message));
    }

    fn deliver(&mut self, message: Message) {
        if self.cut_off.contains(&message.from) != self.cut_off.contains(&message.to) {
            self.held.extend(Some(message).filter(|_| self.holds));
        } else if let Some(to) = &mut self.member(message.to).agreement {
            to.step(message);
        }
    }

    fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.members.iter_mut().filter_map(|m| m.agreement.as_mut()).for_each(Agreement::tick);
            while self.turns() {}
        }
    }

    /// Lets each member take a turn. Returns whether any of them sent something.
    fn turns(&mut self) -> bool {
        let mut messages = Vec::new();
        for member in &mut self.members {
            let Some(agreement) = &mut member.agreement else { continue };
            let turn = agreement.turn().expect("a turn");
            messages.extend(turn.messages);
            member.committed.extend(turn.committed);
        }
        let any = !messages.is_empty();
        messages.into_iter().for_each(|message| self.deliver(message));
        any
    }

    /// The member that leads, told by its heartbeats.
    fn leader(&mut self) -> u64 {
        for _ in 0..SETTLED_TICKS {
            self.members.iter_mut().filter_map(|m| m.agreement.as_mut()).for_each(Agreement::tick);
            let mut messages = Vec::new();
            for member in &mut self.members {
                let turn = member.agreement.as_mut().expect("it runs").turn().expect("a turn");
                messages.extend(turn.messages);
                member.committed.extend(turn.committed);
            }
            let heartbeat = |m: &&Message| m.get_msg_type() == raft::eraftpb::MessageType::MsgHeartbeat;
            let leader = messages.iter().find(heartbeat).map(|m| m.from);
            messages.into_iter().for_each(|message| self.deliver(message));
            if let Some(leader) = leader {
                while self.turns() {}
                return leader;
            }
        }
        panic!("no member leads");
    }

    fn in_force(&self, id: u64) -> Option<&Bytes> {
        self.members.iter().find(|m| m.id == id).and_then(|m| m.committed.last())
    }

    fn assert_in_force(&self, ids: &[u64], value: &str) {
        for id in ids {
            let found = self.in_force(*id);
            assert_eq!(found, Some(&Bytes::from(value.to_string())), "member {id}: {:?}", self.committed());
        }
    }

    fn committed(&self) -> Vec<&Vec<Bytes>> {
        self.members.iter().map(|m| &m.committed).collect()
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the two other members.
fn others(id: u64) -> [u64; 2] {
    let others: Vec<u64> = MEMBERS.into_iter().filter(|other| *other != id).collect();
    [others[0], others[1]]
}

/// Guards against a change that was made by a member while it was cut off and undoes, after the cut, what the others agreed
/// on meanwhile; whoever is cut off, and whether or not it led.
#[test]
fn a_change_made_while_cut_off_does_not_undo_a_later_one() {
    for victim in MEMBERS {
        let mut network = Network::new(&format!("undo-{victim}"));
        let leader = network.leader();
        network.cut_off(victim);
        network.change(victim, "older");
        network.run(STEPPED_DOWN_TICKS);
        network.change(others(victim)[0], "newer");
        network.run(SETTLED_TICKS);
        network.assert_in_force(&others(victim), "newer");
        network.mend();
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, "newer");
        let undone = |c: &&Vec<Bytes>| c.iter().any(|value| value == "older");
        assert!(!network.committed().iter().any(undone), "leader {leader}: {:?}", network.committed());
        // The member can make another change.
        network.change(victim, "again");
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, "again");
    }
}

/// Guards against a change that was on its way to the leader during a cut, arrives after it, and undoes a later one.
#[test]
fn a_change_that_arrives_late_does_not_undo_a_later_one() {
    let mut network = Network::new("late");
    let victim = others(network.leader())[0];
    network.holds = true;
    network.cut_off(victim);
    network.change(victim, "older");
    network.run(1);
    // The leader and the third member are still connected, and go on.
    network.change(others(victim)[0], "newer");
    network.run(SETTLED_TICKS);
    network.assert_in_force(&others(victim), "newer");
    network.mend();
    network.run(SETTLED_TICKS);
    network.assert_in_force(&MEMBERS, "newer");
}

/// Guards against a change that was made while cut off and is lost although no other change was made.
#[test]
fn a_change_that_met_no_later_one_comes_into_force_after_the_cut() {
    for victim in MEMBERS {
        let mut network = Network::new(&format!("kept-{victim}"));
        network.cut_off(victim);
        network.change(victim, "alone");
        network.run(SETTLED_TICKS);
        network.mend();
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, "alone");
    }
}

/// Guards against a change that is lost with a kill of the member that made it, of the leader, or of all members.
#[test]
fn a_change_that_met_no_later_one_survives_kills() {
    for victim in MEMBERS {
        let mut network = Network::new(&format!("kill-{victim}"));
        network.cut_off(victim);
        network.change(victim, "alone");
        network.run(STEPPED_DOWN_TICKS);
        network.kill(victim);
        network.run(STEPPED_DOWN_TICKS);
        network.mend();
        network.start(victim);
        let leader = network.leader();
        network.kill(leader);
        network.run(STEPPED_DOWN_TICKS);
        network.start(leader);
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, "alone");
        MEMBERS.iter().for_each(|id| network.kill(*id));
        MEMBERS.iter().for_each(|id| network.start(*id));
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, "alone");
    }
}

/// Guards against a member that is killed with its change pending and, once it is back, undoes a later one.
#[test]
fn a_change_that_outlived_a_kill_does_not_undo_a_later_one() {
    for victim in MEMBERS {
        let mut network = Network::new(&format!("outlived-{victim}"));
        network.cut_off(victim);
        network.change(victim, "older");
        network.run(STEPPED_DOWN_TICKS);
        network.kill(victim);
        network.change(others(victim)[0], "newer");
        network.run(SETTLED_TICKS);
        network.mend();
        network.start(victim);
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, "newer");
        // Nor after another kill.
        network.kill(victim);
        network.start(victim);
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, "newer");
    }
}

/// Guards against changes that two members make at once and that end differently, or change places later on.
#[test]
fn two_changes_at_once_end_the_same_everywhere_and_stay_so() {
    for (one, other) in [(1, 2), (2, 3), (3, 1)] {
        let mut network = Network::new(&format!("at-once-{one}"));
        network.change(one, "one");
        network.change(other, "other");
        network.run(SETTLED_TICKS);
        let first = network.in_force(1).cloned().expect("a value");
        assert!(["one", "other"].contains(&std::str::from_utf8(&first).expect("text")), "{first:?}");
        let orders: Vec<Vec<Bytes>> = network.members.iter().map(|m| m.committed.clone()).collect();
        assert!(orders.iter().all(|order| *order == orders[0] && order.len() == 2), "{orders:?}");
        let leader = network.leader();
        network.kill(leader);
        network.run(SETTLED_TICKS);
        network.start(leader);
        network.run(SETTLED_TICKS);
        network.assert_in_force(&MEMBERS, std::str::from_utf8(&first).expect("text"));
    }
}

/// Guards against a member whose second change gives way to its own first one.
#[test]
fn of_two_changes_of_one_member_the_second_comes_into_force() {
    for member in MEMBERS {
        for ticks in 0..4 {
            let mut network = Network::new(&format!("twice-{member}-{ticks}"));
            network.change(member, "one");
            network.run(ticks);
            network.change(member, "two");
            network.run(SETTLED_TICKS);
            network.assert_in_force(&MEMBERS, "two");
        }
    }
}

/// Guards against a member that is killed as soon as a configuration is in force there and then begins with an earlier one,
/// which it keeps until it hears of the others.
#[test]
fn a_restarted_member_begins_with_the_configuration_that_was_in_force_there() {
    for id in MEMBERS {
        let mut network = Network::new(&format!("restart-{id}"));
        network.change(1, "second");
        let mut turns = 0;
        while network.in_force(id) != Some(&Bytes::from("second")) {
            network.turns();
            turns += 1;
            assert!(turns < SETTLED_TICKS, "it is committed");
        }
        network.kill(id);
        network.cut_off(id);
        network.start(id);
        network.turns();
        network.assert_in_force(&[id], "second");
    }
}

/// The seeds of schedules: `CLAYWINCH_SEED` alone, or so many as `CLAYWINCH_SEEDS` says.
fn seeds(usual: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    match number("CLAYWINCH_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("CLAYWINCH_SEEDS").unwrap_or(usual),
    }
}

/// A change of a drawn schedule, and what was in force at its member when it was made.
struct Made {
    member: u64,
    value: Bytes,
    made_against: Option<Bytes>,
}

/// Plays a schedule of changes, cuts, kills and restarts that is drawn from the seed, then lets all members settle. The
/// elections within are drawn by the `raft` crate, so a seed does not play exactly the same again.
fn play_schedule(seed: u64) -> (Network, Vec<Made>) {
    let mut network = Network::new(&format!("schedule-{seed}"));
    let (mut chance, mut made) = (StdRng::seed_from_u64(seed), Vec::new());
    network.holds = chance.random();
    for step in 0..40 {
        let id = MEMBERS[chance.random_range(0..MEMBERS.len())];
        let runs = network.member(id).agreement.is_some();
        match chance.random_range(0..6u32) {
            0 => network.cut_off(id),
            1 => network.mend(),
            2 if runs => network.kill(id),
            2 => network.start(id),
            _ if runs => {
                let value = Bytes::from(format!("{id}-{step}"));
                let made_against = network.in_force(id).cloned();
                network.member(id).agreement.as_mut().expect("it runs").propose(value.clone());
                made.push(Made { member: id, value, made_against });
            }
            _ => {}
        }
        network.run(chance.random_range(0..30));
    }
    network.mend();
    let stopped = MEMBERS.into_iter().filter(|id| network.members[*id as usize - 1].agreement.is_none());
    stopped.collect::<Vec<_>>().into_iter().for_each(|id| network.start(id));
    network.run(2 * SETTLED_TICKS);
    (network, made)
}

/// Returns whether a configuration may follow another one: it was made against that one, or both were made by one member
/// against the same one, the second in place of the first.
fn may_follow(made: &[Made], before: &Bytes, after: &Bytes) -> bool {
    let find = |value: &Bytes| made.iter().find(|m| m.value == value);
    let Some(after) = find(after) else { return false };
    let replaces = |before: &Made| before.member == after.member && before.made_against == after.made_against;
    after.made_against.as_ref() == Some(before) || find(before).is_some_and(replaces)
}

/// Guards against any order of changes, cuts, kills and late messages in which a change follows one that its member did not
/// know, members end differently, or a change stays undecided.
#[test]
fn schedules_of_faults_put_no_change_behind_one_that_it_did_not_know() {
    for seed in seeds(60) {
        let (network, made) = play_schedule(seed);
        let order = &network.members[0].committed;
        for member in &network.members {
            assert_eq!(&member.committed, order, "seed {seed}, member {}", member.id);
            let status = member.agreement.as_ref().expect("it runs").status();
            assert_eq!(status.pending, None, "seed {seed}, member {}", member.id);
        }
        let follows = |pair: &[Bytes]| may_follow(&made, &pair[0], &pair[1]);
        assert!(order.windows(2).all(follows), "seed {seed}: {order:?}");
        // Whoever made the last change against what is in force in the end would have had it come into force.
        let met_nothing = |m: &&Made| m.made_against.as_ref() == order.last();
        assert!(!made.iter().any(|m| met_nothing(&m)), "seed {seed}: {order:?}");
        assert!(made.is_empty() || order.len() > 1, "seed {seed}: no change came into force");
    }
}
