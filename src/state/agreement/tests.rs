use super::*;

/// Runs some members for a number of ticks; messages to others are lost. Returns the values committed at each.
fn run(members: &mut [(u64, Agreement)], ticks: usize) -> Vec<Vec<Bytes>> {
    let mut committed = vec![Vec::new(); members.len()];
    for _ in 0..ticks {
        members.iter_mut().for_each(|(_, a)| a.tick());
        loop {
            let mut messages = Vec::new();
            for (i, (_, member)) in members.iter_mut().enumerate() {
                let turn = member.turn().unwrap();
                messages.extend(turn.messages);
                committed[i].extend(turn.committed);
            }
            if messages.is_empty() {
                break;
            }
            for message in messages {
                if let Some((_, to)) = members.iter_mut().find(|(id, _)| *id == message.to) {
                    to.step(message);
                }
            }
        }
    }
    committed
}

#[test]
fn a_majority_commits_and_a_restarted_member_catches_up_from_its_file() {
    let file = std::env::temp_dir().join(format!("claywinch-agreement-{}", std::process::id()));
    let _ = std::fs::remove_file(&file);
    let new = |id: u64| {
        let path = (id == 3).then(|| file.clone());
        (id, Agreement::new(id, &[1, 2, 3], path).unwrap())
    };
    let mut all: Vec<(u64, Agreement)> = (1..=3).map(new).collect();
    all[2].1.propose("one".into());
    assert_eq!(run(&mut all, 120), vec![vec![Bytes::from("one")]; 3]);
    drop(all.pop());
    all[0].1.propose("two".into());
    assert_eq!(run(&mut all, 120), vec![vec![Bytes::from("two")]; 2]);
    all.push(new(3));
    let committed = run(&mut all, 120);
    assert_eq!(committed[2], ["one", "two"], "the values from its file and the one that it missed");
    assert!(committed[0].is_empty() && committed[1].is_empty());
    let mut alone = all.split_off(2);
    alone[0].1.propose("three".into());
    assert_eq!(run(&mut alone, 120), [Vec::<Bytes>::new()], "one of three members commits nothing");
    std::fs::write(&file, b"\0\0\0\x09junk").unwrap();
    assert!(matches!(Agreement::new(3, &[1, 2, 3], Some(file.clone())), Err(AgreementError::Damaged(_))));
    std::fs::remove_file(file).unwrap();
}

fn three() -> Vec<(u64, Agreement)> {
    (1..=3).map(|id| (id, Agreement::new(id, &[1, 2, 3], None).unwrap())).collect()
}

fn member(members: &mut [(u64, Agreement)], id: u64) -> &mut Agreement {
    &mut members.iter_mut().find(|(own, _)| *own == id).unwrap().1
}

/// Returns the leader and one of the others.
fn leader_and_follower(members: &[(u64, Agreement)]) -> (u64, u64) {
    let leader = members.iter().find(|(_, a)| a.leads()).unwrap().0;
    (leader, leader % 3 + 1)
}

/// Guards against an operator who is not told that the change of a broker gave way.
#[test]
fn whoever_made_a_change_is_told_what_became_of_it() {
    let mut all = three();
    run(&mut all, 60);
    let (leader, follower) = leader_and_follower(&all);
    member(&mut all, leader).propose("one".into());
    member(&mut all, follower).propose("other".into());
    assert_eq!(member(&mut all, follower).status().pending, Some(0));
    run(&mut all, 60);
    let revision = member(&mut all, leader).status().revision;
    assert_eq!(member(&mut all, leader).status().last_change, Some(Outcome::Agreed { revision }));
    let gave_way = Outcome::GaveWay { made_against: 0, revision, proposer: Some(leader) };
    assert_eq!(member(&mut all, follower).status().last_change, Some(gave_way));
    assert_eq!(member(&mut all, follower).status().pending, None);
    member(&mut all, follower).propose("other".into());
    run(&mut all, 60);
    let status = member(&mut all, follower).status();
    assert_eq!(status.last_change, Some(Outcome::Agreed { revision: status.revision }));
    assert!(status.revision > revision);
}

/// Guards against a warning where the same file was read at all brokers at once.
#[test]
fn the_same_change_at_all_members_is_agreed_on_at_all_of_them() {
    let mut all = three();
    run(&mut all, 60);
    all.iter_mut().for_each(|(_, a)| a.propose("same".into()));
    let committed = run(&mut all, 60);
    assert_eq!(committed, vec![vec![Bytes::from("same")]; 3]);
    let agreed = |a: &Agreement| matches!(a.status().last_change, Some(Outcome::Agreed { .. }));
    assert!(all.iter().all(|(_, a)| agreed(a) && a.status().pending.is_none()));
}

/// Guards against a change at the start of a cluster that gives way to the file that the leader was started with.
#[test]
fn a_change_follows_the_initial_configuration() {
    let mut all = three();
    run(&mut all, 60);
    let (leader, follower) = leader_and_follower(&all);
    member(&mut all, follower).propose("change".into());
    member(&mut all, leader).propose_initial(&"initial".into());
    member(&mut all, leader).propose_initial(&"twice".into());
    let committed = run(&mut all, 60);
    assert_eq!(committed, vec![vec![Bytes::from("initial"), Bytes::from("change")]; 3]);
    member(&mut all, leader).propose_initial(&"late".into());
    assert_eq!(run(&mut all, 60), vec![Vec::<Bytes>::new(); 3]);
}

/// Returns what a member of a build without revisions sends of a message.
fn of_earlier_build(mut message: Message) -> Message {
    message.mut_unknown_fields().remove(PROPOSAL_RULES_FIELD);
    message.mut_entries().iter_mut().for_each(|entry| entry.clear_context());
    message
}

/// Guards against a proposal of an earlier build, which does not say what it was made against, that a leader appends.
#[test]
fn a_leader_refuses_a_proposal_of_an_earlier_build() {
    let mut all = three();
    run(&mut all, 60);
    let (leader, follower) = leader_and_follower(&all);
    member(&mut all, follower).propose("old".into());
    let messages = member(&mut all, follower).turn().unwrap().messages;
    let proposal = messages.into_iter().find(|m| m.get_msg_type() == MessageType::MsgPropose).unwrap();
    member(&mut all, leader).step(of_earlier_build(proposal));
    assert!(member(&mut all, leader).last_value().is_none());
    assert_eq!(member(&mut all, leader).refused.len(), 1);
}

/// Guards against a change that a leader of an earlier build would append unchecked, and against one that is forgotten
/// instead of proposed to the next leader.
#[test]
fn a_change_waits_for_a_leader_that_checks_it() {
    let mut all = three();
    run(&mut all, 60);
    let (leader, follower) = leader_and_follower(&all);
    member(&mut all, leader).tick();
    member(&mut all, leader).tick();
    let heartbeats = member(&mut all, leader).turn().unwrap().messages;
    let heartbeat = heartbeats.into_iter().find(|m| m.to == follower).unwrap();
    member(&mut all, follower).step(of_earlier_build(heartbeat));
    member(&mut all, follower).propose("waits".into());
    let messages = member(&mut all, follower).turn().unwrap().messages;
    assert!(messages.iter().all(|m| m.get_msg_type() != MessageType::MsgPropose), "{messages:?}");
    assert!(member(&mut all, follower).waiting_logged);
    assert_eq!(run(&mut all, 60), vec![vec![Bytes::from("waits")]; 3]);
}

/// Guards against a log of an earlier build that is not read, or whose last configuration counts as none.
#[test]
fn a_log_of_an_earlier_build_is_read_and_changes_follow_it() {
    let file = std::env::temp_dir().join(format!("claywinch-agreement-old-{}", std::process::id()));
    let entry = |index: u64, data: &'static str| Entry {
        index,
        term: 1,
        data: Bytes::from(data),
        ..Entry::default()
    };
    let mut state = raft::eraftpb::HardState::default();
    (state.term, state.commit) = (1, 3);
    let store = Store::new(file.clone());
    store.save_log(&state, &[entry(1, ""), entry(2, "one"), entry(3, "two")]).unwrap();
    let mut all: Vec<(u64, Agreement)> = (1..=3)
        .map(|id| {
            let own = file.with_extension(format!("{id}"));
            std::fs::copy(&file, &own).unwrap();
            (id, Agreement::new(id, &[1, 2, 3], Some(own)).unwrap())
        })
        .collect();
    assert_eq!(all[0].1.status().revision, 3);
    all[0].1.propose("three".into());
    let expected: Vec<Bytes> = ["one", "two", "three"].map(Bytes::from).into();
    assert_eq!(run(&mut all, 120), vec![expected; 3]);
    for id in 1..=3 {
        std::fs::remove_file(file.with_extension(format!("{id}"))).unwrap();
    }
    std::fs::remove_file(file).unwrap();
}

/// Guards against a file of a pending change that was cut or spoiled and is proposed.
#[test]
fn a_spoiled_file_of_a_pending_change_is_refused() {
    let file = std::env::temp_dir().join(format!("claywinch-agreement-pending-{}", std::process::id()));
    let path = std::path::PathBuf::from(format!("{}.pending", file.display()));
    let store = Store::new(file);
    let change = Change { proposer: 1, number: 4, base: 9, initial: false };
    let pending = Pending { change, value: "value".into() };
    store.save_pending(Some(&pending)).unwrap();
    assert_eq!(store.load_pending().unwrap(), Some(pending));
    let bytes = std::fs::read(&path).unwrap();
    for cut in 0..bytes.len() {
        std::fs::write(&path, &bytes[..cut]).unwrap();
        assert!(matches!(store.load_pending(), Err(AgreementError::Damaged(_))), "{cut} bytes");
    }
    for bit in 0..bytes.len() * 8 {
        let mut spoiled = bytes.clone();
        spoiled[bit / 8] ^= 1 << (bit % 8);
        std::fs::write(&path, spoiled).unwrap();
        assert!(store.load_pending().is_err(), "bit {bit}");
    }
    store.save_pending(None).unwrap();
    assert_eq!(store.load_pending().unwrap(), None);
}
