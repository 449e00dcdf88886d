//! Fixed deployments for the comparison of policies.

use super::mix::{BoundsMix, ClassMix, Distribution, EngineMix, Mix, SegmentMix, ServiceMix};

fn classes() -> Vec<ClassMix> {
    let part = |mean, spread, distinct, skew| SegmentMix {
        tokens: Distribution::of(mean, spread, mean * 3.0),
        distinct,
        skew,
    };
    vec![
        ClassMix {
            name: "dossier".into(),
            kind: "stream".into(),
            per_s: 14.3,
            aim_ms: 1000,
            gap_ms: 600,
            deadline_ms: 8000,
            attempts: 1,
            priority: 1,
            max_retries: 1,
            value: 2.0,
            late_value: 0.6,
            shared_segments: vec![part(13_300.0, 0.7, 54, 0.3)],
            own_tokens: Distribution::of(3720.0, 1.1, 53_200.0),
            events: Distribution::of(23.9, 1.4, 95.0),
            ..ClassMix::default()
        },
        ClassMix {
            name: "draft".into(),
            kind: "stream".into(),
            resume: true,
            per_s: 224.0,
            aim_ms: 800,
            gap_ms: 600,
            deadline_ms: 5000,
            attempts: 2,
            max_retries: 1,
            value: 3.0,
            late_value: 0.9,
            shared_segments: vec![part(55.0, 0.4, 8, 0.0), part(37.0, 0.7, 846, 0.3)],
            own_tokens: Distribution::of(291.0, 1.4, 1830.0),
            events: Distribution::of(9.0, 1.4, 36.0),
            ..ClassMix::default()
        },
        ClassMix {
            name: "page".into(),
            service: 1,
            kind: "idempotent".into(),
            per_s: 59.6,
            aim_ms: 400,
            deadline_ms: 2500,
            attempts: 2,
            priority: 2,
            max_retries: 1,
            value: 1.0,
            late_value: 0.3,
            work_ms: Distribution {
                mean: 60.0,
                spread: 0.5,
                tail: 0.01,
                tail_x: 5.0,
                max: 450.0,
            },
            ..ClassMix::default()
        },
    ]
}

/// Two regions, three zones; 18 model workers of 48 slots, 12 nodes, 298 requests per second.
pub fn two_region_mix() -> Mix {
    Mix {
        seconds: 30.0,
        load: 1.0,
        zones: vec![0, 0, 1],
        nodes: vec![5, 3, 4],
        client_share: vec![0.25, 0.25, 0.5],
        swing: 0.4,
        period_s: 26.0,
        same_zone_ms: 0.15,
        same_region_ms: 0.9,
        cross_region_ms: 35.0,
        client_ms: 1.0,
        update_delay_ms: 400,
        bounds: BoundsMix::default(),
        services: vec![
            ServiceMix {
                name: "model".into(),
                workers: vec![5, 5, 8],
                slots: 48,
                queue: 134,
                max_conns: 330,
                speeds: vec![1.0, 1.0, 1.3],
                warmup_ms: 3000,
                warmup_per_s: 31.0,
                engine: Some(EngineMix::default()),
            },
            ServiceMix {
                name: "web".into(),
                workers: vec![1, 1, 1],
                slots: 6,
                queue: 24,
                max_conns: 130,
                speeds: vec![1.0],
                ..ServiceMix::default()
            },
        ],
        classes: classes(),
        faults: Vec::new(),
    }
}

/// Three regions, six zones; 90 model workers of 12 slots, 93 nodes, 900 requests per second.
pub fn three_region_mix() -> Mix {
    let mut m = two_region_mix();
    m.zones = vec![0, 0, 1, 1, 2, 2];
    m.nodes = vec![16, 16, 16, 15, 15, 15];
    m.client_share = vec![1.0 / 6.0; 6];
    m.load = 900.0 / 297.9;
    m.services[0].workers = vec![15; 6];
    m.services[0].slots = 12;
    m.services[0].queue = 34;
    m.services[0].max_conns = 390;
    m.services[0].warmup_per_s = 8.0;
    if let Some(e) = &mut m.services[0].engine {
        e.tokens = 160_000;
    }
    m.services[1].workers = vec![2, 1, 2, 1, 2, 1];
    m.classes[0].homes = Vec::new();
    m
}

/// Three regions of unequal capacity, six zones; 72 model workers of 16 slots, 82
/// nodes, 910 requests per second. The most urgent requests are the long ones, and the most
/// frequent ones are restricted to two of the regions.
pub fn uneven_region_mix() -> Mix {
    let part = |mean, spread, max, distinct, skew| SegmentMix {
        tokens: Distribution::of(mean, spread, max),
        distinct,
        skew,
    };
    let draft = ClassMix {
        name: "draft".into(),
        kind: "stream".into(),
        resume: true,
        per_s: 109.0,
        aim_ms: 500,
        gap_ms: 300,
        deadline_ms: 12_000,
        attempts: 2,
        priority: 0,
        max_retries: 1,
        value: 3.0,
        late_value: 0.9,
        shared_segments: vec![
            part(512.0, 0.4, 1280.0, 1, 0.0),
            part(4870.0, 0.7, 14_600.0, 930, 0.3),
        ],
        own_tokens: Distribution::of(6610.0, 1.4, 54_600.0),
        events: Distribution::of(38.2, 0.44, 112.0),
        ..ClassMix::default()
    };
    let reply = ClassMix {
        name: "reply".into(),
        kind: "stream".into(),
        homes: vec![0, 2],
        per_s: 618.0,
        aim_ms: 600,
        gap_ms: 300,
        deadline_ms: 2500,
        attempts: 1,
        priority: 1,
        max_retries: 1,
        value: 2.0,
        late_value: 0.6,
        shared_segments: vec![
            part(341.0, 0.4, 851.0, 80, 0.0),
            part(227.0, 0.7, 681.0, 2336, 0.3),
        ],
        own_tokens: Distribution::of(1800.0, 1.3, 6870.0),
        events: Distribution::of(2.26, 1.4, 9.0),
        ..ClassMix::default()
    };
    let check = ClassMix {
        name: "check".into(),
        service: 1,
        kind: "once".into(),
        per_s: 182.0,
        aim_ms: 200,
        deadline_ms: 3000,
        attempts: 1,
        priority: 2,
        max_retries: 1,
        value: 1.0,
        late_value: 0.3,
        work_ms: Distribution {
            mean: 15.0,
            spread: 0.5,
            tail: 0.01,
            tail_x: 5.0,
            max: 110.0,
        },
        ..ClassMix::default()
    };
    let engine = EngineMix {
        step_ms: 3.55,
        per_slot_ms: 0.0462,
        per_k_ms: 0.00115,
        read_per_ms: 157.0,
        pairs_ms_per_m: 0.109,
        first_ms: 26.0,
        stride: 10,
        chunk: 1024,
        tokens: 648_928,
        early_head: false,
    };
    Mix {
        zones: vec![0, 2, 1, 0, 2, 1],
        nodes: vec![14, 15, 15, 14, 11, 13],
        client_share: vec![1.0 / 6.0; 6],
        cross_region_ms: 20.0,
        services: vec![
            ServiceMix {
                name: "model".into(),
                workers: vec![16, 12, 8, 16, 12, 8],
                slots: 16,
                queue: 48,
                max_conns: 620,
                speeds: vec![1.0, 1.0, 1.3],
                warmup_ms: 3000,
                warmup_per_s: 22.0,
                engine: Some(engine),
            },
            ServiceMix {
                name: "portal".into(),
                workers: vec![1; 6],
                slots: 6,
                queue: 24,
                max_conns: 550,
                speeds: vec![1.0],
                ..ServiceMix::default()
            },
        ],
        classes: vec![draft, reply, check],
        ..two_region_mix()
    }
}
