//! The paper's Ls in its three cases, and the choice of z that follows.

use sorreldoor::consensus::position::{best, Load, View};
use std::collections::BTreeMap;

fn lat() -> BTreeMap<(u8, u8), u64> {
    [((0, 1), 10), ((0, 2), 30), ((1, 2), 25)].into()
}

fn load(rows: &[(u64, u64)]) -> BTreeMap<u8, Load> {
    rows.iter()
        .enumerate()
        .map(|(i, (reads, writes))| {
            let l = Load {
                reads: *reads,
                writes: *writes,
            };
            (i as u8, l)
        })
        .collect()
}

#[test]
fn li_in_its_three_cases() {
    let (lat, load) = (lat(), load(&[(5, 7), (11, 13), (17, 19)]));
    let all = [0, 1, 2];
    let up = [0, 1];
    let v = View {
        load: &load,
        lat: &lat,
        up: &up,
        all: &all,
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
    for ((i, z), want) in table {
        assert_eq!(v.li(i, z), Some(want), "i {i}, z {z}");
    }
    let sum = (0..3).map(|i| v.li(i, 0).unwrap()).sum::<u64>();
    assert_eq!(v.ls(0), Some(sum));
}

#[test]
fn the_least_ls_wins_only_by_a_clear_margin() {
    let lat = lat();
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
    for (name, rows, now, up, want) in table {
        let load = load(rows);
        let v = View {
            load: &load,
            lat: &lat,
            up,
            all: &all,
        };
        assert_eq!(best(&v, now, 15), want, "{name}");
    }
}

#[test]
fn an_unknown_delay_moves_nothing() {
    let load = load(&[(0, 1), (50, 50)]);
    let none = BTreeMap::new();
    let v = View {
        load: &load,
        lat: &none,
        up: &[0, 1],
        all: &[0, 1],
    };
    assert_eq!(best(&v, 0, 15), None);
}
