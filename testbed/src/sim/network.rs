//! The simulated network: delay, loss, cuts, and links of limited bandwidth.

use super::*;

impl Sim {
    pub(super) fn carry(&mut self, i: usize, to: NodeId, msg: Msg) {
        *self.sent.entry(kind(&msg)).or_default() += 1;
        let Some(t) = self.nodes.iter().position(|n| n.id == to) else {
            return;
        };
        let away = self.nodes[i].region != self.nodes[t].region;
        if away {
            *self.far_sent.entry(kind(&msg)).or_default() += 1;
        }
        let lost = self.cuts.contains(&(i, t))
            || self.rng.chance(self.loss)
            || self.drop_if.as_ref().is_some_and(|f| f(i, t, &msg));
        if lost {
            return;
        }
        if let Some(bandwidth) = self.bandwidth {
            self.carry_in_order(bandwidth, i, t, msg);
            return;
        }
        let copies = 1 + u64::from(self.rng.chance(self.twice));
        for _ in 0..copies {
            let base = if away { self.far } else { self.near };
            let at = self.now + base + self.rng.below(self.jitter + 1);
            let (from, msg) = (self.nodes[i].id, msg.clone());
            let incarnation = None;
            self.plan(
                at,
                What::Arrive {
                    to: t,
                    from,
                    msg,
                    incarnation,
                },
            );
        }
    }

    /// As one connection between two nodes does it: in order, behind all else
    /// that the sender has not got rid of yet.
    fn carry_in_order(&mut self, bandwidth: Bandwidth, i: usize, t: usize, msg: Msg) {
        if !self.nodes[t].up() {
            return;
        }
        let away = self.nodes[i].region != self.nodes[t].region;
        let delay = if away { self.far } else { self.near };
        let bytes = uplink::frame_bytes(&msg);
        let left = self.nodes[i].uplink.send(bandwidth, self.now, bytes);
        let from = self.nodes[i].id;
        let incarnation = Some(self.nodes[t].incarnation);
        self.plan(
            left + delay,
            What::Arrive {
                to: t,
                from,
                msg,
                incarnation,
            },
        );
    }
}
