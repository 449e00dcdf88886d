//! The addresses of other cores to which this core keeps connections.

use crate::consensus::Member;
use crate::types::NodeId;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The addresses to connect to and to disconnect from after a change of members.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct AddressChanges {
    /// Addresses to connect to.
    pub connect: Vec<SocketAddr>,
    /// Addresses to disconnect from.
    pub disconnect: Vec<SocketAddr>,
}

/// The seed addresses, the discovered members' addresses, and those in use.
#[derive(Debug)]
pub struct PeerAddresses {
    seeds: Vec<SocketAddr>,
    /// The seeds of the site's first start.
    founding_seeds: Vec<SocketAddr>,
    /// The members' addresses as received from a founded core.
    discovered: BTreeSet<SocketAddr>,
    /// Addresses that a search for the cores has found.
    found: BTreeSet<SocketAddr>,
    /// Addresses to which this core keeps a connection.
    connected: BTreeSet<SocketAddr>,
}

impl PeerAddresses {
    /// Starts with the configured seed addresses and no connection.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> PeerAddresses {
        PeerAddresses {
            seeds,
            founding_seeds: Vec::new(),
            discovered: BTreeSet::new(),
            found: BTreeSet::new(),
            connected: BTreeSet::new(),
        }
    }

    /// Adds the seeds of the site's first start, which are wanted until this core has a
    /// list of members.
    #[must_use]
    pub fn with_founding_seeds(mut self, seeds: Vec<SocketAddr>) -> PeerAddresses {
        self.founding_seeds = seeds;
        self
    }

    /// Replaces the members' addresses by those received from a founded core.
    pub fn discover(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.discovered = addresses;
    }

    /// Replaces the addresses that a search has found; returns whether they changed.
    pub fn found(&mut self, addresses: &[SocketAddr]) -> bool {
        let found: BTreeSet<SocketAddr> = addresses.iter().copied().collect();
        let changed = found != self.found;
        self.found = found;
        changed
    }

    /// Drops a seed that turned out to be this core's own address.
    pub fn remove_own(&mut self, own: SocketAddr) {
        self.seeds.retain(|seed| *seed != own);
        self.founding_seeds.retain(|seed| *seed != own);
        self.connected.remove(&own);
    }

    /// Recomputes the wanted addresses: the seeds, what a search has found, and every
    /// other member; while this core has no list of members, also the discovered addresses
    /// and the founding seeds. Returns the difference to those in use.
    pub fn reconcile(
        &mut self,
        own_id: NodeId,
        own_address: &str,
        members: &[Member],
    ) -> AddressChanges {
        let mut wanted: BTreeSet<SocketAddr> = members
            .iter()
            .filter(|member| member.id != own_id)
            .filter_map(|member| member.addr.parse().ok())
            .collect();
        if members.is_empty() {
            wanted.extend(&self.discovered);
            wanted.extend(&self.founding_seeds);
        }
        wanted.extend(&self.seeds);
        wanted.extend(&self.found);
        if let Ok(own) = own_address.parse() {
            wanted.remove(&own);
        }
        let changes = AddressChanges {
            connect: wanted.difference(&self.connected).copied().collect(),
            disconnect: self.connected.difference(&wanted).copied().collect(),
        };
        self.connected = wanted;
        changes
    }
}
