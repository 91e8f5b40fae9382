//! Many schedulers driven in one test by handed-in time: what is asserted is the sum over the fleet.

mod common;
use claywinch::interface::*;
use common::*;

/// As many hosts as the tests play. They have numbers of their own, by which they take turns at cold nodes.
const HOSTS: u32 = 100;

fn refused(acts: &[Action]) -> usize {
    acts.iter().filter(|a| matches!(a, Action::Refuse(..))).count()
}

/// Guards against requests that a cold node has no room for, and that many hosts hold until shortly before their
/// clients give up, because the node's queue is short: they pay for the wait and are refused all the same.
#[test]
fn what_a_cold_node_has_no_room_for_is_answered_by_half_of_its_time() {
    let (mut early, mut late, mut sent) = (0, 0, 0);
    for host in 0..HOSTS {
        let mut s = Drive::new(Settings { hosts: HOSTS, number: host, cold_units: 4.0, ..settings() });
        s.nodes(&[(1, 0), (2, 1)]);
        s.wait(1_000_000);
        s.change(1, 0, NodeState::Up, Some(s.now));
        let id = u64::from(host);
        sent += sends(&s.request(ask(id))).len();
        for step in 1..=40 {
            let acts = s.tick(50_000);
            sent += sends(&acts).len();
            *(if step <= 21 { &mut early } else { &mut late }) += refused(&acts);
        }
    }
    assert!(early > 50 && late <= sent, "{early} refused by half of their time, {late} later, {sent} sent");
}

/// Guards against late and spare work that is held until shortly before its client gives up, in the hope that an
/// idle node turns quick: where hosts outnumber nodes, nothing that this host could learn from is out there.
#[test]
fn work_without_room_at_an_idle_node_is_not_held_past_half_of_its_time_by_many_hosts() {
    let play = |hosts: u32| {
        let mut set = Settings { hosts, ..settings() };
        (set.plans[0].limit, set.plans[0].weight) = (None, 0.0);
        let (mut early, mut late) = (0, 0);
        for host in 0..u64::from(hosts) {
            let mut s = Drive::new(Settings { number: host as u32, ..set.clone() });
            // As many nodes as hosts have been replaced lately.
            let old: Vec<(NodeId, ShardId)> = (1000..1100).map(|node| (node, 9)).collect();
            if hosts > 3 {
                s.nodes(&old);
            }
            s.nodes(&[(1, 0), (2, 1), (3, 2), (4, 3)]);
            // Each answer waits behind the work of others.
            for id in 0..4 {
                s.request(ask(id));
                s.wait(200_000);
                s.served(id, 0, 1, 200_000);
            }
            assert!(sends(&s.request(Ask { plan: 0, units: 2.5, ..ask(1000 + host) })).is_empty());
            for step in 1..=40 {
                let acts = s.tick(50_000);
                *(if step <= 20 { &mut early } else { &mut late }) += refused(&acts);
            }
        }
        (early, late)
    };
    assert_eq!(play(HOSTS), (HOSTS as usize, 0), "all by half of their time");
    assert_eq!(play(3), (0, 3), "few hosts hold it as long as there is hope");
}

/// Guards against a large node that gets, after its start, only what the smallest bears; and against more than both
/// bear. The sizes are told by the list.
#[test]
fn a_cold_node_of_twice_the_size_is_sent_about_twice_as_much_by_all_hosts() {
    let mut sum = [0.0_f64; 2];
    let window = settings().cold_window / 100_000;
    let mut sent = vec![[0.0_f64; 2]; 100];
    for host in 0..u64::from(HOSTS) {
        let mut s =
            Drive::new(Settings { hosts: HOSTS, number: host as u32, cold_units: 12.0, ..settings() });
        s.nodes(&[(1, 0), (2, 1), (3, 2), (4, 3)]);
        s.wait(3_000_000);
        let cold = |(node, size)| NodeEntry { size, ..entry(node, node - 1, NodeState::Up, Some(s.now)) };
        let list = [(1, 1000), (2, 2000)].map(cold).to_vec();
        s.event(Event::Nodes(ListKind::Changes, list));
        for step in 0..100 {
            s.wait(100_000);
            // Every second node that is asked for is warm, and each host asks in a rhythm of its own.
            if (step + host) % 10 == 0 {
                let id = host * 1000 + step * 2;
                let shard = Some(((step / 10 + host) % 4) as ShardId);
                for (id, node) in sends(&s.request(Ask { shard, ..ask(id) })) {
                    if node <= 2 {
                        sent[step as usize][node as usize - 1] += 1.0;
                    }
                    s.served(id, 0, node, 20_000);
                }
            }
        }
    }
    let mut first = [0.0_f64; 2];
    for (at, now) in sent.iter().enumerate() {
        for node in 0..2 {
            sum[node] += now[node];
            first[node] += if at < window as usize { now[node] } else { 0.0 };
        }
    }
    let ratio = sum[1] / sum[0];
    assert!((1.2..=2.5).contains(&ratio), "{sum:?} units in all, ratio {ratio}");
    // Some 50 units are asked of each in its first window, and 12 and 24 are safe.
    assert!(first[0] <= 12.0 && first[1] <= 24.0, "{first:?} units in the first window");
}
