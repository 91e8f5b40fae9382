//! What a scale file has done to the cluster.

use super::*;

impl Run<'_> {
    /// Does the steps, one behind the other, none before its time.
    pub(super) fn steps(&mut self) -> Result<(), ScaleError> {
        let begun = Instant::now();
        let most = Duration::from_secs(self.file.seconds);
        for (i, step) in self.file.steps.iter().enumerate() {
            let due = Duration::from_secs_f64(step.at_s);
            self.pass(due.saturating_sub(begun.elapsed()))?;
            if begun.elapsed() > most + Duration::from_secs(1) {
                let what = format!("step {i} and those after it: the {most:?} are over");
                (self.told)(&what);
                self.came.partial.push(what);
                break;
            }
            if let Some(phase) = &step.mark {
                self.mark(phase)?;
            }
            if let Some(over) = step.changes {
                self.changes(over, Vec::new())?;
            }
            if let Some(times) = step.kill_leader {
                self.kill_leader(times, begun + most)?;
            }
            if let Some(whom) = &step.kill {
                let some = self.file.placement().find(self.file, whom).map_err(ScaleError::File)?;
                self.kill(&some)?;
            }
            if step.start {
                self.start_all()?;
            }
            if let Some(cut) = &step.cut {
                self.cut(cut)?;
            }
            if let Some(over) = step.restart {
                self.restart(over)?;
            }
        }
        self.pass((most.min(self.last_at())).saturating_sub(begun.elapsed()))?;
        self.close()
    }

    /// When the last step is due.
    pub(super) fn last_at(&self) -> Duration {
        Duration::from_secs_f64(self.file.steps.last().map_or(0.0, |s| s.at_s))
    }

    /// Asks for a change at the next broker that runs and is not cut off: a new node goes out, or an old one comes back.
    pub(super) fn ask(&mut self) -> Result<usize, ScaleError> {
        let now = self.watch.now();
        let settled = |c: &Change| c.acked.is_some_and(|at| now > at + STAYS_OUT);
        let mut out: BTreeMap<&str, bool> = BTreeMap::new();
        for change in &self.evidence.changes {
            out.insert(&change.node, change.out && settled(change));
        }
        let mut can_come_back =
            self.evidence.changes.iter().filter(|c| out.get(c.node.as_str()) == Some(&true));
        let old = can_come_back.next().map(|c| c.node.clone());
        let back = old.filter(|_| out.values().filter(|o| **o).count() >= MOST_OUT || self.nodes % 2 == 1);
        self.nodes += 1;
        let (node, is_out) = match back {
            Some(node) => (node, false),
            None => (format!("n-{:08x}", self.nodes), true),
        };
        let some: Vec<usize> =
            self.living().into_iter().filter(|b| self.brokers[*b].host.is_some()).collect();
        // A step that shares no factor with most sizes goes around regions, zones and hosts.
        self.turn += 37;
        let broker = *some
            .get(self.turn % some.len().max(1))
            .ok_or_else(|| ScaleError::Host("no broker is left to be asked".to_string()))?;
        let asked = self.watch.now();
        self.evidence.changes.push(Change { node: node.clone(), out: is_out, asked, acked: None });
        if let Some(host) = self.brokers[broker].host {
            self.say(host, &Word::Drain { name: name(broker), node, out: is_out })?;
        }
        Ok(self.evidence.changes.len() - 1)
    }

    /// Asks for changes, evenly over a time, and waits until they are in force at all that were left alone. `cut` are those that
    /// are cut off meanwhile.
    pub(super) fn changes(&mut self, over: Over, cut: Vec<usize>) -> Result<(), ScaleError> {
        let (began, first) = (Instant::now(), self.evidence.changes.len());
        for i in 0..over.count {
            let due = Duration::from_secs_f64(over.over_s * i as f64 / over.count as f64);
            self.pass(due.saturating_sub(began.elapsed()))?;
            self.ask()?;
        }
        if cut.is_empty() {
            self.in_force(first)?;
        }
        Ok(())
    }

    /// Waits until all changes from that one on are told and in force.
    pub(super) fn in_force(&mut self, first: usize) -> Result<bool, ScaleError> {
        let end = Instant::now() + STEP;
        let mut done = false;
        while !done && Instant::now() < end {
            self.pass(IN_FORCE)?;
            let hollow = self.living().into_iter().filter(|b| self.brokers[*b].host.is_some());
            let names: Vec<String> = hollow.map(name).collect();
            let changes = &self.evidence.changes;
            done = changes[first..].iter().all(|c| c.acked.is_some())
                && (first..changes.len())
                    .filter(|i| self.evidence.stands(*i))
                    .all(|i| names.iter().all(|n| self.evidence.has(n, &changes[i].node) == changes[i].out));
        }
        if !done {
            let what = format!("{}: changes not in force everywhere within {STEP:?}", self.phase.name);
            (self.told)(&what);
            self.came.partial.push(what);
        }
        Ok(done)
    }

    /// Kills the leading voter so many times; each time its loss is waited for, and it is started again.
    pub(super) fn kill_leader(&mut self, times: usize, end: Instant) -> Result<(), ScaleError> {
        for round in 0..times {
            if Instant::now() > end {
                self.came.partial.push(format!("{}: {round} of {times} leaders killed", self.phase.name));
                break;
            }
            let Some(leader) = self.leader(None)? else {
                self.came.partial.push(format!("{}: nobody leads", self.phase.name));
                break;
            };
            let began = self.watch.now();
            self.touch(leader, true);
            self.end(leader, false)?;
            self.until(PATIENCE, |run| !run.brokers[leader].runs)?;
            let change = self.ask()?;
            let led = self.leader(Some(leader))?.map(|_| self.watch.now());
            let told = self.until(STEP, |run| run.evidence.changes[change].acked.is_some())?;
            let acked = self.evidence.changes[change].acked.filter(|_| told);
            match led.zip(acked) {
                Some((led, acked)) => {
                    let ms = (led.max(acked) - began) as f64 / 1e6;
                    (self.told)(&format!("{} led; over after {ms:.0} ms", name(leader)));
                    self.lost.push((self.phase.name.clone(), ms));
                }
                None => self.came.partial.push(format!("{}: a leader's loss was not over", self.phase.name)),
            }
            self.in_force(change)?;
            self.start(leader)?;
            self.until(PATIENCE, |run| run.brokers[leader].runs)?;
            self.touch(leader, false);
            let (all, now) = (self.living(), self.watch.now());
            if !self.agreement(&all, now, STEP)? {
                break;
            }
        }
        Ok(())
    }

    /// Waits for a voter that leads, another than one that is gone.
    pub(super) fn leader(&mut self, gone: Option<usize>) -> Result<Option<usize>, ScaleError> {
        let end = Instant::now() + STEP;
        while Instant::now() < end {
            self.poll(true)?;
            let leads = (0..self.file.voters).filter(|v| {
                let broker = &self.brokers[*v];
                broker.runs && broker.said.leads && Some(*v) != gone && broker.polled == self.polls
            });
            // Of two that think so, one has not yet heard.
            if let Some(leader) = leads.max_by_key(|v| self.brokers[*v].said.view) {
                return Ok(Some(leader));
            }
            self.pass(POLL_VOTERS)?;
        }
        Ok(None)
    }

    pub(super) fn kill(&mut self, some: &[usize]) -> Result<(), ScaleError> {
        let began = self.watch.now();
        for broker in some {
            self.touch(*broker, true);
            self.end(*broker, false)?;
        }
        self.until(PATIENCE, |run| some.iter().all(|b| !run.brokers[*b].runs))?;
        let living = self.living();
        self.agreement(&living, began, STEP).map(|_| ())
    }

    pub(super) fn start_all(&mut self) -> Result<(), ScaleError> {
        let (began, some) = (
            self.watch.now(),
            (0..self.brokers.len()).filter(|b| !self.brokers[*b].runs).collect::<Vec<_>>(),
        );
        for broker in &some {
            self.start(*broker)?;
        }
        self.until(PATIENCE, |run| some.iter().all(|b| run.brokers[*b].runs))?;
        some.iter().for_each(|b| self.touch(*b, false));
        let living = self.living();
        self.agreement(&living, began, STEP).map(|_| ())
    }

    /// Cuts some off, with changes meanwhile, and mends it; waits each time until those that can agree do.
    pub(super) fn cut(&mut self, cut: &CutOff) -> Result<(), ScaleError> {
        let some = self.file.placement().find(self.file, &cut.whom()).map_err(ScaleError::File)?;
        let (began, started, first) = (self.watch.now(), Instant::now(), self.evidence.changes.len());
        let mut inside = vec![false; self.brokers.len()];
        for broker in &some {
            inside[*broker] = true;
            self.brokers[*broker].cut = true;
            self.touch(*broker, true);
        }
        self.relay.cut(vec![Cut { inside, direction: cut.direction }]);
        (self.told)(&format!("{} brokers are cut off for {} s", some.len(), cut.for_s));
        let whole = Duration::from_secs_f64(cut.for_s);
        let silent = Duration::from_millis(u64::from(self.file.times.silence_ms));
        if cut.changes > 0 {
            let over_s = (whole.as_secs_f64() / 2.0).min(30.0);
            self.changes(Over { count: cut.changes, over_s }, some.clone())?;
        }
        if whole > 3 * silent {
            let living = self.living();
            self.agreement(&living, began, whole.saturating_sub(started.elapsed()))?;
        }
        self.pass(whole.saturating_sub(started.elapsed()))?;
        let back = format!("{}-back", self.phase.name);
        self.mark(&back)?;
        let began = self.watch.now();
        self.relay.cut(Vec::new());
        for broker in &some {
            self.brokers[*broker].cut = false;
            self.touch(*broker, false);
        }
        let living = self.living();
        self.agreement(&living, began, STEP)?;
        if cut.changes > 0 {
            // At those that were cut off, too.
            self.in_force(first)?;
        }
        Ok(())
    }

    /// Has brokers go and come, one behind the other, evenly over a time: the last ones, none of them voters.
    pub(super) fn restart(&mut self, over: Over) -> Result<(), ScaleError> {
        let began = Instant::now();
        let first = self.file.size() - over.count;
        let mut waiting: Vec<usize> = Vec::new();
        for i in 0..over.count {
            let due = Duration::from_secs_f64(over.over_s * i as f64 / over.count as f64);
            while began.elapsed() < due {
                self.back(&mut waiting)?;
                self.pass(Duration::from_millis(20).min(due.saturating_sub(began.elapsed())))?;
            }
            let broker = first + i;
            self.touch(broker, true);
            self.end(broker, true)?;
            waiting.push(broker);
        }
        let end = Instant::now() + PATIENCE;
        while !waiting.is_empty() && Instant::now() < end {
            self.back(&mut waiting)?;
            self.pass(Duration::from_millis(20))?;
        }
        self.until(PATIENCE, |run| (first..run.brokers.len()).all(|b| run.brokers[b].runs))?;
        let (living, now) = (self.living(), self.watch.now());
        self.agreement(&living, now, STEP).map(|_| ())
    }

    /// Starts those again that have gone.
    pub(super) fn back(&mut self, waiting: &mut Vec<usize>) -> Result<(), ScaleError> {
        let (gone, left) = waiting.iter().partition(|b| !self.brokers[**b].runs);
        *waiting = left;
        let gone: Vec<usize> = gone;
        for broker in gone {
            self.start(broker)?;
            self.touch(broker, false);
        }
        Ok(())
    }
}
