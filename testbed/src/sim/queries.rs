//! What a test asks of the simulated group: its leader, its newest state, how
//! long a change takes.

use super::{Done, Node, Sim};
use sorreldoor::types::Millis;

impl Sim {
    /// Run until some core leads and has committed in its term.
    pub fn settle(&mut self) -> usize {
        let end = self.now + 5000;
        self.run_until(end, |s| s.leader().is_some());
        self.run_for(500);
        self.leader().expect("a healthy core elects a leader")
    }

    /// Ask for a change at `at` and wait; how long it took, if it was taken.
    pub fn timed(&mut self, at: usize, most: Millis) -> Option<Millis> {
        let version = self.highest_version();
        let p = self.change(at, version);
        let (start, end) = (self.now, self.now + most);
        self.run_until(end, |s| s.op(p).done != Done::Open);
        self.op(p).took().then(|| self.op(p).end - start)
    }

    pub fn highest_version(&self) -> u64 {
        let all = self.nodes.iter().filter_map(|n| n.record());
        all.map(|r| r.version()).max().unwrap_or(0)
    }

    pub fn leader(&self) -> Option<usize> {
        let lead = |n: &Node| {
            n.consensus
                .as_ref()
                .filter(|a| a.leads_globally())
                .map(|a| a.term())
        };
        (0..self.nodes.len())
            .filter(|i| lead(&self.nodes[*i]).is_some())
            .max_by_key(|i| lead(&self.nodes[*i]))
    }
}
