//! Broker processes that replicate the NBD configuration over real sockets.

mod common;

use common::net::*;

const SETTINGS: &str = r#"{"balancers":1,"bounds":{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,
    "retry_after":false},"contracts":[{"name":"p","base_rate":5.0,"parts":1.0,"price":1.0}],
    "extra":{"usual_units":2.0,"largest":8,"fair_worth":0.4,"spare_worth":0.05},"localities":["a"],
    "registry_mode":"on_request","rules":{"start_capacity":0.15,"cold_s":10.0,"tip_after_s":2.0},
    "services":[{"name":"c","promise_s":0.5,"credit":2.0,"late_worth":0.2,"effect":"free","group":"all"}]}"#;

/// Returns the configuration file of one of three peers, with this many nodes in the shared part.
fn file(own: usize, peers: &[String], kept: &std::path::Path, nodes: usize) -> String {
    let mut text = format!("own_peer = {own}\nkept = {:?}\n", kept.join(format!("{own}.log")));
    for (i, address) in peers.iter().enumerate() {
        text += &format!("[[peer]]\nid = {}\naddress = \"{address}\"\n", i + 1);
    }
    text += "[[class]]\nname = \"c\"\nwanted_ms = 200\ndeadline_ms = 900\nworth = 1.0\nrepeat = \"safe\"\n";
    text += "[[plan]]\nname = \"p\"\nrate = 5.0\nreserve = 4.0\n";
    for node in 0..nodes {
        text += &format!("[[node]]\nid = \"d-0000000{node}\"\naddress = \"127.0.0.1:9\"\nshard = {node}\n");
    }
    text
}

fn in_force(broker: &Broker, nodes: usize) -> bool {
    broker.log().contains(&format!("configuration in force exports=0 nodes={nodes}"))
}

/// Guards against peers that serve by different configurations, and against a restarted peer that loses its log.
#[test]
fn a_configuration_read_by_one_peer_is_in_force_at_all_of_them() {
    let kept = std::env::temp_dir().join(format!("claywinch-peers-{}", std::process::id()));
    std::fs::create_dir_all(&kept).unwrap();
    let peers: Vec<String> = (0..3).map(|_| free_address()).collect();
    let (_discovery, discovery) = Discovery::start("");
    let start = |own: usize, nodes: usize| {
        Broker::start(&format!("peer{own}"), SETTINGS, &discovery, Some(&file(own, &peers, &kept, nodes)))
    };
    let mut brokers: Vec<Broker> = (1..=3).map(|own| start(own, 1)).collect();
    until("the first configuration", || brokers.iter().all(|b| in_force(b, 1)));
    brokers[1].reload(&file(2, &peers, &kept, 2));
    until("the second configuration", || brokers.iter().all(|b| in_force(b, 2)));
    drop(brokers.remove(0));
    brokers[0].reload(&file(2, &peers, &kept, 3));
    until("the third configuration, with two of three peers", || brokers.iter().all(|b| in_force(b, 3)));
    // The stopped peer restarts with its old configuration file and receives what was committed without it.
    brokers.push(start(1, 1));
    until("the restarted peer catches up", || in_force(&brokers[2], 3));
    assert!(!brokers[0].log().contains("no longer takes part"));
    std::fs::remove_dir_all(kept).unwrap();
}
