//! Tests of the simulator adapter `claywinch-drill` with hand-written messages.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONF: &str = r#"{"balancers":2,"unknown_key":[1],"bounds":{"most_tries":3,"second_copies":false,"cancel":true,
"probes":false,"retry_after":true,"max_retry_after_s":0.5},"contracts":[{"name":"p","base_rate":3.0,"parts":1.0,
"price":1.0,"floor_rate":9.0}],"extra":{"usual_units":2.0,"largest":8,"fair_worth":0.4,"spare_worth":0.1,
"young_limit":20.0},"localities":["a","b"],"registry_mode":"pushed","rules":{"start_capacity":0.3,"cold_s":10.0,
"tip_after_s":2.0},"services":[{"name":"c","promise_s":0.5,"credit":1.0,"late_worth":0.1,"effect":"free",
"group":"all"}]}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_claywinch-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at the first malformed line.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn launch(name: &str) -> String {
    format!(
        "LAUNCH\t{name}\t7\t{}\nLEDGER\t0\t3\nITEM\t11\ta\tm\t0\tin_service\t1\t-\n\
         ITEM\t22\tb\tm\t1\tin_service\t1.5\t-\n\
         ITEM\t33\tb\tm\t2\tin_service\t1\t6.1\nMEMBERS\t{name}\tdisk\t1\t0\n",
        CONF.replace('\n', "")
    )
}

fn inbound(name: &str, id: u64, shard: i64) -> String {
    format!("INBOUND\t{name}\t{id}\tc\tp\tkey\t12.5\tvol\t2\t{shard}\t1\t0\t0\n")
}

/// A batch at 10 s that starts one instance and then contains `events`.
fn batch(events: &str) -> String {
    format!("SYNC\t10\n{}{events}EOF_BATCH\n", launch("s_0"))
}

fn complains(input: &str, words: &[&str]) {
    let out = run(input);
    let text = String::from_utf8_lossy(&out.stderr).to_string();
    assert!(!out.status.success(), "{input:?} was taken");
    assert!(!text.contains("panicked"), "{text}");
    for word in words {
        assert!(text.contains(word), "'{word}' is not in: {text}");
    }
}

#[test]
fn a_request_is_sent_to_the_node_of_its_shard_and_its_end_is_taken() {
    let second = "SYNC\t10.02\nRESOLVED\ts_0\t5\t0\tpass\t1\t-\t-\t22\t0.02\tbusy:0.5,other:3\nEOF_BATCH\n";
    let out = run(&(batch(&inbound("s_0", 5, 1)) + second));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(text.contains("TRANSMIT\ts_0\t5\t22\t12.500000\n"), "{text}");
    assert_eq!(text.matches("DONE\n").count(), 2);
}

#[test]
fn odd_but_legal_batches_are_answered() {
    let out = run("SYNC\t1\nEOF_BATCH\nSYNC\t1\nEOF_BATCH\n");
    assert_eq!(String::from_utf8(out.stdout).unwrap(), "DONE\nDONE\n");
    let stop = format!("SHUTDOWN\ts_0\n{}{}", launch("s_0"), inbound("s_0", 5, 0));
    let out = run(&batch(&stop));
    assert!(String::from_utf8(out.stdout).unwrap().contains("TRANSMIT\ts_0\t5\t11\t"));
    let none = "SYNC\t2\nLEDGER\t3\t0\nMEMBERS\ts_0\tsnapshot\t2\t3\nTIMED_OUT_CLIENT\ts_0\t99\nALARM\ts_0\t0\nEOF_BATCH\n";
    let early = batch("").replace("SYNC\t10", "SYNC\t1");
    assert!(run(&(early + none)).status.success());
}

#[test]
fn instances_are_apart_and_replies_name_them() {
    let events = format!("{}{}{}", launch("s_1"), inbound("s_0", 1, 0), inbound("s_1", 2, 0));
    let text = String::from_utf8(run(&batch(&events)).stdout).unwrap();
    assert!(text.contains("TRANSMIT\ts_0\t1\t11\t") && text.contains("TRANSMIT\ts_1\t2\t11\t"), "{text}");
}

#[test]
fn malformed_input_is_named_and_ends_the_run() {
    complains("HELLO\n", &["HELLO", "SYNC"]);
    complains("SYNC\tsoon\n", &["SYNC", "clock", "soon"]);
    complains("SYNC\t5\nEOF_BATCH\nSYNC\t4\n", &["clock", "later"]);
    complains("SYNC\t1\nALARM\ts_9\t1\n", &["ALARM", "s_9"]);
    complains("SYNC\t1\nNEWS\ts_0\n", &["NEWS", "unknown"]);
    complains(&batch("INBOUND\ts_0\t5\tx\tp\tk\t12\tv\t2\t0\t1\t0\t0\n"), &["INBOUND", "band", "'x'"]);
    complains(&batch("INBOUND\ts_0\t5\tc\tq\tk\t12\tv\t2\t0\t1\t0\t0\n"), &["service_level", "'q'"]);
    complains(&batch("INBOUND\ts_0\t4503599627370496\tc\tp\tk\t12\tv\t2\t0\t1\t0\t0\n"), &["INBOUND", "id"]);
    complains(&batch("INBOUND\ts_0\t5\tc\tp\n"), &["INBOUND", "region", "missing"]);
    complains(&batch("RESOLVED\ts_0\t5\t0\tlost\t1\t0\t0\t11\t0.1\t-\n"), &["RESOLVED", "ending", "lost"]);
    complains(&batch("MEMBERS\ts_0\tdiff\t2\t9\n"), &["MEMBERS", "roster_id", "'9'"]);
    complains("SYNC\t1\nLEDGER\t0\t2\nEOF_BATCH\n", &["EOF_BATCH", "ITEM"]);
    complains("SYNC\t1\n", &["inside a batch"]);
    complains("SYNC\t1\nLAUNCH\ts_0\t7\t{}\n", &["LAUNCH", "conf.bounds", "missing"]);
    complains(&batch("").replace("\"balancers\":2", "\"balancers\":-1"), &["conf.balancers", "-1"]);
    complains(&batch("").replace("\"balancers\":2", "\"balancers\":0"), &["LAUNCH", "conf.balancers is 0"]);
    complains("SYNC\t1\nLAUNCH\ts_0\t7\t{\"a\":\n", &["LAUNCH", "JSON"]);
}
