//! Reloads the configuration at each SIGHUP, completely or not at all.

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

/// How often the reloader checks whether removed classes still have open requests.
const RETIRE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The parts of the broker that a new configuration changes.
pub struct ConfigReloader {
    /// Path of the configuration file.
    pub path: String,
    /// The settings in force, as JSON.
    pub text: Value,
    /// The settings in force, and classes that still have open requests under older settings.
    pub active: ActiveSettings,
    /// State that the client sessions share.
    pub common: Rc<SharedState>,
    /// The planner.
    pub planner: UnboundedSender<Input<Resp>>,
    /// Names of the zones.
    pub zones: Rc<RefCell<Vec<String>>>,
    /// Connect timeout of a link.
    pub connect_timeout: Rc<Cell<Duration>>,
    /// Address of the discovery service.
    pub discovery: watch::Sender<String>,
    /// The settings for node lists.
    pub lists: Rc<Cell<Terms>>,
    /// The longest deadline of the settings in force.
    pub deadlines: Rc<Cell<Time>>,
    /// The broker's phase. A reload may shorten the shutdown of a broker that is stopping.
    pub phase: Rc<watch::Sender<Phase>>,
    /// The time.
    pub clock: Clock,
}

/// Returns the longest class deadline of the settings, in microseconds.
pub fn longest(start: &Start) -> Time {
    start.deadlines.iter().copied().max().unwrap_or(0)
}

impl ConfigReloader {
    /// Reloads the file at each SIGHUP. An invalid file changes nothing.
    pub async fn run(mut self, mut hangup: Signal) {
        let (mut links, mut in_use) = (None, self.active.classes_in_use());
        loop {
            tokio::select! {
                received = hangup.recv() => {
                    if received.is_none() {
                        return;
                    }
                    let taken = self.read().await;
                    match taken.and_then(|new| self.take(new)) {
                        Ok(terms) => links = Some(terms),
                        Err(error) => tracing::error!(error, "configuration not taken"),
                    }
                }
                () = tokio::time::sleep(RETIRE_POLL_INTERVAL), if links.is_some() && in_use != self.class_count() => {}
            }
            // The last request of a removed class may have been answered.
            if let Some(links) = links.filter(|_| in_use != self.active.classes_in_use()) {
                in_use = self.active.classes_in_use();
                self.send_settings(links);
            }
        }
    }

    /// Reads the file on another thread, so that a slow file system does not delay answers.
    async fn read(&self) -> Result<Reread, String> {
        let (path, text) = (self.path.clone(), self.text.clone());
        let read = run_blocking(move || reread(&path, &text)).await;
        read.ok_or("the configuration file was not read")?.map_err(|error| error.to_string())
    }

    /// Returns the number of classes that clients may name.
    fn class_count(&self) -> usize {
        self.common.schema.borrow().classes.len()
    }

    /// Puts a configuration that was read completely into force.
    fn take(&mut self, new: Reread) -> Result<LinkSettings, String> {
        let (bounds, lists, deadlines) = (new.start.bounds, new.start.lists, longest(&new.start));
        let terms = self.active.take(new.start)?;
        *self.common.schema.borrow_mut() = Rc::new(terms);
        *self.zones.borrow_mut() = self.active.zones();
        self.connect_timeout.set(bounds.connect());
        self.lists.set(lists);
        self.deadlines.set(deadlines);
        let _ = change_phase(&self.phase, Transition::Grace(grace(deadlines)), self.clock.now());
        self.text = new.text;
        self.send_settings(bounds.links());
        let classes = self.class_count();
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

    /// Sends the settings to the scheduler. Requests that clients sent before are queued ahead of them.
    fn send_settings(&self, links: LinkSettings) {
        if let Some(settings) = self.active.settings() {
            let _ = self.planner.send(Input::Settings(Box::new(settings), links));
        }
    }
}
