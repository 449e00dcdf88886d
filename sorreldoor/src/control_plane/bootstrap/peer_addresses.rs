//! Addresses of other cores to which this core keeps a connection.

use crate::consensus::Member;
use crate::types::NodeId;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What is to be dialled and hung up for the connections to match the members.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct DialChanges {
    /// Addresses to connect to.
    pub connect: Vec<SocketAddr>,
    /// Addresses to disconnect from.
    pub disconnect: Vec<SocketAddr>,
}

/// The seeds, the discovered members, and the addresses in use.
#[derive(Debug)]
pub struct PeerAddresses {
    seeds: Vec<SocketAddr>,
    /// The members' addresses as a founded core gave them.
    discovered: BTreeSet<SocketAddr>,
    dialled: BTreeSet<SocketAddr>,
}

impl PeerAddresses {
    /// Starts with the configured seeds and no connection.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> PeerAddresses {
        PeerAddresses {
            seeds,
            discovered: BTreeSet::new(),
            dialled: BTreeSet::new(),
        }
    }

    /// Replaces the members' addresses that were discovered through a peer.
    pub fn discover(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.discovered = addresses;
    }

    /// Drops a seed that turned out to be this core's own address.
    pub fn remove_own(&mut self, own: SocketAddr) {
        self.seeds.retain(|seed| *seed != own);
        self.dialled.remove(&own);
    }

    /// Aims at the seeds and every other member, or the discovered members
    /// while this core has no list of its own.
    pub fn reconcile(
        &mut self,
        own_id: NodeId,
        own_address: &str,
        members: &[Member],
    ) -> DialChanges {
        let mut wanted: BTreeSet<SocketAddr> = members
            .iter()
            .filter(|member| member.id != own_id)
            .filter_map(|member| member.addr.parse().ok())
            .collect();
        if members.is_empty() {
            wanted.extend(&self.discovered);
        }
        wanted.extend(&self.seeds);
        if let Ok(own) = own_address.parse() {
            wanted.remove(&own);
        }
        let changes = DialChanges {
            connect: wanted.difference(&self.dialled).copied().collect(),
            disconnect: self.dialled.difference(&wanted).copied().collect(),
        };
        self.dialled = wanted;
        changes
    }
}
