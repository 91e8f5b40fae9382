//! Opening the companion of an export, and sealing it: each page is written once, so that zeroes are known for
//! damage.

use super::*;

impl Keeper {
    pub(super) fn open(&mut self, now: Time, id: VolumeId, out: &mut Vec<Effect>) {
        let Some(volume) = self.volumes.get_mut(&id) else { return };
        if matches!(volume.opening, Opening::Closed) {
            volume.opening = Opening::Looking;
            let length = u32::from(volume.facts.shape.brokers) * PAGE as u32;
            self.start(id, Duty::OpenLook(id, 1), Task::Read(0, length), now + OPEN_WITHIN, out);
        }
    }

    /// The front pages are there: this broker enters itself, unless they are of another export.
    pub(super) fn opened(&mut self, now: Time, id: VolumeId, pages: &[u8], tries: u8, out: &mut Vec<Effect>) {
        let Some(volume) = self.volumes.get_mut(&id) else { return };
        let (facts, seal) = (&volume.facts, volume.seal);
        let fronts = pages.chunks(PAGE as usize).zip(0..);
        let fronts: Vec<_> = fronts.map(|(page, broker)| Front::decode(seal, broker, page)).collect();
        let other = fronts.iter().flatten().flatten().find(|f| f.shape != facts.shape);
        if let Some(other) = other {
            let (name, made) = (&facts.name, other.shape);
            tracing::error!(export = name, ?made, wanted = ?facts.shape, "sums are those of another shape");
            volume.opening = Opening::Shut;
            for ask in std::mem::take(&mut volume.early) {
                self.end(ask, Effect::Failed(ask), out);
            }
            return;
        }
        let own = fronts.get(usize::from(facts.broker)).copied().unwrap_or(Ok(None));
        if tries < MOST_TRIES && !matches!(own, Ok(Some(_))) {
            // An export is taken for a new one, or its front for damaged, only if it stays so.
            let (length, duty) = (pages.len() as u32, Duty::OpenLook(id, tries + 1));
            self.start(id, duty, Task::Read(0, length), now + OPEN_WITHIN, out);
            return;
        }
        // What this broker gave out in a former life may yet run, unless it ended in order.
        let writes_from = match own {
            Ok(None) => now,
            Ok(Some(front)) if front.clean => now,
            Ok(Some(_)) | Err(_) => now + facts.late,
        };
        if own.is_err() {
            tracing::warn!(export = facts.name, "the front page of the sums is damaged; it is written anew");
        }
        // Of a page that is damaged the most must be taken for granted: that all was sealed.
        let far = |front: &Result<Option<Front>, _>| match front {
            Ok(front) => front.map_or(0, |f| f.sealed),
            Err(_) => facts.shape.groups(),
        };
        volume.sealed = fronts.iter().map(far).collect();
        let life = own.ok().flatten().map_or(0, |f| f.life) + 1;
        let scrubbed = own.ok().flatten().map_or(0, |f| f.scrubbed);
        let front = Front { shape: facts.shape, life, clean: false, sealed: far(&own), scrubbed };
        volume.front = front;
        let task = Task::Write(facts.shape.front_page(facts.broker), front.encode(seal, facts.broker), true);
        tracing::info!(export = facts.name, life, wait_ms = (writes_from - now) / 1000, "sums opened");
        volume.opening = Opening::Entering(writes_from);
        self.start(id, Duty::OpenWrite(id), task, now + OPEN_WITHIN, out);
    }

    pub(super) fn open_failed(&mut self, now: Time, id: VolumeId) {
        if let Some(volume) = self.volumes.get_mut(&id) {
            tracing::debug!(export = volume.facts.name, "sums could not be opened");
            volume.opening = Opening::Closed;
            self.deadlines.insert(now + OPEN_AGAIN, Wake::Open(id));
        }
    }

    pub(super) fn entered(&mut self, now: Time, id: VolumeId, out: &mut Vec<Effect>) {
        let Some(volume) = self.volumes.get_mut(&id) else { return };
        if let Opening::Entering(writes_from) = volume.opening {
            volume.opening = Opening::Open(writes_from);
            self.deadlines.insert(now.max(writes_from), Wake::Seal(id));
            volume.fronts_at = now + FRONTS_EVERY;
            self.deadlines.insert(volume.fronts_at, Wake::Fronts(id));
            for ask in std::mem::take(&mut volume.early) {
                self.begin(now, ask, out);
            }
        }
    }
    pub(super) fn seal_next(&mut self, now: Time, id: VolumeId, out: &mut Vec<Effect>) {
        let busy = self.asks.len() > SEAL_BESIDE;
        let Some(kept) = self.volumes.get(&id) else { return };
        let group = kept.front.sealed;
        let over = group >= kept.facts.shape.groups() || self.closing != Closing::No;
        if over || !matches!(kept.opening, Opening::Open(_)) {
            return;
        }
        if busy {
            return self.deadlines.insert(now + SEAL_LATER, Wake::Seal(id));
        }
        if kept.pages.contains_key(&group) {
            return self.seal(now, id, group, out);
        }
        let offset = kept.facts.shape.pages(group);
        let shared = kept.looks.get(&group).copied();
        if let Some(Duty::Look(_, _, waiting, _)) = shared.and_then(|task| self.tasks.get_mut(&task)) {
            return waiting.push(SEALER);
        }
        let duty = Duty::Look(id, group, vec![SEALER], 1);
        let task = self.start(id, duty, Task::Read(offset.0, offset.1), now + PAGE_WITHIN, out);
        if let Some(kept) = self.volumes.get_mut(&id).filter(|k| k.facts.shape.brokers == 1) {
            kept.looks.insert(group, task);
        }
    }

    /// The page is in memory: has it written whole.
    pub(super) fn seal(&mut self, now: Time, id: VolumeId, group: u64, out: &mut Vec<Effect>) {
        let Some(page) = self.volumes.get_mut(&id).and_then(|k| k.pages.get_mut(&group)) else { return };
        page.seal();
        let waiting = Waiting { version: page.version, due: Time::MAX, durable: true };
        page.waiting.insert(SEALER, waiting);
        match page.written >= page.version {
            true => self.sealed(now, id, group, out),
            false => self.write_page(now, id, group, out),
        }
    }

    pub(super) fn sealed(&mut self, now: Time, id: VolumeId, group: u64, out: &mut Vec<Effect>) {
        let Some(kept) = self.volumes.get_mut(&id) else { return };
        if let Some(page) = kept.pages.get_mut(&group) {
            page.waiting.remove(&SEALER);
        }
        if group != kept.front.sealed {
            return;
        }
        kept.front.sealed += 1;
        let (far, groups) = (kept.front.sealed, kept.facts.shape.groups());
        if far < groups && far % SEAL_NOTED != 0 {
            return self.deadlines.insert(now + SEAL_EVERY, Wake::Seal(id));
        }
        let (shape, broker) = (kept.facts.shape, kept.facts.broker);
        let bytes = kept.front.encode(kept.seal, broker);
        let task = Task::Write(shape.front_page(broker), bytes, true);
        self.start(id, Duty::Seal(id), task, now + PAGE_WITHIN, out);
    }

    /// It was written down how far the sealing has come, or was not.
    pub(super) fn seal_noted(&mut self, now: Time, id: VolumeId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(kept) = self.volumes.get_mut(&id) else { return };
        let (far, own) = (kept.front.sealed, usize::from(kept.facts.broker));
        if outcome != Outcome::Done {
            // The next note has it.
            kept.front.sealed -= 1;
            return self.deadlines.insert(now + SEAL_LATER, Wake::Seal(id));
        }
        kept.sealed[own] = far;
        if far >= kept.facts.shape.groups() {
            tracing::info!(export = kept.facts.name, groups = far, "sums sealed");
        }
        self.seal_next(now, id, out);
    }

    /// Asks how far other brokers have come, while some have not come to the end.
    pub(super) fn look_at_fronts(&mut self, now: Time, id: VolumeId, out: &mut Vec<Effect>) {
        let Some(kept) = self.volumes.get(&id) else { return };
        let (own, groups) = (usize::from(kept.facts.broker), kept.facts.shape.groups());
        let others = || kept.sealed.iter().enumerate().filter(|(broker, _)| *broker != own);
        if self.closing == Closing::No && others().any(|(_, sealed)| *sealed < groups) {
            let length = kept.sealed.len() as u32 * PAGE as u32;
            self.start(id, Duty::Fronts(id), Task::Read(0, length), now + OPEN_WITHIN, out);
        }
    }

    pub(super) fn fronts_seen(&mut self, now: Time, id: VolumeId, outcome: Outcome) {
        let Some(kept) = self.volumes.get_mut(&id) else { return };
        if let Outcome::Pages(pages) = outcome {
            for ((page, sealed), broker) in pages.chunks(PAGE as usize).zip(&mut kept.sealed).zip(0..) {
                if let Ok(Some(front)) = Front::decode(kept.seal, broker, page) {
                    *sealed = front.sealed.max(*sealed);
                }
            }
        }
        kept.fronts_at = now + FRONTS_EVERY;
        self.deadlines.insert(kept.fronts_at, Wake::Fronts(id));
    }

    /// The block from which an export is to be scrubbed, once it is open and sealed.
    pub fn scrubbed_to(&self, id: VolumeId) -> Option<u64> {
        let kept = self.volumes.get(&id)?;
        let whole = kept.front.sealed >= kept.facts.shape.groups() && self.closing == Closing::No;
        (whole && matches!(kept.opening, Opening::Open(_))).then_some(kept.front.scrubbed)
    }

    /// Notes how far the scrubber has come. A note that is lost costs it some blocks.
    pub fn note_scrubbed(&mut self, now: Time, id: VolumeId, block: u64, out: &mut Vec<Effect>) {
        let Some(kept) = self.volumes.get_mut(&id) else { return };
        kept.front.scrubbed = block;
        let (shape, broker) = (kept.facts.shape, kept.facts.broker);
        let task = Task::Write(shape.front_page(broker), kept.front.encode(kept.seal, broker), false);
        self.start(id, Duty::Note(id), task, now + PAGE_WITHIN, out);
    }

    /// All clients are gone and none will come: what is out is waited for, and that nothing was left is noted, so
    /// that the next life need not wait.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.closing = Closing::Begun;
        self.close(now, out);
    }

    /// Whether it has come to its end.
    pub fn is_stopped(&self) -> bool {
        self.closing == Closing::Noted && self.tasks.is_empty()
    }

    pub(super) fn close(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.closing != Closing::Begun || !self.asks.is_empty() || !self.tasks.is_empty() {
            return;
        }
        self.closing = Closing::Noted;
        let in_order = |kept: &Volume| {
            let settled = matches!(kept.opening, Opening::Open(writes_from) if writes_from <= now);
            settled && kept.pages.values().all(|page| page.doubt <= now)
        };
        let ids: Vec<VolumeId> =
            self.volumes.iter().filter(|(_, kept)| in_order(kept)).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(kept) = self.volumes.get_mut(&id) else { continue };
            kept.front.clean = true;
            let (shape, broker) = (kept.facts.shape, kept.facts.broker);
            let task = Task::Write(shape.front_page(broker), kept.front.encode(kept.seal, broker), true);
            self.start(id, Duty::Note(id), task, now + OPEN_WITHIN, out);
        }
    }
}
