//! Compares the queue with a plain sorted map.

use super::*;
use std::collections::BTreeMap;

#[test]
fn queue_agrees_with_a_sorted_map() {
    let mut state = 1_u64;
    let mut draw = |bound: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % bound
    };
    let (mut queue, mut plain) = (RankedQueue::default(), BTreeMap::new());
    for step in 0..20_000_u64 {
        let rank: Rank = (Reverse(draw(5)), draw(50) as Time, draw(40));
        // The queue grows for 4000 steps and then shrinks for 4000 steps, repeatedly.
        match draw(10) < if (step / 4_000) % 2 == 0 { 7 } else { 3 } {
            true if !plain.contains_key(&rank) => {
                let units = 1.0 + draw(4) as f64;
                queue.insert(rank, units);
                plain.insert(rank, units);
            }
            true => queue.insert(rank, 9.0),
            false => {
                let some = plain.range(rank..).next().map(|(rank, _)| *rank).unwrap_or(rank);
                queue.remove(&some);
                plain.remove(&some);
            }
        }
        assert_eq!((queue.len(), queue.is_empty()), (plain.len(), plain.is_empty()));
        assert_eq!(queue.first(), plain.keys().next().copied());
        let before: f64 = plain.range(..rank).map(|(_, units)| units).sum();
        assert!((queue.units_before(&rank) - before).abs() < 1e-6, "step {step}");
    }
    assert!(queue.blocks.iter().all(|b| !b.ranks.is_empty() && b.ranks.len() <= MAX_BLOCK_LEN));
}
