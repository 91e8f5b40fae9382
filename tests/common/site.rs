//! One broker before one node.

use super::net::*;
use std::time::Duration;

/// The longest deadline of the settings.
pub const LONGEST: Duration = Duration::from_secs(2);

/// Settings with a class of reads and one of writes.
fn settings() -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","promise_s":0.5,"deadline_s":{},"credit":2.0,"late_worth":0.2,"effect":"{effect}"}}"#,
            LONGEST.as_secs()
        )
    };
    format!(
        r#"{{"balancers":1,"localities":["a"],"registry_mode":"on_request","services":[{},{}],
        "bounds":{{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":true,
          "max_retry_after_s":2.0,"conn_idle_s":15.0,"connect_timeout_s":0.25,"multiplex":16}},
        "contracts":[{{"name":"standard","base_rate":500.0,"parts":1.0,"price":1.0,"floor_rate":400.0}}],
        "extra":{{"usual_units":2.0,"largest":16,"fair_worth":0.4,"spare_worth":0.05,"young_limit":7.0}},
        "rules":{{"start_capacity":0.15,"cold_s":1.0,"tip_after_s":0.5}}}}"#,
        class("page-read", "free"),
        class("tally-write", "single_shot")
    )
}

/// A broker before one node, with an address for operators.
pub struct Site {
    pub broker: Broker,
    pub admin: String,
    pub discovery: Discovery,
    node: String,
}

/// Starts a broker before the node at this address, which holds shard 0.
pub fn site(name: &str, node: &str) -> Site {
    let (discovery, at) = Discovery::start(&member(node, "ready"));
    let admin = free_address();
    let broker = Broker::start_with(name, &settings(), &at, None, 256, &[("RELAY_ADMIN", &admin)]);
    until("the list is in force", || broker.log().contains("list of nodes"));
    Site { broker, admin, discovery, node: node.to_string() }
}

/// The node as discovery lists it.
fn member(node: &str, phase: &str) -> String {
    format!(
        r#"{{"id":"s-00000001","host_port":"{node}","locality":"a","cell":0,"phase":"{phase}","up_since_ms":0}}"#
    )
}

impl Site {
    /// Discovery lists the node in this phase from now on.
    pub fn list_node(&self, phase: &str) {
        self.discovery.set(&member(&self.node, phase));
    }

    /// Discovery no longer lists the node.
    pub fn drop_node(&self) {
        self.discovery.set("");
    }
}
