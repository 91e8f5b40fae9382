use super::*;

/// Answers name what they answer.
const SHARED: Sharing = Sharing::Multiplexed;

fn pool(links: usize, multiplex: usize) -> Pool {
    Pool::new(PoolLimits { links, links_per_node: 3, terms: LinkSettings { multiplex, idle: 100_000 } })
}

#[test]
fn each_attempt_has_a_link_of_its_own_while_there_are_links() {
    let mut pool = pool(4, 2);
    let opened: Vec<Pick> = (0..4).map(|_| pool.pick(0, 7, 0, SHARED)).collect();
    assert_eq!(opened[..3], [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    assert_eq!(opened[3], Pick::Use(0), "over the node's own cap attempts share links");
    assert_eq!((pool.pick(0, 8, 0, SHARED), pool.pick(0, 9, 0, SHARED)), (Pick::Open(3), Pick::Full));
}

#[test]
fn the_link_used_last_is_taken_and_others_age_out() {
    let mut pool = pool(4, 1);
    let picks = [pool.pick(0, 7, 0, SHARED), pool.pick(0, 7, 0, SHARED)];
    assert_eq!(picks, [Pick::Open(0), Pick::Open(1)]);
    let stale = [pool.answered(10_000, 1), pool.answered(20_000, 0)];
    assert_eq!(stale, [Some(110_000), Some(120_000)]);
    assert_eq!(pool.pick(20_000 + LEAST_REST, 7, 0, SHARED), Pick::Use(0));
    assert_eq!((pool.idle_expires_at(1), pool.idle_expires_at(0)), (Some(110_000), None));
    pool.set_link_settings(LinkSettings { multiplex: 1, idle: 200_000 });
    assert_eq!(pool.idle_expires_at(1), Some(210_000));
}

/// Guards against two processes that together hold more than one may.
#[test]
fn a_bound_that_shrinks_lets_idle_links_go_first() {
    let mut pool = pool(8, 1);
    let picks = [0; 3].map(|_| pool.pick(0, 7, 0, SHARED));
    assert_eq!(picks, [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    pool.answered(20, 1);
    pool.answered(10, 2);
    assert_eq!(pool.set_link_limit(2), [2], "the one unused for longest");
    pool.remove(30, 2, false);
    assert_eq!(pool.set_link_limit(1), [1]);
    pool.remove(30, 1, false);
    assert_eq!((pool.set_link_limit(1), pool.pick(30, 8, 0, SHARED)), (vec![], Pick::Full));
}

#[test]
fn a_link_rests_after_a_reply_unless_there_is_no_other() {
    let mut pool = pool(2, 4);
    assert_eq!(pool.pick(0, 7, 0, SHARED), Pick::Open(0));
    pool.answered(10_000, 0);
    assert_eq!(
        pool.pick(10_000, 7, 0, SHARED),
        Pick::Open(1),
        "what it sends beyond its reply may still come"
    );
    pool.answered(10_000, 1);
    assert_eq!(pool.pick(10_100, 7, 0, SHARED), Pick::Use(0), "there is no other");
    assert_eq!(pool.pick(10_000 + LEAST_REST, 7, 0, SHARED), Pick::Use(1));
}

#[test]
fn a_refused_connect_beside_links_that_are_up_caps_the_node_for_a_while() {
    let mut pool = pool(9, 4);
    assert_eq!((pool.pick(0, 7, 0, SHARED), pool.pick(0, 7, 0, SHARED)), (Pick::Open(0), Pick::Open(1)));
    pool.note_up(0);
    assert!(pool.remove(5, 1, true) && !pool.remove(5, 1, true));
    assert_eq!(pool.pick(6, 7, 0, SHARED), Pick::Use(0));
    assert_eq!(pool.pick(6 + CAP_MEMORY, 7, 0, SHARED), Pick::Open(2));
}

/// Guards against a second answer that is taken for the answer to the request behind it.
#[test]
fn a_link_whose_answers_name_nothing_carries_one_attempt_and_rests() {
    let mut pool = pool(9, 4);
    let pick = |pool: &mut Pool, now| pool.pick(now, 7, 0, Sharing::Exclusive);
    assert_eq!([0; 3].map(|_| pick(&mut pool, 0)), [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    assert_eq!(pick(&mut pool, 0), Pick::Full, "nothing goes behind what is out");
    pool.answered(1_000, 1);
    assert_eq!(pick(&mut pool, 1_000 + LEAST_REST - 1), Pick::Full);
    assert_eq!(pick(&mut pool, 1_000 + LEAST_REST), Pick::Use(1));
}

/// Guards against a fleet that is larger than what this process may open, whose nodes are then taken for unreachable.
#[test]
fn a_full_pool_gives_up_the_link_unused_for_longest() {
    let mut pool = pool(3, 1);
    let pick = |pool: &mut Pool, now, node| pool.pick(now, node, 0, Sharing::Exclusive);
    assert_eq!([1, 2, 3].map(|node| pick(&mut pool, 0, node)), [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    assert_eq!(pick(&mut pool, 0, 4), Pick::Full, "all are in use");
    pool.answered(20, 0);
    pool.answered(10, 2);
    assert_eq!(pick(&mut pool, 30, 4), Pick::Replace(3, 2));
    assert_eq!(pick(&mut pool, 30, 5), Pick::Replace(4, 0));
    assert_eq!((pick(&mut pool, 30, 6), pool.len()), (Pick::Full, 3));
    pool.answered(40, 1);
    pool.note_open_failed(50);
    assert_eq!(pick(&mut pool, 60, 7), Pick::Replace(5, 1), "no descriptor is left for one more");
}

/// Guards against a second answer that a busy machine brings late, and is taken for the reply to the next request.
#[test]
fn links_rest_for_longer_where_this_process_has_run_late() {
    for (late, rest) in [(0, LEAST_REST), (2_000, 36_000), (500_000, MOST_REST)] {
        let mut pool = pool(4, 10);
        assert_eq!(pool.pick(0, 7, 0, Sharing::Exclusive), Pick::Open(0));
        pool.answered(1_000, 0);
        pool.note_lateness(late);
        assert_eq!(pool.pick(1_000 + rest - 1, 7, 0, Sharing::Exclusive), Pick::Open(1), "late by {late}");
        pool.answered(1_000, 1);
        assert!(matches!(pool.pick(1_000 + rest, 7, 0, Sharing::Exclusive), Pick::Use(_)));
    }
}

/// Guards against a second answer of a node that stood still before it: once one node has answered twice, no link of any node is
/// used again before such an answer would have come, also where no further link may be opened.
#[test]
fn links_rest_for_longer_where_nodes_are_known_to_answer_twice() {
    let mut pool = pool(9, 4);
    let pick = |pool: &mut Pool, now| pool.pick(now, 7, 0, Sharing::Exclusive);
    assert_eq!([0; 3].map(|_| pick(&mut pool, 0)), [Pick::Open(0), Pick::Open(1), Pick::Open(2)]);
    pool.note_repeated_answer(0);
    pool.answered(1_000, 1);
    assert_eq!(pick(&mut pool, 1_000 + REST_AMONG_REPEATS - 1), Pick::Full);
    assert_eq!(pick(&mut pool, 1_000 + REST_AMONG_REPEATS), Pick::Use(1));
    pool.answered(REPEATS_MEMORY - 1 - LEAST_REST, 1);
    assert_eq!(pick(&mut pool, REPEATS_MEMORY - 1), Pick::Full, "still known");
    assert_eq!(pick(&mut pool, REPEATS_MEMORY), Pick::Use(1), "none for a long time");
}
