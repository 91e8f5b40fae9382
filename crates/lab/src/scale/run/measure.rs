//! What is measured of a phase, and what of the whole run.

use super::*;

impl Run<'_> {
    pub(super) fn spent_by_hosts(&mut self) -> Vec<u64> {
        self.hosts.iter_mut().map(|h| h.whose.as_ref().map_or(0, |whose| h.usage.look(whose))).collect()
    }

    pub(super) fn spent_by_reals(&mut self) -> (Vec<u64>, Vec<u64>) {
        let look = |r: &mut Real| {
            let whose = r.child.as_ref().map(|c| Whose::Process(c.id()));
            whose.map_or(0, |whose| r.usage.look(&whose))
        };
        (self.reals.iter_mut().map(look).collect(), self.controls.iter_mut().map(look).collect())
    }

    /// Gives the lateness since the last time, of hosts and of the relay, in milliseconds.
    pub(super) fn late(&mut self) -> (Vec<f64>, f64) {
        let hosts = self.hosts.iter_mut().map(|h| std::mem::take(&mut h.late_us) as f64 / 1e3).collect();
        (hosts, self.relay.late().as_secs_f64() * 1e3)
    }

    /// Begins a phase; the one before ends.
    pub(super) fn mark(&mut self, phase: &str) -> Result<(), ScaleError> {
        self.close()?;
        let (reals, controls) = self.spent_by_reals();
        self.phase = Phase {
            name: phase.to_string(),
            hosts: self.spent_by_hosts(),
            reals,
            controls,
            drops: usage::drops(&[self.relay.addresses.0, self.relay.addresses.1]),
            all_drops: usage::dropped_by_all(),
            refused: self.relay.refused(),
            changes: self.evidence.changes.len(),
            counts: self.relay.counts(),
            kinds: self.relay.kinds(),
            at: self.watch.now(),
        };
        (self.told)(&format!("phase {phase}"));
        Ok(())
    }

    /// Ends the phase that is, and measures it.
    pub(super) fn close(&mut self) -> Result<(), ScaleError> {
        let (at, counts, kinds) = (self.watch.now(), self.relay.counts(), self.relay.kinds());
        let (hosts, (reals, controls)) = (self.spent_by_hosts(), self.spent_by_reals());
        let drops = usage::drops(&[self.relay.addresses.0, self.relay.addresses.1]);
        let seconds = (at - self.phase.at) as f64 / 1e9;
        let (refused, all) = (self.relay.refused(), usage::dropped_by_all());
        // Only now: what hosts are asked for is no part of the phase.
        self.poll(false)?;
        let (late, relay_late) = self.late();
        if self.phase.counts.is_empty() || self.phase.name == END_MARK {
            return Ok(());
        }
        let before = std::mem::replace(
            &mut self.phase,
            Phase {
                name: String::new(),
                at,
                counts: Vec::new(),
                kinds: BTreeMap::new(),
                hosts: Vec::new(),
                reals: Vec::new(),
                controls: Vec::new(),
                drops: BTreeMap::new(),
                all_drops: 0,
                refused: 0,
                changes: 0,
            },
        );
        let phase = before.name.clone();
        let mut rows = Vec::new();
        let share = |ns: f64| ns / 1e9 / seconds * 100.0;
        let mut cpu: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for (i, host) in self.hosts.iter().enumerate() {
            let spent = hosts[i].saturating_sub(before.hosts[i]) as f64 - host.tare * seconds;
            let role = if host.voter { "voter" } else { "broker" };
            cpu.entry(role).or_default().push(share(spent.max(0.0)) / host.brokers.len() as f64);
        }
        let spent = |now: &[u64], was: &[u64]| -> Vec<f64> {
            now.iter().zip(was).map(|(n, w)| share(n.saturating_sub(*w) as f64)).collect()
        };
        let off = mean(&spent(&controls, &before.controls));
        cpu.insert("real", spent(&reals, &before.reals).iter().map(|s| s - off).collect());
        let role = |b: usize| match self.brokers[b].host {
            None => "real",
            Some(host) if self.hosts[host].voter => "voter",
            Some(_) => "broker",
        };
        for who in ["broker", "voter", "real"] {
            let some: Vec<usize> = (0..counts.len()).filter(|b| role(*b) == who).collect();
            if some.is_empty() {
                continue;
            }
            let values = cpu.get(who).cloned().unwrap_or_default();
            rows.push(Row::of(&phase, who, "cpu_share", "%", &values));
            let of = |f: &dyn Fn(&Counts) -> u64| -> Vec<f64> {
                let each = |b: &usize| (f(&counts[*b]) - f(&before.counts[*b])) as f64 / seconds;
                some.iter().map(each).collect()
            };
            rows.push(Row::of(&phase, who, "bytes_out_s", "B/s", &of(&|c| c.out.bytes)));
            rows.push(Row::of(&phase, who, "bytes_in_s", "B/s", &of(&|c| c.come.bytes)));
            rows.push(Row::of(&phase, who, "datagrams_out_s", "1/s", &of(&|c| c.out.datagrams)));
            rows.push(Row::of(&phase, who, "datagrams_in_s", "1/s", &of(&|c| c.come.datagrams)));
        }
        rows.extend(self.memory(&phase));
        let dropped: u64 =
            drops.iter().map(|(s, n)| n - before.drops.get(s).copied().unwrap_or(0).min(*n)).sum();
        let mut row = Row::of(&phase, "all", "dropped", "1", &[dropped as f64]);
        let machine = all.saturating_sub(before.all_drops);
        row.count = machine;
        rows.push(row);
        rows.push(Row::of(&phase, "host", "turn_late_ms", "ms", &late));
        rows.push(Row::of(&phase, "relay", "turn_late_ms", "ms", &[relay_late]));
        let most = self.file.turn_late_ms as f64;
        let worst = late.iter().copied().fold(relay_late, f64::max);
        let mut void = Vec::new();
        if worst > most {
            void.push(format!("{phase}: a turn came {worst:.0} ms late; {most} at most"));
        }
        if dropped > 0 {
            void.push(format!(
                "{phase}: full sockets dropped {dropped} datagrams ({machine} on the machine)"
            ));
        }
        if refused > before.refused {
            void.push(format!("{phase}: the relay could not send {} datagrams", refused - before.refused));
        }
        rows.iter_mut().for_each(|r| r.void = !void.is_empty());
        if phase == "idle" {
            let hosts = self.hosts.iter().filter(|h| !h.voter).map(|h| h.brokers.len() as f64);
            let shares = cpu.get("broker").cloned().unwrap_or_default();
            let (all, spent) = hosts.zip(shares).fold((0.0, 0.0), |(n, sum), (h, s)| (n + h, sum + h * s));
            self.honest(&rows, spent / all, off, seconds);
        }
        self.came.void.extend(void);
        self.came.rows.extend(rows);
        let size = counts.len() as f64;
        for (kind, sum) in kinds {
            let was = before.kinds.get(&kind).copied().unwrap_or_default();
            let a_second = |now: u64, was: u64| (now - was) as f64 / seconds / size;
            let (datagrams_s, bytes_s) =
                (a_second(sum.datagrams, was.datagrams), a_second(sum.bytes, was.bytes));
            if datagrams_s > 0.0 {
                self.came.kinds.push(KindRow { phase: phase.clone(), kind, datagrams_s, bytes_s });
            }
        }
        let changes = before.changes..self.evidence.changes.len();
        self.phases.push((phase, before.at, at, changes));
        Ok(())
    }

    /// Memory of a broker: by slope over two hosts, of a voter's process, and of real ones less the controls.
    pub(super) fn memory(&self, phase: &str) -> Vec<Row> {
        let of = |h: &HostAt| match h.whose {
            Some(Whose::Process(process)) => Some(usage::memory_kb(process) as f64),
            _ => None,
        };
        let mut rows = Vec::new();
        let sized: Vec<(f64, f64)> = self
            .hosts
            .iter()
            .filter(|h| !h.voter)
            .filter_map(|h| Some((h.brokers.len() as f64, of(h)?)))
            .collect();
        if let Some((least, rest)) = sized.split_first().filter(|(l, rest)| rest.iter().any(|r| r.0 > l.0)) {
            let slopes: Vec<f64> =
                rest.iter().filter(|r| r.0 > least.0).map(|r| (r.1 - least.1) / (r.0 - least.0)).collect();
            rows.push(Row::of(phase, "broker", "memory_kb", "KiB", &slopes));
        }
        let voters: Vec<f64> = self.hosts.iter().filter(|h| h.voter).filter_map(of).collect();
        if !voters.is_empty() {
            rows.push(Row::of(phase, "voter", "memory_kb", "KiB", &voters));
        }
        let held = |r: &Real| r.child.as_ref().map(|c| usage::memory_kb(c.id()) as f64);
        let controls: Vec<f64> = self.controls.iter().filter_map(held).collect();
        let reals: Vec<f64> = self.reals.iter().filter_map(held).map(|kb| kb - mean(&controls)).collect();
        if !reals.is_empty() && !controls.is_empty() {
            rows.push(Row::of(phase, "real", "memory_kb", "KiB", &reals));
        }
        rows
    }

    /// Sets hollow ones beside real ones.
    pub(super) fn honest(&mut self, rows: &[Row], hollow_cpu: f64, off: f64, seconds: f64) {
        if self.file.real == 0 {
            return;
        }
        (self.told)(&format!("a control takes {off:.3}% of a core over {seconds:.0} s"));
        let of = |role: &str, quantity: &str| {
            rows.iter().find(|r| r.role == role && r.quantity == quantity).map(|r| r.median)
        };
        for quantity in ["cpu_share", "datagrams_out_s", "datagrams_in_s", "bytes_out_s", "bytes_in_s"] {
            if quantity == "cpu_share" && self.file.controls == 0 {
                continue;
            }
            // Of hosts that are few, the mean by broker.
            let hollow = if quantity == "cpu_share" { Some(hollow_cpu) } else { of("broker", quantity) };
            if let Some((hollow, real)) = hollow.zip(of("real", quantity)) {
                self.came.honest.push((quantity, hollow, real, real / hollow));
            }
        }
    }

    /// Ends all, and has the checkers look at what was seen.
    pub(super) fn finish(mut self) -> Result<Came, ScaleError> {
        let end = self.watch.now();
        for place in 0..self.reals.len() {
            let name = name(self.file.voters + place);
            let log = std::fs::read_to_string(self.reals[place].folder.join("log")).unwrap_or_default();
            if self.evidence.log(&name, &log) == 0 {
                self.came.partial.push(format!("{name}: its log tells of no view"));
            }
        }
        let links = &self.file.links;
        let farthest = links.between_ms.1.max(links.within_region_ms).max(links.within_zone_ms);
        let lease = u64::from(self.file.times.lease_ms);
        let margin = TURN_MS + self.file.turn_late_ms + (farthest + links.jitter_ms) as u64;
        let over = (lease + lease / 20 + margin) * MS;
        let mut rows = Vec::new();
        for (phase, from, to, changes) in std::mem::take(&mut self.phases) {
            let touched = |name: &str, at: u64| {
                let all = self.touched.get(name);
                all.is_some_and(|all| all.iter().any(|(from, to)| at >= *from && at <= *to))
            };
            let alone = |name: &str, at: u64| !touched(name, at);
            let times = self.evidence.in_force_times(changes.clone(), alone);
            let all = &self.evidence.changes[changes];
            if !all.is_empty() {
                let mut reached = histogram();
                times.iter().flatten().for_each(|ns| reached.saturating_record(ns / 1_000));
                rows.push(Row::of_times(&phase, "all", "in_force_ms", &reached));
                let mut asked = histogram();
                let told = all.iter().filter_map(|c| Some(c.acked? - c.asked));
                told.for_each(|ns| asked.saturating_record(ns / 1_000));
                rows.push(Row::of_times(&phase, "all", "asked_ms", &asked));
                let never = times.iter().filter(|t| t.is_none()).count();
                let mut row = Row::of(&phase, "all", "not_in_force", "1", &[never as f64]);
                row.count = all.iter().filter(|c| c.acked.is_none()).count() as u64;
                rows.push(row);
                self.came.in_force.insert(phase.clone(), reached);
            }
            let lapses: Vec<f64> =
                self.evidence.lapses(from, to).into_iter().map(|ns| ns as f64 / 1e6).collect();
            rows.push(Row::of(&phase, "all", "lapsed_ms", "ms", &lapses));
            let removed = self.evidence.removed().filter(|(at, ..)| (from..to).contains(at)).count();
            rows.push(Row::of(&phase, "all", "removed", "1", &[removed as f64]));
        }
        for (quantity, found) in [("agree_ms", &self.agreed), ("leader_lost_ms", &self.lost)] {
            let phases: BTreeSet<&String> = found.iter().map(|(phase, _)| phase).collect();
            for phase in phases {
                let values: Vec<f64> = found.iter().filter(|(p, _)| p == phase).map(|(_, ms)| *ms).collect();
                rows.push(Row::of(phase, "all", quantity, "ms", &values));
            }
        }
        let healthy = self.evidence.removed_healthy(&self.touched);
        let missed = self.evidence.drains_missed(over, end);
        let views: Vec<String> = self.evidence.broken().iter().map(|b| b.1.clone()).collect();
        for (quantity, found) in
            [("removed_healthy", &healthy), ("drains_missed", &missed), ("views_broken", &views)]
        {
            rows.push(Row::of("whole", "all", quantity, "1", &[found.len() as f64]));
        }
        let set = self.watch.set_by();
        if set > Duration::from_millis(20) {
            self.came.void.push(format!("the machine's clock was set by {set:?}"));
        }
        let void: BTreeSet<String> =
            self.came.rows.iter().filter(|r| r.void).map(|r| r.phase.clone()).collect();
        rows.iter_mut().for_each(|r| r.void = void.contains(&r.phase));
        self.came.rows.extend(rows);
        self.came.broken.extend(healthy);
        self.came.broken.extend(missed);
        self.came.broken.extend(views);
        (self.told)(&format!("{} views seen", self.evidence.views()));
        Ok(std::mem::take(&mut self.came))
    }
}
