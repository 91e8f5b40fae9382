//! Answers inside which a node pauses, on real sockets: which of them end before they are whole, and when.

mod common;

use common::paused_node::*;
use common::site::site;
use std::time::Duration;

/// Guards against a long value that is cut off while its node pauses across the end of its client's time.
#[test]
fn a_long_value_with_a_pause_across_its_clients_time_is_not_cut_off() {
    let (_seen, node) = paused_node();
    let site = site("pause-across", &node);
    let pause = Some(Duration::from_millis(800));
    let answering = Answering { length: 200_000, place: Place::AfterFirstPart, pause };
    let came = ask(&site.broker.listen, answering, "across", Duration::from_millis(500));
    assert_eq!(came.kind, Kind::Whole, "{came:?}");
}

/// Guards against a short answer that is cut off, and asked for again, at each pause of its node.
#[test]
fn a_short_answer_with_pauses_is_served_by_its_first_attempt() {
    let (seen, node) = paused_node();
    let site = site("short-pauses", &node);
    let answering = Answering { length: 30_000, place: Place::Even, pause: Some(Duration::from_millis(400)) };
    let came = ask(&site.broker.listen, answering, "short", Duration::from_millis(3_000));
    assert_eq!(came.kind, Kind::Whole, "{came:?}");
    assert_eq!(seen.lock().expect("what was seen").attempts["short"], 1);
}
