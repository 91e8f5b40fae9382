//! Reads: judging what came, and looking again.

use super::*;

impl Keeper {
    pub(super) fn stamps(&self, id: RequestId) -> Vec<u64> {
        let Some(ask) = self.asks.get(&id) else { return Vec::new() };
        let blocks = ask.first..ask.first + ask.count;
        blocks.map(|block| self.slots(ask, block).map_or(0, |(slots, n)| stamp(&slots[..n]))).collect()
    }

    /// The first block of a request that is known to be bad, as far as pages at hand tell.
    pub(super) fn known_bad(&self, id: RequestId) -> Option<u64> {
        let ask = self.asks.get(&id)?;
        let mut blocks = ask.first..ask.first + ask.count;
        blocks.find(|block| self.slots(ask, *block).is_some_and(|(slots, n)| is_bad(&slots[..n])))
    }

    /// Judges what was read. What does not match is looked at again, pages before and after the data: only
    /// where those are alike was the data wrong, and not just written meanwhile; and only data that came
    /// twice alike stands like that on the disk.
    pub(super) fn judge(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let Work::Read { step, round, sums: Some(sums), before, wrong: last, adopts } = &ask.work else {
            return;
        };
        let (mut wrong, mut unsummed) = (None, 0);
        for (block, sum) in (ask.first..).zip(sums) {
            let Some((slots, n)) = self.slots(ask, block) else {
                // A page has made room for others since.
                return self.look(now, id, out);
            };
            if is_bad(&slots[..n]) {
                self.counts.spoiled += 1;
                return self.end(id, Effect::Spoiled(id, block, Verdict::Wrong), out);
            }
            match judge(&slots[..n], *sum) {
                Verdict::Good => {}
                Verdict::Unsummed => unsummed += 1,
                verdict => {
                    wrong = Some((block, *sum, verdict));
                    break;
                }
            }
        }
        let Some((block, sum, verdict)) = wrong else {
            self.counts.good += ask.count - unsummed;
            self.counts.unsummed += unsummed;
            if *adopts && unsummed > 0 {
                self.adopt(now, id, out);
            }
            return self.end(id, Effect::Served(id), out);
        };
        let (round, volume, adopts) = (*round, ask.volume, *adopts);
        let (first, alike) = (*step == ReadStep::First, *last == Some((block, sum)));
        let steady = *step == ReadStep::After && *before == self.stamps(id);
        self.counts.mismatches += u64::from(first);
        let certain = steady && (verdict == Verdict::Damaged || (verdict == Verdict::Wrong && alike));
        if !certain && round < MOST_ROUNDS {
            return self.again(now, id, round + 1, (block, sum), adopts, out);
        }
        if !steady || verdict == Verdict::Unsettled {
            return self.end(id, Effect::Refused(id, SOON), out);
        }
        let export = self.volumes.get(&volume).map(|v| v.facts.name.as_str());
        tracing::error!(export, block, ?verdict, "block is not what was written there");
        self.counts.spoiled += 1;
        if certain && verdict == Verdict::Wrong {
            self.mark_bad(now, volume, block, out);
        }
        self.end(id, Effect::Spoiled(id, block, verdict), out);
    }

    fn again(
        &mut self,
        now: Time,
        id: RequestId,
        round: u8,
        wrong: (u64, u32),
        adopts: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(ask) = self.asks.get_mut(&id) else { return };
        let (step, wrong) = (ReadStep::Before, Some(wrong));
        ask.work = Work::Read { step, round, sums: None, before: Vec::new(), wrong, adopts };
        self.look(now, id, out);
    }

    /// Gives blocks of which nobody has anything to say the sums of what was found there. A write that is under
    /// way has something to say before its data is sent.
    fn adopt(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let Work::Read { sums: Some(sums), .. } = &ask.work else { return };
        let nobody = |block: u64| {
            let slots = self.slots(ask, block);
            slots
                .is_some_and(|(slots, n)| slots[..n].iter().all(|s| s.is_ok_and(|e| e.is_empty() && !e.lost)))
        };
        let found = (ask.first..).zip(sums.iter().copied()).filter(|(block, _)| nobody(*block));
        let (found, volume): (Vec<(u64, u32)>, VolumeId) = (found.collect(), ask.volume);
        self.counts.adopted += found.len() as u64;
        for (block, sum) in found {
            let page = self.volumes.get_mut(&volume).and_then(|v| v.pages.get_mut(&(block / GROUP)));
            if let Some(page) = page {
                page.change(block, 0).adopt(sum);
                page.waiting.insert(MARKER, Waiting { version: page.version, due: Time::MAX, durable: true });
            }
            self.write_page(now, volume, block / GROUP, out);
        }
    }

    /// Notes durably that a block is bad.
    fn mark_bad(&mut self, now: Time, volume: VolumeId, block: u64, out: &mut Vec<Effect>) {
        let group = block / GROUP;
        let Some(page) = self.volumes.get_mut(&volume).and_then(|v| v.pages.get_mut(&group)) else { return };
        page.change(block, 0).mark_bad();
        page.waiting.insert(MARKER, Waiting { version: page.version, due: Time::MAX, durable: true });
        self.write_page(now, volume, group, out);
    }

    /// Says what can be said of blocks without their data. Where the sum of the first is wanted and is in doubt,
    /// its data tells.
    pub(super) fn describe(&mut self, now: Time, id: RequestId, sum: bool, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let blocks = ask.first..ask.first + ask.count;
        let states = blocks.map(|block| self.slots(ask, block).map(|(slots, n)| state(&slots[..n])));
        let Some(states) = states.collect::<Option<Vec<State>>>() else {
            return self.look(now, id, out);
        };
        if sum && states.first() == Some(&State::Doubt) {
            if let Some(ask) = self.asks.get_mut(&id) {
                (ask.count, ask.work) = (1, Work::read(false));
            }
            self.start_data(id, out);
            return self.look(now, id, out);
        }
        self.end(id, Effect::Described(id, states), out);
    }
}
