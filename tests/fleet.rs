//! Drives many schedulers with simulated time and checks the totals over all hosts.

mod common;
use claywinch::interface::*;
use common::*;

/// Number of simulated hosts. Each has its own index, by which hosts take turns at cold nodes.
const HOSTS: u32 = 100;

fn refused(acts: &[Action]) -> usize {
    acts.iter().filter(|a| matches!(a, Action::Refuse(..))).count()
}

/// Guards against requests for a cold node without capacity that many hosts hold until shortly before the deadline,
/// because the node's queue is short: clients wait and are refused all the same.
#[test]
fn requests_beyond_the_capacity_of_a_cold_node_are_refused_within_half_of_their_time() {
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

/// Guards against late and spare requests that are held until shortly before the deadline because an idle node might
/// become fast: where hosts outnumber nodes, this host has no attempt in flight there from which it could learn that.
#[test]
fn requests_without_capacity_at_an_idle_node_are_not_held_past_half_of_their_time_by_many_hosts() {
    let play = |hosts: u32| {
        let mut set = Settings { hosts, ..settings() };
        (set.plans[0].limit, set.plans[0].weight) = (None, 0.0);
        let (mut early, mut late) = (0, 0);
        for host in 0..u64::from(hosts) {
            let mut s = Drive::new(Settings { number: host as u32, ..set.clone() });
            // As many nodes as there are hosts have been replaced recently.
            let old: Vec<(NodeId, ShardId)> = (1000..1100).map(|node| (node, 9)).collect();
            if hosts > 3 {
                s.nodes(&old);
            }
            s.nodes(&[(1, 0), (2, 1), (3, 2), (4, 3)]);
            // Answers are slow, as if each attempt waited behind work of other hosts.
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
    assert_eq!(play(HOSTS), (HOSTS as usize, 0), "all hosts refuse within half of the time");
    assert_eq!(play(3), (0, 3), "few hosts hold the request as long as it may be served in time");
}

/// Guards against a large node that gets only the load of the smallest node after its start, and against more load than
/// either can take. The node list states the sizes.
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
            // Half of the requests go to warm nodes, and the hosts send at different times.
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
    // About 50 units are requested of each node in its first window; the nodes can take 12 and 24.
    assert!(first[0] <= 12.0 && first[1] <= 24.0, "{first:?} units in the first window");
}
