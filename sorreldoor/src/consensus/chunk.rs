//! The messages that carry a large content in parts.

use super::types::{LogPosition, Member};
use crate::types::{NodeId, ProposalId};
use serde::{Deserialize, Serialize};

fn as_bytes<S: serde::Serializer>(b: &[u8], s: S) -> Result<S::Ok, S::Error> {
    s.serialize_bytes(b)
}

/// What the chunks of one transfer add up to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ContentHeader {
    /// The bytes are the machine's image.
    Snapshot {
        last: LogPosition,
        members: Vec<Member>,
    },
    /// The bytes are the body of the entry that follows `prev`.
    Entry {
        prev: LogPosition,
        term: u64,
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        origin: NodeId,
    },
}

impl ContentHeader {
    /// The position in the log that the content brings its receiver to.
    pub fn last(&self) -> LogPosition {
        match self {
            ContentHeader::Snapshot { last, .. } => *last,
            ContentHeader::Entry { prev, term, .. } => LogPosition {
                term: *term,
                idx: prev.idx + 1,
            },
        }
    }
}

/// One message of a transfer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    pub term: u64,
    pub gl: NodeId,
    pub round: u64,
    pub commit: u64,
    pub header: ContentHeader,
    /// A hash of the whole content and its position.
    pub id: u64,
    /// Length of the whole content.
    pub total: u64,
    pub offset: u64,
    #[serde(serialize_with = "as_bytes")]
    pub data: Vec<u8>,
}
