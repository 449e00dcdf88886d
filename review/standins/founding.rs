//! A core process is killed and started again while the system starts for the first time. The
//! operator's first configuration must be acknowledged all the same.

use crate::fleet::{Fleet, Role, ACK_MS, CONTACT_MS, MACHINES};
use crate::http::call;
use crate::operator::{self, HOST};
use crate::platform;
use crate::record::Record;
use crate::Verdict;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// The machines start within 0.3 s of each other.
const START_GAP: Duration = Duration::from_millis(150);
/// From the start of the first core to its kill, and from there to its next start.
const KILL_AFTER: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(500);
/// How long the operator repeats the first configuration.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(30);

/// Starts all machines. With `trouble`, the core of the first one is killed before the last one
/// has started, and started again as DEPLOY.md says.
fn start_all(fleet: &mut Fleet, trouble: bool) -> Result<(), String> {
    for machine in 0..MACHINES {
        if machine + 1 == MACHINES && trouble {
            sleep(KILL_AFTER.saturating_sub(START_GAP));
            fleet.kill(0, Role::Core);
            sleep((START_GAP * 2).saturating_sub(KILL_AFTER));
        } else if machine > 0 {
            sleep(START_GAP);
        }
        fleet.start(machine, Role::Core, true)?;
        fleet.start(machine, Role::Edge, true)?;
    }
    if trouble {
        sleep((KILL_AFTER + DOWN).saturating_sub(START_GAP * 2));
        // `bootstrap` is true only at the very first start, with empty disks
        fleet.start(0, Role::Core, false)?;
    }
    Ok(())
}

/// Sends one request of a client to each edge; returns how many are served.
fn send_requests(fleet: &Fleet, record: &Record) -> usize {
    let send = |machine: usize| {
        let id = format!("9c41d07be2a3{machine:04x}");
        let headers = [
            ("Host", HOST),
            ("Sorreldoor-Attempt-Id", id.as_str()),
            ("Sorreldoor-Deadline-Ms", "2500"),
        ];
        let to = fleet.edge_addr(machine);
        let answer = call(
            to,
            "POST /volo102/2f",
            &headers,
            "x",
            Duration::from_millis(2500),
        );
        let shown = match &answer {
            Ok(answer) => format!("{} {}", answer.status(), answer.body),
            Err(error) => format!("no answer: {error}"),
        };
        record.write(&format!(
            "client: request {id} to machine {machine}: {shown}"
        ));
        answer.is_ok_and(|a| a.status() == 200)
    };
    (0..MACHINES).filter(|machine| send(*machine)).count()
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let provider = platform::start(record, &Arc::default())?;
    let mut fleet = Fleet::new(provider, record)?;
    start_all(&mut fleet, trouble)?;
    let settled_at = record.elapsed();
    record.write("all processes run and are connected; none is disturbed from here on");
    let acknowledged = operator::put_first(&fleet, record, "idem", 2500, OPERATOR_PATIENCE);
    let waited = record.elapsed() - settled_at;
    if acknowledged {
        sleep(Duration::from_secs(3));
    }
    fleet.check_running()?;
    let served = send_requests(&fleet, record);
    fleet.record_logs();
    let bound = Duration::from_millis(CONTACT_MS + ACK_MS);
    let shown = format!(
        "acknowledged: {acknowledged}, after {:.1} s undisturbed (bound: contactMs + ackMs = {:.1} s); {served} of {MACHINES} requests served",
        waited.as_secs_f64(),
        bound.as_secs_f64(),
    );
    match acknowledged && waited <= bound && served > 0 {
        true => Ok(Verdict::Held(shown)),
        false => Ok(Verdict::Broken(shown)),
    }
}
