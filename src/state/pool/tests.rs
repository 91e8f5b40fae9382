use super::*;

/// Each answer identifies its attempt.
const SHARED: Sharing = Sharing::Multiplexed;

fn pool(links: usize, multiplex: usize) -> Pool<()> {
    Pool::new(PoolLimits { links, links_per_node: 3, terms: LinkSettings { multiplex, idle: 100_000 } })
}

#[test]
fn each_attempt_has_its_own_link_while_links_may_be_opened() {
    let mut pool = pool(4, 2);
    let opened: Vec<Pick> = (0..4).map(|_| pool.pick(0, 7, &(), SHARED)).collect();
    assert_eq!(opened[..3], [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    assert_eq!(opened[3], Pick::Use(0), "at the limit of links per node attempts share links");
    assert_eq!((pool.pick(0, 8, &(), SHARED), pool.pick(0, 9, &(), SHARED)), (Pick::Open(3), Pick::Full));
}

#[test]
fn the_most_recently_used_link_is_chosen_and_others_time_out() {
    let mut pool = pool(4, 1);
    let picks = [pool.pick(0, 7, &(), SHARED), pool.pick(0, 7, &(), SHARED)];
    assert_eq!(picks, [Pick::Open(0), Pick::Open(1)]);
    let stale = [pool.answered(10_000, 1), pool.answered(20_000, 0)];
    assert_eq!(stale, [Some(110_000), Some(120_000)]);
    assert_eq!(pool.pick(20_000 + MIN_REST, 7, &(), SHARED), Pick::Use(0));
    assert_eq!((pool.idle_expires_at(1), pool.idle_expires_at(0)), (Some(110_000), None));
    pool.set_link_settings(LinkSettings { multiplex: 1, idle: 200_000 });
    assert_eq!(pool.idle_expires_at(1), Some(210_000));
}

/// Guards against two processes, during a hand-over, that together hold more links than one process may.
#[test]
fn a_lowered_link_limit_closes_the_longest_idle_links_first() {
    let mut pool = pool(8, 1);
    let picks = [0; 3].map(|_| pool.pick(0, 7, &(), SHARED));
    assert_eq!(picks, [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    pool.answered(20, 1);
    pool.answered(10, 2);
    assert_eq!(pool.set_link_limit(2), [2], "the link that has been idle for longest");
    pool.remove(30, 2, false);
    assert_eq!(pool.set_link_limit(1), [1]);
    pool.remove(30, 1, false);
    assert_eq!((pool.set_link_limit(1), pool.pick(30, 8, &(), SHARED)), (vec![], Pick::Full));
}

#[test]
fn a_link_rests_after_a_reply_unless_it_is_the_only_choice() {
    let mut pool = pool(2, 4);
    assert_eq!(pool.pick(0, 7, &(), SHARED), Pick::Open(0));
    pool.answered(10_000, 0);
    assert_eq!(
        pool.pick(10_000, 7, &(), SHARED),
        Pick::Open(1),
        "bytes beyond the reply on link 0 may still arrive"
    );
    pool.answered(10_000, 1);
    assert_eq!(
        pool.pick(10_100, 7, &(), SHARED),
        Pick::Use(0),
        "both links rest and no further one may be opened"
    );
    assert_eq!(pool.pick(10_000 + MIN_REST, 7, &(), SHARED), Pick::Use(1));
}

#[test]
fn a_failed_connect_while_other_links_are_up_limits_links_to_the_node_for_a_while() {
    let mut pool = pool(9, 4);
    assert_eq!((pool.pick(0, 7, &(), SHARED), pool.pick(0, 7, &(), SHARED)), (Pick::Open(0), Pick::Open(1)));
    pool.note_up(0);
    assert!(pool.remove(5, 1, true) && !pool.remove(5, 1, true));
    assert_eq!(pool.pick(6, 7, &(), SHARED), Pick::Use(0));
    assert_eq!(pool.pick(6 + CAP_MEMORY, 7, &(), SHARED), Pick::Open(2));
}

/// Guards against taking a second answer to one request for the answer to the next request on the link.
#[test]
fn an_exclusive_link_carries_one_attempt_and_rests_after_it() {
    let mut pool = pool(9, 4);
    let pick = |pool: &mut Pool<()>, now| pool.pick(now, 7, &(), Sharing::Exclusive);
    assert_eq!([0; 3].map(|_| pick(&mut pool, 0)), [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    assert_eq!(pick(&mut pool, 0), Pick::Full, "no attempt is queued behind another one");
    pool.answered(1_000, 1);
    assert_eq!(pick(&mut pool, 1_000 + MIN_REST - 1), Pick::Full);
    assert_eq!(pick(&mut pool, 1_000 + MIN_REST), Pick::Use(1));
}

/// Guards against treating nodes as unreachable when the fleet has more nodes than this process may open links.
#[test]
fn a_full_pool_replaces_the_longest_idle_link() {
    let mut pool = pool(3, 1);
    let pick = |pool: &mut Pool<()>, now, node| pool.pick(now, node, &(), Sharing::Exclusive);
    assert_eq!([1, 2, 3].map(|node| pick(&mut pool, 0, node)), [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    assert_eq!(pick(&mut pool, 0, 4), Pick::Full, "all links are in use");
    pool.answered(20, 0);
    pool.answered(10, 2);
    assert_eq!(pick(&mut pool, 30, 4), Pick::Replace(3, 2));
    assert_eq!(pick(&mut pool, 30, 5), Pick::Replace(4, 0));
    assert_eq!((pick(&mut pool, 30, 6), pool.len()), (Pick::Full, 3));
    pool.answered(40, 1);
    pool.note_open_failed(50);
    assert_eq!(pick(&mut pool, 60, 7), Pick::Replace(5, 1), "no descriptor is left for a further link");
}

/// Guards against taking a second answer, delayed by a busy machine, for the reply to the next request.
#[test]
fn links_rest_for_longer_when_this_process_has_run_late() {
    for (late, rest) in [(0, MIN_REST), (2_000, 36_000), (500_000, MAX_REST)] {
        let mut pool = pool(4, 10);
        assert_eq!(pool.pick(0, 7, &(), Sharing::Exclusive), Pick::Open(0));
        pool.answered(1_000, 0);
        pool.note_lateness(late);
        assert_eq!(pool.pick(1_000 + rest - 1, 7, &(), Sharing::Exclusive), Pick::Open(1), "late by {late}");
        pool.answered(1_000, 1);
        assert!(matches!(pool.pick(1_000 + rest, 7, &(), Sharing::Exclusive), Pick::Use(_)));
    }
}

/// Guards against taking the second answer of a node that stalled before it for the reply to the next request. Once a node
/// has answered twice, no link of any node is used again before such an answer would have arrived, even if no further
/// link may be opened.
#[test]
fn links_rest_for_longer_when_nodes_are_known_to_answer_twice() {
    let mut pool = pool(9, 4);
    let pick = |pool: &mut Pool<()>, now| pool.pick(now, 7, &(), Sharing::Exclusive);
    assert_eq!([0; 3].map(|_| pick(&mut pool, 0)), [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    pool.note_repeated_answer(0);
    pool.answered(1_000, 1);
    assert_eq!(pick(&mut pool, 1_000 + REST_AFTER_REPEATS - 1), Pick::Full);
    assert_eq!(pick(&mut pool, 1_000 + REST_AFTER_REPEATS), Pick::Use(1));
    pool.answered(REPEATS_MEMORY - 1 - MIN_REST, 1);
    assert_eq!(pick(&mut pool, REPEATS_MEMORY - 1), Pick::Full, "nodes are still treated as answering twice");
    assert_eq!(pick(&mut pool, REPEATS_MEMORY), Pick::Use(1), "no repeated answer for REPEATS_MEMORY");
}
