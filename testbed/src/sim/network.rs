//! The simulated network: delay, loss, partitions, and links of limited bandwidth.

use super::*;

impl Sim {
    pub(super) fn send_message(&mut self, sender: usize, to: NodeId, msg: Msg) {
        *self.sent_by_kind.entry(message_kind(&msg)).or_default() += 1;
        let Some(receiver) = self.nodes.iter().position(|n| n.id == to) else {
            return;
        };
        let crosses_regions = self.nodes[sender].region != self.nodes[receiver].region;
        if crosses_regions {
            *self
                .sent_between_regions
                .entry(message_kind(&msg))
                .or_default() += 1;
        }
        let lost = self.blocked_links.contains(&(sender, receiver))
            || self.rng.chance(self.loss_percent)
            || self
                .drop_filter
                .as_ref()
                .is_some_and(|drop| drop(sender, receiver, &msg));
        if lost {
            return;
        }
        if let Some(bandwidth) = self.bandwidth {
            self.send_in_order(bandwidth, sender, receiver, msg);
            return;
        }
        let copies = 1 + u64::from(self.rng.chance(self.duplicate_percent));
        for _ in 0..copies {
            let delay = if crosses_regions {
                self.inter_region_delay_ms
            } else {
                self.intra_region_delay_ms
            };
            let at = self.now + delay + self.rng.below(self.jitter_ms + 1);
            let (from, msg) = (self.nodes[sender].id, msg.clone());
            let incarnation = None;
            self.schedule(
                at,
                SimEvent::Deliver {
                    to: receiver,
                    from,
                    msg,
                    incarnation,
                },
            );
        }
    }

    /// Sends as one connection between two nodes does: in order, behind all
    /// frames that the sender's uplink has queued.
    fn send_in_order(&mut self, bandwidth: Bandwidth, sender: usize, receiver: usize, msg: Msg) {
        if !self.nodes[receiver].is_running() {
            return;
        }
        let crosses_regions = self.nodes[sender].region != self.nodes[receiver].region;
        let delay = if crosses_regions {
            self.inter_region_delay_ms
        } else {
            self.intra_region_delay_ms
        };
        let bytes = uplink::frame_bytes(&msg);
        let sent_at = self.nodes[sender].uplink.send(bandwidth, self.now, bytes);
        let from = self.nodes[sender].id;
        let incarnation = Some(self.nodes[receiver].incarnation);
        self.schedule(
            sent_at + delay,
            SimEvent::Deliver {
                to: receiver,
                from,
                msg,
                incarnation,
            },
        );
    }
}
