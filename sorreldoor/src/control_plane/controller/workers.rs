//! Worker discovery: when the list of workers is read, and who is sent it.

use super::Controller;
use crate::control_plane::events::ControllerEffect;
use crate::discovery::WorkerRegistry;
use crate::log_events::LogEvent;
use crate::wire::Payload;
use std::sync::Arc;

impl Controller {
    /// Read the list if that is due. Only the holder of the singleton role
    /// does, since a read is expensive for the platform.
    pub(super) fn read_worker_list(&mut self) {
        if self.worker_list.begin_read(self.now) {
            self.effects.push(ControllerEffect::ReadWorkerList);
        }
    }

    /// A core without any list reads one itself: before there is a leader
    /// nobody holds the singleton role.
    pub(super) fn read_first_worker_list(&mut self) {
        if self.worker_list.current().is_none() && !self.stopping {
            self.read_worker_list();
        }
    }

    /// A read of the list has ended.
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

    /// Applies a newer list, from the platform or from another core.
    pub(super) fn adopt_worker_list(&mut self, list: Arc<WorkerRegistry>) {
        if !self.worker_list.adopt(list.clone(), self.now) {
            return;
        }
        let (version, count) = (list.version, list.workers.len());
        let details = format!("serial {version}, {count} workers");
        self.log_event(LogEvent::WorkerListChanged, details);
        // edges must know of a leaving worker before their next renewal
        for conn in self.subscribers() {
            self.send(conn, Payload::WorkerRegistry(list.clone()));
        }
    }
}
