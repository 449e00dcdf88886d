//! Samples of consensus messages and their parts.

use sorreldoor::consensus::{
    AppendReply, AppendRequest, Body, Chunk, ClaimRecord, ContentHeader, Entry, LogPosition,
    Member, Msg, ReplicaProgress, VoteReply,
};
use std::sync::Arc;

pub(super) fn member(id: u64) -> Member {
    Member {
        id,
        region: 1,
        zone: 2,
        addr: "10.0.0.1:70".into(),
        voter: id != 3,
        outgoing: id == 2,
    }
}

pub(super) fn last() -> LogPosition {
    LogPosition { term: 4, index: 90 }
}

pub(super) fn entries() -> Vec<Entry> {
    let bodies = [
        Body::Noop,
        Body::Data(Arc::new(vec![1, 2, 250])),
        Body::Members(vec![member(1), member(2), member(3)]),
    ];
    let entry = |body| Entry {
        term: 4,
        proposal_id: 1 << 70,
        origin: 9,
        body,
    };
    bodies.map(entry).to_vec()
}

pub(super) fn claim() -> ClaimRecord {
    ClaimRecord {
        id: "abc".into(),
        claimant: 1 << 80,
        retention_ms: 300_000,
    }
}

pub(super) fn messages() -> Vec<Msg> {
    let chunk = |header| {
        Msg::Chunk(Box::new(Chunk {
            term: 4,
            global_leader: 1,
            round: 8,
            commit: 89,
            header,
            id: 77,
            total: 5,
            offset: 3,
            data: vec![9, 9],
        }))
    };
    vec![
        Msg::DomainVoteRequest {
            domain_term: 2,
            last: last(),
            pre_vote: true,
        },
        Msg::DomainVoteReply {
            domain_term: 2,
            granted: true,
            pre_vote: false,
        },
        Msg::DomainHeartbeat {
            domain_term: 2,
            sent_at: 500,
        },
        Msg::DomainHeartbeatReply {
            domain_term: 2,
            sent_at: 500,
        },
        Msg::VoteRequest {
            term: 4,
            last: last(),
            pre_vote: false,
        },
        Msg::VoteReply(VoteReply {
            term: 4,
            granted: true,
            pre_vote: false,
            is_domain_leader: true,
            last: last(),
        }),
        Msg::Append(AppendRequest {
            term: 4,
            global_leader: 1,
            prev: last(),
            entries: entries(),
            commit: 88,
            round: 8,
        }),
        Msg::AppendReply(AppendReply {
            term: 4,
            replicas: vec![ReplicaProgress {
                id: 2,
                matched: 88,
                round: 8,
            }],
            conflict_hint: Some(70),
            fast_returned: 60,
            latencies: vec![(1, 30)],
        }),
        Msg::Confirm {
            term: 4,
            index: 88,
            holders: vec![1, 2],
        },
        chunk(ContentHeader::Snapshot {
            last: last(),
            members: vec![member(1)],
        }),
        chunk(ContentHeader::Entry {
            prev: last(),
            term: 4,
            proposal_id: 6,
            origin: 2,
        }),
        Msg::ChunkReply {
            term: 4,
            id: 77,
            received: 5,
        },
        Msg::Propose {
            proposal_id: 6,
            origin: 2,
            body: Body::Noop,
        },
        Msg::ProposalResult {
            proposal_id: 6,
            outcome: Arc::new(vec![3]),
        },
        Msg::ReadIndexRequest { request_id: 5 },
        Msg::ReadIndexReply {
            request_id: 5,
            index: 90,
        },
        Msg::TimeoutNow { term: 4 },
    ]
}
