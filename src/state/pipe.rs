//! A bounded window through which a large value passes: whoever has its bytes puts them in while there is space, whoever
//! wants them takes them out. Neither ever holds the whole.

use super::buffer_budget::{BufferBudget, Reservation};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// Most bytes that wait in a window.
pub const WINDOW: usize = 64 * 1024;
/// So many may always wait, as part of what a connection takes; more are charged.
const LEAST: usize = 8 * 1024;
/// Charged ahead of what is held.
const AHEAD: usize = 64 * 1024;

/// What has become of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Bytes are still to come.
    Ongoing,
    /// All have come, and what came after them fits.
    Complete,
    /// The rest will never come.
    Broken,
}

#[derive(Debug)]
struct Inner {
    most: usize,
    chunks: RefCell<VecDeque<Bytes>>,
    held: Cell<usize>,
    part: RefCell<Reservation>,
    course: Cell<Progress>,
    /// Whether any byte has been taken out.
    tapped: Cell<bool>,
    takers: Cell<usize>,
    put: Notify,
    taken: Notify,
}

/// Where bytes are put in. Dropped before the value is whole, it breaks it.
#[derive(Debug)]
pub struct PipeWriter(Rc<Inner>);

/// Where bytes are taken out.
#[derive(Debug)]
pub struct PipeReader(Rc<Inner>);

/// A window whose bytes are charged to a room.
pub fn pipe(budget: &BufferBudget, most: usize) -> (PipeWriter, PipeReader) {
    let inner = Rc::new(Inner {
        most,
        chunks: RefCell::default(),
        held: Cell::new(0),
        part: RefCell::new(budget.empty_reservation()),
        course: Cell::new(Progress::Ongoing),
        tapped: Cell::new(false),
        takers: Cell::new(1),
        put: Notify::new(),
        taken: Notify::new(),
    });
    (PipeWriter(inner.clone()), PipeReader(inner))
}

impl PipeWriter {
    /// How many bytes may be put in now. What is held is charged, and a little ahead of it.
    pub fn space(&self) -> usize {
        let held = self.0.held.get();
        let wanted = (held + AHEAD).min(self.0.most);
        let mut part = self.0.part.borrow_mut();
        let charged = part.resize(wanted.saturating_sub(LEAST));
        let window = if charged { wanted } else { part.bytes() + LEAST };
        window.saturating_sub(held)
    }

    /// Puts bytes in.
    pub fn put(&self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.0.held.set(self.0.held.get() + bytes.len());
            self.0.chunks.borrow_mut().push_back(bytes);
            self.0.put.notify_one();
        }
    }

    /// All bytes are in.
    pub fn finish(self) {
        self.0.course.set(Progress::Complete);
    }

    /// Whether nobody takes any more.
    pub fn is_abandoned(&self) -> bool {
        self.0.takers.get() == 0
    }

    /// Waits until some were taken, or nobody takes any more. Holds nothing of the giver.
    pub fn wait_for_space(&self) -> impl std::future::Future<Output = ()> + 'static {
        let inner = self.0.clone();
        async move { inner.taken.notified().await }
    }
}

impl Drop for PipeWriter {
    fn drop(&mut self) {
        if self.0.course.get() == Progress::Ongoing {
            self.0.course.set(Progress::Broken);
        }
        self.0.put.notify_one();
    }
}

impl PipeReader {
    /// The next bytes, if any wait.
    pub fn take(&self) -> Option<Bytes> {
        let chunk = self.0.chunks.borrow_mut().pop_front()?;
        let held = self.0.held.get() - chunk.len();
        self.0.held.set(held);
        let mut part = self.0.part.borrow_mut();
        let less = part.bytes().min(held);
        part.resize(less);
        self.0.tapped.set(true);
        self.0.taken.notify_one();
        Some(chunk)
    }

    /// What has become of the value; it is whole only when all that waited is taken, too.
    pub fn progress(&self) -> Progress {
        match self.0.course.get() {
            Progress::Complete if self.0.held.get() > 0 => Progress::Ongoing,
            course => course,
        }
    }

    /// Whether bytes were taken that nobody can take again.
    pub fn is_consumed(&self) -> bool {
        self.0.tapped.get()
    }

    /// Waits until some were put in, or none will be. Holds nothing of the taker.
    pub fn wait_for_bytes(&self) -> impl std::future::Future<Output = ()> + 'static {
        let inner = self.0.clone();
        async move { inner.put.notified().await }
    }
}

impl Clone for PipeReader {
    fn clone(&self) -> Self {
        self.0.takers.set(self.0.takers.get() + 1);
        PipeReader(self.0.clone())
    }
}

impl Drop for PipeReader {
    fn drop(&mut self) {
        self.0.takers.set(self.0.takers.get() - 1);
        if self.0.takers.get() == 0 {
            self.0.chunks.borrow_mut().clear();
            self.0.held.set(0);
            self.0.taken.notify_one();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_passes_in_parts_and_is_whole_only_when_all_is_taken() {
        let (giver, taker) = pipe(&BufferBudget::new(1 << 20), WINDOW);
        assert_eq!((giver.space(), taker.take(), taker.progress()), (WINDOW, None, Progress::Ongoing));
        giver.put(Bytes::from(vec![1; WINDOW - 5]));
        giver.put(Bytes::from_static(b"ab"));
        assert_eq!((giver.space(), taker.is_consumed()), (3, false));
        assert_eq!(taker.take().map(|b| b.len()), Some(WINDOW - 5));
        assert_eq!((giver.space(), taker.is_consumed()), (WINDOW - 2, true));
        giver.finish();
        assert_eq!(taker.progress(), Progress::Ongoing, "some of it still waits");
        assert_eq!(taker.take().as_deref(), Some(&b"ab"[..]));
        assert_eq!(taker.progress(), Progress::Complete);
    }

    /// Guards against a value cut off that passes for a whole one, and a source that fills a window nobody empties.
    #[test]
    fn whoever_lets_go_early_is_noticed() {
        let (giver, taker) = pipe(&BufferBudget::new(1 << 20), WINDOW);
        giver.put(Bytes::from_static(b"ab"));
        drop(giver);
        assert_eq!(taker.progress(), Progress::Broken);
        let (giver, taker) = pipe(&BufferBudget::new(1 << 20), WINDOW);
        let other = taker.clone();
        drop(taker);
        assert!(!giver.is_abandoned());
        drop(other);
        assert!(giver.is_abandoned());
    }

    /// Guards against windows that together outgrow the memory, and against ones that stop for good without room.
    #[test]
    fn windows_are_charged_and_shrink_without_room() {
        let budget = BufferBudget::new(2 * (WINDOW - LEAST));
        let pipes: Vec<(PipeWriter, PipeReader)> = (0..3).map(|_| pipe(&budget, WINDOW)).collect();
        let spaces: Vec<usize> = pipes.iter().map(|(giver, _)| giver.space()).collect();
        assert_eq!(spaces, [WINDOW, WINDOW, LEAST]);
        drop(pipes);
        assert!(budget.reserve(2 * (WINDOW - LEAST)), "given back");
        budget.release(2 * (WINDOW - LEAST));
        // What is held is charged, not what is announced; and it is given back as it is taken.
        let (giver, taker) = pipe(&budget, 4 << 20);
        giver.put(Bytes::from(vec![1; 2 * LEAST]));
        assert!(giver.space() <= AHEAD, "a value of 4 MiB does not claim all");
        taker.take();
        assert!(budget.reserve(2 * (WINDOW - LEAST)));
    }
}
