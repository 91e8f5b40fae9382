//! Applies new settings while requests are open under old ones. Assigns indices to classes, plans and zones, and builds the
//! scheduler's settings, in which everything that is still in use keeps its index.

use super::settings::Start;
use crate::interface::{Plan, Settings};
use crate::state::stable_index::{Indexed, StableIndices};
use crate::wire::resp::server::{ClassSchema, RequestSchema};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The class at an index, or `None` if the index is free.
type Held = Option<Rc<Indexed<ClassSchema>>>;

/// Largest number of plans over the life of a process. Volumes of a removed plan are remembered for a while, so the index of a
/// plan is not reused.
const MOST_PLANS: usize = 256;
/// Largest number of zones over the life of a process. Nodes of a removed zone stay listed for a while, so its index is not
/// reused.
const MOST_ZONES: usize = 256;

/// The settings in force, with the indices of classes, plans and zones.
#[derive(Default)]
pub struct ActiveSettings {
    classes: StableIndices<ClassSchema>,
    /// Every plan since the start, by index.
    plans: Vec<(String, Plan)>,
    /// Every zone since the start, by index.
    zones: Vec<String>,
    settings: Option<Settings>,
    /// Whether the classes of the settings in force write, by class name, where that is known.
    writes: BTreeMap<String, bool>,
}

impl ActiveSettings {
    /// Puts settings into force. Invalid settings change nothing.
    pub fn take(&mut self, start: Start) -> Result<RequestSchema, String> {
        start.settings.validate().map_err(|e| e.to_string())?;
        let writes = self.writes_of(&start);
        let mut plans = self.plans.clone();
        for (_, plan) in &mut plans {
            // A removed plan has no share of the capacity. Its limit stays in force for requests that still wait under it.
            (plan.rate, plan.reserve, plan.weight) = (0.0, 0.0, 0.0);
        }
        let mut of_plan = Vec::with_capacity(start.plans.len());
        for (name, plan) in start.plans.into_iter().zip(start.settings.plans.iter().cloned()) {
            let place = plans.iter().position(|(n, _)| *n == name).unwrap_or(plans.len());
            match plans.get_mut(place) {
                Some(there) => there.1 = plan,
                None => plans.push((name.clone(), plan)),
            }
            of_plan.push((name, place));
        }
        if plans.len() > MOST_PLANS {
            return Err(format!("more than {MOST_PLANS} plans since the start"));
        }
        let mut zones = self.zones.clone();
        for zone in start.zones {
            if !zones.contains(&zone) {
                zones.push(zone);
            }
        }
        if zones.len() > MOST_ZONES {
            return Err(format!("more than {MOST_ZONES} zones since the start"));
        }
        let class = |(place, name): (usize, String)| ClassSchema {
            deadline: start.deadlines[place],
            writes: writes.get(&name).copied(),
            name,
            class: start.settings.classes[place].clone(),
        };
        let classes = self.classes.take(start.classes.into_iter().enumerate().map(class).collect());
        (self.plans, self.writes, self.zones) = (plans, writes, zones);
        let terms = RequestSchema {
            classes,
            plans: of_plan,
            max_units: start.settings.max_units as u32,
            shards: start.shards,
        };
        self.settings = Some(start.settings);
        Ok(terms)
    }

    /// Returns which classes write. The settings state it in a separate list, by position. If that list contradicts what is
    /// known of a class by name, it was not updated when classes were added or removed, and is not used for new classes.
    fn writes_of(&self, start: &Start) -> BTreeMap<String, bool> {
        let listed = |place: usize| start.writes.get(place).copied().flatten();
        let known = |name: &String| self.writes.get(name).copied();
        let mut names = start.classes.iter().enumerate();
        let fits = start.writes.len() == start.classes.len()
            && names.all(|(place, name)| known(name).is_none_or(|writes| listed(place) == Some(writes)));
        let of_class = |(place, name): (usize, &String)| {
            Some((name.clone(), known(name).or(listed(place).filter(|_| fits))?))
        };
        start.classes.iter().enumerate().filter_map(of_class).collect()
    }

    /// Returns the settings for the scheduler. A removed class with open requests keeps its index, and a free index holds a
    /// copy of another class, which no request names.
    pub fn settings(&self) -> Option<Settings> {
        let stands = self.classes.all();
        let any = stands.iter().flatten().next()?.value.class.clone();
        let class = |held: &Held| held.as_ref().map_or(any.clone(), |held| held.value.class.clone());
        let classes = stands.iter().map(class).collect();
        let plans = self.plans.iter().map(|(_, plan)| plan.clone()).collect();
        Some(Settings { classes, plans, ..self.settings.clone()? })
    }

    /// Returns the number of class indices in use, including removed classes with open requests.
    pub fn classes_in_use(&self) -> usize {
        self.classes.all().iter().flatten().count()
    }

    /// Returns the zones by index.
    pub fn zones(&self) -> Vec<String> {
        self.zones.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::run::settings;

    fn start(classes: &[(&str, &str, u32)], writes: &str, plans: &[&str]) -> Start {
        let class = |(name, effect, ms): &(&str, &str, u32)| {
            format!(
                r#"{{"name":"{name}","promise_s":0.1,"credit":1,"late_worth":0.2,"effect":"{effect}","deadline_s":0.{ms}}}"#
            )
        };
        let plan =
            |name: &&str| format!(r#"{{"name":"{name}","base_rate":9,"floor_rate":5,"parts":1,"price":1}}"#);
        let classes: Vec<String> = classes.iter().map(class).collect();
        let plans: Vec<String> = plans.iter().map(plan).collect();
        let text = format!(
            r#"{{"balancers":1,"services":[{}],"contracts":[{}],"localities":["a"],"registry_mode":"pushed",
            "bounds":{{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":false}},
            "extra":{{"usual_units":2,"largest":16,"fair_worth":0.4,"spare_worth":0.05,"writes":{writes}}},
            "rules":{{"start_capacity":0.15,"cold_s":9,"tip_after_s":2}}}}"#,
            classes.join(","),
            plans.join(",")
        );
        settings::read(&text).expect("good settings")
    }

    fn places(terms: &RequestSchema) -> Vec<(String, usize, Option<bool>)> {
        terms.classes.iter().map(|c| (c.value.name.clone(), c.index, c.value.writes)).collect()
    }

    /// Guards against a reload that changes the class of an open request, and against a list of writing classes that was not
    /// updated when classes were added or removed.
    #[test]
    fn a_class_that_is_open_stays_in_its_place_as_it_was() {
        let mut active = ActiveSettings::default();
        let (read, put) = (("read", "free", 500), ("put", "single_shot", 500));
        let first = active.take(start(&[read, put], "[false,true]", &["gold"])).expect("taken");
        let open = first.classes[1].clone();
        drop(first);
        let changed = ("put", "free", 900);
        let second = active.take(start(&[changed, ("scan", "free", 500)], "[false,true]", &["gold"]));
        let second = second.expect("taken");
        let names = |text: &str| text.to_string();
        assert_eq!(places(&second), [(names("put"), 0, Some(true)), (names("scan"), 2, None)]);
        let classes = active.settings().expect("settings").classes;
        assert_eq!(classes[1], open.value.class, "an open request keeps its class");
        assert_ne!(classes[0], classes[1]);
        assert_eq!(active.classes_in_use(), 3);
        drop(open);
        assert_eq!(active.classes_in_use(), 2);
        let classes = active.settings().expect("settings").classes;
        assert_eq!(classes[1], classes[0], "the removed class is gone");
    }

    #[test]
    fn a_plan_keeps_its_place_and_one_that_is_dropped_has_no_part() {
        let mut active = ActiveSettings::default();
        let read = [("read", "free", 500)];
        active.take(start(&read, "[false]", &["gold", "iron"])).expect("taken");
        let terms = active.take(start(&read, "[false]", &["iron", "lead"])).expect("taken");
        assert_eq!(terms.plans, [("iron".to_string(), 1), ("lead".to_string(), 2)]);
        let plans = active.settings().expect("settings").plans;
        assert_eq!((plans[0].rate, plans[0].weight, plans[1].rate), (0.0, 0.0, 9.0));
        for i in 0..MOST_PLANS {
            let _ = active.take(start(&read, "[false]", &["iron", &format!("p{i}")]));
        }
        assert!(active.plans.len() <= MOST_PLANS);
        assert!(active.take(start(&read, "[false]", &["iron"])).is_ok(), "rejected settings change nothing");
    }

    /// Guards against unbounded growth of the zone list over many reloads.
    #[test]
    fn zones_keep_their_places_and_are_bounded() {
        let mut active = ActiveSettings::default();
        let with = |zones: &[String]| Start {
            zones: zones.to_vec(),
            ..start(&[("read", "free", 500)], "[false]", &["gold"])
        };
        active.take(with(&["a".to_string(), "b".to_string()])).expect("taken");
        active.take(with(&["b".to_string(), "c".to_string()])).expect("taken");
        assert_eq!(active.zones(), ["a", "b", "c"]);
        let refused = (0..2 * MOST_ZONES).filter(|i| active.take(with(&[format!("z{i}")])).is_err()).count();
        assert_eq!((active.zones().len(), refused), (MOST_ZONES, MOST_ZONES + 3));
    }

    #[test]
    fn nothing_changes_by_settings_that_make_no_sense() {
        let mut active = ActiveSettings::default();
        let kept = active.take(start(&[("read", "free", 500)], "[false]", &["gold"])).expect("taken");
        let before = active.settings();
        let mut bad = start(&[("scan", "free", 500)], "[false]", &["gold"]);
        bad.settings.mean_units = 0.0;
        assert!(active.take(bad).is_err());
        assert_eq!((active.classes_in_use(), active.settings()), (kept.classes.len(), before));
    }
}
