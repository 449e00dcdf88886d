//! A soak test of hosted routes over real processes of the platform's program: clients
//! send requests over kept connections, while signals, restarts, configuration changes
//! and replacements of workers overlap. The checks run over the records at the end.
//!
//! A seed fixes the random draws; time is real, so two runs of one seed differ in their
//! interleaving.

pub mod checks;
mod clients;
pub mod command;
mod faults;
mod operator;
pub mod plan;
mod processes;
pub mod records;
mod report;
mod response_reader;
pub mod strict_head;
mod workers;
mod zone_operator;

pub use report::Report;

use crate::sync::lock;
use async_std::task;
use checks::{Evidence, RULES};
use clients::{is_ready, SoakClient};
use faults::FaultSeries;
use operator::Operator;
use processes::{Process, ProcessFleet, ProcessRole, Usage, APPLY_MS, GRACE_S};
use records::Records;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use workers::{start_provider, WorkerSlot, KEY_MARK};
use zone_operator::{ZoneOperator, EVACUATION_MS};

/// An edge counts as undisturbed if it and all cores had no disturbance for this time.
const CONTACT_MS: u64 = 2500;
/// Limit on the time until all edges are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit on the time after the last fault until a core returns the configuration.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
const WORKERS: usize = 10;

/// The size, duration and seed of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Folder for settings, data and logs.
    pub root: PathBuf,
    pub seed: u64,
    pub seconds: u64,
    pub cores: usize,
    pub edges: usize,
    /// Number of clients, each of which keeps one connection.
    pub connections: usize,
}

/// Runs a soak and checks its records.
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
    // soaks that run on the same machine at the same time use distinct addresses
    let network = 64 + (std::process::id() % 128) as u8;
    let fleet = ProcessFleet::new(&options.root, network, sizes, provider, records.clone())?;
    let fleet = Arc::new(fleet);
    for process in &fleet.processes {
        fleet.start(process)?;
    }
    let mut operator = Operator::new(fleet.clone(), records.clone(), options.seed);
    let ready = operator.begin().await && all_ready(&fleet).await;
    if !ready {
        return Err(io::Error::other(
            "the first configuration is not acknowledged, or not all edges are ready in time",
        ));
    }
    let before = usage(&fleet);
    let (middle, clients) =
        run_under_faults(options, &fleet, &records, &workers, operator.clone()).await;
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

/// Runs clients, operator and faults for the duration of the soak; returns the usage of
/// the processes at half time, and the number of clients.
async fn run_under_faults(
    options: &SoakOptions,
    fleet: &Arc<ProcessFleet>,
    records: &Arc<Records>,
    workers: &[Arc<WorkerSlot>],
    operator: Operator,
) -> (Vec<Usage>, usize) {
    let seed = options.seed;
    let series = |number: u64| FaultSeries::new(fleet.clone(), records.clone(), seed * 31 + number);
    let mut tasks = vec![
        task::spawn(operator.run()),
        task::spawn(ZoneOperator::new(fleet.clone(), records.clone(), seed * 31 + 4).run()),
        task::spawn(series(1).run_on_edges()),
        task::spawn(series(2).run_on_cores()),
        task::spawn(faults::run_on_workers(
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
    // wait for restarts that have begun
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

/// A violation for each process whose log contains an API key.
fn keys_in_logs(fleet: &ProcessFleet) -> Vec<String> {
    let logs = fleet.processes.iter().filter_map(|process| {
        let text = std::fs::read_to_string(fleet.log_file(process)).ok()?;
        text.contains(KEY_MARK).then(|| {
            format!(
                "keys-withheld: the log of {} contains an API key",
                process.name
            )
        })
    });
    logs.collect()
}

fn broken_rules(records: &Records, cores: usize) -> Vec<String> {
    let (requests, runs) = (lock(&records.requests), lock(&records.runs));
    let (changes, disturbances) = (lock(&records.changes), lock(&records.disturbances));
    let zone_changes = lock(&records.zone_changes);
    let evidence = Evidence {
        requests: &requests,
        runs: &runs,
        changes: &changes,
        zone_changes: &zone_changes,
        disturbances: &disturbances,
        cores: 0..cores,
        apply_ms: APPLY_MS,
        evacuation_ms: EVACUATION_MS,
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
