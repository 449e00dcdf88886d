//! The latency model of CD-Raft, and the choice of the Global Leader's region.

use sorreldoor::consensus::leader_position::{best_region, LatencyModel, RegionLoad};
use std::collections::BTreeMap;

fn latencies() -> BTreeMap<(u8, u8), u64> {
    [((0, 1), 10), ((0, 2), 30), ((1, 2), 25)].into()
}

fn load(rows: &[(u64, u64)]) -> BTreeMap<u8, RegionLoad> {
    rows.iter()
        .enumerate()
        .map(|(region, (reads, writes))| {
            let region_load = RegionLoad {
                reads: *reads,
                writes: *writes,
            };
            (region as u8, region_load)
        })
        .collect()
}

#[test]
fn region_latency_depends_on_whether_the_region_leads_or_is_available() {
    let (latencies, load) = (latencies(), load(&[(5, 7), (11, 13), (17, 19)]));
    let all = [0, 1, 2];
    let available = [0, 1];
    let model = LatencyModel {
        load: &load,
        latencies: &latencies,
        available: &available,
        regions: &all,
    };
    let table = [
        // the leader's region: writes take a round trip to the nearest other
        // available region, reads none
        ((0, 0), 2 * 10 * 7),
        ((1, 1), 2 * 10 * 13),
        // another available region: reads and writes take a round trip to the leader
        ((1, 0), 2 * 10 * (13 + 11)),
        ((0, 1), 2 * 10 * (7 + 5)),
        // an unavailable region: writes take a round trip from the leader to its
        // nearest available region as well
        ((2, 0), 2 * (30 + 10) * 19 + 2 * 30 * 17),
        ((2, 1), 2 * (25 + 10) * 19 + 2 * 25 * 17),
    ];
    for ((region, leader_region), expected) in table {
        assert_eq!(
            model.region_latency(region, leader_region),
            Some(expected),
            "region {region}, leader in {leader_region}"
        );
    }
    let sum = (0..3)
        .map(|region| model.region_latency(region, 0).unwrap())
        .sum::<u64>();
    assert_eq!(model.total_latency(0), Some(sum));
}

#[test]
fn the_leader_moves_only_for_a_total_latency_that_is_lower_by_the_margin() {
    let latencies = latencies();
    let all = [0, 1, 2];
    type Row<'a> = (&'a str, &'a [(u64, u64)], u8, &'a [u8], Option<u8>);
    let table: [Row; 5] = [
        (
            "most load in another region",
            &[(0, 1), (50, 50), (0, 0)],
            0,
            &all,
            Some(1),
        ),
        (
            "most load in the leader's region",
            &[(50, 50), (0, 1), (0, 0)],
            0,
            &all,
            None,
        ),
        (
            "nearly equal load",
            &[(10, 10), (11, 10), (0, 0)],
            0,
            &all,
            None,
        ),
        (
            "leader's region unavailable",
            &[(50, 50), (0, 1), (0, 0)],
            0,
            &[1, 2],
            Some(1),
        ),
        (
            "no other region available",
            &[(0, 1), (50, 50), (0, 0)],
            0,
            &[0],
            None,
        ),
    ];
    for (name, rows, now, available, expected) in table {
        let load = load(rows);
        let model = LatencyModel {
            load: &load,
            latencies: &latencies,
            available,
            regions: &all,
        };
        assert_eq!(best_region(&model, now, 15), expected, "{name}");
    }
}

#[test]
fn the_leader_does_not_move_if_latencies_are_unknown() {
    let load = load(&[(0, 1), (50, 50)]);
    let no_latencies = BTreeMap::new();
    let model = LatencyModel {
        load: &load,
        latencies: &no_latencies,
        available: &[0, 1],
        regions: &[0, 1],
    };
    assert_eq!(best_region(&model, 0, 15), None);
}
