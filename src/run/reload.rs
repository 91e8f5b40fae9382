//! Takes the configuration anew at each SIGHUP, whole or not at all.

use super::active_settings::ActiveSettings;
use super::config::{reread, Reread};
use super::folder::run_blocking;
use super::settings::Start;
use crate::interface::Time;
use crate::state::list_validity::Terms;
use crate::state::phase::{grace, Phase, Transition};
use crate::state::planner::Input;
use crate::state::pool::LinkSettings;
use crate::wire::admin::handler::change_phase;
use crate::wire::clock::Clock;
use crate::wire::resp::server::SharedState;
use crate::wire::resp::Resp;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// How often it is looked whether classes that were dropped are still open.
const RETIRING: Duration = Duration::from_millis(500);

/// What is changed by a new configuration.
pub struct ConfigReloader {
    /// The file.
    pub path: String,
    /// The settings in force as they stand in their file.
    pub text: Value,
    /// The settings in force, and what is still open under older ones.
    pub active: ActiveSettings,
    /// What sessions share.
    pub common: Rc<SharedState>,
    /// The planner.
    pub planner: UnboundedSender<Input<Resp>>,
    /// Names of the zones.
    pub zones: Rc<RefCell<Vec<String>>>,
    /// How long a link's connection may take to come up.
    pub connect_timeout: Rc<Cell<Duration>>,
    /// Discovery's address.
    pub discovery: watch::Sender<String>,
    /// What the settings say of lists.
    pub lists: Rc<Cell<Terms>>,
    /// The longest deadline of the settings in force.
    pub deadlines: Rc<Cell<Time>>,
    /// The broker's phase: one that is told to stop may be ended earlier than its old settings said.
    pub phase: Rc<watch::Sender<Phase>>,
    /// The time.
    pub clock: Clock,
}

/// The longest deadline of settings, in microseconds.
pub fn longest(start: &Start) -> Time {
    start.deadlines.iter().copied().max().unwrap_or(0)
}

impl ConfigReloader {
    /// Reads at each SIGHUP. A file that cannot be used changes nothing.
    pub async fn run(mut self, mut hangup: Signal) {
        let (mut links, mut in_use) = (None, self.active.classes_in_use());
        loop {
            tokio::select! {
                hung = hangup.recv() => {
                    if hung.is_none() {
                        return;
                    }
                    let taken = self.read().await;
                    match taken.and_then(|new| self.take(new)) {
                        Ok(terms) => links = Some(terms),
                        Err(error) => tracing::error!(error, "configuration not taken"),
                    }
                }
                () = tokio::time::sleep(RETIRING), if links.is_some() && in_use != self.live() => {}
            }
            // The last request of a class that was dropped may have had its answer.
            if let Some(links) = links.filter(|_| in_use != self.active.classes_in_use()) {
                in_use = self.active.classes_in_use();
                self.tell(links);
            }
        }
    }

    /// Reads the file on another thread: the folder may be slow, and answers are owed meanwhile.
    async fn read(&self) -> Result<Reread, String> {
        let (path, text) = (self.path.clone(), self.text.clone());
        let read = run_blocking(move || reread(&path, &text)).await;
        read.ok_or("the file was not read")?.map_err(|error| error.to_string())
    }

    /// Classes that clients may name.
    fn live(&self) -> usize {
        self.common.schema.borrow().classes.len()
    }

    /// Takes what was read whole, all at once.
    fn take(&mut self, new: Reread) -> Result<LinkSettings, String> {
        let (bounds, lists, deadlines) = (new.start.bounds, new.start.lists, longest(&new.start));
        let terms = self.active.take(new.start)?;
        *self.common.schema.borrow_mut() = Rc::new(terms);
        *self.zones.borrow_mut() = self.active.zones();
        self.connect_timeout.set(bounds.connect());
        self.lists.set(lists);
        self.deadlines.set(deadlines);
        let _ = change_phase(&self.phase, Transition::Grace(grace(deadlines)), self.clock.now());
        if let Some(by) = self.phase.borrow().last_answer_at() {
            let _ = self.planner.send(Input::AnswerAllBy(by));
        }
        self.text = new.text;
        self.tell(bounds.links());
        let classes = self.live();
        let discovery = new.discovery.unwrap_or_else(|| self.discovery.borrow().clone());
        tracing::info!(
            discovery,
            classes,
            open_classes = self.active.classes_in_use(),
            "configuration read anew"
        );
        self.discovery.send_if_modified(|old| std::mem::replace(old, discovery.clone()) != discovery);
        Ok(bounds.links())
    }

    /// Tells the scheduler. What clients asked before is on its way to it before this.
    fn tell(&self, links: LinkSettings) {
        if let Some(settings) = self.active.settings() {
            let _ = self.planner.send(Input::Settings(Box::new(settings), links));
        }
    }
}
