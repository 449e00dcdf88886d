//! The paper's Ls in its three cases, and the choice of z that follows.

use sorreldoor::consensus::leader_position::{best_region, LatencyModel, RegionLoad};
use std::collections::BTreeMap;

fn latencies() -> BTreeMap<(u8, u8), u64> {
    [((0, 1), 10), ((0, 2), 30), ((1, 2), 25)].into()
}

fn load(rows: &[(u64, u64)]) -> BTreeMap<u8, RegionLoad> {
    rows.iter()
        .enumerate()
        .map(|(region, (reads, writes))| {
            let load_of_region = RegionLoad {
                reads: *reads,
                writes: *writes,
            };
            (region as u8, load_of_region)
        })
        .collect()
}

#[test]
fn region_latency_in_its_three_cases() {
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
        // own region: twice the nearest other available one, writes only
        ((0, 0), 2 * 10 * 7),
        ((1, 1), 2 * 10 * 13),
        // another available region: a round trip for reads and writes
        ((1, 0), 2 * 10 * (13 + 11)),
        ((0, 1), 2 * 10 * (7 + 5)),
        // an unavailable region: its writes wait for the nearest as well
        ((2, 0), 2 * (30 + 10) * 19 + 2 * 30 * 17),
        ((2, 1), 2 * (25 + 10) * 19 + 2 * 25 * 17),
    ];
    for ((region, leader_region), expected) in table {
        assert_eq!(
            model.region_latency(region, leader_region),
            Some(expected),
            "i {region}, z {leader_region}"
        );
    }
    let sum = (0..3)
        .map(|region| model.region_latency(region, 0).unwrap())
        .sum::<u64>();
    assert_eq!(model.total_latency(0), Some(sum));
}

#[test]
fn the_lowest_total_latency_wins_only_by_a_clear_margin() {
    let latencies = latencies();
    let all = [0, 1, 2];
    type Row<'a> = (&'a str, &'a [(u64, u64)], u8, &'a [u8], Option<u8>);
    let table: [Row; 5] = [
        (
            "askers elsewhere",
            &[(0, 1), (50, 50), (0, 0)],
            0,
            &all,
            Some(1),
        ),
        ("askers here", &[(50, 50), (0, 1), (0, 0)], 0, &all, None),
        ("about even", &[(10, 10), (11, 10), (0, 0)], 0, &all, None),
        (
            "own region down",
            &[(50, 50), (0, 1), (0, 0)],
            0,
            &[1, 2],
            Some(1),
        ),
        ("nowhere to go", &[(0, 1), (50, 50), (0, 0)], 0, &[0], None),
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
fn an_unknown_latency_moves_no_leader() {
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
