//! The proxy on real sockets in front of workers that each inject one fault: no
//! non-idempotent request runs twice, no response reaches another request, and
//! no client gets a not-run status for a request that ran.

use super::harness::{block_on_test, start_proxy, Client, Response, StubWorker, TEST_TIMEOUT};
use super::worker::{expected_body, start_worker, Fault, Runs, Worker};
use async_std::future::timeout;
use async_std::io::WriteExt;
use std::process::Command;
use std::time::Duration;

/// Statuses that guarantee that the request has not run and will not.
const NOT_RUN_STATUSES: [u16; 4] = [503, 429, 408, 421];
/// Bytes; larger than a connection's buffers, so that some stay unread.
const LARGE_BODY: usize = 90_000;

fn stub_of(worker: &Worker) -> StubWorker {
    StubWorker {
        addr: worker.addr,
        received: Default::default(),
    }
}

/// Sends one request; returns the client's response, if any.
async fn send_request(client: &mut Client, path: &str, id: &str, size: usize) -> Option<Response> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nx-request-id: {id}\r\nx-deadline-ms: 1500\r\ncontent-length: {size}\r\n\r\n"
    );
    client.stream.write_all(head.as_bytes()).await.ok()?;
    client.stream.write_all(&vec![b'x'; size]).await.ok()?;
    timeout(TEST_TIMEOUT, client.read_response()).await.ok()?
}

/// The invariant that the response to one request violates, if any.
fn violation(response: &Option<Response>, id: &str, runs: usize, once: bool) -> Option<String> {
    if once && runs > 1 {
        return Some(format!("{id} ran {runs} times"));
    }
    let response = response.as_ref()?;
    if NOT_RUN_STATUSES.contains(&response.status) && runs > 0 {
        return Some(format!("{id} got {} and ran {runs} times", response.status));
    }
    let own = response.status == 204 || response.body == expected_body(id);
    if (200..300).contains(&response.status) && response.complete && !own {
        return Some(format!("{id} got {:?}", response.body));
    }
    None
}

/// Injects `fault` between healthy requests; returns the violations, and how
/// many requests succeeded.
async fn run_with_fault(fault: Fault, path: &str, once: bool) -> (Vec<String>, usize) {
    let runs = Runs::default();
    let script = vec![Fault::Healthy, fault, Fault::Healthy];
    let a = start_worker(script.clone(), &runs).await;
    let b = start_worker(script, &runs).await;
    let proxy_address = start_proxy(&[&stub_of(&a), &stub_of(&b)]).await;
    let (mut violations, mut served) = (Vec::new(), 0);
    for round in 0..8 {
        let mut client = Client::new(&proxy_address).await;
        for attempt in 0..2 {
            let id = format!("{path}{round}-{attempt}");
            // closing resets the connection only if the worker left bytes unread
            let size = if attempt == 0 { 10 } else { LARGE_BODY };
            let response = send_request(&mut client, path, &id, size).await;
            // a worker may still run a request that is in flight
            async_std::task::sleep(Duration::from_millis(15)).await;
            let ran = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
            served += usize::from(
                response
                    .as_ref()
                    .is_some_and(|response| response.status == 200 && response.complete),
            );
            violations.extend(violation(&response, &id, ran, once));
            if response.is_none_or(|response| !response.complete) {
                break;
            }
        }
    }
    (violations, served)
}

const FAULTS: [Fault; 21] = [
    Fault::ResetBeforeHead,
    Fault::CloseBeforeHead,
    Fault::CloseMidHead,
    Fault::CloseMidBody,
    Fault::CloseMidChunks,
    Fault::TruncatedWithoutLength,
    Fault::ImmediateSurplus,
    Fault::DelayedSurplus,
    Fault::SurplusBeforeNext,
    Fault::RejectionBeforeNext,
    Fault::EmptyLineBeforeNext,
    Fault::LfLineEnds,
    Fault::WrongRequestId,
    Fault::MissingRequestId,
    Fault::SuccessNotRun,
    Fault::NoResponse,
    Fault::NotRun,
    Fault::Interim,
    Fault::BodyAfterNoContent,
    Fault::ConflictingLengths,
    Fault::Killed,
];

/// Runs all faults on one route concurrently; panics on any violation.
fn run_all_faults(path: &'static str, once: bool) {
    block_on_test(async {
        let tasks = FAULTS.map(|fault| {
            async_std::task::spawn(async move { (fault, run_with_fault(fault, path, once).await) })
        });
        let mut all = Vec::new();
        for task in tasks {
            let (fault, (violations, served)) = task.await;
            println!("{fault:?}: {served} served");
            all.extend(
                violations
                    .into_iter()
                    .map(|violation| format!("{fault:?}: {violation}")),
            );
            // healthy requests are served between the faults
            assert!(
                served > 0 || fault == Fault::Killed,
                "{fault:?}: none served"
            );
        }
        assert!(all.is_empty(), "{all:#?}");
    });
}

#[test]
fn non_idempotent_request_runs_at_most_once_under_every_fault() {
    run_all_faults("/once/", true);
}

#[test]
fn idempotent_request_gets_only_its_own_response_under_every_fault() {
    run_all_faults("/get/", false);
}

#[test]
fn surplus_response_does_not_affect_the_next_request() {
    block_on_test(async {
        let runs = Runs::default();
        let worker =
            start_worker(vec![Fault::ImmediateSurplus, Fault::DelayedSurplus], &runs).await;
        let proxy_address = start_proxy(&[&stub_of(&worker)]).await;
        let mut client = Client::new(&proxy_address).await;
        for attempt in 0..10 {
            let id = format!("n{attempt}");
            let response = send_request(&mut client, "/once/", &id, 10).await.unwrap();
            assert_eq!((response.status, response.body), (200, expected_body(&id)));
            async_std::task::sleep(Duration::from_millis(25)).await;
        }
    });
}

/// Whether a test of this file fails in a process with `invariant` disabled.
fn fails_without(invariant: &str, test: &str) -> bool {
    let done = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", test])
        .env("SORRELDOOR_BREAK", invariant)
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&done.stdout);
    assert!(stdout.contains("running 1 test"), "{stdout}");
    !done.status.success()
}

#[test]
fn disabling_any_invariant_makes_a_fault_test_fail() {
    let once = "faults::non_idempotent_request_runs_at_most_once_under_every_fault";
    let surplus = "faults::surplus_response_does_not_affect_the_next_request";
    let cases = [
        ("send-once", once),
        ("honest-refusal", once),
        ("answer-id", once),
        ("whole-answer", once),
        ("clean-connection", surplus),
    ];
    for (invariant, test) in cases {
        assert!(
            fails_without(invariant, test),
            "{test} passes without the invariant {invariant}"
        );
    }
}
