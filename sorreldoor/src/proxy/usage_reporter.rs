//! Which core an edge reports the usage of quotas to.

use crate::net::Conn;
use crate::quota::{Admission, AdmissionUpdate, UsageReport};
use crate::types::Millis;

/// Chooses the connection for reports. The core of the edge's session may be
/// cut off without the connection having ended, while others still speak to
/// the edge.
#[derive(Debug, Default)]
pub struct UsageReporter {
    /// The connection of the reports that are unanswered.
    reported_to: Option<Conn>,
    /// The connection of the edge's session at the last report.
    session: Option<Conn>,
    /// The connection on which a core last told anything.
    last_update_from: Option<Conn>,
}

impl UsageReporter {
    /// Takes what a core tells on a connection.
    pub fn on_update(&mut self, conn: Conn, update: &AdmissionUpdate, admission: &mut Admission) {
        self.last_update_from = Some(conn);
        admission.apply(update);
    }

    /// A connection has ended.
    pub fn on_closed(&mut self, conn: Conn) {
        let others = |known: &Conn| *known != conn;
        self.last_update_from = self.last_update_from.filter(others);
        self.session = self.session.filter(others);
    }

    /// The report that is due now, and the connection to send it on. `session`:
    /// the connection of this edge's session.
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
            // a core that answers is kept, also if the session's does not
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
