//! Settings of a small deployment: three classes, one plan without a limit.

pub const SETTINGS: &str = r#"{"balancers": 1, "my_number": 0,
  "bounds": {"most_tries": 4, "second_copies": false, "cancel": true, "probes": false, "retry_after": true,
    "max_retry_after_s": 2.0, "conn_idle_s": 15.0, "connect_timeout_s": 0.25, "multiplex": 100},
  "contracts": [{"name": "standard", "base_rate": 60.0, "floor_rate": 48.0, "parts": 1.0, "price": 1.0}],
  "extra": {"usual_units": 2.0, "largest": 6, "fair_worth": 0.4, "spare_worth": 0.05, "young_limit": 13.0, "n_shards": 9},
  "localities": ["room-a"], "registry_mode": "on_request",
  "rules": {"answer_slack_s": 0.008, "ask_every_s": 10.0, "cold_s": 18.0, "fall_multiple": 3.0, "start_capacity": 0.15,
    "stop_sending_within_s": 0.25, "tip_after_s": 1.5},
  "services": [
    {"name": "page-read", "promise_s": 0.2, "deadline_s": 1.0, "credit": 2.0, "late_worth": 0.2, "effect": "free", "group": "all"},
    {"name": "tally-write", "promise_s": 0.25, "deadline_s": 1.2, "credit": 3.0, "late_worth": 0.2, "effect": "single_shot", "group": "all"},
    {"name": "export-read", "promise_s": 1.2, "deadline_s": 4.0, "credit": 1.0, "late_worth": 0.3, "effect": "free", "group": "all"}]}"#;

/// The same classes and plan in the form of the NBD file.
pub fn nbd_classes() -> String {
    let class = |name: &str, wanted: u32, deadline: u32, worth: f64, repeat: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\nwanted_ms = {wanted}\ndeadline_ms = {deadline}\nworth = {worth:?}\n\
             late_worth = 0.2\nrepeat = \"{repeat}\"\n"
        )
    };
    class("page-read", 200, 1000, 2.0, "safe")
        + &class("tally-write", 250, 1200, 3.0, "never")
        + &class("export-read", 1200, 4000, 1.0, "safe")
        + "[[plan]]\nname = \"standard\"\nrate = 60.0\nreserve = 48.0\n"
}
