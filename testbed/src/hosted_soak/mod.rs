//! A soak of hosted routes over real processes of the platform's program:
//! clients use each connection until its end, while signals, restarts,
//! changes and lives of workers come in series that overlap.
//!
//! A seed fixes the schedule of trouble and what clients draw; time is real,
//! so two runs of one seed differ in their interleaving.

pub mod checks;
mod clients;
pub mod command;
mod operator;
pub mod plan;
mod processes;
pub mod records;
mod report;
mod trouble;
mod workers;

pub use report::Report;

use crate::sync::lock;
use async_std::task;
use checks::{Evidence, RULES};
use clients::{is_ready, SoakClient};
use operator::Operator;
use processes::{Process, ProcessFleet, ProcessRole, Usage, APPLY_MS, GRACE_S};
use records::Records;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trouble::Series;
use workers::{start_provider, WorkerSlot, KEY_MARK};

/// An edge is in touch if it and all cores were left alone for so long.
const CONTACT_MS: u64 = 2500;
/// How long the fleet may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// After the last trouble, for so long at the most until all is read back.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
const WORKERS: usize = 10;

/// What a soak is made of.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Folder for settings, data and logs.
    pub root: PathBuf,
    pub seed: u64,
    pub seconds: u64,
    pub cores: usize,
    pub edges: usize,
    /// Connections that clients keep open at a time.
    pub connections: usize,
}

/// Runs a soak and checks all that was recorded.
///
/// # Errors
/// The fleet cannot be started.
pub fn run(options: &SoakOptions) -> io::Result<Report> {
    task::block_on(soak(options))
}

async fn soak(options: &SoakOptions) -> io::Result<Report> {
    let records = Arc::new(Records::default());
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        workers.push(WorkerSlot::start(index, records.clone()).await?);
    }
    let provider = start_provider(workers.clone()).await?;
    let sizes = (options.cores, options.edges);
    // fleets of several processes of this machine must not share addresses
    let network = 64 + (std::process::id() % 128) as u8;
    let fleet = ProcessFleet::new(&options.root, network, sizes, provider, records.clone())?;
    let fleet = Arc::new(fleet);
    for process in &fleet.processes {
        fleet.start(process)?;
    }
    let mut operator = Operator::new(fleet.clone(), records.clone(), options.seed);
    let begun = operator.begin().await && all_ready(&fleet).await;
    if !begun {
        return Err(io::Error::other("the fleet does not serve in time"));
    }
    let before = usage(&fleet);
    let (middle, clients) =
        under_trouble(options, &fleet, &records, &workers, operator.clone()).await;
    let read_back = operator.read_back(SETTLE_TIMEOUT).await;
    let after = usage(&fleet);
    let mut violations = std::mem::take(&mut *lock(&records.violations));
    violations.extend(report::read_back_faults(&records, read_back.as_deref()));
    violations.extend(keys_in_logs(&fleet));
    violations.extend(broken_rules(&records, options.cores));
    Ok(Report::new(
        options,
        &records,
        violations,
        [before, middle, after],
        clients,
    ))
}

/// Clients, operator and trouble for the time of the soak; returns what the
/// processes used in the middle, and how many clients there were.
async fn under_trouble(
    options: &SoakOptions,
    fleet: &Arc<ProcessFleet>,
    records: &Arc<Records>,
    workers: &[Arc<WorkerSlot>],
    operator: Operator,
) -> (Vec<Usage>, usize) {
    let seed = options.seed;
    let series = |number: u64| Series::new(fleet.clone(), records.clone(), seed * 31 + number);
    let mut tasks = vec![
        task::spawn(operator.run()),
        task::spawn(series(1).of_edges()),
        task::spawn(series(2).of_cores()),
        task::spawn(trouble::of_workers(
            workers.to_vec(),
            records.clone(),
            seed * 31 + 3,
        )),
    ];
    for number in 0..options.connections {
        let client = SoakClient::new(fleet.clone(), records.clone(), seed, number);
        tasks.push(task::spawn(client.run()));
    }
    let half = Duration::from_secs(options.seconds) / 2;
    task::sleep(half).await;
    let middle = usage(fleet);
    task::sleep(half).await;
    records.stop();
    for running in tasks {
        running.await;
    }
    // restarts that have begun come to their end
    task::sleep(Duration::from_secs(GRACE_S + 2)).await;
    (middle, options.connections)
}

async fn all_ready(fleet: &ProcessFleet) -> bool {
    let end = Instant::now() + START_TIMEOUT;
    while Instant::now() < end {
        let mut ready = true;
        for edge in fleet.with_role(ProcessRole::Edge) {
            ready &= is_ready(edge.ready_addr()).await;
        }
        if ready {
            return true;
        }
        task::sleep(Duration::from_millis(100)).await;
    }
    false
}

fn usage(fleet: &ProcessFleet) -> Vec<Usage> {
    let all = fleet.processes.iter().filter_map(Process::usage);
    all.collect()
}

/// Log lines that hold a key.
fn keys_in_logs(fleet: &ProcessFleet) -> Vec<String> {
    let logs = fleet.processes.iter().filter_map(|process| {
        let text = std::fs::read_to_string(fleet.log_file(process)).ok()?;
        text.contains(KEY_MARK)
            .then(|| format!("keys-withheld: the log of {} holds a key", process.name))
    });
    logs.collect()
}

fn broken_rules(records: &Records, cores: usize) -> Vec<String> {
    let (requests, runs) = (lock(&records.requests), lock(&records.runs));
    let (changes, disturbances) = (lock(&records.changes), lock(&records.disturbances));
    let evidence = Evidence {
        requests: &requests,
        runs: &runs,
        changes: &changes,
        disturbances: &disturbances,
        cores: 0..cores,
        apply_ms: APPLY_MS,
        contact_ms: CONTACT_MS,
    };
    let broken = RULES.iter().flat_map(|(name, rule)| {
        let faults = rule(&evidence);
        faults
            .into_iter()
            .map(move |fault| format!("{name}: {fault}"))
    });
    broken.collect()
}
