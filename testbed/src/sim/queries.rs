//! Queries on the simulated group: its leader, its newest version, and the
//! commit latency of a change.

use super::{Node, OperationResult, Sim};
use sorreldoor::types::Millis;

impl Sim {
    /// Runs until a Global Leader has committed in its term; returns the leader.
    pub fn wait_for_leader(&mut self) -> usize {
        let end = self.now + 5000;
        self.run_until(end, |s| s.leader().is_some());
        self.run_for(500);
        self.leader().expect("a healthy group elects a leader")
    }

    /// Proposes a change at `at` and waits for at most `timeout`; returns its
    /// latency if it was applied.
    pub fn commit_latency(&mut self, at: usize, timeout: Millis) -> Option<Millis> {
        let version = self.highest_version();
        let proposal_id = self.propose_change(at, version);
        let (start, end) = (self.now, self.now + timeout);
        self.run_until(end, |s| {
            s.operation(proposal_id).result != OperationResult::Pending
        });
        self.operation(proposal_id)
            .was_applied()
            .then(|| self.operation(proposal_id).end - start)
    }

    /// The highest version that any running node has applied.
    pub fn highest_version(&self) -> u64 {
        let all = self.nodes.iter().filter_map(|node| node.replicated_state());
        all.map(|r| r.version()).max().unwrap_or(0)
    }

    /// The node that leads globally in the highest term, if any.
    pub fn leader(&self) -> Option<usize> {
        let leading_term = |node: &Node| {
            node.consensus
                .as_ref()
                .filter(|consensus| consensus.leads_globally())
                .map(|consensus| consensus.term())
        };
        (0..self.nodes.len())
            .filter(|i| leading_term(&self.nodes[*i]).is_some())
            .max_by_key(|i| leading_term(&self.nodes[*i]))
    }
}
