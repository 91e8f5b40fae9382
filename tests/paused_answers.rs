//! Answers inside which a node pauses, on real sockets: which of them end before they are whole, and when.

mod common;

use common::net::connect;
use common::paused_node::*;
use common::site::site;
use std::io::Write;
use std::time::{Duration, Instant};

/// An answer whose first byte comes later than this after its time counts as lost; every time limit is 50 ms longer.
const LOST_AFTER: Duration = Duration::from_millis(550);

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

/// Guards against a value that is held back until it is whole, long past its client's time, since others stand behind it.
#[test]
fn a_long_value_before_other_answers_is_not_held_back_past_its_time() {
    let (_seen, node) = paused_node();
    let site = site("held-back", &node);
    let wait = Duration::from_millis(500);
    let pause = Some(Duration::from_millis(800));
    let long = Answering { length: 200_000, place: Place::AfterFirstPart, pause };
    let short = Answering { length: 5, place: Place::AfterHead, pause: Some(Duration::ZERO) };
    let mut client = connect(&site.broker.listen);
    let commands = [read_command(long, "long", wait), read_command(short, "short", wait)];
    client.write_all(commands.concat().as_bytes()).expect("asks");
    let sent = Instant::now();
    let first = receive(&mut client, sent, "long");
    assert!(first.first.expect("an answer") < wait + LOST_AFTER, "{first:?}");
    let second = receive(&mut client, sent, "short");
    assert_eq!(second.kind, Kind::Whole, "{second:?}");
    assert!(second.ended < wait + LOST_AFTER, "{second:?}");
}
