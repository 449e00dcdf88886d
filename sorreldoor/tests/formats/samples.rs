//! Samples of frames between nodes, of saves and of replicated state.

use super::commands::{commands, outcomes};
use super::messages::{claim, entries, member, messages};
use sorreldoor::configuration::Site;
use sorreldoor::consensus::{ClaimRecord, HardState, LogPosition, Save, Snapshot, StateMachine};
use sorreldoor::discovery::{Load, Loads, Worker, WorkerRegistry};
use sorreldoor::quota::{AdmissionShare, AdmissionUpdate, TenantUsage, UsageReport};
use sorreldoor::replicated_state::{encode, ReplicatedState};
use sorreldoor::store::DurableState;
use sorreldoor::wire::{
    BootstrapMessage, ClaimVote, ClaimsPage, CoreAddresses, EdgeEndpoint, EdgeSession, EdgeStatus,
    EncodedUpdate, Hello, KnownVersions, Payload, ProposalOutcome, RouteLatency, SentRequest,
    SessionReport, StateDelta, Unverified,
};
use std::sync::Arc;

pub(super) const DOCUMENT: &str = r#"{"groups":{"g":{"kind":"model"}},"services":{"s":{"groups":["g"]},"t":{"groups":["g"]}},"routes":{"r":{"kind":"decode","shares":{"s":{"weight":50,"least":40,"most":60},"t":{"weight":50}}}},"hosted":{"routes":[{"name":"x","host":"a.example","prefix":"/p/","timeout_ms":900,"service":"y","kind":"stream"}],"services":[{"name":"y","max_conns":7}]}}"#;

pub(super) fn hello(core: bool) -> Hello {
    Hello {
        id: 11,
        node: "n1".into(),
        core,
        region: 1,
        zone: 2,
        addr: "10.0.0.1:70".into(),
        http: "10.0.0.1:80".into(),
        founded: core,
        incarnation: 33,
        stopping: core,
        learner_only: core,
    }
}

pub(super) fn route_latencies() -> Vec<RouteLatency> {
    vec![RouteLatency {
        route: "r".into(),
        service: "s".into(),
        n: 4,
        ms: 900,
    }]
}

pub(super) fn session() -> EdgeSession {
    EdgeSession {
        hello: hello(false),
        version: 5,
        lease: true,
        running: 3,
        took: route_latencies(),
    }
}

pub(super) fn registry() -> Arc<WorkerRegistry> {
    let worker = Worker {
        name: "w1".into(),
        addr: "10.0.0.9:9000".parse().expect("an address"),
        group: "g".into(),
        zone: 1,
        region: 1,
        leaving: true,
        slots: 8,
        cold_ms: 200,
        leaves_ms: Some(900),
        software_version: "2".into(),
    };
    Arc::new(WorkerRegistry {
        version: 12,
        workers: vec![worker],
    })
}

pub(super) fn loads() -> Arc<Loads> {
    let load = Load {
        name: "w1".into(),
        running: 2,
        queued: 1,
        slots: 8,
        finished: 60,
        adapters: vec!["a".into()],
        weights: "v".into(),
        live: true,
    };
    Arc::new(Loads {
        epoch: 3,
        version: 14,
        rows: vec![load],
    })
}

pub(super) fn site() -> Arc<Site> {
    Arc::new(Site {
        regions: vec!["a".into(), "b".into()],
        zones: vec![("a1".into(), 0), ("b1".into(), 1)],
    })
}

/// The state after all commands, and its revision before the ninth command.
pub(super) fn records() -> (ReplicatedState, u64) {
    let mut record = ReplicatedState::new(site());
    let mut revision = 0;
    for (index, command) in commands().iter().enumerate() {
        if index == 8 {
            revision = record.revision();
        }
        record.apply(index as u64 + 1, index as u128 + 1, &encode(command));
    }
    (record, revision)
}

pub(super) fn payloads() -> Vec<Payload> {
    let usage = TenantUsage {
        tenant: 1 << 60,
        requested: 9,
        admitted: 7,
    };
    let (record, revision) = records();
    let update = EncodedUpdate::new(&record.delta_since(revision));
    let edge_status = EdgeStatus {
        version: 5,
        lease: true,
        running: 3,
        first: 90,
        again: 8,
        shed: 7,
        took: route_latencies(),
    };
    let have = KnownVersions {
        record: 4,
        registry: 12,
        loads: (3, 14),
        edge_sessions: 6,
        cores: 8,
    };
    let place = EdgeEndpoint {
        node: "n1".into(),
        zone: 2,
        region: 1,
        http: "10.0.0.1:80".into(),
        ready: true,
        addr: String::new(),
        running: 4,
    };
    let peer = EdgeEndpoint {
        addr: "10.0.0.1:71".into(),
        ..place.clone()
    };
    let delta = StateDelta {
        record: Some(update),
        record_withheld: true,
        registry: Some(registry()),
        loads: Some(loads()),
        edge_sessions: Some((6, vec![place])),
        cores: Some((8, vec![("10.0.0.1:70".into(), 1)])),
    };
    let report = SessionReport {
        core: 11,
        incarnation: 33,
        version: 5,
        edge_sessions: vec![session()],
    };
    let claims = vec![claim()];
    let mut all = vec![
        Payload::Hello(hello(true)),
        Payload::Hello(hello(false)),
        Payload::Bootstrap(BootstrapMessage::Promise {
            founders: vec![member(1)],
        }),
        Payload::Bootstrap(BootstrapMessage::Founded {
            founders: vec![member(1)],
            addresses: vec!["h:1".into()],
        }),
        Payload::SessionReport(report),
        Payload::WorkerRegistry(registry()),
        Payload::Loads(loads()),
        Payload::Renew {
            no: 1,
            have,
            edge_status,
            unverified: Unverified::FromStarting,
        },
        Payload::Renew {
            no: 1,
            have: KnownVersions::default(),
            edge_status: EdgeStatus::default(),
            unverified: Unverified::FromAny,
        },
        Payload::Grant {
            no: 1,
            ok: true,
            delta,
        },
        Payload::Grant {
            no: 2,
            ok: false,
            delta: StateDelta::default(),
        },
        Payload::Grant {
            no: 3,
            ok: true,
            delta: StateDelta {
                edge_sessions: Some((7, vec![peer])),
                ..StateDelta::default()
            },
        },
        Payload::CoreAddressesRequest,
        Payload::CoreAddresses(CoreAddresses {
            addresses: vec!["10.0.0.1:70".into()],
            confirmed: true,
        }),
        Payload::OutcomeQuery {
            request_id: 5,
            proposal_id: 1 << 70,
        },
        Payload::Claim {
            request_id: 5,
            claim: claim(),
        },
        Payload::ClaimVoteRequest {
            vote_id: 1,
            claim: claim(),
        },
        Payload::Release {
            request_id: 5,
            id: "abc".into(),
            claimant: 9,
        },
        Payload::Released { request_id: 5 },
        Payload::PeerRelease {
            id: "abc".into(),
            claimant: 9,
        },
        Payload::ReleaseAck { claimant: 9 },
        Payload::SentRequests {
            requests: vec![SentRequest {
                id: "abc".into(),
                claimant: 9,
            }],
        },
        Payload::ClaimsPageRequest { start: 4 },
        Payload::ClaimsPage(ClaimsPage {
            start: 4,
            claims,
            next: 5,
            last: true,
        }),
        Payload::Ping { no: 1 },
        Payload::UsageReport(UsageReport {
            number: 3,
            usage: vec![usage],
        }),
        Payload::UsageTotals(vec![usage]),
        Payload::AdmissionUpdate(AdmissionUpdate {
            acknowledged_report: Some(3),
            shares: Some(vec![AdmissionShare {
                tenant: 1 << 60,
                per_mille: 250,
            }]),
        }),
        Payload::AdmissionUpdate(AdmissionUpdate::default()),
    ];
    let votes = [
        ClaimVote::Granted,
        ClaimVote::HeldBy(9),
        ClaimVote::Released,
        ClaimVote::Full,
    ];
    for vote in votes {
        all.push(Payload::ClaimResult {
            request_id: 5,
            id: "abc".into(),
            result: vote,
        });
        all.push(Payload::ClaimVoteReply { vote_id: 1, vote });
    }
    let op = |cmd| Payload::Propose {
        request_id: 5,
        proposal_id: 6,
        cmd,
    };
    all.extend(commands().into_iter().map(op));
    let done = |outcome| Payload::ProposalResult {
        request_id: 5,
        outcome,
    };
    let committed = outcomes().into_iter().map(ProposalOutcome::Committed);
    all.extend(committed.map(done));
    let uncommitted = [
        ProposalOutcome::Unknown,
        ProposalOutcome::Rejected,
        ProposalOutcome::NotFound,
    ];
    all.extend(uncommitted.map(done));
    all.extend(messages().into_iter().map(Payload::Consensus));
    all
}

pub(super) fn saves() -> Vec<Save> {
    let hard = HardState {
        term: 4,
        vote: Some(1),
        domain_term: 2,
        domain_vote: Some(3),
        committed: 1,
    };
    let position = LogPosition { term: 4, index: 1 };
    let snapshot = Snapshot {
        last: position,
        members: vec![member(1), member(2)],
        image: Arc::new(vec![5; 20]),
    };
    vec![
        Save::HardState(hard),
        Save::Append {
            from: 1,
            entries: entries(),
            commit: 1,
        },
        Save::Snapshot {
            snapshot,
            discard_log: false,
        },
        Save::LegacyClaims(vec![("old".into(), 7)]),
        Save::ClaimRecords(vec![
            claim(),
            ClaimRecord {
                id: "gone".into(),
                claimant: 1,
                retention_ms: 5,
            },
        ]),
        Save::ReleasedClaims(vec!["gone".into()]),
    ]
}

pub(super) fn durable_state() -> DurableState {
    let mut state = DurableState::default();
    for (number, save) in (1..).zip(saves()) {
        state.apply_save(number, &save);
    }
    state.values.insert("sure".into(), vec![1]);
    state
}
