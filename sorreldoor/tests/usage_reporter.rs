//! Which core an edge reports usage to while connections end or cores are silent.

use sorreldoor::net::Conn;
use sorreldoor::proxy::UsageReporter;
use sorreldoor::quota::{Admission, AdmissionUpdate, Quota, UsageReport};

const TENANT: u64 = 5;
const QUOTA: Quota = Quota {
    rate_per_s: 1000.0,
    burst: 1000.0,
};

#[derive(Default)]
struct Edge {
    admission: Admission,
    reporter: UsageReporter,
}

impl Edge {
    fn request(&mut self, now: u64) {
        self.admission.admit(TENANT, QUOTA, 1, now);
    }

    fn report(&mut self, session: Option<Conn>, now: u64) -> Option<(Conn, UsageReport)> {
        self.reporter.report(session, &mut self.admission, now)
    }

    fn update(&mut self, conn: Conn, acknowledged_report: Option<u64>) {
        let update = AdmissionUpdate {
            acknowledged_report,
            shares: Some(Vec::new()),
        };
        self.reporter.on_update(conn, &update, &mut self.admission);
    }
}

fn requested(report: Option<(Conn, UsageReport)>, conn: Conn) -> u64 {
    let (to, report) = report.expect("a report");
    assert_eq!(to, conn);
    report.usage.iter().map(|row| row.requested).sum()
}

#[test]
fn unacknowledged_usage_is_reported_to_the_next_session() {
    let mut edge = Edge::default();
    edge.request(0);
    assert_eq!(requested(edge.report(Some(1), 0), 1), 1);
    edge.update(1, Some(1));
    edge.request(200);
    assert_eq!(requested(edge.report(Some(1), 200), 1), 1);
    edge.request(400);
    // the second report is not acknowledged and may not have been counted
    assert_eq!(requested(edge.report(Some(2), 400), 2), 2);
}

#[test]
fn reports_move_from_a_silent_core_to_one_that_sends_updates_and_stay() {
    let mut edge = Edge::default();
    edge.request(0);
    assert_eq!(requested(edge.report(Some(1), 0), 1), 1);
    edge.request(200);
    edge.update(2, None);
    assert_eq!(requested(edge.report(Some(1), 200), 1), 1);
    edge.request(400);
    assert_eq!(
        requested(edge.report(Some(1), 400), 2),
        3,
        "all unacknowledged usage is reported again"
    );
    edge.update(2, Some(3));
    edge.request(600);
    assert_eq!(
        requested(edge.report(Some(1), 600), 2),
        1,
        "the core acknowledges"
    );
    edge.update(2, Some(4));
    edge.request(800);
    assert_eq!(requested(edge.report(Some(3), 800), 3), 1, "a new session");
}

#[test]
fn usage_counted_without_a_session_is_reported_to_the_next_one() {
    let mut edge = Edge::default();
    edge.request(0);
    edge.report(Some(1), 0);
    edge.reporter.on_closed(1);
    assert_eq!(edge.report(None, 200), None);
    edge.request(300);
    assert_eq!(edge.report(None, 400), None);
    assert!(edge.admission.is_detached(1500));
    assert_eq!(requested(edge.report(Some(2), 1600), 2), 2);
    edge.update(2, Some(2));
    assert!(!edge.admission.is_detached(1600));
}
