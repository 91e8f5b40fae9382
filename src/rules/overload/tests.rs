//! When a host refuses for being late.

use super::*;

const MS: Time = 1_000;
const AIM: Time = 150 * MS;

#[test]
fn one_pause_is_no_overload_and_lasting_lateness_is() {
    let mut host = Overload::default();
    host.note(1_000 * MS, 150 * MS);
    assert_eq!(host.refuses(1_000 * MS, AIM), None, "held up once");
    host.note(9_000 * MS, 7_000 * MS);
    assert_eq!(host.refuses(9_000 * MS, AIM), None, "stopped for long, once");
    let mut now = 12_000 * MS;
    for _ in 0..20 {
        now += 150 * MS;
        host.note(now, 140 * MS);
    }
    let wait = host.refuses(now, AIM).expect("it refuses");
    assert!((100 * MS..1_000 * MS).contains(&wait), "{wait}");
    assert_eq!(host.refuses(now + 1_000 * MS, AIM), None, "and takes work again soon after");
}

/// A small share of a core: held up for 14 of each 20 ms.
#[test]
fn short_pauses_that_come_again_and_again_are_none() {
    let mut host = Overload::default();
    for step in 0..500 {
        host.note(step * 20 * MS, 14 * MS);
        assert_eq!(host.refuses(step * 20 * MS, AIM), None);
    }
}
