//! The proxy on real sockets before workers that fail in one way each: nothing
//! that may run once runs twice, no answer reaches another request, and no
//! client is promised that its request did not run if it did.

use super::harness::{proxy, run, Caller, Got, Stand, LONG};
use super::worker::{body_of, start, Fault, Runs, Worker};
use async_std::future::timeout;
use async_std::io::WriteExt;
use std::process::Command;
use std::time::Duration;

/// Statuses that promise that the request has not run and will not.
const PROMISES: [u16; 4] = [503, 429, 408, 421];
/// Larger than what a connection's buffers take while nobody reads.
const LARGE_BODY: usize = 90_000;

fn stand(worker: &Worker) -> Stand {
    Stand {
        addr: worker.addr,
        got: Default::default(),
    }
}

/// One request of a client of its own; what it got, if anything.
async fn ask(caller: &mut Caller, path: &str, id: &str, size: usize) -> Option<Got> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nx-request-id: {id}\r\nx-deadline-ms: 1500\r\ncontent-length: {size}\r\n\r\n"
    );
    caller.s.write_all(head.as_bytes()).await.ok()?;
    caller.s.write_all(&vec![b'x'; size]).await.ok()?;
    timeout(LONG, caller.got()).await.ok()?
}

/// What breaks the rules in what one client got for one request.
fn wrong(got: &Option<Got>, id: &str, runs: usize, once: bool) -> Option<String> {
    if once && runs > 1 {
        return Some(format!("{id} ran {runs} times"));
    }
    let got = got.as_ref()?;
    if PROMISES.contains(&got.status) && runs > 0 {
        return Some(format!("{id} got {} and ran {runs} times", got.status));
    }
    let own = got.status == 204 || got.body == body_of(id);
    if (200..300).contains(&got.status) && got.whole && !own {
        return Some(format!("{id} got {:?}", got.body));
    }
    None
}

/// Plays `fault` between sound requests; the faults found, and how many
/// requests were answered with success.
async fn play(fault: Fault, path: &str, once: bool) -> (Vec<String>, usize) {
    let runs = Runs::default();
    let script = vec![Fault::Well, fault, Fault::Well];
    let a = start(script.clone(), &runs).await;
    let b = start(script, &runs).await;
    let p = proxy(&[&stand(&a), &stand(&b)]).await;
    let (mut found, mut served) = (Vec::new(), 0);
    for round in 0..8 {
        let mut caller = Caller::new(&p).await;
        for turn in 0..2 {
            let id = format!("{path}{round}-{turn}");
            // a reset needs something that the worker did not read
            let size = if turn == 0 { 10 } else { LARGE_BODY };
            let got = ask(&mut caller, path, &id, size).await;
            // what is under way may still arrive
            async_std::task::sleep(Duration::from_millis(15)).await;
            let ran = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
            served += usize::from(got.as_ref().is_some_and(|g| g.status == 200 && g.whole));
            found.extend(wrong(&got, &id, ran, once));
            if got.is_none_or(|g| !g.whole) {
                break;
            }
        }
    }
    (found, served)
}

const FAULTS: [Fault; 19] = [
    Fault::ResetBeforeHead,
    Fault::CloseBeforeHead,
    Fault::CloseMidHead,
    Fault::CloseMidBody,
    Fault::CloseMidChunks,
    Fault::CutMidUncounted,
    Fault::SurplusAtOnce,
    Fault::SurplusLater,
    Fault::SurplusBeforeNext,
    Fault::RefusalBeforeNext,
    Fault::OtherId,
    Fault::NoId,
    Fault::SuccessNotRun,
    Fault::Silence,
    Fault::NotRun,
    Fault::Interim,
    Fault::BodyOnNoContent,
    Fault::TwoLengths,
    Fault::Killed,
];

/// Plays all faults on one route, side by side, and tells what was found.
fn play_all(path: &'static str, once: bool) {
    run(async {
        let plays = FAULTS.map(|fault| {
            async_std::task::spawn(async move { (fault, play(fault, path, once).await) })
        });
        let mut all = Vec::new();
        for play in plays {
            let (fault, (found, served)) = play.await;
            println!("{fault:?}: {served} served");
            all.extend(found.into_iter().map(|f| format!("{fault:?}: {f}")));
            // the faults must not have kept the sound requests out
            assert!(
                served > 0 || fault == Fault::Killed,
                "{fault:?}: none served"
            );
        }
        assert!(all.is_empty(), "{all:#?}");
    });
}

#[test]
fn what_may_run_once_runs_once_and_is_answered_honestly() {
    play_all("/once/", true);
}

#[test]
fn what_may_run_twice_gets_its_own_answer() {
    play_all("/get/", false);
}

#[test]
fn a_surplus_answer_costs_the_next_request_nothing() {
    run(async {
        let runs = Runs::default();
        let worker = start(vec![Fault::SurplusAtOnce, Fault::SurplusLater], &runs).await;
        let p = proxy(&[&stand(&worker)]).await;
        let mut caller = Caller::new(&p).await;
        for turn in 0..10 {
            let id = format!("n{turn}");
            let got = ask(&mut caller, "/once/", &id, 10).await.unwrap();
            assert_eq!((got.status, got.body), (200, body_of(&id)));
            async_std::task::sleep(Duration::from_millis(25)).await;
        }
    });
}

/// Whether a test of this file fails in a process that breaks `rule`.
fn fails_without(rule: &str, test: &str) -> bool {
    let done = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", test])
        .env("SORRELDOOR_BREAK", rule)
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(said.contains("running 1 test"), "{said}");
    !done.status.success()
}

#[test]
fn each_rule_taken_away_is_seen() {
    let once = "faults::what_may_run_once_runs_once_and_is_answered_honestly";
    let surplus = "faults::a_surplus_answer_costs_the_next_request_nothing";
    let cases = [
        ("send-once", once),
        ("honest-refusal", once),
        ("answer-id", once),
        ("whole-answer", once),
        ("clean-connection", surplus),
    ];
    for (rule, test) in cases {
        assert!(fails_without(rule, test), "{rule} is not seen to be broken");
    }
}
