//! Choice of the core to which an edge reports the usage of quotas.

use crate::net::Conn;
use crate::quota::{Admission, AdmissionUpdate, UsageReport};
use crate::types::Millis;

/// Chooses the connection for usage reports. It fails over to another core when
/// reports are not answered, since the core of the edge's session may be
/// partitioned while the connection to it stays open.
#[derive(Debug, Default)]
pub struct UsageReporter {
    /// The connection on which reports are sent.
    reported_to: Option<Conn>,
    /// The connection of the edge's session at the last report.
    session: Option<Conn>,
    /// The connection of the last update from any core.
    last_update_from: Option<Conn>,
}

impl UsageReporter {
    /// Applies an update that a core sent on `conn`.
    pub fn on_update(&mut self, conn: Conn, update: &AdmissionUpdate, admission: &mut Admission) {
        self.last_update_from = Some(conn);
        admission.apply(update);
    }

    /// Forgets a connection that has ended.
    pub fn on_closed(&mut self, conn: Conn) {
        let still_open = |known: &Conn| *known != conn;
        self.last_update_from = self.last_update_from.filter(still_open);
        self.session = self.session.filter(still_open);
    }

    /// Returns the report that is due now and the connection to send it on, if there
    /// are both. `session` is the connection of this edge's session.
    pub fn report(
        &mut self,
        session: Option<Conn>,
        admission: &mut Admission,
        now: Millis,
    ) -> Option<(Conn, UsageReport)> {
        let session_changed = session != self.session;
        self.session = session;
        let conn = match admission.is_stalled(now) {
            true => self.last_update_from.or(session),
            false if session_changed => session,
            // stays at a core that answers, also after a failover
            false => self.reported_to,
        };
        if conn != self.reported_to {
            self.reported_to = conn;
            admission.on_disconnected();
        }
        let Some(conn) = conn else {
            admission.on_core_unreachable(now);
            return None;
        };
        let report = admission.take_report(now)?;
        Some((conn, report))
    }
}
