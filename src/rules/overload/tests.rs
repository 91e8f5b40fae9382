//! Tests of overload detection.

use super::*;

const MS: Time = 1_000;
const AIM: Time = 150 * MS;

#[test]
fn a_single_pause_is_no_overload_but_sustained_lag_is() {
    let mut host = Overload::default();
    host.record(1_000 * MS, 150 * MS);
    assert_eq!(host.retry_after(1_000 * MS, AIM), None, "one pause of 150 ms");
    host.record(9_000 * MS, 7_000 * MS);
    assert_eq!(host.retry_after(9_000 * MS, AIM), None, "one pause of 7 s");
    let mut now = 12_000 * MS;
    for _ in 0..20 {
        now += 150 * MS;
        host.record(now, 140 * MS);
    }
    let wait = host.retry_after(now, AIM).expect("sustained lag is overload");
    assert!((100 * MS..1_000 * MS).contains(&wait), "{wait}");
    assert_eq!(host.retry_after(now + 1_000 * MS, AIM), None, "accepts requests 1 s later");
}

/// A host that gets a small share of a core, with a lag of 14 ms in every 20 ms, is not overloaded.
#[test]
fn frequent_short_pauses_are_no_overload() {
    let mut host = Overload::default();
    for step in 0..500 {
        host.record(step * 20 * MS, 14 * MS);
        assert_eq!(host.retry_after(step * 20 * MS, AIM), None);
    }
}
