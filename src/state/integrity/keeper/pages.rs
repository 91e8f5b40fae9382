//! Pages of sums: reading, keeping and writing them.

use super::*;

impl Keeper {
    pub(super) fn touch(&mut self, volume: VolumeId, group: u64) {
        let Some(page) = self.volumes.get_mut(&volume).and_then(|v| v.pages.get_mut(&group)) else { return };
        self.used.remove(&page.used);
        self.step += 1;
        page.used = self.step;
        self.used.insert(self.step, (volume, group));
    }

    /// Takes a page into memory, and drops the spare ones that have been of no use for longest.
    pub(super) fn keep(&mut self, now: Time, volume: VolumeId, group: u64, slots: &[Slot]) {
        let Some(kept) = self.volumes.get_mut(&volume) else { return };
        kept.pages.entry(group).or_insert_with(|| Page::new(slots));
        self.touch(volume, group);
        while self.used.len() > self.most_pages {
            let spare = |(_, (volume, group)): &(&u64, &(VolumeId, u64))| {
                let kept = &self.volumes[volume];
                !kept.pins.contains_key(group) && kept.pages[group].is_spare(now)
            };
            let Some((step, place)) = self.used.iter().find(spare).map(|(s, p)| (*s, *p)) else { return };
            self.used.remove(&step);
            if let Some(kept) = self.volumes.get_mut(&place.0) {
                kept.pages.remove(&place.1);
            }
        }
    }

    /// Has the pages read that a request needs and that are not at hand. What other brokers say is never kept.
    pub(super) fn look(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get_mut(&id) else { return };
        let (volume, due, groups) = (ask.volume, ask.due, ask.groups());
        ask.others.clear();
        ask.missing = 0;
        for group in groups {
            let Some(kept) = self.volumes.get_mut(&volume) else { return };
            let alone = kept.facts.shape.brokers == 1;
            if alone && kept.pages.contains_key(&group) {
                self.touch(volume, group);
                continue;
            }
            if let Some(ask) = self.asks.get_mut(&id) {
                ask.missing += 1;
            }
            let shared = kept.looks.get(&group).filter(|_| alone).copied();
            if let Some(Duty::Look(_, _, waiting, _)) = shared.and_then(|task| self.tasks.get_mut(&task)) {
                waiting.push(id);
                continue;
            }
            let (offset, length) = kept.facts.shape.pages(group);
            self.counts.looks += 1;
            let duty = Duty::Look(volume, group, vec![id], 1);
            let task = self.start(volume, duty, Task::Read(offset, length), due, out);
            if let Some(kept) = self.volumes.get_mut(&volume).filter(|_| alone) {
                kept.looks.insert(group, task);
            }
        }
        self.advance(now, id, out);
    }

    pub(super) fn looked(
        &mut self,
        now: Time,
        (volume, group, waiting, tries): (VolumeId, u64, Vec<RequestId>, u8),
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(kept) = self.volumes.get_mut(&volume) else { return };
        let Outcome::Pages(pages) = outcome else {
            kept.looks.remove(&group);
            if waiting.contains(&SEALER) {
                self.deadlines.insert(now + SEAL_LATER, Wake::Seal(volume));
            }
            let wait = if let Outcome::Refused(wait) = outcome { wait } else { 0 };
            return waiting.into_iter().for_each(|id| self.give_up(now, id, wait, out));
        };
        let (seal, own) = (kept.seal, kept.facts.broker);
        let decoded = pages.chunks(PAGE as usize).zip(0..).zip(&kept.sealed);
        let decoded = decoded.map(|((page, b), sealed)| decode(seal, group, b, page, group < *sealed));
        let slots: Vec<Vec<Slot>> = decoded.collect();
        if tries < MOST_TRIES && slots.iter().flatten().any(|slot| slot.is_err()) {
            let due = waiting.iter().filter_map(|id| self.asks.get(id)).map(|a| a.due).max();
            let (offset, length) = kept.facts.shape.pages(group);
            let duty = Duty::Look(volume, group, waiting, tries + 1);
            let due = due.unwrap_or(now + PAGE_WITHIN);
            let task = self.start(volume, duty, Task::Read(offset, length), due, out);
            if let Some(kept) = self.volumes.get_mut(&volume).filter(|k| k.looks.contains_key(&group)) {
                kept.looks.insert(group, task);
            }
            return;
        }
        kept.looks.remove(&group);
        if let Some(page) = slots.get(usize::from(own)) {
            self.keep(now, volume, group, page);
        }
        for id in waiting {
            if id == SEALER {
                self.seal(now, volume, group, out);
            }
            let Some(ask) = self.asks.get_mut(&id) else { continue };
            ask.missing = ask.missing.saturating_sub(1);
            if slots.len() > 1 {
                ask.others.insert(group, slots.clone());
            }
            self.advance(now, id, out);
        }
    }

    /// What all brokers say of a block; nothing if a page is not at hand.
    pub(super) fn slots(&self, ask: &Ask, block: u64) -> Option<([Slot; MOST_BROKERS as usize], usize)> {
        let kept = self.volumes.get(&ask.volume)?;
        let (own, brokers) = (usize::from(kept.facts.broker), usize::from(kept.facts.shape.brokers));
        let group = block / GROUP;
        let mut slots = [Ok(Entry::default()); MOST_BROKERS as usize];
        if brokers > 1 {
            for (slot, page) in slots.iter_mut().zip(ask.others.get(&group)?) {
                *slot = *page.get((block % GROUP) as usize)?;
            }
        }
        slots[own] = kept.pages.get(&group)?.slot(block);
        Some((slots, brokers))
    }

    /// Writes a page if a request waits for a version that does not stand there, and if it may be written.
    pub(super) fn write_page(&mut self, now: Time, volume: VolumeId, group: u64, out: &mut Vec<Effect>) {
        let Some(kept) = self.volumes.get_mut(&volume) else { return };
        let (seal, broker, shape) = (kept.seal, kept.facts.broker, kept.facts.shape);
        let Some(page) = kept.pages.get_mut(&group) else { return };
        let wanted = page.waiting.values().any(|w| w.version > page.written);
        if !wanted || page.writing.is_some() || page.again.is_some() {
            return;
        }
        if page.doubt > now {
            return self.deadlines.insert(page.doubt, Wake::Page(volume, group));
        }
        let bytes = page.encode(seal, group, broker);
        page.writing = Some((page.version, bytes));
        self.send_page(now, volume, group, shape.page(group, broker), out);
    }

    pub(super) fn send_page(
        &mut self,
        now: Time,
        volume: VolumeId,
        group: u64,
        offset: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(page) = self.volumes.get(&volume).and_then(|v| v.pages.get(&group)) else { return };
        let Some((_, bytes)) = page.writing.clone() else { return };
        let due = page.waiting.values().map(|w| w.due).max().unwrap_or_default().min(now + PAGE_WITHIN);
        let durable = page.waiting.values().any(|w| w.durable);
        self.counts.pages += 1;
        self.start(volume, Duty::Page(volume, group), Task::Write(offset, bytes, durable), due, out);
    }

    pub(super) fn page_written(
        &mut self,
        now: Time,
        volume: VolumeId,
        group: u64,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(kept) = self.volumes.get_mut(&volume) else { return };
        let (late, offset) = (kept.facts.late, kept.facts.shape.page(group, kept.facts.broker));
        let Some(page) = kept.pages.get_mut(&group) else { return };
        let Some((version, bytes)) = page.writing.take() else { return };
        let intends = |asks: &BTreeMap<RequestId, Ask>, id: &RequestId| {
            let step = asks.get(id).map(|a| &a.work);
            matches!(step, Some(Work::Write { step: WriteStep::Intending, .. }))
        };
        let concerned = page.waiting.iter().filter(|(_, w)| w.version <= version).map(|(id, _)| *id);
        let concerned: Vec<RequestId> = concerned.collect();
        match outcome {
            Outcome::Refused(wait) => {
                let wait = wait.max(PAGE_AGAIN);
                page.again = Some(now + wait);
                self.deadlines.insert(now + wait, Wake::Page(volume, group));
                let refused: Vec<RequestId> =
                    concerned.into_iter().filter(|id| intends(&self.asks, id)).collect();
                refused.into_iter().for_each(|id| self.give_up(now, id, wait, out));
            }
            Outcome::Failed => {
                // It may yet run; whoever has not written its data is told that nothing has happened. For
                // those that have, the same bytes are written again: run twice they do no harm.
                page.doubt = now + late;
                let (refused, settling): (Vec<RequestId>, Vec<RequestId>) =
                    concerned.into_iter().partition(|id| intends(&self.asks, id));
                let in_time = settling.iter().any(|id| self.asks.get(id).is_some_and(|a| a.due > now));
                if in_time {
                    page.writing = Some((version, bytes));
                    self.send_page(now, volume, group, offset, out);
                }
                refused.into_iter().for_each(|id| self.give_up(now, id, late, out));
            }
            _ => {
                page.written = version;
                for id in concerned {
                    if let Some(page) = self.volumes.get_mut(&volume).and_then(|v| v.pages.get_mut(&group)) {
                        page.waiting.remove(&id);
                    }
                    if id == SEALER {
                        self.sealed(now, volume, group, out);
                    }
                    if let Some(ask) = self.asks.get_mut(&id) {
                        ask.missing = ask.missing.saturating_sub(1);
                        self.advance(now, id, out);
                    }
                }
            }
        }
        self.write_page(now, volume, group, out);
    }
}
