//! Worker discovery: reads of the list of workers, and its distribution to other
//! cores and edges.

use super::Controller;
use crate::control_plane::events::ControllerEffect;
use crate::discovery::WorkerRegistry;
use crate::log_events::LogEvent;
use crate::wire::Payload;
use std::sync::Arc;

impl Controller {
    /// Reads the list if that is due. CompleteResponse on the holder of the singleton role
    /// only, since a read is expensive for the platform.
    pub(super) fn read_worker_list(&mut self) {
        if self.worker_list.begin_read(self.now) {
            self.effects.push(ControllerEffect::ReadWorkerList);
        }
    }

    /// Reads the list on a core that has none, whether or not it holds the
    /// singleton role: without a leader no core holds it.
    pub(super) fn read_first_worker_list(&mut self) {
        if self.worker_list.current().is_none() && !self.stopping {
            self.read_worker_list();
        }
    }

    /// Handles the result of a read of the list.
    pub(super) fn on_worker_list(&mut self, result: Result<WorkerRegistry, String>) {
        match result {
            Ok(list) => {
                let epoch = self.holds_singleton_role().then(|| self.epoch());
                if let Some(newer) = self.worker_list.read_done(list, epoch, self.now) {
                    self.adopt_worker_list(newer);
                }
            }
            Err(error) => {
                if self.worker_list.read_failed(error.clone()) {
                    self.log_event(LogEvent::WorkerListUnavailable, error);
                }
            }
        }
    }

    /// Applies a list from the platform or from another core if it is newer, and
    /// sends it on.
    pub(super) fn adopt_worker_list(&mut self, list: Arc<WorkerRegistry>) {
        if !self.worker_list.adopt(list.clone(), self.now) {
            return;
        }
        let (version, count) = (list.version, list.workers.len());
        let details = format!("serial {version}, {count} workers");
        self.log_event(LogEvent::WorkerListChanged, details);
        // not left to the next renewal: a worker on the list may be leaving
        for conn in self.subscribers() {
            self.send(conn, Payload::WorkerRegistry(list.clone()));
        }
    }
}
