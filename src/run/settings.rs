//! Parses the settings, which have the same form in the simulator's first message and in the configuration file. Unknown keys
//! are ignored.

use crate::interface::{Budget, Class, Effect, Group, Limit, Plan, Settings, Time};
use crate::state::list_validity;
use crate::state::pool::LinkSettings;
use serde_json::Value;
use std::time::Duration;

/// The parsed settings, with the names that later messages use.
pub struct Start {
    /// Settings of the scheduler.
    pub settings: Settings,
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Names of the plans, in order.
    pub plans: Vec<String>,
    /// Names of the zones, in order.
    pub zones: Vec<String>,
    /// How long clients of each class wait for an answer in total, in microseconds. A class without a value gets
    /// [`LONGEST_DEADLINE`].
    pub deadlines: Vec<Time>,
    /// Whether requests of each class write, if the settings specify it.
    pub writes: Vec<Option<bool>>,
    /// Whether the nodes' weights are their registered sizes, be they exact or rough.
    pub sizes: bool,
    /// Number of shards, if the settings specify it.
    pub shards: Option<u32>,
    /// Limits on the connections to nodes.
    pub bounds: Bounds,
    /// When changes of the node list count as known, and how long requests may still be sent to a node that leaves.
    pub lists: list_validity::Terms,
}

/// Limits on connections to nodes. The scheduler does not use them; the simulator applies its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// A node counts as unreachable if a connection is not established within this time, in microseconds.
    pub connect_timeout: Time,
    /// A node closes a connection that was idle for this long, in microseconds.
    pub conn_idle: Time,
    /// Largest number of concurrent attempts on one connection.
    pub multiplex: usize,
}

impl Bounds {
    /// Returns the settings for the link pool: idle links are closed well before the nodes would close them.
    pub fn links(&self) -> LinkSettings {
        LinkSettings { multiplex: self.multiplex, idle: self.conn_idle * 3 / 5 }
    }

    /// Returns the connect timeout of connections to nodes.
    pub fn connect(&self) -> Duration {
        Duration::from_micros(self.connect_timeout.max(1000) as u64)
    }
}

impl Default for Bounds {
    /// Conservative values for settings that specify none.
    fn default() -> Self {
        Bounds { connect_timeout: 250_000, conn_idle: 10_000_000, multiplex: 16 }
    }
}

/// Deadline of a class whose settings specify none, in seconds; longer than any client waits.
const LONGEST_DEADLINE: f64 = 60.0;

/// Converts seconds to microseconds, the scheduler's unit of time.
pub fn micros(seconds: f64) -> Time {
    (seconds * 1e6).round() as Time
}

/// A part of the settings with its path, so that an error can name the key.
struct At<'a>(&'a Value, String);

impl<'a> At<'a> {
    fn find(&self, key: &str) -> Option<At<'a>> {
        self.0.get(key).filter(|v| !v.is_null()).map(|v| At(v, format!("{}.{key}", self.1)))
    }
    fn need(&self, key: &str) -> Result<At<'a>, String> {
        self.find(key).ok_or_else(|| format!("{}.{key} is missing", self.1))
    }
    fn bad<T>(&self, what: &str) -> Result<T, String> {
        Err(format!("{} is {}, not {what}", self.1, self.0))
    }
    fn number(&self) -> Result<f64, String> {
        self.0
            .as_f64()
            .filter(|v| v.is_finite() && v.abs() < 1e12)
            .map_or_else(|| self.bad("a number in range"), Ok)
    }
    fn flag(&self) -> Result<bool, String> {
        self.0.as_bool().map_or_else(|| self.bad("true or false"), Ok)
    }
    fn text(&self) -> Result<&'a str, String> {
        self.0.as_str().map_or_else(|| self.bad("a text"), Ok)
    }
    fn list(&self) -> Result<Vec<At<'a>>, String> {
        let Some(items) = self.0.as_array() else { return self.bad("a list") };
        Ok(items.iter().enumerate().map(|(i, v)| At(v, format!("{}[{i}]", self.1))).collect())
    }
    fn count(&self) -> Result<u32, String> {
        let n = self.0.as_u64().and_then(|n| u32::try_from(n).ok());
        n.map_or_else(|| self.bad("a whole number in range"), Ok)
    }
    fn numbered(&self, key: &str) -> Result<f64, String> {
        self.need(key)?.number()
    }
    /// Returns a number whose key may be absent; the protocol defines an absent key as 0.
    fn number_or_0(&self, key: &str) -> Result<f64, String> {
        self.find(key).map_or(Ok(0.0), |v| v.number())
    }
    fn time(&self, key: &str) -> Result<Time, String> {
        self.numbered(key).map(micros)
    }
    fn flag_or_false(&self, key: &str) -> Result<bool, String> {
        self.find(key).map_or(Ok(false), |v| v.flag())
    }
}

fn names(list: &At) -> Result<Vec<String>, String> {
    list.list()?.iter().map(|v| v.text().map(str::to_string)).collect()
}

fn class(at: &At, attempts: u32) -> Result<Class, String> {
    let group = || match at.need("group")?.text()? {
        "all" => Ok(Group::All),
        "zone" => Ok(Group::Zone),
        "cell" => Ok(Group::Shard),
        _ => at.need("group")?.bad("all, zone or cell"),
    };
    let effect = at.need("effect")?;
    Ok(Class {
        aim: at.time("promise_s")?,
        value: at.numbered("credit")?,
        late_value: at.numbered("late_worth")?,
        effect: match effect.text()? {
            "free" => Effect::Safe,
            "guarded" => Effect::Keyed(group()?),
            "single_shot" => Effect::Unsafe,
            _ => return effect.bad("free, guarded or single_shot"),
        },
        window: micros(at.number_or_0("window_s")?),
        ordered: at.flag_or_false("sequential")?,
        attempts,
    })
}

fn plan(at: &At) -> Result<Plan, String> {
    let rate = at.number_or_0("never_over")?;
    let burst = at.number_or_0("most_at_once")?;
    let slack = at.number_or_0("cap_slack")?;
    Ok(Plan {
        rate: at.numbered("base_rate")?,
        reserve: at.number_or_0("floor_rate")?,
        weight: at.numbered("parts")?,
        price: at.numbered("price")?,
        limit: (rate > 0.0).then_some(Limit { rate, burst, slack }),
    })
}

fn connections(at: &At) -> Result<Bounds, String> {
    let usual = Bounds::default();
    let time = |key: &str, usual: Time| at.find(key).map_or(Ok(usual), |v| v.number().map(micros));
    Ok(Bounds {
        connect_timeout: time("connect_timeout_s", usual.connect_timeout)?,
        conn_idle: time("conn_idle_s", usual.conn_idle)?,
        multiplex: at
            .find("multiplex")
            .map_or(Ok(usual.multiplex), |v| v.count().map(|n| n.max(1) as usize))?,
    })
}

/// Parses the settings of a `LAUNCH` message.
pub fn read(text: &str) -> Result<Start, String> {
    let root: Value = serde_json::from_str(text).map_err(|e| format!("conf is not JSON: {e}"))?;
    from_json(&root)
}

/// Rejects values that parse but with which no broker could work. The error names the key of the first such value.
fn validate_values(at: &At) -> Result<(), String> {
    let (rules, extra, bounds) = (at.need("rules")?, at.need("extra")?, at.need("bounds")?);
    let largest = extra.numbered("largest")?;
    let above = |at: &At, key: &str, least: f64, what: &str| match at.find(key) {
        Some(value) if value.number()? <= least => value.bad(what),
        _ => Ok(()),
    };
    above(at, "balancers", 0.0, "over 0")?;
    above(&extra, "usual_units", 0.0, "over 0")?;
    if largest < extra.numbered("usual_units")? {
        return extra.need("largest")?.bad("at least usual_units");
    }
    for class in at.need("services")?.list()? {
        above(&class, "promise_s", 0.0, "over 0")?;
        above(&class, "credit", -f64::MIN_POSITIVE, "0 or more")?;
    }
    for plan in at.need("contracts")?.list()? {
        // With a smaller value, a request of the largest size could never be sent for a volume of this plan.
        if plan.number_or_0("never_over")? > 0.0 && plan.number_or_0("most_at_once")? < largest {
            return plan.find("most_at_once").map_or_else(
                || Err(format!("{}.most_at_once is missing beside never_over", plan.1)),
                |burst| burst.bad("at least the units of the largest request"),
            );
        }
    }
    above(&rules, "start_capacity", 0.0, "over 0, as a part of the whole")?;
    if rules.numbered("start_capacity")? > 1.0 {
        return rules.need("start_capacity")?.bad("at most 1, as a part of the whole");
    }
    above(&rules, "ask_every_s", 0.0, "over 0")?;
    above(&rules, "stop_sending_within_s", -f64::MIN_POSITIVE, "0 or more")?;
    above(&rules, "cold_s", -f64::MIN_POSITIVE, "0 or more")?;
    above(&rules, "tip_after_s", -f64::MIN_POSITIVE, "0 or more")?;
    above(&bounds, "conn_idle_s", 0.0, "over 0")?;
    above(&bounds, "connect_timeout_s", 0.0, "over 0")
}

/// Parses settings that are part of a larger JSON document.
pub fn from_json(root: &Value) -> Result<Start, String> {
    let at = At(root, "conf".to_string());
    let (bounds, rules, extra) = (at.need("bounds")?, at.need("rules")?, at.need("extra")?);
    validate_values(&at)?;
    let classes = at.need("services")?.list()?;
    let plans = at.need("contracts")?.list()?;
    let named = |list: &[At]| -> Result<Vec<String>, String> {
        list.iter().map(|v| Ok(v.need("name")?.text()?.to_string())).collect()
    };
    let deadline = |v: &At| match v.find("deadline_s") {
        None => Ok(micros(LONGEST_DEADLINE)),
        Some(v) => match micros(v.number()?) {
            time @ 1.. => Ok(time),
            _ => v.bad("over 0"),
        },
    };
    let tries = bounds.need("most_tries")?;
    let attempts = match tries.count()? {
        0 => return tries.bad("over 0"),
        attempts => attempts,
    };
    let class_names = named(&classes)?;
    if let Some(twice) = (1..class_names.len()).find(|i| class_names[..*i].contains(&class_names[*i])) {
        return classes[twice].need("name")?.bad("new among the classes");
    }
    let writes = match extra.find("writes") {
        None => vec![None; classes.len()],
        Some(list) => list.list()?.iter().map(|v| v.flag().map(Some)).collect::<Result<_, String>>()?,
    };
    let mode = at.need("registry_mode")?;
    let budget = match rules.find("extra_ratio") {
        None => None,
        Some(share) => Some(Budget {
            free: rules.number_or_0("free_resends")?,
            share: share.number()?,
            span: rules.time("ratio_span_s")?,
        }),
    };
    let pushed = match mode.text()? {
        "on_request" => false,
        "pushed" => true,
        _ => return mode.bad("pushed or on_request"),
    };
    let usual = list_validity::Terms::default();
    let lists = list_validity::Terms {
        pushed,
        ask_every: rules.find("ask_every_s").map_or(Ok(usual.ask_every), |v| v.number().map(micros))?,
        grace: micros(rules.number_or_0("stop_sending_within_s")?),
    };
    Ok(Start {
        lists,
        classes: class_names,
        plans: named(&plans)?,
        zones: names(&at.need("localities")?)?,
        deadlines: classes.iter().map(deadline).collect::<Result<_, String>>()?,
        writes,
        sizes: match at.find("weight_source") {
            Some(source) => matches!(source.text()?, "nominal" | "rough"),
            None => false,
        },
        shards: extra.find("n_shards").map(|v| v.count()).transpose()?,
        bounds: connections(&bounds)?,
        settings: Settings {
            hosts: at.need("balancers")?.count()?,
            number: at.find("my_number").map_or(Ok(0), |number| number.count())?,
            classes: classes.iter().map(|at| class(at, attempts)).collect::<Result<_, _>>()?,
            plans: plans.iter().map(plan).collect::<Result<_, _>>()?,
            mean_units: extra.numbered("usual_units")?,
            max_units: extra.numbered("largest")?,
            share_value: extra.numbered("fair_worth")?,
            spare_value: extra.numbered("spare_worth")?,
            meter_period: micros(extra.number_or_0("metering_s")?),
            reports_elsewhere: extra.flag_or_false("tells_elsewhere")?,
            list_on_request: !pushed,
            concurrent_attempts: bounds.need("second_copies")?.flag()?,
            cancel: bounds.need("cancel")?.flag()?,
            probes: bounds.need("probes")?.flag()?,
            max_retry_after: match bounds.need("retry_after")?.flag()? {
                true => bounds.time("max_retry_after_s")?,
                false => 0,
            },
            cold_units: extra.number_or_0("young_limit")?,
            cold_fraction: rules.numbered("start_capacity")?,
            warmup_time: rules.time("cold_s")?,
            cold_window: rules.time("tip_after_s")?,
            key_cooldown: micros(rules.number_or_0("key_quiet_s")?),
            budget,
        },
    })
}

/// Keys of classes and plans that a new entry must have if all entries in force have them.
const OF_ENTRY: [&str; 12] = [
    "name",
    "deadline_s",
    "promise_s",
    "credit",
    "late_worth",
    "effect",
    "group",
    "window_s",
    "base_rate",
    "floor_rate",
    "parts",
    "price",
];

/// Returns the first key that the settings in force have and the new ones lack. Such a file is taken as truncated, not as one
/// that leaves the key at its default.
pub fn missing(old: &Value, new: &Value) -> Option<String> {
    missing_at(old, new, "conf")
}

fn missing_at(old: &Value, new: &Value, path: &str) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| {
            let path = format!("{path}.{key}");
            match new.get(key).filter(|new| old.is_null() || !new.is_null()) {
                None => Some(path),
                Some(new) => missing_at(old, new, &path),
            }
        }),
        // Entries may be added and removed, but each must have all of its keys.
        (Value::Array(old), Value::Array(new)) => {
            let all = |key: &&str| !old.is_empty() && old.iter().all(|entry| entry.get(key).is_some());
            let keys: Vec<&str> = OF_ENTRY.iter().copied().filter(all).collect();
            new.iter().enumerate().find_map(|(i, entry)| {
                let key = keys.iter().find(|key| entry.get(key).is_none())?;
                Some(format!("{path}[{i}].{key}"))
            })
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn complete_settings() -> Value {
        json!({"balancers": 4, "localities": ["a"], "registry_mode": "on_request",
            "services": [{"name": "read", "promise_s": 0.3, "deadline_s": 1.5, "credit": 3, "late_worth": 0.1,
                "effect": "free"}],
            "bounds": {"most_tries": 3, "second_copies": true, "cancel": true, "probes": true, "retry_after": true,
                "max_retry_after_s": 0.5, "conn_idle_s": 30, "connect_timeout_s": 0.25},
            "contracts": [{"name": "capped", "base_rate": 7, "parts": 1, "price": 0.8, "floor_rate": 2,
                "never_over": 28, "most_at_once": 40, "cap_slack": 4}],
            "extra": {"usual_units": 2.2, "largest": 6, "fair_worth": 0.4, "spare_worth": 0.05, "young_limit": 16},
            "rules": {"start_capacity": 0.21, "cold_s": 16, "tip_after_s": 2}})
    }

    /// Guards against settings with which a broker starts and reports that it serves, but can never send a request.
    #[test]
    fn figures_that_cannot_work_are_refused_by_their_key() {
        assert!(from_json(&complete_settings()).is_ok());
        let with = |path: &str, value: Value| {
            let mut root = complete_settings();
            *root.pointer_mut(path).expect("a key") = value;
            from_json(&root).err().unwrap_or_default()
        };
        let invalid = [
            ("/balancers", json!(0), "conf.balancers is 0"),
            ("/services/0/promise_s", json!(0), "conf.services[0].promise_s is 0"),
            ("/services/0/credit", json!(-1), "conf.services[0].credit is -1"),
            ("/contracts/0/most_at_once", json!(5), "conf.contracts[0].most_at_once is 5"),
            ("/contracts/0/most_at_once", Value::Null, "conf.contracts[0].most_at_once is missing"),
            ("/extra/usual_units", json!(0), "conf.extra.usual_units is 0"),
            ("/extra/largest", json!(2), "conf.extra.largest is 2"),
            ("/rules/start_capacity", json!(0), "conf.rules.start_capacity is 0"),
            ("/rules/start_capacity", json!(21), "conf.rules.start_capacity is 21"),
            ("/rules/tip_after_s", json!(-2), "conf.rules.tip_after_s is -2"),
            ("/bounds/conn_idle_s", json!(0), "conf.bounds.conn_idle_s is 0"),
        ];
        for (path, value, start) in invalid {
            let said = with(path, value);
            assert!(said.starts_with(start), "{path}: {said}");
        }
    }

    /// Guards against a truncated file that is accepted as a complete one.
    #[test]
    fn a_key_that_was_there_must_be_there_again() {
        let old = json!({"bounds": {"most_tries": 4, "cancel": true}, "extra": {},
            "services": [{"name": "a", "deadline_s": 1, "window_s": 2}, {"name": "b", "deadline_s": 2}]});
        let without = |change: &dyn Fn(&mut Value)| {
            let mut new = old.clone();
            change(&mut new);
            missing(&old, &new)
        };
        assert_eq!(without(&|_| ()), None);
        assert_eq!(without(&|new| new["bounds"]["more"] = json!(1)), None);
        let drop_of = |new: &mut Value, key: &str| drop(new.as_object_mut().map(|o| o.remove(key)));
        assert_eq!(without(&|new| drop_of(&mut new["bounds"], "cancel")), Some("conf.bounds.cancel".into()));
        assert_eq!(without(&|new| new["bounds"]["cancel"] = Value::Null), Some("conf.bounds.cancel".into()));
        assert_eq!(without(&|new| drop_of(new, "services")), Some("conf.services".into()));
        assert_eq!(without(&|new| drop_of(&mut new["services"][0], "window_s")), None, "not all had it");
        let missing_at = without(&|new| drop_of(&mut new["services"][1], "deadline_s"));
        assert_eq!(missing_at, Some("conf.services[1].deadline_s".into()));
        assert_eq!(without(&|new| new["services"] = json!([{"name": "c", "deadline_s": 1}])), None);
    }
}
