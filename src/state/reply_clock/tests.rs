use super::*;

/// Guards against an answer that ends although its node goes on, however long all of it takes.
#[test]
fn each_byte_gives_the_node_its_whole_time_again() {
    let progress = ReplyArrival::default();
    for now in (0..20).map(|number| number * (NODE_SILENCE - 1)) {
        assert!(now == 0 || progress.silent_at() > now);
        progress.received(now, 10);
        assert_eq!(progress.silent_at(), now + NODE_SILENCE);
    }
    assert_eq!(progress.arrived().bytes, 200);
}

/// Guards against a node that is held for silent while the broker itself does not read.
#[test]
fn silence_does_not_count_while_the_broker_does_not_read() {
    let progress = ReplyArrival::default();
    progress.received(1_000, 10);
    progress.read_again(9_000_000);
    assert_eq!(progress.silent_at(), 9_000_000 + NODE_SILENCE);
    assert_eq!(progress.arrived().last, 1_000, "the log tells when the last byte came");
}

/// Guards against bytes that are counted for the answer behind the one that they belong to.
#[test]
fn what_a_whole_answer_had_is_not_counted_for_the_next() {
    let progress = ReplyArrival::default();
    progress.received(1_000, 10);
    progress.complete();
    progress.received(2_000, 3);
    assert_eq!(progress.arrived().bytes, 3);
}

/// Guards against an answer that is held back without an end, and against one that ends for the time of those ahead of it.
#[test]
fn a_withheld_answer_has_its_clients_time_from_its_turn_on() {
    let mut clock = WithheldClock::default();
    let reply = |id, due| Some(WithheldReply { id, due });
    assert_eq!(clock.ends_at(100, reply(1, 500_000)), Some(500_000 + LATE_ANSWER));
    assert_eq!(clock.ends_at(600_000, reply(1, 500_000)), Some(500_000 + LATE_ANSWER));
    assert_eq!(clock.ends_at(900_000, reply(2, 500_000)), Some(900_000 + LATE_ANSWER));
    assert_eq!(clock.ends_at(950_000, reply(2, 500_000)), Some(900_000 + LATE_ANSWER));
    assert_eq!(clock.ends_at(960_000, None), None);
    const { assert!(LATE_ANSWER < 500_000) };
}
